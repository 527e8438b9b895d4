package scheduler

import (
	"slices"
	"time"
)

// An owner that is lost takes along what it knows of the leases that it has granted, so
// that its successor would have to assume a renewal just before the loss. Therefore an
// owner records for how long the leases of silent workers may still last, and grants such
// a worker no lease until a record without it is stored. A successor, whose claim lets the
// earlier owner store nothing more, waits for what is left instead of a whole lease.

const (
	// leaseBoundDelay is how long a worker must be silent before its lease is bounded.
	// Lifting a bound takes a write to the store, during which the lease isn't renewed.
	leaseBoundDelay = 400 * time.Millisecond
	// unansweredDelay replaces it for a worker that has not answered this owner and to
	// which no hold may have been sent.
	unansweredDelay = time.Second
	// overdueDelay is how late the answer to a hold must be for the worker to count as
	// silent, before the call has timed out.
	overdueDelay = 400 * time.Millisecond
	// leaseBoundInterval is the longest time between two records of the bounds, and
	// leaseBoundCheck between two checks whether there are new ones.
	leaseBoundInterval = 400 * time.Millisecond
	leaseBoundCheck    = 100 * time.Millisecond
	// maxLeaseBounds limits the bounds in a record, each of which takes about 30 bytes.
	maxLeaseBounds = 2000
	// recordedClockTolerance is by how much, relative to a time span, the clocks of two
	// owners may differ.
	recordedClockTolerance = 0.02
)

// LeaseBound tells later owners for how long the lease of a silent worker may still last.
type LeaseBound struct {
	Worker string
	Left   time.Duration // from the moment when the bound was taken
}

// EarlierOwner is an owner that may have granted leases.
type EarlierOwner struct {
	// StoppedAt is when it acted last, at the latest.
	StoppedAt time.Time
	// PermittedAt is when the newest permission to act may have been given, by which it
	// counted its leases, zero if it counted them from when it granted them.
	PermittedAt time.Time
	// Left are the bounds in its newest record, by worker. They were taken while it could
	// still act.
	Left map[string]time.Duration
}

// leaseEnds returns when the leases on a worker have expired that the owner has granted.
// restarted is set if the worker may have restarted since: it then grants the longest lease
// from when it receives a command, since its clock has started anew.
func (e *EarlierOwner) leaseEnds(worker string, longest time.Duration, restarted bool) time.Time {
	end := e.StoppedAt.Add(longest)
	if at := e.PermittedAt.Add(longest); !e.PermittedAt.IsZero() && !restarted && at.Before(end) {
		end = at
	}
	if left, bounded := e.bound(worker); bounded {
		if at := e.StoppedAt.Add(left); at.Before(end) {
			end = at
		}
	}
	return end
}

func (e *EarlierOwner) bound(worker string) (time.Duration, bool) {
	left, bounded := e.Left[worker]
	return time.Duration(float64(left) * (1 + recordedClockTolerance)), bounded
}

// leaseBase returns the time from which a lease is counted that is granted now.
func (c *Core) leaseBase(now time.Time) time.Time {
	if c.permittedAt.IsZero() || c.permittedAt.After(now) {
		return now
	}
	return c.permittedAt
}

// longestLease is how long a lease lasts at most from the moment when it is granted.
func (o Options) longestLease() time.Duration {
	return time.Duration(float64(o.Lease)*clockDriftFactor) + leaseSlack
}

// RestoreLeaseBounds applies the bounds that all earlier owners have recorded. It is called
// after all jobs are restored and before Start, whether the earlier owners still act or not:
// they can't lift a bound any more.
func (c *Core) RestoreLeaseBounds(earlier []EarlierOwner) {
	if len(earlier) == 0 {
		return
	}
	for _, w := range c.workerList {
		longest, bounded := time.Duration(0), true
		for n := range earlier {
			left, found := earlier[n].bound(w.id)
			longest, bounded = max(longest, left), bounded && found
		}
		if bounded {
			w.limitLease(c.startedAt.Add(longest))
			w.leaseBounded = !c.disabled.dropLeaseBounds // this owner may be lost before it finds the worker silent
		}
	}
}

