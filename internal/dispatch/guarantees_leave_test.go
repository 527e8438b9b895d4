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

// Guards G7 against work for a target that reported that it is leaving while the
// list still shows it as live.
func TestG7LeavingTarget(t *testing.T) {
	withAndWithout(t, disabledRules{leaving: true}, inSynctest(func(disabled disabledRules) bool {
		leaving, staying := newFakeTarget("t1"), newFakeTarget("t2")
		leaving.handle = func(_ context.Context, req remote.TargetRequest) (remote.TargetAnswer, error) {
			return remote.TargetAnswer{Status: 200, Body: answerTo(req.ID, req.Body), Closing: true}, nil
		}
		in := newInstance("self", nil, leaving, staying)
		in.disabled = disabled
		ownAllPartitions(in, 8, leaving, staying)
		failed := 0
		for range 40 {
			if in.Do(context.Background(), newRequest("", "x", time.Second)).GetFailure() != nil {
				failed++
			}
		}
		return leaving.total() <= 1 && failed == 0
	}))
}

// Guards G7 against work for a target that reported to an earlier owner that it is
// leaving. The report reaches the new owner through a peer that never owned the
// target; this must not extend it, and it must expire.
func TestG7LeavingTargetReportedByPeer(t *testing.T) {
	withAndWithout(t, disabledRules{leaving: true}, inSynctest(func(disabled disabledRules) bool {
		leaving, staying := newFakeTarget("t1"), newFakeTarget("t2")
		leaving.handle = func(_ context.Context, req remote.TargetRequest) (remote.TargetAnswer, error) {
			return remote.TargetAnswer{Status: 200, Body: answerTo(req.ID, req.Body), Closing: true}, nil
		}
		first, relay, next := newInstance("first", nil, leaving), newInstance("between", nil), newInstance("next", nil, leaving, staying)
		ownAllPartitions(first, 8, leaving)
		first.Do(context.Background(), newRequest("", "x", time.Second))
		start := time.Now()
		relay.MergeLeavingTargets(time.Now(), first.LeavingTargets(time.Now()))
		time.Sleep(5 * time.Second)
		next.disabled = disabled
		next.MergeLeavingTargets(time.Now(), relay.LeavingTargets(time.Now()))
		ownAllPartitions(next, 8, leaving, staying)
		send := func() int {
			before := leaving.total()
			for range 20 {
				next.Do(context.Background(), newRequest("", "x", time.Second))
			}
			return leaving.total() - before
		}
		early := send()
		next.MergeLeavingTargets(time.Now(), relay.LeavingTargets(time.Now()))
		time.Sleep(time.Until(start.Add(leavingExclusion + time.Second)))
		return early == 0 && send() > 0 && len(relay.LeavingTargets(time.Now())) == 0
	}))
}

// Guards G7 and G8 against a failed request when a leaving target refuses work. The
// target did not run the request, so another one can.
func TestLeavingTargetRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		leaving, staying := newFakeTarget("t1"), newFakeTarget("t2")
		leaving.handle = func(context.Context, remote.TargetRequest) (remote.TargetAnswer, error) {
			return remote.TargetAnswer{}, &remote.InvokeError{Sent: true, NotRun: true, Leaving: true, Cause: errors.New("503")}
		}
		in := newInstance("self", nil, leaving, staying)
		ownAllPartitions(in, 8, leaving, staying)
		for range 40 {
			qt.Assert(t, in.Do(context.Background(), newRequest("", "x", time.Second)).GetFailure(), qt.IsNil)
		}
		qt.Assert(t, leaving.total() <= 1, qt.IsTrue)
	})
}

// Guards G8 against a drain that does not wait for a request whose caller disconnected.
func TestG8Drain(t *testing.T) {
	withAndWithout(t, disabledRules{detach: true}, inSynctest(func(disabled disabledRules) bool {
		target := newFakeTarget("t1")
		target.handle = answerAfter(time.Second)
		in := newInstance("self", nil, target)
		in.disabled = disabled
		ownAllPartitions(in, 8, target)
		req := newRequest("", "x", 5*time.Second)
		ctx, disconnect := context.WithCancel(context.Background())
		time.AfterFunc(100*time.Millisecond, disconnect)
		in.Do(ctx, req)
		if err := in.Drain(context.Background()); err != nil {
			return false
		}
		return in.Find(context.Background(), req.GetRequestId()).GetFailure() == nil
	}))
}

// Guards G1 and G7 against work that an instance starts after it has exported a
// partition, while its view still permits it to act.
func TestG1WorkAfterHandOver(t *testing.T) {
	withAndWithout(t, disabledRules{export: true}, inSynctest(func(disabled disabledRules) bool {
		target := newFakeTarget("t1")
		target.handle = answerAfter(time.Second)
		before, after := newInstance("before", nil, target), newInstance("after", nil, target)
		before.disabled = disabled
		ownAllPartitions(before, 1, target)
		v := copyView(ownAllPartitions(after, 1, target))
		p := requestid.Partition("t1", testPartitions)
		v.Partitions[p] = ownPartition(time.Now(), 2, true)
		after.view.Store(v)
		for n := range testPartitions {
			h := before.ExportPartition(n, 1)
			if n == p {
				_, _ = after.HandOver(context.Background(), h) // never returns an error
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

// Guards G7 and G8 against new work under a released epoch, and against the loss of
// requests that are in flight at the release.
func TestExportStopsWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		target := newFakeTarget("t1")
		target.handle = answerAfter(time.Second)
		in := newInstance("self", nil, target)
		ownAllPartitions(in, 8, target)
		req := newRequest("", "x", 5*time.Second)
		done := make(chan *pb.ForwardReply)
		go func() { done <- in.Do(context.Background(), req) }()
		synctest.Wait()
		targetInFlight, answersInFlight := 0, 0
		for p := range testPartitions {
			h := in.ExportPartition(p, 1)
			for _, n := range h.GetTargets() {
				targetInFlight += int(n.GetInFlight())
			}
			for _, a := range h.GetAnswers() {
				if a.GetInFlight() && a.GetRequestId() == req.GetRequestId() {
					answersInFlight++
				}
			}
		}
		c.Assert([]int{targetInFlight, answersInFlight}, qt.DeepEquals, []int{1, 1})
		c.Assert(isNotRun(in.Do(context.Background(), newRequest("", "y", time.Second))), qt.IsTrue)
		c.Assert((<-done).GetFailure(), qt.IsNil)
		c.Assert(target.total(), qt.Equals, 1)
	})
}
