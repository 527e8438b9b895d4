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

// retainedPoll is the interval at which a home owner polls a target owner for a
// retained answer.
const retainedPoll = 100 * time.Millisecond

// runForPeer runs a request of a peer in the target role. It retains the answer to
// a non-idempotent request, since the peer looks it up if the connection breaks.
func (d *Dispatcher) runForPeer(ctx context.Context, c *call) *pb.ForwardReply {
	if c.req.GetIdempotent() {
		return d.execute(ctx, c)
	}
	now := time.Now()
	e, result := d.retained.begin(newEntry(c.req.GetRequestId(), now, now, bodyDigest{}), now, true)
	reply := d.execute(ctx, c)
	switch {
	case result != beginNew:
	case isNotRun(reply):
		d.retained.discard(e)
	default:
		d.retained.finish(e, reply)
	}
	return reply
}

// pollRetained polls a target owner to which the connection broke for the answer
// that it retains, until the context ends. It returns broken, the reply for the
// failed call, if there is no such answer.
func (d *Dispatcher) pollRetained(ctx context.Context, c *call, p *peerState, broken *pb.ForwardReply) *pb.ForwardReply {
	// With no hop left the peer does not forward the look-up.
	lookUpReq := &pb.LookUpRequest{RequestId: c.req.GetRequestId(), Hops: maxHops - 1}
	poll := time.NewTicker(retainedPoll)
	defer poll.Stop()
	for {
		reply, err := d.callLookUp(ctx, lookUpReq, p)
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

// findRetained returns the retained answer of an id, a failure with retry if its
// request is in flight, or nil if nothing is retained.
func (d *Dispatcher) findRetained(id string) *pb.ForwardReply {
	e := d.retained.lookUp(id)
	if e == nil {
		return nil
	}
	if reply := d.retained.replyOf(e); reply != nil {
		return copyReply(reply)
	}
	return failed(errs.Wrap("look-up", "", pb.Outcome_OUTCOME_UNKNOWN, errInFlight).WithRetry())
}

// runIdempotent runs an idempotent request without its home owner. The last
// attempt continues after the deadline, so that its answer can be looked up by id.
func (d *Dispatcher) runIdempotent(ctx context.Context, c *call) *pb.ForwardReply {
	now := time.Now()
	e := newEntry(c.req.GetRequestId(), now, now, bodyDigest{})
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
			d.storeLateAnswer(c, reply)
		}
	}()
	select {
	case reply := <-done:
		return reply
	case <-ctx.Done():
	}
	// A queued request ends with the context, so whether the request was sent is
	// known at once.
	select {
	case reply := <-done:
		return reply
	case <-e.sent:
		return deadlineReply()
	}
}

// storeLateAnswer stores a late answer to an idempotent request where a look-up
// finds it: at the home owner of the id, or here for ids of other domains.
func (d *Dispatcher) storeLateAnswer(c *call, reply *pb.ForwardReply) {
	d.recordLateAnswer(c, reply)
	id, err := requestid.Parse(c.req.GetRequestId())
	rt := d.currentRoutes()
	if err != nil || rt == nil {
		return
	}
	now := time.Now()
	e := newEntry(c.req.GetRequestId(), id.Time(), now, bodyDigestOf(c.req))
	if id.Domain != rt.view.Domain {
		d.retained.install(e, copyReply(reply))
		return
	}
	partition := requestid.Partition(e.id, rt.view.RequestPartitions())
	if rt.view.Partitions[partition].Own {
		rt.tables[partition].install(e, copyReply(reply))
		return
	}
	d.sendAnswerToOwner(partition, e, copyReply(reply))
}

// recordLateAnswer counts an answer that came after the caller's deadline.
func (d *Dispatcher) recordLateAnswer(c *call, reply *pb.ForwardReply) {
	d.metrics.lateAnswers.Inc()
	d.opts.Events.Add(events.Event{
		Kind: "request_answered_late", ID: c.req.GetRequestId(), Target: reply.GetTarget(), Team: c.req.GetTeam(),
	})
}

// idempotentContext returns the context of one attempt at an idempotent request.
// An attempt that leaves time for another one ends at the progress timeout. Any
// other attempt continues after the deadline, for at most the maximum timeout,
// unless the caller disconnects before the deadline. An attempt for a peer ends when
// the peer ends its call.
func (d *Dispatcher) idempotentContext(ctx context.Context, c *call, grace time.Duration) (context.Context, context.CancelFunc) {
	if d.disabled.detach {
		return context.WithDeadline(ctx, c.deadline.Add(grace))
	}
	progress := d.limits.progressTimeout
	if progress > 0 && !c.lastAttempt && !c.fromPeer() && time.Until(c.deadline) > progress {
		return context.WithTimeout(ctx, progress+grace)
	}
	work, cancel := context.WithTimeout(context.WithoutCancel(ctx), d.limits.maxTimeout+grace)
	stop := context.AfterFunc(c.caller, func() {
		// The caller's context also ends once the caller was answered at the
		// deadline; the attempt then continues.
		if c.fromPeer() || time.Now().Before(c.deadline) {
			cancel()
		}
	})
	return work, func() { stop(); cancel() }
}
