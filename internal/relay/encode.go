package relay

import (
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/scheduler"
)

func encodeCommand(number int64, c scheduler.Command) *pb.WorkerCommand {
	return &pb.WorkerCommand{
		Number: number, Kind: int32(c.Kind), Worker: c.Worker, Address: c.Address, Attempt: encodeAttempt(c.AttemptID),
		LeaseMs: c.Lease.Milliseconds(), Cursor: c.Cursor, WaitMs: c.Wait.Milliseconds(),
		Payload: c.Payload, Checkpoint: c.Checkpoint, Ticket: c.Ticket, Percent: int32(c.Percent),
	}
}

func decodeCommand(token int64, c *pb.WorkerCommand) scheduler.Command {
	return scheduler.Command{
		Kind: scheduler.CommandKind(c.GetKind()), Worker: c.GetWorker(), Address: c.GetAddress(), Token: token,
		AttemptID: decodeAttempt(c.GetAttempt()), Lease: milliseconds(c.GetLeaseMs()), Cursor: c.GetCursor(), Wait: milliseconds(c.GetWaitMs()),
		Payload: c.GetPayload(), Checkpoint: c.GetCheckpoint(), Ticket: c.GetTicket(), Percent: int(c.GetPercent()),
	}
}

// encodeAttempt returns nil for the zero id, which holds have.
func encodeAttempt(id scheduler.AttemptID) *pb.WorkerAttempt {
	if id == (scheduler.AttemptID{}) {
		return nil
	}
	return &pb.WorkerAttempt{Job: id.Job, Round: int32(id.Round), Step: int32(id.Step), Task: int32(id.Task), Number: int32(id.Number)}
}

func decodeAttempt(a *pb.WorkerAttempt) scheduler.AttemptID {
	return scheduler.AttemptID{Job: a.GetJob(), Round: int(a.GetRound()), Step: int(a.GetStep()), Task: int(a.GetTask()), Number: int(a.GetNumber())}
}

func encodeResult(number int64, r scheduler.CommandResult) *pb.CommandOutcome {
	o := &pb.CommandOutcome{Number: number, Refused: int32(r.Refused), NotSent: r.NotSent, ClockMs: r.Clock.Milliseconds()}
	if r.Err != nil {
		o.Error = r.Err.Error()
	}
	if r.Hold == nil {
		return o
	}
	o.Hold = &pb.WorkerHold{Incarnation: r.Hold.Incarnation}
	for _, a := range r.Hold.Active {
		o.Hold.Active = append(o.Hold.Active, &pb.ActiveAttempt{
			Attempt: encodeAttempt(a.AttemptID), Checkpoint: a.Checkpoint, Progress: int32(a.Progress), Measured: a.Measured,
		})
	}
	for _, e := range r.Hold.Ended {
		o.Hold.Ended = append(o.Hold.Ended, &pb.EndedAttempt{
			Number: e.Number, Attempt: encodeAttempt(e.AttemptID), Reason: int32(e.Reason), Checkpoint: e.Checkpoint,
		})
	}
	return o
}

func decodeResult(c scheduler.Command, o *pb.CommandOutcome) scheduler.CommandResult {
	r := scheduler.CommandResult{Command: c, Refused: scheduler.Refusal(o.GetRefused()), NotSent: o.GetNotSent(), Clock: milliseconds(o.GetClockMs())}
	if r.Refused < scheduler.RefusedNone || r.Refused > scheduler.RefusedInvalid {
		r.Refused = scheduler.RefusedInvalid // a refusal that only a newer version knows
	}
	if o.GetError() != "" {
		r.Err = errors.New(o.GetError())
	}
	if o.GetHold() == nil {
		return r
	}
	r.Hold = &scheduler.HoldReply{Clock: r.Clock, Incarnation: o.GetHold().GetIncarnation()}
	for _, a := range o.GetHold().GetActive() {
		r.Hold.Active = append(r.Hold.Active, scheduler.ActiveAttempt{
			AttemptID: decodeAttempt(a.GetAttempt()), Checkpoint: a.GetCheckpoint(), Progress: int(a.GetProgress()), Measured: a.GetMeasured(),
		})
	}
	for _, e := range o.GetHold().GetEnded() {
		reason := scheduler.EndReason(e.GetReason())
		if reason < scheduler.EndUnknown || reason > scheduler.EndLost {
			reason = scheduler.EndUnknown
		}
		r.Hold.Ended = append(r.Hold.Ended, scheduler.EndedAttempt{
			Number: e.GetNumber(), AttemptID: decodeAttempt(e.GetAttempt()), Reason: reason, Checkpoint: e.GetCheckpoint(),
		})
	}
	return r
}

// maxMessageBytes limits the commands or outcomes of a message. It is well below the
// largest message that a stream accepts.
const maxMessageBytes = 256 << 10

// splitMessages splits a queue into the messages that fit into maxMessageBytes, at
// least one, and the rest.
func splitMessages[M proto.Message](queue []M) (first, rest []M) {
	size := 0
	for n, m := range queue {
		size += proto.Size(m)
		if n > 0 && size > maxMessageBytes {
			return queue[:n:n], queue[n:]
		}
	}
	return queue, nil
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
