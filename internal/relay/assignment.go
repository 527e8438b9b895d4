package relay

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// smallRelayShare is the part of the largest relay's CPU share below which a
	// relay is used only when the larger ones have no room: the fewer relays there
	// are, the more commands share a batch.
	smallRelayShare = 0.5
	// avoidAfterFailure is how long a worker is not assigned again to a relay
	// through which it did not answer.
	avoidAfterFailure = 10 * time.Second
	// maxAvoided limits the relays that a worker avoids. A worker that answers
	// through none of several is itself at fault.
	maxAvoided = 2
	// maxMoves limits the workers that one pass of Rebalance moves, since each needs
	// new connections.
	maxMoves = 16
)

// Offer describes an instance that offers to be a relay.
type Offer struct {
	Instance string
	Domain   string // failure domain
	CPUMilli int64
}

// Limits are the numbers of workers for which an instance has room, for each whole
// core of its CPU share.
type Limits struct {
	// OwnerWorkersPerCore applies to the owner, which needs the rest of its share for
	// its decisions.
	OwnerWorkersPerCore int
	RelayWorkersPerCore int
}

// Assignment assigns workers to relays. It does no I/O and reads no clock. It is
// not safe for concurrent use.
type Assignment struct {
	limits    Limits
	ownerRoom int
	own       int // workers that the owner serves itself
	workers   map[string]*assigned
	relays    map[string]*relayLoad
}

// assigned is a worker with the relay that serves it.
type assigned struct {
	domain string
	relay  string // empty for the owner
	avoid  []avoided
}

// avoided is a relay through which a worker did not answer.
type avoided struct {
	relay string
	until time.Time
}

// relayLoad is a relay with the number of its workers.
type relayLoad struct {
	Offer
	room    int
	workers int
}

// NewAssignment returns an assignment without relays for an owner with a CPU share.
func NewAssignment(limits Limits, ownerCPUMilli int64) *Assignment {
	return &Assignment{
		limits: limits, ownerRoom: roomFor(limits.OwnerWorkersPerCore, ownerCPUMilli),
		workers: make(map[string]*assigned), relays: make(map[string]*relayLoad),
	}
}

// roomFor returns the room of an instance that has room for perCore workers for
// each whole core.
func roomFor(perCore int, cpuMilli int64) int { return int(int64(perCore) * cpuMilli / 1000) }

// ownShare returns how many of a number of workers the owner serves itself while
// relays have room: all of them up to its room, and fewer the more workers there
// are beyond that, since its decisions then need its CPU share.
func (a *Assignment) ownShare(workers int) int {
	return max(0, min(workers, 2*a.ownerRoom-workers))
}

// AddRelay adds a relay, in place of an earlier offer of the same instance. Workers
// move to it only with Rebalance.
func (a *Assignment) AddRelay(o Offer) {
	a.RemoveRelay(o.Instance)
	a.relays[o.Instance] = &relayLoad{Offer: o, room: roomFor(a.limits.RelayWorkersPerCore, o.CPUMilli)}
}

// RemoveRelay removes a relay and returns the number of its workers. They are
// assigned anew with their next commands.
func (a *Assignment) RemoveRelay(instance string) int {
	r := a.relays[instance]
	if r == nil {
		return 0
	}
	delete(a.relays, instance)
	maps.DeleteFunc(a.workers, func(_ string, w *assigned) bool { return w.relay == instance })
	return r.workers
}

// Relays returns the number of relays, and of those that serve workers.
func (a *Assignment) Relays() (all, used int) {
	for _, r := range a.relays {
		if r.workers > 0 {
			used++
		}
	}
	return len(a.relays), used
}

// Own returns the number of workers that the owner serves itself.
func (a *Assignment) Own() int { return a.own }

// Assign returns the relay that serves a worker, empty for the owner itself. If
// none does yet, it chooses one; expected is the number of workers of the site.
// It returns false if neither the owner nor a relay has room.
func (a *Assignment) Assign(worker, domain string, expected int, now time.Time) (string, bool) {
	if w := a.workers[worker]; w != nil {
		return w.relay, true
	}
	w := &assigned{domain: domain}
	if a.own < a.ownShare(max(expected, len(a.workers)+1)) {
		a.serve(worker, w, nil)
		return "", true
	}
	r := a.best(w, now)
	if r == nil {
		return "", false
	}
	a.serve(worker, w, r)
	return w.relay, true
}

