package scheduler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a worker that answers again but stays unused for as long as its answer to
// the first hold waits for an end.
func TestWorkerUnusedAfterRestart(t *testing.T) {
	sim := newSimulation(1, 1)
	sim.run(time.Second)
	sim.workers[0].restart()
	sim.workers[0].publish()
	sim.submit(simJob(1, simStepSpec(1, 500)))
	sim.run(holdRetry + 250*time.Millisecond)
	qt.Check(t, sim.starts, qt.Equals, 1)
	qt.Check(t, sim.violations, qt.HasLen, 0)
}
