package scheduler

import (
	"slices"
	"time"

	"gooseberryreel/internal/headroom"
)

// demandInterval is the time between two observations of the demand of urgent short
// work. Such work runs for half a second and longer.
const demandInterval = 100 * time.Millisecond

// demandClass is the short work of one priority in a pool, apart from fillers.
type demandClass struct {
	pool     string
	priority int32
	demand   headroom.Demand
	used     int64 // CPU requested by attempts when last observed
	waiting  int64 // CPU of waiting tasks that are not overdue
	tasks    int64 // attempts and waiting tasks
}

// contention is what the core knows about short work that needs headroom.
type contention struct {
	classes    []*demandClass
	observedAt time.Time
	shortAt    time.Time                  // newest pass in which a short task found no room
	sizes      map[string]*headroom.Sizes // of jobs, by queue
	held       int                        // new long-running tasks held back in the newest pass
	keptMilli  int64                      // headroom in the newest pass, zero if no new long-running task waited
}

// shortUse sums up the short attempts of one priority on a worker, apart from fillers.
type shortUse struct {
	priority     int32
	milli, tasks int64
}

// countShort adds an attempt at a short step to the sums of the worker, or removes it if
// sign is -1.
func (w *worker) countShort(s *step, sign int64) {
	priority := s.round.job.sub.GetPriority()
	n := slices.IndexFunc(w.shortUses, func(u shortUse) bool { return u.priority == priority })
	if n < 0 {
		n = len(w.shortUses)
		w.shortUses = append(w.shortUses, shortUse{priority: priority})
	}
	w.shortUses[n].milli += sign * s.size.CPUMilli
	w.shortUses[n].tasks += sign
}

// class returns the class of a step, which it adds if it is unknown.
func (k *contention) class(pool string, priority int32) *demandClass {
	for _, d := range k.classes {
		if d.pool == pool && d.priority == priority {
			return d
		}
	}
	d := &demandClass{pool: pool, priority: priority}
	k.classes = append(k.classes, d)
	return d
}

// observeDemand observes the demand of short work. Overdue jobs don't count: no
// headroom makes up for their delay.
func (c *Core) observeDemand(now time.Time) {
	k := &c.contention
	if now.Sub(k.observedAt) < demandInterval {
		return
	}
	k.observedAt = now
	for _, d := range k.classes {
		d.used, d.waiting, d.tasks = 0, 0, 0
	}
	for _, w := range c.workerList {
		for _, u := range w.shortUses {
			if u.tasks > 0 {
				d := k.class(w.entry.Pool, u.priority)
				d.used += u.milli
				d.tasks += u.tasks
			}
		}
	}
	for _, s := range c.ready {
		if s.waiting == 0 || s.filler() || s.longRunning() {
			continue
		}
		if q := c.queue(s.round.job); q != nil && c.scheduleOf(s, now).standing(now) != overdue {
			d := k.class(q.Pool, s.round.job.sub.GetPriority())
			d.waiting += s.size.CPUMilli * int64(s.waiting)
			d.tasks += int64(s.waiting)
		}
	}
	k.classes = slices.DeleteFunc(k.classes, func(d *demandClass) bool {
		d.demand.Observe(now, d.used+d.waiting)
		return d.tasks == 0 && d.demand.Estimate().Peak == 0
	})
}

// urgentClass returns the class of the most urgent short work in a pool, nil if there
// was none recently.
func (k *contention) urgentClass(pool string) *demandClass {
	var first *demandClass
	for _, d := range k.classes {
		if d.pool == pool && (first == nil || d.priority < first.priority) {
			first = d
		}
	}
	return first
}

// spare is the capacity of a pool that new long-running tasks may take in a pass.
type spare struct {
	class *demandClass // nil if there is no urgent short work
	milli int64
}

// holdsBack reports whether a long-running task has to leave its resources to urgent
// short work. Tasks that ran before, and those that have waited for their longest wait,
// don't.
func (p *pass) holdsBack(t *task, starving bool, pool string, candidates []*candidate) bool {
	if !t.step.longRunning() || starving || t.ranBefore() || p.core.disabled.noHeadroom {
		return false
	}
	s := p.spareIn(pool, candidates)
	if s.class == nil || t.step.round.job.sub.GetPriority() < s.class.priority || s.milli >= t.step.size.CPUMilli {
		return false
	}
	p.core.contention.held++
	if !t.step.heldBack {
		t.step.heldBack = true
		j := t.step.round.job
		p.core.addLogEntry("start held back", j.sub.GetRequestId(), "job", j.sub.GetId(), "step", t.step.index, "waiting", t.step.waiting,
			"spare_milli", s.milli, "headroom_milli", p.core.contention.keptMilli)
	}
	return true
}

// spareIn returns the spare capacity of a pool.
func (p *pass) spareIn(pool string, candidates []*candidate) *spare {
	if s := p.spare[pool]; s != nil {
		return s
	}
	k := &p.core.contention
	s := &spare{class: k.urgentClass(pool)}
	if p.spare == nil {
		p.spare = make(map[string]*spare)
	}
	p.spare[pool] = s
	if s.class == nil {
		return s
	}
	var free, capacity int64
	for _, cand := range candidates {
		free += max(cand.free.CPUMilli, 0)
		capacity += cand.worker.entry.Capacity.CPUMilli
	}
	kept := s.class.demand.Estimate().Headroom(s.class.used, capacity)
	k.keptMilli += kept
	s.milli = free - kept
	return s
}

// takeSpare takes the resources of a placed task from the spare capacity of a pool.
func (p *pass) takeSpare(t *task, pool string) {
	if s := p.spare[pool]; s != nil && !t.step.filler() {
		s.milli -= t.step.size.CPUMilli
	}
}
