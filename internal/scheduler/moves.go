package scheduler

import (
	"slices"
	"time"
)

const (
	// maxEvictions bounds how often relieve evicts a task. Evictions by evictFillers
	// don't count.
	maxEvictions = 4
	// maxLostPercent is the progress that a task without checkpoints may lose in an
	// eviction.
	maxLostPercent = 30
	// stalledCheckInterval is the shortest time between two searches for stalled
	// attempts.
	stalledCheckInterval = 100 * time.Millisecond
	// stayPercent is the progress from which a task stays on a draining worker,
	// which continues to run for seconds.
	stayPercent = 50
	// stallTime is how long a task may show no progress at full speed. Progress is
	// reported in percent, and one percent of a long task takes a tenth of a
	// second.
	stallTime = 1500 * time.Millisecond
	// longRunningStartTime is how long a long-running task may take to start
	// serving.
	longRunningStartTime = 3 * time.Second
)

// evictable reports whether a filler can be restarted elsewhere at little loss.
func (a *attempt) evictable() bool {
	s := a.step()
	if s.spec.GetGang() || a.task.evictions >= maxEvictions || s.unfinished-s.waiting <= 1 {
		return false // the last active task of a step stays, throttled as needed
	}
	return s.spec.GetCheckpoints() || a.progress < maxLostPercent
}

// evacuate stops the attempts that would be lost with a draining worker, so that
// they are restarted elsewhere. Gangs stay, and so do tasks that have made at least
// stayPercent of progress.
func (c *Core) evacuate(w *worker, now time.Time) {
	for _, a := range slices.Clone(w.list) {
		s := a.step()
		if s.spec.GetGang() || a.stopReason != "" || !s.longRunning() && a.progress >= stayPercent {
			continue
		}
		c.addLogEntry("attempt evacuated", a.job().sub.GetRequestId(), "run", a.attemptID.String(), "worker", w.id, "progress", a.progress)
		c.stop(a, "its worker is draining", now)
	}
}

// stalled reports whether an attempt makes no progress on a worker that answers.
func (a *attempt) stalled(now time.Time) bool {
	if a.seenAt.IsZero() || a.stopReason != "" || now.Sub(a.measuredAt) > holdWait {
		return false
	}
	if a.step().longRunning() {
		return a.progress < 100 && now.Sub(a.progressAt) > stallTime && now.Sub(a.seenAt) > longRunningStartTime
	}
	return a.speed == 100 && a.confirmedSpeed == 100 && now.Sub(a.speedSetAt) > stallTime && now.Sub(a.progressAt) > stallTime
}

// replaceStalled stops stalled attempts, so that they are restarted elsewhere, and
// counts them against the health of their workers.
func (c *Core) replaceStalled(now time.Time) {
	if now.Sub(c.stalledCheckedAt) < stalledCheckInterval {
		return
	}
	c.stalledCheckedAt = now
	for _, w := range c.workerList {
		if !w.silentSince.IsZero() {
			continue
		}
		for _, a := range w.list { // a stop leaves the attempt in the list
			if a.step().spec.GetGang() || !a.stalled(now) {
				continue
			}
			c.addLogEntry("attempt stalled", a.job().sub.GetRequestId(), "run", a.attemptID.String(), "worker", w.id, "progress", a.progress,
				"still_ms", now.Sub(a.progressAt).Milliseconds())
			a.task.avoid = w.id
			if !a.step().filler() {
				w.health.stalled(now)
			}
			c.stop(a, "it makes no progress", now)
		}
	}
}
