package dispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/remote"
)

func ms(n int) time.Time { return time.UnixMilli(int64(n)) }

// Guards G6 against a full table that evicts an id and then accepts it again, and
// against a table that grows without bound.
func TestTableEvictsSafely(t *testing.T) {
	c := qt.New(t)
	var totals storedTotals
	tb := newTable(tableLimits{maxCount: 2, maxBytes: 10, maxAge: time.Second}, &totals)
	begin := func(id string, created int) (*entry, beginResult) {
		return tb.begin(newEntry(id, ms(created), ms(created), bodyDigest{}), ms(created), false)
	}
	a, r := begin("a", 100)
	c.Assert(r, qt.Equals, beginNew)
	b, _ := begin("b", 101)
	_, r = begin("c", 102)
	c.Assert(r, qt.Equals, beginFull, qt.Commentf("requests in flight are never evicted"))
	c.Assert(tb.finish(a, &pb.ForwardReply{Status: 200, Body: make([]byte, 8)}), qt.Equals, 0)
	c.Assert(tb.finish(b, &pb.ForwardReply{Status: 200, Body: make([]byte, 8)}), qt.Equals, 1)
	c.Assert(outcomeOf(tb.replyOf(a)), qt.Equals, pb.Outcome_OUTCOME_RAN)
	_, r = begin("c", 102)
	c.Assert(r, qt.Equals, beginNew)
	_, r = begin("a", 100)
	c.Assert(r, qt.Equals, beginEvicted)
	fresh, r := tb.begin(newEntry("fresh", ms(100), ms(102), bodyDigest{}), ms(102), true)
	c.Assert(r, qt.Equals, beginNew, qt.Commentf("a generated id is not rejected for its creation time"))
	tb.discard(fresh)
	c.Assert(totals.count.Load() <= 2, qt.IsTrue)
	_, r = begin("d", 1200) // b has expired; c is in flight
	c.Assert(r, qt.Equals, beginNew)
	c.Assert(totals.bytes.Load(), qt.Equals, int64(0))
}

// Guards G6 against a second run of an id that is used with another body, and G4
// against the answer to the wrong one of the two requests.
func TestSameIDWithAnotherBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		target := newFakeTarget("t1")
		in := newInstance("self", nil, target)
		ownAllPartitions(in, 8, target)
		id := newID(1)
		first := in.Do(context.Background(), newRequest(id, "x", time.Second))
		again := in.Do(context.Background(), newRequest(id, "x", time.Second))
		other := in.Do(context.Background(), newRequest(id, "y", time.Second))
		c.Assert(string(again.GetBody()), qt.Equals, string(first.GetBody()))
		c.Assert(other.GetStatus(), qt.Equals, int32(409))
		c.Assert(target.runs(id), qt.Equals, 1)
	})
}

// Guards against running ids that no owner may run: ahead of the clock, older than
// the retention, or malformed.
func TestRejectedIDs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		target := newFakeTarget("t1")
		in := newInstance("self", nil, target)
		ownAllPartitions(in, 8, target)
		old := newID(1)
		time.Sleep(2 * time.Minute)
		status := func(id string) int32 {
			return in.Do(context.Background(), newRequest(id, "x", time.Second)).GetStatus()
		}
		c.Assert(status(old), qt.Equals, int32(410))
		c.Assert(status("perth-hills.0fffffff-ffff-7abc-8def-0123456789ab"), qt.Equals, int32(400))
		c.Assert(status("nonsense"), qt.Equals, int32(400))
		req := newRequest(newID(2), "x", time.Second)
		req.Service = "withdrawn"
		reply := in.Do(context.Background(), req)
		c.Assert(reply.GetStatus(), qt.Equals, int32(404))
		c.Assert(outcomeOf(reply), qt.Equals, pb.Outcome_OUTCOME_UNKNOWN, qt.Commentf("the id may have run before"))
		c.Assert(target.total(), qt.Equals, 0)
	})
}

