package jobs

import (
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"

	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/remote"
)

// advanceJobs advances every job that may have a call to make or a record to
// append.
func (c *Core) advanceJobs(now time.Time) {
	for _, id := range sortedKeys(c.toAdvance) {
		j := c.toAdvance[id]
		c.advance(j, now)
		c.appendRecord(j)
		if c.settled(j) {
			delete(c.toAdvance, id)
		}
	}
}

// settled reports whether a job has nothing to do until its next input.
func (c *Core) settled(j *job) bool {
	if j.dirty {
		return false
	}
	switch j.rec.State {
	case pb.JobState_JOB_STATE_STARTING, pb.JobState_JOB_STATE_CHECKPOINTING:
		return false
	case pb.JobState_JOB_STATE_RUNNING:
		return !j.stopping() && j.attempt.percent == j.attempt.wantPercent
	}
	return true
}

// advance makes the next call for a job's attempt, if one is due.
func (c *Core) advance(j *job, now time.Time) {
	a := &j.attempt
	if a.call != 0 || now.Before(a.retryAt) || !j.placed() {
		return
	}
	switch {
	case j.rec.State == pb.JobState_JOB_STATE_STARTING && !j.stopping():
		c.startAttempt(j, now)
	case j.stopping():
		c.stopAttempt(j, now)
	case a.percent != a.wantPercent:
		c.taskCall(j, Call{Kind: CallThrottle, Percent: a.wantPercent})
	}
}

// startAttempt starts an assigned attempt. The start waits until the assignment is
// recorded or, while the control stream can't be read, until another instance holds a
// copy of it: the next owner must know where a start in transit may take effect.
func (c *Core) startAttempt(j *job, now time.Time) {
	w := c.workers[j.rec.Worker]
	if !j.attempt.sent && (w == nil || !w.schedulable(now, c.opts)) {
		if c.mayUnassign(j) {
			c.unassign(j, "worker became unavailable before the start", now)
		}
		return
	}
	if !c.view.MayAct || c.awaitsStatus(j) {
		return
	}
	if !c.assignmentRecorded(j) && !c.disabled.startUnrecorded {
		if c.view.LogReadable {
			return
		}
		if !j.attempt.copyStored && !c.disabled.startUncopied {
			c.copyAssignment(j)
			return
		}
	}
	j.attempt.sent = true
	c.taskCall(j, Call{Kind: CallStart, Spec: remote.TaskSpec{
		Ref:        j.ref(),
		Workload:   j.rec.Workload,
		Needs:      remote.ResourcesFrom(j.rec.Needs),
		Checkpoint: j.rec.Checkpoint,
		Lease:      c.opts.lease,
		Epoch:      c.view.Epoch,
	}})
}

// mayUnassign reports whether an attempt whose start was not sent may be withdrawn. The
// next owner might start an attempt of which it holds a copy and no later record.
func (c *Core) mayUnassign(j *job) bool {
	return !j.attempt.copied || c.assignmentRecorded(j)
}

// unassign requeues the job of an attempt that was certainly not started. If a
// cancellation was requested, the job ends instead.
func (c *Core) unassign(j *job, reason string, now time.Time) {
	c.withdraw(j)
	j.rec.Worker = ""
	j.attempt = newAttempt()
	if j.rec.CancelRequested {
		c.end(j, pb.JobState_JOB_STATE_CANCELLED, "cancelled before the start", now)
		return
	}
	c.setState(j, pb.JobState_JOB_STATE_QUEUED, reason)
	c.enqueue(j, true)
}

// stopAttempt stops an attempt; an eviction takes a checkpoint first. The end of
// the attempt is detected from the worker's status.
func (c *Core) stopAttempt(j *job, now time.Time) {
	a := &j.attempt
	if !a.sent {
		if j.rec.CancelRequested {
			c.withdraw(j)
			c.end(j, pb.JobState_JOB_STATE_CANCELLED, "cancelled before the start", now)
		} else if c.mayUnassign(j) {
			c.unassign(j, a.evict, now)
		}
		return
	}
	if j.rec.State == pb.JobState_JOB_STATE_STARTING && a.startUnknown && !a.refused {
		// A start that is still in transit would take effect after the stop. A
		// second start makes the attempt known to the worker, which then ignores
		// a late one.
		c.startAttempt(j, now)
		return
	}
	if !j.rec.CancelRequested && !c.view.MayAct {
		return // an eviction needs the permission to act, a cancellation doesn't
	}
	if !a.checkpointOver && !j.rec.CancelRequested && j.rec.State == pb.JobState_JOB_STATE_CHECKPOINTING {
		a.checkpoints++
		c.taskCall(j, Call{Kind: CallCheckpoint})
		return
	}
	c.taskCall(j, Call{Kind: CallStop})
}

// evict begins the eviction of a starting or running attempt, unless it is
// stopping already.
func (c *Core) evict(j *job, reason string) {
	if !j.placed() || j.stopping() {
		return
	}
	j.attempt.evict = reason
	j.rec.Evictions++
	if j.rec.State == pb.JobState_JOB_STATE_RUNNING {
		j.attempt.checkpointOver = !c.checkpointable(j)
		c.setState(j, pb.JobState_JOB_STATE_CHECKPOINTING, reason)
		return
	}
	c.event(j.rec, "evicting", reason)
	c.markDirty(j)
}

