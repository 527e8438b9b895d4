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
