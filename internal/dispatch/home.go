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

// runAtHome runs a non-idempotent request at its home owner, the owner of the
// partition of its id: here, or at a peer.
func (d *Dispatcher) runAtHome(ctx context.Context, c *call) *pb.ForwardReply {
	id, err := requestid.Parse(c.req.GetRequestId())
	if err != nil {
		return notRun("request id", "", http.StatusBadRequest, err.Error())
	}
	if d.disabled.table {
		return d.execute(ctx, c)
	}
	view := c.routes.view
	if id.Domain != view.Domain {
		return d.forwardToHomeDomain(ctx, c, id.Domain)
	}
	partition := requestid.Partition(c.req.GetRequestId(), view.RequestPartitions())
	p := &view.Partitions[partition]
	if !p.Own {
		return d.forwardToHomeOwner(ctx, c, p.Owner, p.OwnerAddress)
	}
	return d.runHome(ctx, c, id, partition)
}

// runHome runs a request as its home owner, unless its id is known. The entry is
// added to the table before the permission is checked: an ExportPartition that
// misses the entry has then already made the check fail.
func (d *Dispatcher) runHome(ctx context.Context, c *call, id requestid.ID, partition int) *pb.ForwardReply {
	now := time.Now()
	table := c.routes.tables[partition]
	sum := bodyDigestOf(c.req)
	if known := table.lookUp(c.req.GetRequestId()); known != nil {
		return d.answerDuplicate(ctx, c, table, known, known.bodyDigest == sum)
	}
	if refusal := d.checkAge(c, id.Time(), partition, now); refusal != nil {
		return refusal
	}
	e, result := table.begin(newEntry(c.req.GetRequestId(), id.Time(), now, sum), now, !c.req.GetIdFromCaller())
	switch result {
	case beginKnown, beginConflict:
		return d.answerDuplicate(ctx, c, table, e, result == beginKnown)
	case beginEvicted:
		return unknown("request id", "", http.StatusGone, "the id may belong to a request that is no longer stored")
	case beginFull:
		return d.refuse(c.req, "at-most-once table", http.StatusTooManyRequests, true, "too many requests are stored")
	}
	d.inFlight.Add(1)
	go d.runEntry(ctx, c, table, e, partition)
	return d.await(ctx, table, e)
}

// checkAge rejects an id by its age, and one that an earlier owner of the partition
// may have run. It returns nil for an id that may run. No earlier owner can have
// run an id that was generated here for this request.
func (d *Dispatcher) checkAge(c *call, created time.Time, partition int, now time.Time) *pb.ForwardReply {
	switch requestid.CheckAge(created, now, d.limits.skew, d.limits.retention) {
	case requestid.AgeInFuture:
		return d.refuse(c.req, "request id", http.StatusBadRequest, false, "the id's time is ahead of the clock")
	case requestid.AgeExpired:
		return unknown("request id", "", http.StatusGone, "the id is older than the retention")
	}
	if c.generated {
		return nil
	}
	unsure := d.unsureUntil(&c.routes.view.Partitions[partition], c.routes.tables[partition])
	if created.UnixMilli() <= unsure && !d.disabled.takeover {
		return unknown("takeover", "", http.StatusServiceUnavailable, "an earlier owner of the id may have run the request")
	}
	return nil
}

// unsureUntil returns the creation time, in milliseconds since 1970, up to which
// an id that is not in the table may have run under an earlier owner. An owner
// that released the partition to this instance has listed all ids that it ran, so
// only the ids that it was itself unsure of remain.
func (d *Dispatcher) unsureUntil(p *control.Partition, t *table) int64 {
	if h := t.handOver.Load(); h != nil && p.Clean && h.epoch == p.PreviousEpoch {
		return h.unsureUntil
	}
	// The last whole millisecond before the end of the skew.
	return p.EffectiveAt.Add(d.limits.skew+time.Millisecond-1).UnixMilli() - 1
}

// runEntry runs the request of a new entry and stores the answer. Once sent, the
// request continues after its caller disconnected.
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
	reply = d.resolveNotRun(c, t, e, partition, reply)
	d.metrics.droppedAnswers.Add(float64(t.finish(e, reply)))
	if late && reply.GetFailure() == nil {
		d.recordLateAnswer(c, reply)
	}
	d.sendAnswerToOwner(partition, e, reply)
}

// resolveNotRun returns the final reply of an entry, given the reply of its
// execution, and discards an entry that need not be stored. It changes only a
// not_run. The caller does not know a generated id, so its entry is discarded. For
// an id of the caller the not_run is stored, since the statement would become
// false if the id ran later. If this instance may no longer act, another owner may
// have run the id, so the outcome is unknown.
func (d *Dispatcher) resolveNotRun(c *call, t *table, e *entry, partition int, reply *pb.ForwardReply) *pb.ForwardReply {
	switch {
	case !isNotRun(reply):
		return reply
	case !c.req.GetIdFromCaller():
		t.discard(e)
		return reply
	case !d.mayAct(partition):
		t.discard(e)
		return unknown("permission", d.name(c), http.StatusServiceUnavailable, "another owner of the id may have run the request")
	default:
		return reply
	}
}

// await waits for the answer of an entry until the context ends.
func (d *Dispatcher) await(ctx context.Context, t *table, e *entry) *pb.ForwardReply {
	select {
	case <-e.done:
		return copyReply(t.replyOf(e))
	case <-ctx.Done():
	}
	// A queued request ends with the context, so whether the request was sent is
	// known at once.
	select {
	case <-e.done:
		return copyReply(t.replyOf(e))
	case <-e.sent:
		return deadlineReply()
	}
}

// answerDuplicate answers a request whose id is known with the answer of the
// earlier request. same is set if the bodies are equal.
func (d *Dispatcher) answerDuplicate(ctx context.Context, c *call, t *table, e *entry, same bool) *pb.ForwardReply {
	d.metrics.duplicates.Inc()
	if !same && !d.disabled.sameBody {
		return unknown("request id", "", http.StatusConflict, "the id is in use with another body")
	}
	if e.fromEarlierOwner && t.replyOf(e) == nil {
		return unknown("takeover", "", http.StatusServiceUnavailable, "the request is in flight at the previous owner of the id")
	}
	select {
	case <-e.done:
		return copyReply(t.replyOf(e))
	case <-ctx.Done():
		return deadlineReply()
	}
}

// bodyDigestOf returns the digest of the fields that make two requests the same.
func bodyDigestOf(req *pb.ForwardRequest) bodyDigest {
	h := sha256.New()
	h.Write([]byte(req.GetService()))
	h.Write([]byte{0})
	h.Write(req.GetBody())
	var sum bodyDigest
	h.Sum(sum[:0])
	return sum
}

// copyReply returns a copy of a reply, so that the timestamp can be set. The copy
// shares the body.
func copyReply(r *pb.ForwardReply) *pb.ForwardReply {
	return &pb.ForwardReply{
		Status: r.GetStatus(), Body: r.GetBody(), ContentType: r.GetContentType(),
		Failure: r.GetFailure(), Target: r.GetTarget(),
	}
}
