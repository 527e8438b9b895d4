package dispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/requestid"
)

// Guards against an unknown outcome after a planned hand-over, and G6 against an owner
// that accepts a hand-over of another epoch, of a partition that was not released, or
// for ids that the previous owner was itself unsure of.
func TestTakeoverRuleAfterHandOver(t *testing.T) {
	for _, test := range []struct {
		name          string
		handOverEpoch int64 // epoch of the hand-over
		previousEpoch int64 // epoch that the new owner's claim replaced
		clean         bool
		// ownedFor is how long the previous owner has owned the partition.
		ownedFor time.Duration
		unknown  bool
	}{
		{name: "released and handed over", handOverEpoch: 1, previousEpoch: 1, clean: true, ownedFor: time.Hour},
		{name: "another owner in between", handOverEpoch: 1, previousEpoch: 5, clean: true, ownedFor: time.Hour, unknown: true},
		{name: "not released", handOverEpoch: 1, previousEpoch: 1, ownedFor: time.Hour, unknown: true},
		{name: "previous owner in its own skew", handOverEpoch: 1, previousEpoch: 1, clean: true, ownedFor: time.Second, unknown: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				target := newFakeTarget("t1")
				first, second := newInstance("first", nil, target), newInstance("second", nil, target)
				v := copyView(ownAllPartitions(first, 8, target))
				w := copyView(ownAllPartitions(second, 8, target))
				id := newID(1)
				p := requestid.Partition(id, testPartitions)
				v.Partitions[p] = ownPartition(time.Now().Add(-test.ownedFor), 1, false)
				first.view.Store(v)
				_, err := second.HandOver(context.Background(), first.ExportPartition(p, test.handOverEpoch))
				c.Assert(err, qt.IsNil)
				w.Partitions[p] = ownPartition(time.Now(), 9, test.clean)
				w.Partitions[p].PreviousEpoch = test.previousEpoch
				second.view.Store(w)
				reply := second.Do(context.Background(), newRequest(id, "x", time.Second))
				if test.unknown {
					c.Assert(outcomeOf(reply), qt.Equals, pb.Outcome_OUTCOME_UNKNOWN)
					c.Assert(target.total(), qt.Equals, 0)
					return
				}
				c.Assert(reply.GetFailure(), qt.IsNil)
			})
		})
	}
}
