package scheduler

import "time"

// restoredWait is the wait of a task at a takeover if it is not known, and the longest one
// that is derived. No bound of a wait behind other work is longer.
const restoredWait = newLongRunningMaxWait

// restoreWaits sets for how long the tasks of a restored job that wait at the takeover had
// waited before, so that their waits don't begin anew with each owner. When an attempt
// ended is not stored, so that a task with an earlier attempt counts as having waited for
// restoredWait.
func (j *job) restoreWaits(now time.Time) {
	if !j.active() {
		return
	}
	for _, r := range j.rounds {
		since := r.waitedAtTakeover(now)
		for _, s := range r.steps {
			if !s.mayStart(now) {
				continue
			}
			if s.nextTask < s.count() {
				s.waitedBefore = since
				j.idleBefore = max(j.idleBefore, since)
			}
			for _, t := range s.tasks {
				switch {
				case t.done || t.assigned():
					continue
				case t.ranBefore():
					t.waitedBefore = restoredWait
				default:
					t.waitedBefore = since
				}
				j.idleBefore = max(j.idleBefore, t.waitedBefore)
			}
		}
	}
}

// waitedAtTakeover returns how long ago the round's job was received or, if that is later,
// the round was due. The clock of the instance that received the job may differ from this
// one. A time in the future says nothing, and would make the task wait until then.
func (r *round) waitedAtTakeover(now time.Time) time.Duration {
	age := now.Round(0).Sub(time.UnixMilli(r.job.sub.GetReceivedMs()))
	if r.job.sub.GetTimes() > 0 {
		age = min(age, now.Sub(r.due))
	}
	if age < 0 || age > restoredWait {
		return restoredWait
	}
	return age
}

// waitedBefore returns for how long a task had waited at the takeover if it has waited
// since, otherwise zero.
func (c *Core) waitedBefore(t *task) time.Duration {
	if c.disabled.forgetWaits {
		return 0
	}
	return t.waitedBefore
}
