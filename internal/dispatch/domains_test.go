package dispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"gooseberryreel/internal/control"
	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/requestid"
)

// Guards G6 against a new owner that runs a handed-over id again, answered or in
// flight, and G4 against the loss of its answer.
func TestHandOverOfAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		target := newFakeTarget("t1")
		first, second := newInstance("first", nil, target), newInstance("second", nil, target)
		ownAllPartitions(first, 8, target)
		ownAllPartitions(second, 8, target)
		answered, inFlight := newID(1), newID(2)
		first.Do(context.Background(), newRequest(answered, "x", time.Second))
		target.handle = answerAfter(5 * time.Second)
		first.Do(context.Background(), newRequest(inFlight, "x", time.Second))
		for p := range testPartitions {
			_, err := second.HandOver(context.Background(), first.ExportPartition(p, 1))
			c.Assert(err, qt.IsNil)
		}
		again := second.Do(context.Background(), newRequest(answered, "x", time.Second))
		c.Assert(string(again.GetBody()), qt.Equals, string(answerTo(answered, []byte("x"))))
		c.Assert(outcomeOf(second.Do(context.Background(), newRequest(inFlight, "x", time.Second))), qt.Equals, pb.Outcome_OUTCOME_UNKNOWN)
		c.Assert(first.Drain(context.Background()), qt.IsNil)
		late := first.Find(context.Background(), inFlight)
		_, err := second.HandOver(context.Background(), &pb.HandOverRequest{
			Partition: int32(requestid.Partition(inFlight, testPartitions)), Epoch: singleAnswerEpoch,
			Answers: []*pb.StoredAnswer{storedAnswer(newEntry(inFlight, time.Now(), time.Now(), bodyDigest{}), late)},
		})
		c.Assert(err, qt.IsNil)
		c.Assert(second.Find(context.Background(), inFlight).GetFailure(), qt.IsNil)
		c.Assert([]int{target.runs(answered), target.runs(inFlight)}, qt.DeepEquals, []int{1, 1})
	})
}

// twoDomains starts two instances in different domains. The first owns all targets;
// the domain of the second has none.
func twoDomains(t *testing.T, target *fakeTarget) (first, second *instance) {
	list := cluster(t, 2, 8, target)
	first, second = list[0], list[1]
	members := first.view.Load().Members
	members[0].Domain, members[1].Domain = "perth-hills", "donnybrook"
	for _, in := range list {
		v := copyView(in.view.Load())
		v.Members = append([]control.Member(nil), members...)
		for p := range v.Partitions {
			v.Partitions[p] = ownPartition(time.Now().Add(-time.Hour), 1, true)
		}
		in.view.Store(v)
	}
	v := copyView(second.view.Load())
	v.Domain, v.Targets = "donnybrook", nil
	second.view.Store(v)
	return first, second
}

// Guards against a domain without targets that can't use those of other domains, and
// against a request that does not reach its home owner in another domain.
func TestOtherDomains(t *testing.T) {
	c := qt.New(t)
	target := newFakeTarget("t1")
	first, second := twoDomains(t, target)
	id := newID(1)
	for _, in := range []*instance{second, first, second} {
		reply := in.Do(context.Background(), newRequest(id, "x", testMaxTimeout))
		c.Assert(string(reply.GetBody()), qt.Equals, string(answerTo(id, []byte("x"))))
	}
	c.Assert(target.runs(id), qt.Equals, 1)
	c.Assert(second.Find(context.Background(), id).GetFailure(), qt.IsNil)
	for _, idempotent := range []bool{true, false} {
		req := newRequest("", "x", testMaxTimeout)
		req.Idempotent = idempotent
		c.Assert(second.Do(context.Background(), req).GetFailure(), qt.IsNil)
	}
}

// Guards G5 against a wrong outcome in a partitioned network. The outcome of a
// caller's id whose home domain is unreachable is unknown; that of a generated id,
// which no other instance has seen, is not_run.
func TestCutOffDomain(t *testing.T) {
	c := qt.New(t)
	target := newFakeTarget("t1")
	_, second := twoDomains(t, target)
	v := copyView(second.view.Load())
	v.Members = []control.Member{{Name: "gone", Domain: "perth-hills", PeerAddress: "127.0.0.1:1"}}
	second.view.Store(v)
	outcome := func(id string) pb.Outcome {
		return outcomeOf(second.Do(context.Background(), newRequest(id, "x", testMaxTimeout)))
	}
	c.Assert(outcome(newID(1)), qt.Equals, pb.Outcome_OUTCOME_UNKNOWN)
	c.Assert(outcome(""), qt.Equals, pb.Outcome_OUTCOME_NOT_RUN)
	c.Assert(target.total(), qt.Equals, 0)
}
