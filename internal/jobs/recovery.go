package jobs

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/remote"
)

// takeOver builds the owner's state from the recorded jobs. Attempts count as
// running until their worker has answered.
func (c *Core) takeOver(now time.Time) {
	c.active = true
	c.tookOverAt = now
	var waiting []*job
	for _, id := range sortedKeys(c.recorded) {
		rec := c.recorded[id]
		if terminal(rec.State) {
			continue
		}
		j := newJob(cloneJob(rec))
		j.predates = true
		c.jobs[id] = j
		if j.placed() {
			c.adoptRecorded(j, now)
		} else {
			waiting = append(waiting, j)
		}
	}
	slices.SortStableFunc(waiting, func(a, b *job) int {
		return cmp.Or(cmp.Compare(a.rec.SubmittedMs, b.rec.SubmittedMs), cmp.Compare(a.rec.Id, b.rec.Id))
	})
	for _, j := range waiting {
		if j.rec.CancelRequested {
			c.end(j, pb.JobState_JOB_STATE_CANCELLED, "cancelled by the caller", now)
			continue
		}
		c.enqueue(j, false)
	}
	for _, id := range sortedKeys(c.kept) {
		c.adoptKept(c.kept[id], now)
	}
	c.workerEvent("", "jobs_taken_over", fmt.Sprintf("epoch %d, %d jobs", c.sit.Epoch, len(c.jobs)))
}

// adoptRecorded takes a recorded attempt that may be running.
func (c *Core) adoptRecorded(j *job, now time.Time) {
	w := c.workerNamed(j.rec.Worker, now)
	w.jobs[j.rec.Id] = j
	j.attempt.sent = true
	j.attempt.unknown = j.rec.State == pb.JobState_JOB_STATE_STARTING
	switch j.rec.State {
	case pb.JobState_JOB_STATE_RUNNING:
		j.attempt.confirmed = c.nextSeq()
		j.attempt.startedAt = now
	case pb.JobState_JOB_STATE_CHECKPOINTING:
		j.attempt.confirmed = c.nextSeq()
		j.attempt.evict = "eviction continued after a takeover"
		j.attempt.saved = !c.checkpointable(j)
	}
	c.hot[j.rec.Id] = j
}

// adoptUnknown takes running attempts that a worker reports and that this owner
// does not hold there.
func (c *Core) adoptUnknown(w *worker, seen map[remote.TaskRef]*remote.TaskStatus, now time.Time) {
	for ref := range w.ghosts {
		if s := seen[ref]; s == nil || s.State != remote.TaskRunning {
			delete(w.ghosts, ref)
			c.planDue = true
		}
	}
	refs := slices.SortedFunc(maps.Keys(seen), func(a, b remote.TaskRef) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Attempt, b.Attempt))
	})
	for _, ref := range refs {
		j := c.jobs[ref.Job]
		if j != nil && j.rec.Worker == w.inst.Name && j.ref() == ref && j.placed() {
			continue
		}
		s := seen[ref]
		switch {
		case j != nil && ref.Attempt > int(j.rec.Attempt):
			c.adoptNewer(j, w, s, now)
		case s.State != remote.TaskRunning:
			if j == nil && c.recorded[ref.Job] == nil && !w.answered {
				c.noteEnded(w, s, now)
			}
		case j == nil && c.recorded[ref.Job] == nil:
			c.adoptUnrecorded(w, s, now)
		default:
			c.stopGhost(w, s)
		}
	}
}

// adoptNewer takes an attempt that an earlier owner started while the stream
// could not be read. Earlier attempts had ended before it started.
func (c *Core) adoptNewer(j *job, w *worker, s *remote.TaskStatus, now time.Time) {
	c.dequeue(j)
	c.release(j)
	j.attempt = freshAttempt()
	j.attempt.sent = true
	j.rec.Attempt = int32(s.Ref.Attempt)
	j.rec.Worker = w.inst.Name
	w.jobs[j.rec.Id] = j
	c.setState(j, pb.JobState_JOB_STATE_STARTING, "adopted from its worker")
	c.compare(j, s, c.seq, false, now)
}

