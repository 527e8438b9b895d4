package scheduler

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"gooseberryreel/internal/pb"
)

// simulateManyEnds lets the only worker end many tasks while it is cut off.
func simulateManyEnds(tasks int32, takeOver, fails bool, disabled disabledRules) *simulation {
	sim := newSimulation(1, 1)
	sim.disabled, sim.core.disabled = disabled, disabled
	sim.taskFor = func(r AttemptID) simTask {
		return simTask{work: 900 * time.Millisecond, fail: fails && r.Task%3 == 0 && r.Number == 1}
	}
	s := simStepSpec(tasks, 1)
	s.MemoryMib = 1
	sim.submit(simJob(1, s))
	for sim.starts < int(tasks) {
		sim.step()
	}
	sim.workers[0].unreachable = true
	sim.run(2 * time.Second)
	if takeOver {
		sim.takeOver()
		sim.run(500 * time.Millisecond)
	}
	sim.workers[0].unreachable = false
	sim.run(20 * time.Second)
	return sim
}

// Guards against tasks that start again after they have ended, since the answer of their
// worker lists as many ends as fit and not theirs.
func TestEndsBeyondTheListAreNotLost(t *testing.T) {
	for _, takeOver := range []bool{false, true} {
		for _, fails := range []bool{false, true} {
			for _, tasks := range []int32{499, 500, 501, 1400} {
				t.Run(fmt.Sprintf("%d tasks, takeover %v, failures %v", tasks, takeOver, fails), func(t *testing.T) {
					c := qt.New(t)
					starts := int(tasks)
					if fails {
						starts += int(tasks+2) / 3
					}
					sim := simulateManyEnds(tasks, takeOver, fails, disabledRules{})
					c.Check(sim.starts, qt.Equals, starts)
					c.Check(sim.violations, qt.HasLen, 0)
					c.Check(sim.core.State(simJob(1).GetId()), qt.Equals, pb.PublicState_PUBLIC_STATE_COMPLETED)
				})
			}
		}
	}
	// With lease bounds, a worker that answers again gets starts only once it has listed all.
	for _, takeOver := range []bool{false, true} {
		sim := simulateManyEnds(1400, takeOver, false, disabledRules{trustCutLists: true, noLeaseBounds: true})
		qt.Check(t, sim.starts > 1400, qt.IsTrue)
	}
}

// cutOff makes a worker unreachable, also for the answer to a hold that it has received.
func (sim *simulation) cutOff(sw *simWorker) {
	sw.unreachable = true
	if h := sw.pendingHold; h != nil {
		core := sim.core
		sw.pendingHold = nil
		sim.after(time.Second, func() { core.CommandDone(CommandResult{Command: h.command, Err: errors.New("no answer")}, sim.now) })
	}
}

// Guards against a task that is started once more than allowed, since it failed on a worker
// that counted as lost by then, and against a failure that counts twice since a new owner
// is told of it again.
func TestLateFailuresCount(t *testing.T) {
	for _, takeOver := range []bool{false, true} {
		t.Run(fmt.Sprint("takeover ", takeOver), func(t *testing.T) {
			c := qt.New(t)
			sim := newSimulation(1, 3)
			sim.taskFor = func(r AttemptID) simTask {
				if r.Number == 1 {
					return simTask{work: 300 * time.Millisecond, fail: true}
				}
				return simTask{work: 2 * time.Second, fail: true}
			}
			sub := simJob(1, simStepSpec(1, 1000))
			sim.submit(sub)
			for sim.starts < 1 {
				sim.step()
			}
			first := sim.core.workers[sim.firstTask(sub.GetId()).attempts[0].worker.id]
			for _, sw := range sim.workers {
				if sw.id == first.id {
					sim.cutOff(sw)
				}
			}
			for sim.starts < 2 {
				sim.step()
			}
			for _, sw := range sim.workers {
				sw.unreachable = false
			}
			sim.run(500 * time.Millisecond)
			if takeOver {
				sim.run(50 * time.Millisecond)
				sim.takeOver()
			}
			sim.run(500 * time.Millisecond)
			c.Check(sim.firstTask(sub.GetId()).failures, qt.Equals, 1)
			core := sim.core
			core.handleLateEnd(core.workers[first.id], EndedAttempt{Number: 99, AttemptID: AttemptID{Job: sub.GetId(), Number: 1}, Reason: EndFailed}, sim.now)
			c.Check(sim.firstTask(sub.GetId()).failures, qt.Equals, 1)
			sim.run(20 * time.Second)
			c.Check(sim.starts, qt.Equals, 3)
			c.Check(sim.core.State(sub.GetId()), qt.Equals, pb.PublicState_PUBLIC_STATE_FAILED)
			c.Check(sim.violations, qt.HasLen, 0)
		})
	}
}
