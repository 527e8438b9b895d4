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

// Guards callers against an unknown outcome after a planned hand-over, and G6
// against an owner that trusts a hand-over of another epoch, of a partition that
// was not released, or of ids that the previous owner itself was not sure of.
func TestTakeoverRuleAfterHandOver(t *testing.T) {
	for _, test := range []struct {
		name     string
		released int64 // epoch of the hand-over
		replaces int64 // epoch that the new owner's claim replaced
		clean    bool
		// settled is how long the previous owner had the partition.
		settled time.Duration
		unknown bool
	}{
		{name: "released and handed over", released: 1, replaces: 1, clean: true, settled: time.Hour},
		{name: "another owner in between", released: 1, replaces: 5, clean: true, settled: time.Hour, unknown: true},
		{name: "not released", released: 1, replaces: 1, settled: time.Hour, unknown: true},
		{name: "previous owner in its own skew", released: 1, replaces: 1, clean: true, settled: time.Second, unknown: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				target := newFakeTarget("t1")
				first, second := newInstance("first", nil, target), newInstance("second", nil, target)
				v := copyView(alone(first, 8, target))
				w := copyView(alone(second, 8, target))
				id := newID(1)
				p := requestid.Partition(id, testPartitions)
				v.Partitions[p] = ownPartition(time.Now().Add(-test.settled), 1, false)
				first.view.Store(v)
				_, err := second.HandOver(context.Background(), first.ExportPartition(p, test.released))
				c.Assert(err, qt.IsNil)
				w.Partitions[p] = ownPartition(time.Now(), 9, test.clean)
				w.Partitions[p].PreviousEpoch = test.replaces
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
