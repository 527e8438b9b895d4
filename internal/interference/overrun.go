package interference

import "time"

const (
	// recoveryTime is how long measurements must stay below the target before an
	// overrun ends. A measurement covers half a second and is noisy, so that a single
	// one below the target does not show that the service met it meanwhile.
	recoveryTime = time.Second
	// maxMeasurementGap limits the time that one measurement stands for.
	maxMeasurementGap = 1500 * time.Millisecond
	// measurementOverdue is the age of a measurement from which the next one is not
	// waited for. Workers with services and fillers answer every half second.
	measurementOverdue = time.Second
	// maxExcessRatio limits the weight of a single measurement in an overrun.
	maxExcessRatio = 0.5
)

// Overrun tracks the time for which one task of a service misses its latency target.
// The zero value is that of a task without measurements.
type Overrun struct {
	since  time.Time // first measurement at or over the target, zero outside an overrun
	from   time.Time // earliest time at which the service can have begun to miss it
	below  time.Time // first of the consecutive newest measurements below the target
	newest time.Time
	gap    time.Duration // between the two newest measurements
	over   bool          // newest measurement, at or over the target
	// missing is set if the newest measurement is over the target.
	missing bool
	// overTime and belowTime are the parts of the overrun that measurements at or
	// over the target and below it stand for.
	overTime, belowTime time.Duration
	// excess is the sum of the measurements relative to the target, minus 1, each
	// times the seconds that it stands for.
	excess float64
}

// Observe adds a measurement. Latencies are whole milliseconds, so that one that
// equals the target may stand for a higher one. sharedSince is since when the task
// has served beside fillers, as far as is known: before, they can't have caused the
// overrun.
func (o *Overrun) Observe(latencyMS, targetMS int64, sharedSince, now time.Time) {
	if sharedSince.After(o.since) {
		o.Restart() // all fillers from the earlier part have ended
	}
	earlier := o.newest
	if earlier.Before(sharedSince) {
		earlier = sharedSince
	}
	o.gap = min(now.Sub(earlier), maxMeasurementGap)
	o.newest, o.over, o.missing = now, latencyMS >= targetMS, latencyMS > targetMS
	excess := o.gap.Seconds() * min(float64(latencyMS)/float64(targetMS)-1, maxExcessRatio)
	o.excess += excess
	if o.over {
		o.below = time.Time{}
		if o.since.IsZero() {
			*o = Overrun{since: now, from: earlier, newest: now, gap: o.gap, over: true, missing: o.missing, overTime: min(o.gap, recoveryTime/2), excess: excess}
			return
		}
		o.overTime += o.gap
		return
	}
	if o.below.IsZero() {
		o.below = now
	}
	o.belowTime += o.gap
	if now.Sub(o.below) >= recoveryTime {
		o.since = time.Time{}
	}
}

// Missing reports whether the newest measurement is over the target.
func (o *Overrun) Missing() bool { return o.missing }

// Since returns for how long the service has missed its target according to the
// measurements.
func (o *Overrun) Since(now time.Time) time.Duration {
	if o.since.IsZero() {
		return 0
	}
	return now.Sub(o.since)
}

// EvictionDue reports whether the fillers must be stopped now, so that the service
// misses its target for less than the limit. It does so after half of the limit, or
// earlier if the overrun may have begun long before it was measured and the next
// measurement would come after three quarters of the limit. It is false if the mean of
// the measurements is below the target and more than a third of the time was measured
// below: beside a service at 93 % of its target, noise of 4 % gave an eviction in 4 of
// 50 minutes otherwise.
func (o *Overrun) EvictionDue(limit time.Duration, now time.Time) bool {
	if o.since.IsZero() || !o.over || 2*o.belowTime > o.overTime && o.excess < 0 {
		return false
	}
	return now.Sub(o.since) >= limit/2 || now.After(o.since) && now.Sub(o.from)+o.gap > limit*3/4
}

// Restart ends an overrun since the fillers were stopped. Fillers that are started
// later are not judged by the measurements beside the earlier ones.
func (o *Overrun) Restart() {
	*o = Overrun{newest: o.newest, gap: o.gap, missing: o.missing}
}

// OverdueAt returns when the next measurement of an overrun is overdue, false outside an
// overrun.
func (o *Overrun) OverdueAt() (time.Time, bool) {
	return o.newest.Add(measurementOverdue), !o.since.IsZero()
}

// Overdue reports whether the next measurement is missing for longer than usual.
func (o *Overrun) Overdue(now time.Time) bool { return now.Sub(o.newest) >= measurementOverdue }
