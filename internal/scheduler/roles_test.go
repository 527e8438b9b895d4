package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"gooseberryreel/internal/interference"
	"gooseberryreel/internal/pb"
)

// stepFlags are the properties that a step may combine.
var stepFlags = map[string]func(*pb.StepSpec){
	"lasting":     func(s *pb.StepSpec) { s.Lasting = true },
	"filler":      func(s *pb.StepSpec) { s.Filler = true },
	"target":      func(s *pb.StepSpec) { s.LatencyTargetMs = 20 },
	"gang":        func(s *pb.StepSpec) { s.Gang = true },
	"same rack":   func(s *pb.StepSpec) { s.SameRack = true },
	"copies":      func(s *pb.StepSpec) { s.Speculative = true },
	"checkpoints": func(s *pb.StepSpec) { s.Checkpoints = true },
	"spread":      func(s *pb.StepSpec) { s.Spread = 1 },
	"label":       func(s *pb.StepSpec) { s.RequiredLabel = "r1" },
	"data":        func(s *pb.StepSpec) { s.DataRack = "r2" },
	"budget":      func(s *pb.StepSpec) { s.DisruptionBudget = 1 },
	"no CPU":      func(s *pb.StepSpec) { s.CpuMilli = 0 },
	"no image":    func(s *pb.StepSpec) { s.Image = "" },
}

// Guards against a combination of properties of a step under which the owner fails, or
// the tasks never run or never end: a long-running filler with a latency target was a
// service in one place and a filler in another.
func TestCombinationsOfStepFlags(t *testing.T) {
	names := slices.Sorted(maps.Keys(stepFlags))
	for i, first := range names {
		for k, second := range names[i+1:] {
			for _, combined := range [][]string{{first, second}, {first, second, "filler", "lasting", "target"}} {
				t.Run(strings.Join(combined, " and "), func(t *testing.T) {
					t.Parallel()
					runCombination(t, uint64(i*len(names)+k), combined)
				})
			}
		}
	}
}

// runCombination places the tasks of a job with some flags beside services and fillers
// that disturb each other, with takeovers, and cancels it or lets it end.
func runCombination(t *testing.T, seed uint64, flags []string) {
	c := qt.New(t)
	sim := newSimulation(seed, 6)
	lasting := slices.Contains(flags, "lasting")
	sim.taskFor = func(r AttemptID) simTask {
		switch imageOf(r) {
		case 1:
			return simTask{longRunning: lasting, work: 800 * time.Millisecond, latencyMS: int64(5 + 30*(sim.rng.IntN(3)/2))}
		case 2:
			return simTask{longRunning: true, latencyMS: int64(5 + 40*sim.rng.IntN(2))}
		default:
			return simTask{work: 700 * time.Millisecond}
		}
	}
	s := simStepSpec(3, 600)
	s.Image = "i"
	for _, name := range flags {
		stepFlags[name](s)
	}
	service := simStepSpec(6, 500)
	service.Lasting, service.Image, service.LatencyTargetMs = true, "s", 20
	filler := func(n int) *pb.StepSpec {
		f := simStepSpec(6, 900)
		f.Filler, f.Image = true, fmt.Sprint("f", n)
		return f
	}
	sim.submit(simJob(2, service, filler(20), filler(21))) // more fillers than services
	sim.run(time.Second)
	sub := simJob(1, s, simStepSpec(1, 500, 0))
	sim.submit(sub)
	for n := range 10 {
		sim.submit(simJob(3+n, filler(n%3)))
		sim.run(700 * time.Millisecond)
		c.Check(sim.core.inconsistencies(), qt.HasLen, 0)
		if n%4 == 1 {
			sim.takeOver()
		}
	}
	sim.run(4 * time.Second)
	started := sim.core.State(sub.GetId())
	c.Check(started == pb.PublicState_PUBLIC_STATE_RUNNING || started == pb.PublicState_PUBLIC_STATE_COMPLETED, qt.IsTrue, qt.Commentf("%v", started))
	if lasting {
		sim.cancel(sub.GetId())
	}
	sim.cancel(simJob(2).GetId())
	sim.run(6 * time.Second)
	c.Check(sim.core.State(sub.GetId()) == pb.PublicState_PUBLIC_STATE_COMPLETED, qt.Equals, !lasting, qt.Commentf("%v", sim.core.State(sub.GetId())))
	c.Check(sim.violations, qt.HasLen, 0)
	for name, on := range sim.runningOn {
		c.Check(on, qt.HasLen, 0, qt.Commentf("%s still runs", name))
	}
}

