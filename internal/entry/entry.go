// Package entry runs one entry instance: a control goroutine that holds the
// state of partition ownership, configuration, membership and jobs, and the
// servers for callers and peers.
package entry

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"gooseberryreel/internal/api"
	"gooseberryreel/internal/config"
	"gooseberryreel/internal/control"
	"gooseberryreel/internal/dispatch"
	"gooseberryreel/internal/events"
	"gooseberryreel/internal/jobs"
	"gooseberryreel/internal/membership"
	"gooseberryreel/internal/ownership"
	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/peer"
	"gooseberryreel/internal/remote"
)

const (
	tickInterval = 50 * time.Millisecond
	listInterval = time.Second
)

// Errors that end an instance, so that the platform starts a new process.
var (
	// ErrSuperseded means that a newer process runs under this instance's name.
	ErrSuperseded = errors.New("a newer process runs under the name of this instance")
	// ErrRecordsTrimmed means that the log trimmed records of the control stream
	// that this instance had not read. Its state of other instances is then
	// incomplete, so it must not act under this incarnation.
	ErrRecordsTrimmed = errors.New("the log trimmed records of the control stream before they were read")
)

// Options configures an Instance. If Log or List is nil, a client is created
// from the settings; if Logger is nil, the standard logger is used.
type Options struct {
	Settings *pb.EntrySettings
	Log      remote.Log
	List     remote.InstanceList
	Logger   logrus.FieldLogger
}

// Instance is one entry instance. It implements control.Loop.
type Instance struct {
	settings *pb.EntrySettings
	id       ownership.ID
	log      remote.Log
	list     remote.InstanceList
	logger   logrus.FieldLogger
	events   *events.Recorder
	registry *prometheus.Registry
	metrics  *metrics

	peerListener net.Listener
	httpListener net.Listener
	pool         *peer.Pool
	dispatcher   *dispatch.Dispatcher
	runner       *jobs.Runner
	http         *http.Server

	posts           postQueue
	view            atomic.Pointer[control.View]
	ready           atomic.Pointer[string]
	leaving         atomic.Bool
	sequence        atomic.Uint64
	controlAppender *appender
	configAppender  *appender

	// state is accessed only by the control goroutine.
	state state
	fatal chan error
}

// state is the state of the control goroutine.
type state struct {
	core    *ownership.Core
	members *membership.State
	config  *config.State
	modules []control.Module
	// started reports that the reader of the control stream has a start offset,
	// after a snapshot was restored if one was needed.
	started bool
	// seen holds the ids of recent job records, to drop duplicates.
	seen *recentIDs

	controlCaughtUp, configCaughtUp bool
	// configMissing reports that the whole configuration stream was read and
	// that no snapshot covers the records trimmed from it.
	configMissing bool
	// unreadableRows is the number of rows that the newest instance list left out.
	unreadableRows int
	// readsFailingSince is when reads of the log began to fail, zero while they
	// succeed.
	readsFailingSince time.Time
	// peerVersion is the newest configuration version that a peer has reported.
	peerVersion int64
	// fetching reports that a configuration is being fetched from a peer.
	fetching bool
	// exchanging holds the keys of the exchanges in flight.
	exchanging   map[string]bool
	nextExchange time.Time
	// rotation selects the next instance of each other domain to exchange with.
	rotation int

	controlSnapshots, configSnapshots snapshotSchedule

	// releaseAll reports that a planned leave releases all partitions.
	releaseAll bool
	// releasing maps a partition to the epoch at which its release was started.
	releasing map[int]int64
	reported  reportedState
}

// New returns an instance that already listens on its addresses. It does
// nothing else before Run is called.
func New(o Options) (*Instance, error) {
	s := o.Settings
	i := &Instance{
		settings: s,
		id:       ownership.ID{Name: s.GetInstance(), Incarnation: uint64(time.Now().UnixNano())},
		log:      o.Log,
		list:     o.List,
		logger:   o.Logger,
		registry: prometheus.NewRegistry(),
		fatal:    make(chan error, 1),
	}
	if i.log == nil {
		i.log = remote.NewHTTPLog(s.GetLogUrl())
	}
	if i.list == nil {
		i.list = remote.NewHTTPInstanceList(s.GetListUrl())
	}
	if i.logger == nil {
		i.logger = logrus.StandardLogger()
	}
	i.posts.signal = make(chan struct{}, 1)
	i.events = events.NewRecorder(s.GetInstance(), int(s.GetEventCapacity()), events.NewClock(time.Now))
	i.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	i.metrics = newMetrics(i.registry)
	if err := i.listen(); err != nil {
		return nil, err
	}
	i.build()
	return i, nil
}

func (i *Instance) listen() (err error) {
	i.peerListener, err = net.Listen("tcp", i.settings.GetPeerAddress())
	if err != nil {
		return errors.Wrap(err, "listen for peers")
	}
	i.httpListener, err = net.Listen("tcp", i.settings.GetHttpAddress())
	if err != nil {
		_ = i.peerListener.Close()
		return errors.Wrap(err, "listen for callers")
	}
	return nil
}

