package scheduler

import "gooseberryreel/internal/headroom"

// jobWork is the expected work of a round, for the order of its steps.
type jobWork struct {
	perTask []float64 // CPU-milliseconds of each task of a step, by step
	total   float64
}

// work computes the work of a round.
func (r *round) work(fit *durationFit) jobWork {
	w := jobWork{perTask: make([]float64, len(r.steps))}
	for i, s := range r.steps {
		w.perTask[i] = fit.expect(s.spec.GetEstimateMs()).Seconds() * float64(s.size.CPUMilli)
		w.total += w.perTask[i] * float64(s.count())
	}
	return w
}

// ordersByCost reports whether a step is ordered by what a start earns for the CPU time
// that the job still needs. Long-running tasks have no end, and fillers use CPU time
// that is left. Gangs would starve behind small tasks that take their room one by one,
// so they go before those of their standing.
func (c *Core) ordersByCost(s *step) bool {
	return !c.disabled.ignoreCost && !c.disabled.earliestDueFirst && !s.longRunning() && !s.filler() && !s.spec.GetGang()
}

// setCost sets the rank of a step by what its job still costs. A job pays only when all
// of its steps are done, so that the work of one that has begun is wasted if it is not
// finished in time.
func (c *Core) setCost(r *rank, work *jobWork) {
	remaining := 0.0
	for i, s := range r.step.round.steps {
		remaining += float64(s.unfinished) * work.perTask[i]
		r.begun = r.begun || s.unfinished < s.count() || s.waiting < s.unfinished
	}
	r.cost = c.sizesOf(r.step.round.job.sub.GetQueue()).Cost(remaining, work.total)
}

// sizesOf returns the sizes of a queue's jobs.
func (c *Core) sizesOf(queue string) *headroom.Sizes {
	k := &c.contention
	if k.sizes == nil {
		k.sizes = make(map[string]*headroom.Sizes)
	}
	z := k.sizes[queue]
	if z == nil {
		z = &headroom.Sizes{}
		k.sizes[queue] = z
	}
	return z
}

// learnSize adds the size of a round to those of its queue when its first step is ready.
func (c *Core) learnSize(s *step, work *jobWork) {
	if s.index == 0 && s.schedule.at.IsZero() && c.ordersByCost(s) {
		c.sizesOf(s.round.job.sub.GetQueue()).Add(work.total)
	}
}
