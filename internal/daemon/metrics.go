package daemon

import (
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
)

// DroppedLineCounter counts log lines that were dropped.
type DroppedLineCounter struct{ lines atomic.Int64 }

// Add counts lines.
func (c *DroppedLineCounter) Add(lines int) { c.lines.Add(int64(lines)) }

// metrics of one instance.
type metrics struct {
	calls         *prometheus.HistogramVec
	storeCalls    *prometheus.CounterVec
	unreadable    *prometheus.CounterVec
	claims        *prometheus.CounterVec
	orders        *prometheus.CounterVec
	orderSeconds  *prometheus.HistogramVec
	commitSeconds prometheus.Histogram
	owner         prometheus.Gauge
	configVersion prometheus.Gauge
}

// latencyBuckets cover an answer from memory to a caller's deadline.
var latencyBuckets = []float64{.001, .0025, .005, .01, .025, .05, .1, .25, .5, 1, 2, 3}

func newMetrics(r prometheus.Registerer, dropped *DroppedLineCounter) *metrics {
	m := &metrics{
		calls: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "calls_seconds", Help: "Calls of callers by kind and outcome.", Buckets: latencyBuckets,
		}, []string{"kind", "outcome"}),
		storeCalls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "store_calls_total", Help: "Calls to the store.",
		}, []string{"call", "result"}),
		unreadable: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "store_unreadable_records_total", Help: "Records of the store that could not be read.",
		}, []string{"topic"}),
		claims: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "ownership_claims_total", Help: "Claims of the job state.",
		}, []string{"result"}),
		orders: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "worker_orders_total", Help: "Orders to workers.",
		}, []string{"kind", "result"}),
		orderSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "worker_orders_seconds", Help: "Time of orders to workers.", Buckets: latencyBuckets,
		}, []string{"kind"}),
		commitSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "store_commit_seconds", Help: "Time until a batch of decisions is recorded.", Buckets: latencyBuckets,
		}),
		owner:         prometheus.NewGauge(prometheus.GaugeOpts{Name: "ownership_held", Help: "1 while this instance owns the job state."}),
		configVersion: prometheus.NewGauge(prometheus.GaugeOpts{Name: "config_version", Help: "Version of the configuration in force."}),
	}
	r.MustRegister(m.calls, m.storeCalls, m.unreadable, m.claims, m.orders, m.orderSeconds, m.commitSeconds, m.owner, m.configVersion)
	if dropped != nil {
		r.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "log_dropped_lines_total", Help: "Log lines dropped under load.",
		}, func() float64 { return float64(dropped.lines.Load()) }))
	}
	return m
}
