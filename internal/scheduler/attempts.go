package scheduler

import (
	"slices"
	"time"

	"gooseberryreel/internal/interference"
	"gooseberryreel/internal/pb"
)

const (
	// retryDelay keeps a task that failed from being started again at once.
	retryDelay = 50 * time.Millisecond
	// startTimeout is when a start without answer is given up. It is above the
	// timeout of the call.
	startTimeout = 2 * time.Second
)

// addAttempt notes that a run of a task may be present on a worker.
func (c *Core) addAttempt(t *task, w *worker, number int, now time.Time) *attempt {
	a := &attempt{task: t, run: t.runOf(number), worker: w, pace: 100, paceSent: 100, sentAt: now, progressAt: now, load: interference.NewLoadEstimate()}
	if !t.live() && !t.done {
		t.step.waiting--
	}
	t.attempts = append(t.attempts, a)
	t.run = max(t.run, number)
	w.add(a)
	return a
}

// place assigns a task to a worker. The start is sent once it is recorded.
func (c *Core) place(t *task, w *worker, number int, now time.Time) *attempt {
	a := c.addAttempt(t, w, number, now)
	if c.faults.startUnrecorded {
		c.sendStart(a, now)
	} else {
		c.starts = append(c.starts, a)
	}
	j := a.job()
	j.begun = true
	c.change(j)
	return a
}

// sendStart hands out the start of a recorded attempt, unless it is no longer
// wanted or its worker is gone.
func (c *Core) sendStart(a *attempt, now time.Time) {
	w := a.worker
	if w.attempts[a.run] != a {
		return
	}
	a.recorded = true
	if a.stopWhy != "" || !a.job().active() || !w.usable(now) {
		c.endAttempt(a, EndStopped, "", now)
		return
	}
	a.sentAt, a.progressAt = now, now
	lease := w.clockNow(now) + startLease
	w.grant(lease)
	w.orderQueue++
	s := a.step()
	checkpoint := s.checkpointFor(a.task)
	a.whole = checkpoint == ""
	c.out.Orders = append(c.out.Orders, Order{
		Kind: OrderStart, Worker: w.id, Address: w.entry.Address, Token: c.opts.Epoch, Run: a.run, Lease: lease,
		Payload: a.job().sub.GetPayload(), Checkpoint: checkpoint, Ticket: s.ticketFor(w), SentAt: now,
	})
}

// checkpointFor returns the checkpoint that a start of a task carries. All
// members of a gang carry the same.
func (s *step) checkpointFor(t *task) string {
	if !s.spec.GetCheckpoints() {
		return ""
	}
	if s.spec.GetGang() {
		return s.tasks[0].checkpoint
	}
	return t.checkpoint
}

// stop wants an attempt to end.
func (c *Core) stop(a *attempt, why string, now time.Time) {
	if a.stopWhy != "" {
		return
	}
	a.stopWhy = why
	if !a.recorded {
		return // sendStart ends it
	}
	c.sendStop(a, now)
}

func (c *Core) sendStop(a *attempt, now time.Time) {
	w := a.worker
	a.stopSent = now
	if w.entry.Address == "" {
		return
	}
	w.orderQueue++
	c.out.Orders = append(c.out.Orders, Order{
		Kind: OrderStop, Worker: w.id, Address: w.entry.Address, Token: c.opts.Epoch, Run: a.run, SentAt: now,
	})
}

// tickAttempts repeats stops and gives up starts without an answer.
func (c *Core) tickAttempts(now time.Time) {
	for _, w := range c.order {
		for _, a := range w.list {
			switch {
			case a.stopWhy != "" && a.recorded && a.stoppedAt.IsZero() && now.Sub(a.stopSent) > stopRetry && w.silentSince.IsZero():
				c.sendStop(a, now)
			case a.stopWhy == "" && a.recorded && a.startedAt.IsZero() && a.seenAt.IsZero() && w.adopted && now.Sub(a.sentAt) > startTimeout:
				c.stop(a, "the start was not answered", now)
			}
		}
	}
}

