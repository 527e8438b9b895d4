package processtest

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	qt "github.com/frankban/quicktest"

	"gooseberryreel/internal/history"
	"gooseberryreel/internal/load"
)

const (
	// callerPause is the pause of a caller after each request; it bounds the load.
	callerPause = 15 * time.Millisecond
	// maxCallerRequests bounds the requests of a caller whose test does not end.
	maxCallerRequests = 4000
)

// traffic is a bounded load from callers that send requests until stop is called.
type traffic struct {
	harness *harness
	done    chan struct{}
	callers sync.WaitGroup
	// sent counts requests, answered those with outcome ok, found the answers that
	// were found by a later lookup.
	sent, answered, found atomic.Int64
	// onResult is called with the result of every call; it may be nil.
	onResult func(p *process, idempotent bool, result load.CallResult)

	mu      sync.Mutex
	entries []*process
}

// startTraffic starts callers that send idempotent and non-idempotent requests
// through the given processes. A quarter of the ids is sent again through a random
// process, and half of the non-idempotent requests with an unknown outcome are
// looked up.
func (h *harness) startTraffic(callers int, onResult func(*process, bool, load.CallResult), entries ...*process) *traffic {
	t := &traffic{harness: h, done: make(chan struct{}), onResult: onResult, entries: entries}
	h.Cleanup(t.stop)
	for n := range callers {
		t.callers.Go(func() { t.runCaller(rand.New(rand.NewPCG(uint64(n), 11))) })
	}
	return t
}

// setEntries replaces the processes to which callers send.
func (t *traffic) setEntries(entries ...*process) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.entries = entries
}

func (t *traffic) pickEntry(rng *rand.Rand) *process {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.entries[rng.IntN(len(t.entries))]
}

func (t *traffic) stopped() bool {
	select {
	case <-t.done:
		return true
	default:
		return false
	}
}

// stop stops the callers and waits until their calls have returned.
func (t *traffic) stop() {
	if !t.stopped() {
		close(t.done)
	}
	t.callers.Wait()
}

func (t *traffic) runCaller(rng *rand.Rand) {
	for n := 0; n < maxCallerRequests && !t.stopped(); n++ {
		p, idempotent := t.pickEntry(rng), rng.IntN(3) == 0
		id := t.harness.newID(p.domain)
		result := t.send(p, id, idempotent)
		if rng.IntN(4) == 0 {
			t.send(t.pickEntry(rng), id, idempotent)
		}
		if !idempotent && result.Outcome == history.OutcomeUnknown && rng.IntN(2) == 0 {
			if t.harness.lookUp(t.pickEntry(rng), id).Outcome == history.OutcomeOK {
				t.found.Add(1)
			}
		}
		time.Sleep(callerPause)
	}
}

func (t *traffic) send(p *process, id string, idempotent bool) load.CallResult {
	result := t.harness.send(p, id, idempotent)
	t.sent.Add(1)
	if result.Outcome == history.OutcomeOK {
		t.answered.Add(1)
	}
	if t.onResult != nil {
		t.onResult(p, idempotent, result)
	}
	return result
}

// awaitAnswers waits until so many more requests were answered, so that the next
// fault is injected under load.
func (t *traffic) awaitAnswers(more int64) {
	t.harness.Helper()
	before := t.answered.Load()
	t.harness.await("answers", func() bool { return t.answered.Load() >= before+more })
}

// sendInBackground starts to send non-idempotent requests. It returns their ids at
// once, and a function that waits until all calls have returned.
func (h *harness) sendInBackground(p *process, count int) (ids []string, wait func()) {
	var calls sync.WaitGroup
	for range count {
		id := h.newID(p.domain)
		ids = append(ids, id)
		calls.Go(func() { h.send(p, id, false) })
	}
	return ids, calls.Wait
}

// resend sends ids again through all given processes concurrently, and returns the
// number of calls per outcome.
func (h *harness) resend(ids []string, entries ...*process) map[string]int {
	var mu sync.Mutex
	outcomes := make(map[string]int)
	var calls sync.WaitGroup
	for _, id := range ids {
		for _, p := range entries {
			calls.Go(func() {
				outcome := h.send(p, id, false).Outcome
				mu.Lock()
				defer mu.Unlock()
				outcomes[outcome]++
			})
		}
	}
	calls.Wait()
	return outcomes
}

// awaitServing waits until each process has answered an idempotent and a
// non-idempotent request.
func (h *harness) awaitServing(entries ...*process) {
	h.Helper()
	for _, p := range entries {
		for _, idempotent := range []bool{true, false} {
			h.await("answer of "+p.name, func() bool {
				return h.send(p, h.newID(p.domain), idempotent).Outcome == history.OutcomeOK
			})
		}
	}
}

// checkCovering checks all guarantees and requires that each of the named ones was
// checked on at least one operation.
func (h *harness) checkCovering(names ...string) {
	h.Helper()
	checked := h.check()
	for _, name := range names {
		h.Check(checked[name] > 0, qt.IsTrue, qt.Commentf("%s was checked on no operation", name))
	}
}

// ready returns the processes to which the platform's load balancer would send
// requests: those that report ready.
func (h *harness) ready(processes ...*process) []*process {
	var ready []*process
	for _, p := range processes {
		if h.client.Ready(context.Background(), p.entry()) {
			ready = append(ready, p)
		}
	}
	return ready
}
