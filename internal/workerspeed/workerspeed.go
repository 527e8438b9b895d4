// Package workerspeed estimates how fast each worker of a pool runs its tasks.
//
// A reading is the rate of one task over some time: its progress in that time,
// multiplied by its expected duration and divided by the time. The rate depends on the
// worker and on the task, whose own duration differs from the expected one. One slow
// task therefore says little about its worker, two on the same worker say more, and a
// change in the rate of a running task is almost certainly due to its worker. The
// belief about a worker is a probability for each of a few speeds. For each of these
// speeds, the belief about a task is how fast it is by itself, learned from its
// earlier readings. The two are updated together, with each pair of a speed before a reading
// and one after it as a hypothesis (a generalized pseudo-Bayesian filter of second
// order).
//
// The package does no I/O and reads no clock.
package workerspeed

import (
	"math"
	"time"
)

// levels are the logarithms of the speeds that a worker may have: as usual, 3 and 5
// times slow. The last is that of the disturbances that the deployments see. A level
// nearer to the usual one is hard to tell from the noise in durations.
var levels = [levelCount]float64{0, -1.1, -1.61}

const (
	levelCount = 3

	// slowRate is how often, per second, a worker of normal speed is assumed to turn
	// slow, and recoverRate how often a slow one recovers. Together they are the
	// prior: 1.3 % of all workers are slow, for 4 s at a time.
	slowRate    = 0.0033
	recoverRate = 0.25
	// changeRate is how often a slow worker changes to another slow level.
	changeRate = 0.1
	// coldRecoverRate replaces recoverRate while a worker says that it is cold.
	coldRecoverRate = 0.03
	// coldPrior is the probability that a worker is slow when it says so. Readings
	// correct it, since workers may report falsely.
	coldPrior = 0.9
	// coldMemory is how much of the belief is kept when the stated time is over.
	coldMemory = 0.2

	// outlierShare is the probability of a reading that says nothing about its worker:
	// 3 % of the tasks of one deployment take 7 times as long, and any task may wait
	// for something else. outlierDensity is the density of such readings.
	outlierShare = 0.05
	// changeOutliers replaces outlierShare after the first reading of a task: a slow task
	// is slow throughout, and its rate rarely changes by itself.
	changeOutliers = 0.005
	outlierDensity = 0.2

	// minProbability bounds the certainty of a belief. Steady readings of one task are
	// not independent of each other, and the mixing of levels makes them seem so.
	minProbability = 0.005

	// flagProbability is the probability from which a worker counts as slow.
	flagProbability = 0.6
)

// Worker is the belief about one worker. The zero value is a worker about which
// nothing is known.
type Worker struct {
	known       bool
	probability [levelCount]float64
	cold        bool
}

// Task is the belief about one attempt: by how much it is faster than expected by
// itself, as a logarithm, if its worker has a certain speed. The zero value is an
// attempt without readings.
type Task struct {
	begun          bool
	mean, variance [levelCount]float64
}

// Reading is the rate of a task since its previous reading or its start.
type Reading struct {
	Task *Task
	// Rate is the logarithm of the rate.
	Rate float64
	// Variance is that of the errors in Rate.
	Variance float64
	// Usual is how the rates of the task's queue are distributed.
	Usual Usual
}

// Rate returns the logarithm of the rate of a task that made progress, in percent, in
// a time, and the variance that the rounding of the progress causes.
func Rate(percent int, expected, took time.Duration) (rate, variance float64) {
	// Progress is rounded at both ends, with a standard deviation of 0.41 percent
	// together. No progress is a rate below that of half a percent.
	p := max(float64(percent), 0.5)
	rounding := 0.41 / p
	return math.Log(p / 100 * float64(expected) / float64(took)), timing*timing + rounding*rounding
}

// timing is the standard deviation that delays between a worker's progress and its
// report cause in the logarithm of a rate.
const timing = 0.12

// Reset forgets what is known of a worker. A worker that says that it is cold is
// expected to be slow.
func (w *Worker) Reset(cold bool) {
	slow := slowRate / (slowRate + recoverRate)
	if cold {
		slow = coldPrior
	}
	*w = Worker{known: true, cold: cold}
	w.probability[0] = 1 - slow
	for k := 1; k < levelCount; k++ {
		w.probability[k] = slow / (levelCount - 1)
	}
}

