package processtest

import (
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"gooseberryreel/internal/history"
	"gooseberryreel/internal/standin"
)

// Guards G6 against one id that arrives through three entry processes concurrently: it
// must run once, and every caller must get the answer.
func TestDuplicatesThroughThreeEntries(t *testing.T) {
	t.Parallel()
	h := newHarness(t, standin.Site{Name: "duplicates", Seed: 21, Domains: []standin.Domain{newDomain("north", 2, 4, 10)}})
	h.publishService()
	entries := []*process{h.start("a", "north"), h.start("b", "north"), h.start("c", "north")}
	h.awaitOwners(entries...)
	h.sendThroughAll(entries, 40, func(id, outcome string) {
		h.Check(outcome, qt.Equals, history.OutcomeOK, qt.Commentf("%s", id))
	})
	h.check()
}

// sendThroughAll sends count new ids through all entries concurrently, and calls
// onOutcome for each call.
func (h *harness) sendThroughAll(entries []*process, count int, onOutcome func(id, outcome string)) {
	var calls sync.WaitGroup
	for range count {
		id := h.newID(entries[0].domain)
		for _, p := range entries {
			calls.Go(func() { onOutcome(id, h.send(p, id, false).Outcome) })
		}
	}
	calls.Wait()
}

// Guards G1 and G5 against overload: requests that can't be served in time must be
// refused without a run, also while an owner is killed, and no target may get more
// requests than it has slots.
func TestOverloadAndOwnerKilled(t *testing.T) {
	t.Parallel()
	h := newHarness(t, standin.Site{Name: "overload", Seed: 22, Domains: []standin.Domain{newDomain("north", 1, 2, 150)}})
	h.publishService()
	a, b := h.start("a", "north"), h.start("b", "north")
	h.awaitOwners(a, b)
	burst := func(entries ...*process) map[string]int64 {
		var mu sync.Mutex
		outcomes := make(map[string]int64)
		var calls sync.WaitGroup
		for n := range 240 {
			calls.Go(func() {
				p := entries[n%len(entries)]
				outcome := h.sendWithTimeout(p, h.newID("north"), n%2 == 0, 600*time.Millisecond).Outcome
				mu.Lock()
				defer mu.Unlock()
				outcomes[outcome]++
			})
		}
		calls.Wait()
		return outcomes
	}
	both := burst(a, b)
	h.Check(both[history.OutcomeOK] > 0, qt.IsTrue)
	h.Check(both[history.OutcomeNotRun] > 0, qt.IsTrue)
	killed := make(chan map[string]int64)
	go func() { killed <- burst(a, b) }()
	h.await("requests at targets", func() bool { return len(h.history()) > 300 })
	h.kill(a)
	h.Logf("outcomes: %v, with a killed owner %v", both, <-killed)
	h.awaitOwners(b)
	h.awaitServing(b)
	h.checkCovering("G1", "G4", "G5", "G6")
}
