package scheduler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a sound task that is stopped because its worker, which has no service,
// answers once just after the start and then only when the next hold ends: no answer has
// shown it without progress for stallTime.
func TestTaskIsNotStalledBetweenTwoAnswers(t *testing.T) {
	sim := newSimulation(1, 1)
	sim.taskFor = func(AttemptID) simTask { return simTask{work: time.Minute} }
	sim.run(time.Second)
	s := simStepSpec(8, 1000)
	s.EstimateMs = 60_000
	sim.submit(simJob(100, s))
	sim.run(20 * time.Second)
	qt.Check(t, sim.starts, qt.Equals, 8)
}