// Guards against a service that fills and evicts or slows itself, since it misses its
// target beside no other filler.
func TestServiceThatFillsIsNotItsOwnDisturbance(t *testing.T) {
	c := qt.New(t)
	sim := newSimulation(1, 2)
	sim.taskFor = func(AttemptID) simTask { return simTask{longRunning: true, latencyMS: 60} }
	s := simStepSpec(2, 8000)
	s.Lasting, s.Filler, s.Image, s.LatencyTargetMs, s.DisruptionBudget = true, true, "i", 20, 1
	sim.submit(simJob(1, s))
	sim.run(15 * time.Second)
	c.Check(sim.starts, qt.Equals, 2)
	for _, w := range sim.core.workerList {
		c.Check(w.refusesFillers, qt.IsFalse)
		for _, a := range w.list {
			c.Check(a.speed, qt.Equals, 100)
		}
	}
}

// Guards against a job under which each owner fails and that is not known afterwards, so
// that no owner can leave it out.
func TestJobOfAFailureIsKnown(t *testing.T) {
	for _, takeOver := range []bool{false, true} {
		sim := newSimulation(1, 3)
		sim.taskFor = func(AttemptID) simTask { return simTask{longRunning: true, latencyMS: 5} }
		for n := range 4 {
			s := simStepSpec(3, 500)
			s.Lasting, s.Image, s.LatencyTargetMs = true, "i", 20
			sim.submit(simJob(n, s))
		}
		sim.run(time.Second)
		if takeOver {
			sim.takeOver()
		}
		failing := sim.core.jobs[simJob(2).GetId()]
		failing.rounds[0].steps[0].role.service = 1000
		failed := func() (failed any) {
			defer func() { failed = recover() }()
			sim.submit(simJob(9, simStepSpec(3, 500)))
			sim.run(time.Second)
			return nil
		}()
		qt.Assert(t, failed, qt.IsNotNil)
		qt.Check(t, sim.core.WorkingOn(), qt.Equals, simJob(2).GetId())
	}
}

// Guards against images of ended jobs that keep their places in the interference model, so
// that it learns nothing about later ones.
func TestImagesOfEndedJobsAreForgotten(t *testing.T) {
	c := qt.New(t)
	sim := newSimulation(1, 4)
	sim.taskFor = func(r AttemptID) simTask {
		return simTask{longRunning: imageOf(r) == 1, latencyMS: 8, work: 100 * time.Millisecond}
	}
	s := simStepSpec(4, 500)
	s.Lasting, s.Image, s.LatencyTargetMs = true, "s", 20
	sim.submit(simJob(1, s))
	sim.run(time.Second)
	own := make(map[interference.Filler]bool)
	for n := range 3 * interference.MaxFillers {
		f := simStepSpec(1, 500)
		f.Filler, f.Image = true, fmt.Sprint("f", n)
		sim.submit(simJob(2+n, f))
		own[sim.core.jobs[simJob(2+n).GetId()].rounds[0].steps[0].role.filler] = true
		sim.run(100 * time.Millisecond)
	}
	sim.run(2 * time.Second)
	c.Check(len(own) >= interference.MaxFillers-1, qt.IsTrue)
	c.Check(sim.core.model.FillerIndex(fmt.Sprint("f", 3*interference.MaxFillers-1)) != sim.core.model.FillerIndex("new"), qt.IsTrue)
	c.Check(sim.core.jobs[simJob(1).GetId()].rounds[0].steps[0].role.service, qt.Equals, sim.core.model.ServiceIndex("s"))
	c.Check(sim.violations, qt.HasLen, 0)
	for n := range 3 * interference.MaxFillers {
		c.Check(sim.core.State(simJob(2+n).GetId()), qt.Equals, pb.PublicState_PUBLIC_STATE_COMPLETED)
	}
}