// adoptUnrecorded takes an attempt of an urgent job that an earlier owner
// accepted while the stream could not be read and did not live to record.
func (c *Core) adoptUnrecorded(w *worker, s *remote.TaskStatus, now time.Time) {
	j := newJob(&pb.Job{
		Id:          s.Ref.Job,
		Attempt:     int32(s.Ref.Attempt),
		Worker:      w.inst.Name,
		Urgent:      true,
		SubmittedMs: now.UnixMilli(),
		Needs:       &pb.Resources{},
	})
	j.attempt.sent = true
	c.jobs[j.rec.Id] = j
	w.jobs[j.rec.Id] = j
	c.setState(j, pb.JobState_JOB_STATE_STARTING, "adopted from its worker without a record")
	c.compare(j, s, c.seq, false, now)
}

// endedAttempt is an attempt that had ended before this owner first heard of
// its job.
type endedAttempt struct {
	worker string
	status remote.TaskStatus
}

// noteEnded keeps the end of an attempt of a job without a record: an earlier
// owner accepted the job while the stream could not be read, and did not live to
// record it. An end as done is final at once. Any other one counts only after
// all workers have answered, since a later attempt may run elsewhere.
func (c *Core) noteEnded(w *worker, s *remote.TaskStatus, now time.Time) {
	if _, issued, err := parseID(s.Ref.Job); err == nil && issued.UnixMilli() <= c.forgottenMS {
		return // its record was dropped with those of other finished jobs
	}
	old, known := c.endedUnknown[s.Ref.Job]
	if !known || s.Ref.Attempt > old.status.Ref.Attempt {
		c.endedUnknown[s.Ref.Job] = endedAttempt{worker: w.inst.Name, status: *s}
	}
	if s.State == remote.TaskDone {
		c.recordEnded(s.Ref.Job, now)
	}
}

// recordEnded gives a job that is known only by its last attempt its final
// record, so that callers can look it up and its id does not run again.
func (c *Core) recordEnded(id string, now time.Time) {
	last, known := c.endedUnknown[id]
	delete(c.endedUnknown, id)
	if !known || c.jobs[id] != nil || c.recorded[id] != nil {
		return
	}
	submitted := now
	if _, issued, err := parseID(id); err == nil {
		submitted = issued
	}
	j := newJob(&pb.Job{
		Id:          id,
		Attempt:     int32(last.status.Ref.Attempt),
		Worker:      last.worker,
		Checkpoint:  last.status.Checkpoint,
		Urgent:      true,
		SubmittedMs: submitted.UnixMilli(),
		Needs:       &pb.Resources{},
	})
	c.jobs[id] = j
	if last.status.State == remote.TaskDone {
		c.end(j, pb.JobState_JOB_STATE_DONE, "", now)
	} else {
		c.end(j, pb.JobState_JOB_STATE_FAILED, reasonRecordLost, now)
	}
	c.flush(j)
}

// stopGhost stops an attempt that must not run any more.
func (c *Core) stopGhost(w *worker, s *remote.TaskStatus) {
	g := w.ghosts[s.Ref]
	if g == nil {
		g = &ghost{}
		w.ghosts[s.Ref] = g
		c.workerEvent(w.inst.Name, "attempt_unexpected", s.Ref.String())
	}
	g.usage = s.Usage
	if g.stop != 0 {
		return
	}
	g.stop = c.nextSeq()
	c.out.Calls = append(c.out.Calls, Call{Seq: g.stop, Kind: CallStop, Worker: w.inst.Name, Ref: s.Ref})
}

// ghostDone notes the end of a call that stopped a ghost; the next status shows
// whether it has ended.
func (w *worker) ghostDone(call Call) {
	if g := w.ghosts[call.Ref]; g != nil && g.stop == call.Seq {
		g.stop = 0
	}
}

// SnapshotJobs returns the recorded state of all jobs, in the order in which
// Restore needs them.
func (c *Core) SnapshotJobs() []*pb.Job {
	out := make([]*pb.Job, 0, len(c.recorded))
	for _, id := range sortedKeys(c.recorded) {
		if rec := c.recorded[id]; !terminal(rec.State) {
			out = append(out, cloneJob(rec))
		}
	}
	for _, id := range c.ended {
		out = append(out, cloneJob(c.recorded[id]))
	}
	return out
}

// Restore replaces the recorded state by that of a snapshot.
func (c *Core) Restore(jobs []*pb.Job) {
	c.recorded = make(map[string]*pb.Job, len(jobs))
	c.ended = nil
	for _, rec := range jobs {
		c.remember(cloneJob(rec))
	}
	if c.active {
		// An owner whose reading had a gap rebuilds its state.
		c.reset()
		c.sit.Own = false
	}
}
