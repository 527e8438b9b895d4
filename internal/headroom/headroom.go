// Package headroom estimates how much capacity to keep free for short work whose demand
// rises and falls within seconds. It does no I/O and reads no clock.
package headroom

import (
	"math"
	"time"
)

const (
	// Window is how long a demand is remembered. It is longer than the period of the
	// waves in which requests commonly arrive, so that the last peak is known when the
	// next one begins, and short enough to release the headroom soon after a burst.
	Window = 15 * time.Second
	// slotLength is the time span of which only the largest demand is kept.
	slotLength = 500 * time.Millisecond
	slots      = int(Window / slotLength)
	// minSlots is the number of slots from which on there is an estimate.
	minSlots = 4
	// maxShare bounds the headroom, relative to the capacity. With a quarter, a task is
	// never held back while half of the capacity is free and twice what it needs.
	maxShare = 0.25
	// spreadFactor is how many standard deviations above the mean the expected demand
	// is. In replays, 0 lets more urgent jobs be late than services gain, and from 1.5
	// on services lose more than urgent jobs gain.
	spreadFactor = 1.0
)

// Demand holds the recent demand of one class of short work: the capacity that it uses
// plus that for which it waits. The zero value has seen nothing.
type Demand struct {
	peaks [slots]int64 // of each slot, by slot number modulo slots
	first int64        // slot number of the first observation
	last  int64        // slot number of the newest observation
}

// Estimate describes the demand within the last Window.
type Estimate struct {
	Mean, Spread float64 // of the peaks of the slots
	Peak         int64
}

// Observe adds the demand at a time, which is at least that of earlier observations.
func (d *Demand) Observe(at time.Time, demand int64) {
	slot := at.UnixNano() / int64(slotLength)
	switch {
	case d.last == 0 || slot-d.last >= int64(slots):
		*d = Demand{first: slot, last: slot}
	case slot < d.last:
		slot = d.last
	}
	for ; d.last < slot; d.last++ {
		d.peaks[(d.last+1)%int64(slots)] = 0
	}
	i := slot % int64(slots)
	d.peaks[i] = max(d.peaks[i], demand)
}

// Estimate returns the estimate at the time of the newest observation.
func (d *Demand) Estimate() Estimate {
	n := d.last - d.first + 1
	if d.last == 0 || n < minSlots {
		return Estimate{}
	}
	n = min(n, int64(slots))
	var e Estimate
	sum, squares := 0.0, 0.0
	for slot := d.last - n + 1; slot <= d.last; slot++ {
		v := d.peaks[slot%int64(slots)]
		e.Peak = max(e.Peak, v)
		sum += float64(v)
		squares += float64(v) * float64(v)
	}
	e.Mean = sum / float64(n)
	e.Spread = math.Sqrt(max(squares/float64(n)-e.Mean*e.Mean, 0))
	return e
}

// Headroom returns the capacity to keep free beyond what the class uses now.
func (e Estimate) Headroom(used, capacity int64) int64 {
	expected := min(float64(e.Peak), e.Mean+spreadFactor*e.Spread)
	return max(min(int64(expected)-used, int64(maxShare*float64(capacity))), 0)
}
