package interference

import (
	"maps"
	"time"
)

const (
	// ownRate is the weight of one report in the moving average of a target's
	// intrinsic slowdown.
	ownRate = 0.3
	// ownMargin is the intrinsic slowdown below which the difference between a
	// target and the others of its service counts as noise.
	ownMargin = 1.25
	// minShareChange is the smallest change of the tasks' CPU share from which an
	// intrinsic slowdown is computed.
	minShareChange = 0.25
	// minJudged is the number of requests in a window from which an intrinsic
	// slowdown is computed.
	minJudged = 20
)

// sample is a latency measured while tasks of a single job ran on the worker.
type sample struct {
	job   string
	share float64 // CPU share of the tasks, summed over them
	ratio float64 // latency relative to the baseline of the service
	at    time.Time
}

// ownFactor returns the target's intrinsic slowdown, or 1 if it may be noise.
func (w *window) ownFactor() float64 {
	if w.own < ownMargin {
		return 1
	}
	return w.own
}

// learnOwn updates the intrinsic slowdown with the latency of one report relative
// to the baseline. Batch tasks don't make a target faster, so the latency with
// tasks on the worker is only an upper bound.
func (w *window) learnOwn(ratio float64) {
	if len(w.tasks) == 0 || ratio < w.own {
		w.own = max(w.own+ownRate*(ratio-w.own), 1)
	}
}

// judge raises the intrinsic slowdown by the part of a slowdown that the batch
// tasks don't cause: latency that the service does not have at the same time with
// the same jobs on other workers, or that did not follow a change of the tasks'
// CPU share. It evaluates each report, since the controller acts before the end of
// a window.
func (m *Meter) judge(p place, w *window, r Report, base float64, now time.Time) {
	if len(w.tasks) == 0 {
		return
	}
	own := 1.0
	if usual, ok := m.elsewhere(p, w.tasks, now); ok {
		own = float64(r.MeanUS) / base / usual
	}
	if w.requests >= minJudged {
		own = max(own, w.unmoved(base, now.Add(-staleLags*m.lag), now))
	}
	if own < ownMargin {
		return
	}
	if w.ownFactor() == 1 {
		m.estimator.Doubt(p.service, w.tasks)
	}
	w.own = max(w.own, own)
}

// unmoved returns the slowdown that did not follow the newest change of the
// tasks' CPU share, or 1 if that is not known. Samples from before oldest are
// ignored.
func (w *window) unmoved(base float64, oldest, now time.Time) float64 {
	w.newest = sample{}
	if len(w.tasks) != 1 {
		return 1
	}
	for job, share := range w.tasks {
		w.newest = sample{job: job, share: share, ratio: w.total / w.requests / base, at: now}
	}
	return w.newest.intercept(w.before, oldest)
}

// intercept extrapolates two samples with different CPU shares of the same job to
// the relative latency without tasks. It returns 1 if the samples differ too
// little, belong to different jobs or are too old.
func (s sample) intercept(before sample, oldest time.Time) float64 {
	change := before.share - s.share
	if s.job != before.job || before.at.Before(oldest) || max(change, -change) < minShareChange {
		return 1
	}
	slope := max((before.ratio-s.ratio)/change, 0)
	return min(s.ratio-slope*s.share, before.ratio-slope*before.share)
}

// elsewhere returns the largest slowdown of the same service on other workers
// that run at least the same tasks, and false if there is none.
func (m *Meter) elsewhere(p place, tasks TaskShares, now time.Time) (float64, bool) {
	largest, found := 1.0, false
	for other, w := range m.places {
		if other == p || other.service != p.service || !w.covers(tasks) || now.Sub(w.seen) > staleLags*m.lag || w.slowdown == 0 {
			continue
		}
		largest, found = max(largest, w.slowdown), true
	}
	return largest, found
}

// covers reports whether the window's tasks include at least as much of each job.
func (w *window) covers(tasks TaskShares) bool {
	for job, share := range tasks {
		if w.tasks[job] < share {
			return false
		}
	}
	return true
}

// typical reports whether the targets of a service have an intrinsic slowdown on
// most of its workers. Then the service has changed, and not a single target.
func (m *Meter) typical(service string) bool {
	slow, all := 0, 0
	for p, w := range m.places {
		if p.service == service {
			all++
			if w.ownFactor() > 1 {
				slow++
			}
		}
	}
	return 2*slow > all
}

// restart starts a window with other tasks. It keeps the smoothed and the
// intrinsic slowdown and the newest sample.
func (w *window) restart(tasks TaskShares, now time.Time) {
	before := w.newest
	if before.job == "" {
		before = w.before
	}
	*w = window{since: now, tasks: maps.Clone(tasks), smoothed: w.smoothed, own: w.own, before: before}
}
