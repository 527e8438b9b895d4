package scheduler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"gooseberryreel/internal/pb"
)

// Guards against a job that counts as begun, and no longer as waiting, although nothing of
// it has run: its start was assigned, but refused, withheld, unanswered or lost with the
// owner. Also against one that counts as waiting again once it was shown as running.
func TestRefusedStartDoesNotBeginJob(t *testing.T) {
	unreachable := func(sim *simulation, is bool) {
		for _, sw := range sim.workers {
			sw.unreachable = is
		}
	}
	dropStarts := func(sim *simulation) {
		sim.faultOf = func(o Command) simFault {
			if o.Kind == CommandStart {
				return dropCommand
			}
			return noFault
		}
	}
	for name, fault := range map[string]func(*simulation, *pb.Submission){
		"refused": func(sim *simulation, sub *pb.Submission) {
			for _, sw := range sim.workers {
				sw.newestAttempt[AttemptID{Job: sub.GetId()}.TaskName()] = 5
			}
			sim.submit(sub)
		},
		"withheld": func(sim *simulation, sub *pb.Submission) {
			sim.commitDelay = 200 * time.Millisecond
			sim.submit(sub)
			sim.run(100 * time.Millisecond)
			for _, sw := range sim.workers {
				e := sw.entry()
				e.Draining = true
				sim.core.SetWorker(e, sim.now)
			}
		},
		"unanswered": func(sim *simulation, sub *pb.Submission) {
			dropStarts(sim)
			sim.submit(sub)
		},
		"lost with the owner": func(sim *simulation, sub *pb.Submission) {
			dropStarts(sim)
			sim.submit(sub)
			sim.run(100 * time.Millisecond)
			sim.takeOver()
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			sim := newSimulation(1, 2)
			sim.taskFor = func(AttemptID) simTask { return simTask{work: 3 * time.Second} }
			sim.run(500 * time.Millisecond)
			sub := simJob(1, simStepSpec(1, 1000))
			fault(sim, sub)
			for range 5 {
				sim.run(20 * time.Millisecond)
				c.Check(sim.starts, qt.Equals, 0)
				c.Check(sim.firstTask(sub.GetId()).lastAttempt > 0, qt.IsTrue)
				c.Check(sim.core.Waiting()["q"], qt.Equals, int64(1))
				c.Check(sim.core.State(sub.GetId()), qt.Equals, pb.PublicState_PUBLIC_STATE_QUEUED)
			}
			sim.faultOf, sim.commitDelay = nil, 0
			for _, sw := range sim.workers {
				sim.core.SetWorker(sw.entry(), sim.now)
			}
			for end := sim.now.Add(10 * time.Second); sim.core.State(sub.GetId()) != pb.PublicState_PUBLIC_STATE_RUNNING && sim.now.Before(end); {
				sim.step()
			}
			c.Check(sim.starts, qt.Equals, 1)
			unreachable(sim, true)
			for range 2 {
				c.Check(sim.core.Waiting()["q"], qt.Equals, int64(0))
				c.Check(sim.core.State(sub.GetId()), qt.Equals, pb.PublicState_PUBLIC_STATE_RUNNING)
				sim.takeOver()
			}
			unreachable(sim, false)
			sim.run(10 * time.Second)
			c.Check(sim.core.State(sub.GetId()), qt.Equals, pb.PublicState_PUBLIC_STATE_COMPLETED)
			c.Check(sim.violations, qt.HasLen, 0)
		})
	}
}
