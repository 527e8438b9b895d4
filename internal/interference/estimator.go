// Package interference learns how much batch tasks slow down latency-critical
// services on the same worker, and decides when to throttle or evict batch tasks.
// It does no I/O and reads no clock.
//
// A slowdown is the latency of a service divided by its latency without batch
// tasks. The excess is the slowdown minus 1.
package interference

import (
	"math"
	"time"
)

const (
	// Levels is the number of load levels that have estimates of their own.
	Levels = 4
	// halfLife is the time in which an estimate loses half of its weight.
	halfLife = 2 * time.Hour
	// priorWeight is the weight, in observations, of the prior that a job has for
	// all services.
	priorWeight = 4.0
	// defaultExcess is the excess assumed of a job that was never observed. It is
	// below the strictest placement threshold, since a job that is never placed on
	// the worker of a service can't be observed.
	defaultExcess = 0.006
	// defaultWeight is the weight of defaultExcess, in observations.
	defaultWeight = 2.0
	// maxWeight limits the weight of an estimate so that it follows changes.
	maxWeight = 60.0
	// doubtFactor is the fraction of its weight that an estimate keeps when some
	// of its observations turn out to have another cause.
	doubtFactor = 0.25
	// maxExcess limits a single observation, so that one bad period can't dominate
	// an estimate.
	maxExcess = 4.0
)

// Level returns the load level, 0 to Levels-1, for a fraction of slots in use.
func Level(load float64) int {
	return min(max(int(load*Levels), 0), Levels-1)
}

type key struct {
	service string
	job     string
	level   int
}

// cell is an estimate of the excess per task, with a weight that decays.
type cell struct {
	excess float64
	weight float64 // in observations at the time at
	at     time.Time
}

func (c *cell) weightAt(now time.Time) float64 {
	if c == nil {
		return 0
	}
	return c.weight * math.Exp2(-float64(now.Sub(c.at))/float64(halfLife))
}

// Estimator holds the learned excess per service, batch job and load level.
type Estimator struct {
	cells  map[key]*cell
	shared map[key]*cell // over all services; key.service is empty
	now    time.Time
}

// NewEstimator returns an estimator without observations.
func NewEstimator() *Estimator {
	return &Estimator{cells: make(map[key]*cell), shared: make(map[key]*cell)}
}

// Advance sets the time for which estimates are read and updated.
func (e *Estimator) Advance(now time.Time) { e.now = now }

// Slowdown returns the estimated factor by which one task of a job increases the
// latency of a service at a load of 0 to 1. It is at least 1.
func (e *Estimator) Slowdown(service, job string, load float64) float64 {
	return 1 + max(e.excess(service, job, Level(load)), 0)
}

func (e *Estimator) excess(service, job string, level int) float64 {
	prior := e.prior(job, level)
	c := e.cells[key{service, job, level}]
	w := c.weightAt(e.now)
	if w == 0 {
		return prior
	}
	return (c.excess*w + prior*priorWeight) / (w + priorWeight)
}

// prior returns the estimate for a job over all services. Observations at other
// load levels count too, with a quarter of the weight per level of distance.
func (e *Estimator) prior(job string, level int) float64 {
	sum, weight := defaultExcess*defaultWeight, defaultWeight
	for l := range Levels {
		c := e.shared[key{"", job, l}]
		w := c.weightAt(e.now)
		if w == 0 {
			continue
		}
		w *= math.Exp2(-2 * math.Abs(float64(l-level)))
		sum += c.excess * w
		weight += w
	}
	return sum / weight
}

// TaskShares is the number of running tasks by batch job, each counted with the CPU
// share that throttling leaves it, 0 to 1.
type TaskShares map[string]float64

// Observe updates the estimates with one period in which the tasks on a worker
// did not change. The difference between the measured and the expected slowdown
// is divided among the jobs in proportion to their tasks.
func (e *Estimator) Observe(service string, load float64, tasks TaskShares, slowdown float64) {
	norm := 0.0
	for _, n := range tasks {
		norm += n * n
	}
	if norm == 0 {
		return
	}
	level := Level(load)
	expected := 0.0
	for job, n := range tasks {
		expected += n * e.excess(service, job, level)
	}
	// Slowdowns below 1 are kept: clipping this noise would bias the estimates
	// upwards.
	residual := min(slowdown-1, maxExcess) - expected
	for job, n := range tasks {
		value := e.excess(service, job, level) + residual*n/norm
		share := n * n / norm
		e.update(e.cells, key{service, job, level}, value, share)
		e.update(e.shared, key{"", job, level}, value, share)
	}
}

func (e *Estimator) update(cells map[key]*cell, k key, value, weight float64) {
	c := cells[k]
	if c == nil {
		c = &cell{}
		cells[k] = c
	}
	old := c.weightAt(e.now)
	c.excess = (c.excess*old + value*weight) / (old + weight)
	c.weight = min(old+weight, maxWeight)
	c.at = e.now
}

// Doubt lowers the weight of the estimates of jobs, at all load levels, after
// some of their observations turned out to have another cause.
func (e *Estimator) Doubt(service string, tasks TaskShares) {
	for job := range tasks {
		for level := range Levels {
			e.cells[key{service, job, level}].doubt()
			e.shared[key{"", job, level}].doubt()
		}
	}
}

func (c *cell) doubt() {
	if c != nil {
		c.weight *= doubtFactor
	}
}

// Size returns the number of estimates.
func (e *Estimator) Size() int { return len(e.cells) + len(e.shared) }
