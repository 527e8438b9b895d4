// Package straggler decides whether an attempt that is far behind gets a copy: a second
// attempt at the same task on another worker. It knows nothing of the scheduler, does
// no I/O and reads no clock.
//
// An attempt is late because its task is long by nature, in which case a copy takes as
// long again, or because its worker is slow. The package weighs both: it computes the
// distribution of the attempt's duration from the expected duration, the age, the
// progress and the speed of the worker, and from it what the copy would gain.
package straggler

import (
	"math"
	"time"
)

const (
	// spread is the standard deviation of the logarithm of the durations of tasks of
	// one step.
	spread = 0.5
	// longShare is the share of tasks that take longFactor times as long by nature.
	longShare  = 0.03
	longFactor = 7
	// slowShare is the probability that a worker is slow of which nothing is known. It
	// equals longShare: without further evidence a late attempt is as likely to have a
	// slow worker as to be long.
	slowShare = 0.03
	// slowEvidence is the power by which an estimated speed changes the odds of a slow
	// worker. Estimates are shrunk to 1, so that half the speed is strong evidence.
	slowEvidence = 5
	// reportDelay is how long ago an attempt may have ended without the owner knowing.
	reportDelay = 100 * time.Millisecond
	// startDelay is the time from the decision to the start of the copy: a record and
	// a command.
	startDelay = 60 * time.Millisecond
	// objectiveSpread is the deviation of the logarithm of the true objective of a job
	// about the one that is derived from estimates.
	objectiveSpread = 0.4
	// lateFactor is the multiple of the objective up to which a result has lateValue.
	lateFactor = 3
	lateValue  = 0.15
	// minGain is the least expected gain, in values of a job, for which a copy is made.
	// A copy costs about a sixteenth of the core-seconds of a job, on capacity that
	// nothing else waits for.
	minGain = 0.03
	// minAge is the least age, in expected durations, of an attempt on a worker of
	// normal speed. Before it hardly any attempt is a straggler.
	minAge = 1.3
	// minSlowSpeed is the speed below which a worker counts as known to be slow.
	minSlowSpeed = 0.6
	// maxShare bounds the share of a pool's CPU capacity that copies use.
	maxShare = 0.02
	// points is the number of durations at which the distribution is evaluated.
	points = 24
)

// slowFactors are the slow-downs that are considered for a worker of unknown speed.
var slowFactors = [...]float64{5, 6.5, 8}

// Attempt is what is known of an attempt.
type Attempt struct {
	Age time.Duration // since its start
	// Progress is in percent, as of the newest report; ReportedAt is the age of the
	// attempt at that report, zero if there is none.
	Progress   int
	ReportedAt time.Duration
	Expected   time.Duration // median duration of such a task on a worker of normal speed
	Speed      float64       // of its worker, 1 if it is normal or not known
}

// Job is the state of the job to which the attempt belongs.
type Job struct {
	Elapsed   time.Duration // since the job arrived
	Rest      time.Duration // expected time from the end of the task to that of the job
	Objective time.Duration // time allowed for the job, counted from its arrival
}

// Pool is the state of the pool in which the copy would run.
type Pool struct {
	CPUMilli      int64 // capacity
	CopiesMilli   int64 // requested by the copies that run
	TaskMilli     int64 // requested by the task
	UrgentWaiting bool  // work of the same or a higher priority waits for capacity
}

// Admits reports whether a pool has capacity to spare for a copy. One copy at a time is
// admitted in any pool, also where a task is more than maxShare of it.
func (p Pool) Admits() bool {
	return !p.UrgentWaiting && (p.CopiesMilli == 0 || float64(p.CopiesMilli+p.TaskMilli) <= maxShare*float64(p.CPUMilli))
}

// Estimate is the expected outcome of a copy.
type Estimate struct {
	Slow float64 // probability that the worker is slow
	Win  float64 // probability that the copy ends first
	Gain float64 // expected gain, in values of the job
	// Left is the expected time until the attempt ends, Needs that until the copy does.
	Left, Needs time.Duration
}

