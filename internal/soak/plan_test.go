package soak

import (
	"fmt"
	"hash/fnv"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a seed that yields different plans, and against kinds of faults
// that no seed draws.
func TestPlanRepeats(t *testing.T) {
	c := qt.New(t)
	seen := make(map[Kind]bool)
	for seed := range uint64(20) {
		o := Options{Seed: seed, Duration: 30 * time.Second, Instances: 4, Workers: 6, LongLived: 1}
		plan := Plan(o)
		c.Assert(plan, qt.DeepEquals, Plan(o))
		for n, f := range plan {
			seen[f.Kind] = true
			c.Assert(n == 0 || f.At >= plan[n-1].At, qt.IsTrue)
		}
	}
	c.Assert(seen, qt.HasLen, len(kinds)+len(workerKinds)+len(repeatKinds)+len(lossKinds)+1)
}

// Guards against a new kind of fault that changes the faults of earlier seeds.
func TestEarlierSeedsKeepFaults(t *testing.T) {
	h := fnv.New64a()
	for seed := range uint64(20) {
		for _, f := range Plan(Options{Seed: seed, Duration: 30 * time.Second, Instances: 4, Workers: 6, LongLived: 1}) {
			if !slices.Contains(repeatKinds, f.Kind) && !f.Kind.isLoss() {
				_, _ = fmt.Fprintln(h, seed, f)
			}
		}
	}
	qt.Assert(t, h.Sum64(), qt.Equals, uint64(0x47bdf7c8cef0dbc3))
}
