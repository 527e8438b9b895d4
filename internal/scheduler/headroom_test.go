package scheduler

import (
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// compareContention runs a load with several seeds, without mechanisms and with all.
func compareContention(load contendedLoad, seeds int, without disabledRules) [][2]contendedResult {
	results := make([][2]contendedResult, seeds)
	var wg sync.WaitGroup
	for n := range 2 * seeds {
		l, disabled := load, disabledRules{}
		l.seed = uint64(n / 2)
		if n%2 == 0 {
			disabled = without
		}
		wg.Go(func() { results[n/2][n%2] = simulateContention(l, disabled) })
	}
	wg.Wait()
	return results
}

// Guards against services that take, as soon as it is free, the capacity that urgent
// jobs need at their next peak.
func TestHeadroomUnderContention(t *testing.T) {
	skipLong(t)
	load := contendedLoad{workers: 42, serviceShare: 0.88, urgentShare: 0.1, duration: 60 * time.Second}
	const seeds = 3
	var without, with float64
	for seed, r := range compareContention(load, seeds, disabledRules{noHeadroom: true}) {
		before, after := r[0], r[1]
		t.Logf("seed %d, without headroom: %v", seed, before)
		t.Logf("seed %d, with headroom:    %v", seed, after)
		without += before.earned() / seeds
		with += after.earned() / seeds
		qt.Check(t, after.heldBack > 0, qt.IsTrue)
		qt.Check(t, before.heldBack, qt.Equals, 0)
		qt.Check(t, after.served > before.served-0.05, qt.IsTrue)
		qt.Check(t, after.longestWait < newLongRunningMaxWait+4*time.Second, qt.IsTrue)
		qt.Check(t, after.large >= before.large, qt.IsTrue)
	}
	qt.Check(t, with > without+0.03, qt.IsTrue, qt.Commentf("%.3f with headroom, %.3f without", with, without))
}

// Guards against new services that wait longer with each takeover, and against new owners
// that start them at the cost of urgent jobs.
func TestTakeoversUnderContention(t *testing.T) {
	skipLong(t)
	load := contendedLoad{workers: 42, serviceShare: 0.85, urgentShare: 0.2, duration: 60 * time.Second, takeovers: 10 * time.Second}
	const seeds = 4
	var without, with, served float64
	var longest time.Duration
	for seed, r := range compareContention(load, seeds, disabledRules{forgetWaits: true}) {
		before, after := r[0], r[1]
		t.Logf("seed %d, waits begin anew: %v", seed, before)
		t.Logf("seed %d, waits go on:      %v", seed, after)
		without += before.earned() / seeds
		with += after.earned() / seeds
		longest = max(longest, before.longestWait)
		served += (after.served - before.served) / seeds
		qt.Check(t, after.longestWait < newLongRunningMaxWait+2*time.Second, qt.IsTrue)
	}
	qt.Check(t, longest > newLongRunningMaxWait+4*time.Second, qt.IsTrue)
	qt.Check(t, served > 0, qt.IsTrue)
	qt.Check(t, with > without-0.05, qt.IsTrue, qt.Commentf("%.3f if waits go on, %.3f if they begin anew", with, without))
}

// Guards against changes for deployments without contention: all starts and their
// times are the same.
func TestHeadroomWithPlentifulCapacity(t *testing.T) {
	skipLong(t)
	load := contendedLoad{workers: 42, serviceShare: 0.5, urgentShare: 0.05, duration: 40 * time.Second, seed: 1}
	before := simulateContention(load, disabledRules{noHeadroom: true, promoteNewEarly: true, ignoreCost: true})
	after := simulateContention(load, disabledRules{})
	t.Logf("%v", after)
	qt.Check(t, after, qt.Equals, before)
	qt.Check(t, after.heldBack, qt.Equals, 0)
	qt.Check(t, after.longestWait < 200*time.Millisecond, qt.IsTrue)
}

// Guards against urgent jobs whose steps take cores in the order of their due times, so
// that few of them complete in time when more arrive than fit, and against an order by
// work that gives up the largest jobs.
func TestOrderByCostUnderContention(t *testing.T) {
	skipLong(t)
	load := contendedLoad{workers: 42, serviceShare: 0.9, urgentShare: 0.2, duration: 60 * time.Second}
	const seeds = 4
	var earned, large, middle [2]float64
	for seed, r := range compareContention(load, seeds, disabledRules{ignoreCost: true}) {
		t.Logf("seed %d, by due time: %v", seed, r[0])
		t.Logf("seed %d, by cost:     %v", seed, r[1])
		for i := range r {
			earned[i] += r[i].earned() / seeds
			large[i] += r[i].large / seeds
			middle[i] += r[i].middle / seeds
		}
	}
	t.Logf("earned, by due time and by cost: %.3f; by the largest tenth %.3f, by the fifth below it %.3f", earned, large, middle)
	qt.Check(t, earned[1] > earned[0]+0.01, qt.IsTrue)
	qt.Check(t, large[1] >= large[0], qt.IsTrue)
	// Within 0.01, the noise of the mean of four seeds.
	qt.Check(t, middle[1] >= middle[0]-0.01, qt.IsTrue)
}
