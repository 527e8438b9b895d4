package scheduler

import "time"

// restoredIdle limits the part of the wait of an idle job before a takeover that counts, so
// that more workers have answered the new owner when it starts, and share the idle jobs.
const restoredIdle = 600 * time.Millisecond

// idleFor returns for how long the job of a ready step has had no attempt that may be
// active, in any of its steps, zero if it has one.
func (s *step) idleFor(now time.Time) time.Duration {
	j := s.round.job
	switch {
	case j.attempts > 0:
		return 0
	case j.lastEnd.After(s.readyAt):
		return now.Sub(j.lastEnd)
	case j.lastEnd.IsZero():
		return now.Sub(s.readyAt) + min(j.idleBefore, restoredIdle)
	default:
		return now.Sub(s.readyAt)
	}
}

// fillerJobs sums up the jobs with a ready step of fillers.
type fillerJobs struct {
	all, idle int
	longest   time.Duration // of the idle ones
	// unseen are the attempts that no answer of a worker has shown for unseenTime.
	unseen int
	// extra are the attempts beyond the first of each job.
	extra int
}

// unseenTime is the age from which an attempt that its worker has not confirmed is
// counted.
const unseenTime = time.Second

func (c *Core) countFillerJobs(now time.Time) fillerJobs {
	var n fillerJobs
	counted := make(map[*job]bool)
	for _, s := range c.ready {
		if !s.filler() || s.unfinished == 0 || !s.round.job.active() {
			continue
		}
		for _, t := range s.tasks {
			for _, a := range t.attempts {
				if a.startedAt.IsZero() && a.seenAt.IsZero() && now.Sub(a.placedAt) >= unseenTime {
					n.unseen++
				}
			}
		}
		idle := s.idleFor(now)
		n.longest = max(n.longest, idle)
		j := s.round.job
		if counted[j] {
			continue
		}
		counted[j] = true
		n.all++
		n.extra += max(j.attempts-1, 0)
		if idle > 0 {
			n.idle++
		}
	}
	return n
}
