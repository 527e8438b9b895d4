package interference

import (
	"math"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"
)

// simulatedSite generates measurements like those of a real deployment: few pairs
// have a large weight, the own load of each task oscillates, and a measurement
// includes the sum of all effects.
type simulatedSite struct {
	rng   *rand.Rand
	truth [][]float64 // by service and filler
	phase []float64   // by task
}

func newSimulatedSite(seed uint64) *simulatedSite {
	s := &simulatedSite{rng: rand.New(rand.NewPCG(seed, 3))}
	for range 5 {
		row := make([]float64, 9)
		for f := range row {
			row[f] = 0.1
			if s.rng.Float64() < 0.3 {
				row[f] = 1.9
			}
		}
		s.truth = append(s.truth, row)
	}
	for range 60 {
		s.phase = append(s.phase, s.rng.Float64()*2*math.Pi)
	}
	return s
}

// measure returns the latency of a task relative to its target.
func (s *simulatedSite) measure(task, service int, at float64, shares []Share) float64 {
	utilization := 0.42 * (1 + 0.5*math.Sin(2*math.Pi*at/10+s.phase[task]))
	for _, sh := range shares {
		utilization += s.truth[service][sh.Filler] * sh.Share
	}
	return math.Round(18/4.5/(1-min(utilization, 0.95))) / 18
}

// observe passes measurements of the given duration to the model, two per second
// and task.
func (s *simulatedSite) observe(m *LatencyModel, seconds float64) {
	loads := make([]LoadEstimate, len(s.phase))
	colocated := make([][]Share, len(s.phase))
	for i := range loads {
		loads[i] = NewLoadEstimate()
	}
	for at := 0.0; at < seconds; at += 0.5 {
		for task := range loads {
			if s.rng.IntN(4) == 0 {
				colocated[task] = nil
				for range s.rng.IntN(4) {
					colocated[task] = append(colocated[task], Share{Filler(s.rng.IntN(9)), 0.05 + 0.1*s.rng.Float64()})
				}
			}
			service := task % 5
			m.Observe(Service(service), &loads[task], colocated[task], s.measure(task, service, at, colocated[task]))
		}
	}
}

// addImages adds the deployment's images in the order of their indexes.
func addImages(m *LatencyModel) {
	for n := range 9 {
		m.FillerIndex(string(rune('a' + n)))
	}
	for n := range 5 {
		m.ServiceIndex(string(rune('A' + n)))
	}
}

// Guards against a model that attributes the oscillation of a service's own load
// to harmless fillers, or that takes too long to identify the harmful ones: at most
// one pair in 20 may be misclassified after 10 s, and one in 100 after 40 s.
func TestLatencyModelIdentifiesHarmfulFillers(t *testing.T) {
	const sites, pairs = 40, 45
	for seconds, allowed := range map[float64]int{10: sites * pairs / 20, 40: sites * pairs / 100} {
		wrong := 0
		for seed := range uint64(sites) {
			s, m := newSimulatedSite(seed), NewLatencyModel()
			addImages(m)
			s.observe(m, seconds)
			for service, row := range s.truth {
				for filler, truth := range row {
					if (m.Weight(Service(service), Filler(filler)) > 1) != (truth > 1) {
						wrong++
					}
				}
			}
		}
		t.Logf("%v s: %d of %d pairs are misclassified", seconds, wrong, sites*pairs)
		qt.Check(t, wrong <= allowed, qt.IsTrue)
	}
}

// Guards against a takeover that loses the learned weights.
func TestLatencyModelSnapshot(t *testing.T) {
	s, m := newSimulatedSite(1), NewLatencyModel()
	addImages(m)
	s.observe(m, 20)
	next := NewLatencyModel()
	next.Restore(m.Snapshot())
	for service := range 5 {
		for filler := range 9 {
			a := m.Weight(m.ServiceIndex(string(rune('A'+service))), m.FillerIndex(string(rune('a'+filler))))
			b := next.Weight(next.ServiceIndex(string(rune('A'+service))), next.FillerIndex(string(rune('a'+filler))))
			qt.Check(t, a, qt.Equals, b)
		}
	}
}

// Guards against errors when an image is added after the first observations.
func TestLatencyModelAddsImages(t *testing.T) {
	c := qt.New(t)
	m := NewLatencyModel()
	service := m.ServiceIndex("web")
	load := NewLoadEstimate()
	m.Observe(service, &load, nil, 0.4)
	first := m.FillerIndex("batch")
	c.Assert(m.Weight(service, first), qt.Equals, initialWeight)
	for range 10 {
		m.Observe(service, &load, []Share{{first, 0.2}}, 0.4)
	}
	c.Assert(m.Weight(service, first) < 0.3, qt.IsTrue)
	c.Assert(m.Weight(m.ServiceIndex("other"), first), qt.Equals, initialWeight)
}
