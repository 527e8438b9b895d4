package scheduler

import (
	"cmp"
	"slices"
	"time"
)

const (
	// overcommitAfter is how long a job of fillers may have nothing running before it
	// starts a task on a worker without free CPU. A job must not wait for 3 s, of which
	// the record and the start take a part.
	overcommitAfter = 1200 * time.Millisecond
	// overcommitSpeed is the speed of such a task in percent: the others on its worker
	// hardly notice it.
	overcommitSpeed = 10
	// overcommitMaxUse is the share of a pool's CPU that work other than fillers may
	// request. Jobs of fillers must not wait on a pool of which less than half is in use.
	overcommitMaxUse = 0.6
	// overcommitRetry is the time between two searches for a worker for a step of which none
	// may run a task.
	overcommitRetry = 500 * time.Millisecond
	// overcommitChoices is the number of suitable workers that are compared for a task.
	overcommitChoices = 8
)

// overcommit starts one task of each job of fillers that has had nothing running for
// overcommitAfter, those that waited longest first. Fillers only get the CPU that others
// leave, so that a job can start however many there are, as long as there is memory.
func (p *pass) overcommit(ranks []rank) {
	idle := p.core.memory.idle[:0]
	for _, r := range ranks {
		s := r.step
		if s.filler() && s.waiting > 0 && !s.spec.GetGang() && s.idleFor(p.now) >= overcommitAfter {
			idle = append(idle, s)
		}
	}
	p.core.memory.idle = idle
	slices.SortStableFunc(idle, func(a, b *step) int { return cmp.Compare(b.idleFor(p.now), a.idleFor(p.now)) })
	unplaced := make(map[string]Resources) // by pool, a request that no worker had room for
	for _, s := range idle {
		q := p.core.queue(s.round.job)
		if q == nil || s.round.job.attempts > 0 || p.now.Before(s.overcommitAt) || !p.sparesCPU(q.Pool) {
			continue
		}
		if size, found := unplaced[q.Pool]; found && size.FitsIn(s.size) {
			continue
		}
		n := slices.IndexFunc(s.tasks, func(t *task) bool { return !t.done && !t.assigned() && !p.now.Before(t.notBefore) })
		if n < 0 {
			continue
		}
		t := s.tasks[n]
		_, plain := requirementsOf(s, q.Pool)
		switch {
		case p.overcommitTask(t, q):
		case plain && q.Advice == nil && !t.suspect():
			unplaced[q.Pool] = s.size
		default:
			s.overcommitAt = p.now.Add(overcommitRetry)
		}
	}
}

// sparesCPU reports whether work other than fillers requests so little of a pool that no
// job of fillers may wait.
func (p *pass) sparesCPU(pool string) bool {
	if spares, known := p.spares[pool]; known {
		return spares
	}
	var used, capacity int64
	for _, w := range p.core.workerList {
		if w.listed && w.entry.Pool == pool {
			used += w.used.CPUMilli
			capacity += w.entry.Capacity.CPUMilli
		}
	}
	if p.spares == nil {
		p.spares = make(map[string]bool)
	}
	p.spares[pool] = float64(used) < overcommitMaxUse*float64(capacity)
	return p.spares[pool]
}

// overcommitTask starts a task at overcommitSpeed. It returns false if no worker may run
// it.
func (p *pass) overcommitTask(t *task, q *Queue) bool {
	s := t.step
	p.costs = stepCosts{margin: p.core.margin(s, p.now), starved: true, overcommit: true}
	candidates := p.pool(q.Pool)
	var found *candidate
	lowest, choices := 0.0, 0
	for range candidates {
		// Passes and steps begin with different workers, so that they share the load.
		p.core.overcommitNext++
		cand := candidates[p.core.overcommitNext%len(candidates)]
		p.core.passCounts.Looks++
		cost, why := p.costIfFits(t, cand, q)
		if why != accepted {
			continue
		}
		if found == nil || cost < lowest {
			found, lowest = cand, cost
		}
		if choices++; choices == overcommitChoices {
			break
		}
	}
	if found == nil {
		return false
	}
	a := p.core.place(t, found.worker, t.lastAttempt+1, p.now)
	a.overcommitted, a.speed = true, overcommitSpeed
	s.overcommitted++
	found.worker.overcommitted++
	found.update()
	p.core.passCounts.Placed++
	j := s.round.job
	p.core.addLogEntry("task overcommitted", j.sub.GetRequestId(), "run", a.attemptID.String(), "worker", found.worker.id,
		"percent", a.speed, "use", round2(share(found.load.use, found.worker.entry.Capacity.CPUMilli)))
	return true
}