// Guards G4, G5 and G6 against a faulty target. The outcome in the reply must be
// true, a request that may have run is sent again only if it is idempotent, and such
// a request succeeds at another target.
func TestMisbehavingTarget(t *testing.T) {
	fail := func(e remote.InvokeError) func(context.Context, remote.TargetRequest) (remote.TargetAnswer, error) {
		return func(context.Context, remote.TargetRequest) (remote.TargetAnswer, error) {
			e.Cause = errors.New("injected")
			return remote.TargetAnswer{}, &e
		}
	}
	silent := func(ctx context.Context, _ remote.TargetRequest) (remote.TargetAnswer, error) {
		<-ctx.Done()
		return remote.TargetAnswer{}, &remote.InvokeError{Sent: true, Cause: ctx.Err()}
	}
	huge := func(context.Context, remote.TargetRequest) (remote.TargetAnswer, error) {
		return remote.TargetAnswer{Status: 200, Body: make([]byte, 2<<20)}, nil
	}
	tooLarge := func(context.Context, remote.TargetRequest) (remote.TargetAnswer, error) {
		return remote.TargetAnswer{}, &remote.InvokeError{Sent: true, Cause: errors.Wrap(remote.ErrAnswerTooLarge, "injected")}
	}
	for _, test := range []struct {
		name      string
		handle    func(context.Context, remote.TargetRequest) (remote.TargetAnswer, error)
		want      pb.Outcome // of a request that is not idempotent
		retryable bool       // whether another target may be tried
	}{
		{"half an answer", fail(remote.InvokeError{Sent: true}), pb.Outcome_OUTCOME_UNKNOWN, false},
		{"answer to another request", fail(remote.InvokeError{Sent: true}), pb.Outcome_OUTCOME_UNKNOWN, false},
		{"connection refused", fail(remote.InvokeError{}), pb.Outcome_OUTCOME_NOT_RUN, true},
		{"stated not run", fail(remote.InvokeError{Sent: true, NotRun: true}), pb.Outcome_OUTCOME_NOT_RUN, true},
		{"never", silent, pb.Outcome_OUTCOME_UNKNOWN, false},
		{"too large", huge, pb.Outcome_OUTCOME_RAN, false},
		{"stated too large", tooLarge, pb.Outcome_OUTCOME_RAN, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				bad := newFakeTarget("t1")
				bad.handle = test.handle
				in := newInstance("self", nil, bad)
				ownAllPartitions(in, 8, bad)
				reply := in.Do(context.Background(), newRequest(newID(1), "x", time.Second))
				c.Assert(outcomeOf(reply), qt.Equals, test.want)
				c.Assert(in.Drain(context.Background()), qt.IsNil)
				if !test.retryable {
					c.Assert(bad.total(), qt.Equals, 1)
				}

				good := newFakeTarget("t2")
				in = newInstance("self", nil, bad, good)
				ownAllPartitions(in, 8, bad, good)
				for range 20 {
					once := newRequest("", "x", 2*time.Second)
					reply := in.Do(context.Background(), once)
					if test.retryable {
						c.Assert(reply.GetFailure(), qt.IsNil)
					} else {
						c.Assert(bad.runs(once.GetRequestId())+good.runs(once.GetRequestId()), qt.Equals, 1)
					}
					req := newRequest("", "x", 2*time.Second)
					req.Idempotent = true
					reply = in.Do(context.Background(), req)
					if test.want != pb.Outcome_OUTCOME_RAN {
						c.Assert(reply.GetFailure(), qt.IsNil)
					}
				}
				c.Assert(in.Drain(context.Background()), qt.IsNil)
			})
		})
	}
}

// Guards against requests that stay queued although they can no longer be answered in
// time, and against not_run for a request that was sent.
func TestOverloadRefusesEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		target := newFakeTarget("t1")
		target.handle = answerAfter(100 * time.Millisecond)
		in := newInstance("self", nil, target)
		ownAllPartitions(in, 1, target)
		in.Do(context.Background(), newRequest("", "x", time.Second))
		replies := make(chan *pb.ForwardReply, 20)
		for range 20 {
			go func() { replies <- in.Do(context.Background(), newRequest("", "x", 550*time.Millisecond)) }()
		}
		answered, refused := 0, 0
		for range 20 {
			switch reply := <-replies; {
			case reply.GetFailure() == nil:
				answered++
			case isNotRun(reply):
				refused++
			}
		}
		c.Assert(answered+refused, qt.Equals, 20)
		c.Assert(answered, qt.Equals, 5)
		c.Assert(target.total(), qt.Equals, 6)
	})
}

// Guards G4 against an answer that can be looked up only at its home owner, and not
// through the other instances.
func TestFindAcrossInstances(t *testing.T) {
	c := qt.New(t)
	target := newFakeTarget("t1")
	list := cluster(t, 3, 8, target)
	for k := range uint64(10) {
		id := newID(k)
		reply := list[k%3].Do(context.Background(), newRequest(id, "x", testMaxTimeout))
		c.Assert(reply.GetFailure(), qt.IsNil)
		for _, in := range list {
			c.Assert(string(in.Find(context.Background(), id).GetBody()), qt.Equals, string(answerTo(id, []byte("x"))))
		}
		c.Assert(list[0].Find(context.Background(), newID(k+100)).GetStatus(), qt.Equals, int32(404))
	}
}

// Guards against latency digests that miss requests or count them twice.
func TestDigests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		target := newFakeTarget("t1")
		target.handle = answerAfter(20 * time.Millisecond)
		in := newInstance("self", nil, target)
		ownAllPartitions(in, 8, target)
		for range 5 {
			in.Do(context.Background(), newRequest("", "x", time.Second))
		}
		digests := in.Digests()
		c.Assert(digests, qt.HasLen, 1)
		c.Assert(digests[0].GetRequests(), qt.Equals, int64(5))
		c.Assert(digests[0].GetPeriodMs(), qt.Equals, int64(100))
		c.Assert(digests[0].GetP99Us() >= 20_000 && digests[0].GetP99Us() <= 20_500, qt.IsTrue)
		c.Assert(in.Digests(), qt.HasLen, 0)
	})
}
