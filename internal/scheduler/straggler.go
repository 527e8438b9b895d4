package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"gooseberryreel/internal/straggler"
)

const (
	// copyInterval is the shortest time between two searches for stragglers.
	copyInterval = 50 * time.Millisecond
	// copyMinSpeed is the speed of a worker from which it receives copies.
	copyMinSpeed = 0.8
)

// copySpeed returns the estimated speed of a worker, 1 if it is normal or not known.
func (c *Core) copySpeed(w *worker, now time.Time) float64 {
	if c.disabled.knownSpeed != nil {
		return c.disabled.knownSpeed(w)
	}
	return c.workerSpeed(w, now)
}

// straggling is an attempt that is worth a copy.
type straggling struct {
	attempt  *attempt
	input    straggler.Attempt
	job      straggler.Job
	estimate straggler.Estimate
}

// placeCopies starts second attempts at the stragglers of speculative steps, those that
// gain most first.
func (p *pass) placeCopies() {
	c := p.core
	if c.disabled.noCopies || p.now.Sub(c.copiesCheckedAt) < copyInterval {
		return
	}
	c.copiesCheckedAt = p.now
	var found []straggling
	for _, s := range c.ready {
		if !s.mayBeCopied() {
			continue
		}
		for _, t := range s.tasks {
			if !c.mayCopy(t) {
				continue
			}
			if st, ok := c.judge(t.attempts[0], p.now); ok {
				found = append(found, st)
			}
		}
	}
	slices.SortStableFunc(found, func(a, b straggling) int { return -cmp.Compare(a.estimate.Gain, b.estimate.Gain) })
	pools := make(map[copyClass]*straggler.Pool)
	for _, st := range found {
		p.placeCopy(st, pools)
	}
}

// copyClass stands for the copies that compete with the same waiting work.
type copyClass struct {
	pool     string
	priority int32
}

// mayBeCopied reports whether the tasks of a step may have two attempts at once. The
// members of a gang run together, a filler has only what others leave, and a
// long-running task has no end that a copy could reach first.
func (s *step) mayBeCopied() bool {
	return s.spec.GetSpeculative() && !s.spec.GetGang() && !s.filler() && !s.longRunning() && s.unfinished > s.waiting
}

// mayCopy reports whether a task may get a copy now. A copy can fail as well, so there
// must be two attempts left.
func (c *Core) mayCopy(t *task) bool {
	if t.done || t.copied || len(t.attempts) != 1 || len(t.crashes) > 0 || t.checkpoint != "" {
		return false
	}
	a := t.attempts[0]
	return a.stopReason == "" && a.recorded && !a.unsettled() && a.worker.silentSince.IsZero() && t.failures+2 <= c.maxAttempts(t.step.round.job)
}

// judge estimates what a copy of an attempt would gain. It returns false if that is not
// enough.
func (c *Core) judge(a *attempt, now time.Time) (straggling, bool) {
	s, j := a.step(), a.job()
	st := straggling{attempt: a}
	st.input = straggler.Attempt{
		Age: now.Sub(a.beganAt()), Progress: a.progress, Expected: c.durations.of(j.sub.GetQueue()).expect(s.spec.GetEstimateMs()),
		Speed: c.copySpeed(a.worker, now),
	}
	if !a.measuredAt.IsZero() {
		st.input.ReportedAt = a.measuredAt.Sub(a.beganAt())
	}
	if !st.input.Candidate() {
		return st, false
	}
	schedule := c.scheduleOf(s, now)
	st.job = straggler.Job{Elapsed: now.Sub(schedule.start), Rest: max(schedule.remaining-st.input.Expected, 0), Objective: schedule.objective}
	st.estimate = straggler.Expect(st.input, st.job)
	return st, st.estimate.Worthwhile()
}

// placeCopy starts a copy on the best other worker, if the pool has capacity to spare.
func (p *pass) placeCopy(st straggling, pools map[copyClass]*straggler.Pool) {
	c, a := p.core, st.attempt
	t, j := a.task, a.job()
	q := c.queue(j)
	if q == nil {
		return
	}
	class := copyClass{q.Pool, j.sub.GetPriority()}
	pool := pools[class]
	if pool == nil {
		pool = c.copyPool(p, q, class.priority)
		pools[class] = pool
	}
	pool.TaskMilli = t.step.size.CPUMilli
	if !pool.Admits() {
		return
	}
	others := slices.DeleteFunc(slices.Clone(p.pool(q.Pool)), func(cand *candidate) bool {
		return cand.worker == a.worker || cand.worker.entry.Address == a.worker.entry.Address || cand.worker.health.suspect() ||
			c.copySpeed(cand.worker, p.now) < copyMinSpeed
	})
	best := p.best(t, others, q)
	if best == nil {
		return
	}
	copied := c.place(t, best.worker, t.lastAttempt+1, p.now)
	best.update()
	c.addLogEntry("copy started", j.sub.GetRequestId(), "run", copied.attemptID.String(), "worker", best.worker.id,
		"beside", a.attemptID.String(), "slow_worker", a.worker.id, "age_ms", st.input.Age.Milliseconds(), "percent", st.input.Progress,
		"percent_at_ms", st.input.ReportedAt.Milliseconds(), "expected_ms", st.input.Expected.Milliseconds(), "speed", round2(st.input.Speed),
		"slow", round2(st.estimate.Slow), "win", round2(st.estimate.Win), "gain", round2(st.estimate.Gain),
		"left_ms", st.estimate.Left.Milliseconds(), "needs_ms", st.estimate.Needs.Milliseconds(),
		"due_in_ms", (st.job.Objective - st.job.Elapsed - st.job.Rest).Milliseconds(), "copies_milli", pool.CopiesMilli, "pool_milli", pool.CPUMilli)
	for other, state := range pools {
		if other.pool == class.pool {
			state.CopiesMilli += t.step.size.CPUMilli
		}
	}
}

