package dispatch

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/remote"
	"gooseberryreel/internal/requestid"
)

// Guards G7 against work for a target that said it is leaving while the list
// still shows it as live.
func TestG7LeavingTarget(t *testing.T) {
	both(t, switches{leaving: true}, inBubble(func(off switches) bool {
		leaving, staying := newFakeTarget("t1"), newFakeTarget("t2")
		leaving.behave = func(_ context.Context, req remote.TargetRequest) (remote.TargetAnswer, error) {
			return remote.TargetAnswer{Status: 200, Body: answerTo(req.ID, req.Body), Closing: true}, nil
		}
		in := newInstance("self", nil, leaving, staying)
		in.off = off
		alone(in, 8, leaving, staying)
		failed := 0
		for range 40 {
			if in.Do(context.Background(), newRequest("", "x", time.Second)).GetFailure() != nil {
				failed++
			}
		}
		return leaving.total() <= 1 && failed == 0
	}))
}

// Guards G7 against work for a target that told the previous owner, or an owner
// before it, that it is leaving: the report passes through a peer that never owned
// the target, does not last longer for it, and ends with its time.
func TestG7LeavingTargetReportedByPeer(t *testing.T) {
	both(t, switches{leaving: true}, inBubble(func(off switches) bool {
		leaving, staying := newFakeTarget("t1"), newFakeTarget("t2")
		leaving.behave = func(_ context.Context, req remote.TargetRequest) (remote.TargetAnswer, error) {
			return remote.TargetAnswer{Status: 200, Body: answerTo(req.ID, req.Body), Closing: true}, nil
		}
		first, between, next := newInstance("first", nil, leaving), newInstance("between", nil), newInstance("next", nil, leaving, staying)
		alone(first, 8, leaving)
		first.Do(context.Background(), newRequest("", "x", time.Second))
		start := time.Now()
		between.MergeLeavingTargets(time.Now(), first.LeavingTargets(time.Now()))
		time.Sleep(5 * time.Second)
		next.off = off
		next.MergeLeavingTargets(time.Now(), between.LeavingTargets(time.Now()))
		alone(next, 8, leaving, staying)
		send := func() int {
			before := leaving.total()
			for range 20 {
				next.Do(context.Background(), newRequest("", "x", time.Second))
			}
			return leaving.total() - before
		}
		early := send()
		next.MergeLeavingTargets(time.Now(), between.LeavingTargets(time.Now()))
		time.Sleep(time.Until(start.Add(leavingHold + time.Second)))
		return early == 0 && send() > 0 && len(between.LeavingTargets(time.Now())) == 0
	}))
}

// Guards G7 and G8 against a failed request when a target refuses work as it
// leaves: the target did not run the request, so another one can.
func TestLeavingTargetRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		leaving, staying := newFakeTarget("t1"), newFakeTarget("t2")
		leaving.behave = func(context.Context, remote.TargetRequest) (remote.TargetAnswer, error) {
			return remote.TargetAnswer{}, &remote.InvokeError{Sent: true, NotRun: true, Leaving: true, Cause: errors.New("503")}
		}
		in := newInstance("self", nil, leaving, staying)
		alone(in, 8, leaving, staying)
		for range 40 {
			qt.Assert(t, in.Do(context.Background(), newRequest("", "x", time.Second)).GetFailure(), qt.IsNil)
		}
		qt.Assert(t, leaving.total() <= 1, qt.IsTrue)
	})
}

// Guards G8 against a stop that cuts a request whose caller has left.
func TestG8Drain(t *testing.T) {
	both(t, switches{detach: true}, inBubble(func(off switches) bool {
		target := newFakeTarget("t1")
		target.behave = answerAfter(time.Second)
		in := newInstance("self", nil, target)
		in.off = off
		alone(in, 8, target)
		req := newRequest("", "x", 5*time.Second)
		ctx, leave := context.WithCancel(context.Background())
		time.AfterFunc(100*time.Millisecond, leave)
		in.Do(ctx, req)
		if err := in.Drain(context.Background()); err != nil {
			return false
		}
		return in.Find(context.Background(), req.GetRequestId()).GetFailure() == nil
	}))
}

// Guards G1 and G7 against work that an instance starts after it has handed over
// the counts of a partition, while its permission by the view goes on.
func TestG1WorkAfterHandOver(t *testing.T) {
	both(t, switches{export: true}, inBubble(func(off switches) bool {
		target := newFakeTarget("t1")
		target.behave = answerAfter(time.Second)
		before, after := newInstance("before", nil, target), newInstance("after", nil, target)
		before.off = off
		alone(before, 1, target)
		v := copyView(alone(after, 1, target))
		p := requestid.Partition("t1", testPartitions)
		v.Partitions[p] = ownPartition(time.Now(), 2, true)
		after.view.Store(v)
		for n := range testPartitions {
			h := before.ExportPartition(n, 1)
			if n == p {
				_, _ = after.HandOver(context.Background(), h) // it returns no error
			}
		}
		var wg sync.WaitGroup
		for _, in := range []*instance{before, after} {
			wg.Go(func() {
				req := newRequest("", "x", 3*time.Second)
				req.Idempotent = true
				in.Do(context.Background(), req)
			})
		}
		wg.Wait()
		return target.maximum == 1 && target.total() == 1
	}))
}

// Guards G7 and G8 against work under a released epoch and against the loss of
// what was in flight at the release.
func TestExportStopsWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		target := newFakeTarget("t1")
		target.behave = answerAfter(time.Second)
		in := newInstance("self", nil, target)
		alone(in, 8, target)
		req := newRequest("", "x", 5*time.Second)
		done := make(chan *pb.ForwardReply)
		go func() { done <- in.Do(context.Background(), req) }()
		synctest.Wait()
		held, flying := 0, 0
		for p := range testPartitions {
			h := in.ExportPartition(p, 1)
			for _, n := range h.GetTargets() {
				held += int(n.GetInFlight())
			}
			for _, a := range h.GetAnswers() {
				if a.GetInFlight() && a.GetRequestId() == req.GetRequestId() {
					flying++
				}
			}
		}
		c.Assert([]int{held, flying}, qt.DeepEquals, []int{1, 1})
		c.Assert(isNotRun(in.Do(context.Background(), newRequest("", "y", time.Second))), qt.IsTrue)
		c.Assert((<-done).GetFailure(), qt.IsNil)
		c.Assert(target.total(), qt.Equals, 1)
	})
}
