package daemon

import (
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"gooseberryreel/internal/scheduler"
	"gooseberryreel/platform"
)

// DroppedLineCounter counts dropped log lines. It is safe for concurrent use.
type DroppedLineCounter struct{ lines atomic.Int64 }

// Add adds a number of lines.
func (c *DroppedLineCounter) Add(lines int) { c.lines.Add(int64(lines)) }

// metrics are the metrics of one instance.
type metrics struct {
	calls          *prometheus.HistogramVec
	storeCalls     *prometheus.CounterVec
	unreadable     *prometheus.CounterVec
	rejected       *prometheus.CounterVec
	claims         *prometheus.CounterVec
	commands       *prometheus.CounterVec
	commandSeconds *prometheus.HistogramVec
	commitSeconds  prometheus.Histogram
	decisions      *prometheus.CounterVec
	owner          prometheus.Gauge
	relays         *prometheus.GaugeVec
	ownWorkers     prometheus.Gauge
	configVersion  prometheus.Gauge
	evacuations    *evacuationMetrics
	nearWaits      *prometheus.HistogramVec
	nearErrors     prometheus.Histogram
	intakeAge      prometheus.Histogram
	loop           *loopMetrics
	unexpected     *prometheus.CounterVec
	unexpectedLog  rate.Sometimes
}

// latencyBuckets are in seconds, from a response from memory to a caller's deadline.
var latencyBuckets = []float64{.001, .0025, .005, .01, .025, .05, .1, .25, .5, 1, 2, 3}

// errorBuckets are in seconds. An expectation that is too long has a negative error.
var errorBuckets = []float64{-1, -.5, -.25, -.1, -.05, -.025, 0, .025, .05, .1, .25, .5, 1, 2}

func newMetrics(r prometheus.Registerer, dropped *DroppedLineCounter) *metrics {
	m := &metrics{
		calls: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "calls_seconds", Help: "Duration of requests of callers by kind and outcome.", Buckets: latencyBuckets,
		}, []string{"kind", "outcome"}),
		storeCalls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "store_calls_total", Help: "Calls to the store by call and result.",
		}, []string{"call", "result"}),
		unreadable: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "store_unreadable_records_total", Help: "Records of the store that could not be decoded.",
		}, []string{"topic"}),
		rejected: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "store_rejected_records_total", Help: "Records that the store rejects however often they are appended, by topic.",
		}, []string{"topic"}),
		claims: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "ownership_claims_total", Help: "Claims of the ownership of the job state by result.",
		}, []string{"result"}),
		commands: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "worker_orders_total", Help: "Commands sent to workers by kind and result.",
		}, []string{"kind", "result"}),
		commandSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "worker_orders_seconds", Help: "Duration of commands to workers by kind.", Buckets: latencyBuckets,
		}, []string{"kind"}),
		commitSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "store_commit_seconds", Help: "Time until the store has confirmed a batch of decisions.", Buckets: latencyBuckets,
		}),
		decisions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "owner_decisions_total", Help: "Decisions and observed changes of this instance while it is the owner, by event as in the log.",
		}, []string{"event"}),
		relays: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "relays_connected", Help: "Relays that are connected to this instance while it is the owner, by whether they serve workers.",
		}, []string{"state"}),
		ownWorkers:    prometheus.NewGauge(prometheus.GaugeOpts{Name: "owner_workers", Help: "Workers that the owner serves itself."}),
		owner:         prometheus.NewGauge(prometheus.GaugeOpts{Name: "ownership_held", Help: "1 while this instance owns the job state."}),
		configVersion: prometheus.NewGauge(prometheus.GaugeOpts{Name: "config_version", Help: "Version of the configuration in force."}),
		nearWaits: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "owner_near_wait_seconds", Help: "Waits of tasks and gangs for room near their data or their gang, by how they ended.", Buckets: latencyBuckets,
		}, []string{"how"}),
		nearErrors: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "owner_near_wait_error_seconds", Help: "Duration of a wait that ended near minus the expected one.", Buckets: errorBuckets,
		}),
		unexpected: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "unexpected_responses_total", Help: "Data of workers, the store and the advice service that no call asked for, by kind and call.",
		}, []string{"kind", "call"}),
		unexpectedLog: rate.Sometimes{First: 20, Interval: time.Second},
	}
	m.intakeAge = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "owner_intake_age_seconds", Help: "Age of the newest read of the intake when the owner was asked for the length of a queue.", Buckets: latencyBuckets,
	})
	r.MustRegister(m.unexpected, m.intakeAge, m.nearWaits, m.nearErrors, m.calls, m.storeCalls, m.unreadable, m.rejected, m.claims, m.commands, m.commandSeconds, m.commitSeconds, m.decisions, m.relays, m.ownWorkers, m.owner, m.configVersion)
	m.evacuations = newEvacuationMetrics(r)
	m.loop = newLoopMetrics(r)
	if dropped != nil {
		r.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "log_dropped_lines_total", Help: "Log lines dropped under load.",
		}, func() float64 { return float64(dropped.lines.Load()) }))
	}
	return m
}

// observeDecision counts an entry of the core's log, and measures the end of a wait for
// room near the data or the gang.
func (m *metrics) observeDecision(entry scheduler.LogEntry) {
	m.decisions.WithLabelValues(entry.Event).Inc()
	if w := entry.NearWait; w != nil {
		m.nearWaits.WithLabelValues(w.How).Observe(w.Waited.Seconds())
		if w.How == "near" {
			m.nearErrors.Observe((w.Waited - w.Expected).Seconds())
		}
	}
}

// observeCommand counts a command that was sent to a worker.
func (m *metrics) observeCommand(r scheduler.CommandResult, took time.Duration) {
	kind := r.Command.Kind.String()
	m.commandSeconds.WithLabelValues(kind).Observe(took.Seconds())
	m.commands.WithLabelValues(kind, resultLabel(r)).Inc()
}

// observeUnexpected counts data of a peer that no call asked for, and logs some of it.
func (i *Instance) observeUnexpected(u platform.Unexpected) {
	i.metrics.unexpected.WithLabelValues(u.Kind, u.Step).Inc()
	i.metrics.unexpectedLog.Do(func() {
		i.log.WithFields(logrus.Fields{
			"event": "unexpected response", "kind": u.Kind, "call": u.Step, "peer": u.Peer, "number": u.Call, "age_ms": u.Age.Milliseconds(),
		}).Warn("call")
	})
}

// resultLabel returns the value of the metrics' result label.
func resultLabel(r scheduler.CommandResult) string {
	switch {
	case r.NotSent:
		return "not_sent"
	case r.Err != nil:
		return "unknown"
	case r.Refused != scheduler.RefusedNone:
		return r.Refused.String()
	default:
		return "ok"
	}
}
