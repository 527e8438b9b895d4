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
		c.heartbeat(now, offset, author, rec.GetId(), body.Heartbeat)
	case *pb.StreamRecord_Claim:
		c.claimed(now, offset, author, rec.GetId(), body.Claim)
	case *pb.StreamRecord_Release:
		c.releasedBy(now, author, body.Release)
	}
	c.position = max(c.position, offset+1)
}

// UpdateReadPosition applies the result of a read that returned at the time now: all
// records before position have been applied, and the stream ended at end.
func (c *Core) UpdateReadPosition(now time.Time, position, end int64) {
	if c.lastRead.IsZero() || now.Sub(c.lastRead) > c.opts.Lease/readGapDivisor {
		c.continuousSince = now
	}
	c.lastRead = now
	c.position = max(c.position, position)
	c.end = end
}

// ConfirmAppend marks the own claim or release with this id as confirmed by the log, so
// that Tick doesn't return it again.
func (c *Core) ConfirmAppend(id string) {
	for i := range c.partitions {
		p := &c.partitions[i]
		for _, own := range []*pending{p.claim, p.release} {
			if own != nil && own.record.GetId() == id {
				own.acked = true
			}
		}
	}
}

// heartbeat updates the state of the author from a heartbeat read at the time now.
func (c *Core) heartbeat(now time.Time, offset int64, author ID, id string, hb *pb.Heartbeat) {
	if author == c.opts.Self {
		c.ownHeartbeat(now, offset, id)
	}
	in := c.instance(author)
	if !in.heard {
		in.heard, in.firstSeen, in.joinedAt = true, offset, now
	}
	in.seenAt, in.address = now, hb.GetPeerAddress()
	in.unlisted, in.unlistedSince = false, time.Time{}
	in.leaving = in.leaving || hb.GetLeaving()
	in.readTo = max(in.readTo, hb.GetReadTo())
	if in.ownMark >= 0 && in.readTo > in.ownMark {
		in.knows = true
	}
	for i := range c.partitions {
		p := &c.partitions[i]
		if replacedAt, ok := p.earlier[author]; ok && hb.GetReadTo() > replacedAt {
			delete(p.earlier, author)
		}
	}
}

// ownHeartbeat renews the lease from the send time of an own heartbeat that was
// read back.
func (c *Core) ownHeartbeat(now time.Time, offset int64, id string) {
	if sent, ok := c.heartbeats[id]; ok {
		if sent.After(c.provenAt) {
			c.provenAt = sent
		}
		delete(c.heartbeats, id)
	}
	if c.firstOwnBeat.IsZero() {
		c.firstOwnBeat = now
	}
	if c.readBackAt.IsZero() || now.Sub(c.readBackAt) > c.opts.Lease {
		c.continuousSince = now
	}
	c.readBackAt = now
	for _, in := range c.instances {
		if in.heard && in.ownMark < 0 {
			in.ownMark = offset
		}
	}
}

// claimed applies a claim. It is valid if it replaces the present epoch, and its
// offset then becomes the epoch. A claim of a partition with an owner takes effect
// a lease later, when the permission of that owner has ended.
func (c *Core) claimed(now time.Time, offset int64, author ID, id string, claim *pb.Claim) {
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
	vacant := p.epoch == noEpoch || p.released
	if !vacant && p.owner != author {
		if p.earlier == nil {
			p.earlier = make(map[ID]int64)
		}
		p.earlier[p.owner] = offset
	}
	delete(p.earlier, author)
	p.replaces = p.epoch
	p.owner, p.epoch, p.released, p.clean = author, offset, false, vacant
	p.effectiveAt = now
	if !vacant && !c.off.noDelay {
		p.effectiveAt = now.Add(c.opts.Lease)
	}
	p.vacantAt, p.stopped, p.release = time.Time{}, false, nil
	if p.claim != nil {
		// The own claim replaces an older epoch, so it can't become valid.
		p.claim = nil
	}
}

// releasedBy applies a release. It is valid if the author owns the partition in
// the released epoch.
func (c *Core) releasedBy(now time.Time, author ID, release *pb.Release) {
	number := int(release.GetPartition())
	if number < 0 || number >= len(c.partitions) {
		return
	}
	p := &c.partitions[number]
	if p.owner != author || p.epoch != release.GetEpoch() || p.epoch == noEpoch {
		return
	}
	p.released, p.release, p.vacantAt = true, nil, now
}
