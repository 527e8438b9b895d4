package jobs

import (
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"

	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/remote"
)

// driveHot advances every job that may have something to do.
func (c *Core) driveHot(now time.Time) {
	for _, id := range sortedKeys(c.hot) {
		j := c.hot[id]
		c.drive(j, now)
		c.flush(j)
		if c.settled(j) {
			delete(c.hot, id)
		}
	}
}

// settled reports whether a job waits for nothing but an input.
func (c *Core) settled(j *job) bool {
	if j.dirty {
		return false
	}
	switch j.rec.State {
	case pb.JobState_JOB_STATE_STARTING, pb.JobState_JOB_STATE_CHECKPOINTING:
		return false
	case pb.JobState_JOB_STATE_RUNNING:
		return !j.stopping() && j.attempt.percent == j.attempt.want
	}
	return true
}

// drive makes the next call of a job's attempt, if one is due.
func (c *Core) drive(j *job, now time.Time) {
	a := &j.attempt
	if a.call != 0 || now.Before(a.retryAt) || !j.placed() {
		return
	}
	switch {
	case j.rec.State == pb.JobState_JOB_STATE_STARTING && !j.stopping():
		c.driveStart(j, now)
	case j.stopping():
		c.driveStop(j, now)
	case a.percent != a.want:
		c.taskCall(j, Call{Kind: CallThrottle, Percent: a.want})
	}
}

// driveStart starts an assigned attempt. The start waits for the recorded
// assignment, except while the stream can't be read.
func (c *Core) driveStart(j *job, now time.Time) {
	w := c.workers[j.rec.Worker]
	if !j.attempt.sent && (w == nil || !w.usable(now, c.opts)) {
		c.unassign(j, "worker became unavailable before the start", now)
		return
	}
	if !c.sit.MayAct || c.holds(j) {
		return
	}
	if c.sit.LogReadable && !c.assigned(j) && !c.faults.skipRecord {
		return
	}
	j.attempt.sent = true
	c.taskCall(j, Call{Kind: CallStart, Spec: remote.TaskSpec{
		Ref:        j.ref(),
		Workload:   j.rec.Workload,
		Needs:      remote.ResourcesFrom(j.rec.Needs),
		Checkpoint: j.rec.Checkpoint,
		Lease:      c.opts.lease,
		Epoch:      c.sit.Epoch,
	}})
}

// unassign returns an attempt that was certainly never sent to the queue.
func (c *Core) unassign(j *job, reason string, now time.Time) {
	c.release(j)
	j.rec.Worker = ""
	j.attempt = freshAttempt()
	if j.rec.CancelRequested {
		c.end(j, pb.JobState_JOB_STATE_CANCELLED, "cancelled before the start", now)
		return
	}
	c.setState(j, pb.JobState_JOB_STATE_QUEUED, reason)
	c.enqueue(j, true)
}

// driveStop checkpoints (for an eviction) and stops an attempt. The end itself
// is read from the worker's status.
func (c *Core) driveStop(j *job, now time.Time) {
	a := &j.attempt
	if !a.sent {
		if j.rec.CancelRequested {
			c.release(j)
			c.end(j, pb.JobState_JOB_STATE_CANCELLED, "cancelled before the start", now)
		} else {
			c.unassign(j, a.evict, now)
		}
		return
	}
	if j.rec.State == pb.JobState_JOB_STATE_STARTING && a.unknown && !a.refused {
		// A start that is still on its way would take effect after the stop. A
		// second start makes the worker know the attempt, so that it ignores a
		// late one.
		c.driveStart(j, now)
		return
	}
	if !j.rec.CancelRequested && !c.sit.MayAct {
		return // evictions need permission, cancellations do not
	}
	if !a.saved && !j.rec.CancelRequested && j.rec.State == pb.JobState_JOB_STATE_CHECKPOINTING {
		a.checkpoints++
		c.taskCall(j, Call{Kind: CallCheckpoint})
		return
	}
	c.taskCall(j, Call{Kind: CallStop})
}

// evict begins the eviction of a running or starting attempt.
func (c *Core) evict(j *job, reason string) {
	if !j.placed() || j.stopping() {
		return
	}
	j.attempt.evict = reason
	j.rec.Evictions++
	if j.rec.State == pb.JobState_JOB_STATE_RUNNING {
		j.attempt.saved = !c.checkpointable(j)
		c.setState(j, pb.JobState_JOB_STATE_CHECKPOINTING, reason)
		return
	}
	c.event(j.rec, "evicting", reason)
	c.touch(j)
}

func (c *Core) checkpointable(j *job) bool {
	if c.sit.Config == nil {
		return false
	}
	return c.sit.Config.Jobs[j.rec.Name].GetCheckpointable()
}

func (c *Core) taskCall(j *job, call Call) {
	call.Seq = c.nextSeq()
	call.Worker = j.rec.Worker
	call.Ref = j.ref()
	j.attempt.call = call.Seq
	c.out.Calls = append(c.out.Calls, call)
}

