package interference

import (
	"math"

	"gooseberryreel/internal/pb"
)

// LatencyModel learns online how much each filler image increases the latency of
// each service image on the same worker. A filler is a best-effort task that runs
// on CPU time that other tasks leave unused.
//
// The model treats a service as a queue: at a utilization x, its latency is
// floor/(1-x). Effects on the utilization are additive: x is the service's own
// load plus, for each filler image on the worker, the weight of the pair times the
// filler's share of the worker's CPUs. Few pairs have a large weight and most have
// nearly none, so each service has a Kalman filter over all its weights. It
// identifies within a few measurements which of several fillers causes the
// increase, where gradient descent would spread the error over all of them. The
// own load of each task varies within seconds and is tracked by a LoadEstimate.
//
// Images are identified by index, so that predictions cost little. There are at most
// MaxServices and MaxFillers of them.
type LatencyModel struct {
	services, fillers images
	filters           []*serviceFilter // by service
	version           int64
	scratch           []float64 // of Observe
}

// serviceFilter is the Kalman filter of one service. It holds the means and the
// covariances of the weights, by filler index.
type serviceFilter struct {
	mean  []float64
	cov   [][]float64
	floor float64 // latency of an idle service, relative to its target
}

// LoadEstimate is the estimated utilization of one task of a service by its own
// requests.
type LoadEstimate struct {
	Mean     float64
	variance float64
}

// Parameters of the filters. Standard deviations and loads are utilizations.
const (
	// initialLoad and loadStdDev are the mean and standard deviation of the own
	// load before the first measurement.
	initialLoad = 0.42
	loadStdDev  = 0.15
	// loadDriftStdDev is the standard deviation of the change of the own load
	// between two measurements, about half a second apart.
	loadDriftStdDev = 0.1
	// initialWeight and weightStdDev are the mean and standard deviation of an
	// unknown weight: most weights are near 0, some near 2.
	initialWeight = 0.4
	weightStdDev  = 1.2
	// weightDriftStdDev is the standard deviation of the change of a weight between
	// two measurements. It keeps the filter able to follow changes.
	weightDriftStdDev = 0.01
	// measurementStdDev is the standard deviation of a measured utilization.
	measurementStdDev = 0.05
	// initialFloor is the assumed latency of an idle service relative to its
	// target. floorFraction is the idle latency as a fraction of the lowest latency
	// measured.
	initialFloor  = 0.25
	floorFraction = 0.8
	// maxUtilization limits the utilization, since a higher one says little about
	// the cause of the latency.
	maxUtilization = 0.98
)

// Service is the index of a service image and Filler that of a filler image.
type (
	Service int
	Filler  int
)

// Share is the share of a worker's CPUs that the tasks of one filler image
// use.
type Share struct {
	Filler Filler
	Share  float64 // 0 to 1
}

// MaxServices and MaxFillers are the numbers of images that the model distinguishes. It
// holds a covariance of each pair of fillers for each service.
const (
	MaxServices = 64
	MaxFillers  = 128
)

// NewLatencyModel returns a model without images and observations.
func NewLatencyModel() *LatencyModel {
	return &LatencyModel{services: newImages(MaxServices), fillers: newImages(MaxFillers)}
}

// NewLoadEstimate returns the estimate for a task without measurements.
func NewLoadEstimate() LoadEstimate {
	return LoadEstimate{Mean: initialLoad, variance: loadStdDev * loadStdDev}
}

// ServiceIndex returns the index of a service image. It adds an unknown image.
func (m *LatencyModel) ServiceIndex(image string) Service {
	n, added := m.services.lookUp(image)
	if !added {
		return Service(n)
	}
	filter := &serviceFilter{floor: initialFloor}
	for range m.fillers.names {
		filter.addFiller()
	}
	if n == len(m.filters) {
		m.filters = append(m.filters, nil)
	}
	m.filters[n] = filter
	return Service(n)
}

// FillerIndex returns the index of a filler image. It adds an unknown image.
func (m *LatencyModel) FillerIndex(image string) Filler {
	n, added := m.fillers.lookUp(image)
	if !added {
		return Filler(n)
	}
	for _, filter := range m.filters {
		if n == len(filter.mean) {
			filter.addFiller()
		} else {
			filter.resetFiller(n)
		}
	}
	return Filler(n)
}

// Full reports whether further images share an index.
func (m *LatencyModel) Full() bool { return m.services.full() || m.fillers.full() }

// Forget forgets images that are not in use, so that their indexes are free.
func (m *LatencyModel) Forget(serviceInUse func(Service) bool, fillerInUse func(Filler) bool) {
	if m.services.full() {
		m.services.forget(func(n int) bool { return serviceInUse(Service(n)) })
	}
	if m.fillers.full() {
		m.fillers.forget(func(n int) bool { return fillerInUse(Filler(n)) })
	}
}

