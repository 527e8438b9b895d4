package scheduler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"gooseberryreel/internal/pb"
)

// newFullSimulation returns a simulation of one worker on which the fillers of job 100 use
// all CPU that its service leaves for a time, and another job of fillers, 101, has arrived.
func newFullSimulation(service int64, work time.Duration) *simulation {
	sim := newSimulation(1, 1)
	sim.taskFor = func(r AttemptID) simTask {
		switch imageOf(r) {
		case 1:
			return simTask{longRunning: true, latencyMS: harmlessMS}
		case 100:
			return simTask{work: work}
		}
		return simTask{work: time.Second}
	}
	spec := simStepSpec(1, service)
	spec.Lasting, spec.LatencyTargetMs, spec.Image = true, harmTargetMS, "service"
	sim.submit(simJob(1, spec))
	sim.run(2 * time.Second)
	for n := range 2 {
		filler := simStepSpec(int32(7-6*n), (7800-service/2)/7+int64(200*n))
		filler.Filler, filler.Checkpoints, filler.Image = true, true, "filler"
		sim.submit(simJob(100+n, filler))
		sim.run(500 * time.Millisecond)
	}
	return sim
}

// speedOf returns the lowest speed of the fillers of a job, zero if none runs.
func (sim *simulation) speedOf(job int) int {
	lowest := 0
	for _, sw := range sim.workers {
		for _, r := range sw.active {
			if imageOf(r.attemptID) == job && (lowest == 0 || r.speed < lowest) {
				lowest = r.speed
			}
		}
	}
	return lowest
}

// Guards against an overcommitted task that stays at its low speed although its worker has
// CPU for it by now.
func TestOvercommittedTaskIsSpedUp(t *testing.T) {
	c := qt.New(t)
	sim := newFullSimulation(1600, 5*time.Second)
	sim.run(1500 * time.Millisecond)
	c.Check(sim.speedOf(101), qt.Equals, overcommitSpeed)
	sim.run(4500 * time.Millisecond)
	c.Check(sim.core.State(simJob(100).GetId()), qt.Equals, pb.PublicState_PUBLIC_STATE_COMPLETED)
	c.Check(sim.core.State(simJob(101).GetId()), qt.Equals, pb.PublicState_PUBLIC_STATE_COMPLETED)
	c.Check(sim.violations, qt.HasLen, 0)
}

// Guards against an idle job that no worker has memory for and that keeps all others
// waiting that have been idle for less long.
func TestIdleJobWithoutMemoryDelaysNoOther(t *testing.T) {
	sim := newFullSimulation(1600, time.Minute)
	large := simStepSpec(1, 300)
	large.Filler, large.Image, large.MemoryMib = true, "filler", 15000
	sim.submit(simJob(102, large))
	sim.run(500 * time.Millisecond)
	small := simStepSpec(1, 500)
	small.Filler, small.Image = true, "filler"
	sim.submit(simJob(103, small))
	sim.run(3 * time.Second)
	qt.Check(t, sim.speedOf(102), qt.Equals, 0)
	qt.Check(t, sim.speedOf(103), qt.Equals, overcommitSpeed)
}

// Guards against fillers that are started without free CPU on a pool that other work uses.
func TestNoOvercommitOnUsedPool(t *testing.T) {
	sim := newFullSimulation(5000, 5*time.Second)
	for range 300 {
		sim.step()
		qt.Assert(t, sim.speedOf(101), qt.Equals, 0)
	}
}

// Guards against a filler that runs at a low speed for good after its owner was replaced,
// since the new owner takes it for one at full speed.
func TestSpeedOfFillerIsRestoredAtTakeover(t *testing.T) {
	c := qt.New(t)
	sim := newFullSimulation(1600, 5*time.Second)
	sim.run(1500 * time.Millisecond)
	c.Assert(sim.speedOf(101), qt.Equals, overcommitSpeed)
	sim.takeOver()
	sim.core.RestoreInterference(&pb.StoredPairs{Services: []*pb.StoredService{
		{Image: "service", Floor: 0.22, Weights: []*pb.StoredWeight{{Filler: "filler", Mean: 0, Variance: 0.001}}},
	}})
	sim.run(time.Second)
	c.Check(sim.speedOf(101), qt.Equals, overcommitSpeed)
	c.Check(sim.speedOf(100), qt.Equals, 100)
	sim.run(4 * time.Second)
	c.Check(sim.core.State(simJob(101).GetId()), qt.Equals, pb.PublicState_PUBLIC_STATE_COMPLETED)
}

// Guards against a task that hangs at a low speed and is never restarted elsewhere.
func TestHangingTaskAtLowSpeedIsReplaced(t *testing.T) {
	sim := newFullSimulation(1600, time.Minute)
	sim.run(1500 * time.Millisecond)
	first := sim.firstTask(simJob(101).GetId()).lastAttempt
	for range 2500 {
		sim.step()
		for _, r := range sim.workers[0].active {
			r.stuck = r.stuck || imageOf(r.attemptID) == 101
		}
	}
	last := sim.firstTask(simJob(101).GetId()).lastAttempt
	qt.Check(t, last > first, qt.IsTrue, qt.Commentf("%d, %d", first, last))
}
