package daemon

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/scheduler"
	"gooseberryreel/internal/store"
)

// storedState is what the store contains as of a claim.
type storedState struct {
	owner        *pb.OwnerRecord
	claimedAt    time.Duration // boot time before the claim
	end          int64         // offset after the last record of the job topic
	jobs         map[string]*scheduler.JobRecord
	unreadable   map[string]bool // jobs with a record that can't be decoded
	interference *pb.StoredPairs
	suspects     map[string]int32 // owners that have failed while they worked on a job
	intake       []store.Record
	intakeEnd    []int64 // end offset by partition
}

// epoch returns the epoch of the claim, 0 if the claim failed.
func (s *storedState) epoch() int64 {
	if s == nil {
		return 0
	}
	return s.owner.GetEpoch()
}

func (i *Instance) readJobs(ctx context.Context) (*storedState, error) {
	records, end, err := i.store.Newest(ctx, jobTopic)
	if err != nil {
		return nil, errors.Wrap(err, "read jobs")
	}
	s := &storedState{end: end, jobs: make(map[string]*scheduler.JobRecord, len(records)), unreadable: make(map[string]bool), interference: &pb.StoredPairs{}, suspects: make(map[string]int32)}
	for _, r := range records {
		err := s.decode(r)
		if err != nil && r.Key == ownerKey {
			return nil, errors.Wrapf(err, "decode record %q", r.Key)
		}
		if err != nil {
			id, _, _ := strings.Cut(r.Key, blockSeparator)
			s.unreadable[id] = true
			i.reportUnreadable(jobTopic.Topic, r.Key, err)
		}
	}
	return s, nil
}

func (s *storedState) decode(r store.Record) error {
	id, block, isBlock := strings.Cut(r.Key, blockSeparator)
	switch id {
	case ownerKey:
		s.owner = &pb.OwnerRecord{}
		return proto.Unmarshal(r.Value, s.owner)
	case interferenceKey:
		return proto.UnmarshalOptions{Merge: true}.Unmarshal(r.Value, s.interference)
	case suspectKey:
		suspect := &pb.StoredSuspect{}
		err := proto.Unmarshal(r.Value, suspect)
		s.suspects[block] = suspect.GetCrashes()
		return err
	}
	job := s.jobs[id]
	if job == nil {
		job = &scheduler.JobRecord{Blocks: make(map[int]*pb.StoredTaskBlock)}
		s.jobs[id] = job
	}
	if !isBlock {
		job.State = &pb.StoredJob{}
		return proto.Unmarshal(r.Value, job.State)
	}
	number, err := strconv.Atoi(block)
	if err != nil {
		return errors.Wrap(err, "number of the block")
	}
	job.Blocks[number] = &pb.StoredTaskBlock{}
	return proto.Unmarshal(r.Value, job.Blocks[number])
}

// coreOptions returns the options of an owner's core.
func (i *Instance) coreOptions(owner *pb.OwnerRecord) scheduler.Options {
	bounds := i.settings.GetBounds()
	return scheduler.Options{
		Epoch:     owner.GetEpoch(),
		Lease:     time.Duration(bounds.GetLeaseMs()) * time.Millisecond,
		HarmLimit: time.Duration(bounds.GetHarmMs()) * time.Millisecond,
		Retention: time.Duration(bounds.GetStatusS() * float64(time.Second)),

		EvacuationBound: time.Duration(bounds.GetEvacuateMs()) * time.Millisecond,
		RemoteFactor:    bounds.GetRemoteFactor(),
		HoldLeasesBack:  true,
	}
}

// restoreCore restores stored state in a new core: all submissions before the
// cancellations. It drops the values of the intake, which the core keeps decoded.
func (i *Instance) restoreCore(core *scheduler.Core, s *storedState, now time.Time) {
	core.RestoreInterference(s.interference)
	submitted := make(map[string]bool, len(s.intake))
	var cancelled []string
	for n, r := range s.intake {
		s.intake[n].Value = nil
		submitted[r.Key] = true
		record := &pb.IntakeRecord{}
		if err := proto.Unmarshal(r.Value, record); err != nil {
			i.reportUnreadable(intakeTopic, r.Key, err)
			continue
		}
		sub := record.GetSubmission()
		switch {
		case sub == nil:
			cancelled = append(cancelled, record.GetCancelled())
		case s.suspects[sub.GetId()] >= maxOwnerCrashes:
			core.SetAside(sub, s.jobs[sub.GetId()], now)
		case s.unreadable[sub.GetId()]:
			core.RestoreUnreadable(sub, now)
		default:
			core.Restore(sub, s.jobs[sub.GetId()], now)
		}
	}
	for _, id := range cancelled {
		if id != "" {
			core.Cancel(id, now)
		}
	}
	s.removeLeftovers(core, submitted)
}

// removeLeftovers removes what an earlier owner could not remove before its term ended:
// the states of expired jobs, whose submissions are gone, and blocks that the state of
// their job does not refer to.
func (s *storedState) removeLeftovers(core *scheduler.Core, submitted map[string]bool) {
	for id := range s.suspects {
		if !submitted[id] {
			core.RemoveState(suspectKey + blockSeparator + id)
		}
	}
	for id, job := range s.jobs {
		expired := !submitted[id] && job.State != nil && job.State.GetPhase() != pb.JobPhase_JOB_PHASE_ACTIVE
		if expired {
			core.RemoveState(id)
		}
		if expired || !job.State.GetSplit() {
			for number := range job.Blocks {
				core.RemoveState(blockKey(id, number))
			}
		}
	}
}

// reportUnreadable counts and logs a record that can't be decoded.
func (i *Instance) reportUnreadable(topic, key string, err error) {
	i.metrics.unreadable.WithLabelValues(topic).Inc()
	i.log.WithField("event", "record unreadable").WithField("topic", topic).WithField("key", key).WithError(err).Error("store")
}
