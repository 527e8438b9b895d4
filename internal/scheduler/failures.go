package scheduler

import (
	"slices"
	"time"

	"gooseberryreel/internal/pb"
)

// countFailure counts a failed attempt, whether the task or its worker is at fault.
func (c *Core) countFailure(a *attempt, now time.Time) {
	t := a.task
	t.avoid = a.worker.id
	t.notBefore = now.Add(retryDelay)
	t.addFailure(a.attemptID.Number)
}

// addFailure counts a failed attempt once, however often its end is listed: a new owner
// sees the ends again that the earlier one has recorded and not let the worker discard.
// Long-running tasks are retried without a limit.
func (t *task) addFailure(number int) bool {
	if t.step.longRunning() || slices.Contains(t.failedRuns, number) {
		return false
	}
	t.failures++
	t.failedRuns = append(t.failedRuns, number)
	return true
}

// failIfExhausted ends the job of a task that has failed as often as allowed, unless
// another attempt that is not being stopped may complete the task.
func (c *Core) failIfExhausted(t *task, now time.Time) {
	j := t.step.round.job
	if !t.step.longRunning() && t.failures >= c.maxAttempts(j) && !t.wanted() {
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

// wanted reports whether an attempt at the task runs that is not being stopped.
func (t *task) wanted() bool {
	return slices.ContainsFunc(t.attempts, func(a *attempt) bool { return a.stopReason == "" })
}
