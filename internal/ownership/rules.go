package ownership

import (
	"time"

	"gooseberryreel/internal/pb"
)

// actUntil returns the end of the permission to start new work in a partition that
// this instance owns, zero for none. It ends one lease after this instance sent the
// newest of its heartbeats that it has read back, or when the first promise of the
// other known instances ends, whichever is later.
func (c *Core) actUntil(number int, now time.Time) time.Time {
	p := &c.partitions[number]
	if p.owner != c.opts.Self || p.epoch == noEpoch || p.released || p.suspended || c.superseded {
		return time.Time{}
	}
	until := time.Time{}
	if !c.leaseRenewedAt.IsZero() {
		until = c.leaseRenewedAt.Add(c.opts.Lease)
	}
	if byPeers := c.promisedUntil(number, now); byPeers.After(until) {
		until = byPeers
	}
	return until
}

// promisedUntil returns the end of the permission that the promises of peers
// give, zero if one is missing. Every other instance whose heartbeat was read must
// have given a promise, unless it is leaving, gone or unlisted.
func (c *Core) promisedUntil(number int, now time.Time) time.Time {
	until := now.Add(c.opts.Lease)
	epoch := c.partitions[number].epoch
	for id, in := range c.instances {
		// An instance that has announced its leave makes no further claim.
		if id == c.opts.Self || c.isEarlierProcess(id) || !in.heartbeatSeen || in.leaving || in.gone || in.unlisted {
			continue
		}
		given := in.promises[number]
		if given.queriedAt.IsZero() || given.epoch != epoch {
			return time.Time{}
		}
		if end := given.queriedAt.Add(c.opts.Lease); end.Before(until) {
			until = end
		}
	}
	return until
}

// mayClaim reports whether a claim by this instance would be safe. It doesn't
// consider which instance should own the partition.
func (c *Core) mayClaim(number int, now time.Time) bool {
	p := &c.partitions[number]
	unowned := p.epoch == noEpoch || p.released
	if c.leaving || c.superseded || p.claim != nil || c.firstOwnHeartbeatAt.IsZero() || !c.CaughtUp() {
		return false
	}
	if !unowned && p.owner == c.opts.Self {
		return false
	}
	if now.Sub(c.lastReadAt) > c.opts.Lease/readGapDivisor || now.Sub(c.leaseRenewedAt) >= c.opts.Lease {
		return false
	}
	if unowned && len(p.earlierOwners) == 0 {
		return true
	}
	if now.Sub(c.continuousSince) < c.heartbeatTimeout() {
		return false
	}
	if !unowned && !c.permissionExpired(p, p.owner, now) {
		return false
	}
	if c.disabled.earlierOwnerCheck {
		return true
	}
	for id := range p.earlierOwners {
		if !c.permissionExpired(p, id, now) {
			return false
		}
	}
	return true
}

// permissionExpired reports whether a present or earlier owner is certain to
// have lost its permission by the time a claim made now takes effect, one lease
// later.
func (c *Core) permissionExpired(p *partition, id ID, now time.Time) bool {
	if id == c.opts.Self {
		return true
	}
	in := c.instance(id)
	if in.gone || in.unlisted || c.isEarlierProcess(id) {
		return true
	}
	silent := in.lastHeartbeatAt.IsZero() || now.Sub(in.lastHeartbeatAt) >= c.heartbeatTimeout()
	knowsSelf := in.knowsSelf || c.disabled.knownCheck
	unpromised := p.promisedAt.IsZero() || now.Sub(p.promisedAt) >= c.heartbeatTimeout() || c.disabled.promiseCheck
	return silent && knowsSelf && unpromised
}

// isEarlierProcess reports whether id is an earlier process of this instance.
func (c *Core) isEarlierProcess(id ID) bool {
	return id.Name == c.opts.Self.Name && id.Incarnation < c.opts.Self.Incarnation
}

