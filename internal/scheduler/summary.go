package scheduler

import "time"

// summaryInterval is the time between two summaries in the log.
const summaryInterval = time.Second

// summarize logs the load of the site: the usable workers, the resources in use,
// how many services miss their targets, and how many tasks wait or are late.
func (c *Core) summarize(now time.Time) {
	if now.Sub(c.summarizedAt) < summaryInterval {
		return
	}
	c.summarizedAt = now
	usable, silent, unhealthy := 0, 0, 0
	var capacity, requested, fillers, throttled int64
	over, serving := 0, 0
	for _, w := range c.workerList {
		switch {
		case !w.silentSince.IsZero():
			silent++
		case w.health.quarantined(now):
			unhealthy++
		case w.usable(now):
			usable++
			capacity += w.entry.Capacity.CPUMilli
		}
		requested += w.used.CPUMilli
		fillers += w.fillerCPU
		for _, a := range w.list {
			switch {
			case a.step().filler():
				throttled += a.step().size.CPUMilli * int64(100-a.speed) / 100
			case a.serving():
				serving++
				if a.overrun.Missing() {
					over++
				}
			}
		}
	}
	var waiting, waitingFillers, waitingServices, late int
	for _, s := range c.ready {
		switch {
		case s.longRunning():
			waitingServices += s.waiting
		case s.filler():
			waitingFillers += s.waiting
		default:
			waiting += s.waiting
		}
		if s.waiting > 0 && c.scheduleOf(s, now).standing(now) != onTime {
			late += s.waiting
		}
	}
	jobs := c.countFillerJobs(now)
	c.addLogEntry("load", "", "workers", usable, "silent", silent, "unhealthy", unhealthy, "capacity_milli", capacity,
		"used_milli", requested, "fillers_milli", fillers, "paced_milli", throttled, "services", serving, "services_over", over,
		"waiting", waiting, "waiting_fillers", waitingFillers, "waiting_services", waitingServices, "waiting_late", late,
		"filler_jobs", jobs.all, "filler_jobs_idle", jobs.idle, "longest_idle_ms", jobs.longest.Milliseconds(),
		"fillers_beyond_first", jobs.extra, "fillers_unseen", jobs.unseen, "held_back", c.contention.held, "headroom_milli", c.contention.keptMilli)
}
