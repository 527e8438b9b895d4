package scheduler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"gooseberryreel/internal/pb"
)

// longestWaitOnHalf returns the longest wait of a job of which nothing runs while half of
// the workers receive no starts and three of four jobs fail on each worker.
func longestWaitOnHalf(without func(sim *simulation)) time.Duration {
	sim := newSimulation(1, 12)
	for _, sw := range sim.workers[6:] {
		sw.domain = "other"
	}
	sim.evacuations.bound = 5 * time.Second
	sim.takeOver()
	sim.taskFor = func(r AttemptID) simTask {
		if imageOf(r)%4 > 0 {
			return simTask{work: 100 * time.Millisecond, fail: true}
		}
		return simTask{work: 400 * time.Millisecond}
	}
	sim.run(time.Second)
	without(sim)
	sim.run(10 * time.Second)
	longest, waits := time.Duration(0), make(map[string]time.Duration)
	for n := range 4000 {
		if n < 2000 && n%10 == 0 {
			sim.submit(simJob(1000+n/10, simStepSpec(3, 700)))
		}
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
	return longest
}

// Guards against sound jobs that wait because tasks that fail everywhere have got all
// workers that may receive work quarantined, while others are listed that may not.
func TestFailingTasksLeaveUsableWorkersInUse(t *testing.T) {
	for name, without := range map[string]func(*simulation){
		"all usable": func(*simulation) {},
		"evacuated":  func(sim *simulation) { sim.evacuate("other") },
		"silent": func(sim *simulation) {
			for _, sw := range sim.workers[6:] {
				sw.unreachable = true
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			longest := longestWaitOnHalf(without)
			qt.Check(t, longest <= 3*time.Second, qt.IsTrue, qt.Commentf("%v", longest))
		})
	}
}
