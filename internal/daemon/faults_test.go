package daemon

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"gooseberryreel/internal/emulator"
	"gooseberryreel/internal/scheduler"
)

// exitLimit is the time in which a stuck loop ends its process, and some for the test.
const exitLimit = (stuckLoopChecks + 4) * loopCheckInterval

// Guards against an owner whose loop has ended or hangs and whose process goes on, ready
// and accepting jobs of which none runs.
func TestFaultOfOwnerEndsProcess(t *testing.T) {
	for name, fault := range map[string]func(release chan struct{}){
		"panic":    func(chan struct{}) { panic("test") },
		"deadlock": func(release chan struct{}) { <-release },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newDeployment(t, 3, 4, shortTask)
			release := make(chan struct{})
			defer close(release)
			owner := s.owner()
			began := time.Now()
			owner.currentTerm().post(workResults, func(*scheduler.Core, time.Time) { fault(release) })
			s.eventually("the instance is not ready", func() bool { return owner.notReadyReason() != "" })
			if name == "deadlock" {
				qt.Check(t, time.Since(began) < stuckLoopChecks*loopCheckInterval, qt.IsTrue)
			}
			select {
			case <-owner.exited:
			case <-time.After(exitLimit):
				t.Fatalf("the instance has not ended after %v", exitLimit)
			}
			other := s.instances[0]
			if other == owner {
				other = s.instances[1]
			}
			s.eventually("a job is accepted", func() bool {
				status, _ := s.call(other, http.MethodPost, path(1), job(1))
				return status == http.StatusOK
			})
			s.waitState(other, 1, "completed")
		})
	}
}

// Guards against a job under which each owner fails in turn, so that no other job runs.
func TestJobUnderWhichOwnersFailIsSetAside(t *testing.T) {
	t.Parallel()
	s := newDeployment(t, 4, 4, func(task string, _ int) emulator.Behaviour {
		return emulator.Behaviour{LongRunning: task[:16] == fmt.Sprintf("%016x", 1), RunTime: 50 * time.Millisecond}
	})
	lasting := map[string]any{"Spec": "payload", "Phases": []map[string]any{{"Count": 4, "Cpu": 1000, "MemMb": 256, "LongRunning": true}}}
	s.eventually("submission accepted", func() bool {
		status, _ := s.call(s.instances[0], http.MethodPost, path(1), lasting)
		return status == http.StatusOK
	})
	s.eventually("the tasks run", func() bool { return len(s.attempts.Starts()) == 4 })
	for range maxOwnerCrashes {
		owner := s.owner()
		term := owner.currentTerm()
		term.recordSuspect(fmt.Sprintf("%016x", 1))
		owner.fail("test", "test", nil)
		<-owner.done
		s.instances = slices.DeleteFunc(s.instances, func(i *testInstance) bool { return i == owner })
	}
	s.waitState(s.instances[0], 1, "failed")
	s.submit(s.instances[0], 2, 3)
	s.waitState(s.instances[0], 2, "completed")
	qt.Check(t, s.attempts.Violations(), qt.HasLen, 0)
}
