package scheduler

import (
	"slices"
	"time"
)

// maxListedEnds is the number of ends that the answer to a hold lists at most.
const maxListedEnds = 500

// lossCause is the reason why an attempt counts as lost.
type lossCause string

const (
	lossRestarted    lossCause = "worker_restarted"
	lossReplaced     lossCause = "address_taken" // another worker answers at the address
	lossLeaseExpired lossCause = "lease_expired"
	lossUnlisted     lossCause = "unlisted" // the worker answers and doesn't list it
	// lossNotStarted is the cause if the worker answers, doesn't list the attempt or its
	// end, and refuses its start by now.
	lossNotStarted lossCause = "not_started"
)

// wholeList is the answer to a hold that lists all ends which the worker has kept. What it
// lacks has not ended there unseen: only such an answer allows a conclusion from what is
// absent.
type wholeList struct {
	clock  time.Duration
	sentAt time.Time // when the hold was sent
}

// wholeList returns the answer as a list to conclude from, false if ends may be missing
// from it.
func (h *HoldReply) wholeList(sentAt time.Time) (wholeList, bool) {
	return wholeList{h.Clock, sentAt}, len(h.Ended) < maxListedEnds
}

// loseUnlisted ends the attempts that a worker doesn't list in the answer to a hold
// although they are not active there any more, or never were.
func (c *Core) loseUnlisted(w *worker, hold *HoldReply, sentAt, now time.Time) {
	list, whole := hold.wholeList(sentAt)
	if !whole && !c.disabled.trustCutLists {
		return // the next answer lists further ends
	}
	cause := func(a *attempt) lossCause {
		switch {
		case a.listedIn == w.answers || !a.recorded:
			return ""
		case list.showsEnd(a):
			return lossUnlisted
		case list.showsNoStart(a, c.disabled.trustLists) && !c.disabled.waitForAnswers:
			return lossNotStarted
		default:
			return ""
		}
	}
	if !slices.ContainsFunc(w.list, func(a *attempt) bool { return cause(a) != "" }) {
		return
	}
	for _, a := range slices.Clone(w.list) {
		if why := cause(a); why != "" {
			c.loseAttempt(a, why, now)
		}
	}
}

// showsEnd reports whether an attempt that is not listed has ended and can't start any
// more. That is so if its start or its stop was answered, or it was listed, before the
// hold was sent, or if an earlier owner has sent its start, since a worker that has
// answered this owner's hold refuses it. A list that was made before the newest answer
// about the attempt shows nothing, whenever its hold was sent.
func (l wholeList) showsEnd(a *attempt) bool {
	if l.clock <= a.knownClock {
		return false
	}
	before := func(t time.Time) bool { return !t.IsZero() && t.Before(l.sentAt) }
	return a.restored || before(a.startedAt) || before(a.stoppedAt) || before(a.seenAt)
}

// showsNoStart reports whether an attempt that is not listed, nor its end, has never run
// and can't start any more. That is so if the lease that its start carries was over when
// the worker made the list: it refuses such a start.
func (l wholeList) showsNoStart(a *attempt, trustLists bool) bool {
	return a.startLease > 0 && a.startedAt.IsZero() && a.seenAt.IsZero() && (trustLists || l.clock > a.startLease+leaseSlack)
}

// loseAttempt ends an attempt that its worker no longer runs. Its task has waited since
// the worker fell silent.
func (c *Core) loseAttempt(a *attempt, cause lossCause, now time.Time) {
	a.loss = cause
	if cause == lossUnlisted && a.startedAt.IsZero() && a.seenAt.IsZero() && a.incarnation == a.worker.incarnation {
		// The worker has not restarted and lists neither the attempt nor its end, so
		// the attempt has not run there.
		a.task.limitedStarts--
	}
	if cause == lossNotStarted {
		a.task.limitedStarts--
		a.task.avoid = a.worker.id
		c.countAgainst(a.worker, quarantineFailures, now)
	}
	since := c.silentAt(a.worker, now)
	served := a.task.servedAt
	c.endAttempt(a, EndLost, "", now)
	a.task.endedAt, a.task.lostAt = since, now
	if a.task.servedAt != served {
		a.task.servedAt = since
	}
}

// logRestart logs the parts of the time for which a long-running task had no attempt.
func (c *Core) logRestart(a *attempt, now time.Time) {
	t := a.task
	if !a.step().longRunning() || t.endedAt.IsZero() {
		return
	}
	placeable := t.endedAt
	if !t.lostAt.IsZero() {
		placeable = t.lostAt
	}
	c.addLogEntry("long-running task restarted", a.job().sub.GetRequestId(), "run", a.attemptID.String(), "worker", a.worker.id,
		"silent_ms", placeable.Sub(t.endedAt).Milliseconds(), "waited_ms", a.placedAt.Sub(placeable).Milliseconds(),
		"recorded_ms", a.sentAt.Sub(a.placedAt).Milliseconds(), "started_ms", now.Sub(a.sentAt).Milliseconds(),
		"owner_ms", now.Sub(c.startedAt).Milliseconds(), "proof_ms", c.proofTime().Milliseconds())
}

// proofTime returns how long the takeover took until no earlier owner could act any more,
// negative if that is not known.
func (c *Core) proofTime() time.Duration {
	if !c.noEarlierOwner {
		return -time.Millisecond
	}
	return c.confirmedAt.Sub(c.startedAt)
}

// silentAt returns when a worker fell silent, or now if it answers. A worker that has
// never answered this owner has been silent since the takeover or before.
func (c *Core) silentAt(w *worker, now time.Time) time.Time {
	switch {
	case !w.adopted:
		return c.startedAt
	case !w.silentNoticed.IsZero():
		return w.silentNoticed
	default:
		return now
	}
}

// beganAt returns when the start of an attempt was sent or, if an earlier owner sent
// it, when the attempt was placed.
func (a *attempt) beganAt() time.Time {
	if a.restored {
		return a.placedAt
	}
	return a.sentAt
}

// ageAtSilence returns how old an attempt was when its worker fell silent.
func (c *Core) ageAtSilence(a *attempt, now time.Time) time.Duration {
	return max(c.silentAt(a.worker, now).Sub(a.beganAt()), 0)
}
