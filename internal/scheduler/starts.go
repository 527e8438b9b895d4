package scheduler

import (
	"fmt"
	"time"
)

// startCounts counts the starts of a job's tasks under this owner by what became of them.
type startCounts struct {
	assigned   int // placed on a worker
	sent       int
	answered   int // with success
	refused    int
	unanswered int // may have been carried out
	withheld   int // not sent after all
}

func (n startCounts) String() string {
	return fmt.Sprintf("assigned %d, sent %d, answered %d, refused %d, unanswered %d, withheld %d", n.assigned, n.sent, n.answered, n.refused, n.unanswered, n.withheld)
}

// withhold ends a placed attempt whose start is not sent.
func (c *Core) withhold(a *attempt, now time.Time) {
	c.countWithheld(a.worker)
	a.job().starts.withheld++
	if a.stopReason == "" {
		a.stopReason = "the start was withheld"
	}
	c.endAttempt(a, EndStopped, "", now)
}

// withholdIncompleteGangs lets no member of a gang be started if another one may not be: the
// others would wait for it in vain.
func (c *Core) withholdIncompleteGangs(starts []*attempt, now time.Time) {
	incomplete := make(map[*step]bool)
	for _, a := range starts {
		if s := a.step(); s.spec.GetGang() && a.worker.attempts[a.attemptID] == a && !c.maySend(a, now) {
			incomplete[s] = true
		}
	}
	for _, a := range starts {
		if incomplete[a.step()] && a.stopReason == "" {
			a.stopReason = "another member of the gang may not start"
		}
	}
}

// noteBegun notes that a worker has run one of a job's tasks. j is nil if the job is not
// known.
func (c *Core) noteBegun(j *job) {
	if j == nil || j.begun {
		return
	}
	j.begun = true
	if j.active() {
		c.markChanged(j)
	}
}
