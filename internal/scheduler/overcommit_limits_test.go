package scheduler

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"gooseberryreel/internal/pb"
)

// fillerSpec returns a step of fillers with checkpoints.
func fillerSpec(tasks int32, cpu, memory int64, image string) *pb.StepSpec {
	s := simStepSpec(tasks, cpu)
	s.MemoryMib, s.Filler, s.Checkpoints, s.Image, s.EstimateMs = memory, true, true, image, 2500
	return s
}

// serviceSpec returns a step of a service.
func serviceSpec(tasks int32, cpu int64) *pb.StepSpec {
	s := simStepSpec(tasks, cpu)
	s.Lasting, s.LatencyTargetMs, s.Image = true, harmTargetMS, "service"
	return s
}

// runsWithin reports whether an attempt of a job runs within a time.
func (sim *simulation) runsWithin(job int, bound time.Duration) bool {
	for end := sim.now.Add(bound); sim.now.Before(end); {
		sim.step()
		if sim.speedOf(job) > 0 {
			return true
		}
	}
	return false
}

// attemptOf returns the first attempt of a job that the owner expects to be active.
func (sim *simulation) attemptOf(job int) *attempt {
	for _, w := range sim.core.workerList {
		for _, a := range w.list {
			if imageOf(a.attemptID) == job {
				return a
			}
		}
	}
	return nil
}

// newBusySimulation returns a simulation of workers whose CPUs are used by a job of
// fillers, 100, that runs for 20 s.
func newBusySimulation(workers int) *simulation {
	sim := newSimulation(1, workers)
	sim.taskFor = func(r AttemptID) simTask {
		if imageOf(r) < 100 {
			return simTask{longRunning: true, latencyMS: harmlessMS}
		}
		return simTask{work: 20 * time.Second}
	}
	sim.run(time.Second)
	service := serviceSpec(int32(workers), 800)
	service.Spread = 1
	sim.submit(simJob(1, service))
	sim.run(2 * time.Second)
	sim.submit(simJob(100, fillerSpec(int32(8*workers), 1000, 500, "long")))
	sim.run(2 * time.Second)
	return sim
}

// Guards against a job that finds no worker with enough memory and keeps each job behind it
// from starting a task, although that one needs little.
func TestLargeIdleJobLeavesSmallOnesToStart(t *testing.T) {
	for _, large := range []bool{false, true} {
		t.Run(fmt.Sprint(large), func(t *testing.T) {
			sim := newBusySimulation(2)
			if large {
				sim.submit(simJob(101, fillerSpec(1, 1000, 14000, "large")))
			}
			sim.run(100 * time.Millisecond)
			sim.submit(simJob(102, fillerSpec(1, 1000, 500, "small")))
			qt.Check(t, sim.runsWithin(102, 10*time.Second), qt.IsTrue)
		})
	}
}

// Guards against a job of fillers with nothing running while few workers are quarantined,
// because the use of the others is taken for that of the pool.
func TestIdleJobStartsBesideQuarantinedWorkers(t *testing.T) {
	for _, quarantined := range []int{0, 2} {
		t.Run(fmt.Sprint(quarantined), func(t *testing.T) {
			sim := newSimulation(1, 4)
			sim.taskFor = func(r AttemptID) simTask {
				if imageOf(r) < 100 {
					return simTask{longRunning: true, latencyMS: harmlessMS}
				}
				return simTask{work: time.Minute}
			}
			sim.run(time.Second)
			sim.submit(simJob(1, serviceSpec(8, 1800))) // 0.45 of the pool, on two workers
			sim.run(3 * time.Second)
			left := quarantined
			for _, w := range sim.core.workerList {
				if left > 0 && w.services == 0 {
					left--
					w.health.until = sim.now.Add(8 * time.Second)
				}
			}
			qt.Assert(t, left, qt.Equals, 0)
			sim.submit(simJob(100, fillerSpec(40, 1000, 500, "long")))
			sim.run(1 * time.Second)
			sim.submit(simJob(101, fillerSpec(1, 1000, 500, "long")))
			qt.Check(t, sim.runsWithin(101, 3*time.Second), qt.IsTrue)
		})
	}
}

