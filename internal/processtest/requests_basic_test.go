package processtest

import (
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"gooseberryreel/internal/history"
	"gooseberryreel/internal/standin"
)

// Guards G6 against one id that arrives through three entry processes at once:
// it runs once, and every caller gets that answer.
func TestDuplicatesThroughThreeEntries(t *testing.T) {
	t.Parallel()
	s := newHarness(t, standin.Site{Name: "duplicates", Seed: 21, Domains: []standin.Domain{newDomain("north", 2, 4, 10)}})
	s.publishService()
	entries := []*process{s.start("a", "north"), s.start("b", "north"), s.start("c", "north")}
	s.awaitOwners(entries...)
	s.sendThroughAll(entries, 40, func(id, outcome string) {
		s.Check(outcome, qt.Equals, history.OutcomeOK, qt.Commentf("%s", id))
	})
	s.check()
}

// sendThroughAll sends a number of new ids through all entries at once.
func (s *harness) sendThroughAll(entries []*process, count int, onOutcome func(id, outcome string)) {
	var calls sync.WaitGroup
	for range count {
		id := s.newID(entries[0].domain)
		for _, p := range entries {
			calls.Go(func() { onOutcome(id, s.send(p, id, false).Outcome) })
		}
	}
	calls.Wait()
}

// Guards G1 and G5 against overload: requests that can't be served in time are
// refused without a run, also while an owner is killed, and no target gets more
// than its slots.
func TestOverloadAndOwnerKilled(t *testing.T) {
	t.Parallel()
	s := newHarness(t, standin.Site{Name: "overload", Seed: 22, Domains: []standin.Domain{newDomain("north", 1, 2, 150)}})
	s.publishService()
	a, b := s.start("a", "north"), s.start("b", "north")
	s.awaitOwners(a, b)
	burst := func(entries ...*process) map[string]int64 {
		var mu sync.Mutex
		outcomes := make(map[string]int64)
		var calls sync.WaitGroup
		for n := range 240 {
			calls.Go(func() {
				p := entries[n%len(entries)]
				outcome := s.sendWithTimeout(p, s.newID("north"), n%2 == 0, 600*time.Millisecond).Outcome
				mu.Lock()
				defer mu.Unlock()
				outcomes[outcome]++
			})
		}
		calls.Wait()
		return outcomes
	}
	both := burst(a, b)
	s.Check(both[history.OutcomeOK] > 0, qt.IsTrue)
	s.Check(both[history.OutcomeNotRun] > 0, qt.IsTrue)
	killed := make(chan map[string]int64)
	go func() { killed <- burst(a, b) }()
	s.await("requests at targets", func() bool { return len(s.history()) > 300 })
	s.kill(a)
	s.Logf("outcomes: %v, with a killed owner %v", both, <-killed)
	s.awaitOwners(b)
	s.awaitServing(b)
	s.checkCovering("G1", "G4", "G5", "G6")
}
