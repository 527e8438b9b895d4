// Package dispatch implements the request path of an instance.
//
// An instance acts in two roles. As the home owner of a request id it
// deduplicates non-idempotent requests, so that each runs at most once. As the
// owner of a target it limits the requests in flight there to the target's slots.
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
	// maxHops is the number of forwards on the longest useful path: receiver,
	// member of the home domain, home owner, member of another domain, owner of
	// the target.
	maxHops = 4
	// replyGrace is how long after the deadline a peer's reply may still arrive,
	// so that a refusal which the peer sends at the deadline is not reported as
	// unknown.
	replyGrace = 20 * time.Millisecond
	// drainPoll is the interval at which Drain checks for requests in flight.
	drainPoll = 5 * time.Millisecond
)

// Options configures a Dispatcher.
type Options struct {
	Settings *pb.RequestSettings
	// Views returns the newest view of the control state.
	Views func() *control.View
	Pool  *peer.Pool
	// NewTarget returns a client for a target on the platform's list.
	NewTarget func(remote.Instance) remote.Target
	Events    *events.Recorder
	// Registry receives the metrics; nil discards them.
	Registry prometheus.Registerer
	// Seed seeds the random choices. Generated ids combine it with the instance
	// name and incarnation.
	Seed uint64
	// Log defaults to the standard logger.
	Log logrus.FieldLogger
}

// Dispatcher is the request path of one instance. It is safe for concurrent
// use.
type Dispatcher struct {
	opts    Options
	limits  requestLimits
	random  *router.SplitMix64
	ids     idGenerator
	metrics *metrics
	leaving leavingTargets

	routes atomic.Pointer[routes]
	// buildMu guards the state from which routes are built.
	buildMu sync.Mutex
	state   buildState
	// inFlight counts requests that are being served or run in the background.
	inFlight atomic.Int64
	// stored holds the totals over the tables of all partitions.
	stored storedTotals
	// retained keeps answers that no partition's table of this instance holds:
	// those of the target role, for home owners whose connection broke, and late
	// answers to ids whose home is another domain.
	retained *table
	// digestPeriodStart is when the current period of latency digests began.
	digestPeriodStart time.Time

	disabled disabledRules
}

// disabledRules disables one safety mechanism per field. Tests set them to show that
// a guarantee fails without the mechanism.
type disabledRules struct {
	table           bool // at-most-once table
	slots           bool // slot limit of targets
	permission      bool // check of the permission to act before work starts
	takeover        bool // unknown outcome for ids from before a takeover
	reserve         bool // slots reserved after a takeover
	resend          bool // rule that a non-idempotent request is not sent again
	detach          bool // requests continue after their caller disconnected
	leaving         bool // exclusion of leaving targets
	abandonedSlots  bool // slots of abandoned requests stay in use
	retryOutcome    bool // unknown outcome if an earlier attempt may have run
	callerIDOutcome bool // unknown outcome for a caller's id that others may have run
	sameBody        bool // rejection of an id that is in use with another body
	export          bool // no new work under an epoch whose state was exported
}

// requestLimits holds the request settings, with durations in place of
// milliseconds.
type requestLimits struct {
	defaultTimeout  time.Duration
	maxTimeout      time.Duration
	skew            time.Duration
	retention       time.Duration
	progressTimeout time.Duration
	maxAttempts     int
}

