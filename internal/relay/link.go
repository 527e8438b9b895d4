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
	// flushInterval is the shortest time between two messages in one direction of a
	// stream. Commands and results that occur in the meantime share a message.
	flushInterval = 8 * time.Millisecond
	// busyTimeout is how long a relay with commands in flight may send nothing before
	// it counts as lost, and idleTimeout applies to one without.
	busyTimeout = time.Second
	idleTimeout = 6 * time.Second
	// checkInterval is how often these time limits are checked.
	checkInterval = 100 * time.Millisecond
	// replyInterval is how long the owner may send nothing to a relay that reports.
	replyInterval = time.Second
	// freshClock is the age of the newest report up to which its clock reading is
	// echoed with commands. If it is older, the relay is asked for a report first, so
	// that it does not reject the commands as too old.
	freshClock = 400 * time.Millisecond
)

var (
	errNotAllowed  = errors.New("the owner may no longer act")
	errRelayLost   = errors.New("the relay was lost")
	errRelaySilent = errors.New("the relay sent nothing in time")
	errReplaced    = errors.New("the instance has connected again")
)

// OwnerStream is the owner's side of a stream.
type OwnerStream interface {
	Send(*pb.RelayBatch) error
	Recv() (*pb.RelayReport, error)
}

// link is a connected relay, as the owner sees it.
type link struct {
	offer  Offer
	router *Router
	wake   chan struct{}
	closed chan struct{}
	once   sync.Once

	mu        sync.Mutex
	queue     []*pb.WorkerCommand
	inFlight  map[int64]scheduler.Command // also those in the queue
	busySince time.Time                   // since when commands are in flight
	newest    int64                       // number of the newest command
	payloads  *payloadCache               // what the relay has received
	clockMs   int64                       // newest reading of the relay's clock
	reported  time.Time                   // when the newest report arrived
	asked     time.Time                   // when a report was last asked for
	sent      time.Time                   // when the newest batch was sent
	backlog   *backlogReport              // to be sent with the next batch, nil if none
}

// ServeRelay serves the stream of a relay until it ends, the relay is lost or the
// term is over.
func (r *Router) ServeRelay(stream OwnerStream) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	offer := first.GetOffer()
	if offer.GetInstance() == "" {
		return errors.New("the first report of a relay must carry its offer")
	}
	l := &link{
		offer:  Offer{Instance: offer.GetInstance(), Domain: offer.GetFailureDomain(), CPUMilli: offer.GetCpuMilli()},
		router: r, wake: make(chan struct{}, 1), closed: make(chan struct{}), inFlight: make(map[int64]scheduler.Command), payloads: newPayloadCache(),
		clockMs: first.GetClockMs(), reported: time.Now(),
	}
	r.add(l)
	failed := make(chan error, 2)
	go func() { failed <- l.receive(stream) }()
	go func() { failed <- l.send(r.ctx, stream) }()
	err = l.wait(failed)
	l.close()
	r.remove(l, err.Error())
	if lost := l.takeInFlight(); len(lost) > 0 && r.ctx.Err() == nil {
		r.opts.Deliver(lostResults(lost, false, errRelayLost))
	}
	return err
}

// wait returns when the stream fails, the relay is silent for too long or the term
// is over.
func (l *link) wait(failed <-chan error) error {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case err := <-failed:
			return err
		case <-l.closed:
			return errReplaced
		case <-l.router.ctx.Done():
			return l.router.ctx.Err()
		case now := <-ticker.C:
			if l.silent(now) {
				return errRelaySilent
			}
		}
	}
}

func (l *link) silent(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.inFlight) > 0 && now.Sub(l.reported) > busyTimeout && now.Sub(l.busySince) > busyTimeout {
		return true
	}
	return now.Sub(l.reported) > idleTimeout
}

func (l *link) close() { l.once.Do(func() { close(l.closed) }) }

func (l *link) reportedAt() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reported
}

func (l *link) inFlightCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.inFlight)
}

// enqueue adds a command to the next batch.
func (l *link) enqueue(c scheduler.Command) {
	l.mu.Lock()
	if len(l.inFlight) == 0 {
		l.busySince = time.Now()
	}
	l.newest++
	l.inFlight[l.newest] = c
	message := encodeCommand(l.newest, c)
	l.payloads.strip(message)
	l.queue = append(l.queue, message)
	l.mu.Unlock()
	l.wakeSender()
}

func (l *link) wakeSender() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// send sends batches until the stream fails or the link is closed. Its error is never nil.
func (l *link) send(ctx context.Context, stream OwnerStream) error {
	for {
		select {
		case <-l.wake:
		case <-l.closed:
			return errReplaced
		case <-ctx.Done():
			return ctx.Err()
		}
		if batch := l.takeBatch(time.Now()); batch != nil {
			if err := stream.Send(batch); err != nil {
				return errors.Wrap(err, "send commands")
			}
		}
		time.Sleep(flushInterval)
	}
}

// takeBatch returns the next message, nil if commands wait for a report that was
// asked for.
func (l *link) takeBatch(now time.Time) *pb.RelayBatch {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent = now
	batch := &pb.RelayBatch{EchoedClockMs: l.clockMs, Token: l.router.opts.Token, Backlog: l.backlog.message(now)}
	if len(l.queue) > 0 && now.Sub(l.reported) > freshClock {
		if now.Sub(l.asked) < freshClock {
			return nil
		}
		l.backlog = nil
		l.asked = now
		batch.AskReport = true
		return batch
	}
	l.backlog = nil
	if batch.Commands, l.queue = splitMessages(l.queue); len(l.queue) > 0 {
		l.wakeSender()
	}
	return batch
}

// receive handles reports until the stream fails.
func (l *link) receive(stream OwnerStream) error {
	for {
		report, err := stream.Recv()
		if err != nil {
			return errors.Wrap(err, "receive report")
		}
		results := l.handleReport(report)
		if report.GetLeaving() {
			l.router.remove(l, "the relay is shutting down")
		}
		if l.replyDue(time.Now()) {
			l.wakeSender()
		}
		if len(results) > 0 {
			l.router.opts.Deliver(results)
		}
	}
}

// replyDue reports whether commands wait for the report that has arrived, or the
// relay must learn that the owner is alive.
func (l *link) replyDue(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.queue) > 0 || now.Sub(l.sent) > replyInterval
}

func (l *link) handleReport(report *pb.RelayReport) []scheduler.CommandResult {
	var results []scheduler.CommandResult
	l.mu.Lock()
	l.clockMs, l.reported = report.GetClockMs(), time.Now()
	for _, o := range report.GetOutcomes() {
		if c, found := l.inFlight[o.GetNumber()]; found {
			delete(l.inFlight, o.GetNumber())
			results = append(results, decodeResult(c, o))
		}
	}
	l.mu.Unlock()
	for _, r := range results {
		if r.Command.Kind == scheduler.CommandHold && r.Err != nil {
			l.router.workerFailed(r.Command.Worker, l.offer.Instance)
		}
	}
	return results
}

// takeInFlight returns and clears the commands without a result.
func (l *link) takeInFlight() []scheduler.Command {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []scheduler.Command
	for _, c := range l.inFlight {
		list = append(list, c)
	}
	clear(l.inFlight)
	l.queue = nil
	return list
}

// lostResults returns results of commands without an answer.
func lostResults(commands []scheduler.Command, notSent bool, err error) []scheduler.CommandResult {
	results := make([]scheduler.CommandResult, 0, len(commands))
	for _, c := range commands {
		results = append(results, scheduler.CommandResult{Command: c, NotSent: notSent, Err: err})
	}
	return results
}
