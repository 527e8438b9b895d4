package scheduler

import "container/heap"

// best returns the worker with the lowest cost that can start a task, nil if there
// is none.
func (p *pass) best(t *task, candidates []*candidate, q *Queue) *candidate {
	p.core.passCounts.Searches++
	p.core.passCounts.Costed += int64(len(candidates))
	var found *candidate
	lowest := 0.0
	for _, cand := range candidates {
		if cost, ok := p.costIfFits(t, cand, q); ok && (found == nil || cost < lowest) {
			found, lowest = cand, cost
		}
	}
	return found
}

// costIfFits returns the cost of a worker for a task, and false if it can't start
// the task.
func (p *pass) costIfFits(t *task, cand *candidate, q *Queue) (float64, bool) {
	if cand.heldFor != nil && cand.heldForOther(t.step, p.core.expectedHere(t.step, cand.worker)) || !p.admits(cand, t) || !cand.fits(t, q, p.now) {
		return 0, false
	}
	return p.cost(t, cand)
}

// ranking orders the workers that can start the tasks of one step by their costs.
// The tasks of a step differ only in the worker that they avoid and in whether they
// are suspects, so a placement changes the cost of one worker, and a step of many
// tasks needs no scan of all workers for each of them.
type ranking struct {
	pass       *pass
	candidates []*candidate
	queue      *Queue
	task       *task             // stands for the tasks that avoid no worker and are no suspects
	entries    []rankedCandidate // a heap
	starved    bool              // of the step when the costs were computed
}

// rankedCandidate is a worker with its cost for the step. Workers of equal cost keep
// the order of the candidates.
type rankedCandidate struct {
	*candidate
	cost  float64
	order int
}

func (p *pass) newRanking(s *step, candidates []*candidate, q *Queue) *ranking {
	r := &ranking{pass: p, candidates: candidates, queue: q, task: &task{step: s}}
	r.compute()
	return r
}

// compute computes the costs of all candidates.
func (r *ranking) compute() {
	r.pass.core.passCounts.Scans++
	r.pass.core.passCounts.Costed += int64(len(r.candidates))
	r.starved = r.task.step.starved(r.pass.now)
	r.entries = r.entries[:0]
	for n, cand := range r.candidates {
		cand.position = -1
		if cost, ok := r.pass.costIfFits(r.task, cand, r.queue); ok {
			cand.position = len(r.entries)
			r.entries = append(r.entries, rankedCandidate{cand, cost, n})
		}
	}
	heap.Init(r)
}

// bestFor returns the worker with the lowest cost for a task of the step, nil if
// there is none.
func (r *ranking) bestFor(t *task) *candidate {
	switch {
	case len(r.entries) == 0 && !t.suspect():
		return nil
	case t.avoid != "" || t.suspect():
		return r.pass.best(t, r.candidates, r.queue)
	default:
		return r.entries[0].candidate
	}
}

// update recomputes the cost of a worker after a placement there. If the step was
// starved, it no longer is, which changes the costs of all workers.
func (r *ranking) update(cand *candidate) {
	n := cand.position
	switch {
	case r.starved:
		r.compute()
		return
	case n < 0:
		return
	}
	cost, ok := r.pass.costIfFits(r.task, cand, r.queue)
	if !ok {
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
	last.position = -1
	return last
}