// addFiller adds a filler without observations.
func (filter *serviceFilter) addFiller() {
	n := len(filter.mean)
	filter.mean = append(filter.mean, initialWeight)
	for i := range filter.cov {
		filter.cov[i] = append(filter.cov[i], 0)
	}
	row := make([]float64, n+1)
	row[n] = weightStdDev * weightStdDev
	filter.cov = append(filter.cov, row)
}

// resetFiller replaces a filler by one without observations.
func (filter *serviceFilter) resetFiller(n int) {
	filter.mean[n] = initialWeight
	for i := range filter.cov {
		filter.cov[i][n], filter.cov[n][i] = 0, 0
	}
	filter.cov[n][n] = weightStdDev * weightStdDev
}

// Version returns a number that increases with each observation.
func (m *LatencyModel) Version() int64 { return m.version }

// Weight returns the increase of a service's utilization by a filler that uses all
// CPUs of the worker.
func (m *LatencyModel) Weight(service Service, filler Filler) float64 {
	return max(m.filters[service].mean[filler], 0)
}

// AddedUtilization returns the increase of a service's utilization by fillers.
func (m *LatencyModel) AddedUtilization(service Service, shares []Share) float64 {
	total := 0.0
	for _, s := range shares {
		total += m.Weight(service, s.Filler) * s.Share
	}
	return total
}

// Utilization returns the utilization of a service at a latency, given as the
// ratio of the latency to its target.
func (m *LatencyModel) Utilization(service Service, ratio float64) float64 {
	floor := m.filters[service].floor
	return min(max(1-floor/math.Max(ratio, floor), 0), maxUtilization)
}

// UtilizationAtTarget returns the highest utilization at which a service meets its
// latency target.
func (m *LatencyModel) UtilizationAtTarget(service Service) float64 { return m.Utilization(service, 1) }

// Observe updates the model and the load estimate of a task with one measurement
// of the task's latency, given as the ratio to its target. The shares of the
// fillers on the worker are averages over the time that the measurement covers.
func (m *LatencyModel) Observe(service Service, load *LoadEstimate, shares []Share, ratio float64) {
	filter := m.filters[service]
	m.version++
	filter.floor = min(filter.floor, floorFraction*ratio)
	load.variance += loadDriftStdDev * loadDriftStdDev
	// The covariance of each weight with the predicted measurement.
	crossCov := m.scratch[:0]
	for i := range filter.mean {
		crossCov = append(crossCov, 0)
		for _, s := range shares {
			crossCov[i] += filter.cov[i][s.Filler] * s.Share
		}
	}
	variance := measurementStdDev*measurementStdDev + load.variance
	for _, s := range shares {
		variance += crossCov[s.Filler] * s.Share
	}
	innovation := m.Utilization(service, ratio) - load.Mean - m.AddedUtilization(service, shares)
	load.Mean = min(max(load.Mean+load.variance/variance*innovation, 0), maxUtilization)
	load.variance -= load.variance * load.variance / variance
	m.scratch = crossCov
	for i := range filter.mean {
		if crossCov[i] == 0 {
			continue // the measurement says nothing about this filler
		}
		filter.mean[i] += crossCov[i] / variance * innovation
		for j := range filter.cov[i] {
			filter.cov[i][j] -= crossCov[i] * crossCov[j] / variance
		}
	}
	for _, s := range shares {
		n := s.Filler
		filter.mean[n] = max(filter.mean[n], 0)
		filter.cov[n][n] = min(filter.cov[n][n]+weightDriftStdDev*weightDriftStdDev, weightStdDev*weightStdDev)
	}
}

// Snapshot returns the state that the next owner restores. Covariances between
// weights are left out, since the next owner's measurements soon distinguish
// fillers again.
func (m *LatencyModel) Snapshot() *pb.StoredPairs {
	out := &pb.StoredPairs{}
	m.services.each(func(n int, image string) {
		filter := m.filters[n]
		service := &pb.StoredService{Image: image, Floor: filter.floor}
		m.fillers.each(func(f int, image string) {
			if filter.cov[f][f] < weightStdDev*weightStdDev {
				service.Weights = append(service.Weights, &pb.StoredWeight{Filler: image, Mean: filter.mean[f], Variance: filter.cov[f][f]})
			}
		})
		out.Services = append(out.Services, service)
	})
	return out
}

// Restore loads a snapshot into a model without observations.
func (m *LatencyModel) Restore(s *pb.StoredPairs) {
	for _, service := range s.GetServices() {
		n := m.ServiceIndex(service.GetImage())
		m.filters[n].floor = min(service.GetFloor(), initialFloor)
		for _, w := range service.GetWeights() {
			f := m.FillerIndex(w.GetFiller())
			m.filters[n].mean[f] = w.GetMean()
			m.filters[n].cov[f][f] = min(max(w.GetVariance(), 0), weightStdDev*weightStdDev)
		}
	}
}
