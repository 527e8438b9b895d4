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
