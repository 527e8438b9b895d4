package ingress

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against accounts that wait for ever, and against memory that is not returned, when
// many accounts charge, make progress and are evicted at the same time.
func TestBudgetOfConcurrentAccounts(t *testing.T) {
	const total = 100_000
	b := NewBudget(total, nil)
	var group sync.WaitGroup
	for range 32 {
		group.Go(func() {
			for range 300 {
				stopped := make(chan struct{})
				stop := sync.OnceFunc(func() { close(stopped) })
				a := &account{budget: b, stop: stop}
				for range rand.IntN(5) {
					if a.charge(rand.Int64N(total/4)) != nil {
						break
					}
					a.progress()
					select {
					case <-stopped:
					case <-time.After(time.Duration(rand.IntN(200)) * time.Microsecond):
					}
				}
				if rand.IntN(2) == 0 {
					a.completed()
				}
				a.release()
			}
		})
	}
	done := make(chan struct{})
	go func() { group.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(testLimit):
		t.Fatal("accounts wait for ever")
	}
	qt.Check(t, b.Used(), qt.Equals, int64(0))
	qt.Check(t, b.releasing, qt.Equals, int64(0))
	qt.Check(t, b.incomplete.Len(), qt.Equals, 0)
}
