package scheduler

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
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