// CallDone takes the result of a worker call. Results that repeat or that
// belong to an attempt that has ended are ignored.
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
			w.ghostDone(r.Call)
		}
		return
	}
	j.attempt.call = 0
	c.hot[j.rec.Id] = j
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
	c.drive(j, now)
	c.flush(j)
}

func (c *Core) startDone(j *job, r CallResult, now time.Time) {
	a := &j.attempt
	switch {
	case r.NotSent:
		a.sent = a.unknown || j.predates && a.sent
		a.retryAt = now.Add(retryDelay)
	case r.Err == nil:
		c.confirm(j, now)
	case refused(r.Err) && !a.unknown:
		c.refusedStart(j, r.Err, now)
	case refused(r.Err):
		// An earlier start of this attempt may have taken effect.
		a.evict = "start refused after an unanswered start"
		a.refused = true
		c.touch(j)
	default:
		a.unknown = true
		a.backOff(now)
	}
}

func (c *Core) refusedStart(j *job, err error, now time.Time) {
	if w := c.workers[j.rec.Worker]; w != nil {
		c.workerFailed(w, j.rec, now)
	}
	c.unassign(j, "start refused: "+err.Error(), now)
}

// confirm notes that the worker runs the attempt.
func (c *Core) confirm(j *job, now time.Time) {
	if j.rec.State != pb.JobState_JOB_STATE_STARTING {
		return
	}
	a := &j.attempt
	a.sent, a.unknown = true, false
	a.confirmed = c.seq
	a.startedAt = now
	a.delay = 0
	c.setState(j, pb.JobState_JOB_STATE_RUNNING, "worker confirmed the start")
	c.out.Updates = append(c.out.Updates, JobUpdate{Job: cloneJob(j.rec), Confirmed: true})
	if a.evict != "" {
		a.saved = !c.checkpointable(j)
		c.setState(j, pb.JobState_JOB_STATE_CHECKPOINTING, a.evict)
	}
}

func (c *Core) stopDone(j *job, r CallResult, now time.Time) {
	if c.faults.requeueUnstopped {
		c.attemptEnded(j, remote.TaskStatus{State: remote.TaskStopped}, now)
		return
	}
	if r.Err != nil && !refused(r.Err) {
		j.attempt.backOff(now)
		return
	}
	// The next status shows whether the attempt has ended; until then the stop
	// is repeated now and then.
	j.attempt.stopped = c.seq
	j.attempt.backOff(now)
	if w := c.workers[j.rec.Worker]; w != nil {
		w.pollNow(now)
	}
}

func (c *Core) checkpointDone(j *job, r CallResult, now time.Time) {
	a := &j.attempt
	switch {
	case r.Err == nil:
		a.saved = true
		a.delay = 0
		j.rec.Checkpoint = r.Checkpoint
		c.touch(j)
	case refused(r.Err) || a.checkpoints >= checkpointTries:
		a.saved = true
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
		c.event(j.rec, "throttled", fmt.Sprintf("%d %% of processor time", a.percent))
	case refused(r.Err):
		a.want = a.percent
	default:
		a.backOff(now)
	}
}

func (a *attemptState) backOff(now time.Time) {
	a.delay = min(max(2*a.delay, retryDelay), maxRetryDelay)
	a.retryAt = now.Add(a.delay)
}

func refused(err error) bool {
	var r *remote.RefusedError
	return errors.As(err, &r)
}

// attemptEnded takes the certain end of a job's newest attempt.
func (c *Core) attemptEnded(j *job, s remote.TaskStatus, now time.Time) {
	w := c.workers[j.rec.Worker]
	evicted := j.attempt.evict
	if s.Checkpoint != "" {
		j.rec.Checkpoint = s.Checkpoint
	}
	c.release(j)
	j.attempt = freshAttempt()
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

// reasonRecordLost is the reason of a job that can't be started again.
const reasonRecordLost = "the attempt ended and the job's record is lost"

// requeue queues a job again after its attempt has certainly ended.
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

// attemptFailed counts a failure against the worker first, and against the job
// only once per worker.
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
	c.absolve(j.rec)
	c.end(j, pb.JobState_JOB_STATE_FAILED, fmt.Sprintf("failed on %d workers: %s", len(j.rec.FailedWorkers), reason), now)
}

func (c *Core) attemptLimit(j *job) int {
	if c.sit.Config != nil {
		if n := c.sit.Config.Jobs[j.rec.Name].GetMaxAttempts(); n > 0 {
			return int(n)
		}
	}
	return c.opts.maxAttempts
}

// release takes the attempt off its worker's account.
func (c *Core) release(j *job) {
	if w := c.workers[j.rec.Worker]; w != nil {
		delete(w.jobs, j.rec.Id)
	}
	c.planDue = true
}
