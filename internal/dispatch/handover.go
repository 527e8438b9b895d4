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

const (
	handOverTries   = 3
	handOverTimeout = time.Second
)

// ExportPartition returns the state of a partition that is being released. From then on
// nothing starts under the released epoch.
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
	h.UnsureUntilMs = max(t.floorTime().UnixMilli(), d.unsureUntil(&rt.view.Partitions[partition], t))
	d.opts.Events.Add(events.Event{Kind: "partition_exported", Detail: errors.Errorf("partition %d epoch %d", partition, epoch).Error()})
	return h
}

const (
	// storedAnswerBytes bounds an answer in a hand-over that goes without its
	// reply: the id, the digest and a short failure, with their field headers.
	storedAnswerBytes = 512
	// targetCountsBytes is the room for the counts of a partition's targets.
	targetCountsBytes = 1 << 20
)

// MaxHandOverBytes returns the size of the largest message that Export makes.
func MaxHandOverBytes(s *pb.RequestSettings) int64 {
	return s.GetMaxAnswerBytes() + int64(s.GetMaxStoredAnswers()+1)*storedAnswerBytes + targetCountsBytes
}

// exportAnswers bounds the message: the replies take max_answer_bytes in total,
// newest first, and older ones are cut to what is known of them. That is safe,
// since the next owner runs no listed id again.
func (d *Dispatcher) exportAnswers(t *table) []*pb.StoredAnswer {
	room := d.opts.Settings.GetMaxAnswerBytes() + storedAnswerBytes // one answer of the largest size fits
	var answers []*pb.StoredAnswer
	for _, e := range t.snapshot() {
		reply := t.replyOf(e)
		if reply != nil {
			size := int64(proto.Size(reply))
			if size > room {
				reply = cutReply(reply)
			} else {
				room -= size
			}
		}
		answers = append(answers, storedAnswer(e, reply))
	}
	return answers
}

// cutReply keeps what a reply says of the outcome.
func cutReply(reply *pb.ForwardReply) *pb.ForwardReply {
	f := reply.GetFailure()
	if f == nil {
		return answerDropped()
	}
	return failed(&errs.Error{Step: "stored answer", Outcome: f.GetOutcome(), Status: int(f.GetStatus()), Retry: f.GetRetry(),
		Cause: errors.New("the reason is not kept any more")})
}

func storedAnswer(e *entry, reply *pb.ForwardReply) *pb.StoredAnswer {
	return &pb.StoredAnswer{RequestId: e.id, BodyDigest: e.digest[:], Reply: reply, InFlight: reply == nil}
}

// HandOver takes the state of a partition from its previous owner. It may come
// before this instance has claimed the partition.
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
	// An owner that sends a single late answer says nothing of its slots.
	if !lateAnswer(h) {
		rt.tables[partition].handed.Store(&handedOver{epoch: h.GetEpoch(), unsureUntil: h.GetUnsureUntilMs()})
		d.takeCounts(partition, h, now)
	}
	return &pb.HandOverReply{Accepted: true}, nil
}

func installAnswer(t *table, a *pb.StoredAnswer, now time.Time) {
	id, err := requestid.Parse(a.GetRequestId())
	if err != nil || len(a.GetBodyDigest()) != len(digest{}) {
		return
	}
	e := newEntry(a.GetRequestId(), id.Time(), now, digest(a.GetBodyDigest()))
	if a.GetInFlight() {
		t.install(e, nil)
		return
	}
	t.install(e, a.GetReply())
}

// takeCounts replaces the reservation of all slots by the handed-over counts, if
// they come from the owner just before this one.
func (d *Dispatcher) takeCounts(partition int, h *pb.HandOverRequest, now time.Time) {
	d.buildMu.Lock()
	defer d.buildMu.Unlock()
	e := &d.state.epochs[partition]
	if e.handed != nil && e.handed.GetEpoch() > h.GetEpoch() {
		return
	}
	e.handed, e.handedAt = h, now
	if !e.replaces(h) {
		return
	}
	for _, t := range d.state.targets {
		if t.partition == partition && t.epoch == e.current {
			t.reserveHanded(h, now)
		}
	}
}

// handOverLate sends the answer of a request that ended after its partition was
// released to the present owner.
func (d *Dispatcher) handOverLate(partition int, e *entry, reply *pb.ForwardReply) {
	rt := d.currentRoutes()
	if rt == nil || partition >= rt.view.RequestPartitions() {
		return
	}
	p := &rt.view.Partitions[partition]
	if p.Own || p.Owner == "" || p.OwnerAddress == "" {
		return
	}
	h := &pb.HandOverRequest{
		Partition: int32(partition), Epoch: lateEpoch,
		Answers: []*pb.StoredAnswer{storedAnswer(e, reply)}, Hlc: d.opts.Events.Clock().Now(),
	}
	for range handOverTries {
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
	d.opts.Log.WithField("id", e.id).WithField("peer", p.Owner).Warn("late answer not handed over")
}

// lateEpoch marks a hand-over that carries a late answer only.
const lateEpoch = -1

func lateAnswer(h *pb.HandOverRequest) bool { return h.GetEpoch() == lateEpoch }
