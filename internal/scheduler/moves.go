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
	// stayPercent is the progress from which a task stays on a draining worker,
	// which continues to run for seconds.
	stayPercent = 50
	// stallTime is for how long at least answers of a worker may show a task without progress
	// at full speed; at half of it, twice as long.
	stallTime = 1500 * time.Millisecond
	// stallPercent is the share of a task's estimated duration that replaces stallTime if it
	// is longer. Progress is reported in whole percent.
	stallPercent = 5
	maxStallTime = time.Hour
	// maxStallDoublings limits the growth of the time for a task whose estimate is too low.
	maxStallDoublings = 8
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
	if s.longRunning() {
		return false // its users would miss it
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
	from, may := a.stalledFrom()
	return may && a.measuredAt.After(from) && now.Sub(a.measuredAt) <= holdWait
}

// stalledFrom returns the time after which an attempt is stalled if it makes no progress
// until then, false if it can't be.
func (a *attempt) stalledFrom() (time.Time, bool) {
	from := a.progressAt.Add(stallTime)
	switch {
	case a.seenAt.IsZero() || a.stopReason != "" || a.step().spec.GetGang():
		return from, false
	case a.step().longRunning():
		if start := a.seenAt.Add(longRunningStartTime); start.After(from) {
			from = start
		}
		return from, a.progress < 100
	default:
		may := a.task.stallTime()
		from = a.progressAt.Add(may)
		if a.speedSetAt.After(a.progressAt) {
			from = a.speedSetAt.Add(may)
		}
		if a.speed > 0 {
			from = from.Add(may * time.Duration(100-a.speed) / time.Duration(a.speed))
		}
		return from, a.speed > 0 && a.confirmedSpeed == a.speed
	}
}

// stallTime returns for how long a task may make no progress at full speed. It is doubled
// with each attempt that was stopped for it: the estimate may be too low.
func (t *task) stallTime() time.Duration {
	estimate := time.Duration(t.step.spec.GetEstimateMs()) * time.Millisecond
	return min(max(stallTime, estimate/100*stallPercent), maxStallTime) << min(t.stalls, maxStallDoublings)
}

// replaceStalled stops an attempt that is stalled, so that it is restarted elsewhere, and
// counts it against the health of its worker unless the task has stalled before, so that
// it may be the cause.
func (c *Core) replaceStalled(a *attempt, now time.Time) {
	w := a.worker
	if !w.silentSince.IsZero() || !a.stalled(now) {
		return
	}
	c.addLogEntry("attempt stalled", a.job().sub.GetRequestId(), "run", a.attemptID.String(), "worker", w.id, "progress", a.progress,
		"still_ms", now.Sub(a.progressAt).Milliseconds(), "stalls", a.task.stalls)
	a.task.avoid = w.id
	if !a.step().filler() && a.task.stalls == 0 {
		c.countAgainst(w, quarantineStalls, now)
	}
	a.task.stalls++
	c.stop(a, "it makes no progress", now)
}
