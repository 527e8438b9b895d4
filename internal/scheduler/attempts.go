package scheduler

import (
	"slices"
	"time"

	"gooseberryreel/internal/interference"
)

const (
	// retryDelay is the pause before the next attempt at a task that failed.
	retryDelay = 50 * time.Millisecond
	// startTimeout is how long a start may stay without an answer before its
	// attempt is stopped. It is longer than the timeout of the call.
	startTimeout = 2 * time.Second
	// maxAttempts and maxWorkerAttempts limit the attempts that may be active, each of which
	// takes about 1 kB of the owner, in all and on one worker. Further tasks wait.
	maxAttempts       = 60_000
	maxWorkerAttempts = 2_000
	// attemptCheckInterval is the shortest time between two checks of the attempts of a
	// worker.
	attemptCheckInterval = 50 * time.Millisecond
)

// addAttempt adds an attempt at a task that may be active on a worker, and charges
// its resources to the worker.
func (c *Core) addAttempt(t *task, w *worker, number int, now time.Time) *attempt {
	a := &attempt{
		task: t, attemptID: t.idOfAttempt(number), worker: w, speed: 100, confirmedSpeed: 100, sentAt: now, progressAt: now,
		load: interference.NewLoadEstimate(), trial: t.suspect(), incarnation: w.incarnation,
	}
	w.newestStart = now
	if !t.assigned() && !t.done {
		t.step.waiting--
	}
	if t.assigned() && t.step.spec.GetSpeculative() {
		a.copy, t.copied = true, true
	}
	t.attempts = append(t.attempts, a)
	t.step.round.job.attempts++
	t.step.round.attempts++
	c.attempts++
	t.lastAttempt = max(t.lastAttempt, number)
	t.step.openMore()
	w.add(a)
	c.visitSoon(w)
	return a
}

// place assigns a task to a worker. The start is sent once it is recorded.
func (c *Core) place(t *task, w *worker, number int, now time.Time) *attempt {
	a := c.addAttempt(t, w, number, now)
	a.placedAt = now
	c.countRefill(w, t.step)
	if c.disabled.startUnrecorded {
		c.sendStart(a, now)
	} else {
		c.starts = append(c.starts, a)
	}
	a.job().starts.assigned++
	c.notePlaced(t.step, now)
	c.markTaskChanged(t)
	return a
}

// sendStart sends the start of a recorded attempt. It ends the attempt instead if
// it is no longer wanted, or if its worker may not receive new work or has, or may
// have, lost capacity since the attempt was placed.
func (c *Core) sendStart(a *attempt, now time.Time) {
	w := a.worker
	if w.attempts[a.attemptID] != a {
		return
	}
	a.recorded = true
	if !c.maySend(a, now) {
		c.withhold(a, now)
		return
	}
	a.sentAt, a.progressAt, w.newestStart = now, now, now
	lease := w.clockNow(now) + c.opts.startLease()
	c.grant(w, lease, now)
	a.startLease, w.startGrantedAt = lease, now
	w.commandsInFlight++
	a.job().starts.sent++
	s := a.step()
	checkpoint := s.checkpointFor(a.task)
	a.durationUsable = checkpoint == ""
	a.task.limitedStarts++
	a.limited = true
	c.out.Commands = append(c.out.Commands, Command{
		Kind: CommandStart, Worker: w.id, Address: w.entry.Address, Domain: w.entry.Zone, Token: c.opts.Epoch, AttemptID: a.attemptID, Lease: lease,
		Payload: a.job().sub.GetPayload(), Checkpoint: checkpoint, Ticket: s.ticketFor(w, now), SentAt: now,
	})
}

// maySend reports whether the start of a placed attempt may still be sent.
func (c *Core) maySend(a *attempt, now time.Time) bool {
	return a.stopReason == "" && !c.opts.HoldLeasesBack && a.job().active() && c.mayStartOn(a.worker, now) && c.suits(a.step(), a.worker, now)
}

// mayStartOn reports whether the start of a placed attempt may be sent to a worker.
func (c *Core) mayStartOn(w *worker, now time.Time) bool {
	return w.usable(now) && !c.evacuated(w) && w.used.FitsIn(w.entry.Capacity) && c.entriesCurrent(now) && c.requestsCurrent(now)
}

