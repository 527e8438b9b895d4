package processtest

import (
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"gooseberryreel/internal/history"
	"gooseberryreel/internal/load"
	"gooseberryreel/internal/loopback"
	"gooseberryreel/internal/standin"
)

// Guards G1 and G6 against an owner that is killed behind a network partition while
// the log is down: its peers can't observe that it has exited, so no process may start
// work by promises of peers, and nothing may run twice once the log is back.
func TestLogDownAndPartitionedOwnerKilled(t *testing.T) {
	t.Parallel()
	h, a, b, c := startThreeEntries(t, 51)
	load := h.startTraffic(6, nil, a, b, c)
	load.awaitAnswers(60)
	for _, p := range []*process{b, c} {
		p.logProxy.SetDelay(20 * time.Millisecond)
	}
	h.Assert(h.platform.SetFaults(standin.NameLog, standin.Faults{Down: true}), qt.IsNil)
	ids, wait := h.sendInBackground(a, 30)
	h.setPeerMode(loopback.Stall, a, b)
	h.setPeerMode(loopback.Stall, a, c)
	h.kill(a)
	wait()
	load.setEntries(b, c)
	h.await("permissions to expire", func() bool { return len(h.owned(b))+len(h.owned(c)) == 0 })
	whileExpired := h.resend(ids, b, c)
	h.Check(whileExpired[history.OutcomeOK] < 2*len(ids), qt.IsTrue)
	h.Assert(h.platform.ClearFaults(standin.NameLog), qt.IsNil)
	h.awaitOwners(b, c)
	h.resend(ids, b, c)
	load.awaitAnswers(60)
	load.stop()
	h.awaitServing(b, c)
	h.checkCovering("G1", "G4", "G6")
}

// Guards G1, G4 and G6 against an owner that is paused past its lease while the open
// connections to three targets are silent and a fourth target is frozen.
func TestPauseAndSilentTargets(t *testing.T) {
	t.Parallel()
	h, a, b, c := startThreeEntries(t, 52)
	load := h.startTraffic(6, nil, a, b, c)
	load.awaitAnswers(60)
	ids, wait := h.sendInBackground(a, 30)
	h.setTargetFaults(standin.Faults{SilentOpen: true}, 1, 2, 3)
	h.setTargetFaults(standin.Faults{Freeze: true}, 4)
	a.signal(syscall.SIGSTOP)
	load.setEntries(b, c)
	time.Sleep(maxTimeout / 2)
	h.setTargetFaults(standin.Faults{}, 4)
	h.awaitOwners(b, c)
	h.resend(ids, b, c)
	a.signal(syscall.SIGCONT)
	h.resend(ids, a, b, c)
	wait()
	load.setEntries(a, b, c)
	h.awaitOwners(a, b, c)
	load.awaitAnswers(60)
	load.stop()
	h.awaitServing(a, b, c)
	h.checkCovering("G1", "G4", "G6")
}

// Guards G6, G7 and G8 against a planned leave in a domain that is cut off from the
// other domain: it must interrupt no request and hand over within the domain.
func TestPlannedLeaveInPartitionedDomain(t *testing.T) {
	t.Parallel()
	h := newHarness(t, standin.Site{Name: "cut", Seed: 53, Domains: []standin.Domain{
		newDomain("north", 2, 4, 30), newDomain("south", 2, 4, 30),
	}})
	h.publishService()
	a, b, c := h.start("a", "north", longNotice), h.start("b", "north"), h.start("c", "south")
	h.awaitOwners(a, b)
	h.awaitOwners(c)
	var unknown, failed atomic.Int64
	load := h.startTraffic(8, func(p *process, idempotent bool, result load.CallResult) {
		if result.Status == 0 || idempotent && result.Status != http.StatusOK {
			failed.Add(1)
			t.Logf("at %s: status %d, %+v, %v", p.name, result.Status, result.Failure, result.Err)
		}
		if result.Outcome == history.OutcomeUnknown {
			unknown.Add(1)
		}
	}, a, b, c)
	load.balanceToReady(a, b, c)
	load.awaitAnswers(60)
	h.setPeerMode(loopback.Stall, a, c)
	h.setPeerMode(loopback.Stall, b, c)
	h.await("unknown outcomes across the network partition", func() bool { return unknown.Load() > 0 })
	h.startLeave(a)
	<-a.exited
	h.Check(a.cmd.ProcessState.ExitCode(), qt.Equals, 0)
	h.awaitOwners(b)
	h.setPeerMode(loopback.Forward, b, c)
	load.awaitAnswers(60)
	load.stop()
	h.awaitServing(b, c)
	h.Check(failed.Load(), qt.Equals, int64(0))
	h.checkCovering("G1", "G4", "G6", "G8")
}

// Guards G7 against targets that leave while the instance list lags and whose owner is
// killed: the next owner has not seen their refusals, and has to learn that they leave
// before it sends work to them.
func TestTargetLeavesAndOwnerKilled(t *testing.T) {
	t.Parallel()
	h := newHarness(t, standin.Site{
		Name: "lag", Seed: 54, List: standin.List{LagMS: 60_000},
		Domains: []standin.Domain{newDomain("north", 2, 4, 10)},
	})
	h.publishService()
	a, b := h.start("a", "north"), h.start("b", "north")
	h.awaitOwners(a, b)
	load := h.startTraffic(8, nil, a, b)
	load.awaitAnswers(100)
	targets := []string{"echo-north-01", "echo-north-02", "echo-north-03"}
	for _, name := range targets {
		h.startTargetLeave(name)
	}
	time.Sleep(leavingGrace)
	load.awaitAnswers(100)
	h.kill(a)
	load.setEntries(b)
	h.awaitOwners(b)
	time.Sleep(maxTimeout)
	load.awaitAnswers(100)
	load.stop()
	h.awaitServing(b)
	for _, name := range targets {
		h.Check(h.countLateDispatches(name), qt.Equals, 0, qt.Commentf("%s", name))
	}
	h.checkCovering("G1", "G4", "G6")
}