// reclaimMemory stops the overcommitted attempts on one worker if that gives a task that is
// not best-effort the memory that it lacks everywhere.
func (p *pass) reclaimMemory(t *task, candidates []*candidate, q *Queue) {
	for _, cand := range candidates {
		w := cand.worker
		if w.overcommitted == 0 || !cand.feasible(t, q, p.now) {
			continue
		}
		free, stopping := cand.free, false
		for _, a := range w.list {
			if a.overcommitted && a.mayBeStopped() {
				free.MemoryMiB += a.step().size.MemoryMiB
				stopping = stopping || a.stopReason != ""
			}
		}
		if !t.step.size.FitsIn(free) {
			continue
		}
		if stopping {
			return // what is stopped for this task, or for one like it
		}
		free = cand.free
		for _, a := range slices.Clone(w.list) {
			if a.overcommitted && a.mayBeStopped() && !t.step.size.FitsIn(free) {
				free.MemoryMiB += a.step().size.MemoryMiB
				p.core.stop(a, "other work needs its memory", p.now)
			}
		}
		return
	}
}

// promote speeds the overcommitted attempts of a step up as far as their workers have CPU
// for them by now. It is the turn of the step, so that they go ahead of later steps.
func (p *pass) promote(s *step) {
	for _, t := range s.tasks {
		for _, a := range t.attempts {
			if a.overcommitted && (!a.startedAt.IsZero() || a.restored) && a.stopReason == "" && !a.speedPending {
				p.promoteAttempt(a)
			}
		}
	}
}

func (p *pass) promoteAttempt(a *attempt) {
	cand, s := a.worker.kept, a.step()
	if cand == nil || cand.seenIn != p.number || cand.overTarget || cand.overAlone {
		return
	}
	size := s.size.CPUMilli
	free := int64(fillerMaxUse*float64(a.worker.entry.Capacity.CPUMilli)) - cand.load.use
	gain := 100 - a.speed
	if size > 0 {
		gain = min(gain, int(max(min(free*100/size, 100), 0)))
	}
	gain = p.core.spareSpeed(a, gain) / speedStepPercent * speedStepPercent
	percent := a.speed + gain
	if gain < minSpeedUpPercent && percent < 100 {
		return
	}
	p.core.setSpeed(a, percent, p.now)
	if a.speed == 100 {
		a.endOvercommit()
	}
	cand.update()
}

// restoreSpeeds sets the speeds that the fillers of earlier owners are to have on a worker,
// since those at which they run are not stored: overcommitSpeed beside services, which may
// be why a filler was slowed, and on other workers full speed as far as there is CPU.
func (w *worker) restoreSpeeds() {
	restored := slices.DeleteFunc(slices.Clone(w.list), func(a *attempt) bool { return !a.step().filler() || a.step().spec.GetGang() })
	slices.SortStableFunc(restored, func(a, b *attempt) int { return a.placedAt.Compare(b.placedAt) })
	use := int64(0)
	for _, a := range restored {
		s := a.step()
		a.speedUnknown = true
		use += s.size.CPUMilli
		if w.services > 0 || float64(use) > fillerMaxUse*float64(w.entry.Capacity.CPUMilli) {
			use -= s.size.CPUMilli * (100 - overcommitSpeed) / 100
			a.overcommitted, a.speed = true, overcommitSpeed
			s.overcommitted++
			w.overcommitted++
		}
	}
}

// endOvercommit makes an overcommitted attempt one like others.
func (a *attempt) endOvercommit() {
	if a.overcommitted {
		a.overcommitted = false
		a.step().overcommitted--
		a.worker.overcommitted--
	}
}