// suits reports whether a worker has the label that a step requires, belongs to the pool of
// its queue, and has a valid ticket if it needs one. It may have come back as another kind or
// in a new life since a task was placed there.
func (c *Core) suits(s *step, w *worker, now time.Time) bool {
	label := s.spec.GetRequiredLabel()
	q := c.queue(s.round.job)
	return (label == "" || slices.Contains(w.entry.Labels, label)) && q != nil && q.Pool == w.entry.Pool &&
		(q.Advice == nil || s.ticketFor(w, now) != "")
}

// checkpointFor returns the checkpoint from which a task starts. All tasks of a
// gang start from the same one.
func (s *step) checkpointFor(t *task) string {
	if !s.spec.GetCheckpoints() {
		return ""
	}
	if s.spec.GetGang() {
		return s.tasks[0].checkpoint
	}
	return t.checkpoint
}

// stop requests that an attempt ends, and sends the stop unless its start has not
// been sent yet.
func (c *Core) stop(a *attempt, reason string, now time.Time) {
	if a.stopReason != "" {
		return
	}
	a.stopReason = reason
	if !a.recorded {
		return // sendStart ends it instead of sending the start
	}
	c.sendStop(a, now)
}

func (c *Core) sendStop(a *attempt, now time.Time) {
	w := a.worker
	a.stopSentAt = now
	c.checkBy(w, now.Add(stopRetry))
	if w.entry.Address == "" {
		return
	}
	w.commandsInFlight++
	a.stopPending = true
	c.out.Commands = append(c.out.Commands, Command{
		Kind: CommandStop, Worker: w.id, Address: w.entry.Address, Domain: w.entry.Zone, Token: c.opts.Epoch, AttemptID: a.attemptID, SentAt: now,
	})
}

// CommandDone handles the outcome of a command.
func (c *Core) CommandDone(r CommandResult, now time.Time) {
	w := c.workers[r.Command.Worker]
	if w == nil {
		return
	}
	c.visitSoon(w)
	if r.Command.Kind == CommandHold {
		c.holdDone(w, r, now)
		return
	}
	w.commandsInFlight--
	if r.Refused == RefusedFenced {
		c.fenced = true
		return
	}
	a := w.attempts[r.Command.AttemptID]
	if a == nil {
		return
	}
	switch r.Command.Kind {
	case CommandStart:
		c.startDone(a, r, now)
	case CommandStop:
		a.stopPending = false
		if r.Err == nil && r.Refused != RefusedUnhealthy {
			a.stoppedAt = now
			a.noteClock(r)
		} else {
			c.checkBy(w, a.stopSentAt.Add(stopRetry))
		}
	case CommandThrottle:
		a.speedDone(r, !c.disabled.trustSpeeds)
		if a.speedUnknown {
			c.checkBy(w, now)
		}
	}
}

func (c *Core) startDone(a *attempt, r CommandResult, now time.Time) {
	w, n := a.worker, &a.job().starts
	c.working = a.job()
	switch {
	case r.NotSent, c.disabled.trustUnanswered && r.Err != nil:
		n.withheld++
		a.task.limitedStarts--
		c.endAttempt(a, EndStopped, "", now)
	case r.Err != nil:
		n.unanswered++
		// The start may still be carried out. A confirmed stop rules that out.
		c.stop(a, "the start was not answered", now)
	case r.Refused == RefusedNone:
		n.answered++
		a.startedAt = now
		a.noteClock(r)
		c.noteBegun(a.job())
		c.logRestart(a, now)
		if a.overcommitted {
			c.setSpeed(a, a.speed, now)
		}
		if a.step().filler() && !c.disabled.ignoreInterference {
			c.adjustFillers(w, now)
		}
	default:
		n.refused++
		c.addLogEntry("start refused", a.job().sub.GetRequestId(), "run", a.attemptID.String(), "worker", w.id, "reason", r.Refused.String())
		if r.Refused == RefusedUnhealthy {
			w.health.refused(now)
		}
		if r.Refused == RefusedWrongWorker {
			c.RemoveWorker(w.id, now)
		}
		if r.Refused == RefusedTicket {
			a.step().dropTicket(w, r.Command.Ticket)
		}
		a.task.avoid = w.id
		a.task.limitedStarts--
		c.endAttempt(a, EndStopped, "", now)
	}
}

