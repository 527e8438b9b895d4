package processtest

import (
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"gooseberryreel/internal/history"
	"gooseberryreel/internal/loopback"
	"gooseberryreel/internal/standin"
)

// startThreeEntries starts a domain with three processes that share its partitions.
func startThreeEntries(t *testing.T, seed uint64) (s *harness, a, b, c *process) {
	s = newHarness(t, standin.Site{Name: "ownership", Seed: seed, Domains: []standin.Domain{newDomain("north", 2, 6, 20)}})
	s.publishService()
	a, b, c = s.start("a", "north"), s.start("b", "north"), s.start("c", "north")
	s.awaitOwners(a, b, c)
	return s, a, b, c
}

// Guards G1, G5 and G6 against an owner that is stopped past its lease while it
// starts requests, and goes on with them after others have taken over.
func TestOwnerPausedPastLease(t *testing.T) {
	t.Parallel()
	s, a, b, c := startThreeEntries(t, 31)
	load := s.startTraffic(6, nil, a, b, c)
	load.awaitAnswers(60)
	ids, wait := s.sendInBackground(a, 30)
	a.signal(syscall.SIGSTOP)
	load.setEntries(b, c)
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

// Guards G1 and G6 and the service of a domain against an owner that is cut
// from the log alone: it keeps permission by the promises of its peers, whether
// the log is silent or refuses connections.
func TestOwnerCutOffFromLog(t *testing.T) {
	t.Parallel()
	s, a, b, c := startThreeEntries(t, 32)
	load := s.startTraffic(6, nil, a, b, c)
	load.awaitAnswers(60)
	for _, mode := range []loopback.Mode{loopback.Stall, loopback.Refuse} {
		s.setLogMode(mode, a)
		s.await("log to be unreadable", func() bool {
			status, err := s.status(a)
			return err == nil && !status.LogReadable
		})
		time.Sleep(leaseExpiryWait)
		s.awaitServing(a, b, c)
		load.awaitAnswers(60)
		s.setLogMode(loopback.Forward, a)
		s.awaitOwners(a, b, c)
	}
	load.stop()
	s.checkCovering("G1", "G4", "G6")
}

// Guards G1 and G6 against an owner that is cut from its peers alone: it keeps
// permission by the log, and requests of which peers lose sight are not run
// again.
func TestOwnerCutOffFromPeers(t *testing.T) {
	t.Parallel()
	s, a, b, c := startThreeEntries(t, 33)
	load := s.startTraffic(6, nil, a, b, c)
	load.awaitAnswers(60)
	ids, wait := s.sendInBackground(b, 30)
	s.setPeerMode(loopback.Stall, a, b)
	s.setPeerMode(loopback.Stall, a, c)
	time.Sleep(leaseExpiryWait)
	s.awaitServing(a, b, c)
	s.resend(ids, a, b, c)
	s.setPeerMode(loopback.Forward, a, b)
	s.setPeerMode(loopback.Forward, a, c)
	wait()
	s.resend(ids, a, b, c)
	s.awaitOwners(a, b, c)
	load.awaitAnswers(60)
	load.stop()
	s.checkCovering("G1", "G4", "G6")
}

// Guards G1 and G6, and the service of those that remain, against a peer that
// is killed while the log is down: nobody can claim its partitions before the
// log is back.
func TestLogDownAndPeerKilled(t *testing.T) {
	t.Parallel()
	s, a, b, c := startThreeEntries(t, 34)
	load := s.startTraffic(6, nil, a, b, c)
	load.awaitAnswers(60)
	s.Assert(s.platform.SetFaults(standin.NameLog, standin.Faults{Down: true}), qt.IsNil)
	time.Sleep(leaseExpiryWait)
	ids, wait := s.sendInBackground(b, 30)
	s.kill(b)
	wait()
	load.setEntries(a, c)
	s.resend(ids, a, c)
	s.awaitServing(a, c)
	before := len(s.owned(a)) + len(s.owned(c))
	s.Check(before < 9, qt.IsTrue, qt.Commentf("partitions of the killed process were claimed without the log"))
	s.Assert(s.platform.ClearFaults(standin.NameLog), qt.IsNil)
	s.awaitOwners(a, c)
	s.resend(ids, a, c)
	load.awaitAnswers(60)
	load.stop()
	s.checkCovering("G1", "G4", "G6")
}

// exitSuperseded is the exit code of an entry process that a newer process of
// its name has replaced.
const exitSuperseded = 4

// Guards G1 and G6 against a replacement that the old process has never heard
// of: the old one was cut off when it started, and ends once it learns of it.
func TestReplacementOfSameName(t *testing.T) {
	t.Parallel()
	s, a, b, c := startThreeEntries(t, 35)
	load := s.startTraffic(6, nil, a, b, c)
	load.awaitAnswers(60)
	ids, wait := s.sendInBackground(a, 30)
	s.setLogMode(loopback.Stall, a)
	s.setPeerMode(loopback.Stall, a, b)
	s.setPeerMode(loopback.Stall, a, c)
	newer := s.start("a", "north")
	s.setPeerMode(loopback.Stall, a, newer)
	load.setEntries(b, c, newer, a)
	s.awaitOwners(newer, b, c)
	s.resend(ids, newer, b, c, a)
	wait()
	load.setEntries(b, c, newer)
	s.setLogMode(loopback.Forward, a)
	<-a.exited
	s.Check(a.cmd.ProcessState.ExitCode(), qt.Equals, exitSuperseded)
	load.awaitAnswers(60)
	load.stop()
	s.awaitServing(newer, b, c)
	s.checkCovering("G1", "G4", "G6")
}

// Guards G1 and G6 against a chain of takeovers: a is stopped and cut from the
// log, b claims from a and is killed, c claims from b, and a goes on.
func TestChainOfTakeovers(t *testing.T) {
	t.Parallel()
	s, a, b, c := startThreeEntries(t, 36)
	load := s.startTraffic(6, nil, a, b, c)
	load.awaitAnswers(60)
	fromA, waitA := s.sendInBackground(a, 30)
	s.setLogMode(loopback.Stall, a)
	a.signal(syscall.SIGSTOP)
	load.setEntries(b, c)
	s.awaitOwners(b, c)
	fromB, waitB := s.sendInBackground(b, 30)
	s.kill(b)
	load.setEntries(c)
	s.awaitOwners(c)
	s.resend(append(fromA, fromB...), c)
	a.signal(syscall.SIGCONT)
	load.setEntries(a, c)
	outcomes := s.resend(append(fromA, fromB...), a, c)
	s.Logf("outcomes of the ids that were sent again: %v", outcomes)
	time.Sleep(leaseExpiryWait)
	s.Check(len(s.owned(a)), qt.Equals, 0, qt.Commentf("the first owner of the chain may act while it is cut from the log"))
	waitA()
	waitB()
	s.setLogMode(loopback.Forward, a)
	s.awaitOwners(a, c)
	load.awaitAnswers(60)
	load.stop()
	s.awaitServing(a, c)
	s.Check(outcomes[history.OutcomeUnknown] > 0, qt.IsTrue)
	s.checkCovering("G1", "G4", "G6")
}
