// Package events records the timeline of one process: its events in the order of
// a hybrid logical clock, whose readings messages carry to other processes.
package events

import (
	"sync"
	"time"
)

// logicalBits is the number of low bits of a clock reading that hold its logical
// counter, which orders the readings within one millisecond.
const logicalBits = 16

// Clock is a hybrid logical clock: milliseconds since 1970 shifted left by
// logicalBits, plus a counter. Its readings never repeat or go back.
type Clock struct {
	mu   sync.Mutex
	last int64
	now  func() time.Time
}

// NewClock returns a clock that reads physical time from now.
func NewClock(now func() time.Time) *Clock { return &Clock{now: now} }

// Now returns a reading for a local event or a message to send.
func (c *Clock) Now() int64 { return c.Observe(0) }

// Observe returns a reading that is larger than a received one.
func (c *Clock) Observe(received int64) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	physical := c.now().UnixMilli() << logicalBits
	c.last = max(c.last+1, received+1, physical)
	return c.last
}

// Event is one entry of a timeline.
type Event struct {
	HLC      int64  `json:"hlc"`
	Time     string `json:"time"`
	Instance string `json:"instance"`
	Kind     string `json:"kind"`
	// ID is the request, job or publish id.
	ID     string `json:"id,omitempty"`
	Worker string `json:"worker,omitempty"`
	Target string `json:"target,omitempty"`
	Team   string `json:"team,omitempty"`
	Peer   string `json:"peer,omitempty"`
	Detail string `json:"detail,omitempty"`
}

// Recorder keeps the newest events of one process.
type Recorder struct {
	clock    *Clock
	instance string

	mu      sync.Mutex
	ring    []Event
	next    int
	wrapped bool
}

// NewRecorder returns a recorder that keeps capacity events.
func NewRecorder(instance string, capacity int, clock *Clock) *Recorder {
	return &Recorder{clock: clock, instance: instance, ring: make([]Event, max(capacity, 1))}
}

// Clock returns the recorder's clock.
func (r *Recorder) Clock() *Clock { return r.clock }

// Add records an event after setting its HLC, Time and Instance.
func (r *Recorder) Add(e Event) {
	e.HLC = r.clock.Now()
	e.Time = time.UnixMilli(e.HLC >> logicalBits).UTC().Format("2006-01-02T15:04:05.000Z")
	e.Instance = r.instance
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ring[r.next] = e
	r.next++
	if r.next == len(r.ring) {
		r.next, r.wrapped = 0, true
	}
}

// Events returns the events that are kept, oldest first.
func (r *Recorder) Events() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.wrapped {
		return append([]Event(nil), r.ring[:r.next]...)
	}
	return append(append([]Event(nil), r.ring[r.next:]...), r.ring[:r.next]...)
}
