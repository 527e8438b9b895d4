package daemon

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"gooseberryreel/internal/emulator"
)

// Guards against an owner that stays on a machine too small for it although a larger
// one has become available, and against tasks that are lost or run twice when the owner
// yields.
func TestOwnerYieldsToLargerMachine(t *testing.T) {
	t.Parallel()
	s := newDeployment(t, 1, 4, func(string, int) emulator.Behaviour { return emulator.Behaviour{RunTime: 4 * time.Second} })
	s.submit(s.instances[0], 1, 4, 3)
	s.eventually("the small machine owns the jobs", func() bool { return s.instances[0].currentTerm() != nil })
	large := s.startOn("large", 0.8)
	s.eventually("the larger machine owns the jobs", func() bool { return large.currentTerm() != nil })
	qt.Assert(t, s.instances[0].currentTerm(), qt.IsNil)
	s.waitState(s.instances[0], 1, "completed")
	s.checkRanOnce(1, 4, 3)
}

// Guards against several claims in a row when all instances start at once: each
// change of the owner delays all starts of tasks.
func TestOneClaimAtStartup(t *testing.T) {
	s := newDeployment(t, 6, 2, shortTask)
	owner := s.owner()
	s.submit(s.instances[0], 1, 3)
	s.waitState(s.instances[0], 1, "completed")
	qt.Assert(t, owner.owner.Load().GetEpoch()>>epochRandomBits, qt.Equals, int64(1))
	qt.Assert(t, s.owner(), qt.Equals, owner)
}

// Guards against leases that expire while each owner is stopped as soon as it owns the
// jobs: one that ends its term at once renews none.
func TestLeasesOutliveOwnersStoppedInTurn(t *testing.T) {
	t.Parallel()
	const (
		answerDelay = 200 * time.Millisecond // of the workers
		restartTime = 3 * time.Second        // in which tasks whose leases have expired are started again
	)
	s := newDeployment(t, 2, 4, func(string, int) emulator.Behaviour { return emulator.Behaviour{LongRunning: true} })
	for _, w := range s.workers {
		w.Inject(func(string) emulator.CommandFault {
			time.Sleep(answerDelay)
			return emulator.CommandOK
		})
	}
	services := map[string]any{"Spec": "payload", "Phases": []map[string]any{{"Count": 4, "Cpu": 1000, "MemMb": 256, "LongRunning": true}}}
	s.eventually("submission accepted", func() bool {
		status, _ := s.call(s.instances[0], http.MethodPost, path(1), services)
		return status == http.StatusOK
	})
	s.eventually("the tasks run", func() bool { return len(s.attempts.Starts()) == 4 })
	owner := s.owner()
	for n := range 8 {
		owner.stop()
		s.start(fmt.Sprintf("next-%d", n))
		previous := owner
		s.eventually("another instance owns the jobs", func() bool {
			for _, i := range s.instances {
				if i != previous && i.currentTerm() != nil {
					owner = i
				}
			}
			return owner != previous
		})
	}
	time.Sleep(restartTime)
	for _, st := range s.attempts.Starts() {
		qt.Check(t, st.Attempt, qt.Equals, 1, qt.Commentf("%s", st.Task))
	}
	qt.Check(t, s.attempts.Violations(), qt.HasLen, 0)
}

// Guards against an owner that shuts down and is still listed when its process has
// ended: its successor waits until the entry has expired, and for proof that the owner
// no longer acts.
func TestOwnerHandsOverWithinGrace(t *testing.T) {
	t.Parallel()
	s := newDeployment(t, 2, 4, shortTask)
	owner := s.owner()
	owner.stop()
	<-owner.done
	qt.Assert(t, owner.currentTerm(), qt.IsNil)
	members, err := s.instances[0].store.Members(t.Context(), ownerGroup)
	qt.Assert(t, err, qt.IsNil)
	for _, m := range members {
		qt.Check(t, m.Name, qt.Not(qt.Contains), `"`+owner.settings.GetInstance()+`"`)
	}
}
