package scheduler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against long-running tasks of a dark worker that run again too late if the owner is
// lost before it has noticed the silence: its hold may wait for long, and until the silence
// is recorded a whole lease is counted from the end of the owner's last grant.
func TestOwnerLostBeforeSilenceIsNoticed(t *testing.T) {
	const (
		takeover = 3500 * time.Millisecond
		lastActs = 1200 * time.Millisecond // for which a lost owner may have acted, at most
		allowed  = 9 * time.Second         // from the end of the last run
		calm     = 7 * time.Second         // from the last disturbance
	)
	for lostAfter := 200 * time.Millisecond; lostAfter <= 3*time.Second; lostAfter += 200 * time.Millisecond {
		for phase := time.Duration(0); phase <= holdWait; phase += 100 * time.Millisecond { // of the hold
			c := qt.New(t)
			sim, sw := newLongRunningSimulation(c, 1, 3)
			sim.run(phase)
			lost := sim.now
			sim.darken(sw)
			sim.run(lostAfter)
			stopped := sim.now.Add(lastActs)
			sim.ownerDown(takeover)
			sim.earlierOwners[len(sim.earlierOwners)-1].StoppedAt = stopped
			starts := sim.starts
			for sim.starts == starts && sim.now.Sub(lost) < time.Minute {
				sim.step()
			}
			took := sim.now.Sub(lost)
			c.Check(took <= max(allowed, lostAfter+calm), qt.IsTrue, qt.Commentf("phase %v, owner lost after %v: %v", phase, lostAfter, took))
			c.Check(sim.violations, qt.HasLen, 0)
		}
	}
}
