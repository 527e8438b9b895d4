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

// threeEntries starts a domain with three processes that share its partitions.
func threeEntries(t *testing.T, seed uint64) (s *site, a, b, c *process) {
	s = newSite(t, standin.Site{Name: "ownership", Seed: seed, Domains: []standin.Domain{domainOf("north", 2, 6, 20)}})
	s.publishService()
	a, b, c = s.start("a", "north"), s.start("b", "north"), s.start("c", "north")
	s.awaitOwners(a, b, c)
	return s, a, b, c
}

// Guards G1, G5 and G6 against an owner that is stopped past its lease while it
// starts requests, and goes on with them after others have taken over.
func TestOwnerPausedPastLease(t *testing.T) {
	t.Parallel()
	s, a, b, c := threeEntries(t, 31)
	load := s.startTraffic(6, nil, a, b, c)
	load.awaitAnswers(60)
	ids, wait := s.sendInBackground(a, 30)
	a.signal(syscall.SIGSTOP)
	load.use(b, c)
	s.awaitOwners(b, c)
	s.resend(ids, b, c)
	a.signal(syscall.SIGCONT)
	s.resend(ids, a, b, c)
	wait()
	load.use(a, b, c)
	s.awaitOwners(a, b, c)
	load.awaitAnswers(60)
	load.end()
	s.serves(a, b, c)
	s.checkSome("G1", "G4", "G6")
}

// Guards G1 and G6 and the service of a domain against an owner that is cut
// from the log alone: it keeps permission by the promises of its peers, whether
// the log is silent or refuses connections.
func TestOwnerCutFromLog(t *testing.T) {
	t.Parallel()
	s, a, b, c := threeEntries(t, 32)
	load := s.startTraffic(6, nil, a, b, c)
	load.awaitAnswers(60)
	for _, mode := range []loopback.Mode{loopback.Stall, loopback.Refuse} {
		s.cutLog(mode, a)
		s.await("log to be unreadable", func() bool {
			status, err := s.status(a)
			return err == nil && !status.LogReadable
		})
		time.Sleep(pastLease)
		s.serves(a, b, c)
		load.awaitAnswers(60)
		s.cutLog(loopback.Forward, a)
		s.awaitOwners(a, b, c)
	}
	load.end()
	s.checkSome("G1", "G4", "G6")
}

// Guards G1 and G6 against an owner that is cut from its peers alone: it keeps
// permission by the log, and requests of which peers lose sight are not run
// again.
func TestOwnerCutFromPeers(t *testing.T) {
	t.Parallel()
	s, a, b, c := threeEntries(t, 33)
	load := s.startTraffic(6, nil, a, b, c)
	load.awaitAnswers(60)
	ids, wait := s.sendInBackground(b, 30)
	s.cutPeers(loopback.Stall, a, b)
	s.cutPeers(loopback.Stall, a, c)
	time.Sleep(pastLease)
	s.serves(a, b, c)
	s.resend(ids, a, b, c)
	s.cutPeers(loopback.Forward, a, b)
	s.cutPeers(loopback.Forward, a, c)
	wait()
	s.resend(ids, a, b, c)
	s.awaitOwners(a, b, c)
	load.awaitAnswers(60)
	load.end()
	s.checkSome("G1", "G4", "G6")
}

// Guards G1 and G6, and the service of those that remain, against a peer that
// is killed while the log is down: nobody can claim its partitions before the
// log is back.
func TestLogDownAndPeerKilled(t *testing.T) {
	t.Parallel()
	s, a, b, c := threeEntries(t, 34)
	load := s.startTraffic(6, nil, a, b, c)
	load.awaitAnswers(60)
	s.Assert(s.platform.SetFaults(standin.NameLog, standin.Faults{Down: true}), qt.IsNil)
	time.Sleep(pastLease)
	ids, wait := s.sendInBackground(b, 30)
	s.kill(b)
	wait()
	load.use(a, c)
	s.resend(ids, a, c)
	s.serves(a, c)
	before := len(s.owned(a)) + len(s.owned(c))
	s.Check(before < 9, qt.IsTrue, qt.Commentf("partitions of the killed process were claimed without the log"))
	s.Assert(s.platform.ClearFaults(standin.NameLog), qt.IsNil)
	s.awaitOwners(a, c)
	s.resend(ids, a, c)
	load.awaitAnswers(60)
	load.end()
	s.checkSome("G1", "G4", "G6")
}

// exitSuperseded is the exit code of an entry process that a newer process of
// its name has replaced.
const exitSuperseded = 4

// Guards G1 and G6 against a replacement that the old process has never heard
// of: the old one was cut off when it started, and ends once it learns of it.
func TestReplacementOfSameName(t *testing.T) {
	t.Parallel()
	s, a, b, c := threeEntries(t, 35)
	load := s.startTraffic(6, nil, a, b, c)
	load.awaitAnswers(60)
	ids, wait := s.sendInBackground(a, 30)
	s.cutLog(loopback.Stall, a)
	s.cutPeers(loopback.Stall, a, b)
	s.cutPeers(loopback.Stall, a, c)
	newer := s.start("a", "north")
	s.cutPeers(loopback.Stall, a, newer)
	load.use(b, c, newer, a)
	s.awaitOwners(newer, b, c)
	s.resend(ids, newer, b, c, a)
	wait()
	load.use(b, c, newer)
	s.cutLog(loopback.Forward, a)
	<-a.ended
	s.Check(a.cmd.ProcessState.ExitCode(), qt.Equals, exitSuperseded)
	load.awaitAnswers(60)
	load.end()
	s.serves(newer, b, c)
	s.checkSome("G1", "G4", "G6")
}

// Guards G1 and G6 against a chain of takeovers: a is stopped and cut from the
// log, b claims from a and is killed, c claims from b, and a goes on.
func TestChainOfTakeovers(t *testing.T) {
	t.Parallel()
	s, a, b, c := threeEntries(t, 36)
	load := s.startTraffic(6, nil, a, b, c)
	load.awaitAnswers(60)
	fromA, waitA := s.sendInBackground(a, 30)
	s.cutLog(loopback.Stall, a)
	a.signal(syscall.SIGSTOP)
	load.use(b, c)
	s.awaitOwners(b, c)
	fromB, waitB := s.sendInBackground(b, 30)
	s.kill(b)
	load.use(c)
	s.awaitOwners(c)
	s.resend(append(fromA, fromB...), c)
	a.signal(syscall.SIGCONT)
	load.use(a, c)
	outcomes := s.resend(append(fromA, fromB...), a, c)
	s.Logf("outcomes of the ids that were sent again: %v", outcomes)
	time.Sleep(pastLease)
	s.Check(len(s.owned(a)), qt.Equals, 0, qt.Commentf("the first owner of the chain may act while it is cut from the log"))
	waitA()
	waitB()
	s.cutLog(loopback.Forward, a)
	s.awaitOwners(a, c)
	load.awaitAnswers(60)
	load.end()
	s.serves(a, c)
	s.Check(outcomes[history.OutcomeUnknown] > 0, qt.IsTrue)
	s.checkSome("G1", "G4", "G6")
}
