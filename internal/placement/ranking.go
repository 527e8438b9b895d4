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
func (c *candidate) cost(s *State, job *Pending) float64 {
	total := 0.0
	for i, svc := range c.Services {
		add := s.excess(svc, job.Name)
		// The present slowdown counts as well, since latency grows faster than
		// linearly with the sum of the effects.
		total += add * (1 + c.slowdown[i])
	}
	result := total*interferenceScale*s.Weights.tailFactor() + c.utilizationAfter(job)
	if c.Probation {
		result += probationPenalty
	}
	return result
}

// tailFactor returns the weight of tail latency relative to that of throughput, or
// 1 if one of them is not set.
func (w Weights) tailFactor() float64 {
	if w.TailLatency <= 0 || w.Throughput <= 0 {
		return 1
	}
	return w.TailLatency / w.Throughput
}

// utilizationAfter returns the utilization of the worker's most used resource
// after the placement, plus 1 if the job would occupy a worker with accelerators
// that it does not need.
func (c *candidate) utilizationAfter(job *Pending) float64 {
	left := c.free.Sub(job.Needs)
	highest := utilization(left.CPUMilli, c.Capacity.CPUMilli)
	highest = max(highest, utilization(left.MemoryMiB, c.Capacity.MemoryMiB))
	if job.Needs.Accelerators == 0 && c.Capacity.Accelerators > 0 {
		highest++ // keeps accelerators free for jobs that need them
	}
	return highest
}

func utilization(left, capacity int64) float64 {
	if capacity <= 0 {
		return 0
	}
	return 1 - float64(left)/float64(capacity)
}

// best returns the worker with the lowest cost that accepts the job, or the first
// one with State.FirstFit. It returns nil if no worker accepts the job.
func best(s *State, candidates []*candidate, job *Pending) *candidate {
	var found *candidate
	lowest := 0.0
	for _, c := range candidates {
		if !c.accepts(s, job) {
			continue
		}
		if s.FirstFit {
			return c
		}
		if value := c.cost(s, job); found == nil || value < lowest {
			found, lowest = c, value
		}
	}
	return found
}
