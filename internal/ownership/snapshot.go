package ownership

import (
	"sort"

	"gooseberryreel/internal/pb"
)

// Position returns the next offset of the stream to read.
func (c *Core) Position() int64 { return c.position }

// Snapshot returns the ownership after the records before Position. Every instance
// computes the same result from the same records.
func (c *Core) Snapshot() []*pb.PartitionOwner {
	var owners []*pb.PartitionOwner
	for i := range c.partitions {
		p := &c.partitions[i]
		if p.epoch == noEpoch {
			continue
		}
		owner := &pb.PartitionOwner{
			Partition: int32(i), Owner: p.owner.Name, Incarnation: p.owner.Incarnation,
			Epoch: p.epoch, Released: p.released,
		}
		for id, at := range p.earlierOwners {
			owner.Earlier = append(owner.Earlier, &pb.EarlierOwner{Owner: id.Name, Incarnation: id.Incarnation, ReplacedAt: at})
		}
		sort.Slice(owner.Earlier, func(a, b int) bool { return owner.Earlier[a].ReplacedAt < owner.Earlier[b].ReplacedAt })
		owners = append(owners, owner)
	}
	return owners
}

// Restore sets the state to a snapshot of the records before the offset coversTo.
// Only a new Core may be restored: a running instance that did not read trimmed
// records may lack the first heartbeat of another one, so it has to restart with a
// new incarnation.
func (c *Core) Restore(coversTo int64, owners []*pb.PartitionOwner) {
	c.position = coversTo
	for _, owner := range owners {
		number := int(owner.GetPartition())
		if number < 0 || number >= len(c.partitions) {
			continue
		}
		p := &c.partitions[number]
		p.owner = ID{Name: owner.GetOwner(), Incarnation: owner.GetIncarnation()}
		p.epoch, p.released = owner.GetEpoch(), owner.GetReleased()
		c.instance(p.owner)
		p.earlierOwners = make(map[ID]int64)
		for _, e := range owner.GetEarlier() {
			id := ID{Name: e.GetOwner(), Incarnation: e.GetIncarnation()}
			p.earlierOwners[id] = e.GetReplacedAt()
			c.instance(id)
		}
	}
}
