package dispatch

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"gooseberryreel/internal/control"
	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/remote"
	"gooseberryreel/internal/requestid"
)

// withAndWithout runs a check with a mechanism enabled and disabled. The check reports
// whether the guarantee held. It must hold with the mechanism and fail without it.
func withAndWithout(t *testing.T, disabled disabledRules, holds func(t *testing.T, disabled disabledRules) bool) {
	qt.Check(t, holds(t, disabledRules{}), qt.IsTrue, qt.Commentf("guarantee fails with the mechanism enabled"))
	qt.Check(t, holds(t, disabled), qt.IsFalse, qt.Commentf("the check does not detect that the mechanism is disabled"))
}

// inSynctest runs a check with the virtual clock of synctest.
func inSynctest(f func(disabled disabledRules) bool) func(*testing.T, disabledRules) bool {
	return func(t *testing.T, disabled disabledRules) (held bool) {
		synctest.Test(t, func(*testing.T) { held = f(disabled) })
		return held
	}
}

// Guards G1 against more requests at a target than it has slots.
func TestG1Slots(t *testing.T) {
	withAndWithout(t, disabledRules{slots: true}, inSynctest(func(disabled disabledRules) bool {
		target := newFakeTarget("t1")
		target.handle = answerAfter(10 * time.Millisecond)
		in := newInstance("self", nil, target)
		in.disabled = disabled
		ownAllPartitions(in, 2, target)
		var wg sync.WaitGroup
		for range 30 {
			wg.Go(func() { in.Do(context.Background(), newRequest("", "x", time.Second)) })
		}
		wg.Wait()
		return target.maximum <= 2 && target.total() == 30
	}))
}

// Guards G1 against a new owner that sends work to a target while requests of the
// previous owner may still run there.
func TestG1SlotsAfterTakeover(t *testing.T) {
	withAndWithout(t, disabledRules{reserve: true}, inSynctest(func(disabled disabledRules) bool {
		target := newFakeTarget("t1")
		in := newInstance("self", nil, target)
		in.disabled = disabled
		v := copyView(ownAllPartitions(in, 1, target))
		taken := requestid.Partition("t1", testPartitions)
		v.Partitions[taken] = ownPartition(time.Now(), 5, false)
		in.view.Store(v)
		early := in.Do(context.Background(), newRequest("", "x", time.Second))
		none := target.total() == 0 && isNotRun(early)
		time.Sleep(testMaxTimeout)
		late := in.Do(context.Background(), newRequest("", "x", time.Second))
		return none && late.GetFailure() == nil
	}))
}

// Guards G1 against a slot that is released while the target still works on a
// request whose caller disconnected.
func TestG1SlotsOfAbandonedRequests(t *testing.T) {
	withAndWithout(t, disabledRules{abandonedSlots: true}, inSynctest(func(disabled disabledRules) bool {
		target := newFakeTarget("t1")
		var working, maximum atomic.Int64
		target.handle = func(ctx context.Context, _ remote.TargetRequest) (remote.TargetAnswer, error) {
			maximum.Store(max(maximum.Load(), working.Add(1)))
			time.AfterFunc(900*time.Millisecond, func() { working.Add(-1) })
			<-ctx.Done()
			return remote.TargetAnswer{}, &remote.InvokeError{Sent: true, Cause: ctx.Err()}
		}
		in := newInstance("self", nil, target)
		in.disabled = disabled
		ownAllPartitions(in, 1, target)
		for range 3 {
			ctx, disconnect := context.WithTimeout(context.Background(), 100*time.Millisecond)
			req := newRequest("", "x", time.Second)
			req.Idempotent = true
			in.Do(ctx, req)
			disconnect()
		}
		time.Sleep(testMaxTimeout) // until the calls have ended
		return maximum.Load() == 1
	}))
}

