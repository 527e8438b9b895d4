package daemon

import (
	"time"

	"google.golang.org/protobuf/proto"

	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/scheduler"
)

// recordLeaseBounds puts the lease bounds of a batch into the owner's record. A later owner
// counts them from the moment at which this one stopped acting, so that they must not be
// taken after that: without permission to act the record gets none.
func (o *ownerTerm) recordLeaseBounds(b *scheduler.Batch) {
	if !b.LeaseBoundsTaken() {
		return
	}
	o.record = proto.CloneOf(o.record)
	o.record.LeaseBounds = nil
	if o.mayAct() {
		o.record.LeaseBounds = encodeLeaseBounds(b.LeaseBounds)
	}
	o.recordQueued = append(o.recordQueued, make(chan struct{}))
}

func encodeLeaseBounds(bounds []scheduler.LeaseBound) []*pb.StoredLeaseBound {
	out := make([]*pb.StoredLeaseBound, 0, len(bounds))
	for _, b := range bounds {
		out = append(out, &pb.StoredLeaseBound{Worker: b.Worker, LeftMs: b.Left.Milliseconds() + 1})
	}
	return out
}

func decodeLeaseBounds(stored []*pb.StoredLeaseBound) map[string]time.Duration {
	out := make(map[string]time.Duration, len(stored))
	for _, b := range stored {
		out[b.GetWorker()] = time.Duration(b.GetLeftMs()) * time.Millisecond
	}
	return out
}

// grantingOwners returns the earlier owners that may have granted leases. When they
// stopped is not known yet.
func grantingOwners(records []*pb.OwnerRecord) []scheduler.EarlierOwner {
	var list []scheduler.EarlierOwner
	for _, r := range records {
		if !r.GetIdle() {
			list = append(list, scheduler.EarlierOwner{Left: decodeLeaseBounds(r.GetLeaseBounds())})
		}
	}
	return list
}
