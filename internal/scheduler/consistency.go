package scheduler

import (
	"fmt"
	"time"
)

const (
	// consistencyInterval is the time between two checks of the state, and
	// maxInconsistenciesLogged limits the lines of one check.
	consistencyInterval      = 5 * time.Second
	maxInconsistenciesLogged = 4
)

// inconsistencies returns what contradicts the rule that a task of an active job whose
// turn has come either waits to be placed or has an attempt that some later visit of its
// worker will end. A task that is neither would stay where it is for good.
func (c *Core) inconsistencies() []string {
	var found []string
	add := func(format string, args ...any) { found = append(found, fmt.Sprintf(format, args...)) }
	for _, s := range c.ready {
		if !s.round.job.active() {
			continue
		}
		unopened := s.count() - s.nextTask
		unfinished, waiting, overcommitted := unopened, unopened, 0
		for _, t := range s.tasks {
			for _, a := range t.attempts {
				if a.overcommitted {
					overcommitted++
				}
			}
			if t.done {
				continue
			}
			unfinished++
			if !t.assigned() {
				waiting++
			}
			for _, a := range t.attempts {
				if a.worker.slot == removedSlot || a.worker.attempts[a.attemptID] != a {
					add("%s is assigned to %s, which does not have it", a.attemptID, a.worker.id)
				}
			}
		}
		if overcommitted != s.overcommitted {
			add("step %d of %s has %d overcommitted attempts, counted %d", s.index, s.round.job.sub.GetId(), overcommitted, s.overcommitted)
		}
		if unfinished != s.unfinished || waiting != s.waiting {
			add("step %d of %s has %d unfinished and %d waiting tasks, counted %d and %d", s.index, s.round.job.sub.GetId(), unfinished, waiting, s.unfinished, s.waiting)
		}
	}
	for _, j := range c.jobs {
		attempts := 0
		for _, r := range j.rounds {
			for _, s := range r.steps {
				for _, t := range s.tasks {
					attempts += len(t.attempts)
				}
			}
		}
		if attempts != j.attempts {
			add("%s has %d attempts, counted %d", j.sub.GetId(), attempts, j.attempts)
		}
	}
	listed := make(map[*step]bool, len(c.ready)+len(c.blocked))
	for _, list := range [][]*step{c.ready, c.blocked} {
		for _, s := range list {
			if listed[s] {
				add("step %d of %s is listed twice", s.index, s.round.job.sub.GetId())
			}
			listed[s] = true
		}
	}
	for _, j := range c.jobs {
		if !j.active() {
			continue
		}
		for _, r := range j.rounds {
			for _, s := range r.steps {
				if s.unfinished > 0 && !listed[s] {
					add("step %d of %s is neither ready nor blocked", s.index, j.sub.GetId())
				}
			}
		}
	}
	return found
}

// checkConsistency logs inconsistencies. They are counted by their event.
func (c *Core) checkConsistency(now time.Time) {
	if now.Sub(c.consistencyAt) < consistencyInterval {
		return
	}
	c.consistencyAt = now
	found := c.inconsistencies()
	for _, text := range found[:min(len(found), maxInconsistenciesLogged)] {
		c.addLogEntry("state inconsistent", "", "found", text, "all", len(found))
	}
}
