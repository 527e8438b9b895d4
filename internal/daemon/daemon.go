// Package daemon runs one instance of the scheduler: it serves callers, takes
// part in the election of the owner, and runs the scheduler core while it is the
// owner itself.
//
// Only the goroutine of ownerTerm.loop accesses the core. All other goroutines do
// I/O and post its results to the loop as events.
package daemon

import (
	"context"
	"net"
	"net/http"
	"os"
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
	"gooseberryreel/internal/relay"
	"gooseberryreel/internal/scheduler"
	"gooseberryreel/internal/store"
	"gooseberryreel/internal/witness"
	"gooseberryreel/platform"
)

const (
	// maxPeerConnections limits the connections to the owner.
	maxPeerConnections = 16
	peerDialTimeout    = 300 * time.Millisecond
	// maxPeerMessageBytes limits a message between instances.
	maxPeerMessageBytes = 1 << 20
)

// Topics of the store.
const intakeTopic = "intake"

var jobTopic = store.Partition{Topic: "jobs"}

// Options configures an Instance.
type Options struct {
	Settings *pb.SchedulerSettings
	Logger   *logrus.Entry
	// DroppedLines counts dropped log lines; nil exports no counter.
	DroppedLines *DroppedLineCounter
	// Store, WorkerClient and Advice default to the platform's clients.
	Store        store.Store
	WorkerClient relay.WorkerClient
	Advice       AdviceClient
	// Exit ends the process after a fault. It defaults to os.Exit.
	Exit func()
}

// AdviceClient sends requests to the advice service.
type AdviceClient interface {
	RequestAdvice(ctx context.Context, a scheduler.AdviceRequest) scheduler.AdviceResult
}

// Instance is one scheduler process.
type Instance struct {
	settings *pb.SchedulerSettings
	log      *logrus.Entry
	store    store.Store
	executor *relay.Executor // makes the calls to workers
	advice   AdviceClient
	pool     *peer.Pool
	metrics  *metrics
	registry *prometheus.Registry
	intake   *intake

	config       atomic.Pointer[scheduler.Config]
	configMu     sync.Mutex // held while a version is put into force
	configValue  []byte     // record of the configuration in force
	requests     *operatorRequests
	admission    *admissionControl
	owner        atomic.Pointer[pb.OwnerRecord] // newest known owner, nil if none is known
	ownerChanged chan struct{}                  // receives after owner has changed
	storeContact storeContact
	storeLatency storeLatency
	limits       recordLimits
	ingress      *ingressLimits
	stopping     atomic.Bool
	faulty       atomic.Bool // see fail
	exit         func()

	witness *witness.Witness

	mu   sync.Mutex
	term *ownerTerm // nil while this instance is not the owner
	// notOwnerSince is the boot time at which the last term ended, or the process started.
	notOwnerSince time.Duration

	listeners struct{ api, ready, metrics, peer net.Listener }
}

// New returns an instance and opens its listeners. It fails if it can't listen on
// one of its addresses.
func New(o Options) (*Instance, error) {
	s := o.Settings
	i := &Instance{settings: s, log: o.Logger, store: o.Store, advice: o.Advice, registry: prometheus.NewRegistry(), ownerChanged: make(chan struct{}, 1), witness: newWitness(), notOwnerSince: bootTime(), limits: newRecordLimits(s.GetStore())}
	if i.store == nil {
		i.store = platform.NewStoreClient(s.GetStore().GetAddress(), i.observeUnexpected)
	}
	if o.WorkerClient == nil {
		o.WorkerClient = platform.NewWorkerClient(i.observeUnexpected)
	}
	if i.advice == nil {
		i.advice = platform.NewAdviceClient(s.GetAdviceAddress(), i.observeUnexpected)
	}
	i.metrics = newMetrics(i.registry, o.DroppedLines)
	i.executor = &relay.Executor{Client: o.WorkerClient, Observe: i.metrics.observeCommand}
	i.store = &observedStore{next: i.store, instance: i}
	if i.exit = o.Exit; i.exit == nil {
		i.exit = func() { os.Exit(1) }
	}
	i.intake = newIntake(i)
	i.requests = newOperatorRequests()
	i.admission = newAdmissionControl(i)
	i.pool = peer.NewPool(peer.Options{MaxConnections: maxPeerConnections, DialTimeout: peerDialTimeout, MaxMessageBytes: maxPeerMessageBytes})
	i.ingress = newIngressLimits(s, i.registry, i.log)
	for _, l := range []struct {
		to      *net.Listener
		name    string
		address string
	}{
		{&i.listeners.api, callersListener, s.GetHttpAddress()}, {&i.listeners.ready, readinessListener, s.GetReadyAddress()},
		{&i.listeners.metrics, metricsListener, s.GetMetricsAddress()}, {&i.listeners.peer, peersListener, s.GetPeerAddress()},
	} {
		listener, err := i.ingress.listen(l.name, l.address)
		if err != nil {
			i.closeListeners()
			return nil, errors.Wrapf(err, "listen on %s", l.address)
		}
		*l.to = listener
	}
	return i, nil
}

