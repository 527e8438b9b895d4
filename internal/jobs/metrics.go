package jobs

import (
	"github.com/prometheus/client_golang/prometheus"
)

// metrics holds the Prometheus metrics of the job partition on this instance.
type metrics struct {
	jobEvents      *prometheus.CounterVec
	calls          *prometheus.CounterVec
	failedRequests *prometheus.CounterVec
	records        prometheus.Counter
	queued         *prometheus.GaugeVec
	active         prometheus.Gauge
	recorded       prometheus.Gauge
}

func newMetrics(r prometheus.Registerer) *metrics {
	m := &metrics{
		jobEvents: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "jobs_events_total", Help: "Job and worker events, by kind.",
		}, []string{"kind"}),
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "jobs_worker_calls_total", Help: "Calls to workers, by kind and result.",
		}, []string{"call", "result"}),
		failedRequests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "jobs_requests_failed_total", Help: "Job requests that failed, by step and outcome.",
		}, []string{"step", "outcome"}),
		records: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "jobs_records_appended_total", Help: "Job records handed to the control stream.",
		}),
		queued: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "jobs_queued", Help: "Queued jobs of the owned partition.",
		}, []string{"class"}),
		active: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "jobs_active", Help: "Jobs of the owned partition that have not ended.",
		}),
		recorded: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "jobs_recorded", Help: "Jobs known from the control stream.",
		}),
	}
	if r != nil {
		r.MustRegister(m.jobEvents, m.calls, m.failedRequests, m.records, m.queued, m.active, m.recorded)
	}
	return m
}
