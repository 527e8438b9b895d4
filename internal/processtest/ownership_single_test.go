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

// startThreeEntries starts a domain with three entry processes that share its
// partitions.
func startThreeEntries(t *testing.T, seed uint64) (h *harness, a, b, c *process) {
	h = newHarness(t, standin.Site{Name: "ownership", Seed: seed, Domains: []standin.Domain{newDomain("north", 2, 6, 20)}})
	h.publishService()
	a, b, c = h.start("a", "north"), h.start("b", "north"), h.start("c", "north")
	h.awaitOwners(a, b, c)
	return h, a, b, c
}

// Guards G1, G5 and G6 against an owner that is paused past its lease while it starts
// requests, and continues with them after other processes have taken over.
func TestOwnerPausedPastLease(t *testing.T) {
	t.Parallel()
	h, a, b, c := startThreeEntries(t, 31)
	load := h.startTraffic(6, nil, a, b, c)
	load.awaitAnswers(60)
	ids, wait := h.sendInBackground(a, 30)
	a.signal(syscall.SIGSTOP)
	load.setEntries(b, c)
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

// Guards G1 and G6, and the availability of a domain, against an owner that is cut off
// from the log alone: it keeps its permission by the promises of its peers, whether the
// log doesn't respond or refuses connections.
func TestOwnerCutOffFromLog(t *testing.T) {
	t.Parallel()
	h, a, b, c := startThreeEntries(t, 32)
	load := h.startTraffic(6, nil, a, b, c)
	load.awaitAnswers(60)
	for _, mode := range []loopback.Mode{loopback.Stall, loopback.Refuse} {
		h.setLogMode(mode, a)
		h.await("unreadable log", func() bool {
			status, err := h.status(a)
			return err == nil && !status.LogReadable
		})
		time.Sleep(leaseExpiryWait)
		h.awaitServing(a, b, c)
		load.awaitAnswers(60)
		h.setLogMode(loopback.Forward, a)
		h.awaitOwners(a, b, c)
	}
	load.stop()
	h.checkCovering("G1", "G4", "G6")
}

// Guards G1 and G6 against an owner that is cut off from its peers alone: it keeps its
// permission by the log, and requests whose state its peers can't get must not run
// again.
func TestOwnerCutOffFromPeers(t *testing.T) {
	t.Parallel()
	h, a, b, c := startThreeEntries(t, 33)
	load := h.startTraffic(6, nil, a, b, c)
	load.awaitAnswers(60)
	ids, wait := h.sendInBackground(b, 30)
	h.setPeerMode(loopback.Stall, a, b)
	h.setPeerMode(loopback.Stall, a, c)
	time.Sleep(leaseExpiryWait)
	h.awaitServing(a, b, c)
	h.resend(ids, a, b, c)
	h.setPeerMode(loopback.Forward, a, b)
	h.setPeerMode(loopback.Forward, a, c)
	wait()
	h.resend(ids, a, b, c)
	h.awaitOwners(a, b, c)
	load.awaitAnswers(60)
	load.stop()
	h.checkCovering("G1", "G4", "G6")
}

// Guards G1 and G6, and the availability of the remaining processes, against a peer
// that is killed while the log is down: no process can claim its partitions before the
// log is back.
func TestLogDownAndPeerKilled(t *testing.T) {
	t.Parallel()
	h, a, b, c := startThreeEntries(t, 34)
	load := h.startTraffic(6, nil, a, b, c)
	load.awaitAnswers(60)
	h.Assert(h.platform.SetFaults(standin.NameLog, standin.Faults{Down: true}), qt.IsNil)
	time.Sleep(leaseExpiryWait)
	ids, wait := h.sendInBackground(b, 30)
	h.kill(b)
	wait()
	load.setEntries(a, c)
	h.resend(ids, a, c)
	h.awaitServing(a, c)
	before := len(h.owned(a)) + len(h.owned(c))
	h.Check(before < 9, qt.IsTrue, qt.Commentf("partitions of the killed process were claimed without the log"))
	h.Assert(h.platform.ClearFaults(standin.NameLog), qt.IsNil)
	h.awaitOwners(a, c)
	h.resend(ids, a, c)
	load.awaitAnswers(60)
	load.stop()
	h.checkCovering("G1", "G4", "G6")
}

// exitSuperseded is the exit code of an entry process that was superseded by a newer
// process of the same name.
const exitSuperseded = 4

// Guards G1 and G6 against a replacement that the old process can't observe: the old
// one is cut off when the new one starts, and must exit once it reads the records of
// the new one.
func TestReplacementOfSameName(t *testing.T) {
	t.Parallel()
	h, a, b, c := startThreeEntries(t, 35)
	load := h.startTraffic(6, nil, a, b, c)
	load.awaitAnswers(60)
	ids, wait := h.sendInBackground(a, 30)
	h.setLogMode(loopback.Stall, a)
	h.setPeerMode(loopback.Stall, a, b)
	h.setPeerMode(loopback.Stall, a, c)
	newer := h.start("a", "north")
	h.setPeerMode(loopback.Stall, a, newer)
	load.setEntries(b, c, newer, a)
	h.awaitOwners(newer, b, c)
	h.resend(ids, newer, b, c, a)
	wait()
	load.setEntries(b, c, newer)
	h.setLogMode(loopback.Forward, a)
	<-a.exited
	h.Check(a.cmd.ProcessState.ExitCode(), qt.Equals, exitSuperseded)
	load.awaitAnswers(60)
	load.stop()
	h.awaitServing(newer, b, c)
	h.checkCovering("G1", "G4", "G6")
}

// Guards G1 and G6 against a chain of takeovers: a is paused and cut off from the log,
// b claims from a and is killed, c claims from b, and a continues.
func TestChainOfTakeovers(t *testing.T) {
	t.Parallel()
	h, a, b, c := startThreeEntries(t, 36)
	load := h.startTraffic(6, nil, a, b, c)
	load.awaitAnswers(60)
	fromA, waitA := h.sendInBackground(a, 30)
	h.setLogMode(loopback.Stall, a)
	a.signal(syscall.SIGSTOP)
	load.setEntries(b, c)
	h.awaitOwners(b, c)
	fromB, waitB := h.sendInBackground(b, 30)
	h.kill(b)
	load.setEntries(c)
	h.awaitOwners(c)
	h.resend(append(fromA, fromB...), c)
	a.signal(syscall.SIGCONT)
	load.setEntries(a, c)
	outcomes := h.resend(append(fromA, fromB...), a, c)
	h.Logf("outcomes of the resent ids: %v", outcomes)
	time.Sleep(leaseExpiryWait)
	h.Check(len(h.owned(a)), qt.Equals, 0, qt.Commentf("the first owner of the chain has permission to act while it is cut off from the log"))
	waitA()
	waitB()
	h.setLogMode(loopback.Forward, a)
	h.awaitOwners(a, c)
	load.awaitAnswers(60)
	load.stop()
	h.awaitServing(a, c)
	h.Check(outcomes[history.OutcomeUnknown] > 0, qt.IsTrue)
	h.checkCovering("G1", "G4", "G6")
}
