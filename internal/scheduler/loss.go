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

// loseAttempt ends an attempt that its worker no longer runs.
func (c *Core) loseAttempt(a *attempt, cause lossCause, now time.Time) {
	a.loss = cause
	c.endAttempt(a, EndLost, "", now)
}

// beganAt returns when the start of an attempt was sent or, if an earlier owner sent
// it, when the attempt was placed.
func (a *attempt) beganAt() time.Time {
	if a.restored {
		return a.placedAt
	}
	return a.sentAt
}

// ageAtSilence returns how old an attempt was when its worker fell silent, or now if
// the worker answers. A worker that has never answered this owner has been silent
// since the takeover or before.
func (c *Core) ageAtSilence(a *attempt, now time.Time) time.Duration {
	w := a.worker
	switch {
	case !w.adopted:
		now = c.startedAt
	case !w.silentNoticed.IsZero():
		now = w.silentNoticed
	}
	return max(now.Sub(a.beganAt()), 0)
}