func round2(x float64) float64 { return math.Round(x*100) / 100 }

// copyPool returns the state of a queue's pool for a copy of a priority.
func (c *Core) copyPool(p *pass, q *Queue, priority int32) *straggler.Pool {
	pool := new(straggler.Pool)
	candidates := p.pool(q.Pool)
	for _, cand := range candidates {
		pool.CPUMilli += cand.worker.entry.Capacity.CPUMilli
	}
	for _, w := range c.workerList {
		for _, a := range w.list {
			if a.copy && w.entry.Pool == q.Pool {
				pool.CopiesMilli += a.step().size.CPUMilli
			}
		}
	}
	for _, s := range c.ready {
		if s.waiting == 0 || s.filler() || s.round.job.sub.GetPriority() > priority {
			continue
		}
		if other := c.queue(s.round.job); other == nil || other.Pool != q.Pool {
			continue
		}
		if slices.ContainsFunc(s.tasks, func(t *task) bool { return p.core.waitsForRoom(t, p.now) }) && s.couldRun(candidates) {
			pool.UrgentWaiting = true
			break
		}
	}
	return pool
}

// waitsForRoom reports whether a task waits for capacity and has a right to it before
// any copy: all short tasks, and long-running ones that starve.
func (c *Core) waitsForRoom(t *task, now time.Time) bool {
	return !t.done && !t.assigned() && !now.Before(t.notBefore) && (!t.step.longRunning() || c.starving(t, now))
}

// couldRun reports whether some worker has the label that a step requires.
func (s *step) couldRun(candidates []*candidate) bool {
	label := s.spec.GetRequiredLabel()
	return label == "" || slices.ContainsFunc(candidates, func(cand *candidate) bool { return slices.Contains(cand.worker.entry.Labels, label) })
}

// unsettled reports whether the start of an attempt may still be on its way.
func (a *attempt) unsettled() bool { return a.recorded && a.startedAt.IsZero() && a.seenAt.IsZero() }

// behind reports whether another attempt at the task has made more progress, so that
// its checkpoint is kept.
func (a *attempt) behind() bool {
	return slices.ContainsFunc(a.task.attempts, func(o *attempt) bool { return o != a && o.progress > a.progress })
}

// awaitCopies notes, when a worker lists the completion of a task, the other attempts at
// it whose starts may still be on their way.
func (c *Core) awaitCopies(w *worker, e EndedAttempt) {
	j := c.jobs[e.AttemptID.Job]
	if e.Reason != EndDone || j == nil || c.disabled.discardEarly {
		return
	}
	if t := j.taskOf(e.AttemptID); t != nil {
		for _, a := range t.attempts {
			if a.unsettled() {
				w.unsettledCopies = append(w.unsettledCopies, a)
				c.checkBy(w, w.answeredAt)
			}
		}
	}
}

// queueCursor lets the next batch cover the ends that a worker has listed. It waits until
// the starts of copies of the completed tasks are settled: a delayed start would take
// effect after the worker was told to discard the completion.
func (c *Core) queueCursor(w *worker) {
	w.unsettledCopies = slices.DeleteFunc(w.unsettledCopies, func(a *attempt) bool {
		return a.worker.attempts[a.attemptID] != a || !a.unsettled()
	})
	if len(w.unsettledCopies) == 0 && w.processed > w.cursor {
		c.cursors = append(c.cursors, workerCursor{w, w.incarnation, w.processed})
	}
}

// copyEnded logs the end of one of two attempts at a task.
func (c *Core) copyEnded(a *attempt, reason EndReason, now time.Time) {
	t, j := a.task, a.job()
	if !t.copied || t.done || len(t.attempts) == 0 {
		return
	}
	other := t.attempts[0]
	if reason != EndDone {
		c.addLogEntry("copy or original ended", j.sub.GetRequestId(), "run", a.attemptID.String(), "is_copy", a.copy, "how", reason.String(), "remains", other.attemptID.String())
		return
	}
	// How much longer the other one would have taken follows from its progress.
	age, ahead := now.Sub(other.beganAt()), int64(-1)
	if other.progress > 0 {
		ahead = max((age * time.Duration(100-other.progress) / time.Duration(other.progress)).Milliseconds(), 0)
	}
	event := "original won"
	if a.copy {
		event = "copy won"
	}
	c.addLogEntry(event, j.sub.GetRequestId(), "run", a.attemptID.String(), "worker", a.worker.id, "took_ms", now.Sub(a.beganAt()).Milliseconds(),
		"other", other.attemptID.String(), "other_worker", other.worker.id, "other_age_ms", age.Milliseconds(), "other_percent", other.progress, "ahead_ms", ahead)
}
