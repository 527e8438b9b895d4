package scheduler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"gooseberryreel/internal/pb"
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

// Guards against a long task that never ends, and whose workers are quarantined, since one
// percent of it takes longer than a task may make no progress: whether its estimate is right
// or much too low.
func TestLongTaskIsNotStalled(t *testing.T) {
	const length = 5 * time.Minute
	for _, estimate := range []time.Duration{length, 5 * time.Second} {
		c := qt.New(t)
		sim := newSimulation(1, 4)
		sim.unchecked = true
		sim.taskFor = func(AttemptID) simTask { return simTask{work: length} }
		s := simStepSpec(1, 1000)
		s.EstimateMs, s.RequiredLabel = estimate.Milliseconds(), "r0" // two of the workers
		sim.submit(simJob(1, s))
		sim.run(length + 20*time.Second)
		comment := qt.Commentf("estimate %v, %d starts", estimate, sim.starts)
		c.Check(sim.core.State(sim.subs[0].GetId()), qt.Equals, pb.PublicState_PUBLIC_STATE_COMPLETED, comment)
		c.Check(sim.starts <= 3, qt.IsTrue, comment)
	}
}
