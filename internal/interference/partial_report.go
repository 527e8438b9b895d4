package interference

import "time"

const (
	// avoidedFraction is the fraction of a service's average requests per report
	// below which the router is assumed to avoid a target, as it does with slow ones.
	avoidedFraction = 0.25
	// minAvoidedRequests replaces minRequests for an avoided target, since the
	// avoidance itself also indicates that the target is slow.
	minAvoidedRequests = 3
	// meanRequestsRate is the weight of one report in the moving average of the
	// requests per report.
	meanRequestsRate = 0.05
	// maxPartialAge limits the age of the oldest report in an aggregate.
	maxPartialAge = 30 * time.Second
)

// partialReport aggregates reports that have too few requests each.
type partialReport struct {
	since    time.Time
	requests int64
	totalUS  int64
	load     float64
	reports  float64
}

// add adds a report. Once the aggregate has the required number of requests, it
// returns the aggregate as one report and true, and starts a new one.
func (s *partialReport) add(r Report, required int64, now time.Time) (Report, bool) {
	if s.reports == 0 || now.Sub(s.since) > maxPartialAge {
		*s = partialReport{since: now}
	}
	s.requests += r.Requests
	s.totalUS += r.Requests * r.MeanUS
	s.load += r.Load
	s.reports++
	if s.requests < required {
		return r, false
	}
	r.Requests, r.MeanUS, r.Load = s.requests, s.totalUS/s.requests, s.load/s.reports
	*s = partialReport{}
	return r, true
}

// requiredRequests returns the number of requests from which a report of the
// service is evaluated, and updates the average number of requests per report.
func (m *Meter) requiredRequests(r Report) int64 {
	meanRequests, known := m.meanRequests[r.Service]
	requests := float64(r.Requests)
	if !known {
		meanRequests = requests
	}
	m.meanRequests[r.Service] = meanRequests + meanRequestsRate*(requests-meanRequests)
	if requests < avoidedFraction*meanRequests {
		return minAvoidedRequests
	}
	return minRequests
}
