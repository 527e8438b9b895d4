package interference

import "time"

const (
	// avoidedShare is the fraction of a service's average requests per report
	// below which the router is taken to avoid a target, as it does with slow ones.
	avoidedShare = 0.25
	// minAvoided replaces minRequests for an avoided target, since the avoidance
	// itself also indicates that the target is slow.
	minAvoided = 3
	// usualRate is the weight of one report in the moving average of the requests
	// per report.
	usualRate = 0.05
	// maxSummed limits the age of the oldest report in an aggregate.
	maxSummed = 30 * time.Second
)

// partial aggregates reports that have too few requests each.
type partial struct {
	since    time.Time
	requests int64
	totalUS  int64
	load     float64
	reports  float64
}

// sum adds a report. Once the aggregate has the needed number of requests, it
// returns the aggregate as one report and true, and starts a new one.
func (s *partial) sum(r Report, needed int64, now time.Time) (Report, bool) {
	if s.reports == 0 || now.Sub(s.since) > maxSummed {
		*s = partial{since: now}
	}
	s.requests += r.Requests
	s.totalUS += r.Requests * r.MeanUS
	s.load += r.Load
	s.reports++
	if s.requests < needed {
		return r, false
	}
	r.Requests, r.MeanUS, r.Load = s.requests, s.totalUS/s.requests, s.load/s.reports
	*s = partial{}
	return r, true
}

// needed returns the number of requests from which a report of the service is
// evaluated, and updates the average number of requests per report.
func (m *Meter) needed(r Report) int64 {
	usual, known := m.usual[r.Service]
	requests := float64(r.Requests)
	if !known {
		usual = requests
	}
	m.usual[r.Service] = usual + usualRate*(requests-usual)
	if requests < avoidedShare*usual {
		return minAvoided
	}
	return minRequests
}
