package scheduler

import (
	"time"

	"gooseberryreel/internal/locality"
)

// placeGang places all tasks of a gang or none.
func (p *pass) placeGang(s *step, candidates []*candidate, q *Queue) {
	number := 0
	for _, t := range s.tasks {
		if t.done || t.assigned() || p.now.Before(t.notBefore) {
			return
		}
		number = max(number, t.lastAttempt+1)
	}
	waits := p.core.knowsRacks() && s.spec.GetSameRack() && !s.longRunning() && !s.filler() && q.Advice == nil && !p.core.disabled.ignoreRacks
	for _, group := range p.fastGroups(s, gangGroups(s, candidates)) {
		plan := p.gangPlan(s, group, q)
		if plan == nil {
			continue
		}
		slowdown := slowdownOfPlan(plan, p.core.opts.RemoteFactor)
		if waits && slowdown > 1 && p.gangWaits(s, candidates, q, true) {
			return
		}
		for i, t := range s.tasks {
			p.core.place(t, plan[i].worker, number, p.now).slowdown = slowdown
			plan[i].update()
		}
		if waits {
			p.endGangWait(s, slowdown)
		}
		return
	}
	if waits {
		p.gangWaits(s, candidates, q, false)
	}
}

// slowdownOfPlan returns how much longer a gang takes on the workers of a plan.
func slowdownOfPlan(plan []*candidate, factor float64) float64 {
	for _, cand := range plan {
		if cand.worker.entry.Rack != plan[0].worker.entry.Rack && factor > 1 {
			return factor
		}
	}
	return 1
}

// gangWaits reports whether a gang waits for room on one rack, and if so keeps that room
// from tasks that would be in its way. canStart is set if the gang could start on several
// racks now.
func (p *pass) gangWaits(s *step, candidates []*candidate, q *Queue, canStart bool) bool {
	rack, wait, used := p.soonestRack(s, candidates, q)
	if used == nil {
		return false
	}
	question := p.core.question(s, s.tasks[0], p.now)
	question.Wait, question.WaitSpread = p.core.locality.gangs.Correct(wait), p.core.locality.gangs.Spread()
	near := &s.near.gang
	if !near.since.IsZero() {
		question.Waited = p.now.Sub(near.since)
		question.Overdue = question.Waited - near.expected
	}
	answer := locality.Decide(question)
	if override := p.core.disabled.nearWait; override != nil {
		answer = override(question)
	}
	if canStart && !answer.Wait {
		return false
	}
	if near.since.IsZero() && canStart {
		near.since, near.expected = p.now, question.Wait
		p.core.logNearWait(s, rack, len(s.tasks), answer, 0)
	}
	if p.holdsInTime(&s.near, question.Wait) && !p.core.disabled.noGangHolds {
		p.holdForGang(s, rack, wait, used, question.Duration)
	}
	return true
}

const (
	// minGangHold is how long room may be held for a gang in any case, and gangHoldFactor
	// the multiple of the expected wait. After that the gang is not expected to come
	// soon, and the room serves others for as long before it is held again.
	minGangHold    = 500 * time.Millisecond
	gangHoldFactor = 2
)

// holdsInTime reports whether room may be held for a gang now.
func (p *pass) holdsInTime(near *nearStep, expected time.Duration) bool {
	if near.heldSince.IsZero() {
		near.heldSince, near.heldFor = p.now, max(gangHoldFactor*expected, minGangHold)
	}
	return p.now.Sub(near.heldSince)/near.heldFor%2 == 0
}

