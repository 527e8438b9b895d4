package dispatch

import (
	"context"
	"net/http"
	"time"

	"gooseberryreel/internal/errs"
	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/requestid"
)

// Find looks up the answer to an earlier request for a caller. It reports a failure
// in the reply.
func (d *Dispatcher) Find(ctx context.Context, id string) *pb.ForwardReply {
	reply := d.lookUp(ctx, &pb.LookUpRequest{RequestId: id})
	reply.Hlc = d.opts.Events.Clock().Now()
	return reply
}

// LookUp looks up the answer to an earlier request for a peer. It reports a failure
// in the reply; the error is always nil.
func (d *Dispatcher) LookUp(ctx context.Context, req *pb.LookUpRequest) (*pb.ForwardReply, error) {
	clock := d.opts.Events.Clock()
	clock.Observe(req.GetHlc())
	reply := d.lookUp(ctx, req)
	reply.Hlc = clock.Now()
	return reply, nil
}

// lookUp returns the answer stored here, or that of the home owner of the id.
func (d *Dispatcher) lookUp(ctx context.Context, req *pb.LookUpRequest) *pb.ForwardReply {
	id, err := requestid.Parse(req.GetRequestId())
	if err != nil {
		return unknown("request id", "", http.StatusBadRequest, err.Error())
	}
	rt := d.currentRoutes()
	if rt == nil {
		return unknown("look-up", "", http.StatusServiceUnavailable, "no view of the partitions yet")
	}
	if retained := d.findRetained(req.GetRequestId()); retained != nil {
		return retained
	}
	if id.Domain != rt.view.Domain {
		return d.forwardLookUp(ctx, req, d.choosePeer(rt.domains[id.Domain], time.Now()))
	}
	partition := requestid.Partition(req.GetRequestId(), rt.view.RequestPartitions())
	p := &rt.view.Partitions[partition]
	table := rt.tables[partition]
	e := table.lookUp(req.GetRequestId())
	if e != nil {
		if reply := table.replyOf(e); reply != nil {
			return copyReply(reply)
		}
	}
	if !p.Own && p.Owner != "" {
		d.buildMu.Lock()
		owner := d.peerOf(p.Owner, p.OwnerAddress)
		d.buildMu.Unlock()
		return d.forwardLookUp(ctx, req, owner)
	}
	if !p.Own {
		return unknown("look-up", "", http.StatusServiceUnavailable, "the id's partition has no owner")
	}
	if e == nil && !d.mayAct(partition) {
		// A newer owner of the partition may know the id.
		reply := unknown("look-up", "", http.StatusServiceUnavailable, "no permission to act, so an unknown id cannot be confirmed")
		reply.Failure.Retry = true
		return reply
	}
	return d.notFound(id, e != nil, p.EffectiveAt)
}

// notFound returns the reply to a look-up that found no answer.
func (d *Dispatcher) notFound(id requestid.ID, inFlight bool, effectiveAt time.Time) *pb.ForwardReply {
	if inFlight {
		e := errs.Wrap("look-up", "", pb.Outcome_OUTCOME_UNKNOWN, errInFlight).WithRetry()
		return failed(e)
	}
	now := time.Now()
	switch {
	case requestid.CheckAge(id.Time(), now, d.limits.skew, d.limits.retention) == requestid.AgeExpired:
		return unknown("look-up", "", http.StatusGone, "the id is older than the retention")
	case id.Time().Before(effectiveAt.Add(d.limits.skew)):
		return unknown("look-up", "", http.StatusNotFound, "the id was created before the partition's owner changed")
	default:
		return unknown("look-up", "", http.StatusNotFound, "unknown id")
	}
}

// forwardLookUp passes a look-up on to a peer; nil stands for an unknown peer.
func (d *Dispatcher) forwardLookUp(ctx context.Context, req *pb.LookUpRequest, p *peerState) *pb.ForwardReply {
	if p == nil || req.GetHops() >= maxHops {
		return unknown("look-up", "", http.StatusServiceUnavailable, "the owner of the id is not known")
	}
	reply, err := d.callLookUp(ctx, req, p)
	if err != nil {
		return failed(errs.Wrap("look-up", p.name, pb.Outcome_OUTCOME_UNKNOWN, err).WithRetry())
	}
	return reply
}

// callLookUp calls LookUp at a peer.
func (d *Dispatcher) callLookUp(ctx context.Context, req *pb.LookUpRequest, p *peerState) (*pb.ForwardReply, error) {
	ctx, cancel := context.WithTimeout(ctx, d.limits.defaultTimeout)
	defer cancel()
	clock := d.opts.Events.Clock()
	lookUpReq := &pb.LookUpRequest{RequestId: req.GetRequestId(), Hops: req.GetHops() + 1, Hlc: clock.Now()}
	var reply *pb.ForwardReply
	err := d.opts.Pool.Call(ctx, p.address, func(ctx context.Context, client pb.DRPCPeerClient) (err error) {
		reply, err = client.LookUp(ctx, lookUpReq)
		return err
	})
	clock.Observe(reply.GetHlc())
	return reply, err
}
