package daemon

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/store"
)

// interruptedStore calls before ahead of the first append.
type interruptedStore struct {
	store.Store
	before func()
}

func (s *interruptedStore) Append(ctx context.Context, p store.Partition, records []store.Record, o store.AppendOptions) (int64, error) {
	if s.before != nil {
		s.before()
		s.before = nil
	}
	return s.Store.Append(ctx, p, records, o)
}

// Guards against a task that runs twice because a claim that is repeated after a conflict
// names the earlier owner's lease bounds, witnesses or idleness as they were before the
// conflict: the earlier owner may have lifted the bounds and granted leases since.
func TestRepeatedClaimNamesNewestRecordOfEarlierOwner(t *testing.T) {
	c := qt.New(t)
	s := newDeployment(t, 1, 1, shortTask)
	term := s.owner().currentTerm()
	set := func(idle bool, bounds ...*pb.StoredLeaseBound) {
		<-term.updateRecord(func(r *pb.OwnerRecord) { r.Idle, r.LeaseBounds = idle, bounds })
	}
	set(true, &pb.StoredLeaseBound{Worker: "w", LeftMs: 1})
	conflicts := &interruptedStore{Store: s.instances[0].store, before: func() { set(false) }}
	candidate := &Instance{settings: s.instances[0].settings, log: s.instances[0].log, store: conflicts, listeners: s.instances[0].listeners}
	state, err := candidate.readAndClaim(t.Context())
	c.Assert(err, qt.IsNil)
	earlier := state.owner.GetEarlier()
	c.Assert(earlier, qt.HasLen, 1)
	c.Check(earlier[0].GetEpoch(), qt.Equals, term.epoch)
	c.Check(earlier[0].GetLeaseBounds(), qt.HasLen, 0)
	c.Check(earlier[0].GetIdle(), qt.IsFalse)
}