// Tick returns the records to append now. Claims and releases are returned again
// with the same id each heartbeat interval until the log confirms the append or
// they are read back. Heartbeats are returned once.
func (c *Core) Tick(now time.Time) []*pb.StreamRecord {
	var out []*pb.StreamRecord
	if c.superseded {
		return nil
	}
	c.claimPartitions(now)
	for i := range c.partitions {
		p := &c.partitions[i]
		for _, own := range []*pendingRecord{p.claim, p.release} {
			if own != nil && !own.acked && (own.sentAt.IsZero() || now.Sub(own.sentAt) >= c.opts.HeartbeatInterval) {
				own.sentAt = now
				out = append(out, own.record)
			}
		}
	}
	if !now.Before(c.nextHeartbeatAt) {
		c.nextHeartbeatAt = now.Add(c.opts.HeartbeatInterval)
		out = append(out, c.newHeartbeat(now))
	}
	return out
}

// prune removes the instances that are gone or unlisted, except present owners
// and earlier owners that claims still wait for. Without it the map would grow,
// since hundreds of processes start and end each day. A late heartbeat adds an
// instance again until it is found gone again.
func (c *Core) prune() {
	needed := make(map[ID]bool)
	for i := range c.partitions {
		p := &c.partitions[i]
		needed[p.owner] = true
		for id := range p.earlierOwners {
			needed[id] = true
		}
	}
	for id, in := range c.instances {
		if (in.gone || in.unlisted) && !needed[id] {
			delete(c.instances, id)
		}
	}
}

func (c *Core) newHeartbeat(now time.Time) *pb.StreamRecord {
	c.prune()
	for id, sent := range c.sentHeartbeats {
		// A heartbeat that is read back more than a lease after it was sent gives
		// no permission.
		if now.Sub(sent) > c.opts.Lease {
			delete(c.sentHeartbeats, id)
		}
	}
	rec := c.newRecord()
	c.sentHeartbeats[rec.GetId()] = now
	rec.Body = &pb.StreamRecord_Heartbeat{Heartbeat: &pb.Heartbeat{
		ReadTo:      c.position,
		PeerAddress: c.opts.PeerAddress,
		Leaving:     c.leaving && !c.hasPendingClaim(),
	}}
	return rec
}

// hasPendingClaim reports whether a claim of this instance may still enter the
// log. Until then no heartbeat may announce the leave, since owners stop querying
// an instance that has announced it.
func (c *Core) hasPendingClaim() bool {
	for i := range c.partitions {
		if c.partitions[i].claim != nil {
			return true
		}
	}
	return false
}

func (c *Core) newClaim(number int) {
	p := &c.partitions[number]
	rec := c.newRecord()
	rec.Body = &pb.StreamRecord_Claim{Claim: &pb.Claim{Partition: int32(number), ReplacesEpoch: p.epoch}}
	p.claim = &pendingRecord{record: rec}
}

// SuspendPartition ends this instance's permission in a partition, as the first
// step of a release. It returns false if this instance can't release the
// partition: it must be the owner, and its claim must have taken effect, since
// the next claim of a released partition takes effect without the delay that
// protects against an earlier owner.
func (c *Core) SuspendPartition(number int, now time.Time) bool {
	p := &c.partitions[number]
	if p.epoch == noEpoch || p.owner != c.opts.Self || p.released || now.Before(p.effectiveAt) {
		return false
	}
	p.suspended = true
	return true
}

// ResumePartition undoes SuspendPartition unless ReleasePartition has been called
// since.
func (c *Core) ResumePartition(number int) {
	if p := &c.partitions[number]; p.release == nil {
		p.suspended = false
	}
}

// ReleasePartition queues a release record for a partition that SuspendPartition
// suspended and that still has the given epoch. Otherwise it does nothing.
func (c *Core) ReleasePartition(number int, epoch int64) {
	p := &c.partitions[number]
	if !p.suspended || p.epoch != epoch || p.released || p.release != nil {
		return
	}
	rec := c.newRecord()
	rec.Body = &pb.StreamRecord_Release{Release: &pb.Release{Partition: int32(number), Epoch: epoch}}
	p.release = &pendingRecord{record: rec}
}
