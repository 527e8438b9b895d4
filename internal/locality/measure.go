package locality

import (
	"math"
	"time"
)

const (
	// accuracyPrior is the weight, in observed waits, of the assumption that
	// expectations are right, and accuracyMemory bounds the weight of the observed ones.
	accuracyPrior       = 10
	accuracyMemory      = 60
	accuracyPriorSpread = 0.8
	// accuracyFloor is added to both times of a ratio: below it, errors cost nothing.
	accuracyFloor = 30 * time.Millisecond
	// maxCorrection bounds the correction, as a logarithm.
	maxCorrection = 1.2
)

// Accuracy measures how far expected waits were off, and corrects later ones.
type Accuracy struct{ weight, bias, variance float64 }

// Observe adds a wait that ended near, or one that was given up after it had lasted
// longer than expected.
func (a *Accuracy) Observe(expected, waited time.Duration) {
	a.weight = min(a.weight+1, accuracyMemory)
	ratio := math.Log(float64(waited+accuracyFloor) / float64(expected+accuracyFloor))
	off := min(max(ratio, -2), 2) - a.bias
	a.bias += off / a.weight
	a.variance += (off*off*(1-1/a.weight) - a.variance) / a.weight
}

// Spread returns the standard deviation of the logarithm of a corrected expectation.
func (a *Accuracy) Spread() float64 {
	trust := a.weight / (a.weight + accuracyPrior)
	return math.Sqrt(trust*a.variance + (1-trust)*accuracyPriorSpread*accuracyPriorSpread)
}

// Correct returns an expected wait corrected by the earlier errors.
func (a *Accuracy) Correct(expected time.Duration) time.Duration {
	trust := a.weight / (a.weight + accuracyPrior)
	return time.Duration(float64(expected) * math.Exp(min(max(trust*a.bias, -maxCorrection), maxCorrection)))
}

// demandMemory is the time constant with which old demand is forgotten: a few bursts
// of seconds.
const demandMemory = 5 * time.Second

// Demand measures the work that arrives for a rack.
type Demand struct {
	sum   float64 // core-seconds, decayed
	since time.Duration
	age   time.Duration // since the first arrival
	any   bool
}

// Add adds core-seconds that arrive at a time.
func (d *Demand) Add(at time.Duration, coreSeconds float64) {
	d.decay(at)
	d.sum += coreSeconds
	d.any = true
}

// Cores returns the average number of cores that the arrived work keeps busy.
func (d *Demand) Cores(at time.Duration) float64 {
	if !d.any {
		return 0
	}
	d.decay(at)
	// Before a time constant has passed, the sum covers a shorter time. A second is
	// assumed at least, so that the first arrival is no overload.
	covered := demandMemory.Seconds() * (1 - math.Exp(-max(d.age.Seconds(), 1)/demandMemory.Seconds()))
	return d.sum / covered
}

func (d *Demand) decay(at time.Duration) {
	if d.any && at > d.since {
		d.sum *= math.Exp(-(at - d.since).Seconds() / demandMemory.Seconds())
		d.age += at - d.since
	}
	d.since = max(at, d.since)
}
