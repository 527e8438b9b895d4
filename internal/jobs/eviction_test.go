package jobs

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/remote"
)

// Guards against an eviction that runs the job twice or never again, when a
// takeover interrupts it after any of its calls and records, with or without the
// loss of the answers.
func TestEvictionInterrupted(t *testing.T) {
	const steps = 12
	for _, lose := range []bool{false, true} {
		for interrupted := range steps {
			c := qt.New(t)
			s := newOwnedHarness(3)
			s.runFaultFree(3 * time.Second)
			s.submit("j", "small")
			s.runFaultFree(3 * time.Second)
			c.Assert(s.state("j"), qt.Equals, pb.JobState_JOB_STATE_RUNNING)
			s.owner.evict(s.owner.jobs["j"], "test")
			for range interrupted {
				s.advance(100 * time.Millisecond)
				s.tick()
				switch {
				case len(s.calls) > 0:
					s.deliver(0, lose, false)
				default:
					s.append()
					s.readStream()
				}
			}
			s.takeOver()
			s.runFaultFree(2 * time.Minute)
			c.Check(s.violations, qt.HasLen, 0)
			c.Check(s.state("j"), qt.Equals, pb.JobState_JOB_STATE_DONE, qt.Commentf("interrupted after %d", interrupted))
			c.Check(s.done["j"], qt.Equals, 1)
		}
	}
}

// Guards against losing a job that was confirmed while the log was down and ended
// before its owner could record it. The next owner must know it, and a repeated
// submission must not run it again.
func TestEndedBeforeItWasRecorded(t *testing.T) {
	for _, fails := range []bool{false, true} {
		c := qt.New(t)
		s := newOwnedHarness(2)
		s.runFaultFree(3 * time.Second)
		s.logDown = true
		s.updateView(true)
		s.runFor = func(remote.TaskSpec) time.Duration { return time.Second }
		s.workers["w0"].failsAll, s.workers["w1"].failsAll = fails, fails
		s.submit("j", "alert")
		for range 12 {
			s.step()
		}
		c.Assert(s.confirmed["j"] || fails, qt.IsTrue)
		s.takeOver()
		s.runFaultFree(10 * time.Second)
		want := pb.JobState_JOB_STATE_DONE
		if fails {
			want = pb.JobState_JOB_STATE_FAILED
		}
		c.Assert(s.state("j"), qt.Equals, want)
		starts := len(s.starts)
		c.Assert(s.submit("j", "alert").Job.GetState(), qt.Equals, want)
		s.runFaultFree(10 * time.Second)
		c.Assert(len(s.starts), qt.Equals, starts)
		s.takeOver()
		s.runFaultFree(time.Second)
		c.Assert(s.state("j"), qt.Equals, want)
		c.Assert(s.violations, qt.HasLen, 0)
	}
}
