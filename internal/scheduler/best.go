package scheduler

import "container/heap"

// best returns the worker with the lowest cost that can start a task, nil if there
// is none.
func (p *pass) best(t *task, candidates []*candidate, q *Queue) *candidate {
	p.core.passCounts.Searches++
	p.core.passCounts.Costed += int64(len(candidates))
	p.core.passCounts.Looks += int64(len(candidates))
	p.prepare(t.step)
	var found *candidate
	lowest := 0.0
	for _, cand := range candidates {
		if cost, why := p.costIfFits(t, cand, q); why == accepted && (found == nil || cost < lowest) {
			found, lowest = cand, cost
		}
	}
	return found
}

// costIfFits returns the cost of a worker for a task, or why it can't start the task.
func (p *pass) costIfFits(t *task, cand *candidate, q *Queue) (float64, refusal) {
	if why := cand.refuses(t, q, p.now); why != accepted {
		return 0, why
	}
	why := accepted
	switch {
	case cand.reserved && !t.step.filler(), cand.heldFor != nil && cand.heldForOther(t.step, p.core.expectedHere(t.step, cand.worker)):
		why = refusedReserved
	case !p.admits(cand, t):
		why = refusedGuarded
	default:
		return p.cost(t, cand)
	}
	// It may fit in the next pass although nothing changes on the worker.
	cand.changedIn = p.number + 1
	return 0, why
}

// ranking orders the workers that can start the tasks of one step by their costs.
// The tasks of a step differ only in the worker that they avoid and in whether they
// are suspects, so a placement changes the cost of one worker, and a step of many
// tasks needs no scan of all workers for each of them.
//
// A step that waits for room is ranked in many passes. Once no worker had room in a
// pass, later passes look only at the workers on which something has changed since.
type ranking struct {
	pass       *pass
	candidates []*candidate
	queue      *Queue
	task       *task             // stands for the tasks that avoid no worker and are no suspects
	entries    []rankedCandidate // a heap
	computed   bool
	starved    bool // of the step when the costs were computed
}

// rankedCandidate is a worker with its cost for the step. Workers of equal cost keep
// the order of the candidates.
type rankedCandidate struct {
	*candidate
	cost  float64
	order int32
}

func (p *pass) newRanking(s *step, candidates []*candidate, q *Queue) *ranking {
	return &ranking{pass: p, candidates: candidates, queue: q, task: &task{step: s}, entries: p.core.memory.entries}
}

// compute computes the costs of the candidates that may have room.
func (r *ranking) compute() {
	p, s := r.pass, r.task.step
	p.prepare(s)
	r.computed, r.starved = true, p.costs.starved
	r.entries = r.entries[:0]
	since := p.noRoomSince(s, r.starved)
	roomy := p.roomSince(roomKey{r.queue.Pool, since, s.filler()}, r.candidates)
	if !s.size.FitsIn(roomy.most) {
		return
	}
	p.core.passCounts.Scans++
	for _, w := range roomy.workers {
		if w.cpuMilli < s.size.CPUMilli {
			break // the others have less
		}
		cand := r.candidates[w.index]
		p.core.passCounts.Looks++
		if !s.size.FitsIn(cand.freeFor(s.filler(), p.core.disabled.ignoreInterference)) {
			continue
		}
		p.core.passCounts.Costed++
		if cost, why := p.costIfFits(r.task, cand, r.queue); why == accepted {
			cand.position = len(r.entries)
			r.entries = append(r.entries, rankedCandidate{cand, cost, w.index})
		}
	}
	heap.Init(r)
}

// close gives the memory of the ranking back, and notes whether no worker has room for
// the step after this pass.
func (r *ranking) close() {
	r.pass.core.memory.entries = r.entries[:0]
	if s := r.task.step; r.computed && len(r.entries) == 0 && r.queue.Advice == nil && s.advice == nil {
		s.noRoom = noRoom{pass: r.pass.number, starved: r.starved, config: r.pass.core.config}
	}
}

// bestFor returns the worker with the lowest cost for a task of the step, nil if
// there is none.
func (r *ranking) bestFor(t *task) *candidate {
	if t.suspect() {
		return r.pass.best(t, r.candidates, r.queue)
	}
	if !r.computed {
		r.compute()
	}
	if len(r.entries) == 0 {
		return nil
	}
	first := 0
	if r.entries[0].worker.id == t.avoid {
		// The second lowest cost of a heap is that of one of the next two entries.
		for n := 1; n < min(len(r.entries), 3); n++ {
			if r.entries[n].cost < r.entries[0].cost+avoidCost && (first == 0 || r.Less(n, first)) {
				first = n
			}
		}
	}
	return r.entries[first].candidate
}

// update recomputes the cost of a worker after a placement there. If the step was
// starved, it no longer is, which changes the costs of all workers.
func (r *ranking) update(cand *candidate) {
	n := cand.position
	switch {
	case !r.computed:
		return
	case r.starved:
		r.compute()
		return
	case n >= len(r.entries) || r.entries[n].candidate != cand:
		return
	}
	cost, why := r.pass.costIfFits(r.task, cand, r.queue)
	if why != accepted {
		heap.Remove(r, n)
		return
	}
	r.entries[n].cost = cost
	heap.Fix(r, n)
}

// Len implements heap.Interface.
func (r *ranking) Len() int { return len(r.entries) }

// Less implements heap.Interface.
func (r *ranking) Less(i, j int) bool {
	a, b := &r.entries[i], &r.entries[j]
	return a.cost < b.cost || a.cost == b.cost && a.order < b.order
}

// Swap implements heap.Interface.
func (r *ranking) Swap(i, j int) {
	r.entries[i], r.entries[j] = r.entries[j], r.entries[i]
	r.entries[i].position, r.entries[j].position = i, j
}

// Push implements heap.Interface.
func (r *ranking) Push(x any) {
	e := x.(rankedCandidate)
	e.position = len(r.entries)
	r.entries = append(r.entries, e)
}

// Pop implements heap.Interface.
func (r *ranking) Pop() any {
	last := r.entries[len(r.entries)-1]
	r.entries = r.entries[:len(r.entries)-1]
	return last
}
