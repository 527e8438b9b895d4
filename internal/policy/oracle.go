package policy

import "gooseberryreel/internal/interference"

// OracleThresholds returns the placement thresholds among which the best run of
// the oracle is chosen. At a site with a tail bound they bracket the largest
// threshold that keeps the bound: in a sweep from 1.005 to no limit, none above
// 1.02 kept it.
func (s Site) OracleThresholds() []float64 {
	if s.TailBound {
		return []float64{1.01, 1.015, 1.0175, 1.02, 1.0225, 1.03}
	}
	return []float64{1.03, unlimited}
}

// RunOracle simulates one day with a policy that knows the true slowdown of each
// pair of service and job at the present load. It places batch tasks up to a
// slowdown of placeThreshold.
func RunOracle(site Site, seed uint64, placeThreshold float64) (Outcome, error) {
	return newModel(site, Oracle, seed, placeThreshold).run(Oracle, seed)
}

// controllerThresholds returns the thresholds that follow from the site's weights,
// with another placement threshold.
func (m *model) controllerThresholds(placeThreshold float64) *interference.Thresholds {
	p := m.site.Policy
	thresholds := interference.ThresholdsFor(float64(p.TailLatencyWeight), float64(p.ThroughputWeight), float64(p.EvictionWeight))
	thresholds.Place = placeThreshold
	return &thresholds
}

// GoalFactor is the factor by which p99 and the missed deadlines may exceed those
// without colocation at a site with a tail bound.
const GoalFactor = 1.1

// MeetsTailBound reports whether a run is within the site's tail bound, given the
// run without colocation and with the same seed.
func (s Site) MeetsTailBound(run, baseline Outcome) bool {
	if !s.TailBound {
		return true
	}
	return float64(run.P99) <= GoalFactor*float64(baseline.P99) && run.Missed <= GoalFactor*baseline.Missed
}

// BestOracle returns the candidate that finished the most batch work among those
// within the tail bound, and its index. If none finished more than the run without
// colocation, it returns that run and -1. If the runs of the other policies are
// among the candidates, no policy that is within the bound exceeds the result.
func (s Site) BestOracle(candidates []Outcome, baseline Outcome) (best Outcome, index int) {
	best, index = baseline, -1
	for i, c := range candidates {
		if s.MeetsTailBound(c, baseline) && c.Finished > best.Finished {
			best, index = c, i
		}
	}
	return best, index
}
