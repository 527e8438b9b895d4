package scheduler

import "time"

const (
	// quarantineFailures is the number of consecutive failures after which a
	// worker is quarantined. The failures of a task at fault itself are spread
	// over workers, so they rarely quarantine one.
	quarantineFailures = 3
	// quarantineStalls is the number of consecutive failures at which a stalled
	// task gets its worker quarantined.
	quarantineStalls = 2
	// quarantineMin and quarantineMax bound the time that a worker is quarantined.
	// It doubles with each quarantine until a task succeeds there.
	quarantineMin = 2 * time.Second
	quarantineMax = 8 * time.Second
	// maxQuarantined is the share of a pool's workers from which no further worker is
	// quarantined for failures: if most workers fail, the tasks are at fault.
	maxQuarantined = 0.5
)

// health judges a worker by the results of its attempts, not by the health that it
// reports.
type health struct {
	failures int           // since the newest success
	until    time.Time     // end of the quarantine
	pause    time.Duration // length of the newest quarantine
}

func (h *health) quarantined(now time.Time) bool { return now.Before(h.until) }

// suspect reports whether the newest result on the worker was a failure.
func (h *health) suspect() bool { return h.failures > 0 }

// noteEndForHealth judges a worker by the end of an attempt there.
func (c *Core) noteEndForHealth(w *worker, reason EndReason, now time.Time) {
	switch reason {
	case EndDone:
		w.health = health{}
	case EndFailed:
		c.countAgainst(w, quarantineFailures, now)
	}
}

// countAgainst counts a failure against a worker, which is quarantined once a number of
// them follow each other.
func (c *Core) countAgainst(w *worker, limit int, now time.Time) {
	w.health.failures++
	if w.health.failures >= limit && c.mayQuarantine(w, now) {
		w.health.quarantine(now)
	}
}

// mayQuarantine reports whether few enough other workers of the pool are quarantined, of
// those that could receive work otherwise.
func (c *Core) mayQuarantine(w *worker, now time.Time) bool {
	all, quarantined := 0, 1
	for _, other := range c.workerList {
		if other.entry.Pool != w.entry.Pool || !other.reachable(now) || c.evacuated(other) {
			continue
		}
		all++
		if other != w && other.health.quarantined(now) {
			quarantined++
		}
	}
	return c.disabled.quarantineAll || float64(quarantined) <= maxQuarantined*float64(all)
}

// refused handles a start that the worker refused because it is unhealthy.
func (h *health) refused(now time.Time) {
	h.failures++
	h.quarantine(now)
}

func (h *health) quarantine(now time.Time) {
	h.pause = min(max(2*h.pause, quarantineMin), quarantineMax)
	h.until = now.Add(h.pause)
}
