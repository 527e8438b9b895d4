package daemon

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"gooseberryreel/internal/emulator"
)

// Guards against a number of waiting jobs that lacks jobs accepted long before, and against
// accepted jobs that are unknown: the owner stays listed, but gets no responses of the
// store and reads no submissions any more.
func TestQueueLengthOfCutOwner(t *testing.T) {
	t.Parallel()
	s := newDeployment(t, 2, 0, shortTask)
	s.submit(s.instances[0], 1, 1)
	owner, other := s.owner(), s.instances[0]
	if other == owner {
		other = s.instances[1]
	}
	pending := func() (int, any) {
		status, out := s.call(other, http.MethodGet, "/jobs/", nil)
		return status, out["Pending"]
	}
	s.eventually("the job is counted", func() bool {
		_, n := pending()
		return n == 1.0
	})
	owner.endpoint.Inject(func(string) emulator.Fault { return emulator.FaultLoseResponse })
	time.Sleep(readWait) // the read in flight still gets its response
	s.submit(other, 2, 1)
	s.submit(other, 3, 1)
	s.submit(other, 4, 1)
	accepted := time.Now()
	refused := 0
	s.eventually("all jobs are counted", func() bool {
		status, _ := s.call(other, http.MethodGet, path(4), nil)
		qt.Assert(t, status != http.StatusGone, qt.IsTrue, qt.Commentf("an accepted job is unknown"))
		asked := time.Now()
		status, n := pending()
		if status != http.StatusOK {
			refused++
			return false
		}
		old := n != 4.0 && asked.Sub(accepted) > maxIntakeAge+queueLengthAge
		qt.Assert(t, old, qt.IsFalse, qt.Commentf("%v jobs, asked %v after 4 were accepted", n, asked.Sub(accepted)))
		return n == 4.0
	})
	t.Logf("counted after %v, %d queries refused", time.Since(accepted), refused)
}

// Guards against queue lengths that are refused because a single read of the intake was
// lost, although the owner reads on.
func TestQueueLengthDespiteLostReads(t *testing.T) {
	for name, fault := range map[string]emulator.Fault{"lost response": emulator.FaultLoseResponse, "no response": emulator.FaultNoResponse} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newDeployment(t, 1, 0, shortTask)
			s.submit(s.instances[0], 1, 1)
			owner := s.owner()
			var lost atomic.Int64
			var at atomic.Int64
			owner.endpoint.InjectPartitions(func(topic string, part int) emulator.Fault {
				if topic == "keyed."+intakeTopic && part == 3 && lost.Add(1) == 1 {
					at.Store(time.Now().UnixNano())
					return fault
				}
				return emulator.FaultNone
			})
			refused, slowest := 0, time.Duration(0)
			first, last := time.Duration(0), time.Duration(0)
			for begun := time.Now(); time.Since(begun) < 9*time.Second; time.Sleep(50 * time.Millisecond) {
				asked := time.Now()
				status, _ := s.call(owner, http.MethodGet, "/jobs/", nil)
				slowest = max(slowest, time.Since(asked))
				if status != http.StatusOK {
					refused++
					if last = time.Since(time.Unix(0, at.Load())); first == 0 {
						first = last
					}
				}
			}
			t.Logf("%d reads of the partition, %d queries refused from %v to %v after the fault, slowest %v", lost.Load(), refused, first, last, slowest)
			qt.Check(t, refused, qt.Equals, 0)
		})
	}
}
