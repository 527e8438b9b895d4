package entry

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/remote"
)

const (
	// snapshotPartBytes is the size of one part, below the record size that log
	// services commonly accept.
	snapshotPartBytes = 256 << 10
	maxSnapshotParts  = 10_000
	// minSnapshotInterval bounds the rate of snapshots where the log keeps little.
	minSnapshotInterval = 2 * time.Second
	// nonOwnerDelay is how long others wait for the owner of the job partition.
	nonOwnerDelay = 3 * minSnapshotInterval
	// jitterSteps spreads the snapshots of several writers.
	jitterSteps = 8
)

// snapshotSchedule decides when a stream needs a new snapshot.
type snapshotSchedule struct {
	// at is the offset of the newest snapshot, seenAt its time.
	at          int64
	storedAt    time.Time
	hasSnapshot bool
	writtenAt   time.Time
	// overdueSince is when the newest snapshot was first found too old for what
	// the log holds.
	overdueSince time.Time

	next, firstRetained, end int64
}

func (c *snapshotSchedule) seen(offset int64, at time.Time) {
	c.at, c.storedAt, c.hasSnapshot = offset, at, true
}

func (c *snapshotSchedule) setPosition(next int64, batch remote.Batch) {
	c.next, c.firstRetained, c.end = next, batch.FirstRetained, batch.Next
}

// due reports whether a snapshot is needed: the interval has passed, or the
// newest one is in the older half of what the log still holds. In that case
// only the owner of the job partition writes at once.
func (c *snapshotSchedule) due(now time.Time, interval time.Duration, owner bool) bool {
	if c.end == 0 || c.next < c.end || now.Sub(c.writtenAt) < minSnapshotInterval {
		return false
	}
	if c.firstRetained > 0 && (!c.hasSnapshot || c.at < c.firstRetained+(c.end-c.firstRetained)/2) {
		if c.overdueSince.IsZero() {
			c.overdueSince = now
		}
		return owner || now.Sub(c.overdueSince) >= nonOwnerDelay
	}
	c.overdueSince = time.Time{}
	if !c.hasSnapshot && c.writtenAt.IsZero() {
		c.writtenAt = now
		return false
	}
	return now.Sub(c.writtenAt) >= interval && now.Sub(c.storedAt) >= interval
}

// writeSnapshots appends snapshots that are due. The owner of the job partition
// writes them; others step in later.
func (i *Instance) writeSnapshots(now time.Time) {
	s := &i.state
	if s.core.Superseded() || !s.core.CaughtUp() {
		return
	}
	interval := milliseconds(i.settings.GetJobs().GetSnapshotIntervalMs())
	jitter := interval * time.Duration(xxhash.Sum64String(i.id.Name)%jitterSteps) / jitterSteps
	owner := s.core.Partition(s.core.Partitions()-1, now).Own
	if !owner {
		interval = 2*interval + jitter
	}
	if s.controlSnapshots.due(now, interval, owner) {
		s.controlSnapshots.writtenAt = now
		i.controlAppender.addDurable(i.controlSnapshot()...)
	}
	if s.config.Complete() && s.config.Version() >= 0 && s.configSnapshots.due(now, interval+jitter/2, owner) {
		s.configSnapshots.writtenAt = now
		records := s.config.SnapshotRecords(s.configSnapshots.next, i.snapshotID())
		for _, rec := range records {
			i.setOrigin(rec)
		}
		i.configAppender.addDurable(records...)
	}
}

func (i *Instance) snapshotID() string {
	return fmt.Sprintf("%s/%x/s%d", i.id.Name, i.id.Incarnation, i.sequence.Add(1))
}

func (i *Instance) controlSnapshot() []*pb.StreamRecord {
	s := &i.state
	parts := splitJobs(i.runner.SnapshotJobs())
	id := i.snapshotID()
	records := make([]*pb.StreamRecord, len(parts))
	for n, jobs := range parts {
		snapshot := &pb.ControlSnapshot{
			CoversTo: s.core.Position(), SnapshotId: id, Part: int32(n), Parts: int32(len(parts)), Jobs: jobs,
		}
		if n == 0 {
			snapshot.Owners = s.core.Snapshot()
		}
		records[n] = &pb.StreamRecord{
			Id:   fmt.Sprintf("%s/%d", id, n),
			Body: &pb.StreamRecord_ControlSnapshot{ControlSnapshot: snapshot},
		}
		i.setOrigin(records[n])
	}
	return records
}

// splitJobs splits jobs into parts; there is at least one.
func splitJobs(jobs []*pb.Job) [][]*pb.Job {
	var parts [][]*pb.Job
	var part []*pb.Job
	size := 0
	for _, job := range jobs {
		bytes := proto.Size(job)
		if len(part) > 0 && size+bytes > snapshotPartBytes {
			parts, part, size = append(parts, part), nil, 0
		}
		part, size = append(part, job), size+bytes
	}
	return append(parts, part)
}

// snapshotScan looks for the first complete snapshot of a control stream that covers
// all records that are missing.
type snapshotScan struct {
	snapshots map[string]*foundSnapshot
	// jobIDs holds the ids of job records in order, for the check on
	// duplicates.
	jobIDs []scannedID
}

type scannedID struct {
	offset int64
	id     string
}

type foundSnapshot struct {
	coversTo int64
	offset   int64
	at       time.Time
	parts    map[int32]*pb.ControlSnapshot
}

func newSnapshotScan() *snapshotScan {
	return &snapshotScan{snapshots: make(map[string]*foundSnapshot)}
}

func (s *snapshotScan) add(records []streamRecord, firstRetained int64) *foundSnapshot {
	for _, r := range records {
		if r.rec.GetJob() != nil {
			s.jobIDs = append(s.jobIDs, scannedID{r.offset, r.rec.GetId()})
		}
		part := r.rec.GetControlSnapshot()
		if part == nil || part.GetParts() < 1 || part.GetParts() > maxSnapshotParts ||
			part.GetCoversTo() > r.offset || part.GetCoversTo() < firstRetained {
			continue
		}
		found := s.snapshots[part.GetSnapshotId()]
		if found == nil {
			found = &foundSnapshot{coversTo: part.GetCoversTo(), parts: make(map[int32]*pb.ControlSnapshot)}
			s.snapshots[part.GetSnapshotId()] = found
		}
		found.parts[part.GetPart()] = part
		found.offset, found.at = r.offset, r.at
		if len(found.parts) == int(part.GetParts()) {
			return found
		}
	}
	return nil
}

// restore takes a snapshot before the first record is applied.
func (i *Instance) restore(found *foundSnapshot, jobIDs []scannedID) {
	s := &i.state
	var owners []*pb.PartitionOwner
	var jobs []*pb.Job
	for n := range len(found.parts) {
		part := found.parts[int32(n)]
		owners = append(owners, part.GetOwners()...)
		jobs = append(jobs, part.GetJobs()...)
	}
	for _, scanned := range jobIDs {
		if scanned.offset < found.coversTo {
			s.seen.add(scanned.id)
		}
	}
	s.core.Restore(found.coversTo, owners)
	i.runner.Restore(jobs)
	s.controlSnapshots.seen(found.offset, found.at)
	s.started = true
	i.recordEvent("control_restored", fmt.Sprintf("snapshot at %d covers the records before %d, %d jobs", found.offset, found.coversTo, len(jobs)))
}
