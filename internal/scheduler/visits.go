package scheduler

import (
	"math"
	"time"
)

// maxVisitInterval is the longest time between two visits of a worker. What becomes due
// after more than that needs no visit of its own when it begins.
const maxVisitInterval = time.Second

// A tick visits only the workers for which something is due: a hold, the end of a lease
// or a check of the attempts. Core.visits holds the times, since the core was created,
// by the index in Core.workerList. It is small enough to be read in each tick.

// addVisits adds a worker to the list of workers.
func (c *Core) addVisits(w *worker) {
	w.slot = len(c.workerList)
	c.workerList = append(c.workerList, w)
	c.visits = append(c.visits, 0)
}

// visitSoon lets the next tick visit a worker. It is called whenever something may have
// become due earlier. A batch that is being recorded may refer to a worker that is gone.
func (c *Core) visitSoon(w *worker) {
	if w.slot != removedSlot {
		c.visits[w.slot] = 0
	}
}

// removedSlot is the slot of a worker that is not in Core.workerList any more.
const removedSlot = -1

// tickWorkers visits the workers for which something is due: it sends holds, ends the
// attempts whose lease has certainly expired, and checks the others.
func (c *Core) tickWorkers(now time.Time) {
	elapsed := now.Sub(c.startedAt)
	visited := c.visited[:0]
	for slot, at := range c.visits {
		if at > elapsed {
			continue
		}
		w := c.workerList[slot]
		visited = append(visited, w)
		if w.mayHold() && !now.Before(w.nextHold) {
			c.sendHold(w, now)
		}
		if len(w.attempts) > 0 && (now.After(w.leaseEnd) || c.disabled.expireSilent && !w.silentSince.IsZero()) {
			c.expire(w, now)
		}
	}
	gone := false
	for _, w := range visited {
		if !now.Before(w.checkAt) {
			w.checkAt = c.checkAttempts(w, now)
		}
		c.visits[w.slot] = c.nextVisit(w, now).Sub(c.startedAt)
		gone = gone || w.gone()
	}
	if gone {
		c.pruneWorkers()
	}
	c.visited = visited
}

func (c *Core) nextVisit(w *worker, now time.Time) time.Time {
	at := now.Add(maxVisitInterval)
	if w.checkAt.Before(at) {
		at = w.checkAt
	}
	if w.mayHold() && w.nextHold.Before(at) {
		at = w.nextHold
	}
	if len(w.attempts) > 0 && w.leaseEnd.Before(at) {
		at = w.leaseEnd
	}
	if c.disabled.expireSilent {
		at = now
	}
	return at
}

// mayHold reports whether a hold is sent to a worker once it is due.
func (w *worker) mayHold() bool {
	return !w.holdInFlight && w.entry.Address != "" && (w.listed || len(w.attempts) > 0)
}

// gone reports whether a worker has no entry, no attempts, no recorded bound and no commands
// in flight.
func (w *worker) gone() bool {
	return !w.listed && !w.holdInFlight && !w.leaseBounded && len(w.attempts) == 0 && w.commandsInFlight <= 0
}

// pruneWorkers removes the workers that are gone.
func (c *Core) pruneWorkers() {
	kept, visits := c.workerList[:0], c.visits[:0]
	for slot, w := range c.workerList {
		if w.gone() {
			delete(c.workers, w.id)
			w.slot = removedSlot
			continue
		}
		w.slot = len(kept)
		kept, visits = append(kept, w), append(visits, c.visits[slot])
	}
	clear(c.workerList[len(kept):])
	c.workerList, c.visits = kept, visits
}

// checkBy lets the attempts of a worker be checked no later than at a time.
func (c *Core) checkBy(w *worker, at time.Time) {
	if at = c.nextCheckTime(at); at.Before(w.checkAt) {
		w.checkAt = at
		c.visitSoon(w)
	}
}

// checkAttempts repeats unanswered stops and speeds, stops the attempts whose start was
// not answered in time and those that make no progress, and returns when it has to be
// called next.
func (c *Core) checkAttempts(w *worker, now time.Time) time.Time {
	next := now.Add(maxVisitInterval)
	atMost := func(at time.Time) {
		if at.Before(next) {
			next = at
		}
	}
	c.checkOverruns(w, now)
	if len(w.unsettledCopies) > 0 {
		c.queueCursor(w)
		atMost(now)
	}
	for _, a := range w.list { // a stop leaves the attempt in the list
		if a.step().filler() {
			c.repeatSpeed(a, now)
		}
		switch {
		case a.stopDue(now) && w.silentSince.IsZero():
			c.sendStop(a, now)
		case a.stopReason == "" && a.recorded && a.startedAt.IsZero() && a.seenAt.IsZero() && w.adopted && now.Sub(a.sentAt) > startTimeout:
			c.stop(a, "the start was not answered", now)
		}
		c.replaceStalled(a, now)
		atMost(a.nextCheck(w))
	}
	if !next.After(now) {
		next = now.Add(1)
	}
	return c.nextCheckTime(next)
}

// stopDue reports whether a stop has to be sent again.
func (a *attempt) stopDue(now time.Time) bool {
	return a.stopReason != "" && a.recorded && a.stoppedAt.IsZero() && !a.stopPending && now.Sub(a.stopSentAt) > stopRetry
}

// nextCheckTime returns the first multiple of attemptCheckInterval from a time on, so that
// the checks of a worker that become due at about the same time are made together.
func (c *Core) nextCheckTime(t time.Time) time.Time {
	d := t.Sub(c.startedAt) + attemptCheckInterval - 1
	return c.startedAt.Add(d - d%attemptCheckInterval)
}

// nextCheck returns when an attempt has to be checked, if that is before
// maxVisitInterval.
func (a *attempt) nextCheck(w *worker) time.Time {
	next := distantTime
	if !w.silentSince.IsZero() {
		return next // the answer that ends the silence lets the attempts be checked
	}
	atMost := func(at time.Time) {
		if at.Before(next) {
			next = at
		}
	}
	switch {
	case a.stopReason != "":
		if a.recorded && a.stoppedAt.IsZero() && !a.stopPending {
			atMost(a.stopSentAt.Add(stopRetry))
		}
	case a.recorded && a.startedAt.IsZero() && a.seenAt.IsZero():
		atMost(a.sentAt.Add(startTimeout))
	case a.speedUnknown && !a.speedPending:
		atMost(a.speedSetAt.Add(stopRetry))
	case a.step().filler() && a.speedSetAt.Before(a.lateUntil):
		atMost(a.speedSetAt.Add(speedRepeat))
	}
	if at, may := a.stalledFrom(); may {
		atMost(at)
	}
	if a.serving() && w.fillerCPU > 0 {
		if at, may := a.overrun.OverdueAt(); may {
			atMost(at)
		}
	}
	return next
}

// distantTime is later than any other time.
var distantTime = time.Unix(math.MaxInt32, 0)
