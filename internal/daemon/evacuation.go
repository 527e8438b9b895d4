package daemon

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"gooseberryreel/internal/scheduler"
)

// evacuationMetrics are the metrics of the failure domains that are evacuated. Only the
// owner has them.
type evacuationMetrics struct {
	requestedAt *prometheus.GaugeVec
	attempts    *prometheus.GaugeVec
	withheld    *prometheus.CounterVec
}

func newEvacuationMetrics(r prometheus.Registerer) *evacuationMetrics {
	m := &evacuationMetrics{
		requestedAt: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "evacuation_requested_timestamp_seconds",
			Help: "Unix time at which this owner learned that a failure domain is to be evacuated; absent for domains that are not.",
		}, []string{"domain"}),
		attempts: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "evacuation_attempts", Help: "Attempts that may still run in a failure domain that is evacuated.",
		}, []string{"domain"}),
		withheld: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "evacuation_withheld_starts_total", Help: "Starts that would have been possible in a failure domain if it were not evacuated.",
		}, []string{"domain"}),
	}
	r.MustRegister(m.requestedAt, m.attempts, m.withheld)
	return m
}

// clear removes the gauges of a term that is over.
func (m *evacuationMetrics) clear() {
	m.requestedAt.Reset()
	m.attempts.Reset()
}

// evacuationMetricsInterval is the time between two updates of the metrics. Counting
// the attempts visits all workers.
const evacuationMetricsInterval = 500 * time.Millisecond

// evacuationView is what the metrics show of the evacuations of a term.
type evacuationView struct {
	updatedAt time.Time
	withheld  map[string]int64 // as counted, by domain
}

// update takes the metrics over from the core.
func (v *evacuationView) update(c *scheduler.Core, m *evacuationMetrics, now time.Time) {
	if now.Sub(v.updatedAt) < evacuationMetricsInterval {
		return
	}
	v.updatedAt = now
	before := v.withheld
	v.withheld = make(map[string]int64)
	for _, s := range c.Evacuations() {
		m.requestedAt.WithLabelValues(s.Domain).Set(float64(s.Since.UnixMilli()) / 1000)
		m.attempts.WithLabelValues(s.Domain).Set(float64(s.Attempts))
		// An evacuation that was taken back and requested again counts from zero.
		if added := s.Withheld - before[s.Domain]; added >= 0 {
			m.withheld.WithLabelValues(s.Domain).Add(float64(added))
		} else {
			m.withheld.WithLabelValues(s.Domain).Add(float64(s.Withheld))
		}
		v.withheld[s.Domain] = s.Withheld
	}
	for domain := range before {
		if _, still := v.withheld[domain]; !still {
			m.requestedAt.DeleteLabelValues(domain)
			m.attempts.DeleteLabelValues(domain)
		}
	}
}
