package scheduler

import "time"

// maxEntryAge is the age of the newest read of the workers' entries from which no
// task is started. The capacity of a worker may shrink, and its entry shows it within
// a heartbeat; starts may rely on the larger capacity for 3 s and a heartbeat.
const maxEntryAge = 2500 * time.Millisecond

// EntriesRead records that all changes of workers' entries up to the time at have been
// passed to SetWorker and RemoveWorker.
func (c *Core) EntriesRead(at, now time.Time) {
	if at.After(c.entriesReadAt) {
		c.entriesReadAt = at
	}
	if c.entriesStale && c.entriesCurrent(now) {
		c.entriesStale, c.planDue = false, true
		c.addLogEntry("worker entries current", "")
	}
}

// checkEntries logs when the entries become stale. It reports whether they are
// current.
func (c *Core) checkEntries(now time.Time) bool {
	current := c.entriesCurrent(now)
	if !current && !c.entriesStale {
		c.entriesStale = true
		c.addLogEntry("worker entries stale", "", "age_ms", now.Sub(c.entriesReadAt).Milliseconds())
	}
	return current
}

// entriesCurrent reports whether the entries of the workers were read recently. It is
// true until the first read, before which no worker is known.
func (c *Core) entriesCurrent(now time.Time) bool {
	return c.entriesReadAt.IsZero() || now.Sub(c.entriesReadAt) < maxEntryAge
}