func (i *Instance) build() {
	s := i.settings
	i.pool = peer.NewPool(peer.Options{
		MaxConnections:  int(s.GetPeers().GetMaxConnections()),
		DialTimeout:     milliseconds(s.GetPeers().GetDialTimeoutMs()),
		MaxMessageBytes: i.maxMessageBytes(),
	})
	i.dispatcher = dispatch.New(dispatch.Options{
		Settings: s.GetRequests(), Views: i.View, Pool: i.pool, NewTarget: i.newTarget,
		Events: i.events, Registry: i.registry, Seed: i.id.Incarnation, Log: i.logger,
	})
	i.runner = jobs.NewRunner(jobs.Options{
		Loop: i, Settings: s.GetJobs(), Policy: s.GetPolicy(), Pool: i.pool, NewWorker: newWorker,
		Events: i.events, Registry: i.registry, Log: i.logger,
	})
	i.http = i.newHTTPServer()
	i.controlAppender = newAppender(i.log, i.controlStream(), i.metrics, i.confirmAppended)
	i.configAppender = newAppender(i.log, config.Stream, i.metrics, nil)
	i.state = state{
		core:    ownership.New(i.ownershipOptions()),
		members: membership.New(s.GetFailureDomain()),
		config:  config.NewState(),
		modules: []control.Module{i.runner},
		seen:    newRecentIDs(), peerVersion: -1,
		exchanging: make(map[string]bool), releasing: make(map[int]int64),
	}
	i.setReady("not started")
}

// newHTTPServer returns the server for callers, with bounds on the size and
// duration of their requests. The read timeout of net/http also cancels the
// context of a running request, so it includes the longest request timeout.
func (i *Instance) newHTTPServer() *http.Server {
	r := i.settings.GetRequests()
	read := milliseconds(r.GetReadTimeoutMs())
	return &http.Server{
		Handler: i.closeWhenLeaving(api.New(api.Options{
			Dispatcher: i.dispatcher, Runner: i.runner, Views: i.View, Events: i.events,
			Gatherer: i.registry, Settings: r, Ready: i.Ready,
		})),
		ReadHeaderTimeout: read,
		ReadTimeout:       read + milliseconds(r.GetMaxTimeoutMs()),
		IdleTimeout:       milliseconds(r.GetIdleTimeoutMs()),
		MaxHeaderBytes:    int(r.GetMaxHeaderBytes()),
	}
}

func (i *Instance) ownershipOptions() ownership.Options {
	o := i.settings.GetOwnership()
	return ownership.Options{
		Self:              i.id,
		PeerAddress:       i.PeerAddress(),
		Partitions:        int(o.GetRequestPartitions()) + 1,
		Lease:             milliseconds(o.GetLeaseMs()),
		HeartbeatInterval: milliseconds(o.GetHeartbeatIntervalMs()),
		UnlistedGrace:     milliseconds(o.GetUnlistedOwnerGraceMs()),
		RefusedProvesGone: o.RefusedProvesGone == nil || o.GetRefusedProvesGone(),
	}
}

// PeerAddress returns the address on which the instance listens for peers.
func (i *Instance) PeerAddress() string { return i.peerListener.Addr().String() }

// HTTPAddress returns the address on which the instance listens for callers and
// operators.
func (i *Instance) HTTPAddress() string { return i.httpListener.Addr().String() }

// Events returns the recorder of the instance's timeline.
func (i *Instance) Events() *events.Recorder { return i.events }

func (i *Instance) controlStream() string { return "control." + i.settings.GetFailureDomain() }

func (i *Instance) lease() time.Duration {
	return milliseconds(i.settings.GetOwnership().GetLeaseMs())
}

func (i *Instance) maxMessageBytes() int {
	r := i.settings.GetRequests()
	return int(max(r.GetMaxBodyBytes(), dispatch.MaxHandOverBytes(r)))
}

func (i *Instance) newTarget(in remote.Instance) remote.Target {
	r := i.settings.GetRequests()
	return remote.NewHTTPTarget(in.Name, in.Address, in.Connections, r.GetMaxAnswerBytes(),
		remote.WithProgressTimeout(milliseconds(r.GetProgressTimeoutMs())))
}

func newWorker(in remote.Instance) remote.Worker {
	return remote.NewHTTPWorker(in.Name, in.Address)
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// Run serves until ctx is done and then leaves after its requests have finished.
// It returns an error if the instance can't continue, or if requests are still
// running at the end of the drain timeout.
func (i *Instance) Run(ctx context.Context) error {
	runCtx, stop := context.WithCancel(context.Background())
	defer stop()
	var group errgroup.Group
	loopDone := make(chan struct{})
	start := func(name string, f func(context.Context) error) {
		group.Go(func() error {
			if err := f(runCtx); err != nil && runCtx.Err() == nil {
				i.fail(errors.Wrap(err, name))
			}
			return nil
		})
	}
	group.Go(func() error {
		defer close(loopDone)
		i.loop(runCtx)
		return nil
	})
	start("read control stream", i.readControl)
	start("read configuration", i.readConfig)
	start("append to control stream", i.controlAppender.run)
	start("append to configuration", i.configAppender.run)
	start("poll instance list", i.pollList)
	start("report latencies", i.reportLatencies)
	start("serve callers", func(context.Context) error { return i.serveHTTP() })
	peersDone := make(chan struct{})
	peerCtx, stopPeers := context.WithCancel(context.Background())
	go func() {
		defer close(peersDone)
		if err := peer.Serve(peerCtx, i.peerListener, &server{instance: i}, i.maxMessageBytes()); err != nil && runCtx.Err() == nil {
			i.fail(err)
		}
	}()
	i.events.Add(events.Event{Kind: "instance_started"})

	var err error
	select {
	case <-ctx.Done():
		err = i.leave()
	case err = <-i.fatal:
	}
	// The listener for peers closes last: to peers, a refused connection proves
	// that this process has stopped acting as an owner.
	stop()
	<-loopDone
	_ = i.http.Close()
	stopPeers()
	<-peersDone
	_ = group.Wait()
	_ = i.pool.Close()
	return err
}

func (i *Instance) fail(err error) {
	select {
	case i.fatal <- err:
	default:
	}
}

func (i *Instance) serveHTTP() error {
	err := i.http.Serve(i.httpListener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve")
}
