package scheduler

import (
	"cmp"
	"slices"
)

// maxReserved bounds the share of a pool's workers that are reserved for starving
// tasks.
const maxReserved = 0.1

// reservable are the workers that could run a starving task of a step once their short
// tasks have ended, those with the most free capacity first.
type reservable struct {
	candidates []*candidate
	limit      float64 // of the workers reserved in the pass
}

func (p *pass) newReservable(t *task, candidates []*candidate, q *Queue) *reservable {
	r := &reservable{limit: maxReserved * float64(len(candidates))}
	if float64(p.reserved) >= r.limit {
		return r
	}
	p.core.passCounts.Looks += int64(len(candidates))
	for _, cand := range candidates {
		if !cand.reserved && t.step.size.FitsIn(cand.afterShort) && cand.feasible(t, q, p.now) {
			r.candidates = append(r.candidates, cand)
		}
	}
	slices.SortStableFunc(r.candidates, func(a, b *candidate) int { return cmp.Compare(freeShare(b), freeShare(a)) })
	return r
}

// reserve reserves a worker for one more starving task. Apart from fillers and gangs,
// nothing is placed there in the rest of the pass.
func (p *pass) reserve(r *reservable) {
	if float64(p.reserved) >= r.limit || len(r.candidates) == 0 {
		return
	}
	r.candidates[0].reserved = true
	r.candidates = r.candidates[1:]
	p.reserved++
}
