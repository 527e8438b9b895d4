package scheduler

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"gooseberryreel/internal/pb"
)

// Guards against tasks that start again while they run, since an entry of another writer
// under the id of their worker names another pool, a later start or another address.
func TestEntriesOfOtherWritersEndNoAttempt(t *testing.T) {
	for name, change := range map[string]func(sim *simulation, e *WorkerEntry){
		"unknown pool": func(_ *simulation, e *WorkerEntry) { e.Pool = "monitor" },
		"later start":  func(_ *simulation, e *WorkerEntry) { e.Incarnation += 5000 },
		"unknown pool, later start, other address": func(_ *simulation, e *WorkerEntry) {
			e.Pool, e.Incarnation, e.Address = "monitor", e.Incarnation+5000, "elsewhere"
		},
		"address of another worker": func(sim *simulation, e *WorkerEntry) { e.Address = sim.workers[1].address },
		"later start, address of another worker": func(sim *simulation, e *WorkerEntry) {
			e.Incarnation, e.Address = e.Incarnation+5000, sim.workers[1].address
		},
	} {
		for _, takeOver := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, takeover %v", name, takeOver), func(t *testing.T) {
				c := qt.New(t)
				sim := newSimulation(1, 3)
				sim.config.Pools = []string{"s"}
				sim.core.SetConfig(sim.config)
				sim.taskFor = func(AttemptID) simTask { return simTask{work: 6 * time.Second} }
				sim.submit(simJob(1, simStepSpec(12, 500)))
				sim.run(time.Second)
				c.Assert(sim.starts, qt.Equals, 12)
				if takeOver {
					sim.takeOver()
					sim.run(500 * time.Millisecond)
				}
				odd := sim.workers[0].entry()
				change(sim, &odd)
				sim.core.SetWorker(odd, sim.now)
				sim.run(1500 * time.Millisecond)
				sim.core.SetWorker(sim.workers[0].entry(), sim.now)
				sim.run(10 * time.Second)
				c.Check(sim.starts, qt.Equals, 12)
				c.Check(sim.violations, qt.HasLen, 0)
			})
		}
	}
}

// Guards against starts on a worker that has come back as another kind, or in another pool,
// while they waited to be recorded.
func TestStartsAreWithheldFromOtherKinds(t *testing.T) {
	for name, change := range map[string]func(e *WorkerEntry){
		"label": func(e *WorkerEntry) { e.Labels = []string{"b", "r9"} },
		"pool":  func(e *WorkerEntry) { e.Pool = "another" },
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			sim := newSimulation(1, 2)
			sim.run(500 * time.Millisecond)
			s := simStepSpec(4, 500)
			s.RequiredLabel = "a"
			sim.submit(simJob(1, s))
			sim.core.Tick(sim.now)
			b := sim.core.TakeBatch(sim.now)
			for _, sw := range sim.workers {
				entry := sw.entry()
				change(&entry)
				sim.core.SetWorker(entry, sim.now)
			}
			sim.core.TakeOutput()
			sim.core.Committed(b, sim.now)
			for _, command := range sim.core.TakeOutput().Commands {
				c.Check(command.Kind, qt.Not(qt.Equals), CommandStart)
			}
			for _, sw := range sim.workers {
				sim.core.SetWorker(sw.entry(), sim.now)
			}
			sim.run(3 * time.Second)
			c.Check(sim.core.State(simJob(1).GetId()), qt.Equals, pb.PublicState_PUBLIC_STATE_COMPLETED)
		})
	}
}
