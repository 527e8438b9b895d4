package relay

import (
	"context"
	"errors"
	"io"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/scheduler"
)

// site is an owner with relays, connected by streams in memory. Its tests run in a
// synctest bubble.
type site struct {
	c      *qt.C
	ctx    context.Context
	cancel context.CancelFunc
	router *Router
	own    *workerCalls // made by the owner itself
	mayAct bool

	mu      sync.Mutex
	results []scheduler.CommandResult
}

func newSite(t *testing.T, limits Limits) *site {
	s := &site{c: qt.New(t), own: &workerCalls{}, mayAct: true}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	s.router = NewRouter(s.ctx, RouterOptions{
		Token: 7, Limits: limits, CPUMilli: 1000, Executor: &Executor{Client: s.own},
		MayAct: func() bool { return s.mayAct },
		Deliver: func(list []scheduler.CommandResult) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.results = append(s.results, list...)
		},
		Log: logger.WithField("instance", "owner"),
	})
	return s
}

// allOnRelays are limits with which the owner serves no worker itself.
var allOnRelays = Limits{OwnerWorkersPerCore: 0, RelayWorkersPerCore: 100}

func (s *site) takeResults() []scheduler.CommandResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.results
	s.results = nil
	return list
}

// workerCalls is a client whose calls take a while and succeed unless fail is set.
type workerCalls struct {
	mu    sync.Mutex
	calls []scheduler.Command
	fail  bool
}

const callTime = 5 * time.Millisecond

// Do implements WorkerClient.
func (w *workerCalls) Do(_ context.Context, c scheduler.Command) scheduler.CommandResult {
	w.mu.Lock()
	w.calls = append(w.calls, c)
	fail := w.fail
	w.mu.Unlock()
	time.Sleep(callTime + c.Wait)
	result := scheduler.CommandResult{Command: c, Clock: time.Second}
	switch {
	case fail:
		result.Err = errors.New("no answer")
	case c.Kind == scheduler.CommandHold:
		result.Hold = &scheduler.HoldReply{Clock: time.Second, Incarnation: 3, Active: []scheduler.ActiveAttempt{{
			AttemptID: scheduler.AttemptID{Job: "j", Task: 4, Number: 2}, Checkpoint: "c", Progress: 50, Measured: 12,
		}}, Ended: []scheduler.EndedAttempt{{Number: 9, AttemptID: scheduler.AttemptID{Job: "j", Number: 1}, Reason: scheduler.EndDone}}}
	}
	return result
}

func (w *workerCalls) list() []scheduler.Command {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.calls)
}

func (w *workerCalls) count() int { return len(w.list()) }

// relayProcess is a relay of a site.
type relayProcess struct {
	*workerCalls
	stream   *stream
	stopping context.CancelFunc
	ended    chan error
}

// connect starts a relay.
func (s *site) connect(instance string, change func(*Session)) *relayProcess {
	return s.connectOver(instance, change, func(end relayEnd) RelayStream { return end })
}

// connectOver starts a relay that uses the stream that wrap returns.
func (s *site) connectOver(instance string, change func(*Session), wrap func(relayEnd) RelayStream) *relayProcess {
	p := &relayProcess{workerCalls: &workerCalls{}, stream: newStream(), ended: make(chan error, 1)}
	start := time.Now()
	session := &Session{
		Offer:    Offer{Instance: instance, Domain: "d0", CPUMilli: 1000},
		Executor: &Executor{Client: p}, Clock: func() time.Duration { return time.Since(start) + time.Minute },
	}
	if change != nil {
		change(session)
	}
	stopping, stop := context.WithCancel(context.Background())
	p.stopping = stop
	ctx, cancel := context.WithCancel(s.ctx)
	go func() {
		defer cancel()
		p.ended <- session.Run(ctx, stopping, wrap(relayEnd{p.stream}))
		p.stream.close()
	}()
	go func() {
		_ = s.router.ServeRelay(ownerEnd{p.stream}) // the tests look at what it delivers
		p.stream.close()
	}()
	return p
}

// stream is a connection. While it is paused, the relay neither receives nor sends,
// like a process that is stopped.
type stream struct {
	batches chan *pb.RelayBatch
	reports chan *pb.RelayReport
	closed  chan struct{}
	once    sync.Once

	mu     sync.Mutex
	paused chan struct{} // closed when the pause ends, nil if there is none
	// dropBatches and dropReports lose all messages in one direction.
	dropBatches, dropReports bool
}

func (s *stream) drop(batches, reports bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropBatches, s.dropReports = batches, reports
}

func (s *stream) drops() (batches, reports bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dropBatches, s.dropReports
}

func newStream() *stream {
	return &stream{batches: make(chan *pb.RelayBatch, 1000), reports: make(chan *pb.RelayReport, 1000), closed: make(chan struct{})}
}

func (s *stream) close() { s.once.Do(func() { close(s.closed) }) }

func (s *stream) pause() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.paused = make(chan struct{})
}

func (s *stream) resume() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.paused)
	s.paused = nil
}

func (s *stream) waitPause() {
	s.mu.Lock()
	paused := s.paused
	s.mu.Unlock()
	if paused != nil {
		<-paused
	}
}

var errStreamClosed = errors.New("stream closed")

func transfer[T any](s *stream, c chan T, m T) error {
	select {
	case <-s.closed:
		return errStreamClosed
	case c <- m:
		return nil
	}
}

func receive[T any](s *stream, c chan T) (m T, err error) {
	select {
	case m = <-c:
		return m, nil
	case <-s.closed:
		return m, errStreamClosed
	}
}

type ownerEnd struct{ *stream }

func (e ownerEnd) Send(m *pb.RelayBatch) error {
	if drop, _ := e.drops(); drop {
		return nil
	}
	return transfer(e.stream, e.batches, m)
}

func (e ownerEnd) Recv() (*pb.RelayReport, error) { return receive(e.stream, e.reports) }

type relayEnd struct{ *stream }

func (e relayEnd) Send(m *pb.RelayReport) error {
	if _, drop := e.drops(); drop {
		return nil
	}
	e.waitPause()
	time.Sleep(time.Millisecond) // what was received is handled before a closed stream is noticed
	return transfer(e.stream, e.reports, m)
}

func (e relayEnd) Recv() (*pb.RelayBatch, error) {
	m, err := receive(e.stream, e.batches)
	e.waitPause()
	return m, err
}

func start(worker string) scheduler.Command {
	return scheduler.Command{Kind: scheduler.CommandStart, Worker: worker, Address: worker, Domain: "d0", Token: 7,
		AttemptID: scheduler.AttemptID{Job: "j", Round: 1, Step: 2, Task: 3, Number: 4}, Lease: 9 * time.Second, Payload: "text", Checkpoint: "c", Ticket: "t"}
}

func hold(worker string, wait time.Duration) scheduler.Command {
	return scheduler.Command{Kind: scheduler.CommandHold, Worker: worker, Address: worker, Domain: "d0", Token: 7, Lease: 8 * time.Second, Cursor: 5, Wait: wait}
}