// Guards G1 against a slot that is released at the deadline of an idempotent request
// while the target still works on it. The slot must be free once the target answers.
func TestG1SlotsPastDeadline(t *testing.T) {
	withAndWithout(t, disabledRules{detach: true}, inSynctest(func(disabled disabledRules) bool {
		target := newFakeTarget("t1")
		var working, maximum atomic.Int64
		target.handle = func(ctx context.Context, req remote.TargetRequest) (remote.TargetAnswer, error) {
			maximum.Store(max(maximum.Load(), working.Add(1)))
			time.AfterFunc(399*time.Millisecond, func() { working.Add(-1) }) // before the slot is free
			return answerAfter(400*time.Millisecond)(ctx, req)
		}
		in := newInstance("self", nil, target)
		in.disabled = disabled
		ownAllPartitions(in, 1, target)
		answered := 0
		for n := range 10 {
			req := newRequest("", "x", time.Duration(300+300*(n%2))*time.Millisecond)
			req.Idempotent = true
			if in.Do(context.Background(), req).GetFailure() == nil {
				answered++
			}
		}
		time.Sleep(testMaxTimeout) // until the calls have ended
		return maximum.Load() == 1 && answered > 0
	}))
}

// Guards G1 against a slot that is released at the caller's deadline although the
// target was given a later one. The connection makes no progress, so the request is
// abandoned while the target still works on it.
func TestG1SlotsUntilTargetDeadline(t *testing.T) {
	withAndWithout(t, disabledRules{abandonedSlots: true}, inSynctest(func(disabled disabledRules) bool {
		target := newFakeTarget("t1")
		var working, maximum atomic.Int64
		target.handle = func(context.Context, remote.TargetRequest) (remote.TargetAnswer, error) {
			maximum.Store(max(maximum.Load(), working.Add(1)))
			time.AfterFunc(testMaxTimeout-time.Second, func() { working.Add(-1) })
			time.Sleep(500 * time.Millisecond)
			return remote.TargetAnswer{}, &remote.InvokeError{Sent: true, Cause: errors.New("no progress")}
		}
		in := newInstance("self", nil, target)
		in.disabled = disabled
		ownAllPartitions(in, 1, target)
		for range 8 {
			in.Do(context.Background(), newRequest("", "x", time.Second))
		}
		time.Sleep(testMaxTimeout)
		return maximum.Load() == 1 && in.Do(context.Background(), newRequest("", "x", time.Second)).GetFailure().GetStep() == "target"
	}))
}

// Guards against slots that stay reserved although a hand-over states which are in
// use, and guards G1 against a hand-over of an owner before the previous one.
func TestHandOverFreesSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		target := newFakeTarget("t1")
		in := newInstance("self", nil, target)
		v := copyView(ownAllPartitions(in, 2, target))
		p := requestid.Partition("t1", testPartitions)
		in.Do(context.Background(), newRequest("", "x", time.Second))
		v.Partitions[p] = ownPartition(time.Now(), 5, false)
		in.view.Store(v)
		c.Assert(isNotRun(in.Do(context.Background(), newRequest("", "x", 100*time.Millisecond))), qt.IsTrue)
		handOver := func(epoch int64) {
			reply, err := in.HandOver(context.Background(), &pb.HandOverRequest{
				Partition: int32(p), Epoch: epoch, Targets: []*pb.TargetCount{{Target: "t1", InFlight: 1, RemainingMs: 5000}},
			})
			c.Assert(err, qt.IsNil)
			c.Assert(reply.GetAccepted(), qt.IsTrue)
		}
		handOver(0)
		c.Assert(isNotRun(in.Do(context.Background(), newRequest("", "x", 100*time.Millisecond))), qt.IsTrue)
		handOver(1)
		c.Assert(in.Do(context.Background(), newRequest("", "x", time.Second)).GetFailure(), qt.IsNil)
	})
}

// Guards G4 against the loss of an answer that arrives after the deadline.
func TestG4LateAnswer(t *testing.T) {
	withAndWithout(t, disabledRules{detach: true}, inSynctest(func(disabled disabledRules) bool {
		target := newFakeTarget("t1")
		target.handle = answerAfter(3 * time.Second)
		in := newInstance("self", nil, target)
		in.disabled = disabled
		ownAllPartitions(in, 8, target)
		req := newRequest("", "x", time.Second)
		reply := in.Do(context.Background(), req)
		if outcomeOf(reply) != pb.Outcome_OUTCOME_UNKNOWN || reply.GetStatus() != 504 {
			return false
		}
		time.Sleep(3 * time.Second)
		found := in.Find(context.Background(), req.GetRequestId())
		return string(found.GetBody()) == string(answerTo(req.GetRequestId(), req.GetBody()))
	}))
}