func (c *Core) checkpointable(j *job) bool {
	if c.view.Config == nil {
		return false
	}
	return c.view.Config.Jobs[j.rec.Name].GetCheckpointable()
}

func (c *Core) taskCall(j *job, call Call) {
	call.Seq = c.nextSeq()
	call.Worker = j.rec.Worker
	call.Ref = j.ref()
	j.attempt.call = call.Seq
	c.out.Calls = append(c.out.Calls, call)
}

// CallDone applies the result of a worker call. Duplicate results, and results
// for attempts that have ended, are ignored.
func (c *Core) CallDone(r CallResult, now time.Time) {
	if !c.active {
		return
	}
	switch r.Call.Kind {
	case CallStatus:
		c.statusDone(r, now)
		return
	case CallRenew:
		c.renewDone(r, now)
		return
	}
	w := c.workers[r.Call.Worker]
	if w != nil && r.Call.Kind == CallStart && !r.NotSent {
		w.extendLease(now.Add(c.opts.lease))
	}
	j := c.jobs[r.Call.Ref.Job]
	if j == nil || j.attempt.call != r.Call.Seq {
		if w != nil {
			w.orphanStopDone(r.Call)
		}
		return
	}
	j.attempt.call = 0
	c.toAdvance[j.rec.Id] = j
	switch r.Call.Kind {
	case CallStart:
		c.startDone(j, r, now)
	case CallStop:
		c.stopDone(j, r, now)
	case CallCheckpoint:
		c.checkpointDone(j, r, now)
	case CallThrottle:
		c.throttleDone(j, r, now)
	}
	c.advance(j, now)
	c.appendRecord(j)
}

func (c *Core) startDone(j *job, r CallResult, now time.Time) {
	a := &j.attempt
	switch {
	case r.NotSent:
		a.sent = a.startUnknown || j.predatesTakeover && a.sent
		a.retryAt = now.Add(retryDelay)
	case r.Err == nil:
		c.confirmStart(j, now)
	case refused(r.Err) && !a.startUnknown:
		c.refusedStart(j, r.Err, now)
	case refused(r.Err):
		// The earlier, unanswered start of this attempt may have taken effect.
		a.evict = "start refused after an unanswered start"
		a.refused = true
		c.markDirty(j)
	default:
		a.startUnknown = true
		a.backOff(now)
	}
}

func (c *Core) refusedStart(j *job, err error, now time.Time) {
	if w := c.workers[j.rec.Worker]; w != nil {
		c.workerFailed(w, j.rec, now)
	}
	c.unassign(j, "start refused: "+err.Error(), now)
}

// confirmStart applies the confirmation by the worker that it runs the attempt.
func (c *Core) confirmStart(j *job, now time.Time) {
	if j.rec.State != pb.JobState_JOB_STATE_STARTING {
		return
	}
	a := &j.attempt
	a.sent, a.startUnknown = true, false
	a.confirmSeq = c.seq
	a.startedAt = now
	a.delay = 0
	c.setState(j, pb.JobState_JOB_STATE_RUNNING, "worker confirmed the start")
	c.out.Updates = append(c.out.Updates, JobUpdate{Job: cloneJob(j.rec), Confirmed: true})
	if a.evict != "" {
		a.checkpointOver = !c.checkpointable(j)
		c.setState(j, pb.JobState_JOB_STATE_CHECKPOINTING, a.evict)
	}
}

func (c *Core) stopDone(j *job, r CallResult, now time.Time) {
	if c.disabled.requeueUnstopped {
		c.attemptEnded(j, remote.TaskStatus{State: remote.TaskStopped}, now)
		return
	}
	if r.Err != nil && !refused(r.Err) {
		j.attempt.backOff(now)
		return
	}
	// The next status shows whether the attempt has ended. Until then the stop is
	// retried with backoff.
	j.attempt.stopSeq = c.seq
	j.attempt.backOff(now)
	if w := c.workers[j.rec.Worker]; w != nil {
		w.pollNow(now)
	}
}

func (c *Core) checkpointDone(j *job, r CallResult, now time.Time) {
	a := &j.attempt
	switch {
	case r.Err == nil:
		a.checkpointOver = true
		a.delay = 0
		j.rec.Checkpoint = r.Checkpoint
		c.markDirty(j)
	case refused(r.Err) || a.checkpoints >= maxCheckpointCalls:
		a.checkpointOver = true
	default:
		a.backOff(now)
	}
}

func (c *Core) throttleDone(j *job, r CallResult, now time.Time) {
	a := &j.attempt
	switch {
	case r.Err == nil:
		a.percent = r.Call.Percent
		a.delay = 0
		c.event(j.rec, "throttled", fmt.Sprintf("%d %% of CPU time", a.percent))
	case refused(r.Err):
		a.wantPercent = a.percent
	default:
		a.backOff(now)
	}
}

