package scheduler

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"gooseberryreel/internal/pb"
)

// Guards against an owner that panics while a gang that prefers one rack waits and no
// worker is usable, as at every takeover until the first worker answers.
func TestGangWaitsWithoutUsableWorkers(t *testing.T) {
	for _, takeOver := range []bool{false, true} {
		t.Run(fmt.Sprintf("takeover %v", takeOver), func(t *testing.T) {
			c := qt.New(t)
			sim := newSimulation(1, 4)
			sim.remoteFactor = 3
			sim.takeOver()
			sim.run(time.Second)
			if !takeOver {
				for _, sw := range sim.workers {
					sw.unreachable = true
				}
				sim.run(2 * maxAnswerAge)
			}
			gang := simStepSpec(4, 2000)
			gang.Gang, gang.SameRack = true, true
			sim.submit(simJob(1, gang))
			if takeOver {
				sim.takeOver()
			} else {
				sim.run(time.Second)
				for _, sw := range sim.workers {
					sw.unreachable = false
				}
			}
			sim.run(5 * time.Second)
			c.Check(sim.core.State(fmt.Sprintf("%016x", 1)), qt.Equals, pb.PublicState_PUBLIC_STATE_COMPLETED)
			c.Check(sim.violations, qt.HasLen, 0)
		})
	}
}

// simulateGangOverTakeovers lets a gang that prefers one rack wait behind short tasks that
// fill all workers, while the owner is replaced again and again. It returns the time after
// which the gang starts.
func simulateGangOverTakeovers(seed uint64, disabled disabledRules, between time.Duration) (time.Duration, *simulation) {
	sim := newSimulation(seed, 8)
	sim.remoteFactor, sim.disabled = 3, disabled
	sim.takeOver()
	sim.taskFor = func(AttemptID) simTask { return simTask{work: 800 * time.Millisecond} }
	started := false
	sim.onStart = func(id AttemptID, _ *simWorker) { started = started || imageOf(id) == 1 }
	sim.run(time.Second)
	for n := range 60 {
		sim.submit(simJob(100+n, simStepSpec(10, 2000)))
	}
	sim.run(time.Second)
	gang := simStepSpec(6, 2000)
	gang.Gang, gang.SameRack = true, true
	sim.submit(simJob(1, gang))
	since, tookOver := sim.now, sim.now
	for n := 0; n < 600 && !started; n++ {
		if sim.now.Sub(tookOver) >= between {
			sim.takeOver()
			tookOver = sim.now
		}
		if n%4 == 0 {
			sim.submit(simJob(200+n, simStepSpec(16, 2000)))
		}
		sim.run(100 * time.Millisecond)
	}
	return sim.now.Sub(since), sim
}

// Guards against a gang that waits for room on one rack behind short tasks for as long as
// new owners make it wait from zero again.
func TestGangWaitsOverTakeovers(t *testing.T) {
	for _, between := range []time.Duration{time.Second, 2 * time.Second, 2800 * time.Millisecond, 5 * time.Second} {
		t.Run(fmt.Sprintf("takeover every %v", between), func(t *testing.T) {
			c := qt.New(t)
			for seed := range uint64(3) {
				wait, sim := simulateGangOverTakeovers(seed, disabledRules{}, between)
				t.Logf("seed %d: the gang starts after %v, %d owners", seed, wait, sim.epoch)
				c.Check(wait < gangMaxWait+2*time.Second, qt.IsTrue)
				c.Check(sim.violations, qt.HasLen, 0)
			}
		})
	}
}

// Guards against members of a gang that are started although others are withheld, since a
// worker was quarantined after the gang was placed: they would end alone.
func TestGangIsWithheldAsAWhole(t *testing.T) {
	c := qt.New(t)
	sim := newSimulation(1, 4)
	sim.run(500 * time.Millisecond)
	s := simStepSpec(4, 2000)
	s.Gang, s.Spread = true, 1
	sim.submit(simJob(1, s))
	sim.core.Tick(sim.now)
	b := sim.core.TakeBatch(sim.now)
	c.Assert(b.starts, qt.HasLen, 4)
	sim.core.workers[sim.workers[2].id].health.quarantine(sim.now)
	sim.core.TakeOutput()
	sim.core.Committed(b, sim.now)
	for _, command := range sim.core.TakeOutput().Commands {
		c.Check(command.Kind, qt.Not(qt.Equals), CommandStart)
	}
	c.Check(sim.core.jobs[simJob(1).GetId()].attempts, qt.Equals, 0)
	sim.run(5 * time.Second)
	c.Check(sim.core.State(simJob(1).GetId()), qt.Equals, pb.PublicState_PUBLIC_STATE_COMPLETED)
	c.Check(sim.violations, qt.HasLen, 0)
}
