package daemon

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"gooseberryreel/internal/emulator"
)

// Guards against all work of a site on a machine too small for it while a larger
// one is there: the owner gives way, and nothing that runs is lost or repeated.
func TestOwnerGivesWayToLargerMachine(t *testing.T) {
	s := newSite(t, 1, 4, func(string, int) emulator.Behaviour { return emulator.Behaviour{RunTime: 4 * time.Second} })
	s.submit(s.instances[0], 1, 4, 3)
	s.eventually("the small machine owns the jobs", func() bool { return s.instances[0].current() != nil })
	large := s.startOn("large", 0.8)
	s.eventually("the larger machine owns the jobs", func() bool { return large.current() != nil })
	qt.Assert(t, s.instances[0].current(), qt.IsNil)
	s.waitState(s.instances[0], 1, "completed")
	s.checkOnce(1, 4, 3)
}

// Guards against instances that claim one over the other when a site starts:
// each change of the owner holds up all starts.
func TestOneClaimAtTheStart(t *testing.T) {
	s := newSite(t, 6, 2, quick)
	owner := s.owner()
	s.submit(s.instances[0], 1, 3)
	s.waitState(s.instances[0], 1, "completed")
	qt.Assert(t, owner.owner.Load().GetEpoch()>>epochBits, qt.Equals, int64(1))
	qt.Assert(t, s.owner(), qt.Equals, owner)
}
