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

// Guards G6 against one id that is sent through three processes at once, again
// after the owner was killed, and again after the domain was cut off from the
// domain that the sender is in.
func TestResendAfterKillAndPartition(t *testing.T) {
	t.Parallel()
	s := newHarness(t, standin.Site{Name: "again", Seed: 41, Domains: []standin.Domain{
		newDomain("north", 2, 4, 30), newDomain("south", 2, 4, 30),
	}})
	s.publishService()
	a, b, c, d := s.start("a", "north"), s.start("b", "north"), s.start("c", "north"), s.start("d", "south")
	s.awaitOwners(a, b, c)
	s.awaitOwners(d)
	early, waitEarly := s.sendInBackground(a, 40)
	through := s.resend(early, b, c, d)
	waitEarly()
	s.Check(through[history.OutcomeOK] > 0, qt.IsTrue)

	inFlight, wait := s.sendInBackground(a, 40)
	s.kill(a)
	ids := append(early, inFlight...)
	s.resend(ids, b, c, d)
	wait()
	s.awaitOwners(b, c)
	after := s.resend(ids, b, c, d)
	s.Check(after[history.OutcomeNotRun], qt.Equals, 0)

	s.setPeerMode(loopback.Stall, b, d)
	s.setPeerMode(loopback.Stall, c, d)
	cut := s.resend(ids, d)
	s.Check(cut[history.OutcomeUnknown], qt.Equals, len(ids), qt.Commentf("a domain that is cut off answered for another: %v", cut))
	s.awaitServing(b, c, d)
	s.setPeerMode(loopback.Forward, b, d)
	s.setPeerMode(loopback.Forward, c, d)
	s.resend(ids, b, c, d)
	s.Logf("outcomes: at once %v, after the kill %v, after the cut %v", through, after, cut)
	s.checkCovering("G1", "G4", "G6")
}

// Guards G4 against a late answer that is lost: it can be looked up at every
// process of the domain.
func TestLateAnswerIsRetained(t *testing.T) {
	t.Parallel()
	s := newHarness(t, standin.Site{Name: "late", Seed: 42, Domains: []standin.Domain{newDomain("north", 1, 2, 5)}})
	s.publishService()
	a, b := s.start("a", "north", longProgressTimeout), s.start("b", "north", longProgressTimeout)
	s.awaitOwners(a, b)
	s.setTargetFaults(standin.Faults{LateMS: 2300}, 1, 2)
	ids, wait := s.sendInBackground(a, 8)
	wait()
	for _, id := range ids {
		for _, p := range []*process{a, b} {
			s.await("late answer of "+id, func() bool { return s.lookUp(p, id).Outcome == history.OutcomeOK })
		}
	}
	unknown := 0
	for _, op := range s.history() {
		if op.Outcome == history.OutcomeUnknown {
			unknown++
		}
	}
	s.Check(unknown, qt.Equals, len(ids), qt.Commentf("the answers were not late"))
	s.checkCovering("G1", "G4", "G6")
}

// longProgressTimeout lets a connection without a byte live for longer than a late
// answer takes.
func longProgressTimeout(settings *pb.EntrySettings) { settings.Requests.ProgressTimeoutMs = 5000 }

// setTargetFaults sets the faults of targets of domain north by their numbers.
func (s *harness) setTargetFaults(f standin.Faults, numbers ...int) {
	s.Helper()
	for _, n := range numbers {
		s.Assert(s.platform.SetFaults(fmt.Sprintf("echo-north-%02d", n), f), qt.IsNil)
	}
}

// Guards G1, G4, G5 and G6 against targets that answer late, half, twice, for
// another request or never, all at once. Callers get true answers, and service
// recovers once the faults end. Target 5 is frozen and then runs what it holds;
// target 7 never answers again.
func TestTargetsAnswerWrong(t *testing.T) {
	t.Parallel()
	s := newHarness(t, standin.Site{Name: "wrong", Seed: 43, Domains: []standin.Domain{newDomain("north", 2, 8, 10)}})
	s.publishService()
	a, b, c := s.start("a", "north"), s.start("b", "north"), s.start("c", "north")
	s.awaitOwners(a, b, c)
	load := s.startTraffic(8, nil, a, b, c)
	load.awaitAnswers(60)
	s.setTargetFaults(standin.Faults{LateMS: 600, Percent: 60}, 1)
	s.setTargetFaults(standin.Faults{Half: true, Percent: 60}, 2)
	s.setTargetFaults(standin.Faults{Twice: true}, 3)
	s.setTargetFaults(standin.Faults{WrongID: true, Percent: 60}, 4)
	s.setTargetFaults(standin.Faults{LoseAnswer: true, Percent: 60}, 6)
	s.setTargetFaults(standin.Faults{Freeze: true}, 5, 7)
	load.awaitAnswers(300)
	s.setTargetFaults(standin.Faults{}, 1, 2, 3, 4, 5, 6)
	load.awaitAnswers(100)
	load.stop()
	s.awaitServing(a, b, c)
	s.checkCovering("G1", "G4", "G6")
}

// Guards G1 against work that a target took before it froze and runs after the
// longest deadline, once it resumes, beside the work of the slots that were free
// again by then.
func TestFrozenTargetResumes(t *testing.T) {
	t.Parallel()
	s := newHarness(t, standin.Site{Name: "frozen", Seed: 43, Domains: []standin.Domain{newDomain("north", 2, 8, 10)}})
	s.publishService()
	a, b, c := s.start("a", "north"), s.start("b", "north"), s.start("c", "north")
	s.awaitOwners(a, b, c)
	load := s.startTraffic(8, nil, a, b, c)
	load.awaitAnswers(60)
	s.setTargetFaults(standin.Faults{Freeze: true}, 5)
	time.Sleep(3 * maxTimeout / 2)
	s.setTargetFaults(standin.Faults{}, 5)
	load.awaitAnswers(300)
	load.stop()
	s.checkCovering("G1", "G4", "G6")
}

// Guards G1 and G4 and the service against open connections that go silent for
// good while new ones work, at every target at once.
func TestOpenConnectionsGoSilent(t *testing.T) {
	t.Parallel()
	s := newHarness(t, standin.Site{Name: "silent", Seed: 44, Domains: []standin.Domain{newDomain("north", 2, 4, 10)}})
	s.publishService()
	a, b, c := s.start("a", "north"), s.start("b", "north"), s.start("c", "north")
	s.awaitOwners(a, b, c)
	load := s.startTraffic(8, nil, a, b, c)
	for range 3 {
		load.awaitAnswers(100)
		s.setTargetFaults(standin.Faults{SilentOpen: true}, 1, 2, 3, 4)
	}
	load.awaitAnswers(200)
	load.stop()
	s.awaitServing(a, b, c)
	s.checkCovering("G1", "G4", "G6")
}
