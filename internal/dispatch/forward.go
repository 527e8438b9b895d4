package dispatch

import (
	"context"
	"net/http"
	"time"

	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/peer"
)

// peerFullBackoff is how long a peer that had no free slot is not tried again, so
// that overload does not multiply calls between peers.
const peerFullBackoff = 20 * time.Millisecond

// forwardToHomeDomain sends a request to a member of its home domain, which the id
// names.
func (d *Dispatcher) forwardToHomeDomain(ctx context.Context, c *call, domain string) *pb.ForwardReply {
	p := d.choosePeer(c.routes.domains[domain], time.Now())
	if p == nil {
		return d.refuse(c.req, "home owner", http.StatusServiceUnavailable, true, "no member of domain "+domain+" is known")
	}
	return d.forwardToHome(ctx, c, p)
}

// forwardToHomeOwner sends a request to its home owner.
func (d *Dispatcher) forwardToHomeOwner(ctx context.Context, c *call, owner, address string) *pb.ForwardReply {
	if owner == "" || address == "" {
		return d.refuse(c.req, "home owner", http.StatusServiceUnavailable, true, "the id's partition has no owner")
	}
	d.buildMu.Lock()
	p := d.peerOf(owner, address)
	d.buildMu.Unlock()
	return d.forwardToHome(ctx, c, p)
}

// forwardToHome sends a request to a peer in the home role.
func (d *Dispatcher) forwardToHome(ctx context.Context, c *call, p *peerState) *pb.ForwardReply {
	if c.req.GetHops() >= maxHops {
		return d.refuse(c.req, "home owner", http.StatusServiceUnavailable, true, "no peer accepted the home role")
	}
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), c.deadline.Add(replyGrace))
	defer cancel()
	reply, err := d.callPeer(ctx, c, p, d.newForward(c, pb.ForwardRole_FORWARD_ROLE_HOME))
	switch {
	case err == nil:
		return reply
	case peer.NotSent(err):
		return d.refuse(c.req, "home owner", http.StatusServiceUnavailable, true, err.Error())
	default:
		return unknown("home owner", p.name, transportStatus(c), err.Error())
	}
}

// forwardToTargetOwner sends a request to a peer in the target role: one that owns
// targets of the service, or a member of another domain.
func (d *Dispatcher) forwardToTargetOwner(ctx context.Context, c *call, p *peerState, noQueue bool) result {
	if c.req.GetHops() >= maxHops {
		return result{reply: notRun("target owner", p.name, http.StatusServiceUnavailable, "too many hops between peers")}
	}
	if c.ended(ctx) {
		return result{reply: notRun("target owner", p.name, http.StatusGatewayTimeout, "deadline passed before the request was sent")}
	}
	if !c.beforeSend() {
		return result{reply: notRun("permission", d.name(c), http.StatusServiceUnavailable, "no permission to start work")}
	}
	ctx, cancel := d.peerContext(ctx, c)
	defer cancel()
	req := d.newForward(c, pb.ForwardRole_FORWARD_ROLE_TARGET)
	req.NoQueue = noQueue
	reply, err := d.callPeer(ctx, c, p, req)
	switch {
	case err == nil:
		return result{reply: reply, retryable: reply.GetFailure().GetRetry() && reply.GetFailure().GetStep() != "queue"}
	case peer.NotSent(err):
		return result{reply: notRun("target owner", p.name, transportStatus(c), err.Error()), retryable: true}
	}
	broken := unknown("target owner", p.name, transportStatus(c), err.Error())
	if !c.req.GetIdempotent() && ctx.Err() == nil {
		broken = d.pollRetained(ctx, c, p, broken)
	}
	return result{reply: broken, retryable: true}
}

// peerContext returns the context of a call to a target owner. For a non-idempotent
// request it leaves time for a late answer.
func (d *Dispatcher) peerContext(ctx context.Context, c *call) (context.Context, context.CancelFunc) {
	if d.disabled.detach {
		return context.WithCancel(ctx)
	}
	if c.req.GetIdempotent() {
		return d.idempotentContext(ctx, c, replyGrace)
	}
	return context.WithTimeout(context.WithoutCancel(ctx), d.limits.maxTimeout+replyGrace)
}

// transportStatus returns the HTTP status for a failed call to a peer.
func transportStatus(c *call) int {
	if !time.Now().Before(c.deadline) {
		return http.StatusGatewayTimeout
	}
	return http.StatusServiceUnavailable
}

// newForward returns the message that forwards a request in a role.
func (d *Dispatcher) newForward(c *call, role pb.ForwardRole) *pb.ForwardRequest {
	return &pb.ForwardRequest{
		Role:         role,
		RequestId:    c.req.GetRequestId(),
		Service:      c.req.GetService(),
		Team:         c.req.GetTeam(),
		Idempotent:   c.req.GetIdempotent(),
		IdFromCaller: c.req.GetIdFromCaller(),
		TimeoutMs:    max(time.Until(c.deadline).Milliseconds(), 1),
		Body:         c.req.GetBody(),
		ContentType:  c.req.GetContentType(),
		Hops:         c.req.GetHops() + 1,
	}
}

// callPeer calls Forward at a peer. It fails at the caller's deadline if no
// connection is free by then; once sent, the call ends with the context.
func (d *Dispatcher) callPeer(ctx context.Context, c *call, p *peerState, req *pb.ForwardRequest) (*pb.ForwardReply, error) {
	d.metrics.forwardsSent.Inc()
	clock := d.opts.Events.Clock()
	req.Hlc = clock.Now()
	p.outstanding.Add(1)
	defer p.outstanding.Add(-1)
	start := time.Now()
	var reply *pb.ForwardReply
	err := d.opts.Pool.CallWithConnectionDeadline(ctx, c.deadline, p.address, func(ctx context.Context, client pb.DRPCPeerClient) (err error) {
		req.TimeoutMs = max(time.Until(c.deadline).Milliseconds(), 1)
		reply, err = client.Forward(ctx, req)
		return err
	})
	now := time.Now()
	p.stats.Record(now, now.Sub(start), err != nil)
	if err != nil {
		return nil, err
	}
	clock.Observe(reply.GetHlc())
	return reply, nil
}
