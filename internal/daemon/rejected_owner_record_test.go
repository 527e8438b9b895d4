package daemon

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/store"
)

// rejectingStore rejects appends with the owner's record.
type rejectingStore struct{ store.Store }

func (s *rejectingStore) Append(_ context.Context, _ store.Partition, records []store.Record, _ store.AppendOptions) (int64, error) {
	for _, r := range records {
		if r.Key == ownerKey {
			return 0, errors.WithStack(store.ErrRejected)
		}
	}
	return 1, nil
}

// Guards against leases that are granted although the store has rejected the record that
// must precede them: the one without a lease bound, or the first one of a term.
func TestRejectedOwnerRecordAllowsNoLeases(t *testing.T) {
	s := newDeployment(t, 1, 1, shortTask)
	owner := s.owner()
	ctx, end := context.WithCancel(t.Context())
	defer end()
	o := &ownerTerm{
		instance: &Instance{store: &rejectingStore{}, settings: owner.settings, log: owner.log, metrics: owner.metrics, limits: owner.limits},
		ctx:      ctx, end: end, events: make(chan event, 1), record: &pb.OwnerRecord{},
	}
	stored := make(chan struct{})
	o.commitBatch(silentBatch(), o.record, []chan struct{}{stored})
	qt.Check(t, o.events, qt.HasLen, 0)
	select {
	case <-stored:
		t.Error("the record counts as stored")
	default:
	}
}

// Guards against a claim that the store rejects for good, since it repeats the lease bounds
// of many earlier owners.
func TestClaimLimitsLeaseBoundsOfEarlierOwners(t *testing.T) {
	previous := &pb.OwnerRecord{}
	for n := range 10 {
		var bounds []*pb.StoredLeaseBound
		for range maxEarlierLeaseBounds * 3 / 4 {
			bounds = append(bounds, &pb.StoredLeaseBound{Worker: "i-0123456789", LeftMs: 6000})
		}
		previous = &pb.OwnerRecord{Epoch: int64(n), LeaseBounds: bounds, Earlier: earlierOwners(previous)}
	}
	list := earlierOwners(previous)
	qt.Check(t, list[len(list)-1].GetLeaseBounds(), qt.HasLen, maxEarlierLeaseBounds*3/4)
	qt.Check(t, proto.Size(&pb.OwnerRecord{Earlier: list}) < 1<<17, qt.IsTrue)
}
