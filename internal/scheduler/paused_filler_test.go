package scheduler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"gooseberryreel/internal/pb"
)

// Guards against a filler that is slowed to a standstill for good although a worker
// without services has room for it: nothing is learned from it then, so that an estimate
// that is too high remains.
func TestPausedFillerMovesToIdleWorker(t *testing.T) {
	sim := newSimulation(1, 2)
	sim.core.RestoreInterference(&pb.StoredPairs{Services: []*pb.StoredService{
		{Image: "service", Floor: 0.22, Weights: []*pb.StoredWeight{{Filler: "filler", Mean: 8, Variance: 0.01}}},
	}})
	sim.taskFor = func(r AttemptID) simTask {
		switch imageOf(r) {
		case 1:
			return simTask{longRunning: true, latencyMS: 5}
		case 2:
			return simTask{work: 6 * time.Second}
		}
		return simTask{work: 600 * time.Millisecond}
	}
	service := simStepSpec(1, 1600)
	service.Lasting, service.LatencyTargetMs, service.Image = true, simTargetMS, "service"
	sim.submit(simJob(1, service))
	sim.run(2 * time.Second)
	full := simStepSpec(1, 4000)
	full.MemoryMib = 16000
	sim.submit(simJob(2, full)) // on the other worker, which is idle after 6 s
	sim.run(time.Second)
	filler := simStepSpec(1, 4250)
	filler.Filler, filler.Checkpoints, filler.Image = true, true, "filler"
	sim.submit(simJob(100, filler))
	for range 6000 {
		sim.step()
		sim.updateLatencies()
	}
	qt.Check(t, sim.core.State(simJob(100).GetId()), qt.Equals, pb.PublicState_PUBLIC_STATE_COMPLETED)
}

// Guards against a filler at its lowest speed that is slowed again and again, so that the
// others beside the service are not.
func TestFillerAtLowestSpeedLeavesOthersToBeSlowed(t *testing.T) {
	sim := newSimulation(1, 1)
	sim.core.RestoreInterference(&pb.StoredPairs{Services: []*pb.StoredService{
		{Image: "service", Floor: 0.22, Weights: []*pb.StoredWeight{{Filler: "heavy", Mean: 8, Variance: 0.001}, {Filler: "light", Mean: 1, Variance: 0.001}}},
	}})
	sim.taskFor = func(r AttemptID) simTask {
		if imageOf(r) == 1 {
			return simTask{longRunning: true, latencyMS: harmlessMS}
		}
		return simTask{work: time.Minute}
	}
	service := simStepSpec(1, 1600)
	service.Lasting, service.LatencyTargetMs, service.Image = true, harmTargetMS, "service"
	sim.submit(simJob(1, service))
	sim.run(3 * time.Second)
	for n, image := range []string{"heavy", "light"} {
		filler := simStepSpec(1, int64(3000-1400*n))
		filler.Filler, filler.Checkpoints, filler.Image = true, true, image
		sim.submit(simJob(100+n, filler))
		sim.run(300 * time.Millisecond)
	}
	lowest := map[int]int{100: 100, 101: 100}
	for range 600 {
		sim.step()
		for _, r := range sim.workers[0].active {
			if r.task.longRunning {
				if len(sim.workers[0].active) > 2 {
					r.task.latencyMS = 2 * harmTargetMS
				}
			} else if r.speed > 0 { // zero while it is being stopped
				n := imageOf(r.attemptID)
				lowest[n] = min(lowest[n], r.speed)
			}
		}
	}
	qt.Check(t, lowest[100], qt.Equals, speedStepPercent)
	qt.Check(t, lowest[101] < 100, qt.IsTrue)
}
