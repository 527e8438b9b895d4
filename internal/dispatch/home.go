package dispatch

import (
	"context"
	"crypto/sha256"
	"net/http"
	"time"

	"gooseberryreel/internal/control"
	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/requestid"
)

// atHome runs a non-idempotent request at the owner of its id's partition: here,
// or at the peer that has this role.
func (d *Dispatcher) atHome(ctx context.Context, c *call) *pb.ForwardReply {
	id, err := requestid.Parse(c.req.GetRequestId())
	if err != nil {
		return notRun("request id", "", http.StatusBadRequest, err.Error())
	}
	if d.off.table {
		return d.execute(ctx, c)
	}
	view := c.routes.view
	if id.Domain != view.Domain {
		return d.toHomeDomain(ctx, c, id.Domain)
	}
	partition := requestid.Partition(c.req.GetRequestId(), view.RequestPartitions())
	p := &view.Partitions[partition]
	if !p.Own {
		return d.toHomeOwner(ctx, c, p.Owner, p.OwnerAddress)
	}
	return d.runHome(ctx, c, id, partition)
}

// runHome is the home role. The order of its steps matters: the entry is in the
// table before the permission is checked, so that an Export that misses the
// entry has already made the check fail.
func (d *Dispatcher) runHome(ctx context.Context, c *call, id requestid.ID, partition int) *pb.ForwardReply {
	now := time.Now()
	table := c.routes.tables[partition]
	sum := digestOf(c.req)
	if known := table.find(c.req.GetRequestId()); known != nil {
		return d.duplicate(ctx, c, table, known, known.digest == sum)
	}
	if refusal := d.checkAge(c, id.Time(), partition, now); refusal != nil {
		return refusal
	}
	e, result := table.begin(newEntry(c.req.GetRequestId(), id.Time(), now, sum), now, !c.req.GetIdFromCaller())
	switch result {
	case beginKnown, beginConflict:
		return d.duplicate(ctx, c, table, e, result == beginKnown)
	case beginForgotten:
		return unknown("request id", "", http.StatusGone, "the id may be of a request that is not remembered any more")
	case beginFull:
		return d.refuse(c.req, "at-most-once table", http.StatusTooManyRequests, true, "too many requests are remembered")
	}
	d.inFlight.Add(1)
	go d.runEntry(ctx, c, table, e, partition)
	return d.await(ctx, table, e)
}

// checkAge applies the age rules and the takeover rule. An earlier owner can't
// have run an id that was generated here and not sent on.
func (d *Dispatcher) checkAge(c *call, created time.Time, partition int, now time.Time) *pb.ForwardReply {
	switch requestid.CheckAge(created, now, d.limits.skew, d.limits.retention) {
	case requestid.AgeAhead:
		return d.refuse(c.req, "request id", http.StatusBadRequest, false, "the id's time is ahead of the clock")
	case requestid.AgeExpired:
		return unknown("request id", "", http.StatusGone, "the id is older than the retention")
	}
	if c.generated {
		return nil
	}
	unsure := d.unsureUntil(&c.routes.view.Partitions[partition], c.routes.tables[partition])
	if created.UnixMilli() <= unsure && !d.off.takeover {
		return unknown("takeover", "", http.StatusServiceUnavailable, "an earlier owner of the id may have run the request")
	}
	return nil
}

// unsureUntil returns the time in milliseconds since 1970 up to which an id that
// is not in the table may have run under an earlier owner. An owner that released
// the partition to this instance has listed all ids that it ran, so only what it
// did not know itself is unsure.
func (d *Dispatcher) unsureUntil(p *control.Partition, t *table) int64 {
	if h := t.handed.Load(); h != nil && p.Clean && h.epoch == p.PreviousEpoch {
		return h.unsureUntil
	}
	// The last whole millisecond before the end of the skew.
	return p.EffectiveAt.Add(d.limits.skew+time.Millisecond-1).UnixMilli() - 1
}

// runEntry runs a new entry. It outlives the caller once the request was sent.
func (d *Dispatcher) runEntry(callerCtx context.Context, c *call, t *table, e *entry, partition int) {
	defer d.inFlight.Add(-1)
	run := *c
	run.beforeSend = func() bool {
		if !d.mayAct(partition) {
			return false
		}
		e.markSent()
		return true
	}
	reply := d.execute(callerCtx, &run)
	late := time.Now().After(c.deadline)
	reply = d.settle(c, t, e, partition, reply)
	d.metrics.dropped.Add(float64(t.finish(e, reply)))
	if late && reply.GetFailure() == nil {
		d.answeredLate(c, reply)
	}
	d.handOverLate(partition, e, reply)
}

// settle decides what stays of a request that was not run. A generated id is
// known to nobody else, so it is forgotten. An id of the caller keeps its
// not_run for good, since the statement would be false if the id ran later. If
// this instance may no longer act, another owner may have run the id.
func (d *Dispatcher) settle(c *call, t *table, e *entry, partition int, reply *pb.ForwardReply) *pb.ForwardReply {
	switch {
	case !isNotRun(reply):
		return reply
	case !c.req.GetIdFromCaller():
		t.forget(e)
		return reply
	case !d.mayAct(partition):
		t.forget(e)
		return unknown("permission", d.name(c), http.StatusServiceUnavailable, "another owner of the id may have run the request")
	default:
		return reply
	}
}

// await waits for the answer of an entry until the caller's deadline.
func (d *Dispatcher) await(ctx context.Context, t *table, e *entry) *pb.ForwardReply {
	select {
	case <-e.done:
		return copyReply(t.replyOf(e))
	case <-ctx.Done():
	}
	// A request that waits for a slot ends with the context; whether it was
	// sent is known at once.
	select {
	case <-e.done:
		return copyReply(t.replyOf(e))
	case <-e.sent:
		return deadlineReply()
	}
}

// duplicate answers a request whose id is known.
func (d *Dispatcher) duplicate(ctx context.Context, c *call, t *table, e *entry, same bool) *pb.ForwardReply {
	d.metrics.duplicates.Inc()
	if !same && !d.off.sameBody {
		return unknown("request id", "", http.StatusConflict, "the id is in use with another body")
	}
	if e.remote && t.replyOf(e) == nil {
		return unknown("takeover", "", http.StatusServiceUnavailable, "the previous owner of the id runs the request")
	}
	select {
	case <-e.done:
		return copyReply(t.replyOf(e))
	case <-ctx.Done():
		return deadlineReply()
	}
}

// digestOf covers what makes two requests the same work.
func digestOf(req *pb.ForwardRequest) digest {
	h := sha256.New()
	h.Write([]byte(req.GetService()))
	h.Write([]byte{0})
	h.Write(req.GetBody())
	var sum digest
	h.Sum(sum[:0])
	return sum
}

// copyReply returns a reply whose clock reading can be set. The body is shared.
func copyReply(r *pb.ForwardReply) *pb.ForwardReply {
	return &pb.ForwardReply{
		Status: r.GetStatus(), Body: r.GetBody(), ContentType: r.GetContentType(),
		Failure: r.GetFailure(), Target: r.GetTarget(),
	}
}
