package ownership

import (
	"slices"
	"sort"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
)

// claimPartitions claims the partitions that this instance may claim, in the order
// of preference that rendezvous hashing gives. An instance of rank n waits n
// leases, to let those that rank before it claim first.
func (c *Core) claimPartitions(now time.Time) {
	// The heartbeats of instances that start together arrive within about one
	// interval; claims before that would move most partitions twice.
	if c.firstOwnHeartbeatAt.IsZero() || now.Sub(c.firstOwnHeartbeatAt) < c.opts.HeartbeatInterval {
		return
	}
	var liveMembers, establishedMembers []string
	for i := range c.partitions {
		p := &c.partitions[i]
		if !c.mayClaim(i, now) {
			continue
		}
		if p.claimableSince.IsZero() {
			p.claimableSince = now
		}
		if liveMembers == nil {
			liveMembers, establishedMembers = c.liveMembers(now), c.establishedMembers(now)
		}
		candidates := liveMembers
		if p.epoch != noEpoch && !p.released {
			candidates = establishedMembers
		}
		rank := rankOf(candidates, i, c.opts.Self.Name)
		if now.Sub(p.claimableSince) >= time.Duration(rank)*c.opts.Lease {
			c.newClaim(i)
		}
	}
}

// NextRebalance returns a partition of this instance that another member should own
// by rendezvous hashing, and that member, or false if there is none to move now. It
// returns at most one per heartbeat interval, and only for a member that joined
// at least two leases ago, so that a flapping member moves no partition.
func (c *Core) NextRebalance(now time.Time) (number int, to ID, ok bool) {
	if c.leaving || now.Sub(c.lastRebalanceAt) < c.opts.HeartbeatInterval || !c.CaughtUp() ||
		now.Sub(c.leaseRenewedAt) >= c.opts.Lease || now.Sub(c.continuousSince) < c.heartbeatTimeout() {
		return 0, ID{}, false
	}
	liveMembers := c.liveMembers(now)
	for i := range c.partitions {
		p := &c.partitions[i]
		if p.owner != c.opts.Self || p.epoch == noEpoch || p.released || p.suspended || now.Before(p.effectiveAt) {
			continue
		}
		next := c.newestProcess(ranked(liveMembers, i)[0])
		if next == nil || next.id == c.opts.Self || now.Sub(next.joinedAt) < c.heartbeatTimeout() || !next.knowsSelf {
			continue
		}
		c.lastRebalanceAt = now
		return i, next.id, true
	}
	return 0, ID{}, false
}

// Successor returns the live member, and its address, that should own a partition
// once this instance has left.
func (c *Core) Successor(number int, now time.Time) (ID, string, bool) {
	for _, name := range ranked(c.liveMembers(now), number) {
		if in := c.newestProcess(name); in != nil && name != c.opts.Self.Name {
			return in.id, in.address, true
		}
	}
	return ID{}, "", false
}

// liveMembers returns the sorted names of the members that may claim, this one
// included.
func (c *Core) liveMembers(now time.Time) []string {
	var names []string
	for id, in := range c.instances {
		if id != c.opts.Self && c.isLive(in, now) && c.newestProcess(id.Name) == in {
			names = append(names, id.Name)
		}
	}
	if !c.leaving {
		names = append(names, c.opts.Self.Name)
	}
	sort.Strings(names)
	return names
}

// establishedMembers returns the live names without the members that joined less
// than two leases ago. These may not claim from another owner yet, so waiting
// for them would delay a takeover.
func (c *Core) establishedMembers(now time.Time) []string {
	return slices.DeleteFunc(c.liveMembers(now), func(name string) bool {
		in := c.newestProcess(name)
		return name != c.opts.Self.Name && now.Sub(in.joinedAt) < c.heartbeatTimeout()
	})
}

// isLive reports whether a process has sent a heartbeat within heartbeatTimeout and
// may still claim.
func (c *Core) isLive(in *instance, now time.Time) bool {
	return in.heartbeatSeen && !in.leaving && !in.gone && !in.unlisted && now.Sub(in.lastHeartbeatAt) < c.heartbeatTimeout()
}

// newestProcess returns the newest process of an instance whose heartbeat was
// read, nil for none.
func (c *Core) newestProcess(name string) *instance {
	var found *instance
	for id, in := range c.instances {
		if id.Name == name && in.heartbeatSeen && (found == nil || id.Incarnation > found.id.Incarnation) {
			found = in
		}
	}
	return found
}

// ranked returns the names ordered by rendezvous hashing for a partition.
func ranked(names []string, number int) []string {
	rest := slices.Clone(names)
	key := "partition/" + strconv.Itoa(number)
	order := make([]string, 0, len(names))
	for len(rest) > 0 {
		// Rendezvous.Remove reads past the end of its slice, so each round builds
		// a new ring.
		name := rendezvous.New(rest, xxhash.Sum64String).Lookup(key)
		order = append(order, name)
		rest = slices.DeleteFunc(rest, func(other string) bool { return other == name })
	}
	return order
}

// rankOf returns the index of name in the order of ranked, or the number of names
// if it is not among them.
func rankOf(names []string, number int, name string) int {
	for rank, other := range ranked(names, number) {
		if other == name {
			return rank
		}
	}
	return len(names)
}
