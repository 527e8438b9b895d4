package interference

import (
	"math"

	"gooseberryreel/internal/pb"
)

// LatencyModel learns online how much each kind of filler slows each kind of service
// down.
//
// A service that is in use to a part x answers like a queue: its latency grows
// as floor/(1-x). In this scale effects add up: x is the service's own load plus,
// for each filler image on the worker, a weight of the pair times the share of
// the worker's processors that the filler uses. Few pairs have a large weight
// and most have nearly none, so each service has a Kalman filter over all its
// weights: it finds out within a few measurements which of several fillers does
// the harm, where a gradient would spread the blame. The own load of each task
// swings within seconds and is followed by an OwnLoad.
//
// Images are numbered, so that predictions cost little.
type LatencyModel struct {
	services, fillers map[string]int
	serviceNames      []string
	fillerNames       []string
	models            []*model // by service
	version           int64
}

// model is the filter of one service: means and covariances of the weights by
// filler.
type model struct {
	mean  []float64
	cov   [][]float64
	floor float64 // latency of an idle service, relative to its target
}

// LoadEstimate follows the own load of one serving task.
type LoadEstimate struct {
	// Mean is the estimate, and variance its uncertainty.
	Mean     float64
	variance float64
}

// Limits of the model.
const (
	// initialLoad and loadDeviation describe a service that was not measured yet.
	initialLoad   = 0.42
	loadDeviation = 0.15
	// loadDrift is the deviation by which the own load changes between two
	// measurements, about half a second apart.
	loadDrift = 0.1
	// initialWeight and weightDeviation describe an unknown pair: most weights
	// are near 0, some near 2.
	initialWeight   = 0.4
	weightDeviation = 1.2
	// weightDrift keeps a weight open to change.
	weightDrift = 0.01
	// measureNoise is the deviation of a measurement in the scale of x.
	measureNoise = 0.05
	// initialFloor is the guess of the latency of an idle service, and
	// floorOfLowest its part of the lowest latency seen.
	initialFloor  = 0.25
	floorOfLowest = 0.8
	// maxUse bounds x: beyond it the latency says little about the cause.
	maxUse = 0.98
)

// Share is the use of a worker's processors by the tasks of one filler image.
type Share struct {
	Filler int
	Share  float64
}

// NewLatencyModel returns a model without observations.
func NewLatencyModel() *LatencyModel {
	return &LatencyModel{services: make(map[string]int), fillers: make(map[string]int)}
}

// NewLoadEstimate returns the load of a task that was not measured yet.
func NewLoadEstimate() LoadEstimate {
	return LoadEstimate{Mean: initialLoad, variance: loadDeviation * loadDeviation}
}

// ServiceIndex returns the number of a service image.
func (p *LatencyModel) ServiceIndex(image string) int {
	n, found := p.services[image]
	if !found {
		n = len(p.models)
		p.services[image] = n
		p.serviceNames = append(p.serviceNames, image)
		m := &model{floor: initialFloor}
		for range p.fillerNames {
			m.grow()
		}
		p.models = append(p.models, m)
	}
	return n
}

// FillerIndex returns the number of a filler image.
func (p *LatencyModel) FillerIndex(image string) int {
	n, found := p.fillers[image]
	if !found {
		n = len(p.fillerNames)
		p.fillers[image] = n
		p.fillerNames = append(p.fillerNames, image)
		for _, m := range p.models {
			m.grow()
		}
	}
	return n
}

// grow adds a filler that was never observed.
func (m *model) grow() {
	n := len(m.mean)
	m.mean = append(m.mean, initialWeight)
	for i := range m.cov {
		m.cov[i] = append(m.cov[i], 0)
	}
	row := make([]float64, n+1)
	row[n] = weightDeviation * weightDeviation
	m.cov = append(m.cov, row)
}

// Version grows with each observation.
func (p *LatencyModel) Version() int64 { return p.version }

// Weight returns by how much a service's use grows for each whole worker that a
// filler uses.
func (p *LatencyModel) Weight(service, filler int) float64 {
	return max(p.models[service].mean[filler], 0)
}

// AddedUtilization returns by how much fillers raise a service's use.
func (p *LatencyModel) AddedUtilization(service int, shares []Share) float64 {
	total := 0.0
	for _, s := range shares {
		total += p.Weight(service, s.Filler) * s.Share
	}
	return total
}

// Use converts a latency relative to the target to the scale in which effects
// add up.
func (p *LatencyModel) Use(service int, ratio float64) float64 {
	floor := p.models[service].floor
	return min(max(1-floor/math.Max(ratio, floor), 0), maxUse)
}

// UtilizationAtTarget returns the use at which a service just meets its target.
func (p *LatencyModel) UtilizationAtTarget(service int) float64 { return p.Use(service, 1) }

// Observe takes one measurement of a serving task beside fillers. The shares are
// averages over the time that the measurement covers.
func (p *LatencyModel) Observe(service int, load *LoadEstimate, shares []Share, ratio float64) {
	m := p.models[service]
	p.version++
	m.floor = min(m.floor, floorOfLowest*ratio)
	load.variance += loadDrift * loadDrift
	gain := make([]float64, len(m.mean))
	for i := range gain {
		for _, s := range shares {
			gain[i] += m.cov[i][s.Filler] * s.Share
		}
	}
	variance := measureNoise*measureNoise + load.variance
	for _, s := range shares {
		variance += gain[s.Filler] * s.Share
	}
	miss := p.Use(service, ratio) - load.Mean - p.AddedUtilization(service, shares)
	load.Mean = min(max(load.Mean+load.variance/variance*miss, 0), maxUse)
	load.variance -= load.variance * load.variance / variance
	for i := range m.mean {
		m.mean[i] += gain[i] / variance * miss
		for j := range m.cov[i] {
			m.cov[i][j] -= gain[i] * gain[j] / variance
		}
	}
	for _, s := range shares {
		n := s.Filler
		m.mean[n] = max(m.mean[n], 0)
		m.cov[n][n] = min(m.cov[n][n]+weightDrift*weightDrift, weightDeviation*weightDeviation)
	}
}

// Snapshot returns what the next owner needs. Covariances are left out: the
// next owner's measurements soon tell fillers apart again.
func (p *LatencyModel) Snapshot() *pb.StoredPairs {
	out := &pb.StoredPairs{}
	for n, m := range p.models {
		service := &pb.StoredService{Image: p.serviceNames[n], Floor: m.floor}
		for f, mean := range m.mean {
			if m.cov[f][f] < weightDeviation*weightDeviation {
				service.Weights = append(service.Weights, &pb.StoredWeight{Filler: p.fillerNames[f], Mean: mean, Variance: m.cov[f][f]})
			}
		}
		out.Services = append(out.Services, service)
	}
	return out
}

// Restore takes a snapshot into a model without observations.
func (p *LatencyModel) Restore(s *pb.StoredPairs) {
	for _, service := range s.GetServices() {
		n := p.ServiceIndex(service.GetImage())
		p.models[n].floor = min(service.GetFloor(), initialFloor)
		for _, w := range service.GetWeights() {
			f := p.FillerIndex(w.GetFiller())
			p.models[n].mean[f] = w.GetMean()
			p.models[n].cov[f][f] = min(max(w.GetVariance(), 0), weightDeviation*weightDeviation)
		}
	}
}
