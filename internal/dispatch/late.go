package dispatch

import (
	"context"
	"time"

	"gooseberryreel/internal/errs"
	"gooseberryreel/internal/events"
	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/peer"
	"gooseberryreel/internal/requestid"
)

// heldPoll is the interval at which a home owner asks for an answer that a
// target owner holds.
const heldPoll = 100 * time.Millisecond

// runHeld runs a request of a peer, and keeps the answer for a time if the
// request is not idempotent: the peer asks for it if its link breaks.
func (d *Dispatcher) runHeld(ctx context.Context, c *call) *pb.ForwardReply {
	if c.req.GetIdempotent() {
		return d.execute(ctx, c)
	}
	now := time.Now()
	e, result := d.held.begin(newEntry(c.req.GetRequestId(), now, now, digest{}), now, true)
	reply := d.execute(ctx, c)
	switch {
	case result != beginNew:
	case isNotRun(reply):
		d.held.forget(e)
	default:
		d.held.finish(e, reply)
	}
	return reply
}

// askHeld asks a target owner whose link broke for the answer of a request,
// until the longest permitted time has passed.
func (d *Dispatcher) askHeld(ctx context.Context, c *call, p *peerState, broken *pb.ForwardReply) *pb.ForwardReply {
	// Without a hop left the peer doesn't pass the question on.
	ask := &pb.LookUpRequest{RequestId: c.req.GetRequestId(), Hops: maxHops - 1}
	poll := time.NewTicker(heldPoll)
	defer poll.Stop()
	for {
		reply, err := d.lookUpAt(ctx, ask, p)
		switch {
		case err == nil && reply.GetFailure() == nil:
			return reply
		case err == nil && !reply.GetFailure().GetRetry():
			if outcomeOf(reply) == pb.Outcome_OUTCOME_RAN {
				return reply
			}
			return broken
		case peer.ConnectionRefused(err):
			return broken
		}
		select {
		case <-poll.C:
		case <-ctx.Done():
			return broken
		}
	}
}

// findHeld returns what this instance holds of an id, nil for nothing.
func (d *Dispatcher) findHeld(id string) *pb.ForwardReply {
	e := d.held.find(id)
	if e == nil {
		return nil
	}
	if reply := d.held.replyOf(e); reply != nil {
		return copyReply(reply)
	}
	return failed(errs.Wrap("look-up", "", pb.Outcome_OUTCOME_UNKNOWN, errInFlight).WithRetry())
}

// runIdempotent runs a request at once, whoever owns its id. The last try goes
// on after the deadline, so that its answer can be found by id.
func (d *Dispatcher) runIdempotent(ctx context.Context, c *call) *pb.ForwardReply {
	now := time.Now()
	e := newEntry(c.req.GetRequestId(), now, now, digest{})
	c.beforeSend = func() bool {
		e.markSent()
		return true
	}
	done := make(chan *pb.ForwardReply, 1)
	d.inFlight.Add(1)
	go func() {
		defer d.inFlight.Add(-1)
		reply := d.execute(ctx, c)
		done <- reply
		if reply.GetFailure() == nil && time.Now().After(c.deadline) {
			d.keepLate(c, reply)
		}
	}()
	select {
	case reply := <-done:
		return reply
	case <-ctx.Done():
	}
	// A request that waits for a slot ends with the context; whether it was
	// sent is known at once.
	select {
	case reply := <-done:
		return reply
	case <-e.sent:
		return deadlineReply()
	}
}

// keepLate stores the late answer of an idempotent request where a look-up by
// its id finds it: at the owner of the id, or here for ids of other domains.
func (d *Dispatcher) keepLate(c *call, reply *pb.ForwardReply) {
	d.answeredLate(c, reply)
	id, err := requestid.Parse(c.req.GetRequestId())
	rt := d.currentRoutes()
	if err != nil || rt == nil {
		return
	}
	now := time.Now()
	e := newEntry(c.req.GetRequestId(), id.Time(), now, digestOf(c.req))
	if id.Domain != rt.view.Domain {
		d.held.install(e, copyReply(reply))
		return
	}
	partition := requestid.Partition(e.id, rt.view.RequestPartitions())
	if rt.view.Partitions[partition].Own {
		rt.tables[partition].install(e, copyReply(reply))
		return
	}
	d.handOverLate(partition, e, copyReply(reply))
}

func (d *Dispatcher) answeredLate(c *call, reply *pb.ForwardReply) {
	d.metrics.late.Inc()
	d.opts.Events.Add(events.Event{
		Kind: "request_answered_late", ID: c.req.GetRequestId(), Target: reply.GetTarget(), Team: c.req.GetTeam(),
	})
}

// lateContext bounds a try of an idempotent request. A try that leaves time for
// another one ends at the progress timeout; others go on after the deadline for
// at most the longest permitted time, unless the caller left before it. A peer
// decides for itself how long it waits.
func (d *Dispatcher) lateContext(ctx context.Context, c *call, grace time.Duration) (context.Context, context.CancelFunc) {
	if d.off.detach {
		return context.WithDeadline(ctx, c.deadline.Add(grace))
	}
	progress := d.limits.progressTimeout
	if progress > 0 && !c.lastTry && !c.fromPeer() && time.Until(c.deadline) > progress {
		return context.WithTimeout(ctx, progress+grace)
	}
	work, cancel := context.WithTimeout(context.WithoutCancel(ctx), d.limits.maxTimeout+grace)
	stop := context.AfterFunc(c.caller, func() {
		// The context of a caller that was answered at the deadline ends too.
		if c.fromPeer() || time.Now().Before(c.deadline) {
			cancel()
		}
	})
	return work, func() { stop(); cancel() }
}