// handleEnded handles the ended attempts that a worker lists.
func (c *Core) handleEnded(w *worker, hold *HoldReply, now time.Time) {
	newest := w.processed
	for _, e := range hold.Ended {
		if e.Number <= w.processed {
			continue
		}
		newest = max(newest, e.Number)
		c.noteBegun(c.jobs[e.AttemptID.Job])
		if a := w.attempts[e.AttemptID]; a != nil {
			c.endAttempt(a, e.Reason, e.Checkpoint, now)
		} else {
			c.handleLateEnd(w, e, now)
		}
		c.awaitCopies(w, e)
	}
	if newest > w.processed {
		w.processed = newest
		if c.disabled.discardUnrecorded {
			w.cursor = newest
		}
		c.queueCursor(w)
	}
}

// handleLateEnd handles the end of an attempt that the core no longer tracks. If
// the attempt completed the task, the task is marked as done: it must not be
// started again once the worker has discarded the end. If it failed, that counts.
func (c *Core) handleLateEnd(w *worker, e EndedAttempt, now time.Time) {
	j := c.jobs[e.AttemptID.Job]
	if j == nil || !j.active() {
		return
	}
	t := j.taskOf(e.AttemptID)
	if t == nil || t.done {
		return
	}
	c.withdrawCrash(t, e.AttemptID.Number)
	// Where an earlier version has stored the number of failures only, this one may be among them.
	counts := len(t.failedRuns) == t.failures
	if e.Reason == EndFailed && counts && t.addFailure(e.AttemptID.Number) {
		c.addLogEntry("late failure", j.sub.GetRequestId(), "run", e.AttemptID.String(), "worker", w.id, "failures", t.failures)
		c.markTaskChanged(t)
		c.failIfExhausted(t, now)
	}
	if e.Reason != EndDone {
		return
	}
	c.addLogEntry("late completion", j.sub.GetRequestId(), "run", e.AttemptID.String(), "worker", w.id)
	c.taskDone(t, now)
}

// reconcileActive compares the active attempts that a worker lists with those
// expected there.
func (c *Core) reconcileActive(w *worker, hold *HoldReply, sentAt, now time.Time) {
	w.changed = true
	w.answers++
	for i := range hold.Active {
		row := &hold.Active[i]
		a := w.attempts[row.AttemptID]
		if a == nil {
			if a = c.handleUnexpected(w, row.AttemptID, now); a == nil {
				continue
			}
		}
		c.working = a.job()
		c.noteBegun(a.job())
		a.listedIn, a.knownClock = w.answers, max(a.knownClock, hold.Clock)
		if a.seenAt.IsZero() {
			a.seenAt = now
		}
		if row.Progress != a.progress {
			a.progress, a.progressAt = row.Progress, now
		}
		a.measured, a.measuredAt, a.crash = row.Measured, now, nil
		c.clearIfOutlived(a, now)
		if row.Checkpoint != "" && a.step().spec.GetCheckpoints() && !a.behind() {
			a.task.checkpoint = row.Checkpoint
		}
	}
	c.loseUnlisted(w, hold, sentAt, now)
	c.observe(w, now)
}

// noteClock records the worker's clock in the answer to a command for the attempt. A
// command that was sent before the worker restarted, or that another worker refused, may
// have been answered on another clock.
func (a *attempt) noteClock(r CommandResult) {
	if r.Refused != RefusedWrongWorker && !r.Command.SentAt.Before(a.worker.incarnationAt) {
		a.knownClock = max(a.knownClock, r.Clock)
	}
}

