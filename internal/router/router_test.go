package router

import (
	"flag"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// A fixed seed makes each run draw the same cases.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// Guards against the choice of an unavailable candidate, and against no choice while
// a candidate is available.
func TestAcquireFindsAnyAvailable(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(0, 20).Draw(rt, "n")
		available := rapid.SliceOfN(rapid.Bool(), n, n).Draw(rt, "available")
		any := false
		for _, a := range available {
			any = any || a
		}
		random := NewSplitMix64(rapid.Uint64().Draw(rt, "seed"))
		i := Acquire(n, random.IntN, func(int) float64 { return 0 }, func(i int) bool { return available[i] })
		if (i >= 0) != any || (i >= 0 && !available[i]) {
			rt.Fatalf("chose %d of %v", i, available)
		}
	})
}

// Guards against work for a failing candidate while others have capacity, and against
// a candidate that never gets work again after a failure.
func TestFailuresRaiseScoreTemporarily(t *testing.T) {
	now := time.Unix(1000, 0)
	var good, bad Stats
	good.Record(now, 10*time.Millisecond, false)
	bad.Record(now, 10*time.Millisecond, false)
	bad.Record(now, 0, true)
	mean := 10 * time.Millisecond
	qt.Assert(t, bad.Score(now, 0, mean) > good.Score(now, 7, mean), qt.IsTrue)
	later := now.Add(10 * failureHalfLife)
	qt.Assert(t, bad.Score(later, 0, mean) < good.Score(later, 1, mean), qt.IsTrue)
}

// Guards against a biased choice: with equal scores each candidate must be chosen
// equally often, within 10%.
func TestTwoChoicesIsEven(t *testing.T) {
	random := NewSplitMix64(7)
	counts := make([]int, 5)
	for range 10_000 {
		counts[TwoChoices(5, random.IntN, func(int) float64 { return 0 })]++
	}
	for _, n := range counts {
		qt.Check(t, n > 1800 && n < 2200, qt.IsTrue, qt.Commentf("%v", counts))
	}
}