func requestLimitsFrom(s *pb.RequestSettings) requestLimits {
	ms := func(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
	return requestLimits{
		defaultTimeout:  ms(s.GetDefaultTimeoutMs()),
		maxTimeout:      ms(s.GetMaxTimeoutMs()),
		skew:            ms(s.GetClockSkewMs()),
		retention:       ms(s.GetRetentionMs()),
		progressTimeout: ms(s.GetProgressTimeoutMs()),
		maxAttempts:     max(int(s.GetMaxAttempts()), 1),
	}
}

// New returns a Dispatcher. It registers its metrics with o.Registry.
func New(o Options) *Dispatcher {
	if o.Log == nil {
		o.Log = logrus.StandardLogger()
	}
	d := &Dispatcher{
		opts:              o,
		limits:            requestLimitsFrom(o.Settings),
		random:            router.NewSplitMix64(o.Seed),
		state:             newBuildState(),
		digestPeriodStart: time.Now(),
	}
	d.ids.seed = o.Seed
	d.retained = newTable(tableLimits{
		maxCount: int64(o.Settings.GetMaxStoredAnswers()), maxBytes: o.Settings.GetMaxStoredBytes(), maxAge: d.limits.maxTimeout,
	}, &storedTotals{})
	d.metrics = newMetrics(o.Registry, func() float64 { return float64(d.inFlight.Load()) })
	return d
}

// call is one request that this instance handles.
type call struct {
	req      *pb.ForwardRequest
	routes   *routes
	service  *serviceRoutes
	deadline time.Time
	// generated is set if this instance generated the id for this request, so
	// that no other process has seen it.
	generated bool
	// beforeSend is called immediately before the first byte may be sent to a
	// target or to the owner of one. It reports whether that is still permitted.
	beforeSend func() bool
	// caller is done when the caller disconnects; it has no deadline.
	caller context.Context
	// lastAttempt is set if no other attempt follows.
	lastAttempt bool
}

// ended reports whether the deadline has passed or the caller has disconnected. It
// checks the deadline itself, since the context of a call for a peer has none:
// a context derived from that of a drpc stream costs a goroutine.
func (c *call) ended(ctx context.Context) bool {
	return ctx.Err() != nil || !time.Now().Before(c.deadline)
}

func (c *call) fromPeer() bool { return c.req.GetRole() == pb.ForwardRole_FORWARD_ROLE_TARGET }

// Do runs a request of a caller and reports a failure in the reply. If the request
// has no id, Do generates one and sets it in req.
func (d *Dispatcher) Do(ctx context.Context, req *pb.ForwardRequest) *pb.ForwardReply {
	d.inFlight.Add(1)
	defer d.inFlight.Add(-1)
	start := time.Now()
	reply := d.do(ctx, req, start)
	reply.Hlc = d.opts.Events.Clock().Now()
	d.metrics.recordRequest(reply, time.Since(start))
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
		req.RequestId = d.newRequestID(c.routes, now)
		c.generated = true
	}
	if req.GetIdempotent() {
		return d.runIdempotent(ctx, c)
	}
	return d.runAtHome(ctx, c)
}

// newCall validates a request against the configuration. It returns either a
// call or the reply that rejects the request.
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

// timeoutOf returns the timeout of a request: its own, else that
// of the service, else the default. It reports false for one out of range.
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

// Forward runs a request for a peer, in the role that the request names. It reports
// a failure in the reply; the error is always nil.
func (d *Dispatcher) Forward(ctx context.Context, req *pb.ForwardRequest) (*pb.ForwardReply, error) {
	d.inFlight.Add(1)
	defer d.inFlight.Add(-1)
	clock := d.opts.Events.Clock()
	clock.Observe(req.GetHlc())
	reply := d.runForwarded(ctx, req)
	reply.Hlc = clock.Now()
	d.metrics.forwardsReceived.Inc()
	return reply, nil
}

func (d *Dispatcher) runForwarded(ctx context.Context, req *pb.ForwardRequest) *pb.ForwardReply {
	c, fail := d.newCall(req, time.Now())
	if fail != nil {
		return fail
	}
	c.caller = ctx
	if req.GetRole() != pb.ForwardRole_FORWARD_ROLE_HOME {
		return d.runForPeer(ctx, c)
	}
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	return d.runAtHome(ctx, c)
}

// Drain waits until no request is in flight. It returns an error if the context
// ends first.
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
// reads the newest view and must be called immediately before the work starts.
func (d *Dispatcher) mayAct(partition int) bool {
	if d.disabled.permission {
		return true
	}
	view := d.opts.Views()
	if view == nil || partition >= view.RequestPartitions() {
		return false
	}
	p := &view.Partitions[partition]
	return p.MayAct(time.Now()) && (d.disabled.export || !d.state.isExported(partition, p.Epoch))
}

// recordFailure records an event for a failed request that may have run.
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
