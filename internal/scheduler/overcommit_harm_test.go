package scheduler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"gooseberryreel/internal/pb"
)

// Guards against overcommitted fillers that hold the memory of all workers for ten times
// as long as at full speed, so that urgent jobs wait.
func TestOvercommittedTasksLeaveMemoryForUrgentJobs(t *testing.T) {
	sim := newSimulation(1, 4)
	sim.taskFor = func(r AttemptID) simTask {
		switch {
		case imageOf(r) < 100:
			return simTask{longRunning: true, latencyMS: harmlessMS}
		case imageOf(r) >= 1000:
			return simTask{work: 300 * time.Millisecond}
		}
		return simTask{work: 3 * time.Second}
	}
	sim.submit(simJob(1, serviceSpec(4, 1600)))
	sim.run(3 * time.Second)
	for n := range 60 {
		sim.submit(simJob(100+n, fillerSpec(4, 2000, 1500, "filler")))
	}
	sim.run(4 * time.Second)
	longest := time.Duration(0)
	for n := range 10 {
		s := simStepSpec(4, 1000)
		s.MemoryMib = 2000
		sub, at := simJob(1000+n, s), sim.now
		sim.submit(sub)
		for sim.now.Sub(at) < 10*time.Second && sim.core.State(sub.GetId()) != pb.PublicState_PUBLIC_STATE_COMPLETED {
			sim.step()
		}
		longest = max(longest, sim.now.Sub(at))
		sim.run(500 * time.Millisecond)
	}
	qt.Check(t, longest < time.Second, qt.IsTrue, qt.Commentf("%v", longest))
}

// Guards against fillers that were slowed for a service and are set to full speed by each
// new owner, so that the service misses its target again.
func TestSlowedFillersStaySlowAtTakeover(t *testing.T) {
	pairs := &pb.StoredPairs{Services: []*pb.StoredService{
		{Image: "service", Floor: 0.22, Weights: []*pb.StoredWeight{{Filler: "heavy", Mean: 8, Variance: 0.001}}},
	}}
	over := func(every int) (total time.Duration) {
		sim := newSimulation(1, 1)
		sim.taskFor = func(r AttemptID) simTask {
			if imageOf(r) < 100 {
				return simTask{longRunning: true, latencyMS: harmlessMS}
			}
			return simTask{work: 20 * time.Second}
		}
		sim.core.RestoreInterference(pairs)
		sim.submit(simJob(1, serviceSpec(1, 1600)))
		sim.run(3 * time.Second)
		for n := range 3 {
			sim.submit(simJob(100+n, fillerSpec(1, 1500, 500, "heavy")))
		}
		for n := range 3000 {
			if every > 0 && n > 0 && n%every == 0 {
				sim.takeOver()
				sim.core.RestoreInterference(pairs)
			}
			sim.step()
			speeds := 0
			for _, r := range sim.workers[0].active {
				if !r.task.longRunning {
					speeds += r.speed
				}
			}
			for _, r := range sim.workers[0].active {
				if !r.task.longRunning {
					continue
				}
				r.task.latencyMS = harmlessMS
				if speeds > 60 {
					r.task.latencyMS = 2 * harmTargetMS
					total += simStep
				}
			}
		}
		return total
	}
	none, each := over(0), over(500)
	qt.Check(t, each <= none+time.Second, qt.IsTrue, qt.Commentf("over its target for %v, with a new owner each 5 s %v", none, each))
}

// Guards against a job that waits for longer than it may while services on all workers begin
// to miss their targets at the same time: none is known to do so without fillers yet.
func TestIdleJobStartsWhileAllServicesMissTheirTargets(t *testing.T) {
	sim := newBusySimulation(2)
	for _, sw := range sim.workers {
		for _, r := range sw.active {
			if r.task.longRunning {
				r.task.latencyMS = 3 * harmTargetMS
			}
		}
	}
	sim.run(500 * time.Millisecond)
	sim.submit(simJob(101, fillerSpec(1, 1000, 500, "other")))
	qt.Check(t, sim.runsWithin(101, 3*time.Second), qt.IsTrue)
}
