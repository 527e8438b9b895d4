package ownership

import (
	"slices"
	"sort"
	"time"

	"gooseberryreel/internal/pb"
)

// Peer is an instance to query.
type Peer struct {
	ID      ID
	Address string
}

// Peers returns the instances to query each second, sorted by id: all whose
// heartbeat was read, except this instance, its earlier processes and those that
// are gone or unlisted.
func (c *Core) Peers() []Peer {
	var peers []Peer
	for id, in := range c.instances {
		if id == c.opts.Self || c.isEarlierProcess(id) || !in.heartbeatSeen || in.gone || in.unlisted {
			continue
		}
		peers = append(peers, Peer{ID: id, Address: in.address})
	}
	sort.Slice(peers, func(i, j int) bool {
		a, b := peers[i].ID, peers[j].ID
		return a.Name < b.Name || a.Name == b.Name && a.Incarnation < b.Incarnation
	})
	return peers
}

// Owned returns the partitions that this instance owns, for the query to peers.
func (c *Core) Owned() []*pb.PartitionOwner {
	var owned []*pb.PartitionOwner
	for i := range c.partitions {
		p := &c.partitions[i]
		if p.epoch != noEpoch && p.owner == c.opts.Self && !p.released {
			owned = append(owned, &pb.PartitionOwner{
				Partition: int32(i), Owner: p.owner.Name, Incarnation: p.owner.Incarnation, Epoch: p.epoch,
			})
		}
	}
	return owned
}

// GrantPromises returns the partitions in an owner's query for which this instance
// has neither a pending claim nor read a newer one. The reply is a promise: for
// two leases this instance doesn't claim them on the ground that the owner has
// sent no heartbeat.
func (c *Core) GrantPromises(now time.Time, owned []*pb.PartitionOwner) []int32 {
	var unchallenged []int32
	for _, queried := range owned {
		number := int(queried.GetPartition())
		if number < 0 || number >= len(c.partitions) {
			continue
		}
		p := &c.partitions[number]
		// A claim of this instance that replaces an epoch older than the queried
		// one is invalid, so an older epoch here doesn't contradict the owner.
		if p.epoch > queried.GetEpoch() || p.claim != nil && !c.disabled.promiseCheck {
			continue
		}
		p.promisedAt = now
		unchallenged = append(unchallenged, queried.GetPartition())
	}
	return unchallenged
}

// ApplyPromises applies the reply of from, the process that listens at the address
// of peer. The owned partitions are those of the query, which was sent at queriedAt.
func (c *Core) ApplyPromises(peer, from ID, queriedAt time.Time, owned []*pb.PartitionOwner, unchallenged []int32) {
	if from != peer {
		c.markReplaced(peer, from)
		return
	}
	in := c.instance(from)
	for _, queried := range owned {
		number := int(queried.GetPartition())
		if number >= len(c.partitions) || !slices.Contains(unchallenged, queried.GetPartition()) {
			continue
		}
		given := &in.promises[number]
		if given.epoch != queried.GetEpoch() || queriedAt.After(given.queriedAt) {
			*given = promise{epoch: queried.GetEpoch(), queriedAt: queriedAt}
		}
	}
}

// markReplaced marks peer as gone if the reply came from a newer process of the
// same instance. A reply of another instance, which now has the address, counts as
// a refused connection.
func (c *Core) markReplaced(peer, from ID) {
	newer := from.Name == peer.Name && from.Incarnation > peer.Incarnation
	if newer || from.Name != peer.Name && c.opts.RefusedProvesGone {
		c.instance(peer).gone = true
	}
}

// ApplyRefusedConnection applies a refused connection to the address of peer:
// the process is gone if RefusedProvesGone is set.
func (c *Core) ApplyRefusedConnection(peer ID) {
	if c.opts.RefusedProvesGone && peer != c.opts.Self {
		c.instance(peer).gone = true
	}
}

// ApplyListing applies the names on the platform's list. An instance counts as
// unlisted once it has been missing for UnlistedGrace and has sent no heartbeat
// for two leases.
func (c *Core) ApplyListing(now time.Time, names map[string]bool) {
	// After a gap between listings the grace period starts again.
	gap := !c.lastListingAt.IsZero() && now.Sub(c.lastListingAt) > c.opts.UnlistedGrace/4
	c.lastListingAt = now
	for id, in := range c.instances {
		heartbeatRecent := !in.lastHeartbeatAt.IsZero() && now.Sub(in.lastHeartbeatAt) < c.heartbeatTimeout()
		switch {
		case id == c.opts.Self || names[id.Name] || heartbeatRecent:
			in.unlistedSince = time.Time{}
		case gap || in.unlistedSince.IsZero():
			in.unlistedSince = now
		case now.Sub(in.unlistedSince) >= c.opts.UnlistedGrace:
			in.unlisted = true
		}
	}
}
