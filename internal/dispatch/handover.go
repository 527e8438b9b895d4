package dispatch

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"gooseberryreel/internal/errs"
	"gooseberryreel/internal/events"
	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/requestid"
)

var errInFlight = errors.New("the request is in flight")

// Limits of sending a single answer to the owner of a partition.
const (
	handOverAttempts = 3
	handOverTimeout  = time.Second // per attempt
)

// ExportPartition returns the state of a partition that is being released, for its
// next owner. From then on no work starts under the released epoch.
func (d *Dispatcher) ExportPartition(partition int, epoch int64) *pb.HandOverRequest {
	h := &pb.HandOverRequest{Partition: int32(partition), Epoch: epoch, Hlc: d.opts.Events.Clock().Now()}
	rt := d.currentRoutes()
	if rt == nil || partition >= len(rt.tables) {
		return h
	}
	d.buildMu.Lock()
	(*d.state.exported.Load())[partition].Store(epoch + 1)
	now := time.Now()
	for _, t := range d.state.targets {
		if t.partition != partition {
			continue
		}
		if n := t.slots.Outstanding(now); n > 0 {
			until := now.Add(d.limits.maxTimeout)
			h.Targets = append(h.Targets, &pb.TargetCount{
				Target: t.name, InFlight: int32(n), RemainingMs: until.Sub(now).Milliseconds(),
			})
		}
	}
	d.buildMu.Unlock()
	t := rt.tables[partition]
	h.Answers = d.exportAnswers(t)
	h.UnsureUntilMs = max(t.lastEvicted().UnixMilli(), d.unsureUntil(&rt.view.Partitions[partition], t))
	d.opts.Events.Add(events.Event{Kind: "partition_exported", Detail: errors.Errorf("partition %d epoch %d", partition, epoch).Error()})
	return h
}

const (
	// storedAnswerBytes bounds an entry of a hand-over without its full reply: the
	// id, the digest and a short failure, with their field headers.
	storedAnswerBytes = 512
	// targetCountsBytes is the space for the counts of a partition's targets.
	targetCountsBytes = 1 << 20
)

// MaxHandOverBytes returns the size in bytes of the largest message that
// ExportPartition returns.
func MaxHandOverBytes(s *pb.RequestSettings) int64 {
	return s.GetMaxAnswerBytes() + int64(s.GetMaxStoredAnswers()+1)*storedAnswerBytes + targetCountsBytes
}

// exportAnswers returns the entries of a table, newest first. To bound the message,
// the full replies have at most max_answer_bytes in total; the others are truncated to
// their outcome.
// That is safe, since the next owner does not run a listed id again.
func (d *Dispatcher) exportAnswers(t *table) []*pb.StoredAnswer {
	remaining := d.opts.Settings.GetMaxAnswerBytes() + storedAnswerBytes // one answer of the maximum size fits
	var answers []*pb.StoredAnswer
	for _, e := range t.snapshot() {
		reply := t.replyOf(e)
		if reply != nil {
			size := int64(proto.Size(reply))
			if size > remaining {
				reply = truncateReply(reply)
			} else {
				remaining -= size
			}
		}
		answers = append(answers, storedAnswer(e, reply))
	}
	return answers
}

// truncateReply returns a short reply with the outcome of a longer one.
func truncateReply(reply *pb.ForwardReply) *pb.ForwardReply {
	f := reply.GetFailure()
	if f == nil {
		return answerDropped()
	}
	return failed(&errs.Error{Step: "stored answer", Outcome: f.GetOutcome(), Status: int(f.GetStatus()), Retry: f.GetRetry(),
		Cause: errors.New("the cause is no longer stored")})
}

// storedAnswer converts an entry to its message; a nil reply means in flight.
func storedAnswer(e *entry, reply *pb.ForwardReply) *pb.StoredAnswer {
	return &pb.StoredAnswer{RequestId: e.id, BodyDigest: e.bodyDigest[:], Reply: reply, InFlight: reply == nil}
}

