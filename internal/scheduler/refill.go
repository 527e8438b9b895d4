package scheduler

import (
	"maps"
	"slices"
	"time"

	"gooseberryreel/internal/evacuation"
)

// domainState sums up the workers of a failure domain.
type domainState struct {
	capacity int64
	workers  int // that are not leaving
	cold     int
}

// mostlyCold reports whether at least half of the workers are cold.
func (s *domainState) mostlyCold() bool { return s.workers > 0 && 2*s.cold >= s.workers }

// domainStates returns the states of all failure domains with workers.
func (c *Core) domainStates(now time.Time) map[string]*domainState {
	states := make(map[string]*domainState)
	for _, w := range c.workerList {
		if !w.listed || w.entry.Draining {
			continue
		}
		s := states[w.entry.Zone]
		if s == nil {
			s = &domainState{}
			states[w.entry.Zone] = s
		}
		s.workers++
		s.capacity += w.entry.Capacity.CPUMilli
		if c.cold(w, now) {
			s.cold++
		}
	}
	return states
}

// advanceRefills lets the failure domains that return receive more tasks. A domain most
// of whose workers have come back cold counts as one that returns: a new owner does not
// know of the evacuation.
func (c *Core) advanceRefills(now time.Time) {
	if len(c.refills) == 0 && !c.coldChanged {
		return
	}
	states := c.domainStates(now)
	if c.coldChanged {
		c.coldChanged = false
		for d, s := range states {
			if s.mostlyCold() && c.refills[d] == nil && c.evacuations[d] == nil {
				c.refills[d] = evacuation.NewRefill(now)
			}
		}
	}
	for _, d := range slices.Sorted(maps.Keys(c.refills)) {
		s := states[d]
		if s == nil {
			s = &domainState{}
		}
		if c.refills[d].Advance(now, float64(s.capacity), s.mostlyCold()) {
			delete(c.refills, d)
			c.addLogEntry("domain refilled", "", "domain", d, "workers", s.workers, "cold", s.cold)
		}
	}
	c.refillsBind = slices.ContainsFunc(slices.Collect(maps.Keys(states)), func(d string) bool { return c.refills[d] == nil && c.evacuations[d] == nil })
}

// refillAllows reports whether a task may be started on a worker now as far as the
// refill of its failure domain is concerned. If all domains return at once, none of
// them is better than the others, and no start is withheld.
func (c *Core) refillAllows(w *worker) bool {
	if len(c.refills) == 0 || !c.refillsBind || c.disabled.refillAtOnce {
		return true
	}
	r := c.refills[w.entry.Zone]
	return r == nil || r.Allows()
}

// countRefill counts a start against what its failure domain may receive.
func (c *Core) countRefill(w *worker, s *step) {
	if r := c.refills[w.entry.Zone]; r != nil {
		r.Started(float64(s.size.CPUMilli))
	}
}