func (i *Instance) closeListeners() {
	for _, l := range []net.Listener{i.listeners.api, i.listeners.ready, i.listeners.metrics, i.listeners.peer} {
		if l != nil {
			_ = l.Close()
		}
	}
}

// HTTPAddress returns the address that serves callers.
func (i *Instance) HTTPAddress() string { return i.listeners.api.Addr().String() }

// peerAddress returns the address that serves other instances.
func (i *Instance) peerAddress() string { return i.listeners.peer.Addr().String() }

// Run serves until the context ends, then shuts down gracefully. It returns the
// error of a server that failed, nil after a shutdown.
func (i *Instance) Run(ctx context.Context) error {
	// workCtx outlives ctx: callers are served until the shutdown is complete.
	workCtx, stopWork := context.WithCancel(context.Background())
	defer stopWork()
	// termCtx ends between the two: an owner keeps the ownership for a while.
	termCtx, endTerm := context.WithCancel(context.Background())
	defer endTerm()
	electionOver := make(chan struct{})
	group, workCtx := errgroup.WithContext(workCtx)
	api := i.ingress.newServer(platform.NewHandlerWithBudget(i, i.ingress.bodies))
	ready := i.ingress.newServer(http.HandlerFunc(i.serveReady))
	metricsMux := http.NewServeMux()
	metricsMux.Handle("/metrics", bufferResponses(promhttp.HandlerFor(i.registry, promhttp.HandlerOpts{MaxRequestsInFlight: maxMetricsRequests})))
	metricsServer := i.ingress.newServer(metricsMux)
	for _, server := range []*http.Server{ready, metricsServer} {
		server.ReadTimeout, server.WriteTimeout = probeTimeout, probeTimeout
	}
	serve := func(s *http.Server, l net.Listener) func() error {
		return func() error {
			if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
				return errors.Wrapf(err, "serve on %s", l.Addr())
			}
			return nil
		}
	}
	group.Go(serve(api, i.listeners.api))
	group.Go(serve(ready, i.listeners.ready))
	group.Go(serve(metricsServer, i.listeners.metrics))
	group.Go(func() error {
		if err := peer.ServeJobs(workCtx, i.listeners.peer, (*jobsServer)(i), maxPeerMessageBytes); workCtx.Err() == nil {
			return err
		}
		return nil
	})
	group.Go(func() error { i.intake.run(workCtx); return nil })
	group.Go(func() error { i.watchConfig(workCtx); return nil })
	group.Go(func() error { i.fetchConfig(workCtx); return nil })
	group.Go(func() error { defer close(electionOver); i.runElection(ctx, termCtx, workCtx); return nil })
	group.Go(func() error { i.relayForOwners(ctx, workCtx); return nil })
	group.Go(func() error {
		select {
		case <-ctx.Done():
		case <-workCtx.Done():
		}
		i.shutdown(api, endTerm, electionOver)
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

// Config implements platform.Jobs.
func (i *Instance) Config() *scheduler.Config { return i.config.Load() }

// serveReady serves the readiness check: status 200 if the instance is ready,
// otherwise 503 with the reason.
func (i *Instance) serveReady(w http.ResponseWriter, _ *http.Request) {
	if reason := i.notReadyReason(); reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// readyStoreTimeout is how long the store may be unreachable before the instance
// reports that it is not ready. Other instances may still reach the store.
const readyStoreTimeout = 2500 * time.Millisecond

// notReadyReason returns why the instance is not ready, or "" if it is.
func (i *Instance) notReadyReason() string {
	switch {
	case i.stopping.Load():
		return "stopping"
	case i.config.Load() == nil:
		return "no configuration yet"
	case i.storeContact.age() > readyStoreTimeout:
		return "the store is unreachable"
	case i.faulty.Load():
		return "a fault has occurred"
	}
	if o := i.currentTerm(); o != nil && o.stuck.Load() {
		return "the owner's loop makes no progress"
	}
	return ""
}