// OrderDone takes the end of an order.
func (c *Core) OrderDone(r OrderResult, now time.Time) {
	w := c.workers[r.Order.Worker]
	if w == nil {
		return
	}
	if r.Order.Kind == OrderHold {
		c.holdDone(w, r, now)
		return
	}
	w.orderQueue--
	if r.Refused == RefusedFenced {
		c.fenced = true
		return
	}
	a := w.attempts[r.Order.Run]
	if a == nil {
		return
	}
	switch r.Order.Kind {
	case OrderStart:
		c.startDone(a, r, now)
	case OrderStop:
		if r.Err == nil && r.Refused != RefusedUnhealthy {
			a.stoppedAt = now
		}
	case OrderPace:
		a.pacing = false
		if r.Err == nil && r.Refused == RefusedNone {
			a.paceSent = r.Order.Percent
		}
	}
}

func (c *Core) startDone(a *attempt, r OrderResult, now time.Time) {
	w := a.worker
	switch {
	case r.NotSent, c.faults.trustUnanswered && r.Err != nil:
		c.endAttempt(a, EndStopped, "", now)
	case r.Err != nil:
		// The order may still be carried out. A confirmed stop rules that out.
		c.stop(a, "the start was not answered", now)
	case r.Refused == RefusedNone:
		a.startedAt = now
		if a.step().filler() && !c.faults.ignoreHarm {
			c.paceFillers(w, now)
		}
	default:
		c.note("start refused", a.job().sub.GetRequestId(), "run", a.run.String(), "worker", w.id, "reason", r.Refused.String())
		if r.Refused == RefusedUnhealthy {
			w.health.refused(now)
		}
		if r.Refused == RefusedOtherLife {
			c.RemoveWorker(w.id, now)
		}
		a.task.avoid = w.id
		c.endAttempt(a, EndStopped, "", now)
	}
}

// takeEnds takes the ends that a worker lists.
func (c *Core) takeEnds(w *worker, hold *HoldReply, now time.Time) {
	newest := w.processed
	for _, e := range hold.Ended {
		if e.Number <= w.processed {
			continue
		}
		newest = max(newest, e.Number)
		if a := w.attempts[e.Run]; a != nil {
			c.endAttempt(a, e.How, e.Checkpoint, now)
			continue
		}
		c.lateEnd(w, e, now)
	}
	if newest > w.processed {
		w.processed = newest
		if c.faults.forgetUnrecorded {
			w.cursor = newest
		}
		c.cursors = append(c.cursors, workerCursor{w, w.born, newest})
	}
}

// lateEnd takes the end of an attempt that had been given up. A task that is
// done must not be started again once its end is forgotten.
func (c *Core) lateEnd(w *worker, e EndedRun, now time.Time) {
	j := c.jobs[e.Run.Job]
	if j == nil || e.How != EndDone || !j.active() {
		return
	}
	t := j.taskOf(e.Run)
	if t == nil || t.done {
		return
	}
	c.note("late end", j.sub.GetRequestId(), "run", e.Run.String(), "worker", w.id)
	c.change(j)
	c.taskDone(t, now)
}

// takeActive compares the runs that a worker lists with those expected there.
func (c *Core) takeActive(w *worker, hold *HoldReply, sentAt, now time.Time) {
	listed := make(map[Run]bool, len(hold.Active))
	for i := range hold.Active {
		row := &hold.Active[i]
		listed[row.Run] = true
		a := w.attempts[row.Run]
		if a == nil {
			if a = c.unexpected(w, row.Run, now); a == nil {
				continue
			}
		}
		if a.seenAt.IsZero() {
			a.seenAt = now
		}
		if row.Percent != a.percent {
			a.percent, a.progressAt = row.Percent, now
		}
		a.metered, a.meteredAt = row.Metered, now
		if row.Checkpoint != "" && a.step().spec.GetCheckpoints() {
			a.task.checkpoint = row.Checkpoint
		}
	}
	for _, a := range slices.Clone(w.list) {
		if !listed[a.run] && a.recorded && a.goneIfUnlisted(w, sentAt) {
			c.endAttempt(a, EndLost, "", now)
		}
	}
	c.observe(w, now)
}

// goneIfUnlisted reports whether an attempt that a worker does not list is gone
// for good: its start was answered before the hold was sent, its stop was, or
// the worker has seen the token of this owner only now.
func (a *attempt) goneIfUnlisted(w *worker, sentAt time.Time) bool {
	if !w.adopted {
		return true
	}
	before := func(t time.Time) bool { return !t.IsZero() && t.Before(sentAt) }
	return before(a.startedAt) || before(a.stoppedAt) || before(a.seenAt)
}