// HandOver imports the state of a partition from its previous owner, or a single
// answer from an earlier owner. It may be called before this instance has claimed
// the partition. The reply reports whether the state was accepted; the error is
// always nil.
func (d *Dispatcher) HandOver(_ context.Context, h *pb.HandOverRequest) (*pb.HandOverReply, error) {
	d.opts.Events.Clock().Observe(h.GetHlc())
	rt := d.currentRoutes()
	partition := int(h.GetPartition())
	if rt == nil || partition < 0 || partition >= len(rt.tables) {
		return &pb.HandOverReply{}, nil
	}
	now := time.Now()
	for _, a := range h.GetAnswers() {
		installAnswer(rt.tables[partition], a, now)
	}
	// An owner that sends a single answer states nothing about its slots.
	if !isSingleAnswer(h) {
		rt.tables[partition].handOver.Store(&handOverInfo{epoch: h.GetEpoch(), unsureUntil: h.GetUnsureUntilMs()})
		d.applyHandOver(partition, h, now)
	}
	return &pb.HandOverReply{Accepted: true}, nil
}

// installAnswer adds a handed-over answer to a table. It ignores an invalid one.
func installAnswer(t *table, a *pb.StoredAnswer, now time.Time) {
	id, err := requestid.Parse(a.GetRequestId())
	if err != nil || len(a.GetBodyDigest()) != len(bodyDigest{}) {
		return
	}
	e := newEntry(a.GetRequestId(), id.Time(), now, bodyDigest(a.GetBodyDigest()))
	if a.GetInFlight() {
		t.install(e, nil)
		return
	}
	t.install(e, a.GetReply())
}

// applyHandOver stores a hand-over unless a newer one is known. If it is complete,
// its counts of requests in flight replace the reservation of all slots.
func (d *Dispatcher) applyHandOver(partition int, h *pb.HandOverRequest, now time.Time) {
	d.buildMu.Lock()
	defer d.buildMu.Unlock()
	e := &d.state.epochs[partition]
	if e.handOver != nil && e.handOver.GetEpoch() > h.GetEpoch() {
		return
	}
	e.handOver, e.handOverAt = h, now
	if !e.isComplete(h) {
		return
	}
	for _, t := range d.state.targets {
		if t.partition == partition && t.epoch == e.current {
			t.reserveHandedOver(h, now)
		}
	}
}

// sendAnswerToOwner sends an answer to the current owner of a partition, if that is
// another instance. An earlier owner does so for a request that ended after it
// released the partition.
func (d *Dispatcher) sendAnswerToOwner(partition int, e *entry, reply *pb.ForwardReply) {
	rt := d.currentRoutes()
	if rt == nil || partition >= rt.view.RequestPartitions() {
		return
	}
	p := &rt.view.Partitions[partition]
	if p.Own || p.Owner == "" || p.OwnerAddress == "" {
		return
	}
	h := &pb.HandOverRequest{
		Partition: int32(partition), Epoch: singleAnswerEpoch,
		Answers: []*pb.StoredAnswer{storedAnswer(e, reply)}, Hlc: d.opts.Events.Clock().Now(),
	}
	for range handOverAttempts {
		ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
		err := d.opts.Pool.Call(ctx, p.OwnerAddress, func(ctx context.Context, client pb.DRPCPeerClient) error {
			_, err := client.HandOver(ctx, h)
			return err
		})
		cancel()
		if err == nil {
			return
		}
	}
	d.opts.Log.WithField("id", e.id).WithField("peer", p.Owner).Warn("could not send the answer to the owner of its partition")
}

// singleAnswerEpoch is the epoch in a hand-over that carries only a single answer.
const singleAnswerEpoch = -1

func isSingleAnswer(h *pb.HandOverRequest) bool { return h.GetEpoch() == singleAnswerEpoch }
