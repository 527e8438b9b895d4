package scheduler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a task that counts as lost, and starts again elsewhere while it runs,
// because a list that the worker made before its start arrives as the answer to a later
// hold, and against a lost task that waits for the clock of a worker that has restarted.
func TestListOlderThanStart(t *testing.T) {
	sim := newSimulation(1, 1)
	sim.taskFor = func(AttemptID) simTask { return simTask{longRunning: true} }
	sim.submit(simJob(1, simStepSpec(1, 1000)))
	sim.run(time.Second)
	w := sim.core.workerList[0]
	qt.Assert(t, w.list, qt.HasLen, 1)
	a := w.list[0]
	qt.Assert(t, a.knownClock > 0, qt.IsTrue)
	hold := func(clock time.Duration, incarnation int64) {
		sim.core.CommandDone(CommandResult{
			Command: Command{Kind: CommandHold, Worker: w.id, Address: w.entry.Address, SentAt: sim.now},
			Clock:   clock, Hold: &HoldReply{Clock: clock, Incarnation: incarnation},
		}, sim.now)
	}
	known, incarnation := a.knownClock, w.incarnation
	sim.now = sim.now.Add(time.Millisecond)
	hold(known, incarnation)
	qt.Check(t, w.attempts[a.attemptID], qt.Equals, a, qt.Commentf("listed before the newest answer"))
	a.seenAt = time.Time{} // known from the answer to its start only
	hold(time.Millisecond, incarnation+1)
	qt.Check(t, w.attempts[a.attemptID], qt.IsNil, qt.Commentf("not listed after a restart"))

	sim = newSimulation(1, 1)
	sim.taskFor = func(AttemptID) simTask { return simTask{longRunning: true} }
	sim.submit(simJob(1, simStepSpec(1, 1000)))
	sim.run(time.Second)
	w = sim.core.workerList[0]
	a = w.list[0]
	sim.now = sim.now.Add(time.Millisecond)
	hold(a.knownClock+time.Millisecond, w.incarnation)
	qt.Check(t, w.attempts[a.attemptID], qt.IsNil, qt.Commentf("not listed later"))
}