// unexpected takes a run that a worker lists although it was given up. It goes
// on if its task still waits for a worker, else it is stopped.
func (c *Core) unexpected(w *worker, run Run, now time.Time) *attempt {
	var t *task
	j := c.jobs[run.Job]
	if j != nil {
		t = j.taskOf(run)
	}
	if t == nil {
		w.orderQueue++
		c.out.Orders = append(c.out.Orders, Order{
			Kind: OrderStop, Worker: w.id, Address: w.entry.Address, Token: c.opts.Epoch, Run: run, SentAt: now,
		})
		return nil
	}
	wanted := j.active() && !t.done && !t.live() && run.Number == t.run && !t.step.spec.GetGang()
	a := c.addAttempt(t, w, run.Number, now)
	a.recorded, a.seenAt = true, now
	c.change(j)
	c.note("unexpected run", j.sub.GetRequestId(), "run", run.String(), "worker", w.id, "kept", wanted)
	if !wanted {
		c.stop(a, "given up earlier", now)
	}
	return a
}

// endAttempt takes the end of an attempt.
func (c *Core) endAttempt(a *attempt, how EndKind, checkpoint string, now time.Time) {
	t, w := a.task, a.worker
	j := a.job()
	w.remove(a)
	if t.step.filler() && !a.seenAt.IsZero() && w.services > 0 {
		part := share(t.step.size.CPUMilli*int64(a.paceSent)/100, w.entry.Capacity.CPUMilli)
		w.past = append(w.past, pastFiller{t.step.image, part, a.seenAt, now})
	}
	t.attempts = slices.DeleteFunc(t.attempts, func(o *attempt) bool { return o == a })
	t.endedAt = now
	if !t.live() && !t.done {
		t.step.waiting++
	}
	c.change(j)
	c.planDue = true
	w.health.ended(a, how, now)
	if checkpoint != "" && t.step.spec.GetCheckpoints() {
		t.checkpoint = checkpoint
	}
	if how == EndDone {
		if !a.startedAt.IsZero() && a.whole {
			c.durations.of(j.sub.GetQueue()).observe(t.step.spec.GetEstimateMs(), now.Sub(a.startedAt))
		}
		if j.active() && !t.done {
			c.taskDone(t, now)
		}
		return
	}
	if !j.active() || t.done {
		return
	}
	c.note("attempt ended", j.sub.GetRequestId(), "run", a.run.String(), "worker", w.id, "how", how.String(),
		"why", a.stopWhy, "ran_ms", now.Sub(a.sentAt).Milliseconds(), "percent", a.percent)
	if how == EndFailed {
		c.failed(a, now)
	}
}

// failed counts a failure of a task by its own fault or its worker's.
func (c *Core) failed(a *attempt, now time.Time) {
	t := a.task
	t.avoid = a.worker.id
	t.notBefore = now.Add(retryDelay)
	if t.step.last() {
		return
	}
	t.failures++
	j := a.job()
	if limit := c.maxAttempts(j); t.failures >= limit {
		c.finish(j, pb.JobPhase_JOB_PHASE_FAILED, "a task has failed as often as allowed", now)
	}
}

func (c *Core) maxAttempts(j *job) int {
	limit := int(j.sub.GetMaxAttempts())
	if q := c.queue(j); q != nil {
		limit = min(limit, q.MaxAttempts)
	}
	return max(limit, 1)
}

// taskDone marks a task as done and goes on with what waited for it.
func (c *Core) taskDone(t *task, now time.Time) {
	s := t.step
	if s.spec.GetGang() {
		// The end of one member stands for all.
		for _, other := range s.tasks {
			c.markDone(other, now)
		}
	} else {
		c.markDone(t, now)
	}
	c.change(s.round.job)
	if s.left > 0 {
		return
	}
	c.planDue = true
	c.finishRound(s.round, now)
}

func (c *Core) markDone(t *task, now time.Time) {
	if t.done {
		return
	}
	if !t.live() {
		t.step.waiting--
	}
	t.done = true
	t.step.left--
	for _, a := range t.attempts {
		if !t.step.spec.GetGang() {
			c.stop(a, "another attempt is done", now)
		}
	}
}

func (c *Core) finishRound(r *round, now time.Time) {
	for _, s := range r.steps {
		if s.left > 0 {
			return
		}
	}
	r.done = true
	for _, other := range r.job.rounds {
		if !other.done {
			return
		}
	}
	c.finish(r.job, pb.JobPhase_JOB_PHASE_COMPLETED, "all tasks are done", now)
}
