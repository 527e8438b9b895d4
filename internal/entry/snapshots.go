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
	// snapshotPartBytes bounds the jobs in one part of a snapshot, unless a
	// single job is larger. It is below the record size that log services
	// commonly accept.
	snapshotPartBytes = 256 << 10
	maxSnapshotParts  = 10_000
	// minSnapshotInterval bounds the rate of snapshots if the log retains few
	// records.
	minSnapshotInterval = 2 * time.Second
	// nonOwnerDelay is how long other instances wait for the owner of the job
	// partition to write an overdue snapshot.
	nonOwnerDelay = 3 * minSnapshotInterval
	// jitterSteps is the number of different jitters, which spread the snapshots
	// of several writers.
	jitterSteps = 8
)

// snapshotSchedule decides when a stream needs a new snapshot.
type snapshotSchedule struct {
	// at is the offset of the newest snapshot, storedAt its time in the log.
	at          int64
	storedAt    time.Time
	hasSnapshot bool
	// writtenAt is when this instance last appended a snapshot, or began to wait
	// for the first interval to pass.
	writtenAt time.Time
	// overdueSince is when the newest snapshot was first found missing or in the
	// older half of the retained records, zero otherwise.
	overdueSince time.Time

	// next, firstRetained and end are offsets: the next to read, and the bounds
	// of the stream.
	next, firstRetained, end int64
}

// seen records that a snapshot was read.
func (s *snapshotSchedule) seen(offset int64, at time.Time) {
	s.at, s.storedAt, s.hasSnapshot = offset, at, true
}

// setPosition records the position of the reader after a batch.
func (s *snapshotSchedule) setPosition(next int64, batch remote.Batch) {
	s.next, s.firstRetained, s.end = next, batch.FirstRetained, batch.Next
}

// due reports whether to write a snapshot: the interval has passed, or records
// have been trimmed and the newest snapshot is missing or in the older half of
// those that the log retains. In the latter case only the owner of the job
// partition writes without delay.
func (s *snapshotSchedule) due(now time.Time, interval time.Duration, owner bool) bool {
	if s.end == 0 || s.next < s.end || now.Sub(s.writtenAt) < minSnapshotInterval {
		return false
	}
	if s.firstRetained > 0 && (!s.hasSnapshot || s.at < s.firstRetained+(s.end-s.firstRetained)/2) {
		if s.overdueSince.IsZero() {
			s.overdueSince = now
		}
		return owner || now.Sub(s.overdueSince) >= nonOwnerDelay
	}
	s.overdueSince = time.Time{}
	if !s.hasSnapshot && s.writtenAt.IsZero() {
		s.writtenAt = now
		return false
	}
	return now.Sub(s.writtenAt) >= interval && now.Sub(s.storedAt) >= interval
}

// writeSnapshots appends the snapshots that are due. The owner of the job
// partition writes them; other instances do so only after a longer time.
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

// controlSnapshot returns the parts of a snapshot of ownership and jobs.
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

// splitJobs splits jobs into parts of limited size. It returns at least one part.
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

// snapshotScan finds the first complete snapshot of a control stream that covers
// all trimmed records.
type snapshotScan struct {
	snapshots map[string]*foundSnapshot
	// jobIDs holds the ids of the job records in order, to detect duplicates
	// after the restore.
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

// add adds the records of one read. It returns the snapshot that they complete,
// nil for none.
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

// restore applies a snapshot before the first record is applied. The job records
// that the snapshot covers count as seen.
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
	i.recordEvent("control_restored", fmt.Sprintf("snapshot at offset %d covers the records before offset %d and holds %d jobs", found.offset, found.coversTo, len(jobs)))
}
