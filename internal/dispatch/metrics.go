package dispatch

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"gooseberryreel/internal/errs"
	"gooseberryreel/internal/pb"
)

// metrics holds the metrics of the request path. Most children of label vectors are
// looked up only once, since a look-up costs more than the increment.
type metrics struct {
	answered         prometheus.Counter
	failures         map[pb.Outcome]prometheus.Counter
	duration         prometheus.Observer
	forwardsReceived prometheus.Counter
	forwardsSent     prometheus.Counter
	retries          prometheus.Counter
	retriesDenied    prometheus.Counter
	duplicates       prometheus.Counter
	refusals         *prometheus.CounterVec
	lateAnswers      prometheus.Counter
	targetFailures   prometheus.Counter
	droppedAnswers   prometheus.Counter
}

func newMetrics(registry prometheus.Registerer, inFlight func() float64) *metrics {
	if registry == nil {
		registry = prometheus.NewRegistry()
	}
	counter := func(name, help string) prometheus.Counter {
		c := prometheus.NewCounter(prometheus.CounterOpts{Namespace: "gooseberry", Name: name, Help: help})
		registry.MustRegister(c)
		return c
	}
	requests := prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "gooseberry", Name: "dispatch_requests_total", Help: "Requests of callers by result.",
	}, []string{"result"})
	refusals := prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "gooseberry", Name: "dispatch_queue_refusals_total", Help: "Requests that a queue refused, by reason.",
	}, []string{"reason"})
	duration := prometheus.NewHistogram(prometheus.HistogramOpts{
		Namespace: "gooseberry", Name: "dispatch_request_seconds", Help: "Time from receipt to answer.",
		Buckets: prometheus.ExponentialBuckets(0.0005, 2, 16),
	})
	gauge := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: "gooseberry", Name: "dispatch_in_flight_requests", Help: "Requests in flight in this instance.",
	}, inFlight)
	registry.MustRegister(requests, refusals, duration, gauge)
	m := &metrics{
		answered:         requests.WithLabelValues("answered"),
		failures:         make(map[pb.Outcome]prometheus.Counter),
		duration:         duration,
		refusals:         refusals,
		forwardsReceived: counter("dispatch_forwards_received_total", "Requests received from peers."),
		forwardsSent:     counter("dispatch_forwards_sent_total", "Requests sent to peers."),
		retries:          counter("dispatch_retries_total", "Attempts after the first."),
		retriesDenied:    counter("dispatch_retries_over_budget_total", "Retries not made because the budget was spent or requests were waiting for a slot."),
		duplicates:       counter("dispatch_duplicate_requests_total", "Requests whose id was known."),
		lateAnswers:      counter("dispatch_late_answers_total", "Answers that came after the caller's deadline."),
		targetFailures:   counter("dispatch_target_failures_total", "Failed requests to targets."),
		droppedAnswers:   counter("dispatch_stored_answers_dropped_total", "Stored answers dropped to stay within the byte limit."),
	}
	for _, o := range []pb.Outcome{pb.Outcome_OUTCOME_UNSPECIFIED, pb.Outcome_OUTCOME_UNKNOWN, pb.Outcome_OUTCOME_NOT_RUN, pb.Outcome_OUTCOME_RAN} {
		m.failures[o] = requests.WithLabelValues(errs.OutcomeName(o))
	}
	return m
}

// recordRequest records the result and the duration of a caller's request.
func (m *metrics) recordRequest(reply *pb.ForwardReply, took time.Duration) {
	m.duration.Observe(took.Seconds())
	if reply.GetFailure() == nil {
		m.answered.Inc()
		return
	}
	m.failures[outcomeOf(reply)].Inc()
}