// AssignToOwner assigns a worker to the owner although it has no room.
func (a *Assignment) AssignToOwner(worker, domain string) {
	if a.workers[worker] == nil {
		a.serve(worker, &assigned{domain: domain}, nil)
	}
}

// serve assigns a worker to a relay, or to the owner if r is nil.
func (a *Assignment) serve(worker string, w *assigned, r *relayLoad) {
	a.workers[worker] = w
	if r == nil {
		w.relay = ""
		a.own++
		return
	}
	w.relay = r.Instance
	r.workers++
}

// release takes a worker away from its relay or the owner.
func (a *Assignment) release(w *assigned) {
	if w.relay == "" {
		a.own--
	} else if r := a.relays[w.relay]; r != nil {
		r.workers--
	}
}

// best returns the relay with room that suits a worker best, nil if there is none.
// Relays on large machines come first, then those in the worker's failure domain,
// then those with the lowest load.
func (a *Assignment) best(w *assigned, now time.Time) *relayLoad {
	largest := int64(0)
	for _, r := range a.relays {
		largest = max(largest, r.CPUMilli)
	}
	var found *relayLoad
	for _, r := range a.relays {
		if r.workers >= r.room || w.avoids(r.Instance, now) {
			continue
		}
		if found == nil || a.compare(r, found, w.domain, largest) < 0 {
			found = r
		}
	}
	return found
}

// compare orders relays for a worker in a failure domain, the best first.
func (a *Assignment) compare(x, y *relayLoad, domain string, largest int64) int {
	small := func(r *relayLoad) int {
		if float64(r.CPUMilli) < smallRelayShare*float64(largest) {
			return 1
		}
		return 0
	}
	remote := func(r *relayLoad) int {
		if r.Domain != domain {
			return 1
		}
		return 0
	}
	return cmp.Or(
		cmp.Compare(small(x), small(y)),
		cmp.Compare(remote(x), remote(y)),
		cmp.Compare(float64(x.workers)/float64(x.room), float64(y.workers)/float64(y.room)),
		cmp.Compare(x.Instance, y.Instance),
	)
}

func (w *assigned) avoids(relay string, now time.Time) bool {
	return slices.ContainsFunc(w.avoid, func(v avoided) bool { return v.relay == relay && now.Before(v.until) })
}

// Failed reports that a worker did not answer through a relay, or through the owner
// if relay is empty. The worker is assigned to another one, unless it has already
// failed with several.
func (a *Assignment) Failed(worker, relay string, now time.Time) {
	w := a.workers[worker]
	if w == nil || w.relay != relay || relay == "" {
		return
	}
	w.avoid = slices.DeleteFunc(w.avoid, func(v avoided) bool { return !now.Before(v.until) })
	if len(w.avoid) >= maxAvoided {
		return
	}
	w.avoid = append(w.avoid, avoided{relay, now.Add(avoidAfterFailure)})
	a.release(w)
	a.serve(worker, w, a.best(w, now))
}

// Forget removes a worker that has left the site.
func (a *Assignment) Forget(worker string) {
	if w := a.workers[worker]; w != nil {
		a.release(w)
		delete(a.workers, worker)
	}
}

// Rebalance moves workers from the owner to relays if the owner serves more than its
// share, and workers of relays in other failure domains to relays in their own. It
// returns the number of workers that it moved.
func (a *Assignment) Rebalance(now time.Time) int {
	moved := 0
	excess := a.own - a.ownShare(len(a.workers))
	for _, name := range slices.Sorted(maps.Keys(a.workers)) {
		if moved == maxMoves {
			break
		}
		w := a.workers[name]
		current := a.relays[w.relay] // nil for the owner
		if current == nil && excess <= 0 || current != nil && current.Domain == w.domain {
			continue
		}
		r := a.best(w, now)
		if r == nil || current != nil && (r.Domain != w.domain || r.CPUMilli < current.CPUMilli) {
			continue
		}
		if current == nil {
			excess--
		}
		a.release(w)
		a.serve(name, w, r)
		moved++
	}
	return moved
}
