package scheduler

import (
	"slices"
	"time"
)

// plan places waiting tasks on workers.
func (c *Core) plan(now time.Time) {
	c.openSteps(now)
	if c.config == nil {
		return
	}
	pass := &pass{core: c, now: now, pools: make(map[string][]*slot), full: make(map[need]Size)}
	for _, r := range c.waitingSteps(now) {
		pass.placeStep(r)
	}
}

// openSteps moves the steps whose turn has come to the open ones, and drops
// those that are done.
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

// waitingSteps returns the steps with tasks to place, in the order in which
// they get room.
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

// pass is one placement pass. It keeps the workers of each pool.
type pass struct {
	core  *Core
	now   time.Time
	pools map[string][]*slot
	// full holds the smallest size of each need that found no room.
	full map[need]Size
	// reserved is the number of workers kept for starving tasks.
	reserved int
}

// need is what tasks that differ only in size ask of a worker.
type need struct {
	service string
	filler  bool
	lasting bool
	image   int // of fillers
}

// needOf returns the need of a step, false if it asks for more than room.
func needOf(s *step, service string) (need, bool) {
	n := need{service: service, filler: s.filler(), lasting: s.last()}
	if n.filler {
		n.image = s.image
	}
	return n, s.advice == nil && s.spec.GetSpread() == 0 && s.spec.GetRequiredLabel() == ""
}

// pool returns the workers that may receive work of a pool.
func (p *pass) pool(service string) []*slot {
	slots, found := p.pools[service]
	if !found {
		for _, w := range p.core.order {
			if w.entry.Service == service && w.usable(p.now) {
				slots = append(slots, newSlot(w, p.core.pairs))
			}
		}
		p.pools[service] = slots
	}
	return slots
}

// placeStep places the waiting tasks of a step as far as there is room.
func (p *pass) placeStep(r rank) {
	s := r.step
	q := p.core.queue(s.round.job)
	if q == nil {
		return // the queue is gone, so no worker may run its jobs
	}
	slots := p.pool(q.Service)
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
	need, plain := needOf(s, q.Service)
	if full, found := p.full[need]; plain && found && full.Fits(s.size) {
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
			break // the others of the step need the same room
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

// maxReserved bounds the share of the workers that are kept for starving tasks.
const maxReserved = 0.1

// reserve keeps the worker with the most room that may run a task from others in
// this pass, so that what ends there makes room for it.
func (p *pass) reserve(t *task, slots []*slot, q *Queue) {
	if float64(p.reserved) >= maxReserved*float64(len(slots)) {
		return
	}
	var most *slot
	for _, sl := range slots {
		if !sl.reserved && t.step.size.Fits(sl.freeSoon()) && sl.mayHold(t, q, p.now) && (most == nil || freeShare(sl) > freeShare(most)) {
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

// gangGroups returns the sets of workers on which a gang may run: each rack by
// itself first, then all workers together.
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

// gangPlan returns a worker for each task of a gang, nil if there is no room for
// all of them.
func (p *pass) gangPlan(s *step, slots []*slot, q *Queue) []*slot {
	taken := make(map[*slot]int)
	plan := make([]*slot, 0, len(s.tasks))
	for _, t := range s.tasks {
		var best *slot
		for _, sl := range slots {
			if !sl.allows(t, q, p.now) || s.spec.GetSpread() > 0 && taken[sl]+sl.ofStep(s) >= int(s.spec.GetSpread()) {
				continue
			}
			need := Size{s.size.CPUMilli * int64(taken[sl]+1), s.size.MemoryMiB * int64(taken[sl]+1), s.size.Accelerators * int64(taken[sl]+1)}
			if s.filler() {
				need.CPUMilli = 0
			}
			if need.Fits(sl.free) && (best == nil || taken[sl] > taken[best]) {
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
