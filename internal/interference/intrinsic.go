package interference

import (
	"maps"
	"time"
)

const (
	// intrinsicRate is the weight of one report in the moving average of a
	// target's intrinsic slowdown.
	intrinsicRate = 0.3
	// intrinsicMargin is the intrinsic slowdown below which the difference between
	// a target and the others of its service counts as noise.
	intrinsicMargin = 1.25
	// minShareChange is the smallest change of the tasks' CPU share from which an
	// intrinsic slowdown is computed.
	minShareChange = 0.25
	// minWindowRequests is the number of requests in a window from which the
	// unexplained slowdown is computed.
	minWindowRequests = 20
)

// sample is a latency measured while tasks of a single job ran on the worker.
type sample struct {
	job   string
	share float64 // CPU share of the tasks, summed over them
	ratio float64 // latency relative to the baseline of the service
	at    time.Time
}

// intrinsicSlowdown returns the factor by which the target is slower than the
// baseline for reasons other than batch tasks, or 1 if that may be noise.
func (w *window) intrinsicSlowdown() float64 {
	if w.intrinsic < intrinsicMargin {
		return 1
	}
	return w.intrinsic
}

// learnIntrinsic updates the intrinsic slowdown with the latency of one report
// relative to the baseline. Batch tasks don't make a target faster, so the latency
// with tasks on the worker is only an upper bound.
func (w *window) learnIntrinsic(ratio float64) {
	if len(w.tasks) == 0 || ratio < w.intrinsic {
		w.intrinsic = max(w.intrinsic+intrinsicRate*(ratio-w.intrinsic), 1)
	}
}

// raiseIntrinsic raises the intrinsic slowdown to the part of a slowdown that the
// batch tasks don't cause: latency that the service does not have at the same time
// with the same jobs on other workers, or that did not follow a change of the
// tasks' CPU share. It runs for each report, since the controller acts before the
// end of a window.
func (m *Meter) raiseIntrinsic(key workerService, w *window, r Report, base float64, now time.Time) {
	if len(w.tasks) == 0 {
		return
	}
	intrinsic := 1.0
	if elsewhere, ok := m.slowdownElsewhere(key, w.tasks, now); ok {
		intrinsic = float64(r.MeanUS) / base / elsewhere
	}
	if w.requests >= minWindowRequests {
		intrinsic = max(intrinsic, w.unexplained(base, now.Add(-staleLags*m.lag), now))
	}
	if intrinsic < intrinsicMargin {
		return
	}
	if w.intrinsicSlowdown() == 1 {
		m.estimator.Discount(key.service, w.tasks)
	}
	w.intrinsic = max(w.intrinsic, intrinsic)
}

// unexplained returns the slowdown that did not follow the newest change of the
// tasks' CPU share, or 1 if that is not known. Samples from before oldest are
// ignored.
func (w *window) unexplained(base float64, oldest, now time.Time) float64 {
	w.current = sample{}
	if len(w.tasks) != 1 {
		return 1
	}
	for job, share := range w.tasks {
		w.current = sample{job: job, share: share, ratio: w.totalUS / w.requests / base, at: now}
	}
	return w.current.intercept(w.earlier, oldest)
}

// intercept extrapolates two samples with different CPU shares of the same job to
// the relative latency without tasks. It returns 1 if the samples differ too
// little, belong to different jobs or are too old.
func (s sample) intercept(earlier sample, oldest time.Time) float64 {
	change := earlier.share - s.share
	if s.job != earlier.job || earlier.at.Before(oldest) || max(change, -change) < minShareChange {
		return 1
	}
	slope := max((earlier.ratio-s.ratio)/change, 0)
	return min(s.ratio-slope*s.share, earlier.ratio-slope*earlier.share)
}

// slowdownElsewhere returns the largest slowdown of the same service on other
// workers that run at least the same tasks, and false if there is none.
func (m *Meter) slowdownElsewhere(key workerService, tasks TaskShares, now time.Time) (float64, bool) {
	largest, found := 1.0, false
	for other, w := range m.windows {
		if other == key || other.service != key.service || !w.covers(tasks) || now.Sub(w.evaluatedAt) > staleLags*m.lag || w.slowdown == 0 {
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

// mostTargetsSlow reports whether the targets of a service have an intrinsic
// slowdown on most of its workers. Then the service has changed, and not a single
// target.
func (m *Meter) mostTargetsSlow(service string) bool {
	slow, all := 0, 0
	for key, w := range m.windows {
		if key.service == service {
			all++
			if w.intrinsicSlowdown() > 1 {
				slow++
			}
		}
	}
	return 2*slow > all
}

// restart starts a window with other tasks. It keeps the smoothed and the
// intrinsic slowdown and the newest sample.
func (w *window) restart(tasks TaskShares, now time.Time) {
	earlier := w.current
	if earlier.job == "" {
		earlier = w.earlier
	}
	*w = window{since: now, tasks: maps.Clone(tasks), smoothed: w.smoothed, intrinsic: w.intrinsic, earlier: earlier}
}
