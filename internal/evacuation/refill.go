// Package evacuation decides how fast a failure domain that returns from an evacuation
// is filled again. It does no I/O and reads no clock.
package evacuation

import "time"

const (
	// firstRate is the share of the capacity of a domain for which tasks may be started
	// there in a second while most of its workers are cold or it has just returned. At
	// this rate a domain fills within 5 s, and few of the tasks that run 5 times as long
	// on cold workers are started before that is known.
	firstRate = 0.2
	// lastRate is the rate at the end of the ramp, at which it no longer matters.
	lastRate = 1.0
	// rampTime is how long the rate grows once the workers are warm.
	rampTime = 4 * time.Second
	// maxTime bounds a refill, since workers may say for long that they are cold.
	maxTime = 30 * time.Second
	// savedTime is the time for which an unused allowance is kept, and owedTime bounds
	// the time for which nothing starts after a start of more than was allowed.
	savedTime = 250 * time.Millisecond
	owedTime  = time.Second
)

// Refill is the state of a failure domain that returns. The amounts are in any unit in
// which tasks and capacity are measured.
type Refill struct {
	begun, advanced time.Time
	warm            time.Duration // time since most of the workers are warm
	allowed         float64       // may be started now; negative after a larger start
}

// NewRefill returns the refill of a domain that returned at a time.
func NewRefill(now time.Time) *Refill { return &Refill{begun: now, advanced: now} }

// Advance applies the time that has passed. Cold tells whether most workers of the
// domain are cold. It reports whether the refill is over.
func (r *Refill) Advance(now time.Time, capacity float64, cold bool) bool {
	passed := now.Sub(r.advanced)
	r.advanced = now
	if !cold {
		r.warm += passed
	}
	ramp := float64(r.warm) / float64(rampTime)
	rate := capacity * (firstRate + (lastRate-firstRate)*min(ramp, 1))
	r.allowed += rate * passed.Seconds()
	r.allowed = max(min(r.allowed, rate*savedTime.Seconds()), -rate*owedTime.Seconds())
	return r.warm >= rampTime || now.Sub(r.begun) >= maxTime
}

// Allows reports whether a task may be started in the domain now. One that is larger
// than the allowance may be, so that each task fits at some time, and is owed.
func (r *Refill) Allows() bool { return r.allowed > 0 }

// Started counts a start.
func (r *Refill) Started(size float64) { r.allowed -= size }