// Guards G4 against the answer to another request that was sent with the same id.
func TestG4AnotherBody(t *testing.T) {
	withAndWithout(t, disabledRules{sameBody: true}, inSynctest(func(disabled disabledRules) bool {
		target := newFakeTarget("t1")
		in := newInstance("self", nil, target)
		in.disabled = disabled
		ownAllPartitions(in, 8, target)
		id := newID(5)
		in.Do(context.Background(), newRequest(id, "x", time.Second))
		reply := in.Do(context.Background(), newRequest(id, "y", time.Second))
		return reply.GetStatus() == 409 && len(reply.GetBody()) == 0
	}))
}

// Guards G5 against not_run for a request that an earlier attempt may have run.
func TestG5OutcomeAfterRetry(t *testing.T) {
	withAndWithout(t, disabledRules{retryOutcome: true}, inSynctest(func(disabled disabledRules) bool {
		target := newFakeTarget("t1")
		tries := 0
		target.handle = func(context.Context, remote.TargetRequest) (remote.TargetAnswer, error) {
			tries++
			return remote.TargetAnswer{}, &remote.InvokeError{Sent: tries == 1, Cause: errors.New("connection lost")}
		}
		in := newInstance("self", nil, target)
		in.disabled = disabled
		ownAllPartitions(in, 8, target)
		req := newRequest("", "x", time.Second)
		req.Idempotent = true
		return outcomeOf(in.Do(context.Background(), req)) == pb.Outcome_OUTCOME_UNKNOWN
	}))
}

// Guards G5 against not_run for an id of the caller that another instance ran. The
// instance under test sees no owner of the id's partition, so it can't know.
func TestG5IDThatOthersMayHaveRun(t *testing.T) {
	withAndWithout(t, disabledRules{callerIDOutcome: true}, inSynctest(func(disabled disabledRules) bool {
		target := newFakeTarget("t1")
		owner, other := newInstance("owner", nil, target), newInstance("other", nil, target)
		other.disabled = disabled
		ownAllPartitions(owner, 8, target)
		v := copyView(ownAllPartitions(other, 8, target))
		id := newID(4)
		v.Partitions[requestid.Partition(id, testPartitions)] = control.Partition{Epoch: -1}
		other.view.Store(v)
		ran := owner.Do(context.Background(), newRequest(id, "x", time.Second)).GetFailure() == nil
		reply := other.Do(context.Background(), newRequest(id, "x", time.Second))
		return ran && target.runs(id) == 1 && outcomeOf(reply) == pb.Outcome_OUTCOME_UNKNOWN
	}))
}

// Guards G5 and G6 against an owner whose permission has expired. It must not start
// the request, and it can't state that no other owner ran it.
func TestG6Permission(t *testing.T) {
	withAndWithout(t, disabledRules{permission: true}, inSynctest(func(disabled disabledRules) bool {
		target := newFakeTarget("t1")
		in := newInstance("self", nil, target)
		in.disabled = disabled
		v := copyView(ownAllPartitions(in, 8, target))
		for i := range v.Partitions {
			v.Partitions[i].ActUntil = time.Now().Add(time.Second)
		}
		in.view.Store(v)
		time.Sleep(2 * time.Second)
		reply := in.Do(context.Background(), newRequest(newID(1), "x", time.Second))
		found := in.Find(context.Background(), newID(2))
		unknown := outcomeOf(reply) == pb.Outcome_OUTCOME_UNKNOWN && outcomeOf(found) == pb.Outcome_OUTCOME_UNKNOWN
		return target.total() == 0 && unknown && found.GetStatus() == 503
	}))
}

// Guards G6 against a second run of an id that three instances receive at once.
func TestG6DuplicatesAtThreeInstances(t *testing.T) {
	withAndWithout(t, disabledRules{table: true}, func(t *testing.T, disabled disabledRules) bool {
		target := newFakeTarget("t1")
		target.handle = answerAfter(5 * time.Millisecond)
		list := cluster(t, 3, 8, target)
		for _, in := range list {
			in.disabled = disabled
		}
		once := true
		for k := range uint64(20) {
			id := newID(k)
			var wg sync.WaitGroup
			for i := range 6 {
				in := list[i%3]
				wg.Go(func() {
					reply := in.Do(context.Background(), newRequest(id, "x", testMaxTimeout))
					if string(reply.GetBody()) != string(answerTo(id, []byte("x"))) {
						t.Errorf("%s: %v", in.name, reply.GetFailure())
					}
				})
			}
			wg.Wait()
			once = once && target.runs(id) == 1
		}
		return once
	})
}