// Update applies the time since the last update and the readings at its end. It is
// called even if there are none: what is known becomes old.
func (w *Worker) Update(elapsed time.Duration, cold bool, readings []Reading) {
	switch {
	case !w.known, cold && !w.cold:
		w.Reset(cold)
	case w.cold && !cold:
		kept := w.probability
		w.Reset(false)
		for k := range w.probability {
			w.probability[k] = (1-coldMemory)*w.probability[k] + coldMemory*kept[k]
		}
	}
	// Each pair of levels, before and now, is a hypothesis.
	var joint pairs
	for j := range levelCount {
		for k := range levelCount {
			joint[j][k] = math.Log(w.probability[j] * w.transition(j, k, elapsed.Seconds()))
		}
	}
	beliefs := make([]taskBeliefs, len(readings))
	for i, r := range readings {
		beliefs[i] = r.Task.observe(r, &joint)
	}
	w.resolve(&joint)
	for i, r := range readings {
		r.Task.merge(&beliefs[i], &joint)
	}
}

// pairs holds a value for each pair of a level before the readings and one after them.
type pairs [levelCount][levelCount]float64

// taskBeliefs are the beliefs about a task for each pair of levels.
type taskBeliefs struct{ mean, variance pairs }

// resolve turns the logarithms of the weights of the hypotheses into probabilities, and
// updates the belief about the worker.
func (w *Worker) resolve(joint *pairs) {
	best := math.Inf(-1)
	for _, row := range joint {
		for _, log := range row {
			best = max(best, log)
		}
	}
	sum := 0.0
	w.probability = [levelCount]float64{}
	for j := range joint {
		for k := range joint[j] {
			joint[j][k] = math.Exp(joint[j][k] - best)
			w.probability[k] += joint[j][k]
			sum += joint[j][k]
		}
	}
	for k := range w.probability {
		w.probability[k] = max(w.probability[k]/sum, minProbability)
	}
}

// transition returns the probability that a worker at level j is at level k after some
// seconds.
func (w *Worker) transition(j, k int, seconds float64) float64 {
	recovers := recoverRate
	if w.cold {
		recovers = coldRecoverRate
	}
	rate := func(k int) float64 {
		switch {
		case j == 0:
			return slowRate / (levelCount - 1)
		case k == 0:
			return recovers
		default:
			return changeRate
		}
	}
	leaves := 0.0
	for other := range levelCount {
		if other != j {
			leaves += rate(other)
		}
	}
	stays := math.Exp(-leaves * seconds)
	if j == k {
		return stays
	}
	return (1 - stays) * rate(k) / leaves
}

// observe adds the logarithm of the likelihood of a reading to each hypothesis. It
// returns what the reading says of the task if the hypothesis is true.
func (t *Task) observe(r Reading, joint *pairs) (b taskBeliefs) {
	outliers := changeOutliers
	if !t.begun {
		t.begun, outliers = true, outlierShare
		for k := range t.mean {
			t.mean[k], t.variance[k] = r.Usual.Mean(), r.Usual.Variance()
		}
	}
	odd := outliers * outlierDensity
	for j := range levelCount {
		spread := t.variance[j] + r.Variance
		gain := t.variance[j] / spread
		for k := range levelCount {
			own := r.Rate - levels[k] // what the task is by itself at this level
			gap := own - t.mean[j]
			usual := (1 - outliers) * math.Exp(-gap*gap/(2*spread)) / math.Sqrt(2*math.Pi*spread)
			joint[j][k] += math.Log(usual + odd)
			// The task is as expected, or it is an outlier, of which only this reading is
			// known: the belief has the mean and the variance of both together.
			share := usual / (usual + odd)
			mean := t.mean[j] + gain*gap
			both := share*mean + (1-share)*own
			b.mean[j][k] = both
			b.variance[j][k] = share*((1-gain)*t.variance[j]+(mean-both)*(mean-both)) + (1-share)*(r.Variance+(own-both)*(own-both))
		}
	}
	return b
}

// merge keeps, for each level, the mean and the variance of the beliefs about a task
// over the levels from which its worker may have come.
func (t *Task) merge(b *taskBeliefs, weight *pairs) {
	for k := range levelCount {
		total, mean, square := 0.0, 0.0, 0.0
		for j := range levelCount {
			total += weight[j][k]
			mean += weight[j][k] * b.mean[j][k]
		}
		if total == 0 {
			continue // ruled out by the readings
		}
		mean /= total
		for j := range levelCount {
			d := b.mean[j][k] - mean
			square += weight[j][k] * (b.variance[j][k] + d*d)
		}
		t.mean[k], t.variance[k] = mean, square/total
	}
}

// Slow returns the probability that the worker is slow.
func (w *Worker) Slow() float64 {
	if !w.known {
		return 0
	}
	return 1 - w.probability[0]
}

// Speed returns the speed of the worker, 1 unless it is probably slow.
func (w *Worker) Speed() float64 {
	if w.Slow() < flagProbability {
		return 1
	}
	log := 0.0
	for k, p := range w.probability {
		log += p * levels[k]
	}
	return math.Exp(log)
}
