package scheduler

import "time"

// restoredIdle is the longest time for which a job counts as idle at a takeover. The rest
// of its wait lets more workers answer the new owner, so that they share the idle jobs.
const restoredIdle = 600 * time.Millisecond

// idleFor returns for how long a job with a ready step has had no attempt that may be
// active, zero if it has one.
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