// Guards G6 against a new owner that runs an id again that the previous one ran.
func TestG6Takeover(t *testing.T) {
	withAndWithout(t, disabledRules{takeover: true}, inSynctest(func(disabled disabledRules) bool {
		target := newFakeTarget("t1")
		first := newInstance("first", nil, target)
		ownAllPartitions(first, 8, target)
		id := newID(3)
		first.Do(context.Background(), newRequest(id, "x", time.Second))
		time.Sleep(5 * time.Second)
		second := newInstance("second", nil, target)
		second.disabled = disabled
		v := copyView(ownAllPartitions(second, 8, target))
		v.Partitions[requestid.Partition(id, testPartitions)] = ownPartition(time.Now(), 5, true)
		second.view.Store(v)
		reply := second.Do(context.Background(), newRequest(id, "x", time.Second))
		return target.runs(id) == 1 && outcomeOf(reply) == pb.Outcome_OUTCOME_UNKNOWN
	}))
}

// Guards against rejected requests at an instance that has just taken over all its
// partitions: an id that it generates can't have run before. An id of a caller or a
// peer must still be rejected, since an earlier owner may have run it.
func TestTakeoverRuleAcceptsGeneratedIDs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		target := newFakeTarget("t1")
		in := newInstance("self", nil, target)
		v := ownAllPartitions(in, 8, target)
		for i := range v.Partitions {
			v.Partitions[i] = ownPartition(time.Now(), 5, true)
		}
		qt.Check(t, in.Do(context.Background(), newRequest("", "x", time.Second)).GetFailure(), qt.IsNil)
		fromOutside := newRequest(newID(1), "x", time.Second)
		fromPeer := newRequest(newID(2), "x", time.Second)
		fromPeer.Role = pb.ForwardRole_FORWARD_ROLE_HOME // generated by the peer
		forwarded, err := in.Forward(context.Background(), fromPeer)
		qt.Assert(t, err, qt.IsNil)
		for _, reply := range []*pb.ForwardReply{in.Do(context.Background(), fromOutside), forwarded} {
			qt.Check(t, outcomeOf(reply), qt.Equals, pb.Outcome_OUTCOME_UNKNOWN)
			qt.Check(t, reply.GetFailure().GetStep(), qt.Equals, "takeover")
		}
		qt.Check(t, target.total(), qt.Equals, 1)
	})
}

// Guards G6 against a second attempt at a request that a target may have received.
func TestG6NoResend(t *testing.T) {
	withAndWithout(t, disabledRules{resend: true}, inSynctest(func(disabled disabledRules) bool {
		target := newFakeTarget("t1")
		target.handle = func(context.Context, remote.TargetRequest) (remote.TargetAnswer, error) {
			return remote.TargetAnswer{}, &remote.InvokeError{Sent: true, Cause: errors.New("half an answer")}
		}
		in := newInstance("self", nil, target)
		in.disabled = disabled
		ownAllPartitions(in, 8, target)
		reply := in.Do(context.Background(), newRequest("", "x", time.Second))
		return target.total() == 1 && outcomeOf(reply) == pb.Outcome_OUTCOME_UNKNOWN
	}))
}

// Guards G4 against answers that reach the wrong caller when targets answer out of
// order and instances forward requests to each other.
func TestG4OutOfOrderAcrossInstances(t *testing.T) {
	targets := []*fakeTarget{newFakeTarget("t1"), newFakeTarget("t2"), newFakeTarget("t3")}
	for i, f := range targets {
		f.handle = answerAfter(time.Duration(3-i) * time.Millisecond)
	}
	list := cluster(t, 3, 4, targets...)
	var wg sync.WaitGroup
	for i := range 60 {
		in := list[i%3]
		wg.Go(func() {
			req := newRequest("", fmt.Sprintf("body %d", i), testMaxTimeout)
			req.Idempotent = i%2 == 0
			reply := in.Do(context.Background(), req)
			qt.Check(t, string(reply.GetBody()), qt.Equals, string(answerTo(req.GetRequestId(), req.GetBody())))
		})
	}
	wg.Wait()
	for _, f := range targets {
		qt.Check(t, f.maximum <= 4, qt.IsTrue)
	}
}
