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

// ageAtSilence returns how old an attempt was when its worker fell silent, or now if
// the worker answers.
func (a *attempt) ageAtSilence(now time.Time) time.Duration {
	if !a.worker.silentNoticed.IsZero() {
		now = a.worker.silentNoticed
	}
	return max(now.Sub(a.sentAt), 0)
}
