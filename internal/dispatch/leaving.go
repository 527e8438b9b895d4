package dispatch

import (
	"sync"
	"time"

	"gooseberryreel/internal/events"
	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/remote"
)

// maxLeavingTargets bounds the targets remembered as leaving, and with them the
// size of an exchange. A whole domain has fewer.
const maxLeavingTargets = 2000

// leavingKey names a target process. One that starts again at another address
// does not count as leaving.
type leavingKey struct{ target, address string }

// leavingTargets remembers which targets said that they leave, to this instance
// or to a peer, so that an instance that takes over a target sends it no work
// while the platform's list lags. The times are absolute, so that passing them
// between peers does not extend them.
type leavingTargets struct {
	mu    sync.Mutex
	until map[leavingKey]time.Time
}

// add reports whether the time is later than the one that was known.
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

// LeavingTargets returns the targets that get no work since they said that they
// leave, for the peers of the domain.
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

// MergeLeavingTargets takes the leaving targets that a peer of the domain knows.
func (d *Dispatcher) MergeLeavingTargets(now time.Time, list []*pb.LeavingTarget) {
	latest := now.Add(leavingHold)
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

// excludeReported gives a target that this instance uses no more work.
func (d *Dispatcher) excludeReported(key leavingKey, now, until time.Time) {
	d.buildMu.Lock()
	defer d.buildMu.Unlock()
	if t := d.state.targets[key.target]; t != nil && t.instance.Address == key.address {
		d.excludeUntil(t, now, until, "reported by a peer")
	}
}

// markLeaving excludes a target that said it is leaving, and tells the peers.
func (d *Dispatcher) markLeaving(t *target, now time.Time) {
	until := now.Add(leavingHold)
	d.excludeUntil(t, now, until, "stated by the target")
	d.leaving.add(leavingKey{target: t.name, address: t.address}, until)
}

// excludeUntil gives a target no work for a time.
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

// restoreLeaving applies what is known of a target that is new to this instance.
func (d *Dispatcher) restoreLeaving(t *target, inst remote.Instance) {
	if until, ok := d.leaving.untilOf(leavingKey{target: inst.Name, address: inst.Address}); ok {
		t.leavingUntil.Store(until.UnixNano())
	}
}
