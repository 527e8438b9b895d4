package scheduler

import (
	"slices"
	"time"

	"gooseberryreel/internal/pb"
)

// taskDone marks a task as done and schedules the steps that waited for it.
func (c *Core) taskDone(t *task, now time.Time) {
	s := t.step
	if s.spec.GetGang() {
		// The completion of one task completes the whole gang.
		for _, other := range slices.Clone(s.tasks) {
			c.markDone(other, now)
		}
	} else {
		c.markDone(t, now)
	}
	if s.unfinished > 0 {
		return
	}
	c.planDue = true
	c.finishRound(s.round, now)
}

func (c *Core) markDone(t *task, now time.Time) {
	if t.done {
		return
	}
	if !t.assigned() {
		t.step.waiting--
	}
	t.done, t.crashes = true, nil
	t.step.unfinished--
	t.step.openMore()
	c.markTaskChanged(t)
	defer t.closeIfOver()
	for _, a := range t.attempts {
		if !t.step.spec.GetGang() {
			c.stop(a, "another attempt has completed the task", now)
		}
	}
}

func (c *Core) finishRound(r *round, now time.Time) {
	for _, s := range r.steps {
		if s.unfinished > 0 {
			return
		}
	}
	r.done = true
	r.job.closeRounds()
	c.finishIfDone(r.job, now)
}

// finishIfDone ends a job all of whose rounds are done.
func (c *Core) finishIfDone(j *job, now time.Time) {
	if j.nextRound == j.times() && !slices.ContainsFunc(j.rounds, func(r *round) bool { return !r.done }) {
		c.finish(j, pb.JobPhase_JOB_PHASE_COMPLETED, "all tasks are done", now)
	}
}
