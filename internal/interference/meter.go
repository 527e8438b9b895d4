package interference

import (
	"maps"
	"time"
)

const (
	// baselineRate is the weight of one report in the moving average of a
	// baseline.
	baselineRate = 0.1
	// slowdownRate is the weight of one report in the moving average of a
	// slowdown.
	slowdownRate = 0.4
	// minRequests is the number of requests from which a mean latency is used.
	minRequests = 5
)

type baselineKey struct {
	service string
	level   int
}

// workerService identifies a service on a worker.
type workerService struct {
	worker  string
	service string
}

// window aggregates the latency of a service on a worker while the batch tasks
// there stay the same.
type window struct {
	since       time.Time
	tasks       TaskShares
	requests    float64
	totalUS     float64   // sum of the latencies in microseconds
	load        float64   // sum over the reports
	reports     float64   // number of reports
	smoothed    float64   // moving average of the slowdown
	evaluatedAt time.Time // when the last report was evaluated
	// intrinsic is the factor by which the target is slower than the baseline of
	// its service for reasons other than batch tasks.
	intrinsic float64
	// slowdown is that of the newest finished window with the present tasks, or 0
	// if there is none.
	slowdown float64
	// partial aggregates reports with few requests.
	partial partialReport
	// current was measured with the present tasks, earlier with previous ones.
	current, earlier sample
}

// Meter computes slowdowns from latency reports. It passes the slowdowns of
// periods that are longer than the reporting lag to an Estimator.
type Meter struct {
	lag          time.Duration
	estimator    *Estimator
	baselines    map[baselineKey]float64 // latency without batch tasks, in microseconds
	windows      map[workerService]*window
	meanRequests map[string]float64 // moving average of the requests per report, by service
}

// NewMeter returns a meter without reports. Changes on a worker are visible in the
// reports after lag.
func NewMeter(lag time.Duration, estimator *Estimator) *Meter {
	return &Meter{lag: lag, estimator: estimator, baselines: make(map[baselineKey]float64), windows: make(map[workerService]*window), meanRequests: make(map[string]float64)}
}

// Report is the latency of a service on one worker over a short period.
type Report struct {
	Worker   string
	Service  string
	Load     float64 // fraction of the target's slots in use, 0 to 1
	Requests int64
	MeanUS   int64 // mean latency in microseconds
	// Tasks are the batch tasks on the worker now.
	Tasks TaskShares
}

// Add evaluates one report. Reports with few requests are aggregated first. A
// report without requests or without a latency is ignored.
func (m *Meter) Add(r Report, now time.Time) {
	if r.Requests <= 0 || r.MeanUS <= 0 {
		return
	}
	m.estimator.Advance(now)
	key := workerService{r.Worker, r.Service}
	w := m.windows[key]
	if w == nil {
		w = &window{smoothed: 1, intrinsic: 1}
		m.windows[key] = w
	}
	if w.since.IsZero() || !maps.Equal(w.tasks, r.Tasks) {
		w.restart(r.Tasks, now)
	}
	if now.Sub(w.since) < m.lag {
		return // the effect of the last change may not be visible yet
	}
	r, ok := w.partial.add(r, m.requiredRequests(r), now)
	if !ok {
		return
	}
	w.evaluatedAt = now
	m.evaluate(key, w, r, now)
}

// evaluate updates the window and the learned values with a report that has
// enough requests.
func (m *Meter) evaluate(key workerService, w *window, r Report, now time.Time) {
	if base, ok := m.baseline(r.Service, Level(r.Load)); ok {
		w.learnIntrinsic(float64(r.MeanUS) / base)
	}
	// A single slow target must not raise the baseline for the others.
	if len(r.Tasks) == 0 && (w.intrinsicSlowdown() == 1 || m.mostTargetsSlow(r.Service)) {
		m.learnBaseline(r)
	}
	w.add(r)
	if base, ok := m.baseline(r.Service, Level(r.Load)); ok {
		m.raiseIntrinsic(key, w, r, base, now)
		slowdown := min(float64(r.MeanUS)/base/w.intrinsicSlowdown(), 1+maxExcess)
		w.smoothed += slowdownRate * (slowdown - w.smoothed)
	}
	if now.Sub(w.since) >= 2*m.lag {
		m.closeWindow(key, w, now)
	}
}

func (w *window) add(r Report) {
	w.requests += float64(r.Requests)
	w.totalUS += float64(r.Requests) * float64(r.MeanUS)
	w.load += r.Load
	w.reports++
}

// closeWindow passes a finished window to the estimator and starts the next one.
// The next one need not wait for the reporting lag, since the tasks did not
// change.
func (m *Meter) closeWindow(key workerService, w *window, now time.Time) {
	load := w.load / w.reports
	if base, ok := m.baseline(key.service, Level(load)); ok && len(w.tasks) > 0 {
		w.slowdown = w.totalUS / w.requests / base / w.intrinsicSlowdown()
		m.estimator.Observe(key.service, load, w.tasks, w.slowdown)
	}
	w.since = now.Add(-m.lag)
	w.requests, w.totalUS, w.load, w.reports = 0, 0, 0, 0
}

// learnBaseline updates the baseline with a report without batch tasks.
func (m *Meter) learnBaseline(r Report) {
	k := baselineKey{r.Service, Level(r.Load)}
	value := float64(r.MeanUS)
	if old, ok := m.baselines[k]; ok {
		value = old + baselineRate*(value-old)
	}
	m.baselines[k] = value
}

// baseline returns the latency of a service without batch tasks on its worker, in
// microseconds. For a load level without observations it is the value of the
// nearest lower level, or else of the nearest higher one.
func (m *Meter) baseline(service string, level int) (float64, bool) {
	for l := level; l >= 0; l-- {
		if b, ok := m.baselines[baselineKey{service, l}]; ok {
			return b, true
		}
	}
	for l := level + 1; l < Levels; l++ {
		if b, ok := m.baselines[baselineKey{service, l}]; ok {
			return b, true
		}
	}
	return 0, false
}

// Slowdown returns the smoothed slowdown of a service on a worker, or 1 if it is
// unknown or was last updated more than staleLags reporting lags ago.
func (m *Meter) Slowdown(worker, service string, now time.Time) float64 {
	w := m.windows[workerService{worker, service}]
	if w == nil || now.Sub(w.evaluatedAt) > staleLags*m.lag {
		return 1
	}
	return w.smoothed
}

// staleLags is the age in reporting lags from which a measurement is ignored.
const staleLags = 5