// soonestRack returns the rack on which a gang fits first, after what time, and how many
// of its tasks would run on each worker there. It returns nil if it fits no rack.
func (p *pass) soonestRack(s *step, candidates []*candidate, q *Queue) (rack string, wait time.Duration, used map[*candidate]int) {
	t := s.tasks[0]
	duration := p.core.expectedDuration(s)
	for _, group := range gangGroups(s, candidates) {
		if len(group) == 0 {
			continue // no worker is usable
		}
		name := group[0].worker.entry.Rack
		if len(group) == len(candidates) && name != group[len(group)-1].worker.entry.Rack {
			continue // all workers together
		}
		f := p.rackForecast(name, candidates, q)
		at, room := f.forecast.EarliestGang(len(s.tasks), int(s.spec.GetSpread()), locality.Amount(s.size), duration, func(i int) bool {
			cand := f.workers[i]
			return (cand.heldFor == nil || cand.heldFor == s) && p.admits(cand, t) && cand.allows(t, q, p.now)
		})
		if room == nil || used != nil && at >= wait {
			continue
		}
		rack, wait, used = name, at, make(map[*candidate]int, len(room))
		for i, n := range room {
			used[f.workers[i]] = n
		}
	}
	return rack, wait, used
}

// holdForGang keeps the workers that a gang waits for from tasks that would not end
// before the gang is expected to start. The first gang of a pass may hold as many
// workers as it needs; beyond that the bound of reserve applies.
func (p *pass) holdForGang(s *step, rack string, wait time.Duration, used map[*candidate]int, duration time.Duration) {
	all := 0
	for _, candidates := range p.pools {
		all += len(candidates)
	}
	if p.held > 0 && float64(p.held+p.reserved+len(used)) > maxReserved*float64(all) {
		return
	}
	for i, cand := range p.racks[p.core.queue(s.round.job).Pool+"/"+rack].workers {
		if used[cand] == 0 {
			continue
		}
		p.held++
		cand.heldFor, cand.heldIn = s, wait
		for range used[cand] {
			p.racks[p.core.queue(s.round.job).Pool+"/"+rack].forecast.Reserve(i, locality.Amount(s.size), wait, duration)
		}
	}
}

// endGangWait ends the wait of a gang, if it waits.
func (p *pass) endGangWait(s *step, slowdown float64) {
	how := "near"
	if slowdown > 1 {
		how = locality.ReasonRemote
	}
	if !s.near.gang.since.IsZero() {
		p.core.observeNearWait(s, &s.near.gang, &p.core.locality.gangs, how, p.now)
	}
	s.near.heldSince = time.Time{}
}

// heldForOther reports whether a worker is held for a gang that a task would delay.
func (cand *candidate) heldForOther(s *step, expected time.Duration) bool {
	return cand.heldFor != nil && cand.heldFor != s && (s.spec.GetGang() || s.longRunning() || expected > cand.heldIn)
}

// gangGroups returns the sets of workers to try for a gang, in this order: for a
// gang that prefers one rack each rack by itself, then all workers together.
func gangGroups(s *step, candidates []*candidate) [][]*candidate {
	if !s.spec.GetSameRack() {
		return [][]*candidate{candidates}
	}
	byRack := make(map[string][]*candidate)
	var racks []string
	for _, cand := range candidates {
		rack := cand.worker.entry.Rack
		if byRack[rack] == nil {
			racks = append(racks, rack)
		}
		byRack[rack] = append(byRack[rack], cand)
	}
	var groups [][]*candidate
	for _, rack := range racks {
		groups = append(groups, byRack[rack])
	}
	return append(groups, candidates)
}

// gangPlan returns a worker for each task of a gang, nil if the workers
// don't have enough free capacity for all of them.
func (p *pass) gangPlan(s *step, candidates []*candidate, q *Queue) []*candidate {
	taken := make(map[*candidate]int)
	plan := make([]*candidate, 0, len(s.tasks))
	for _, t := range s.tasks {
		var best *candidate
		for _, cand := range candidates {
			if cand.heldForOther(s, 0) || !p.admits(cand, t) || !cand.allows(t, q, p.now) || s.spec.GetSpread() > 0 && taken[cand]+cand.attemptsOfStep(s) >= int(s.spec.GetSpread()) {
				continue
			}
			total := Resources{s.size.CPUMilli * int64(taken[cand]+1), s.size.MemoryMiB * int64(taken[cand]+1), s.size.Accelerators * int64(taken[cand]+1)}
			if s.filler() {
				total.CPUMilli = 0
			}
			if total.FitsIn(cand.free) && (best == nil || taken[cand] > taken[best]) {
				best = cand
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
