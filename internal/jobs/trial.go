package jobs

import (
	"time"

	"gooseberryreel/internal/interference"
)

// trialLags is the number of reporting lags for which interference alone may hold
// back a job if the policy weights tail latency and throughput equally. With more
// weight on tail latency the wait is proportionally longer.
const trialLags = 20

// trialWait returns how long interference alone may hold back a job.
func (o *coreConfig) trialWait() time.Duration {
	weight := 1.0
	if o.weights.Throughput > 0 {
		weight = max(o.weights.TailLatency/o.weights.Throughput, 1)
	}
	return time.Duration(float64(trialLags*o.lag) * weight)
}

// trialDue reports whether a job may start although it is estimated to slow a
// service down. The estimate of a job that never runs is never corrected, and
// would hold it back for hours. At most one trial per job declaration runs at a
// time, which bounds the slowdown. Overridden estimates need no trial.
func (c *Core) trialDue(name string, now time.Time) bool {
	since, held := c.heldSince[name]
	if !held || c.opts.overrides.Slowdown != nil || now.Sub(since) < c.opts.trialWait() {
		return false
	}
	ref, tried := c.trials[name]
	j := c.jobs[ref.Job]
	return !tried || j == nil || j.ref() != ref || !j.placed() || j.attempt.wantPercent > interference.TrialPercent
}

// beginTrial throttles the attempt from its start. The interference controller
// raises its share once the measured latency of the service permits.
func (c *Core) beginTrial(j *job) {
	j.attempt.wantPercent = interference.TrialPercent
	c.trials[j.rec.Name] = j.ref()
	c.event(j.rec, "trial", "held back by interference for too long")
}

// updateHeld updates the times since which job declarations have been held back.
func (c *Core) updateHeld(held map[string]bool, now time.Time) {
	for name := range c.heldSince {
		if !held[name] {
			delete(c.heldSince, name)
		}
	}
	for name := range held {
		if c.heldSince[name].IsZero() {
			c.heldSince[name] = now
		}
	}
}
