package policy

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func runFor(c *qt.C, mode Mode, d time.Duration) Outcome {
	m := newModel(Staubwissen(), mode, 1, unlimited)
	for m.elapsed < d {
		c.Assert(m.step(), qt.IsNil)
	}
	return m.result()
}

// Guards against benchmark runs that differ although they have the same seed.
func TestRunRepeats(t *testing.T) {
	c := qt.New(t)
	first, second := runFor(c, Learned, 5*time.Minute), runFor(c, Learned, 5*time.Minute)
	c.Assert(first.Completed, qt.Equals, second.Completed)
	c.Assert(first.P99, qt.Equals, second.P99)
	c.Assert(first.Completed > 0, qt.IsTrue)
}

// Guards against baselines that don't behave as named: colocation must raise p99
// and the finished work, and neither of both baselines may evict.
func TestBaselinesDiffer(t *testing.T) {
	c := qt.New(t)
	separate, colocated := runFor(c, NoColocation, 10*time.Minute), runFor(c, FirstFit, 10*time.Minute)
	c.Assert(separate.P99 < colocated.P99, qt.IsTrue)
	c.Assert(separate.Finished < colocated.Finished, qt.IsTrue)
	c.Assert(separate.Evictions+colocated.Evictions, qt.Equals, 0)
}

// Guards against an oracle result that a policy within the tail bound exceeds,
// and against one chosen among runs beyond the bound.
func TestBestOracleBoundsPolicies(t *testing.T) {
	c := qt.New(t)
	baseline := Outcome{P99: 100, Missed: 0.001, Finished: 10}
	runs := []Outcome{
		{P99: 105, Missed: 0.00105, Finished: 20},
		{P99: 109, Missed: 0.00109, Finished: 30},
		{P99: 111, Missed: 0.00105, Finished: 40},
		{P99: 105, Missed: 0.00112, Finished: 50},
	}
	best, index := Authority().BestOracle(runs, baseline)
	c.Assert(best.Finished, qt.Equals, 30.0)
	c.Assert(index, qt.Equals, 1)
	best, _ = Staubwissen().BestOracle(runs, baseline)
	c.Assert(best.Finished, qt.Equals, 50.0)
	best, index = Authority().BestOracle(runs[2:], baseline)
	c.Assert(best, qt.Equals, baseline)
	c.Assert(index, qt.Equals, -1)
}