// handleUnexpected handles an attempt that a worker lists although the core no longer
// tracks it. The attempt continues if its task still waits for a worker, otherwise
// it is stopped.
func (c *Core) handleUnexpected(w *worker, attemptID AttemptID, now time.Time) *attempt {
	var t *task
	j := c.jobs[attemptID.Job]
	if j != nil {
		t = c.reopenTask(j, attemptID)
	}
	if t == nil {
		w.commandsInFlight++
		c.out.Commands = append(c.out.Commands, Command{
			Kind: CommandStop, Worker: w.id, Address: w.entry.Address, Domain: w.entry.Zone, Token: c.opts.Epoch, AttemptID: attemptID, SentAt: now,
		})
		return nil
	}
	c.withdrawCrash(t, attemptID.Number)
	wanted := j.active() && !t.done && !t.assigned() && attemptID.Number == t.lastAttempt && !t.step.spec.GetGang()
	a := c.addAttempt(t, w, attemptID.Number, now)
	a.recorded, a.seenAt, a.placedAt = true, now, now
	c.markTaskChanged(t)
	c.addLogEntry("unexpected attempt", j.sub.GetRequestId(), "run", attemptID.String(), "worker", w.id, "kept", wanted)
	if !wanted {
		c.stop(a, "the attempt is no longer wanted", now)
	}
	return a
}

// endAttempt removes an attempt from its worker and applies its result to the task.
func (c *Core) endAttempt(a *attempt, reason EndReason, checkpoint string, now time.Time) {
	t, w := a.task, a.worker
	j := a.job()
	c.working = j
	w.remove(a)
	if t.step.filler() && w.fillerCPU == 0 {
		w.fillersEndedAt = now
	}
	if t.step.filler() && !a.seenAt.IsZero() && w.services > 0 {
		part := share(t.step.size.CPUMilli*int64(a.confirmedSpeed)/100, w.entry.Capacity.CPUMilli)
		w.pastFillers = append(w.pastFillers, pastFiller{t.step.role.filler, part, a.seenAt, now})
	}
	t.attempts = slices.DeleteFunc(t.attempts, func(o *attempt) bool { return o == a })
	j.attempts--
	t.step.round.attempts--
	c.attempts--
	defer t.closeIfOver()
	j.lastEnd, t.endedAt, t.lostAt, t.waitedBefore = now, now, time.Time{}, 0
	if !a.overcommitted {
		t.servedAt = now
	}
	a.endOvercommit()
	if a.restored && !w.adopted {
		t.waitedBefore = restoredWait // it had ended by the takeover, or soon after
	}
	if !t.assigned() && !t.done {
		t.step.waiting++
	}
	c.markTaskChanged(t)
	c.planDue = true
	c.noteEndForHealth(w, reason, now)
	c.noteEndForSpeed(a, reason, now)
	if checkpoint != "" && t.step.spec.GetCheckpoints() && !a.behind() {
		t.checkpoint, t.near.saved = checkpoint, float64(a.progress)/100
	}
	c.copyEnded(a, reason, now)
	if reason == EndDone {
		// Of two attempts the faster one ends, so its duration is biased.
		if !a.startedAt.IsZero() && a.durationUsable && !t.copied && c.workerSpeed(w, now) == 1 {
			c.durations.of(j.sub.GetQueue()).observe(t.step.spec.GetEstimateMs(), c.atFullSpeed(a, now.Sub(a.startedAt)))
		}
		if j.active() && !t.done {
			c.taskDone(t, now)
		}
		return
	}
	if !j.active() || t.done {
		return
	}
	fields := []any{"run", a.attemptID.String(), "worker", w.id, "how", reason.String(), "why", a.stopReason,
		"ran_ms", now.Sub(a.sentAt).Milliseconds(), "percent", a.progress}
	if reason == EndLost {
		fields = append(fields, "cause", string(a.loss), "answered", !a.startedAt.IsZero() || !a.seenAt.IsZero(), "age_ms", c.ageAtSilence(a, now).Milliseconds())
	}
	c.addLogEntry("attempt ended", j.sub.GetRequestId(), fields...)
	switch reason {
	case EndLost:
		c.addCrash(a, now)
	case EndFailed:
		c.clearCrashes(t, "the attempt failed and its worker did not crash")
		c.countFailure(a, now)
	}
	c.checkLimitedStarts(t, now)
	if t.copied || reason == EndFailed {
		c.failIfExhausted(t, now)
	}
}