// newPartlyFreeSimulation returns a simulation of one worker with CPU for a part of the
// task of job 101, which has just arrived.
func newPartlyFreeSimulation(commitDelay time.Duration) *simulation {
	sim := newSimulation(1, 1)
	sim.commitDelay = commitDelay
	sim.taskFor = func(r AttemptID) simTask {
		if imageOf(r) < 100 {
			return simTask{longRunning: true, latencyMS: harmlessMS}
		}
		return simTask{work: time.Minute}
	}
	sim.submit(simJob(1, serviceSpec(1, 1600)))
	sim.run(3 * time.Second)
	sim.submit(simJob(100, fillerSpec(6, 1000, 500, "light")))
	sim.run(time.Second)
	sim.submit(simJob(101, fillerSpec(1, 2400, 500, "heavy")))
	return sim
}

// Guards against a task that is sped up before its start is sent: the worker starts it at
// full speed, while the owner takes it for one at the lower speed.
func TestSpeedOfOvercommittedTaskIsSetAfterItsStart(t *testing.T) {
	for _, delay := range []time.Duration{0, 100 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			sim := newPartlyFreeSimulation(delay)
			qt.Assert(t, sim.runsWithin(101, 3*time.Second), qt.IsTrue)
			sim.run(2 * time.Second)
			a := sim.attemptOf(101)
			qt.Check(t, sim.speedOf(101), qt.Equals, a.speed)
			qt.Check(t, a.confirmedSpeed, qt.Equals, a.speed)
		})
	}
}

// Guards against a task that runs at full speed on a worker without CPU for it, because the
// worker refused its first throttle.
func TestRefusedThrottleOfOvercommittedTaskIsRepeated(t *testing.T) {
	sim := newBusySimulation(1)
	refused := 0
	sim.refuse = func(o Command) Refusal {
		if o.Kind == CommandThrottle && imageOf(o.AttemptID) == 101 && refused < 1 {
			refused++
			return RefusedUnhealthy
		}
		return RefusedNone
	}
	sim.submit(simJob(101, fillerSpec(1, 3000, 500, "long")))
	qt.Assert(t, sim.runsWithin(101, 3*time.Second), qt.IsTrue)
	sim.run(3 * time.Second)
	qt.Assert(t, refused, qt.Equals, 1)
	qt.Check(t, sim.speedOf(101), qt.Equals, overcommitSpeed)
}

// Guards against an overcommitted task that is sped up in each pass and slowed again beside
// a service that it slows down, so that the service misses its target again and again.
func TestOvercommittedTaskIsNotSpedUpBesideServiceItSlows(t *testing.T) {
	sim := newPartlyFreeSimulation(0)
	sim.core.RestoreInterference(&pb.StoredPairs{Services: []*pb.StoredService{
		{Image: "service", Floor: 0.22, Weights: []*pb.StoredWeight{{Filler: "heavy", Mean: 8, Variance: 0.001}, {Filler: "light", Mean: 0, Variance: 0.001}}},
	}})
	ended := 0
	sim.onEnd = func(id AttemptID, _ string, _ EndReason) {
		if imageOf(id) == 100 {
			ended++
		}
	}
	var over, total time.Duration
	throttles, last := 0, 0
	for range 2000 {
		sim.step()
		speed := sim.speedOf(101)
		if speed != last {
			throttles++
		}
		last = speed
		for _, r := range sim.workers[0].active {
			if !r.task.longRunning {
				continue
			}
			total += simStep
			r.task.latencyMS = harmlessMS
			if speed > 2*overcommitSpeed {
				over += simStep
				r.task.latencyMS = 2 * harmTargetMS
			}
		}
	}
	qt.Check(t, float64(over) < 0.1*float64(total), qt.IsTrue, qt.Commentf("over its target for %v of %v; %d changes of the speed; %d ends of others", over, total, throttles, ended))
	qt.Check(t, ended, qt.Equals, 0)
}
