package dispatch

import (
	"sync"
	"time"

	"gooseberryreel/internal/events"
	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/remote"
)

// maxLeavingTargets limits the number of leaving targets that are stored, and with
// it the size of an exchange between peers. A whole domain has fewer targets.
const maxLeavingTargets = 2000

// leavingKey identifies a target process. A target that restarts at another
// address does not count as leaving.
type leavingKey struct{ target, address string }

// leavingTargets holds the targets that reported to this instance or to a peer that
// they are leaving. An instance that takes over such a target sends it no work
// while the platform's list lags. The times are absolute, so that an exchange
// between peers does not extend them.
type leavingTargets struct {
	mu    sync.Mutex
	until map[leavingKey]time.Time
}

// add stores the end of a target's exclusion. It reports whether that is later than
// the stored one; it also reports false if maxLeavingTargets are stored.
func (l *leavingTargets) add(key leavingKey, until time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	known, ok := l.until[key]
	if !until.After(known) || !ok && len(l.until) >= maxLeavingTargets {
		return false
	}
	if l.until == nil {
		l.until = make(map[leavingKey]time.Time)
	}
	l.until[key] = until
	return true
}

func (l *leavingTargets) untilOf(key leavingKey) (time.Time, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	until, ok := l.until[key]
	return until, ok
}

// LeavingTargets returns the targets that get no work at the time now because they
// reported that they are leaving. The result is for the peers of the domain.
func (d *Dispatcher) LeavingTargets(now time.Time) []*pb.LeavingTarget {
	l := &d.leaving
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []*pb.LeavingTarget
	for key, until := range l.until {
		if !now.Before(until) {
			delete(l.until, key)
			continue
		}
		list = append(list, &pb.LeavingTarget{Target: key.target, Address: key.address, UntilMs: until.UnixMilli()})
	}
	return list
}

// MergeLeavingTargets excludes the leaving targets that a peer of the domain
// reports.
func (d *Dispatcher) MergeLeavingTargets(now time.Time, list []*pb.LeavingTarget) {
	latest := now.Add(leavingExclusion)
	for _, reported := range list {
		until := time.UnixMilli(reported.GetUntilMs())
		if until.After(latest) { // the peer's clock is ahead
			until = latest
		}
		if !now.Before(until) {
			continue
		}
		key := leavingKey{target: reported.GetTarget(), address: reported.GetAddress()}
		if d.leaving.add(key, until) {
			d.excludeReported(key, now, until)
		}
	}
}

// excludeReported excludes a target that a peer reported, if this instance uses it.
func (d *Dispatcher) excludeReported(key leavingKey, now, until time.Time) {
	d.buildMu.Lock()
	defer d.buildMu.Unlock()
	if t := d.state.targets[key.target]; t != nil && t.instance.Address == key.address {
		d.excludeUntil(t, now, until, "reported by a peer")
	}
}

// markLeaving excludes a target that reported that it is leaving, and stores it for
// the peers.
func (d *Dispatcher) markLeaving(t *target, now time.Time) {
	until := now.Add(leavingExclusion)
	d.excludeUntil(t, now, until, "reported by the target")
	d.leaving.add(leavingKey{target: t.name, address: t.address}, until)
}

// excludeUntil excludes a target from new work until a time, unless it is already
// excluded for longer.
func (d *Dispatcher) excludeUntil(t *target, now, until time.Time, reason string) {
	if !t.leaving(now) {
		d.opts.Events.Add(events.Event{Kind: "target_leaving", Target: t.name, Detail: reason})
	}
	for {
		old := t.leavingUntil.Load()
		if old >= until.UnixNano() || t.leavingUntil.CompareAndSwap(old, until.UnixNano()) {
			return
		}
	}
}

// restoreLeaving excludes a target that is new to this instance if it is known to
// be leaving.
func (d *Dispatcher) restoreLeaving(t *target, inst remote.Instance) {
	if until, ok := d.leaving.untilOf(leavingKey{target: inst.Name, address: inst.Address}); ok {
		t.leavingUntil.Store(until.UnixNano())
	}
}
