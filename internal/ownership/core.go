// Package ownership decides which instance owns a partition of a failure
// domain and until when the owner may start new work.
//
// A Core is a deterministic state machine: it does no I/O and reads no clock.
// Its inputs are records of the control stream, read positions, append
// confirmations, listings, replies of peers and refused connections, each with
// the time. Its outputs are records to append and peers to query. A Core is not
// safe for concurrent use.
package ownership

import (
	"fmt"
	"time"

	"gooseberryreel/internal/pb"
)

const (
	// noEpoch is the epoch of a partition that has never been claimed.
	noEpoch = -1
	// heartbeatTimeoutLeases is the number of leases without a heartbeat after
	// which an instance counts as failed. A claimer must have read and appended
	// to the log without a gap for as long, and a promise to an owner lasts as
	// long.
	heartbeatTimeoutLeases = 2
	// readGapDivisor limits the pause between two reads to a third of the lease. A
	// longer pause counts as a gap, so the reader's long poll must be shorter.
	readGapDivisor = 3
)

// ID identifies one process of an instance.
type ID struct {
	Name        string
	Incarnation uint64
}

// Options configures a Core.
type Options struct {
	Self        ID
	PeerAddress string
	// Partitions is the number of partitions, including the job partition.
	Partitions        int
	Lease             time.Duration
	HeartbeatInterval time.Duration
	// UnlistedGrace is how long an instance must be missing from the platform's
	// list before it counts as gone.
	UnlistedGrace time.Duration
	// RefusedProvesGone makes a refused connection prove that the process at
	// the address has ended.
	RefusedProvesGone bool
}

// disabledRules disables single rules, so that tests can show that each is needed:
//   - knownCheck: the owner must know the instance that claims from it
//   - earlierOwnerCheck: earlier owners must have lost their permission as well
//   - claimDelay: a claim from an owner takes effect a lease later
//   - promiseCheck: promises and pending claims exclude each other
type disabledRules struct {
	knownCheck, earlierOwnerCheck, claimDelay, promiseCheck bool
}

// pendingRecord is a record of this instance that has not been read back yet.
type pendingRecord struct {
	record *pb.StreamRecord
	sentAt time.Time
	// acked is set once the log has confirmed the append.
	acked bool
}

// partition is the ownership state of one partition.
type partition struct {
	owner ID
	epoch int64
	// previousEpoch is the epoch that the valid claim replaced.
	previousEpoch int64
	released      bool
	// clean reports whether the previous owner released the partition, or there
	// was none.
	clean bool
	// earlierOwners maps earlier owners that may not have read the claim that
	// replaced them to the offset of that claim.
	earlierOwners map[ID]int64
	effectiveAt   time.Time
	// claimableSince is when this instance first found that it may claim the
	// partition, or read its release. A valid claim resets it to zero.
	claimableSince time.Time
	// promisedAt is when this instance last promised not to claim the partition.
	promisedAt time.Time
	// claim and release are records of this instance that have not been read back
	// yet, nil for none.
	claim *pendingRecord
	// suspended is set by SuspendPartition. This owner then starts no new work.
	suspended bool
	release   *pendingRecord
}

// promise is a peer's reply that it knows no claim newer than epoch. The promise
// counts from queriedAt, when the query was sent.
type promise struct {
	epoch     int64
	queriedAt time.Time
}

// instance is what this instance knows of one process.
type instance struct {
	id      ID
	address string
	// heartbeatSeen reports whether a heartbeat of the process has been read.
	heartbeatSeen bool
	// joinedAt and lastHeartbeatAt are when its first and its newest heartbeat
	// were read.
	joinedAt        time.Time
	lastHeartbeatAt time.Time
	// firstHeartbeatOffset is the offset of its first heartbeat. readTo is the
	// newest read position that its heartbeats reported.
	firstHeartbeatOffset, readTo int64
	// ownHeartbeatOffset is the offset of this instance's first heartbeat after
	// firstHeartbeatOffset, -1 before it. A process that has read past it knows
	// this instance.
	ownHeartbeatOffset int64
	// knowsSelf reports whether the process knows this instance, and so queries
	// it.
	knowsSelf bool
	leaving   bool
	// gone is set once the process is known to have ended, by a refused connection
	// or a newer incarnation. It stays set. unlisted is set when the process has
	// been missing from the platform's list, and cleared by a heartbeat.
	gone, unlisted bool
	unlistedSince  time.Time
	promises       []promise
}

