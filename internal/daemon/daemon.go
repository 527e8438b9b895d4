// Package daemon runs one instance of the scheduler: it answers callers, takes
// part in the choice of the owner, and drives the scheduler core while it is the
// owner itself.
//
// The goroutine of loop owns the core. All other goroutines do I/O and post what
// they learn to it.
package daemon

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/peer"
	"gooseberryreel/internal/scheduler"
	"gooseberryreel/internal/store"
	"gooseberryreel/platform"
)

const (
	// peerConnections bounds the connections to the owner.
	peerConnections = 16
	peerDialTimeout = 300 * time.Millisecond
	// maxPeerMessage bounds a message between instances.
	maxPeerMessage = 64 << 10
	// readHeaderTimeout bounds slow headers until a configuration sets its own.
	readHeaderTimeout = 3 * time.Second
	idleTimeout       = 60 * time.Second
)

// Topics of the system.
const intakeTopic = "intake"

var jobTopic = store.Partition{Topic: "jobs"}

// Options configures an Instance.
type Options struct {
	Settings *pb.SchedulerSettings
	Logger   *logrus.Entry
	// DroppedLines counts lost log lines, nil for none.
	DroppedLines *DroppedLineCounter
	// Store, Workers and Advice default to the platform's clients.
	Store   store.Store
	Workers WorkerClient
	Advice  AdviceClient
}

// WorkerClient carries out orders.
type WorkerClient interface {
	Do(ctx context.Context, o scheduler.Command) scheduler.CommandResult
}

// AdviceClient asks the advice service.
type AdviceClient interface {
	Ask(ctx context.Context, a scheduler.AdviceRequest) scheduler.AdviceResult
}

// Instance is one scheduler process.
type Instance struct {
	settings *pb.SchedulerSettings
	log      *logrus.Entry
	store    store.Store
	workers  WorkerClient
	advice   AdviceClient
	pool     *peer.Pool
	metrics  *metrics
	registry *prometheus.Registry
	intake   *intake

	config   atomic.Pointer[scheduler.Config]
	owner    atomic.Pointer[pb.OwnerRecord] // nil if none is known
	contact  contact
	stopping atomic.Bool

	// run is the ownership of this instance, nil while it owns nothing.
	mu  sync.Mutex
	own *ownership

	listeners struct{ front, ready, metrics, peer net.Listener }
}

// New opens the listeners of an instance.
func New(o Options) (*Instance, error) {
	s := o.Settings
	i := &Instance{settings: s, log: o.Logger, store: o.Store, workers: o.Workers, advice: o.Advice, registry: prometheus.NewRegistry()}
	if i.store == nil {
		i.store = platform.NewStoreClient(s.GetStore().GetAddress())
	}
	if i.workers == nil {
		i.workers = platform.NewWorkerClient()
	}
	if i.advice == nil {
		i.advice = platform.NewAdviceClient(s.GetAdviceAddress())
	}
	i.metrics = newMetrics(i.registry, o.DroppedLines)
	i.store = &observedStore{next: i.store, instance: i}
	i.intake = newIntake(i)
	i.pool = peer.NewPool(peer.Options{MaxConnections: peerConnections, DialTimeout: peerDialTimeout, MaxMessageBytes: maxPeerMessage})
	for _, l := range []struct {
		to      *net.Listener
		address string
	}{
		{&i.listeners.front, s.GetHttpAddress()}, {&i.listeners.ready, s.GetReadyAddress()},
		{&i.listeners.metrics, s.GetMetricsAddress()}, {&i.listeners.peer, s.GetPeerAddress()},
	} {
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			i.closeListeners()
			return nil, errors.Wrapf(err, "listen on %s", l.address)
		}
		*l.to = listener
	}
	return i, nil
}

func (i *Instance) closeListeners() {
	for _, l := range []net.Listener{i.listeners.front, i.listeners.ready, i.listeners.metrics, i.listeners.peer} {
		if l != nil {
			_ = l.Close()
		}
	}
}

// HTTPAddress returns the address for callers.
func (i *Instance) HTTPAddress() string { return i.listeners.front.Addr().String() }

// peerAddress returns the address for other instances.
func (i *Instance) peerAddress() string { return i.listeners.peer.Addr().String() }

// Run serves until the context ends, then stops gracefully.
func (i *Instance) Run(ctx context.Context) error {
	// work outlives ctx: callers are served until the stop is complete.
	work, stopWork := context.WithCancel(context.Background())
	defer stopWork()
	group, work := errgroup.WithContext(work)
	front := i.server(platform.NewHandler(i))
	ready := i.server(http.HandlerFunc(i.serveReady))
	metricsMux := http.NewServeMux()
	metricsMux.Handle("/metrics", promhttp.HandlerFor(i.registry, promhttp.HandlerOpts{}))
	metricsServer := i.server(metricsMux)
	serve := func(s *http.Server, l net.Listener) func() error {
		return func() error {
			if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
				return errors.Wrapf(err, "serve on %s", l.Addr())
			}
			return nil
		}
	}
	group.Go(serve(front, i.listeners.front))
	group.Go(serve(ready, i.listeners.ready))
	group.Go(serve(metricsServer, i.listeners.metrics))
	group.Go(func() error {
		if err := peer.ServeJobs(work, i.listeners.peer, (*jobsServer)(i), maxPeerMessage); work.Err() == nil {
			return err
		}
		return nil
	})
	group.Go(func() error { i.intake.run(work); return nil })
	group.Go(func() error { i.watchConfig(work); return nil })
	group.Go(func() error { i.takePart(ctx, work); return nil })
	group.Go(func() error {
		select {
		case <-ctx.Done():
		case <-work.Done():
		}
		i.stop(front)
		stopWork()
		_ = ready.Close()
		_ = metricsServer.Close()
		return nil
	})
	err := group.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

func (i *Instance) server(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, ErrorLog: quietLog(i.log)}
}

// Config implements platform.Jobs.
func (i *Instance) Config() *scheduler.Config { return i.config.Load() }

// serveReady answers the readiness check.
func (i *Instance) serveReady(w http.ResponseWriter, _ *http.Request) {
	if reason := i.notReady(); reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// storeSilence is how long the store may be out of reach before the instance
// asks for no new connections: others may still reach it.
const storeSilence = 2500 * time.Millisecond

func (i *Instance) notReady() string {
	switch {
	case i.stopping.Load():
		return "stopping"
	case i.config.Load() == nil:
		return "no configuration yet"
	case i.contact.age() > storeSilence:
		return "the store is out of reach"
	}
	return ""
}
