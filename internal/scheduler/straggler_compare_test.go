package scheduler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// compareCopies replays the load with and without copies, and with known speeds of the
// workers. The results are sums over the seeds.
func compareCopies(t *testing.T, seeds int) (with, without, known stragglerRun) {
	for seed := range uint64(seeds) {
		a, b := replayStragglers(seed, disabledRules{}, 6, 3, false), replayStragglers(seed, disabledRules{noCopies: true}, 6, 3, false)
		k := replayStragglers(seed, disabledRules{}, 6, 3, true)
		t.Logf("seed %d known %+v\nwith %+v\nwithout %+v", seed, k, a, b)
		with, without, known = with.add(a), without.add(b), known.add(k)
	}
	for name, r := range map[string]stragglerRun{"with": with, "without": without, "with known speeds": known} {
		t.Logf("%s: on time: speculative %.3f, all %.3f; 95th centile %v, %v; core-seconds %+.2f %%, %d copies", name, r.onTimeSpeculative/float64(seeds), r.onTime/float64(seeds),
			r.p95Speculative/time.Duration(seeds), r.p95/time.Duration(seeds), 100*(r.coreSeconds/without.coreSeconds-1), r.copies)
	}
	return with, without, known
}

// The 95th centile of one seed is the age of a few jobs, so the tail needs more seeds.
const (
	stragglerSeeds = 3
	tailSeeds      = 12
)

// Guards against copies that don't help: with some workers slow, more speculative jobs
// must be on time than without copies, at little cost for the others.
func TestCopiesOfStragglers(t *testing.T) {
	skipLong(t)
	with, without, known := compareCopies(t, stragglerSeeds)
	qt.Check(t, without.copies, qt.Equals, 0)
	qt.Check(t, with.onTimeSpeculative > without.onTimeSpeculative+0.01*stragglerSeeds, qt.IsTrue)
	qt.Check(t, with.onTime > without.onTime-0.01*stragglerSeeds, qt.IsTrue)
	qt.Check(t, known.onTimeSpeculative > without.onTimeSpeculative+0.01*stragglerSeeds, qt.IsTrue)
	// Copies may use 2 % of 480 cores for a minute.
	qt.Check(t, with.coreSeconds-without.coreSeconds < 0.02*480*60*stragglerSeeds, qt.IsTrue)
}

// Guards against copies that leave the slowest speculative jobs as late as they are.
func TestCopiesOfStragglersLowerTheTail(t *testing.T) {
	skipLong(t)
	with, without, _ := compareCopies(t, tailSeeds)
	qt.Check(t, with.p95Speculative < without.p95Speculative, qt.IsTrue)
}
