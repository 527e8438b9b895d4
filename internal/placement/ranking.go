package placement

const (
	// interferenceScale gives an excess slowdown of 10 % the same cost as a fully
	// used worker.
	interferenceScale = 10
	// probationPenalty is large enough that workers on probation are chosen last.
	probationPenalty = 100
)

// cost returns the cost of placing a job on the worker; the worker with the
// lowest cost is chosen. It is the estimated interference, multiplied by the
// site's weight, plus the utilization of the worker.
func (sl *slot) cost(s *State, p *Pending) float64 {
	total := 0.0
	for i, svc := range sl.Services {
		add := s.excess(svc, p.Name)
		// The present slowdown counts as well, since latency grows faster than
		// linearly with the sum of the effects.
		total += add * (1 + sl.slowdown[i])
	}
	c := total*interferenceScale*s.Weights.tail() + sl.useAfter(p)
	if sl.Probation {
		c += probationPenalty
	}
	return c
}

// tail returns the weight of tail latency relative to throughput, 1 if unset.
func (w Weights) tail() float64 {
	if w.TailLatency <= 0 || w.Throughput <= 0 {
		return 1
	}
	return w.TailLatency / w.Throughput
}

// useAfter returns the utilization of the worker's most used resource after the
// placement.
func (sl *slot) useAfter(p *Pending) float64 {
	left := sl.free.Sub(p.Needs)
	use := shareUsed(left.CPUMilli, sl.Capacity.CPUMilli)
	use = max(use, shareUsed(left.MemoryMiB, sl.Capacity.MemoryMiB))
	if p.Needs.Accelerators == 0 && sl.Capacity.Accelerators > 0 {
		use++ // keeps workers with accelerators free for jobs that need them
	}
	return use
}

func shareUsed(left, capacity int64) float64 {
	if capacity <= 0 {
		return 0
	}
	return 1 - float64(left)/float64(capacity)
}

// best returns the worker with the lowest cost that accepts the job, or the first
// one with State.FirstFit. It returns nil if no worker accepts the job.
func best(s *State, slots []*slot, p *Pending) *slot {
	var found *slot
	lowest := 0.0
	for _, sl := range slots {
		if !sl.accepts(s, p) {
			continue
		}
		if s.FirstFit {
			return sl
		}
		if c := sl.cost(s, p); found == nil || c < lowest {
			found, lowest = sl, c
		}
	}
	return found
}
