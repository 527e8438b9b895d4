package scheduler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"gooseberryreel/internal/pb"
)

// longestWaitAmongFailing returns the longest wait of a job of which nothing runs while
// three of four jobs fail on each worker for 20 s.
func longestWaitAmongFailing(disabled disabledRules) time.Duration {
	sim := newSimulation(1, 6)
	sim.disabled, sim.core.disabled = disabled, disabled
	sim.taskFor = func(r AttemptID) simTask {
		if imageOf(r)%4 > 0 {
			return simTask{work: 100 * time.Millisecond, fail: true}
		}
		return simTask{work: 400 * time.Millisecond}
	}
	sim.run(time.Second)
	longest, waits := time.Duration(0), make(map[string]time.Duration)
	for n := range 400 {
		if n < 200 {
			sim.submit(simJob(1000+n, simStepSpec(3, 700)))
		}
		for range 10 {
			sim.step()
			running := make(map[string]bool)
			for _, sw := range sim.workers {
				for _, r := range sw.active {
					running[r.attemptID.Job] = true
				}
			}
			for id, state := range sim.states() {
				waits[id] += simStep
				if running[id] || state == pb.PublicState_PUBLIC_STATE_COMPLETED || state == pb.PublicState_PUBLIC_STATE_FAILED {
					waits[id] = 0
				}
				longest = max(longest, waits[id])
			}
		}
	}
	return longest
}

// Guards against sound jobs that wait because tasks that fail everywhere have got all
// workers quarantined.
func TestFailingTasksLeaveWorkersInUse(t *testing.T) {
	qt.Check(t, longestWaitAmongFailing(disabledRules{}) <= 3*time.Second, qt.IsTrue)
	qt.Check(t, longestWaitAmongFailing(disabledRules{quarantineAll: true}) > 3*time.Second, qt.IsTrue)
}

// Guards against workers that fail all their tasks and stay in use.
func TestWorkersThatFailAllTasksAreQuarantined(t *testing.T) {
	sim := newSimulation(1, 6)
	sim.taskFor = func(AttemptID) simTask { return simTask{work: 200 * time.Millisecond} }
	starts := make(map[string]int)
	sim.onStart = func(id AttemptID, sw *simWorker) {
		starts[sw.id]++
		if sw.id == "w0" || sw.id == "w1" {
			sw.active[id].task.fail = true
		}
	}
	for n := range 100 {
		sim.submit(simJob(1000+n, simStepSpec(3, 700)))
		sim.run(100 * time.Millisecond)
	}
	for _, id := range []string{"w0", "w1"} {
		qt.Check(t, starts[id] < 30, qt.IsTrue, qt.Commentf("%d starts on %s", starts[id], id))
	}
	qt.Check(t, starts["w2"] > 50, qt.IsTrue)
}
