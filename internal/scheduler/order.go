package scheduler

import (
	"cmp"
	"slices"
	"time"
)

// standing says what a job can still achieve if its next step starts now.
type standing int

const (
	onTime  standing = iota // within its objective
	late                    // within lateFactor objectives
	overdue                 // later than that
)

// String returns the name used in logs.
func (s standing) String() string { return [...]string{"on_time", "late", "overdue"}[s] }

const (
	// lateFactor is the multiple of a job's objective up to which its result is
	// worth a part of its value.
	lateFactor = 3
	// chainMargin covers what estimates and waiting between steps add to a chain
	// of work.
	chainMargin = 1.15
)

// schedule is when a step's job is on time, as far as estimates tell.
type schedule struct {
	at        time.Time     // when it was computed, zero if it was not
	left      time.Duration // longest chain of work from this step on
	objective time.Duration // of the job, from begun
	begun     time.Time
}

// scheduleInterval is the age of a schedule from which it is computed anew with
// what was learned of durations meanwhile.
const scheduleInterval = time.Second

// scheduleOf returns the schedule of a step. Estimates are corrected by what
// tasks of the queue have taken so far.
func (c *Core) scheduleOf(s *step, now time.Time) *schedule {
	if !s.schedule.at.IsZero() && now.Sub(s.schedule.at) < scheduleInterval {
		return &s.schedule
	}
	j := s.round.job
	fit := c.durations.of(j.sub.GetQueue())
	if c.faults.earliestDue {
		fit = &durationFit{}
	}
	// until holds the longest chain of work up to the end of each step.
	until := make([]time.Duration, len(s.round.steps))
	chain := time.Duration(0)
	for i, other := range s.round.steps {
		for _, earlier := range other.spec.GetAfter() {
			until[i] = max(until[i], until[earlier])
		}
		until[i] += fit.expect(other.spec.GetEstimateMs())
		chain = max(chain, until[i])
	}
	s.schedule = schedule{
		at: now, left: chain - until[s.index] + fit.expect(s.spec.GetEstimateMs()), begun: j.received,
		objective: time.Duration(float64(chain)*max(j.sub.GetStretch(), 1)) + time.Duration(j.sub.GetTargetMs())*time.Millisecond,
	}
	if j.sub.GetTimes() > 0 {
		s.schedule.begun = s.round.due
	}
	return &s.schedule
}

// due returns until when the job is on time.
func (p *schedule) due() time.Time { return p.begun.Add(p.objective) }

// standing returns what the job can still achieve if the step starts now.
func (p *schedule) standing(now time.Time) standing {
	ready := now.Add(time.Duration(float64(p.left) * chainMargin))
	switch {
	case !ready.After(p.due()):
		return onTime
	case !ready.After(p.begun.Add(lateFactor * p.objective)):
		return late
	default:
		return overdue
	}
}

// rank is the place of a step in a placement pass.
type rank struct {
	step     *step
	standing standing
	due      time.Time
	// starving limits the rank to lasting tasks that have waited for
	// lastingPatience.
	starving bool
}

// lastingPatience is how long a lasting task waits behind short ones. When more
// short tasks arrive than fit, it would wait for good, since what they free is
// taken by the next of them; a lasting task must run again 9 s after it ended.
const lastingPatience = 3 * time.Second

// starving reports whether a lasting task has waited for too long.
func (t *task) starving(now time.Time) bool {
	since := t.step.readyAt
	if t.endedAt.After(since) {
		since = t.endedAt
	}
	return t.step.last() && !t.done && !t.live() && now.Sub(since) >= lastingPatience
}

// ranksOf returns the places of a step in a pass.
func (c *Core) ranksOf(s *step, now time.Time) []rank {
	schedule := c.scheduleOf(s, now)
	r := rank{step: s, standing: schedule.standing(now), due: schedule.due()}
	if c.faults.earliestDue {
		r.standing = onTime
		if now.After(r.due) {
			r.standing = late
		}
	}
	if !s.last() || c.faults.starveLasting || s.spec.GetGang() || !slices.ContainsFunc(s.tasks, func(t *task) bool { return t.starving(now) }) {
		return []rank{r}
	}
	first := r
	first.starving = true
	return []rank{first, r}
}

// compare orders steps: by priority, starving lasting tasks first, short tasks
// before other lasting ones, which hold their room for good, then those that can still be on time, then those that can
// still be worth something. Under overload this gives up the jobs that would
// come late anyway, where the earliest due first would make all of them late.
func (a rank) compare(b rank) int {
	ja, jb := a.step.round.job, b.step.round.job
	return cmp.Or(
		cmp.Compare(ja.sub.GetPriority(), jb.sub.GetPriority()),
		-compareBool(a.starving, b.starving),
		compareBool(a.step.last(), b.step.last()),
		cmp.Compare(a.standing, b.standing),
		a.due.Compare(b.due),
		cmp.Compare(ja.sub.GetId(), jb.sub.GetId()),
		cmp.Compare(a.step.index, b.step.index),
	)
}