// backOff doubles the retry delay, within its bounds, and sets the time of the
// next retry.
func (a *attemptState) backOff(now time.Time) {
	a.delay = min(max(2*a.delay, retryDelay), maxRetryDelay)
	a.retryAt = now.Add(a.delay)
}

// refused reports whether a worker answered a call with a refusal, so that the
// call had no effect.
func refused(err error) bool {
	var r *remote.RefusedError
	return errors.As(err, &r)
}

// attemptEnded handles the end of a job's newest attempt. It must be certain that
// the attempt has ended, since the job may be started again.
func (c *Core) attemptEnded(j *job, s remote.TaskStatus, now time.Time) {
	w := c.workers[j.rec.Worker]
	evicted := j.attempt.evict
	if s.Checkpoint != "" {
		j.rec.Checkpoint = s.Checkpoint
	}
	c.release(j)
	j.attempt = newAttempt()
	switch {
	case s.State == remote.TaskDone:
		if w != nil {
			w.succeeded()
		}
		c.end(j, pb.JobState_JOB_STATE_DONE, "", now)
	case j.rec.CancelRequested:
		c.end(j, pb.JobState_JOB_STATE_CANCELLED, "cancelled by the caller", now)
	case s.State == remote.TaskFailed:
		c.attemptFailed(j, w, s.Reason, now)
	default:
		c.event(j.rec, stateName(pb.JobState_JOB_STATE_STOPPED), string(s.State)+" "+evicted)
		c.requeue(j, evicted, now)
	}
}

// reasonRecordLost is the reason of a failed job that can't be started again,
// because its declaration name is unknown.
const reasonRecordLost = "the attempt ended and the job's record is lost"

// requeue queues a job again after its attempt has certainly ended. A job whose
// record is lost fails instead.
func (c *Core) requeue(j *job, reason string, now time.Time) {
	if j.rec.Name == "" {
		// The job was adopted from a worker without its record.
		c.end(j, pb.JobState_JOB_STATE_FAILED, reasonRecordLost, now)
		return
	}
	j.rec.Worker = ""
	c.setState(j, pb.JobState_JOB_STATE_QUEUED, reason)
	c.enqueue(j, true)
}

// attemptFailed handles a failed attempt. Each failure counts against the worker,
// but only the first failure on a worker counts against the job, so that a faulty
// worker can't use up the attempts of a job. The job is requeued until it reaches
// its limit.
func (c *Core) attemptFailed(j *job, w *worker, reason string, now time.Time) {
	if w != nil {
		c.workerFailed(w, j.rec, now)
	}
	if !slices.Contains(j.rec.FailedWorkers, j.rec.Worker) {
		j.rec.FailedWorkers = append(j.rec.FailedWorkers, j.rec.Worker)
	}
	limit := c.attemptLimit(j)
	tries := int(j.rec.Attempt - j.rec.Evictions)
	if len(j.rec.FailedWorkers) < limit && tries < attemptsPerWorkerFailure*limit {
		j.rec.Reason = reason
		c.requeue(j, "failed: "+reason, now)
		return
	}
	c.clearFailures(j.rec)
	c.end(j, pb.JobState_JOB_STATE_FAILED, fmt.Sprintf("failed on %d workers: %s", len(j.rec.FailedWorkers), reason), now)
}

// attemptLimit returns the number of different workers on which a job's attempts
// may fail before the job itself fails.
func (c *Core) attemptLimit(j *job) int {
	if c.view.Config != nil {
		if n := c.view.Config.Jobs[j.rec.Name].GetMaxAttempts(); n > 0 {
			return int(n)
		}
	}
	return c.opts.maxAttempts
}

// release removes the job's attempt from its worker, which frees its capacity.
func (c *Core) release(j *job) {
	if w := c.workers[j.rec.Worker]; w != nil {
		delete(w.jobs, j.rec.Id)
	}
	c.planDue = true
}

// unsentAttempt is an assignment that was withdrawn before its start was sent.
type unsentAttempt struct {
	worker  string
	attempt int32
	needs   remote.Resources
}

// withdraw releases the capacity of an attempt that was certainly not started: at
// once if no other instance can know of its assignment, else once a later record is read back.
func (c *Core) withdraw(j *job) {
	if j.recording || j.attempt.copied || c.assignmentRecorded(j) {
		c.unsent[j.rec.Id] = append(c.unsent[j.rec.Id], unsentAttempt{
			worker: j.rec.Worker, attempt: j.rec.Attempt, needs: remote.ResourcesFrom(j.rec.Needs),
		})
	}
	c.release(j)
}

// forgetUnsent forgets the withdrawn assignments that a record of their job replaces.
func (c *Core) forgetUnsent(rec *pb.Job) {
	attempts, known := c.unsent[rec.Id]
	if !known {
		return
	}
	placed := newJob(rec).placed()
	attempts = slices.DeleteFunc(attempts, func(a unsentAttempt) bool {
		return a.attempt < rec.Attempt || a.attempt == rec.Attempt && !(placed && a.worker == rec.Worker)
	})
	if len(attempts) > 0 {
		c.unsent[rec.Id] = attempts
		return
	}
	delete(c.unsent, rec.Id)
	c.planDue = true
}
