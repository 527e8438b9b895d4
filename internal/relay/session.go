package relay

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/scheduler"
)

const (
	// busyReportInterval is the longest time between two reports of a relay with
	// commands in flight, and idleReportInterval of one without.
	busyReportInterval = 250 * time.Millisecond
	idleReportInterval = 2 * time.Second
	// maxCommandAge is the age at which a relay does not carry out a command any
	// more. It is above the time that a worker may take for the command before it.
	maxCommandAge = time.Second
	// ownerTimeout is how long the owner may send nothing. It answers each report.
	ownerTimeout = 5 * time.Second
	// leaveTimeout bounds how long a relay that shuts down waits for the answers to
	// the commands in flight.
	leaveTimeout = 2500 * time.Millisecond
)

// RelayStream is the relay's side of a stream.
type RelayStream interface {
	Send(*pb.RelayReport) error
	Recv() (*pb.RelayBatch, error)
}

// Session is a relay's connection to the owner.
type Session struct {
	Offer    Offer
	Executor *Executor
	// Clock returns a steady clock that also counts the time while the machine is
	// suspended.
	Clock func() time.Duration
	// Backlog, if not nil, receives each report of the owner with its age.
	Backlog func(r *pb.BacklogReport, age time.Duration)

	// ignoreAge lets commands of any age be carried out, so that a test can show what
	// their age limit prevents.
	ignoreAge bool

	wake     chan struct{}
	mu       sync.Mutex
	outcomes []*pb.CommandOutcome
	inFlight int
	batchAt  time.Duration // clock when the newest batch arrived
	sentAt   time.Duration // clock when the newest report was sent
}

// Run carries out the owner's commands until ctx ends or the stream fails. When
// stopping ends, it announces that the relay is leaving and returns once no command
// is in flight, or after leaveTimeout. It returns nil only then.
func (s *Session) Run(ctx, stopping context.Context, stream RelayStream) error {
	s.wake = make(chan struct{}, 1)
	s.batchAt, s.sentAt = s.Clock(), s.Clock()
	err := stream.Send(&pb.RelayReport{
		Offer:   &pb.RelayOffer{Instance: s.Offer.Instance, FailureDomain: s.Offer.Domain, CpuMilli: s.Offer.CPUMilli},
		ClockMs: s.Clock().Milliseconds(),
	})
	if err != nil {
		return errors.Wrap(err, "send offer")
	}
	// The calls outlive the session for as long as their time limits allow: a call
	// that is broken off costs a connection to the worker.
	callCtx := context.WithoutCancel(ctx)
	received := make(chan error, 1)
	go func() { received <- s.receive(callCtx, ctx, stream) }()
	return s.report(ctx, stopping, stream, received)
}

// report sends reports: results soon after they occur, and otherwise one per
// interval.
func (s *Session) report(ctx, stopping context.Context, stream RelayStream, received <-chan error) error {
	ticker := time.NewTicker(busyReportInterval)
	defer ticker.Stop()
	var leaveBy <-chan time.Time
	stopped, leaving := stopping.Done(), false
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err := <-received:
			return err
		case <-stopped:
			stopped, leaving = nil, true
			leaveBy = time.After(leaveTimeout)
		case <-leaveBy:
			return nil
		case <-s.wake:
		case <-ticker.C:
			if s.Clock()-s.lastBatch() > ownerTimeout {
				return errors.New("the owner sent nothing in time")
			}
			if !s.reportDue() && !leaving {
				continue
			}
		}
		report, remaining := s.takeReport()
		report.Leaving = leaving
		if err := stream.Send(report); err != nil {
			return errors.Wrap(err, "send report")
		}
		if leaving && remaining == 0 {
			return nil
		}
		time.Sleep(flushInterval)
	}
}

func (s *Session) lastBatch() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.batchAt
}

// reportDue reports whether a report without results is due.
func (s *Session) reportDue() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inFlight > 0 || s.Clock()-s.sentAt > idleReportInterval
}

// takeReport returns the next report and the number of commands that it does not
// cover yet.
func (s *Session) takeReport() (report *pb.RelayReport, remaining int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sentAt = s.Clock()
	report = &pb.RelayReport{ClockMs: s.sentAt.Milliseconds()}
	if report.Outcomes, s.outcomes = splitMessages(s.outcomes); len(s.outcomes) > 0 {
		s.wakeReport()
	}
	return report, s.inFlight + len(s.outcomes)
}

func (s *Session) wakeReport() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// receive carries out commands until the stream fails. sessionCtx ends with the
// session.
func (s *Session) receive(callCtx, sessionCtx context.Context, stream RelayStream) error {
	payloads := newPayloadCache()
	for {
		batch, err := stream.Recv()
		if err != nil {
			return errors.Wrap(err, "receive commands")
		}
		s.mu.Lock()
		s.batchAt = s.Clock()
		s.inFlight += len(batch.GetCommands())
		s.mu.Unlock()
		if batch.GetAskReport() {
			s.wakeReport()
		}
		s.passBacklog(batch)
		deadline := milliseconds(batch.GetEchoedClockMs()) + maxCommandAge
		allowed := func() bool { return sessionCtx.Err() == nil && (s.Clock() <= deadline || s.ignoreAge) }
		for _, c := range batch.GetCommands() {
			if err := payloads.restore(c); err != nil {
				return err
			}
			number := c.GetNumber()
			s.Executor.Add(callCtx, decodeCommand(batch.GetToken(), c), allowed, func(r scheduler.CommandResult) { s.done(number, r) })
		}
	}
}

// done adds the result of a command to the next report.
func (s *Session) done(number int64, r scheduler.CommandResult) {
	s.mu.Lock()
	s.inFlight--
	s.outcomes = append(s.outcomes, encodeResult(number, r))
	s.mu.Unlock()
	s.wakeReport()
}
