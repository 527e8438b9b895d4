package scheduler

import (
	"slices"
	"time"

	"gooseberryreel/internal/interference"
)

// plan runs a placement pass: it places waiting tasks on workers.
func (c *Core) plan(now time.Time) {
	c.updateReady(now)
	c.updateDomains(now)
	if c.config == nil || !c.checkEntries(now) || !c.checkRequests(now) {
		return
	}
	c.observeDemand(now)
	c.contention.held, c.contention.keptMilli = 0, 0
	c.passCounts.Passes++
	c.memory.used = 0
	pass := &pass{core: c, number: c.passCounts.Passes, now: now, pools: make(map[string][]*candidate), unplaced: make(map[requirements]Resources)}
	bestEffort := !c.late || now.Sub(c.bestEffortAt) >= planInterval
	ranks := c.waitingSteps(bestEffort, now)
	for _, r := range ranks {
		c.passCounts.Steps++
		pass.placeStep(r)
		pass.noteWithheld(r.step)
	}
	if bestEffort {
		c.bestEffortAt = now
		pass.placeCopies()
		pass.overcommit(ranks)
		pass.observeWaits(ranks)
	}
}

// updateReady moves the blocked steps that may start now to the ready ones, and
// drops finished steps and those of ended jobs.
func (c *Core) updateReady(now time.Time) {
	c.openUpcomingRounds(now)
	c.ready = slices.DeleteFunc(c.ready, func(s *step) bool { return s.unfinished == 0 || !s.round.job.active() })
	kept := c.blocked[:0]
	for _, s := range c.blocked {
		switch {
		case s.unfinished == 0 || !s.round.job.active():
		case s.mayStart(now):
			s.readyAt = now
			s.openMore()
			c.ready = append(c.ready, s)
		default:
			kept = append(kept, s)
		}
	}
	clear(c.blocked[len(kept):])
	c.blocked = kept
}

// waitingSteps returns the ready steps with tasks to place or to speed up, in the order in
// which they are placed, without fillers unless bestEffort is set.
func (c *Core) waitingSteps(bestEffort bool, now time.Time) []rank {
	list := c.memory.ranks[:0]
	for _, s := range c.ready {
		if s.waiting+s.overcommitted > 0 && (bestEffort || !s.filler()) {
			list = c.appendRanks(list, s, now)
		}
	}
	c.memory.ranks = list
	slices.SortFunc(list, rank.compare)
	c.orderByRack(list, now)
	return list
}

// compareBool orders false before true.
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
	core   *Core
	number int64
	now    time.Time
	costs  stepCosts
	roomy  map[roomKey]*room
	pools  map[string][]*candidate
	// unplaced holds, for each set of requirements, the last request that no
	// worker had enough free capacity for.
	unplaced map[requirements]Resources
	racks    map[string]*rackForecast
	// reserved is the number of workers reserved for starving and for suspect tasks.
	reserved int
	spare    map[string]*spare // by pool, see spareIn
	held     int               // workers held for gangs
	leftOut  map[*step]bool    // steps that were not tried, see unplaced
	spares   map[string]bool   // by pool, see sparesCPU
}

// requirements are the properties that a task requires of a worker, apart from the
// amount of resources.
type requirements struct {
	pool          string
	filler        bool
	isLongRunning bool
	image         interference.Filler // zero if it is none
	starved       bool                // see step.starved
}

// requirementsOf returns the requirements of a step, false if the step has others
// that are not part of them: a ticket, a spread limit or a label.
func requirementsOf(s *step, pool string) (requirements, bool) {
	n := requirements{pool: pool, filler: s.filler(), isLongRunning: s.longRunning()}
	if n.filler {
		n.image = s.role.filler
	}
	return n, s.advice == nil && s.spec.GetSpread() == 0 && s.spec.GetRequiredLabel() == ""
}

// pool returns the workers of a pool that may receive new work.
func (p *pass) pool(name string) []*candidate {
	candidates, found := p.pools[name]
	if !found {
		p.core.passCounts.Looks += int64(len(p.core.workerList))
		for _, w := range p.core.workerList {
			if w.entry.Pool == name && w.usable(p.now) && !p.core.evacuated(w) {
				cand := w.candidate(p.core, p.number, p.now)
				if cand.updatedIn == p.number {
					p.core.passCounts.Updated++
				}
				candidates = append(candidates, cand)
			}
		}
		p.pools[name] = candidates
	}
	return candidates
}

