// Package router selects a target or a peer for a request.
package router

import (
	"math"
	"sync"
	"time"
)

const (
	// latencyWeight is the weight of a new latency in the moving average.
	latencyWeight = 0.1
	// failureWeight is the weight of a new result in the moving failure rate.
	failureWeight = 0.3
	// failureHalfLife is the half-life of the failure rate, so that a candidate
	// that failed gets requests again.
	failureHalfLife = 5 * time.Second
	// failurePenalty is how strongly the failure rate raises the score: a
	// candidate that failed every recent request scores 1+failurePenalty times as
	// high.
	failurePenalty = 30
	// The bounds keep a candidate with few, fast answers from attracting all load.
	minLatencyWeight = 0.75
	maxLatencyWeight = 8
)

// Stats holds the recent results of one candidate, a target or a peer. It is safe
// for concurrent use.
type Stats struct {
	mu        sync.Mutex
	latency   float64   // moving average in seconds, 0 before the first observation
	failures  float64   // moving failure rate, 0 to 1
	updatedAt time.Time // of failures
}

// Record adds the result of a request. The latency of a failed one is ignored.
func (s *Stats) Record(now time.Time, latency time.Duration, failed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decay(now)
	if failed {
		s.failures += failureWeight * (1 - s.failures)
		return
	}
	s.failures -= failureWeight * s.failures
	seconds := latency.Seconds()
	if s.latency == 0 {
		s.latency = seconds
	}
	s.latency += latencyWeight * (seconds - s.latency)
}

// decay reduces the failure rate by the time since the last update. The caller must
// hold mu.
func (s *Stats) decay(now time.Time) {
	if s.failures > 0 && now.After(s.updatedAt) {
		s.failures *= math.Exp2(-float64(now.Sub(s.updatedAt)) / float64(failureHalfLife))
	}
	s.updatedAt = now
}

// Score ranks a candidate with a number of outstanding requests; lower is better. It
// is the outstanding work, weighted by the ratio of the candidate's latency to the
// mean of all candidates (zero for no mean), and raised by recent failures.
func (s *Stats) Score(now time.Time, outstanding int, mean time.Duration) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decay(now)
	weight := 1.0
	if s.latency > 0 && mean > 0 {
		weight = min(max(s.latency/mean.Seconds(), minLatencyWeight), maxLatencyWeight)
	}
	return float64(outstanding+1) * weight * (1 + failurePenalty*s.failures)
}

// Latency returns the moving average of the latency, zero before the first
// observation.
func (s *Stats) Latency() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.latency * float64(time.Second))
}

// TwoChoices implements the power of two choices: it returns the index of the better
// of two random candidates out of n, or -1 if n is zero.
func TwoChoices(n int, random func(n int) int, score func(i int) float64) int {
	switch n {
	case 0:
		return -1
	case 1:
		return 0
	}
	i := random(n)
	j := random(n - 1)
	if j >= i {
		j++
	}
	if score(j) < score(i) {
		return j
	}
	return i
}

// Acquire picks one of n candidates by TwoChoices and acquires it by calling try. If
// that fails, it tries the others in order from a random start. It returns the index
// of the acquired candidate, or -1 if there is none.
func Acquire(n int, random func(n int) int, score func(i int) float64, try func(i int) bool) int {
	first := TwoChoices(n, random, score)
	if first < 0 || try(first) {
		return first
	}
	start := random(n)
	for k := range n {
		i := (start + k) % n
		if i != first && try(i) {
			return i
		}
	}
	return -1
}
