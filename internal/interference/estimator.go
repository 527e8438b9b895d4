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
	// discountFactor is the fraction of its weight that an estimate keeps when some
	// of its observations turn out to have another cause.
	discountFactor = 0.25
	// maxExcess limits a single observation, so that one bad period can't dominate
	// an estimate.
	maxExcess = 4.0
)

// Level returns the load level, 0 to Levels-1, for a fraction of slots in use.
func Level(load float64) int {
	return min(max(int(load*Levels), 0), Levels-1)
}

type estimateKey struct {
	service string
	job     string
	level   int
}

// estimate is the estimated excess per task, with a weight that decays.
type estimate struct {
	excess    float64
	weight    float64 // in observations, as of updatedAt
	updatedAt time.Time
}

func (est *estimate) weightAt(now time.Time) float64 {
	if est == nil {
		return 0
	}
	return est.weight * math.Exp2(-float64(now.Sub(est.updatedAt))/float64(halfLife))
}

// Estimator holds the learned excess per service, batch job and load level.
type Estimator struct {
	estimates map[estimateKey]*estimate
	shared    map[estimateKey]*estimate // over all services, with an empty service
	now       time.Time
}

// NewEstimator returns an estimator without observations.
func NewEstimator() *Estimator {
	return &Estimator{estimates: make(map[estimateKey]*estimate), shared: make(map[estimateKey]*estimate)}
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
	est := e.estimates[estimateKey{service, job, level}]
	w := est.weightAt(e.now)
	if w == 0 {
		return prior
	}
	return (est.excess*w + prior*priorWeight) / (w + priorWeight)
}

// prior returns the estimate for a job over all services. Observations at other
// load levels count too, with a quarter of the weight per level of distance.
func (e *Estimator) prior(job string, level int) float64 {
	sum, weight := defaultExcess*defaultWeight, defaultWeight
	for l := range Levels {
		est := e.shared[estimateKey{"", job, l}]
		w := est.weightAt(e.now)
		if w == 0 {
			continue
		}
		w *= math.Exp2(-2 * math.Abs(float64(l-level)))
		sum += est.excess * w
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
		e.update(e.estimates, estimateKey{service, job, level}, value, share)
		e.update(e.shared, estimateKey{"", job, level}, value, share)
	}
}

func (e *Estimator) update(estimates map[estimateKey]*estimate, k estimateKey, value, weight float64) {
	est := estimates[k]
	if est == nil {
		est = &estimate{}
		estimates[k] = est
	}
	old := est.weightAt(e.now)
	est.excess = (est.excess*old + value*weight) / (old + weight)
	est.weight = min(old+weight, maxWeight)
	est.updatedAt = e.now
}

// Discount lowers the weight of the estimates of jobs, at all load levels, after
// some of their observations turned out to have another cause.
func (e *Estimator) Discount(service string, tasks TaskShares) {
	for job := range tasks {
		for level := range Levels {
			e.estimates[estimateKey{service, job, level}].discount()
			e.shared[estimateKey{"", job, level}].discount()
		}
	}
}

func (est *estimate) discount() {
	if est != nil {
		est.weight *= discountFactor
	}
}

// Size returns the number of estimates.
func (e *Estimator) Size() int { return len(e.estimates) + len(e.shared) }
