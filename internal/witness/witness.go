// Package witness bounds for how long an owner acts that nobody reaches any more.
//
// An owner names some instances as its witnesses in its record in the store. From then
// on it acts only while a quorum of them has granted it permission within GrantTime. A
// newer owner reads the names with its claim, and asks the witnesses to revoke: a witness
// that has answered grants nothing to earlier owners any more, and tells how long ago its
// newest grant was. Each quorum that grants has a witness in common with each quorum that
// revokes, so that the answers bound when the earlier owner last acted, without an answer
// of its own and whatever links are cut.
//
// The package does no I/O and reads no clock. Times are readings of a steady clock of the
// process that also counts while its machine is suspended.
package witness

import (
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// GrantTime is how long a grant lasts, from the request of the owner.
	GrantTime = 1200 * time.Millisecond
	// RenewInterval is the time between two requests. It allows one to fail.
	RenewInterval = 400 * time.Millisecond
	// MaxWitnesses is the number of witnesses of an owner. One of them may be lost
	// together with the owner.
	MaxWitnesses = 4
	// clockDrift is by how much, relative to a time span, two clocks may differ.
	clockDrift = 0.02
)

// GrantQuorum returns how many of a number of witnesses have to grant, and RevokeQuorum
// how many have to revoke.
func GrantQuorum(witnesses int) int  { return (witnesses + 1) / 2 }
func RevokeQuorum(witnesses int) int { return witnesses - GrantQuorum(witnesses) + 1 }

// Witness is the part of an instance that grants permission. It keeps nothing over a
// restart, so that a process has an id of its own and grants only to owners that have
// named this id: one that has forgotten a revocation would grant again.
type Witness struct {
	ID int64

	mu        sync.Mutex
	lowest    int64         // epoch that may still be granted
	grantedAt time.Duration // of the newest grant that this or an earlier process may have given
}

// New returns a witness whose process has started at a time. An earlier process may have
// granted until then.
func New(id int64, startedAt time.Duration) *Witness { return &Witness{ID: id, grantedAt: startedAt} }

// Grant reports whether the owner with an epoch, which has named the witness with an id,
// may act for GrantTime.
func (w *Witness) Grant(id, epoch int64, now time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if id != w.ID || epoch < w.lowest {
		return false
	}
	w.lowest = epoch
	w.grantedAt = max(w.grantedAt, now)
	return true
}

// Revoke ends the grants to owners with lower epochs than the given one, and returns how
// long ago the newest grant was.
func (w *Witness) Revoke(epoch int64, now time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lowest = max(w.lowest, epoch)
	return now - w.grantedAt
}

// Grants are the grants that an owner has received. It is safe for concurrent use.
type Grants struct {
	mu      sync.Mutex
	askedAt map[string]time.Duration // of the newest grant, by witness
}

// NewGrants returns the grants of an owner with the given witnesses, none so far.
func NewGrants(witnesses []string) *Grants {
	g := &Grants{askedAt: make(map[string]time.Duration, len(witnesses))}
	for _, name := range witnesses {
		g.askedAt[name] = -GrantTime
	}
	return g
}

// Granted records a grant that was requested at a time.
func (g *Grants) Granted(name string, askedAt time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if at, known := g.askedAt[name]; known {
		g.askedAt[name] = max(at, askedAt)
	}
}

// Valid reports whether the owner may act.
func (g *Grants) Valid(now time.Duration) bool {
	return g.CountSince(now-time.Duration(float64(GrantTime)*(1-clockDrift))) >= GrantQuorum(g.len())
}

// Since returns when the grants by which the owner may act were requested: each of a quorum
// at that time or later.
func (g *Grants) Since() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	times := slices.Sorted(maps.Values(g.askedAt))
	return times[len(times)-GrantQuorum(len(times))]
}

// CountSince returns the number of witnesses with a grant that was requested after a time.
func (g *Grants) CountSince(t time.Duration) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, at := range g.askedAt {
		if at > t {
			n++
		}
	}
	return n
}

func (g *Grants) len() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.askedAt)
}

// Revocation collects the answers of the witnesses of one earlier owner. It is safe for
// concurrent use.
type Revocation struct {
	mu        sync.Mutex
	witnesses int
	grantedAt map[string]time.Duration // newest grant, by witness
}

// NewRevocation returns the revocation of the permission of an owner with a number of
// witnesses.
func NewRevocation(witnesses int) *Revocation {
	return &Revocation{witnesses: witnesses, grantedAt: make(map[string]time.Duration)}
}

// Answered records the answer of a witness that was received at a time.
func (r *Revocation) Answered(name string, receivedAt, grantedAgo time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.grantedAt[name]; !known {
		r.grantedAt[name] = receivedAt - time.Duration(float64(grantedAgo)*(1-clockDrift))
	}
}

// GrantedAt returns the time after which no quorum has granted the earlier owner permission,
// false while too few witnesses have answered. Those that have not answered are taken to
// grant for good.
func (r *Revocation) GrantedAt() (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.witnesses == 0 || len(r.grantedAt) < RevokeQuorum(r.witnesses) {
		return 0, false
	}
	times := slices.Sorted(maps.Values(r.grantedAt))
	needed := GrantQuorum(r.witnesses) - (r.witnesses - len(times)) // of those that have answered
	return times[len(times)-needed], true
}

// EndedAt returns when the earlier owner stopped acting at the latest, which may be in the
// future, false while too few witnesses have answered.
func (r *Revocation) EndedAt() (time.Duration, bool) {
	at, ok := r.GrantedAt()
	return at + GrantTime, ok
}