// leavesOut reports whether no worker had room in this pass for a request that is no larger
// than that of a step. What failed for a step that is not starved tells nothing about one
// that is, which more workers accept.
func (p *pass) leavesOut(s *step, required requirements) bool {
	for _, required.starved = range []bool{true, false} {
		if size, found := p.unplaced[required]; found && size.FitsIn(s.size) {
			return true
		}
		if s.filler() && s.starved(p.now) {
			return false
		}
	}
	return false
}

// placeStep places as many waiting tasks of a step as the free capacity allows.
func (p *pass) placeStep(r rank) {
	s := r.step
	q := p.core.queue(s.round.job)
	if q == nil {
		return // the queue was removed, so no worker may run its jobs
	}
	candidates := p.pool(q.Pool)
	p.core.working = s.round.job
	if s.overcommitted > 0 {
		p.promote(s)
		if s.waiting == 0 {
			return
		}
	}
	if q.Advice != nil {
		defer func() {
			if s.waiting > 0 {
				p.requestAdvice(s, candidates, q)
			}
		}()
	}
	if s.spec.GetGang() {
		p.placeGang(s, candidates, q)
		return
	}
	required, cacheable := requirementsOf(s, q.Pool)
	if cacheable && p.leavesOut(s, required) {
		p.core.passCounts.NoRoom++
		if p.leftOut == nil {
			p.leftOut = make(map[*step]bool)
		}
		p.leftOut[s] = true
		s.noRoom = noRoom{pass: p.number, starved: s.filler() && s.starved(p.now), config: p.core.config}
		return
	}
	placed, complete := p.placeTasks(r, candidates, q)
	if !complete && !s.longRunning() && !s.filler() {
		p.core.contention.shortAt = p.now
	}
	if !complete && cacheable && p.held == 0 {
		required.starved = s.noRoom.starved
		p.unplaced[required] = s.size
	}
	if placed > 0 {
		j := s.round.job
		p.core.addLogEntry("step placed", j.sub.GetRequestId(), "job", j.sub.GetId(), "round", s.round.number, "step", s.index,
			"tasks", placed, "waiting", s.waiting, "waited_ms", p.now.Sub(s.readyAt).Milliseconds(),
			"standing", r.standing.String(), "margin", p.core.margin(s, p.now), "due_in_ms", r.due.Sub(p.now).Milliseconds(), "config", p.core.config.Version)
	}
}

// placeTasks places tasks of a step until no worker can start one more. It returns
// the number of tasks placed, and false if no worker had enough free capacity for
// the last one. Workers are reserved for starving and suspect tasks that don't fit.
func (p *pass) placeTasks(r rank, candidates []*candidate, q *Queue) (placed int, complete bool) {
	ranked := p.newRanking(r.step, candidates, q)
	defer ranked.close()
	var reservable *reservable
	near := p.nearPlacement(r.step, candidates, q)
	defer near.log()
	// Placing the last open task opens more.
	for n := 0; n < len(r.step.tasks); n++ {
		t := r.step.tasks[n]
		if t.done || t.assigned() || p.now.Before(t.notBefore) || r.starving && !p.core.starving(t, p.now) {
			continue
		}
		if p.holdsBack(t, r.starving, q.Pool, candidates) {
			continue
		}
		best := ranked.bestFor(t)
		switch {
		case best != nil && near.waits(t, best):
		case best != nil:
			p.takeSpare(t, q.Pool)
			p.core.place(t, best.worker, t.lastAttempt+1, p.now)
			best.update()
			ranked.update(best)
			placed++
			p.core.passCounts.Placed++
		case t.suspect():
			if kept := p.reserveForTrial(t, candidates, q); kept != nil {
				ranked.update(kept)
			}
		case r.starving:
			if reservable == nil {
				reservable = p.newReservable(t, candidates, q)
			}
			p.reserve(reservable)
		default:
			if !r.step.filler() {
				p.reclaimMemory(t, candidates, q)
			}
			return placed, false // the other tasks of the step request the same resources
		}
	}
	return placed, true
}