// ConfirmNoEarlierOwner records that no earlier owner sends commands any more, and when
// each had stopped at the latest. What they have started on a worker that doesn't answer
// runs until the leases have expired that they may have granted.
func (c *Core) ConfirmNoEarlierOwner(earlier []EarlierOwner, now time.Time) {
	c.noEarlierOwner, c.confirmedAt, c.earlier = true, now, earlier
	var stopped, unbounded time.Time
	for n := range earlier {
		if at := earlier[n].StoppedAt; at.After(stopped) {
			stopped = at
		}
		if at := earlier[n].leaseEnds("", c.opts.longestLease(), false); at.After(unbounded) {
			unbounded = at
		}
	}
	bounded := 0
	for _, w := range c.workerList {
		if w.adopted {
			continue
		}
		w.limitLease(c.earlierLeaseEnd(w))
		if w.leaseEnd.Before(unbounded) {
			bounded++
		}
		c.visitSoon(w)
	}
	c.addLogEntry("no earlier owner", "", "epoch", c.opts.Epoch, "stopped_ms_ago", now.Sub(stopped).Milliseconds(),
		"leases_end_in_ms", unbounded.Sub(now).Milliseconds(), "bounded_workers", bounded)
}

// earlierLeaseEnd returns when the leases have expired that the earlier owners have granted
// on a worker that has not answered this one. While its entry is not known, or if that comes
// from another process than an attempt was placed on, it may have restarted.
func (c *Core) earlierLeaseEnd(w *worker) (end time.Time) {
	restarted := w.entry.Incarnation == 0 || slices.ContainsFunc(w.list, func(a *attempt) bool { return a.restored && a.incarnation != w.entry.Incarnation })
	for n := range c.earlier {
		if at := c.earlier[n].leaseEnds(w.id, c.opts.longestLease(), restarted); at.After(end) {
			end = at
		}
	}
	return end
}

// limitLease lowers the time at which what runs on a worker has expired.
func (w *worker) limitLease(end time.Time) {
	if w.leaseEnd.After(end) {
		w.leaseEnd = end
	}
}

// takeLeaseBounds adds the bounds to a batch if they have changed or are out of date.
func (c *Core) takeLeaseBounds(b *Batch, now time.Time) {
	if c.disabled.noLeaseBounds || !c.leaseBoundsDue && now.Sub(c.leaseBoundsCheckedAt) < leaseBoundCheck {
		return
	}
	c.leaseBoundsDue, c.leaseBoundsCheckedAt = false, now
	var silent, released []*worker
	changed := false
	for _, w := range c.workerList {
		switch {
		case c.boundable(w, now) && (w.leaseBounded || len(silent) < maxLeaseBounds):
			silent = append(silent, w)
			changed = changed || !w.leaseBounded
		case w.leaseBounded:
			released = append(released, w)
			changed = true
		}
	}
	if !changed && (len(silent) == 0 || now.Sub(c.leaseBoundsAt) < leaseBoundInterval) {
		return
	}
	c.leaseBoundsAt, b.leaseBoundsTaken, b.lifted = now, true, released
	for _, w := range silent {
		w.leaseBounded = true
		b.LeaseBounds = append(b.LeaseBounds, LeaseBound{w.id, max(w.leaseEnd.Sub(now), 0)})
	}
}

// boundable reports whether a worker that may run something has been silent for long enough.
func (c *Core) boundable(w *worker, now time.Time) bool {
	switch {
	case len(w.attempts) == 0:
		return false
	case !w.silentSince.IsZero():
		return w.leaseBounded || now.Sub(w.silentNoticed) >= leaseBoundDelay
	case w.adopted && w.holdInFlight:
		return !c.late && now.Sub(w.holdDue) > overdueDelay
	default:
		return !w.adopted && (w.leaseBounded || now.Sub(c.startedAt) >= unansweredDelay)
	}
}

// liftLeaseBounds lets leases be granted again that the stored record doesn't bound any more.
func (c *Core) liftLeaseBounds(lifted []*worker, now time.Time) {
	for _, w := range lifted {
		w.leaseBounded = false
		w.nextHold = now
		c.visitSoon(w)
	}
}

// LeaseBoundsTaken reports whether LeaseBounds replaces the bounds in the owner's record.
func (b *Batch) LeaseBoundsTaken() bool { return b.leaseBoundsTaken }
