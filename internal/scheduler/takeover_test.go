package scheduler

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"gooseberryreel/internal/pb"
)

// Guards against a new owner that waits out the lease of a worker that no longer
// exists: it came back, with its id or another one, or with its id at another address,
// before or just after the takeover, and its old entry is gone.
func TestTakeoverFindsReplacedWorkers(t *testing.T) {
	for _, back := range []string{"other id", "same id", "same id at another address"} {
		for _, downAtTakeover := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, down at takeover %v", back, downAtTakeover), func(t *testing.T) {
				c := qt.New(t)
				sim := newSimulation(1, 3)
				sim.taskFor = func(AttemptID) simTask { return simTask{longRunning: true} }
				step := simStepSpec(4, 2000)
				step.Lasting = true
				sim.submit(simJob(1, step))
				sim.run(time.Second)
				c.Assert(sim.starts, qt.Equals, 4)
				// The owner does not see the crash: it is cut off from the worker.
				for _, sw := range sim.workers {
					if len(sw.active) > 0 {
						sw.unreachable = true
						sw.crash(back != "other id")
						if back == "same id at another address" {
							sw.move()
						}
					}
				}
				if !downAtTakeover {
					sim.run(simDowntime + 100*time.Millisecond)
				}
				sim.expiring = nil
				for _, sw := range sim.workers {
					sw.unreachable = false
				}
				sim.takeOver()
				took := sim.now
				for sim.starts < 8 && sim.now.Sub(took) < 20*time.Second {
					sim.step()
				}
				limit := 500 * time.Millisecond
				if downAtTakeover {
					limit += simDowntime
				}
				t.Logf("started again %v after the takeover", sim.now.Sub(took))
				c.Check(sim.now.Sub(took) <= limit, qt.IsTrue, qt.Commentf("%v", sim.now.Sub(took)))
				c.Check(sim.violations, qt.HasLen, 0)
				c.Check(sim.core.State(fmt.Sprintf("%016x", 1)), qt.Equals, pb.PublicState_PUBLIC_STATE_RUNNING)
			})
		}
	}
}

// Guards against a long-running task that waits behind short ones from the time at
// which its loss was noticed, although it has not run since its worker fell silent.
func TestLostLongRunningTaskHasWaited(t *testing.T) {
	c := qt.New(t)
	sim := newSimulation(1, 3)
	service := simStepSpec(1, 4000)
	service.Lasting = true
	sim.taskFor = func(id AttemptID) simTask {
		if id.Job == fmt.Sprintf("%016x", 1) {
			return simTask{longRunning: true}
		}
		return simTask{work: 300 * time.Millisecond}
	}
	sim.submit(simJob(1, service))
	sim.run(500 * time.Millisecond)
	var crashed *simWorker
	for _, sw := range sim.workers {
		if len(sw.active) > 0 {
			crashed = sw
		}
	}
	crashed.crash(false)
	for n := range 40 { // more short tasks than fit
		sim.submit(simJob(10+n, simStepSpec(10, 4000)))
	}
	starts := 0
	sim.onStart = func(id AttemptID, _ *simWorker) {
		if id.Job == fmt.Sprintf("%016x", 1) {
			starts++
		}
	}
	sim.run(simDowntime + 800*time.Millisecond)
	c.Check(starts, qt.Equals, 1)
	c.Check(sim.violations, qt.HasLen, 0)
}

// Guards against a lost worker that is waited for longer than a lease, since each hold that
// it refuses counts as one that may have renewed the lease.
func TestRefusedHoldsRenewNothing(t *testing.T) {
	c := qt.New(t)
	sim := newSimulation(1, 2)
	sim.taskFor = func(AttemptID) simTask { return simTask{longRunning: true} }
	s := simStepSpec(1, 1000)
	s.Lasting = true
	sim.submit(simJob(1, s))
	sim.run(5 * time.Second)
	attempts, on := sim.longRunningAttempts()
	c.Assert(attempts, qt.HasLen, 1)
	lost, sw := sim.now, on[0]
	sw.downUntil = lost.Add(time.Minute)
	delete(sw.active, attempts[0].attemptID)
	sim.attemptEnded(attempts[0].attemptID, sw.id, EndUnknown)
	if h := sw.pendingHold; h != nil {
		sw.pendingHold = nil
		sim.after(simStep, func() {
			sim.core.CommandDone(CommandResult{Command: h.command, Err: errors.New("connection reset")}, sim.now)
		})
	}
	for sim.starts < 2 && sim.now.Sub(lost) < 20*time.Second {
		sim.step()
	}
	took := sim.now.Sub(lost)
	t.Logf("runs again after %v", took)
	c.Check(took < 6500*time.Millisecond, qt.IsTrue, qt.Commentf("%v", took))
	c.Check(sim.violations, qt.HasLen, 0)
}

// Guards against a restart whose log line doesn't tell which of the waits took the time.
func TestRestartLogsItsWaits(t *testing.T) {
	c := qt.New(t)
	sim, sw := newLongRunningSimulation(c, 1, 2)
	sim.darken(sw)
	sim.run(12 * time.Second)
	var lines []string
	for _, line := range sim.trace {
		if strings.Contains(line, "long-running task restarted") {
			lines = append(lines, line)
		}
	}
	c.Assert(lines, qt.HasLen, 1)
	for _, field := range []string{"silent_ms", "waited_ms", "recorded_ms", "started_ms", "owner_ms", "proof_ms"} {
		c.Check(lines[0], qt.Contains, field)
	}
}
