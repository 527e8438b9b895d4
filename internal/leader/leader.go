// Package leader decides when an instance claims the ownership of the job state.
// It does no I/O and reads no clock. Ownership itself is proved by the epoch that
// the store has accepted. What this package knows is only a hint, so a wrong
// decision costs time but does not affect correctness.
package leader

import (
	"cmp"
	"slices"
	"time"
)

// Candidate is an instance that can own the job state.
type Candidate struct {
	Instance string
	// Address is the address at which other instances reach it.
	Address string
	// CPUMilli is the CPU share of its machine in thousandths of a core.
	CPUMilli int64
}

// Settings are the delays of an Elector.
type Settings struct {
	// UnownedDelay is how long no owner must have been listed before the first
	// candidate claims.
	UnownedDelay time.Duration
	// StaggerDelay is the further delay of each candidate behind the first.
	StaggerDelay time.Duration
	// SettleTime is how long the store must have answered without a failure: after
	// an outage the owner may be unlisted although it is alive.
	SettleTime time.Duration
	// UnlistedDelay is the further delay of an instance that is not in the list of
	// candidates itself: at the first start the list fills only gradually, and the
	// instance can't know its rank before it is complete.
	UnlistedDelay time.Duration
	// SmallMachineDelay is the further delay of an instance on a machine much
	// smaller than that of the last owner: the list of candidates may lack the
	// larger machines when the store has dropped members.
	SmallMachineDelay time.Duration
	// YieldDelay is how long a candidate on a much larger machine must have been
	// listed before the owner yields to it.
	YieldDelay time.Duration
}

// muchLargerFactor is the ratio of CPU shares from which a machine counts as
// much larger. A change of the owner stops new starts for about a second, so a
// small difference does not justify one.
const muchLargerFactor = 2

// Elector decides for one instance. It is not safe for concurrent use.
type Elector struct {
	self           Candidate
	settings       Settings
	unownedSince   time.Time // since when no owner is listed, zero while one is
	reachableSince time.Time // since when the store has answered without a failure, zero after one
	largerSince    time.Time // since when a much larger candidate is listed, zero while none is
	ownerCPUMilli  int64     // CPU share of the newest known owner's machine
}

// New returns an Elector that knows of no owner.
func New(self Candidate, s Settings) *Elector { return &Elector{self: self, settings: s} }

// LookupFailed records that the owner could not be looked up in the store.
func (e *Elector) LookupFailed() { e.unownedSince, e.reachableSince = time.Time{}, time.Time{} }

// LookupSucceeded records whether a lookup in the store found a listed owner.
func (e *Elector) LookupSucceeded(owner bool, now time.Time) {
	if e.reachableSince.IsZero() {
		e.reachableSince = now
	}
	switch {
	case owner:
		e.unownedSince = time.Time{}
	case e.unownedSince.IsZero():
		e.unownedSince = now
	}
}

// SetOwnerCPU records the CPU share of the newest known owner's machine in
// thousandths of a core.
func (e *Elector) SetOwnerCPU(cpuMilli int64) { e.ownerCPUMilli = cpuMilli }

// OwnerMissing reports whether the newest lookup succeeded and found no owner.
func (e *Elector) OwnerMissing() bool { return !e.unownedSince.IsZero() }

// ClaimDue reports whether the first candidate would claim now. Only then does the
// caller need the list of candidates.
func (e *Elector) ClaimDue(now time.Time) bool {
	return !e.unownedSince.IsZero() && now.Sub(e.unownedSince) >= e.settings.UnownedDelay && now.Sub(e.reachableSince) >= e.settings.SettleTime
}

// ShouldClaim reports whether this instance claims now, given the live
// candidates.
func (e *Elector) ShouldClaim(candidates []Candidate, now time.Time) bool {
	if !e.ClaimDue(now) {
		return false
	}
	wait := e.settings.UnownedDelay + time.Duration(Rank(candidates, e.self))*e.settings.StaggerDelay
	if !slices.Contains(candidates, e.self) {
		wait += e.settings.UnlistedDelay
	}
	if e.ownerCPUMilli >= muchLargerFactor*e.self.CPUMilli {
		wait += e.settings.SmallMachineDelay
	}
	return now.Sub(e.unownedSince) >= wait
}

// RestartWait restarts the delays after a claim that failed or an ownership that
// ended.
func (e *Elector) RestartWait(now time.Time) { e.unownedSince = now }

// ShouldYield reports whether this instance, as the owner, yields to a candidate on
// a much larger machine.
func (e *Elector) ShouldYield(candidates []Candidate, now time.Time) bool {
	if !slices.ContainsFunc(candidates, func(c Candidate) bool { return c.CPUMilli >= muchLargerFactor*e.self.CPUMilli }) {
		e.largerSince = time.Time{}
		return false
	}
	if e.largerSince.IsZero() {
		e.largerSince = now
	}
	return now.Sub(e.largerSince) >= e.settings.YieldDelay
}

// Rank returns how many candidates come before self: those on larger machines first,
// since the owner schedules all jobs.
func Rank(candidates []Candidate, self Candidate) int {
	before := func(a, b Candidate) bool {
		return cmp.Or(cmp.Compare(b.CPUMilli, a.CPUMilli), cmp.Compare(a.Instance, b.Instance)) < 0
	}
	rank := 0
	seen := []Candidate{self}
	for _, c := range candidates {
		if !slices.Contains(seen, c) && before(c, self) {
			rank++
		}
		seen = append(seen, c)
	}
	return rank
}
