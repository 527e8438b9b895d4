// Package dispatch runs requests: the home role, which keeps non-idempotent
// requests to at most one run, and the target role, which counts the slots of
// the targets that this instance owns.
package dispatch

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"gooseberryreel/internal/control"
	"gooseberryreel/internal/errs"
	"gooseberryreel/internal/events"
	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/peer"
	"gooseberryreel/internal/remote"
	"gooseberryreel/internal/requestid"
	"gooseberryreel/internal/router"
)

const (
	// maxHops is the longest useful path: receiver, member of the home domain,
	// home owner, member of another domain, owner of the target.
	maxHops = 4
	// replyGrace is the time that a peer's statement at the deadline gets to
	// travel back, so that a refusal there is not reported as unknown.
	replyGrace = 20 * time.Millisecond
	// drainPoll is the interval at which Drain looks for requests in flight.
	drainPoll = 5 * time.Millisecond
)

// Options configures a Dispatcher.
type Options struct {
	Settings *pb.RequestSettings
	// Views returns the newest view of the control state.
	Views func() *control.View
	Pool  *peer.Pool
	// NewTarget returns the client of a listed target.
	NewTarget func(remote.Instance) remote.Target
	Events    *events.Recorder
	Registry  prometheus.Registerer
	// Seed of random choices. Ids mix it with the instance and its incarnation.
	Seed uint64
	Log  logrus.FieldLogger
}

// Dispatcher is the request path of one instance. It is safe for concurrent
// use.
type Dispatcher struct {
	opts    Options
	limits  bounds
	random  *router.SplitMix64
	ids     minter
	metrics *metrics
	leaving leavingTargets

	routes atomic.Pointer[routes]
	// buildMu guards the state that routes are built from.
	buildMu  sync.Mutex
	state    buildState
	inFlight atomic.Int64
	// stored counts what all tables hold together.
	stored storedTotals
	// held keeps the answers of the target role for home owners whose link
	// broke, and late answers of ids that are homed elsewhere.
	held       *table
	lastDigest time.Time

	off switches
}

// switches turn off one mechanism each; tests set them to show that the
// mechanism is needed.
type switches struct {
	table      bool // at-most-once table
	slots      bool // limit of slots
	permission bool // permission check before a dispatch
	takeover   bool // refusal of ids older than the takeover
	reserve    bool // slots taken after a takeover
	resend     bool // rule against sending a non-idempotent request again
	detach     bool // work goes on after its caller left
	leaving    bool // exclusion of leaving targets
	hold       bool // slots of requests that were given up stay taken
	outcome    bool // unknown for a request that an earlier try may have run
	doubt      bool // unknown for a caller's id that others may have run
	sameBody   bool // refusal of an id in use with another body
	export     bool // no work under an epoch whose state was handed over
}

// bounds are the settings as durations.
type bounds struct {
	defaultTimeout  time.Duration
	maxTimeout      time.Duration
	skew            time.Duration
	retention       time.Duration
	progressTimeout time.Duration
	maxAttempts     int
}

