package scheduler

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"gooseberryreel/internal/pb"
)

// Guards against a job that fails after a takeover because starts that its workers have
// refused are taken for starts that may have run.
func TestRefusedStartsAreNotLimitedAfterTakeover(t *testing.T) {
	for _, takeOver := range []bool{false, true} {
		t.Run(fmt.Sprint("takeover ", takeOver), func(t *testing.T) {
			c := qt.New(t)
			sim := newSimulation(1, 4)
			sim.taskFor = func(AttemptID) simTask { return simTask{work: time.Second} }
			sim.run(500 * time.Millisecond)
			sub := simJob(1, simStepSpec(1, 1000))
			for _, sw := range sim.workers { // starts up to number 12 are refused
				sw.newestAttempt[AttemptID{Job: sub.GetId()}.TaskName()] = 12
			}
			sim.submit(sub)
			task := func() *task { return sim.firstTask(sub.GetId()) }
			for n := 1; n <= limitedCrashes; n++ { // by chance, beside young attempts at other tasks
				task().crashes = append(task().crashes, crash{attempt: n, address: fmt.Sprint("10.0.0.", n, ":1"), age: time.Second})
			}
			task().lastAttempt = limitedCrashes
			for task().lastAttempt < 8 {
				sim.step()
			}
			c.Check(sim.core.jobs[sub.GetId()].starts.refused > 0, qt.IsTrue)
			if takeOver {
				sim.takeOver()
			}
			sim.run(10 * time.Second)
			c.Check(sim.starts, qt.Equals, 1, qt.Commentf("starts: %v", sim.core.jobs[sub.GetId()].starts))
			c.Check(sim.core.State(sub.GetId()), qt.Equals, pb.PublicState_PUBLIC_STATE_COMPLETED)
			c.Check(sim.violations, qt.HasLen, 0)
		})
	}
}
