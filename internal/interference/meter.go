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

type baseKey struct {
	service string
	level   int
}

// place identifies a service on a worker.
type place struct {
	worker  string
	service string
}

// window aggregates the latency of a service on a worker while the batch tasks
// there stay the same.
type window struct {
	since    time.Time
	tasks    TaskShares
	requests float64
	total    float64   // sum of the latencies in microseconds
	load     float64   // sum over the reports
	periods  float64   // number of reports
	smoothed float64   // moving average of the slowdown
	seen     time.Time // when the last report was evaluated
	// own is the factor by which the target is slower than the baseline of its
	// service for reasons other than batch tasks.
	own float64
	// slowdown is that of the newest finished window with the present tasks, 0 if
	// there is none.
	slowdown float64
	// few aggregates reports with few requests.
	few partial
	// newest was taken with the present tasks, before with earlier ones.
	newest, before sample
}

// Meter computes slowdowns from latency reports. It passes the slowdowns of
// periods that are longer than the reporting lag to an Estimator.
type Meter struct {
	lag       time.Duration
	estimator *Estimator
	base      map[baseKey]float64 // latency without batch tasks, in microseconds
	places    map[place]*window
	usual     map[string]float64 // moving average of the requests per report, by service
}

// NewMeter returns a meter without reports. Changes on a worker are visible in the
// reports after lag.
func NewMeter(lag time.Duration, estimator *Estimator) *Meter {
	return &Meter{lag: lag, estimator: estimator, base: make(map[baseKey]float64), places: make(map[place]*window), usual: make(map[string]float64)}
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
	p := place{r.Worker, r.Service}
	w := m.places[p]
	if w == nil {
		w = &window{smoothed: 1, own: 1}
		m.places[p] = w
	}
	if w.since.IsZero() || !maps.Equal(w.tasks, r.Tasks) {
		w.restart(r.Tasks, now)
	}
	if now.Sub(w.since) < m.lag {
		return // the effect of the last change may not be visible yet
	}
	r, ok := w.few.sum(r, m.needed(r), now)
	if !ok {
		return
	}
	w.seen = now
	m.take(p, w, r, now)
}

// take evaluates a report with enough requests.
func (m *Meter) take(p place, w *window, r Report, now time.Time) {
	if base, ok := m.baseline(r.Service, Level(r.Load)); ok {
		w.learnOwn(float64(r.MeanUS) / base)
	}
	// A single slow target must not raise the baseline for the others.
	if len(r.Tasks) == 0 && (w.ownFactor() == 1 || m.typical(r.Service)) {
		m.learnBaseline(r)
	}
	w.add(r)
	if base, ok := m.baseline(r.Service, Level(r.Load)); ok {
		m.judge(p, w, r, base, now)
		slowdown := min(float64(r.MeanUS)/base/w.ownFactor(), 1+maxExcess)
		w.smoothed += slowdownRate * (slowdown - w.smoothed)
	}
	if now.Sub(w.since) >= 2*m.lag {
		m.close(p, w, now)
	}
}

func (w *window) add(r Report) {
	w.requests += float64(r.Requests)
	w.total += float64(r.Requests) * float64(r.MeanUS)
	w.load += r.Load
	w.periods++
}

// close passes a finished window to the estimator and starts the next one. The
// next one need not wait for the reporting lag, since the tasks did not change.
func (m *Meter) close(p place, w *window, now time.Time) {
	load := w.load / w.periods
	if base, ok := m.baseline(p.service, Level(load)); ok && len(w.tasks) > 0 {
		w.slowdown = w.total / w.requests / base / w.ownFactor()
		m.estimator.Observe(p.service, load, w.tasks, w.slowdown)
	}
	w.since = now.Add(-m.lag)
	w.requests, w.total, w.load, w.periods = 0, 0, 0, 0
}

// learnBaseline updates the baseline with a report without batch tasks.
func (m *Meter) learnBaseline(r Report) {
	k := baseKey{r.Service, Level(r.Load)}
	value := float64(r.MeanUS)
	if old, ok := m.base[k]; ok {
		value = old + baselineRate*(value-old)
	}
	m.base[k] = value
}

// baseline returns the latency of a service without batch tasks on its worker, in
// microseconds. A load level without observations takes the value of the nearest
// lower level, or else of the nearest higher one.
func (m *Meter) baseline(service string, level int) (float64, bool) {
	for l := level; l >= 0; l-- {
		if b, ok := m.base[baseKey{service, l}]; ok {
			return b, true
		}
	}
	for l := level + 1; l < Levels; l++ {
		if b, ok := m.base[baseKey{service, l}]; ok {
			return b, true
		}
	}
	return 0, false
}

// Slowdown returns the smoothed slowdown of a service on a worker, or 1 if it is
// unknown or was last updated more than staleLags reporting lags ago.
func (m *Meter) Slowdown(worker, service string, now time.Time) float64 {
	w := m.places[place{worker, service}]
	if w == nil || now.Sub(w.seen) > staleLags*m.lag {
		return 1
	}
	return w.smoothed
}

// staleLags is the age in reporting lags from which a measurement is ignored.
const staleLags = 5
