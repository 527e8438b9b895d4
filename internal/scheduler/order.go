package scheduler

import (
	"cmp"
	"slices"
	"time"

	"gooseberryreel/internal/headroom"
)

// standing is the expected state of a job relative to its objective if its next
// step starts now.
type standing int

const (
	onTime  standing = iota // completes within its objective
	late                    // completes within lateFactor times its objective
	overdue                 // completes later than that
)

// String returns the name used in logs.
func (s standing) String() string { return [...]string{"on_time", "late", "overdue"}[s] }

const (
	// lateFactor is the multiple of a job's objective up to which its result still
	// has part of its value.
	lateFactor = 3
	// criticalPathMargin is the factor by which errors in estimates and the waits
	// between steps lengthen a critical path.
	criticalPathMargin = 1.15
)

// schedule holds the times, as estimated, that decide whether a step's job is on
// time.
type schedule struct {
	at        time.Time     // when it was computed, zero if it has not been
	remaining time.Duration // critical path from this step to the end of the job
	objective time.Duration // time allowed for the job, counted from start
	start     time.Time     // arrival of the job, or the start time of a scheduled round
	work      jobWork
}

// scheduleInterval is the age from which a schedule is recomputed, so that it
// follows the learned durations.
const scheduleInterval = time.Second

// scheduleOf returns the schedule of a step. The estimates in it are corrected by
// the observed durations of the queue's tasks.
func (c *Core) scheduleOf(s *step, now time.Time) *schedule {
	if !s.schedule.at.IsZero() && now.Sub(s.schedule.at) < scheduleInterval {
		return &s.schedule
	}
	j := s.round.job
	fit := c.durations.of(j.sub.GetQueue())
	if c.disabled.earliestDueFirst {
		fit = &durationFit{}
	}
	// until holds the critical path up to the end of each step.
	until := make([]time.Duration, len(s.round.steps))
	criticalPath := time.Duration(0)
	for i, other := range s.round.steps {
		for _, earlier := range other.spec.GetAfter() {
			until[i] = max(until[i], until[earlier])
		}
		until[i] += fit.expect(other.spec.GetEstimateMs())
		criticalPath = max(criticalPath, until[i])
	}
	work := s.round.work(fit)
	c.learnSize(s, &work)
	s.schedule = schedule{
		at: now, work: work, remaining: criticalPath - until[s.index] + max(fit.expect(s.spec.GetEstimateMs()), c.expectedRest(s, now)), start: j.received,
		objective: time.Duration(float64(criticalPath)*max(j.sub.GetStretch(), 1)) + time.Duration(j.sub.GetTargetMs())*time.Millisecond,
	}
	if j.sub.GetTimes() > 0 {
		s.schedule.start = s.round.due
	}
	return &s.schedule
}

// due returns the time up to which the job is on time.
func (p *schedule) due() time.Time { return p.start.Add(p.objective) }

// standing returns the job's standing if the step starts now.
func (p *schedule) standing(now time.Time) standing {
	ready := now.Add(time.Duration(float64(p.remaining) * criticalPathMargin))
	switch {
	case !ready.After(p.due()):
		return onTime
	case !ready.After(p.start.Add(lateFactor * p.objective)):
		return late
	default:
		return overdue
	}
}

// rank decides the place of a step in the order of a placement pass.
type rank struct {
	step     *step
	standing standing
	due      time.Time
	begun    bool    // of a short task's job, see setCost
	cost     float64 // of a short task's job, see setCost
	// starving limits the rank to the step's starving tasks.
	starving bool
}

const (
	// longRunningMaxWait is how long a long-running task that ran before waits behind
	// short ones. When more short tasks arrive than fit, it would wait forever, since
	// the next of them uses the resources that they free. Such a task must run again
	// within 9 s after it ended, and its callers miss it from the first second.
	longRunningMaxWait = 3 * time.Second
	// newLongRunningMaxWait is the same for a task that has never run. Nobody uses it
	// yet, and it then holds its resources for a minute or more, of which the wait is a
	// small part. An urgent short job is worth little after its objective and nothing
	// after three of them, commonly within 5 s; a peak of traffic lasts about as long.
	newLongRunningMaxWait = 8 * time.Second
)

// ranBefore reports whether an attempt at the task was placed, by this owner or an
// earlier one, so that the task may have run.
func (t *task) ranBefore() bool { return t.lastAttempt > 0 }

// starving reports whether a long-running task has waited for its longest wait behind
// short ones.
func (c *Core) starving(t *task, now time.Time) bool {
	since, bound := t.step.readyAt, longRunningMaxWait
	if t.endedAt.After(since) {
		since = t.endedAt
	}
	if !t.ranBefore() && !c.disabled.promoteNewEarly {
		bound = newLongRunningMaxWait
	}
	return t.step.longRunning() && !t.done && !t.assigned() && now.Sub(since)+c.waitedBefore(t) >= bound
}

// appendRanks appends the ranks of a step. A step with starving tasks has two: one for
// these and one for all its tasks.
func (c *Core) appendRanks(list []rank, s *step, now time.Time) []rank {
	c.working = s.round.job
	schedule := c.scheduleOf(s, now)
	r := rank{step: s, standing: schedule.standing(now), due: schedule.due()}
	if c.disabled.earliestDueFirst {
		r.standing = onTime
		if now.After(r.due) {
			r.standing = late
		}
	}
	if c.ordersByCost(s) && now.Sub(c.contention.shortAt) < headroom.Window {
		c.setCost(&r, &schedule.work)
	}
	if !s.longRunning() || c.disabled.starveLongRunning || s.spec.GetGang() || !slices.ContainsFunc(s.tasks, func(t *task) bool { return c.starving(t, now) }) {
		return append(list, r)
	}
	first := r
	first.starving = true
	return append(list, first, r)
}

// compare orders steps by priority, then starving long-running tasks first, then
// short tasks before other long-running ones, which don't free their resources,
// then by standing: on time, late, overdue. Under overload this delays the jobs
// that would be late anyway, whereas placing the earliest due first would make all
// jobs late. While short tasks find no room, those of jobs that have begun come first within
// a standing, then those that cost least, see setCost. Ties are resolved by due time, job and step.
func (a rank) compare(b rank) int {
	ja, jb := a.step.round.job, b.step.round.job
	return cmp.Or(
		cmp.Compare(ja.sub.GetPriority(), jb.sub.GetPriority()),
		-compareBool(a.starving, b.starving),
		compareBool(a.step.longRunning(), b.step.longRunning()),
		cmp.Compare(a.standing, b.standing),
		-compareBool(a.begun, b.begun),
		cmp.Compare(a.cost, b.cost),
		a.due.Compare(b.due),
		cmp.Compare(ja.sub.GetId(), jb.sub.GetId()),
		cmp.Compare(a.step.index, b.step.index),
	)
}
