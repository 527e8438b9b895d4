package scheduler

import (
	"slices"
	"time"
)

// plan runs a placement pass: it places waiting tasks on workers.
func (c *Core) plan(now time.Time) {
	c.openSteps(now)
	if c.config == nil {
		return
	}
	pass := &pass{core: c, now: now, pools: make(map[string][]*slot), full: make(map[need]Resources)}
	for _, r := range c.waitingSteps(now) {
		pass.placeStep(r)
	}
}

// updateReady moves the blocked steps that may start now to the ready ones, and
// drops finished steps and those of ended jobs.
func (c *Core) openSteps(now time.Time) {
	c.open = slices.DeleteFunc(c.open, func(s *step) bool { return s.left == 0 || !s.round.job.active() })
	kept := c.blocked[:0]
	for _, s := range c.blocked {
		switch {
		case s.left == 0 || !s.round.job.active():
		case s.mayStart(now):
			s.readyAt = now
			c.open = append(c.open, s)
		default:
			kept = append(kept, s)
		}
	}
	clear(c.blocked[len(kept):])
	c.blocked = kept
}

// waitingSteps returns the ready steps with tasks to place, in the order in which
// they are placed.
func (c *Core) waitingSteps(now time.Time) []rank {
	var list []rank
	for _, s := range c.open {
		if s.waiting > 0 {
			list = append(list, c.ranksOf(s, now)...)
		}
	}
	slices.SortFunc(list, rank.compare)
	return list
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// pass is the state of one placement pass.
type pass struct {
	core  *Core
	now   time.Time
	pools map[string][]*slot
	// unplaced holds, for each set of requirements, the last request that no
	// worker had room for.
	full map[need]Resources
	// reserved is the number of workers reserved for starving tasks.
	reserved int
}

// requirements are what a task asks of a worker besides its amount of resources.
type need struct {
	service string
	filler  bool
	lasting bool
	image   int // of a filler, otherwise zero
}

// requirementsOf returns the requirements of a step, false if the step has others
// that are not part of them: a ticket, a spread limit or a label.
func needOf(s *step, service string) (need, bool) {
	n := need{service: service, filler: s.filler(), lasting: s.last()}
	if n.filler {
		n.image = s.image
	}
	return n, s.advice == nil && s.spec.GetSpread() == 0 && s.spec.GetRequiredLabel() == ""
}

// pool returns the workers of a pool that may receive new work.
func (p *pass) pool(service string) []*slot {
	slots, found := p.pools[service]
	if !found {
		for _, w := range p.core.order {
			if w.entry.Pool == service && w.usable(p.now) {
				slots = append(slots, newSlot(w, p.core.pairs))
			}
		}
		p.pools[service] = slots
	}
	return slots
}

// placeStep places as many waiting tasks of a step as there is room for.
func (p *pass) placeStep(r rank) {
	s := r.step
	q := p.core.queue(s.round.job)
	if q == nil {
		return // the queue was removed, so no worker may run its jobs
	}
	slots := p.pool(q.Pool)
	if q.Advice != nil {
		defer func() {
			if s.waiting > 0 {
				p.ask(s, slots, q)
			}
		}()
	}
	if s.spec.GetGang() {
		p.placeGang(s, slots, q)
		return
	}
	need, plain := needOf(s, q.Pool)
	if full, found := p.full[need]; plain && found && full.FitsIn(s.size) {
		return
	}
	placed := 0
	for _, t := range s.tasks {
		if t.done || t.live() || p.now.Before(t.notBefore) || r.starving && !t.starving(p.now) {
			continue
		}
		if !p.placeTask(t, slots, q) {
			if r.starving {
				p.reserve(t, slots, q)
				continue
			}
			if plain {
				p.full[need] = s.size
			}
			break // the other tasks of the step request the same resources
		}
		placed++
	}
	if placed > 0 {
		j := s.round.job
		p.core.note("step placed", j.sub.GetRequestId(), "job", j.sub.GetId(), "round", s.round.number, "step", s.index,
			"tasks", placed, "waiting", s.waiting, "waited_ms", p.now.Sub(s.readyAt).Milliseconds(),
			"standing", r.standing.String(), "due_in_ms", r.due.Sub(p.now).Milliseconds(), "config", p.core.config.Version)
	}
}

// maxReserved bounds the share of a pool's workers that are reserved for starving
// tasks.
const maxReserved = 0.1

// reserve reserves a worker for a starving task, the one with the most room among
// those that could run it once their short tasks have ended. Apart from fillers and
// gangs, nothing is placed there in the rest of the pass.
func (p *pass) reserve(t *task, slots []*slot, q *Queue) {
	if float64(p.reserved) >= maxReserved*float64(len(slots)) {
		return
	}
	var most *slot
	for _, sl := range slots {
		if !sl.reserved && t.step.size.FitsIn(sl.freeSoon()) && sl.mayHold(t, q, p.now) && (most == nil || freeShare(sl) > freeShare(most)) {
			most = sl
		}
	}
	if most != nil {
		most.reserved = true
		p.reserved++
	}
}

func (p *pass) placeTask(t *task, slots []*slot, q *Queue) bool {
	best := p.best(t, slots, q)
	if best == nil {
		return false
	}
	p.core.place(t, best.worker, t.run+1, p.now)
	best.update()
	return true
}

// placeGang places all tasks of a gang or none.
func (p *pass) placeGang(s *step, slots []*slot, q *Queue) {
	number := 0
	for _, t := range s.tasks {
		if t.done || t.live() || p.now.Before(t.notBefore) {
			return
		}
		number = max(number, t.run+1)
	}
	for _, group := range gangGroups(s, slots) {
		if plan := p.gangPlan(s, group, q); plan != nil {
			for i, t := range s.tasks {
				p.core.place(t, plan[i].worker, number, p.now)
				plan[i].update()
			}
			return
		}
	}
}

// gangGroups returns the sets of workers to try for a gang, in this order: for a
// gang that prefers one rack each rack by itself, then all workers together.
func gangGroups(s *step, slots []*slot) [][]*slot {
	if !s.spec.GetSameRack() {
		return [][]*slot{slots}
	}
	byRack := make(map[string][]*slot)
	var racks []string
	for _, sl := range slots {
		rack := sl.worker.entry.Rack
		if byRack[rack] == nil {
			racks = append(racks, rack)
		}
		byRack[rack] = append(byRack[rack], sl)
	}
	var groups [][]*slot
	for _, rack := range racks {
		groups = append(groups, byRack[rack])
	}
	return append(groups, slots)
}

// gangPlan returns a worker for each task of a gang, nil if the workers have no
// room for all of them.
func (p *pass) gangPlan(s *step, slots []*slot, q *Queue) []*slot {
	taken := make(map[*slot]int)
	plan := make([]*slot, 0, len(s.tasks))
	for _, t := range s.tasks {
		var best *slot
		for _, sl := range slots {
			if !sl.allows(t, q, p.now) || s.spec.GetSpread() > 0 && taken[sl]+sl.ofStep(s) >= int(s.spec.GetSpread()) {
				continue
			}
			need := Resources{s.size.CPUMilli * int64(taken[sl]+1), s.size.MemoryMiB * int64(taken[sl]+1), s.size.Accelerators * int64(taken[sl]+1)}
			if s.filler() {
				need.CPUMilli = 0
			}
			if need.FitsIn(sl.free) && (best == nil || taken[sl] > taken[best]) {
				best = sl
			}
		}
		if best == nil {
			return nil
		}
		taken[best]++
		plan = append(plan, best)
	}
	return plan
}
