package ownership

import (
	"time"

	"gooseberryreel/internal/pb"
)

// ApplyRecord applies one record of the control stream. Records must be applied in
// order; applying one twice has no further effect. Bodies other than heartbeats,
// claims and releases are ignored.
func (c *Core) ApplyRecord(now time.Time, offset int64, rec *pb.StreamRecord) {
	author := ID{Name: rec.GetAuthor(), Incarnation: rec.GetIncarnation()}
	if author.Name == c.opts.Self.Name && author.Incarnation > c.opts.Self.Incarnation {
		c.superseded = true
	}
	switch body := rec.GetBody().(type) {
	case *pb.StreamRecord_Heartbeat:
		c.applyHeartbeat(now, offset, author, rec.GetId(), body.Heartbeat)
	case *pb.StreamRecord_Claim:
		c.applyClaim(now, offset, author, rec.GetId(), body.Claim)
	case *pb.StreamRecord_Release:
		c.applyRelease(now, author, body.Release)
	}
	c.position = max(c.position, offset+1)
}

// UpdateReadPosition applies the result of a read that returned at the time now:
// all records before position have been applied, and the stream ended at end.
func (c *Core) UpdateReadPosition(now time.Time, position, end int64) {
	if c.lastReadAt.IsZero() || now.Sub(c.lastReadAt) > c.opts.Lease/readGapDivisor {
		c.continuousSince = now
	}
	c.lastReadAt = now
	c.position = max(c.position, position)
	c.end = end
}

// ConfirmAppend marks this instance's claim or release with an id as confirmed by
// the log, so that Tick doesn't return it again.
func (c *Core) ConfirmAppend(id string) {
	for i := range c.partitions {
		p := &c.partitions[i]
		for _, own := range []*pendingRecord{p.claim, p.release} {
			if own != nil && own.record.GetId() == id {
				own.acked = true
			}
		}
	}
}

// applyHeartbeat updates the state of the author from a heartbeat read at the
// time now.
func (c *Core) applyHeartbeat(now time.Time, offset int64, author ID, id string, hb *pb.Heartbeat) {
	if author == c.opts.Self {
		c.applyOwnHeartbeat(now, offset, id)
	}
	in := c.instance(author)
	if !in.heartbeatSeen {
		in.heartbeatSeen, in.firstHeartbeatOffset, in.joinedAt = true, offset, now
	}
	in.lastHeartbeatAt, in.address = now, hb.GetPeerAddress()
	in.unlisted, in.unlistedSince = false, time.Time{}
	in.leaving = in.leaving || hb.GetLeaving()
	in.readTo = max(in.readTo, hb.GetReadTo())
	if in.ownHeartbeatOffset >= 0 && in.readTo > in.ownHeartbeatOffset {
		in.knowsSelf = true
	}
	for i := range c.partitions {
		p := &c.partitions[i]
		if replacedAt, ok := p.earlierOwners[author]; ok && hb.GetReadTo() > replacedAt {
			delete(p.earlierOwners, author)
		}
	}
}

// applyOwnHeartbeat renews the lease from the send time of a heartbeat of this
// instance that was read back.
func (c *Core) applyOwnHeartbeat(now time.Time, offset int64, id string) {
	if sent, ok := c.sentHeartbeats[id]; ok {
		if sent.After(c.leaseRenewedAt) {
			c.leaseRenewedAt = sent
		}
		delete(c.sentHeartbeats, id)
	}
	if c.firstOwnHeartbeatAt.IsZero() {
		c.firstOwnHeartbeatAt = now
	}
	if c.lastReadBackAt.IsZero() || now.Sub(c.lastReadBackAt) > c.opts.Lease {
		c.continuousSince = now
	}
	c.lastReadBackAt = now
	for _, in := range c.instances {
		if in.heartbeatSeen && in.ownHeartbeatOffset < 0 {
			in.ownHeartbeatOffset = offset
		}
	}
}

// applyClaim applies a claim. It is valid if it replaces the present epoch, and
// its offset then becomes the epoch. If the previous owner has not released the
// partition, the claim takes effect a lease later, when the permission of that
// owner has ended.
func (c *Core) applyClaim(now time.Time, offset int64, author ID, id string, claim *pb.Claim) {
	number := int(claim.GetPartition())
	if number < 0 || number >= len(c.partitions) {
		return
	}
	p := &c.partitions[number]
	if p.claim != nil && p.claim.record.GetId() == id {
		p.claim = nil
	}
	if claim.GetReplacesEpoch() != p.epoch {
		return
	}
	c.instance(author)
	unowned := p.epoch == noEpoch || p.released
	if !unowned && p.owner != author {
		if p.earlierOwners == nil {
			p.earlierOwners = make(map[ID]int64)
		}
		p.earlierOwners[p.owner] = offset
	}
	delete(p.earlierOwners, author)
	p.previousEpoch = p.epoch
	p.owner, p.epoch, p.released, p.clean = author, offset, false, unowned
	p.effectiveAt = now
	if !unowned && !c.disabled.claimDelay {
		p.effectiveAt = now.Add(c.opts.Lease)
	}
	p.claimableSince, p.suspended, p.release = time.Time{}, false, nil
	if p.claim != nil {
		// This instance's claim replaces an older epoch, so it can't become valid.
		p.claim = nil
	}
}

// applyRelease applies a release. It is valid if the author owns the partition in
// the released epoch.
func (c *Core) applyRelease(now time.Time, author ID, release *pb.Release) {
	number := int(release.GetPartition())
	if number < 0 || number >= len(c.partitions) {
		return
	}
	p := &c.partitions[number]
	if p.owner != author || p.epoch != release.GetEpoch() || p.epoch == noEpoch {
		return
	}
	p.released, p.release, p.claimableSince = true, nil, now
}
