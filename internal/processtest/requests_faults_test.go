package processtest

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"gooseberryreel/internal/history"
	"gooseberryreel/internal/loopback"
	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/standin"
)

// Guards G6 against one id that is sent through three processes concurrently, again
// after the owner was killed, and again while the domain of the id is cut off from the
// domain of the caller.
func TestResendAfterKillAndPartition(t *testing.T) {
	t.Parallel()
	h := newHarness(t, standin.Site{Name: "again", Seed: 41, Domains: []standin.Domain{
		newDomain("north", 2, 4, 30), newDomain("south", 2, 4, 30),
	}})
	h.publishService()
	a, b, c, d := h.start("a", "north"), h.start("b", "north"), h.start("c", "north"), h.start("d", "south")
	h.awaitOwners(a, b, c)
	h.awaitOwners(d)
	early, waitEarly := h.sendInBackground(a, 40)
	atOnce := h.resend(early, b, c, d)
	waitEarly()
	h.Check(atOnce[history.OutcomeOK] > 0, qt.IsTrue)

	inFlight, wait := h.sendInBackground(a, 40)
	h.kill(a)
	ids := append(early, inFlight...)
	h.resend(ids, b, c, d)
	wait()
	h.awaitOwners(b, c)
	afterKill := h.resend(ids, b, c, d)
	h.Check(afterKill[history.OutcomeNotRun], qt.Equals, 0)

	h.setPeerMode(loopback.Stall, b, d)
	h.setPeerMode(loopback.Stall, c, d)
	duringPartition := h.resend(ids, d)
	h.Check(duringPartition[history.OutcomeUnknown], qt.Equals, len(ids), qt.Commentf("an entry process responded for a domain from which it is cut off: %v", duringPartition))
	h.awaitServing(b, c, d)
	h.setPeerMode(loopback.Forward, b, d)
	h.setPeerMode(loopback.Forward, c, d)
	h.resend(ids, b, c, d)
	h.Logf("outcomes: concurrent %v, after the kill %v, during the network partition %v", atOnce, afterKill, duringPartition)
	h.checkCovering("G1", "G4", "G6")
}

// Guards G4 against late answers that are lost: they must be retained, so that a
// lookup finds them at every process of the domain.
func TestLateAnswerIsRetained(t *testing.T) {
	t.Parallel()
	h := newHarness(t, standin.Site{Name: "late", Seed: 42, Domains: []standin.Domain{newDomain("north", 1, 2, 5)}})
	h.publishService()
	a, b := h.start("a", "north", longProgressTimeout), h.start("b", "north", longProgressTimeout)
	h.awaitOwners(a, b)
	h.setTargetFaults(standin.Faults{LateMS: 2300}, 1, 2)
	ids, wait := h.sendInBackground(a, 8)
	wait()
	for _, id := range ids {
		for _, p := range []*process{a, b} {
			h.await("late answer of "+id, func() bool { return h.lookUp(p, id).Outcome == history.OutcomeOK })
		}
	}
	unknown := 0
	for _, op := range h.history() {
		if op.Outcome == history.OutcomeUnknown {
			unknown++
		}
	}
	h.Check(unknown, qt.Equals, len(ids), qt.Commentf("the answers were not late"))
	h.checkCovering("G1", "G4", "G6")
}

// longProgressTimeout keeps a connection without received bytes open until a late
// answer arrives.
func longProgressTimeout(settings *pb.EntrySettings) { settings.Requests.ProgressTimeoutMs = 5000 }

// setTargetFaults sets the faults of targets of domain north, given by their numbers.
func (h *harness) setTargetFaults(f standin.Faults, numbers ...int) {
	h.Helper()
	for _, n := range numbers {
		h.Assert(h.platform.SetFaults(fmt.Sprintf("echo-north-%02d", n), f), qt.IsNil)
	}
}

// Guards G1, G4, G5 and G6 against targets whose responses are late, truncated,
// duplicated at once or late, for another request or missing, all at the same time.
// Callers must get correct answers, and the service must recover once the faults end.
// Target 5 is frozen and later runs what it received; target 7 stays frozen.
func TestTargetsAnswerWrong(t *testing.T) {
	t.Parallel()
	h := newHarness(t, standin.Site{Name: "wrong", Seed: 43, Domains: []standin.Domain{newDomain("north", 2, 8, 10)}})
	h.publishService()
	a, b, c := h.start("a", "north"), h.start("b", "north"), h.start("c", "north")
	h.awaitOwners(a, b, c)
	load := h.startTraffic(8, nil, a, b, c)
	load.awaitAnswers(60)
	h.setTargetFaults(standin.Faults{LateMS: 600, Percent: 60}, 1)
	h.setTargetFaults(standin.Faults{Half: true, Percent: 60}, 2)
	h.setTargetFaults(standin.Faults{Twice: true}, 3)
	h.setTargetFaults(standin.Faults{WrongID: true, Percent: 60}, 4)
	h.setTargetFaults(standin.Faults{LoseAnswer: true, Percent: 60}, 6)
	h.setTargetFaults(standin.Faults{Twice: true, TwiceLateMS: 50, Percent: 60}, 8)
	h.setTargetFaults(standin.Faults{Freeze: true}, 5, 7)
	load.awaitAnswers(300)
	h.setTargetFaults(standin.Faults{}, 1, 2, 3, 4, 5, 6, 8)
	load.awaitAnswers(100)
	load.stop()
	h.awaitServing(a, b, c)
	h.checkCovering("G1", "G4", "G6")
}

// Guards G1 against work that a target received before it froze and runs once it
// resumes, after the longest deadline, concurrently with the work in slots that have
// been released in the meantime.
func TestFrozenTargetResumes(t *testing.T) {
	t.Parallel()
	h := newHarness(t, standin.Site{Name: "frozen", Seed: 43, Domains: []standin.Domain{newDomain("north", 2, 8, 10)}})
	h.publishService()
	a, b, c := h.start("a", "north"), h.start("b", "north"), h.start("c", "north")
	h.awaitOwners(a, b, c)
	load := h.startTraffic(8, nil, a, b, c)
	load.awaitAnswers(60)
	h.setTargetFaults(standin.Faults{Freeze: true}, 5)
	time.Sleep(3 * maxTimeout / 2)
	h.setTargetFaults(standin.Faults{}, 5)
	load.awaitAnswers(300)
	load.stop()
	h.checkCovering("G1", "G4", "G6")
}

// Guards G1 and G4, and the availability of the service, against open connections that
// go silent permanently while new ones work, at all targets at the same time.
func TestOpenConnectionsGoSilent(t *testing.T) {
	t.Parallel()
	h := newHarness(t, standin.Site{Name: "silent", Seed: 44, Domains: []standin.Domain{newDomain("north", 2, 4, 10)}})
	h.publishService()
	a, b, c := h.start("a", "north"), h.start("b", "north"), h.start("c", "north")
	h.awaitOwners(a, b, c)
	load := h.startTraffic(8, nil, a, b, c)
	for range 3 {
		load.awaitAnswers(100)
		h.setTargetFaults(standin.Faults{SilentOpen: true}, 1, 2, 3, 4)
	}
	load.awaitAnswers(200)
	load.stop()
	h.awaitServing(a, b, c)
	h.checkCovering("G1", "G4", "G6")
}
