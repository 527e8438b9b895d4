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

// Guards G1 and G6 against an owner that is killed behind a silent link while
// the log is down: peers can't tell that it is gone, so nobody may start work
// by promises, and nothing runs twice once the log is back.
func TestLogDownAndPartitionedOwnerKilled(t *testing.T) {
	t.Parallel()
	s, a, b, c := startThreeEntries(t, 51)
	load := s.startTraffic(6, nil, a, b, c)
	load.awaitAnswers(60)
	for _, p := range []*process{b, c} {
		p.logProxy.SetDelay(20 * time.Millisecond)
	}
	s.Assert(s.platform.SetFaults(standin.NameLog, standin.Faults{Down: true}), qt.IsNil)
	ids, wait := s.sendInBackground(a, 30)
	s.setPeerMode(loopback.Stall, a, b)
	s.setPeerMode(loopback.Stall, a, c)
	s.kill(a)
	wait()
	load.setEntries(b, c)
	s.await("permission to lapse", func() bool { return len(s.owned(b))+len(s.owned(c)) == 0 })
	whileExpired := s.resend(ids, b, c)
	s.Check(whileExpired[history.OutcomeOK] < 2*len(ids), qt.IsTrue)
	s.Assert(s.platform.ClearFaults(standin.NameLog), qt.IsNil)
	s.awaitOwners(b, c)
	s.resend(ids, b, c)
	load.awaitAnswers(60)
	load.stop()
	s.awaitServing(b, c)
	s.checkCovering("G1", "G4", "G6")
}

// Guards G1, G4 and G6 against an owner that is stopped past its lease while
// the connections to a target are silent and another target is frozen.
func TestPauseAndSilentTargets(t *testing.T) {
	t.Parallel()
	s, a, b, c := startThreeEntries(t, 52)
	load := s.startTraffic(6, nil, a, b, c)
	load.awaitAnswers(60)
	ids, wait := s.sendInBackground(a, 30)
	s.setTargetFaults(standin.Faults{SilentOpen: true}, 1, 2, 3)
	s.setTargetFaults(standin.Faults{Freeze: true}, 4)
	a.signal(syscall.SIGSTOP)
	load.setEntries(b, c)
	time.Sleep(maxTimeout / 2)
	s.setTargetFaults(standin.Faults{}, 4)
	s.awaitOwners(b, c)
	s.resend(ids, b, c)
	a.signal(syscall.SIGCONT)
	s.resend(ids, a, b, c)
	wait()
	load.setEntries(a, b, c)
	s.awaitOwners(a, b, c)
	load.awaitAnswers(60)
	load.stop()
	s.awaitServing(a, b, c)
	s.checkCovering("G1", "G4", "G6")
}

// Guards G6, G7 and G8 against a planned stop in a domain that is cut off from
// the others: it cuts no request and hands over within the domain.
func TestPlannedLeaveInPartitionedDomain(t *testing.T) {
	t.Parallel()
	s := newHarness(t, standin.Site{Name: "cut", Seed: 53, Domains: []standin.Domain{
		newDomain("north", 2, 4, 30), newDomain("south", 2, 4, 30),
	}})
	s.publishService()
	a, b, c := s.start("a", "north", longNotice), s.start("b", "north"), s.start("c", "south")
	s.awaitOwners(a, b)
	s.awaitOwners(c)
	var cut, failed atomic.Int64
	load := s.startTraffic(8, func(p *process, idempotent bool, answer load.Answer) {
		if answer.Status == 0 || idempotent && answer.Status != http.StatusOK {
			failed.Add(1)
			t.Logf("at %s: status %d, %+v, %v", p.name, answer.Status, answer.Failure, answer.Err)
		}
		if answer.Outcome == history.OutcomeUnknown {
			cut.Add(1)
		}
	}, a, b, c)
	load.balanceToReady(a, b, c)
	load.awaitAnswers(60)
	s.setPeerMode(loopback.Stall, a, c)
	s.setPeerMode(loopback.Stall, b, c)
	s.await("unknown outcomes across the cut", func() bool { return cut.Load() > 0 })
	s.startLeave(a)
	<-a.exited
	s.Check(a.cmd.ProcessState.ExitCode(), qt.Equals, 0)
	s.awaitOwners(b)
	s.setPeerMode(loopback.Forward, b, c)
	load.awaitAnswers(60)
	load.stop()
	s.awaitServing(b, c)
	s.Check(failed.Load(), qt.Equals, int64(0))
	s.checkCovering("G1", "G4", "G6", "G8")
}

// Guards G7 against a target that leaves while the list lags and whose owner is
// killed: the next owner has not seen its refusals, and has to learn that it
// leaves before it sends work there.
func TestTargetLeavesAndOwnerKilled(t *testing.T) {
	t.Parallel()
	s := newHarness(t, standin.Site{
		Name: "lag", Seed: 54, List: standin.List{LagMS: 60_000},
		Domains: []standin.Domain{newDomain("north", 2, 4, 10)},
	})
	s.publishService()
	a, b := s.start("a", "north"), s.start("b", "north")
	s.awaitOwners(a, b)
	load := s.startTraffic(8, nil, a, b)
	load.awaitAnswers(100)
	targets := []string{"echo-north-01", "echo-north-02", "echo-north-03"}
	for _, name := range targets {
		s.startTargetLeave(name)
	}
	time.Sleep(leavingGrace)
	load.awaitAnswers(100)
	s.kill(a)
	load.setEntries(b)
	s.awaitOwners(b)
	time.Sleep(maxTimeout)
	load.awaitAnswers(100)
	load.stop()
	s.awaitServing(b)
	for _, name := range targets {
		s.Check(s.countLateDispatches(name), qt.Equals, 0, qt.Commentf("%s", name))
	}
	s.checkCovering("G1", "G4", "G6")
}
