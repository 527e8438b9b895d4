package scheduler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"gooseberryreel/internal/pb"
)

// newSuspectSimulation returns a simulation in which the first worker has a service, with
// so much load that the suspect filler of submitSuspect can't run there.
func newSuspectSimulation(workers int) *simulation {
	sim := newSimulation(1, workers)
	sim.taskFor = func(r AttemptID) simTask {
		if imageOf(r) < 100 {
			return simTask{longRunning: true, latencyMS: harmlessMS}
		}
		return simTask{work: 250 * time.Millisecond}
	}
	service := simStepSpec(1, 7000)
	service.Lasting, service.LatencyTargetMs, service.Image = true, harmTargetMS, "service"
	sim.submit(simJob(1, service))
	sim.run(3 * time.Second)
	return sim
}

// submitSuspect submits a filler whose worker has crashed under its first attempt.
func (sim *simulation) submitSuspect() string {
	filler := simStepSpec(1, 5000)
	filler.Filler, filler.Checkpoints, filler.Image = true, true, "filler"
	sub := simJob(100, filler)
	sim.submit(sub)
	sim.firstTask(sub.GetId()).crashes = []crash{{attempt: 1, address: "gone", age: 100 * time.Millisecond, alone: true}}
	return sub.GetId()
}

// Guards against a suspect filler that never starts since the worker that is kept free
// for it is one that refuses it for its load, while others are never without young
// attempts.
func TestSuspectFillerStartsBesideTraffic(t *testing.T) {
	sim := newSuspectSimulation(4)
	id := ""
	for n := range 2000 {
		if n == 200 {
			id = sim.submitSuspect()
		}
		if n%5 == 0 {
			sim.submit(simJob(1000+n, simStepSpec(1, 1000)))
		}
		sim.step()
	}
	qt.Check(t, sim.core.State(id), qt.Equals, pb.PublicState_PUBLIC_STATE_COMPLETED)
}

// Guards against a worker that is kept free for a suspect filler that it refuses: it
// receives no other starts as long as the filler waits.
func TestSuspectFillerLeavesWorkerInUse(t *testing.T) {
	sim := newSuspectSimulation(1)
	sim.submitSuspect()
	sim.submit(simJob(200, simStepSpec(1, 1000)))
	sim.run(20 * time.Second)
	qt.Check(t, sim.core.State(simJob(200).GetId()), qt.Equals, pb.PublicState_PUBLIC_STATE_COMPLETED)
}
