package jobs

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"gooseberryreel/internal/remote"
)

// Guards against running an urgent job in two places when the owner dies while the log
// is down, and a start that it had in flight is carried out after the takeover.
func TestLateStartOfUnrecordedJob(t *testing.T) {
	for _, disabled := range []bool{false, true} {
		testLateStart(t, disabled)
	}
}

func testLateStart(t *testing.T, startUncopied bool) {
	c := qt.New(t)
	s := newOwnedHarness(2)
	s.disabled.startUncopied = startUncopied
	s.owner.disabled = s.disabled
	s.logDown = true
	s.step()
	s.submit("u", "alert")
	s.advance(300 * time.Millisecond)
	s.updateView(true)
	s.tick() // assigned
	first := s.owner.Get("u").Job.Worker
	c.Assert(first, qt.Not(qt.Equals), "")
	var late []*inFlight
	for _, f := range s.calls {
		if f.res.Call.Kind == CallStart {
			late = append(late, f)
		}
	}
	c.Assert(late, qt.HasLen, 1)
	s.logDown = false
	s.takeOver()
	s.calls = nil
	s.workers[first].inst.State = remote.StateLeaving
	s.submit("u", "alert") // the caller got no answer
	s.runFaultFree(4 * time.Second)
	s.calls = append(s.calls, late...)
	s.runFaultFree(4 * time.Second)
	c.Check(len(s.violations) > 0, qt.Equals, startUncopied, qt.Commentf("%v", s.violations))
}
