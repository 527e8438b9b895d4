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

// takeOver builds the owner's state from the recorded jobs and the copies of
// unrecorded ones. Attempts count as running until their worker has sent a status.
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
		j.predatesTakeover = true
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
	for _, id := range sortedKeys(c.copies) {
		c.adoptCopy(c.copies[id], now)
	}
	c.workerEvent("", "jobs_taken_over", fmt.Sprintf("epoch %d, %d jobs", c.view.Epoch, len(c.jobs)))
}

// adoptRecorded adopts an attempt that may be running according to its record.
func (c *Core) adoptRecorded(j *job, now time.Time) {
	w := c.ensureWorker(j.rec.Worker, now)
	w.jobs[j.rec.Id] = j
	j.attempt.sent = true
	j.attempt.startUnknown = j.rec.State == pb.JobState_JOB_STATE_STARTING
	switch j.rec.State {
	case pb.JobState_JOB_STATE_RUNNING:
		j.attempt.confirmSeq = c.nextSeq()
		j.attempt.startedAt = now
	case pb.JobState_JOB_STATE_CHECKPOINTING:
		j.attempt.confirmSeq = c.nextSeq()
		j.attempt.evict = "eviction continued after a takeover"
		j.attempt.checkpointOver = !c.checkpointable(j)
	}
	c.toAdvance[j.rec.Id] = j
}

// adoptUnknown handles the attempts in a worker's status that this owner does not
// know there. Running ones are adopted or stopped, and the end of a job without a
// record is recorded.
func (c *Core) adoptUnknown(w *worker, seen map[remote.TaskRef]*remote.TaskStatus, now time.Time) {
	for ref := range w.orphans {
		if s := seen[ref]; s == nil || s.State != remote.TaskRunning {
			delete(w.orphans, ref)
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
			if j == nil && c.recorded[ref.Job] == nil && !w.statusReceived {
				c.storeUnrecordedEnd(w, s, now)
			}
		case j == nil && c.recorded[ref.Job] == nil:
			c.adoptUnrecorded(w, s, now)
		default:
			c.stopOrphan(w, s)
		}
	}
}

// adoptNewer adopts an attempt that an earlier owner started while the control
// stream could not be read. Earlier attempts of the job ended before it started.
func (c *Core) adoptNewer(j *job, w *worker, s *remote.TaskStatus, now time.Time) {
	c.dequeue(j)
	c.release(j)
	j.attempt = newAttempt()
	j.attempt.sent = true
	j.rec.Attempt = int32(s.Ref.Attempt)
	j.rec.Worker = w.inst.Name
	w.jobs[j.rec.Id] = j
	c.setState(j, pb.JobState_JOB_STATE_STARTING, "adopted from its worker")
	c.applyTaskStatus(j, s, c.seq, false, now)
}

// adoptUnrecorded adopts an attempt of an urgent job that an earlier owner
// accepted while the control stream could not be read, and could not record before
// it stopped.
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
	c.applyTaskStatus(j, s, c.seq, false, now)
}

// endedAttempt is an attempt that had ended before this owner learned of its job.
type endedAttempt struct {
	worker string
	status remote.TaskStatus
}

// storeUnrecordedEnd stores the end of an attempt of a job without a record. An
// earlier owner accepted the job while the control stream could not be read, and
// could not record it before it stopped. A completed attempt ends the job at once.
// Any other end counts only after all workers have sent a status, since a later
// attempt may be running on another worker.
func (c *Core) storeUnrecordedEnd(w *worker, s *remote.TaskStatus, now time.Time) {
	if _, issued, err := parseID(s.Ref.Job); err == nil && issued.UnixMilli() <= c.newestDroppedMS {
		return // the job may have finished and its record have been dropped
	}
	old, known := c.unrecordedEnds[s.Ref.Job]
	if !known || s.Ref.Attempt > old.status.Ref.Attempt {
		c.unrecordedEnds[s.Ref.Job] = endedAttempt{worker: w.inst.Name, status: *s}
	}
	if s.State == remote.TaskDone {
		c.recordEnd(s.Ref.Job, now)
	}
}

// recordEnd appends a final record for a job of which only its last attempt is
// known, so that callers can look the job up and its id does not run again.
func (c *Core) recordEnd(id string, now time.Time) {
	last, known := c.unrecordedEnds[id]
	delete(c.unrecordedEnds, id)
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
	c.appendRecord(j)
}

// stopOrphan stops an attempt that must not run any longer.
func (c *Core) stopOrphan(w *worker, s *remote.TaskStatus) {
	o := w.orphans[s.Ref]
	if o == nil {
		o = &orphan{}
		w.orphans[s.Ref] = o
		c.workerEvent(w.inst.Name, "attempt_unexpected", s.Ref.String())
	}
	o.usage = s.Usage
	if o.stop != 0 {
		return
	}
	o.stop = c.nextSeq()
	c.out.Calls = append(c.out.Calls, Call{Seq: o.stop, Kind: CallStop, Worker: w.inst.Name, Ref: s.Ref})
}

// orphanStopDone handles the end of a call that stops an orphan. The next status
// shows whether the orphan has ended.
func (w *worker) orphanStopDone(call Call) {
	if o := w.orphans[call.Ref]; o != nil && o.stop == call.Seq {
		o.stop = 0
	}
}

// SnapshotJobs returns the recorded state of all jobs. Finished jobs come last,
// oldest first, which is the order that Restore needs.
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

// Restore replaces the recorded state with that of a snapshot.
func (c *Core) Restore(jobs []*pb.Job) {
	c.recorded = make(map[string]*pb.Job, len(jobs))
	c.ended = nil
	for _, rec := range jobs {
		c.storeRecorded(cloneJob(rec))
	}
	if c.active {
		// An owner that did not read trimmed records rebuilds its state with the next
		// view.
		c.reset()
		c.view.Own = false
	}
}