// Core is the ownership state of one instance.
type Core struct {
	opts       Options
	disabled   disabledRules
	partitions []partition
	instances  map[ID]*instance
	sequence   uint64

	// position is the next offset to read. end is the newest known end of the
	// stream.
	position, end int64
	lastReadAt    time.Time
	// continuousSince is the start of the present period in which the log could
	// be read and appended to without a gap.
	continuousSince time.Time
	// sentHeartbeats maps the ids of heartbeats sent and not yet read back to their
	// send times.
	sentHeartbeats  map[string]time.Time
	nextHeartbeatAt time.Time
	// leaseRenewedAt is the send time of the newest sent heartbeat read back. The
	// lease runs from it.
	leaseRenewedAt time.Time
	// lastReadBackAt and firstOwnHeartbeatAt are when the newest and the first
	// heartbeat of this instance were read back.
	lastReadBackAt      time.Time
	firstOwnHeartbeatAt time.Time

	lastListingAt time.Time
	// lastRebalanceAt is when NextRebalance last returned a partition.
	lastRebalanceAt time.Time
	leaving         bool
	// superseded is set once a newer process with this instance's name has
	// written to the stream.
	superseded bool
}

// New returns the state before the first record. The caller reads the stream from
// its first record, or passes a snapshot to Restore and reads on from there.
func New(opts Options) *Core {
	c := &Core{
		opts:           opts,
		partitions:     make([]partition, opts.Partitions),
		instances:      make(map[ID]*instance),
		sentHeartbeats: make(map[string]time.Time),
	}
	for i := range c.partitions {
		c.partitions[i].epoch, c.partitions[i].previousEpoch = noEpoch, noEpoch
	}
	return c
}

// Partition is the state of a partition as this instance knows it.
type Partition struct {
	// Owner is zero while the partition has no owner.
	Owner        ID
	OwnerAddress string
	// Epoch is the offset of the valid claim, -1 for none.
	Epoch    int64
	Released bool
	// EffectiveAt is the time from which the owner may start new work.
	EffectiveAt time.Time
	// Own reports whether this instance is the owner.
	Own bool
	// ActUntil is the end of this instance's permission to start new work.
	ActUntil time.Time
	// Clean reports whether the previous owner released the partition, or there
	// was none.
	Clean bool
	// PreviousEpoch is the epoch that the valid claim replaced, -1 for none.
	PreviousEpoch int64
}

// MayAct reports whether this instance may start new work of the partition at
// the time now.
func (p Partition) MayAct(now time.Time) bool {
	return p.Own && !now.Before(p.EffectiveAt) && now.Before(p.ActUntil)
}

// Partition returns the state of a partition at the time now.
func (c *Core) Partition(number int, now time.Time) Partition {
	p := &c.partitions[number]
	state := Partition{
		Epoch:         p.epoch,
		Released:      p.released,
		EffectiveAt:   p.effectiveAt,
		Clean:         p.clean,
		PreviousEpoch: p.previousEpoch,
	}
	if p.epoch == noEpoch || p.released {
		return state
	}
	state.Owner = p.owner
	if in := c.instances[p.owner]; in != nil {
		state.OwnerAddress = in.address
	}
	state.Own = p.owner == c.opts.Self
	if state.Own {
		state.OwnerAddress = c.opts.PeerAddress
		state.ActUntil = c.actUntil(number, now)
	}
	return state
}

// Partitions returns the number of partitions, including the job partition.
func (c *Core) Partitions() int { return len(c.partitions) }

// Epoch returns the epoch of a partition, -1 if it has never been claimed.
func (c *Core) Epoch(number int) int64 { return c.partitions[number].epoch }

// StreamReadable reports whether the stream was last read less than a lease ago.
func (c *Core) StreamReadable(now time.Time) bool {
	return !c.lastReadAt.IsZero() && now.Sub(c.lastReadAt) < c.opts.Lease
}

// CaughtUp reports whether all records up to the newest known end of the stream
// have been read.
func (c *Core) CaughtUp() bool { return !c.lastReadAt.IsZero() && c.position >= c.end }

// Superseded reports whether a newer process has this instance's name. This
// process must then stop.
func (c *Core) Superseded() bool { return c.superseded }

// Leave starts a planned leave: from now on the instance claims no partition.
func (c *Core) Leave() { c.leaving = true }

// heartbeatTimeout returns how long an instance may send no heartbeat before it
// counts as failed.
func (c *Core) heartbeatTimeout() time.Duration { return heartbeatTimeoutLeases * c.opts.Lease }

// instance returns the state of a process and adds it if it is unknown.
func (c *Core) instance(id ID) *instance {
	in := c.instances[id]
	if in == nil {
		in = &instance{id: id, firstHeartbeatOffset: -1, readTo: -1, ownHeartbeatOffset: -1, promises: make([]promise, len(c.partitions))}
		c.instances[id] = in
	}
	return in
}

// newRecord returns a record with the next id and no body.
func (c *Core) newRecord() *pb.StreamRecord {
	c.sequence++
	return &pb.StreamRecord{
		Id:          fmt.Sprintf("%s/%x/o%d", c.opts.Self.Name, c.opts.Self.Incarnation, c.sequence),
		Author:      c.opts.Self.Name,
		Incarnation: c.opts.Self.Incarnation,
	}
}
