package scheduler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against the lease of a sound worker that lapses after a takeover because its bound
// was recorded before its first answer: two more appends pass until the lease is renewed.
func TestLateFirstAnswerLetsNoLeaseLapse(t *testing.T) {
	play := func(disabled disabledRules, phase time.Duration) (kept bool) {
		sim, sw := newLongRunningSimulation(qt.New(t), 1, 3)
		sim.core.disabled, sim.disabled = disabled, disabled
		sim.run(phase) // of the hold
		sim.commitDelay = 300 * time.Millisecond
		sim.ownerDown(2500 * time.Millisecond)
		sw.unreachable = true
		sim.run(1100 * time.Millisecond)
		sw.unreachable = false
		sim.run(12 * time.Second)
		attempts, _ := sim.longRunningAttempts()
		qt.Check(t, sim.violations, qt.HasLen, 0)
		return len(attempts) == 1 && attempts[0].attemptID.Number == 1
	}
	for phase := time.Duration(0); phase <= holdWait; phase += 100 * time.Millisecond {
		qt.Check(t, play(disabledRules{noLeaseBounds: true}, phase), qt.IsTrue, qt.Commentf("phase %v, without bounds", phase))
		qt.Check(t, play(disabledRules{}, phase), qt.IsTrue, qt.Commentf("phase %v", phase))
	}
}
