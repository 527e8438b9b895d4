package scheduler

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"gooseberryreel/internal/pb"
)

// Guards against jobs of a removed queue that never run, that run on workers of another
// pool, or that are placed without the tickets that their queue needs.
func TestRemovedQueueKeepsItsPolicy(t *testing.T) {
	c := qt.New(t)
	sim := newSimulation(1, 3)
	advised := simJob(1, simStepSpec(1, 500))
	advised.Queue, advised.Service, advised.MaxAttempts, advised.NeedsTicket, advised.TicketValidMs = "advised", "s", 3, true, 2000
	sim.submit(advised)
	sim.submit(simJob(2, simStepSpec(60, 4000)))
	sim.submit(simJob(3, simStepSpec(2, 500), simStepSpec(2, 500, 0)))
	sim.run(200 * time.Millisecond)
	sim.config = &Config{Version: 2, Queues: []Queue{{Name: "other", Pool: "another"}}}
	sim.core.SetConfig(sim.config)
	entry := sim.workers[2].entry()
	entry.Pool = "another"
	sim.core.SetWorker(entry, sim.now)
	sim.onStart = func(id AttemptID, sw *simWorker) {
		if sw == sim.workers[2] {
			sim.violate("%s starts on a worker of another pool", id)
		}
	}
	sim.loseReplyOf = func(o Command) bool {
		if o.Kind == CommandStart && o.AttemptID.Job == advised.GetId() && o.Ticket == "" {
			sim.violate("%s starts without a ticket", o.AttemptID)
		}
		return false
	}
	sim.run(time.Second)
	c.Check(sim.core.Backlog(sim.now), qt.HasLen, 0) // no new job can arrive
	sim.run(30 * time.Second)
	for id := 1; id <= 3; id++ {
		c.Check(sim.core.State(fmt.Sprintf("%016x", id)), qt.Equals, pb.PublicState_PUBLIC_STATE_COMPLETED, qt.Commentf("job %d", id))
	}
	c.Check(sim.violations, qt.HasLen, 0)
	lines := 0
	for _, line := range sim.trace {
		if strings.Contains(line, "queue removed") {
			lines++
		}
	}
	c.Check(lines, qt.Equals, 2)
}

// Guards against jobs that never continue since their queue was moved to another pool and
// then removed, and the workers of the first pool have left.
func TestJobsOfMovedQueueContinue(t *testing.T) {
	for _, takeOver := range []bool{false, true} {
		t.Run(fmt.Sprint("takeover ", takeOver), func(t *testing.T) {
			c := qt.New(t)
			sim := newSimulation(1, 4)
			sim.taskFor = func(AttemptID) simTask { return simTask{work: time.Second} }
			scheduled := simScheduledJob(sim, 2, 2, 4*time.Second, time.Second, simStepSpec(1, 500))
			sim.submit(simJob(1, simStepSpec(2, 500), simStepSpec(2, 500, 0)))
			sim.submit(scheduled)
			sim.run(500 * time.Millisecond)
			register := func() { // two workers leave the old pool, the others belong to the new one
				for n, sw := range sim.workers {
					entry := sw.entry()
					if entry.Pool = "new"; n < 2 {
						entry.Pool, entry.Draining = "s", true
					}
					sim.core.SetWorker(entry, sim.now)
				}
			}
			for version, queues := range [][]Queue{{{Name: "q", Pool: "new", MaxAttempts: 3, Stretch: 2}}, {{Name: "other", Pool: "new"}}} {
				changed := *sim.config
				changed.Version, changed.Queues = int64(2+version), queues
				sim.config = &changed
				sim.core.SetConfig(sim.config)
				register()
				sim.run(300 * time.Millisecond)
				if takeOver {
					sim.takeOver()
					register()
				}
			}
			sim.run(15 * time.Second)
			for id := 1; id <= 2; id++ {
				c.Check(sim.core.State(fmt.Sprintf("%016x", id)), qt.Equals, pb.PublicState_PUBLIC_STATE_COMPLETED, qt.Commentf("job %d", id))
			}
			c.Check(sim.violations, qt.HasLen, 0)
		})
	}
}

// Guards against an id that was cancelled and that nobody has submitted, shown as that of a
// job, and against a submission that arrives after its cancellation and runs.
func TestCancelledIdWithoutSubmission(t *testing.T) {
	c := qt.New(t)
	sim := newSimulation(1, 2)
	sub := simJob(1, simStepSpec(1, 500))
	sim.cancel(sub.GetId())
	for range 2 {
		c.Check(sim.core.State(sub.GetId()), qt.Equals, pb.PublicState_PUBLIC_STATE_UNKNOWN)
		sim.takeOver()
	}
	sim.submit(sub)
	sim.run(time.Second)
	c.Check(sim.core.State(sub.GetId()), qt.Equals, pb.PublicState_PUBLIC_STATE_CANCELLED)
	c.Check(sim.starts, qt.Equals, 0)
}