// Worthwhile reports whether the expected gain is worth a copy.
func (e Estimate) Worthwhile() bool { return e.Gain >= minGain }

// Candidate reports whether an attempt can be a straggler at all. It is cheap, so that
// only few attempts need an estimate.
func (a Attempt) Candidate() bool {
	if a.Expected <= 0 {
		return false
	}
	if a.Speed < minSlowSpeed && a.Age >= a.Expected/4 {
		return true
	}
	shortest, longest := a.bounds()
	return float64(a.Age) >= minAge*float64(a.Expected) || float64(shortest) >= 2*float64(a.Expected) && longest > a.Age
}

// bounds returns the bounds of the attempt's duration that follow from its age and
// progress. A longest duration of zero means that there is no upper bound.
func (a Attempt) bounds() (shortest, longest time.Duration) {
	shortest = max(a.Age-reportDelay, time.Millisecond)
	if a.ReportedAt <= 0 {
		return shortest, 0
	}
	reported := float64(a.ReportedAt) * 100
	from := time.Duration(reported / float64(a.Progress+1))
	if a.Progress > 0 {
		longest = time.Duration(reported / float64(a.Progress))
	}
	if longest > 0 && longest <= shortest {
		// It should have ended: the worker has become slow since the report.
		return shortest, 0
	}
	return max(shortest, from), longest
}

// Expect returns the expected outcome of a copy that starts now on a worker of normal
// speed.
func Expect(a Attempt, j Job) Estimate {
	expected := float64(a.Expected)
	shortest, longest := a.bounds()
	low := math.Log(float64(shortest) / expected)
	high := max(low, math.Log(longFactor*slowFactors[len(slowFactors)-1])) + 2*spread
	if longest > 0 {
		high = math.Log(float64(longest) / expected)
	}
	slow := slowPrior(a.Speed)
	factors := slowFactors[:]
	if a.Speed < minSlowSpeed {
		factors = []float64{1 / max(a.Speed, 0.05)}
	}
	var sum, slowSum, winSum, gainSum, leftSum, needsSum float64
	for n := range points {
		x := low + (high-low)*(float64(n)+0.5)/points
		took := math.Exp(x) * expected
		left := max(took-float64(a.Age), 0)
		add := func(weight, factor float64) {
			needs := float64(startDelay) + took/factor
			sum += weight
			leftSum += weight * left
			needsSum += weight * needs
			if factor > 1 {
				slowSum += weight
			}
			if needs < left {
				winSum += weight
				gainSum += weight * (j.value(needs) - j.value(left))
			}
		}
		add((1-slow)*density(x), 1)
		for _, f := range factors {
			add(slow/float64(len(factors))*density(x-math.Log(f)), f)
		}
	}
	if sum == 0 {
		return Estimate{}
	}
	return Estimate{
		Slow: slowSum / sum, Win: winSum / sum, Gain: gainSum / sum,
		Left: time.Duration(leftSum / sum), Needs: time.Duration(needsSum / sum),
	}
}

// slowPrior returns the probability that a worker of an estimated speed is slow.
func slowPrior(speed float64) float64 {
	odds := slowShare / (1 - slowShare) / math.Pow(max(speed, 0.05), slowEvidence)
	return odds / (1 + odds)
}

// density returns the density of the logarithm of a task's duration on a worker of
// normal speed, relative to the expected duration and up to a constant factor.
func density(x float64) float64 {
	bell := func(x float64) float64 { return math.Exp(-x * x / (2 * spread * spread)) }
	return (1-longShare)*bell(x) + longShare*bell(x-math.Log(longFactor))
}

// value returns the expected value of the job if the task ends after a time.
func (j Job) value(end float64) float64 {
	total := float64(j.Elapsed+j.Rest) + end
	within := func(limit float64) float64 {
		return 0.5 * math.Erfc(-math.Log(limit/total)/objectiveSpread/math.Sqrt2)
	}
	objective := float64(max(j.Objective, time.Millisecond))
	return (1-lateValue)*within(objective) + lateValue*within(lateFactor*objective)
}