func boundsFrom(s *pb.RequestSettings) bounds {
	ms := func(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
	return bounds{
		defaultTimeout:  ms(s.GetDefaultTimeoutMs()),
		maxTimeout:      ms(s.GetMaxTimeoutMs()),
		skew:            ms(s.GetClockSkewMs()),
		retention:       ms(s.GetRetentionMs()),
		progressTimeout: ms(s.GetProgressTimeoutMs()),
		maxAttempts:     max(int(s.GetMaxAttempts()), 1),
	}
}

// New returns a Dispatcher.
func New(o Options) *Dispatcher {
	if o.Log == nil {
		o.Log = logrus.StandardLogger()
	}
	d := &Dispatcher{
		opts:       o,
		limits:     boundsFrom(o.Settings),
		random:     router.NewSplitMix64(o.Seed),
		state:      newBuildState(),
		lastDigest: time.Now(),
	}
	d.ids.seed = o.Seed
	d.held = newTable(tableLimits{
		maxCount: int64(o.Settings.GetMaxStoredAnswers()), maxBytes: o.Settings.GetMaxStoredBytes(), keep: d.limits.maxTimeout,
	}, &storedTotals{})
	d.metrics = newMetrics(o.Registry, func() float64 { return float64(d.inFlight.Load()) })
	return d
}

// call is one request on its way through this instance.
type call struct {
	req      *pb.ForwardRequest
	routes   *routes
	service  *serviceRoutes
	deadline time.Time
	// generated says that the id was generated here for this request, so no
	// other process has seen it.
	generated bool
	// beforeSend is called immediately before a byte may leave for a target or
	// for the owner of one. It reports false if that is not permitted any more.
	beforeSend func() bool
	// caller ends when the caller leaves; it has no deadline.
	caller context.Context
	// lastTry says that no other attempt follows.
	lastTry bool
}

// over reports whether the deadline has passed or the caller has left. The
// context of a call for a peer has no deadline: a context that is derived from
// the context of a drpc stream costs a goroutine.
func (c *call) over(ctx context.Context) bool {
	return ctx.Err() != nil || !time.Now().Before(c.deadline)
}

func (c *call) fromPeer() bool { return c.req.GetRole() == pb.ForwardRole_FORWARD_ROLE_TARGET }

// Do runs a request of a caller.
func (d *Dispatcher) Do(ctx context.Context, req *pb.ForwardRequest) *pb.ForwardReply {
	d.inFlight.Add(1)
	defer d.inFlight.Add(-1)
	start := time.Now()
	reply := d.do(ctx, req, start)
	reply.Hlc = d.opts.Events.Clock().Now()
	d.metrics.request(reply, time.Since(start))
	d.recordFailure(req, reply)
	return reply
}

func (d *Dispatcher) do(ctx context.Context, req *pb.ForwardRequest, now time.Time) *pb.ForwardReply {
	req.IdFromCaller = req.GetRequestId() != ""
	c, fail := d.newCall(req, now)
	if fail != nil {
		return fail
	}
	c.caller = ctx
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	if !req.GetIdFromCaller() {
		req.RequestId = d.mint(c.routes, now)
		c.generated = true
	}
	if req.GetIdempotent() {
		return d.runIdempotent(ctx, c)
	}
	return d.atHome(ctx, c)
}

// newCall checks a request against the configuration.
func (d *Dispatcher) newCall(req *pb.ForwardRequest, now time.Time) (*call, *pb.ForwardReply) {
	rt := d.currentRoutes()
	if rt == nil || rt.view.Config == nil {
		return nil, d.refuse(req, "configuration", http.StatusServiceUnavailable, true, "no configuration yet")
	}
	if req.GetRequestId() != "" {
		if _, err := requestid.Parse(req.GetRequestId()); err != nil {
			return nil, failed(errs.New("request id", "", "%v", err).WithStatus(http.StatusBadRequest))
		}
	}
	sr := rt.services[req.GetService()]
	if sr == nil {
		return nil, d.refuse(req, "service", http.StatusNotFound, false, "unknown service "+req.GetService())
	}
	if team := req.GetTeam(); team != "" && rt.view.Config.Teams[team] == nil {
		return nil, d.refuse(req, "team", http.StatusBadRequest, false, "unknown team "+team)
	}
	timeout, ok := d.timeoutOf(req, sr.declared)
	if !ok {
		return nil, d.refuse(req, "timeout", http.StatusBadRequest, false, "timeout is negative or above the limit")
	}
	return &call{req: req, routes: rt, service: sr, deadline: now.Add(timeout), beforeSend: func() bool { return true }}, nil
}

func (d *Dispatcher) timeoutOf(req *pb.ForwardRequest, service *pb.Service) (time.Duration, bool) {
	timeout := time.Duration(req.GetTimeoutMs()) * time.Millisecond
	if timeout < 0 || timeout > d.limits.maxTimeout {
		return 0, false
	}
	if timeout == 0 {
		timeout = time.Duration(service.GetDefaultTimeoutMs()) * time.Millisecond
	}
	if timeout == 0 {
		timeout = d.limits.defaultTimeout
	}
	return min(timeout, d.limits.maxTimeout), true
}

// Forward runs a request for a peer.
func (d *Dispatcher) Forward(ctx context.Context, req *pb.ForwardRequest) (*pb.ForwardReply, error) {
	d.inFlight.Add(1)
	defer d.inFlight.Add(-1)
	clock := d.opts.Events.Clock()
	clock.Observe(req.GetHlc())
	reply := d.forwarded(ctx, req)
	reply.Hlc = clock.Now()
	d.metrics.forwardsIn.Inc()
	return reply, nil
}

func (d *Dispatcher) forwarded(ctx context.Context, req *pb.ForwardRequest) *pb.ForwardReply {
	c, fail := d.newCall(req, time.Now())
	if fail != nil {
		return fail
	}
	c.caller = ctx
	if req.GetRole() != pb.ForwardRole_FORWARD_ROLE_HOME {
		return d.runHeld(ctx, c)
	}
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	return d.atHome(ctx, c)
}

// Drain waits until nothing is in flight, or until the context ends.
func (d *Dispatcher) Drain(ctx context.Context) error {
	tick := time.NewTicker(drainPoll)
	defer tick.Stop()
	for d.inFlight.Load() > 0 {
		select {
		case <-ctx.Done():
			return errs.Wrap("drain", "", pb.Outcome_OUTCOME_UNKNOWN, ctx.Err())
		case <-tick.C:
		}
	}
	return nil
}

// mayAct reports whether this instance may start work of a partition now. It
// reads the newest view, and must be called immediately before the start.
func (d *Dispatcher) mayAct(partition int) bool {
	if d.off.permission {
		return true
	}
	view := d.opts.Views()
	if view == nil || partition >= view.RequestPartitions() {
		return false
	}
	p := &view.Partitions[partition]
	return p.MayAct(time.Now()) && (d.off.export || !d.state.exportedEpoch(partition, p.Epoch))
}

func (d *Dispatcher) recordFailure(req *pb.ForwardRequest, reply *pb.ForwardReply) {
	f := reply.GetFailure()
	if f == nil || f.GetOutcome() == pb.Outcome_OUTCOME_NOT_RUN {
		return
	}
	d.opts.Events.Add(events.Event{
		Kind: "request_" + errs.OutcomeName(f.GetOutcome()), ID: req.GetRequestId(), Team: req.GetTeam(),
		Peer: f.GetPeer(), Detail: f.GetStep() + ": " + f.GetMessage(),
	})
}
