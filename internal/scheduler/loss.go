package scheduler

import "time"

// lossCause is the reason why an attempt counts as lost.
type lossCause string

const (
	lossRestarted    lossCause = "worker_restarted"
	lossReplaced     lossCause = "address_taken" // another worker answers at the address
	lossLeaseExpired lossCause = "lease_expired"
	lossUnlisted     lossCause = "unlisted" // the worker answers and doesn't list it
)

// loseAttempt ends an attempt that its worker no longer runs. Its task has waited since
// the worker fell silent.
func (c *Core) loseAttempt(a *attempt, cause lossCause, now time.Time) {
	a.loss = cause
	if cause == lossUnlisted && a.startedAt.IsZero() && a.seenAt.IsZero() && a.incarnation == a.worker.incarnation {
		// The worker has not restarted and lists neither the attempt nor its end, so
		// the attempt has not run there.
		a.task.limitedStarts--
	}
	since := c.silentAt(a.worker, now)
	served := a.task.servedAt
	c.endAttempt(a, EndLost, "", now)
	a.task.endedAt = since
	if a.task.servedAt != served {
		a.task.servedAt = since
	}
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
