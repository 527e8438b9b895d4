package relay

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/scheduler"
)

// Guards against a task that is started with the payload of another job or without
// any, and against payloads that are sent with each task of a job.
func TestPayloadIsSentOnce(t *testing.T) {
	c := qt.New(t)
	rng := rand.New(rand.NewPCG(1, 1))
	owner, relay := newPayloadCache(), newPayloadCache()
	sent, starts := 0, 0
	for n := range 20_000 {
		// The jobs in use advance slowly, and now and then an old one starts a task.
		job := n/40 + rng.IntN(20)
		if rng.IntN(100) == 0 {
			job = rng.IntN(n/40 + 1)
		}
		command := start("w")
		command.AttemptID.Job = fmt.Sprintf("%016x", job)
		command.Payload = strings.Repeat("p", 100) + fmt.Sprint(job)
		if job%7 == 0 {
			command.Payload = ""
		}
		m := encodeCommand(int64(n), command)
		owner.strip(m)
		sent += len(m.GetPayload())
		starts++
		received := proto.CloneOf(m)
		c.Assert(relay.restore(received), qt.IsNil)
		c.Assert(decodeCommand(7, received).Payload, qt.Equals, command.Payload)
	}
	c.Check(len(relay.payloads) <= maxCachedPayloads, qt.IsTrue)
	c.Check(sent < starts*100/10, qt.IsTrue, qt.Commentf("%d bytes for %d starts", sent, starts))
	lost := encodeCommand(1, start("w"))
	lost.Attempt.Job, lost.PayloadKnown = "ffffffffffffffff", true
	c.Check(relay.restore(lost), qt.ErrorMatches, "the payload of job ffffffffffffffff was not sent")
	h := encodeCommand(1, scheduler.Command{Kind: scheduler.CommandHold, Worker: "w"})
	owner.strip(h)
	c.Check(h.GetPayloadKnown(), qt.IsFalse)
}

// Guards against a message that is larger than the stream accepts, after commands
// have waited for a relay: the relay would be lost with all of them.
func TestLargeQueuesAreSplit(t *testing.T) {
	c := qt.New(t)
	var queue []*pb.WorkerCommand
	for n := range 500 {
		command := start("w")
		command.Payload = strings.Repeat("p", 4000)
		queue = append(queue, encodeCommand(int64(n), command))
	}
	next, messages := int64(0), 0
	for len(queue) > 0 {
		var message []*pb.WorkerCommand
		message, queue = splitMessages(queue)
		c.Assert(len(message) > 0, qt.IsTrue)
		c.Assert(proto.Size(&pb.RelayBatch{Commands: message}) < maxMessageBytes+8000, qt.IsTrue)
		for _, m := range message {
			c.Assert(m.GetNumber(), qt.Equals, next)
			next++
		}
		messages++
	}
	c.Check(next, qt.Equals, int64(500))
	c.Check(messages, qt.Equals, 8)
	large := encodeCommand(1, start("w"))
	large.Payload = strings.Repeat("p", 2*maxMessageBytes)
	first, rest := splitMessages([]*pb.WorkerCommand{large, large})
	c.Check([]int{len(first), len(rest)}, qt.DeepEquals, []int{1, 1})
}
