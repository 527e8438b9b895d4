package scheduler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a batch that ends the owner or delays another worker since the worker of
// one of its ends is gone when it is confirmed.
func TestBatchIsConfirmedAfterItsWorkerIsGone(t *testing.T) {
	for _, first := range []int{0, 2} { // the slot of the last worker is out of range afterwards
		sim := newSimulation(1, 3)
		sim.run(500 * time.Millisecond)
		sim.submit(simJob(1, simStepSpec(24, 1000)))
		sim.commitDelay = time.Hour
		w := sim.core.workers[sim.workers[first].id]
		w.processed, w.cursor = 5, 4
		sim.core.queueCursor(w)
		batch := sim.core.TakeBatch(sim.now)
		qt.Assert(t, batch.cursors, qt.HasLen, 1)
		w.holdInFlight = false
		for _, a := range w.list {
			sim.core.loseAttempt(a, lossReplaced, sim.now)
		}
		sim.core.RemoveWorker(w.id, sim.now)
		sim.core.Tick(sim.now.Add(simStep))
		qt.Assert(t, sim.core.workers[w.id], qt.IsNil)
		qt.Assert(t, sim.core.workerList, qt.HasLen, 2)
		sim.core.Committed(batch, sim.now.Add(2*simStep))
		for slot, other := range sim.core.workerList {
			qt.Check(t, other.slot, qt.Equals, slot)
		}
	}
}

// Guards against work of ticks that grows with the fleet instead of with what is due.
func TestIdleTicksVisitFewWorkers(t *testing.T) {
	sim, _ := newLoadedSite(200)
	visited, ticks := 0, 0
	for ; ticks < 100; ticks++ {
		sim.run(simStep)
		visited += len(sim.core.visited)
	}
	// Each worker has two holds a second, with a visit for the hold, for its answer and
	// for a check.
	qt.Check(t, visited < 200*8, qt.IsTrue, qt.Commentf("%d visits of 200 workers in %d ticks", visited, ticks))
	qt.Check(t, visited >= 200, qt.IsTrue, qt.Commentf("%d visits: some worker was not visited for a second", visited))
}
