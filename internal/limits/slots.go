// Package limits limits the work that the system accepts: requests in flight at
// targets, requests that wait for them, and retries.
package limits

import (
	"sync"
	"time"
)

// Slots limits the requests in flight at one target. Each request uses a slot
// and a connection, so the smaller of both limits applies. It is safe for
// concurrent use.
type Slots struct {
	mu       sync.Mutex
	limit    int
	inFlight int
	reserved []reservation
	// abandoned has, for each request that was abandoned without an answer, the time
	// until which it counts as in flight.
	abandoned []time.Time
}

// reservation is a number of slots that an earlier owner of the target may still
// be using.
type reservation struct {
	count int
	until time.Time
}

// NewSlots returns the slots of a target with the given limits.
func NewSlots(slots, connections int) *Slots {
	s := &Slots{}
	s.SetLimits(slots, connections)
	return s
}

// SetLimits changes the limits. Requests in flight are not affected.
func (s *Slots) SetLimits(slots, connections int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = min(slots, connections)
}

// TryAcquire acquires a slot and reports whether one was free.
func (s *Slots) TryAcquire(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inFlight+s.reservedAt(now) >= s.limit {
		return false
	}
	s.inFlight++
	return true
}

// Release returns a slot.
func (s *Slots) Release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
}

// ReleaseAt returns the slot of an abandoned request, but counts it as in use
// until a time, since the target may still be working on the request.
func (s *Slots) ReleaseAt(until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	s.abandoned = append(s.abandoned, until)
}

// ReserveAll counts all slots as in use until a time. It replaces earlier
// reservations.
func (s *Slots) ReserveAll(until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reserved = []reservation{{count: s.limit, until: until}}
}

// Reserve counts a number of slots as in use until a time. It replaces earlier
// reservations. A count of zero or less only removes them.
func (s *Slots) Reserve(count int, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reserved = nil
	if count > 0 {
		s.reserved = []reservation{{count: count, until: until}}
	}
}

// Outstanding returns the number of slots in use, including reserved slots and
// those of abandoned requests.
func (s *Slots) Outstanding(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inFlight + s.reservedAt(now)
}

// Limit returns the maximum number of requests in flight.
func (s *Slots) Limit() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limit
}

// InFlight returns the number of slots that this process has acquired and not
// released.
func (s *Slots) InFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inFlight
}

// ReservedUntil returns the time at which the last reservation ends, or the zero
// time if none applies now.
func (s *Slots) ReservedUntil(now time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	var last time.Time
	for _, r := range s.reserved {
		if now.Before(r.until) && r.until.After(last) {
			last = r.until
		}
	}
	return last
}

// reservedAt drops expired reservations and returns the number of slots that are
// reserved or in use by abandoned requests.
func (s *Slots) reservedAt(now time.Time) int {
	total := s.abandonedAt(now)
	if len(s.reserved) == 0 {
		return total
	}
	kept := s.reserved[:0]
	for _, r := range s.reserved {
		if now.Before(r.until) {
			kept = append(kept, r)
			total += r.count
		}
	}
	s.reserved = kept
	return total
}

// abandonedAt returns the number of slots in use by abandoned requests.
func (s *Slots) abandonedAt(now time.Time) int {
	kept := s.abandoned[:0]
	for _, until := range s.abandoned {
		if now.Before(until) {
			kept = append(kept, until)
		}
	}
	s.abandoned = kept
	return len(kept)
}
