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

func (h *health) ended(a *attempt, reason EndReason, now time.Time) {
	switch reason {
	case EndDone:
		*h = health{}
	case EndFailed:
		h.failures++
		if h.failures >= quarantineFailures {
			h.quarantine(now)
		}
	}
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

// stalled handles a task that made no progress on the worker.
func (h *health) stalled(now time.Time) {
	h.failures++
	if h.failures >= quarantineStalls {
		h.quarantine(now)
	}
}
