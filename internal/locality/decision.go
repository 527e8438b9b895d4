package locality

import (
	"math"
	"time"
)

// LateWorth is the part of a job's value that is left after its objective, up to
// LateFactor times the objective.
const (
	LateWorth  = 0.15
	LateFactor = 3
)

const (
	// soonerWorth is the value of a completion that is earlier by the job's objective.
	// It decides between choices of equal worth.
	soonerWorth = 0.1
	// minSpread is the least uncertainty of a completion: the waits between steps are in
	// no estimate.
	minSpread = 0.15
	// freeDemand is the demand for a rack, relative to its room, up to which a wait
	// delays no one else for long. demandPrice is how much longer a wait counts for each
	// unit of demand above that: whoever waits is in the way of all that come after it.
	freeDemand  = 0.7
	demandPrice = 3.0
	// minAdvantage is how much better a wait must be: expectations that favour it are
	// more often wrong than those that don't.
	minAdvantage = 0.03
	// contentionPrice is the worth of the work that extra core-seconds displace under
	// full contention, relative to that of the job itself: some of that work would be
	// late anyway.
	contentionPrice = 0.6
)

// Question is a task, or a gang, that can start elsewhere now or near later.
type Question struct {
	// Duration is what is left to run near, after a checkpoint the rest. Elsewhere it
	// takes Factor times as long.
	Duration time.Duration
	Factor   float64
	// Spread is the standard deviation of the logarithm of Duration.
	Spread float64
	// Wait is the expected time until there is room near, corrected by Accuracy.
	Wait time.Duration
	// WaitSpread is the standard deviation of the logarithm of Wait.
	WaitSpread float64
	// Overdue is for how long there should have been room, as expected when the wait
	// began.
	Overdue time.Duration
	// Waited is how long it has waited although it could have started elsewhere.
	Waited time.Duration
	// Tail is the critical path of the job after this step, and Others the expected time
	// until the rest of the job completes whatever is decided here.
	Tail, Others time.Duration
	// Elapsed is the age of the job, Objective the time allowed for it.
	Elapsed, Objective time.Duration
	// Demand is the demand for the rack relative to its room.
	Demand float64
	// Contention is the part of the site's capacity that is not free while others wait
	// for it, from 0 to 1, and Share is the part of the job's work that the question
	// concerns: extra work displaces as much work of others.
	Contention, Share float64
}

// Answer is a decision with the two expectations that decided.
type Answer struct {
	Wait bool
	// Limit is how long the wait may last from now, counted only if Wait is set.
	Limit time.Duration
	// Near and Remote are the expected times until the task completes.
	Near, Remote time.Duration
	Reason       string
}

// Reasons of answers.
const (
	ReasonSooner = "near_is_better"
	ReasonRemote = "remote_is_better"
	ReasonBound  = "waited_long_enough"
	ReasonNoRoom = "no_room_expected"
)

// Decide compares waiting with starting elsewhere.
func Decide(q Question) Answer {
	a := Answer{
		Near: q.Wait + q.Duration, Remote: time.Duration(float64(q.Duration) * q.Factor),
		// Waiting for as long as the start elsewhere loses is at worst twice that loss.
		Limit: longestWait(q) - q.Waited,
	}
	if a.Limit <= 0 {
		a.Reason = ReasonBound
		return a
	}
	// What has been due for a while is not expected sooner than after as long again.
	wait := max(q.Wait, q.Overdue)
	price := 1 + demandPrice*max(q.Demand-freeDemand, 0)
	near := q.worth(wait, q.Duration) - q.delay(time.Duration(price*float64(wait))+q.Duration)
	remote := q.worth(0, a.Remote) - q.delay(a.Remote) - contentionPrice*q.Contention*(q.Factor-1)*q.Share
	a.Wait = near > remote+minAdvantage
	a.Reason = ReasonRemote
	if a.Wait {
		a.Reason = ReasonSooner
	}
	return a
}

// longestWait returns the longest wait in total: what the start elsewhere loses, and not longer than
// the job keeps any value.
func longestWait(q Question) time.Duration {
	loss := time.Duration(float64(q.Duration) * (q.Factor - 1))
	left := LateFactor*q.Objective - q.Elapsed
	if left <= 0 {
		return loss
	}
	return min(loss, left)
}

// Gain returns what a place near is worth now compared with one elsewhere.
func Gain(q Question) float64 {
	remote := time.Duration(float64(q.Duration) * q.Factor)
	return q.worth(0, q.Duration) - q.delay(q.Duration) - q.worth(0, remote) + q.delay(remote)
}

// rest returns the expected time until the job completes.
func (q Question) rest(after time.Duration) time.Duration {
	return max(after+q.Tail, q.Others, time.Millisecond)
}

// worth returns the expected value of the job if the task waits and then runs.
func (q Question) worth(wait, run time.Duration) float64 {
	rest := q.rest(wait + run)
	spread := math.Hypot(max(q.Spread, minSpread), q.WaitSpread*float64(wait)/float64(rest))
	onTime := within(q.Objective-q.Elapsed, rest, spread)
	late := within(LateFactor*q.Objective-q.Elapsed, rest, spread)
	return (1-LateWorth)*onTime + LateWorth*late
}

// delay returns the cost of a completion after a time.
func (q Question) delay(after time.Duration) float64 {
	if q.Objective <= 0 {
		return 0
	}
	return soonerWorth * float64(q.rest(after)) / float64(q.Objective)
}

// within returns the probability that something that is expected to take a time takes
// no longer than allowed.
func within(allowed, expected time.Duration, spread float64) float64 {
	if allowed <= 0 {
		return 0
	}
	return normal(math.Log(float64(allowed)/float64(expected)) / spread)
}
