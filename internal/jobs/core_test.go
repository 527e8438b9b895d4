package jobs

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/remote"
)

// newOwnedHarness returns a harness whose owner has received the status of all workers.
func newOwnedHarness(workers int) *harness {
	s := newHarness(workers)
	s.takeOver()
	s.runFaultFree(time.Second)
	return s
}

// Guards against a job that fits no worker blocking the jobs behind it.
func TestImpossibleJobDoesNotBlock(t *testing.T) {
	c := qt.New(t)
	s := newOwnedHarness(2)
	c.Assert(s.submit("giant", "giant").Job.State, qt.Equals, pb.JobState_JOB_STATE_UNSCHEDULABLE)
	// The declaration fits a worker, but the learned peak is larger than any.
	s.owner.peaks["large"] = &peak{usage: remote.Resources{CPUMilli: 50_000}, at: s.now}
	s.submit("stuck", "large")
	s.submit("after", "small")
	s.runFaultFree(25 * time.Second)
	c.Assert(s.state("stuck"), qt.Equals, pb.JobState_JOB_STATE_QUEUED)
	c.Assert(s.owner.Get("stuck").Job.Reason, qt.Matches, "needs .* which no worker has")
	c.Assert(s.state("after"), qt.Equals, pb.JobState_JOB_STATE_DONE)
}

// Guards against starting work on a worker on which every task fails, and against
// jobs failing because of such a worker.
func TestFailingWorkerIsQuarantined(t *testing.T) {
	c := qt.New(t)
	s := newOwnedHarness(3)
	s.workers["w0"].failsAll = true
	s.runFor = func(remote.TaskSpec) time.Duration { return 5 * time.Second }
	for i := range 40 {
		s.submit(fmt.Sprintf("j%02d", i), "small")
	}
	s.runFaultFree(60 * time.Second)
	for i := range 40 {
		c.Assert(s.state(fmt.Sprintf("j%02d", i)), qt.Equals, pb.JobState_JOB_STATE_DONE)
	}
	failed := len(s.workers["w0"].tasks)
	c.Assert(failed < 20, qt.IsTrue, qt.Commentf("%d starts on the failing worker", failed))
	c.Assert(s.owner.workers["w0"].quarantines > 0, qt.IsTrue)
}

// Guards against the quarantine of healthy workers because of one job that always
// fails.
func TestFailingJobEnds(t *testing.T) {
	c := qt.New(t)
	s := newOwnedHarness(4)
	s.submit("bad", "small")
	for range 400 {
		s.step()
		for _, w := range s.workers {
			for ref, task := range w.tasks {
				if ref.Job == "bad" && task.state == remote.TaskRunning {
					task.state = remote.TaskFailed
				}
			}
		}
	}
	c.Assert(s.state("bad"), qt.Equals, pb.JobState_JOB_STATE_FAILED)
	c.Assert(s.owner.Get("bad").Job.FailedWorkers, qt.HasLen, 3)
	for _, w := range s.owner.workers {
		c.Assert(w.failures, qt.HasLen, 0)
		c.Assert(w.quarantines, qt.Equals, 0)
	}
}

// Guards against overloaded workers when jobs use ten times what they declare.
// Once the usage is reported, no worker stays over its capacity.
func TestDeclaredTooSmall(t *testing.T) {
	c := qt.New(t)
	s := newOwnedHarness(3)
	s.config.Jobs["small"].Needs = &pb.Resources{CpuMilli: 100, MemoryMib: 100}
	s.usageOf = func(remote.TaskSpec) remote.Resources { return remote.Resources{CPUMilli: 1000, MemoryMiB: 1000} }
	s.runFor = func(remote.TaskSpec) time.Duration { return time.Minute }
	for i := range 60 {
		s.submit(fmt.Sprintf("j%02d", i), "small")
	}
	s.runFaultFree(30 * time.Second)
	for _, w := range s.workers {
		used := remote.Resources{CPUMilli: 500, MemoryMiB: 500}
		for _, task := range w.tasks {
			if task.state == remote.TaskRunning {
				used = used.Add(task.usage)
			}
		}
		c.Assert(used.Fits(testCapacity), qt.IsTrue, qt.Commentf("%+v", used))
	}
	s.runFaultFree(20 * time.Minute)
	for i := range 60 {
		c.Assert(s.state(fmt.Sprintf("j%02d", i)), qt.Equals, pb.JobState_JOB_STATE_DONE)
	}
}

// Guards against jobs that never run because they declare ten times their usage.
func TestDeclaredTooLarge(t *testing.T) {
	c := qt.New(t)
	s := newOwnedHarness(2)
	s.usageOf = func(spec remote.TaskSpec) remote.Resources {
		return remote.Resources{CPUMilli: 300, MemoryMiB: 300}
	}
	for i := range 6 {
		s.submit(fmt.Sprintf("j%02d", i), "large")
	}
	s.runFaultFree(2 * time.Minute)
	for i := range 6 {
		c.Assert(s.state(fmt.Sprintf("j%02d", i)), qt.Equals, pb.JobState_JOB_STATE_DONE)
	}
	c.Assert(s.violations, qt.HasLen, 0)
}

// Guards against an urgent job waiting behind batch jobs, and against losing the
// batch jobs that it preempts.
func TestUrgentPreempts(t *testing.T) {
	c := qt.New(t)
	s := newOwnedHarness(2)
	s.runFor = func(remote.TaskSpec) time.Duration { return 10 * time.Minute }
	for i := range 6 {
		s.submit(fmt.Sprintf("b%02d", i), "small")
	}
	s.runFaultFree(3 * time.Second)
	s.submit("alert", "alert")
	s.runFaultFree(5600 * time.Millisecond)
	c.Assert(s.state("alert"), qt.Equals, pb.JobState_JOB_STATE_RUNNING)
	s.runFaultFree(30 * time.Minute)
	for i := range 6 {
		c.Assert(s.state(fmt.Sprintf("b%02d", i)), qt.Equals, pb.JobState_JOB_STATE_DONE)
	}
	c.Assert(s.violations, qt.HasLen, 0)
}

// Guards against a team using more than its quota.
func TestQuota(t *testing.T) {
	c := qt.New(t)
	s := newOwnedHarness(3)
	s.runFor = func(remote.TaskSpec) time.Duration { return 5 * time.Second }
	for i := range 5 {
		s.submit(fmt.Sprintf("q%d", i), "capped")
	}
	for range 200 {
		s.step()
		running := 0
		for _, w := range s.workers {
			for _, task := range w.tasks {
				if task.state == remote.TaskRunning {
					running++
				}
			}
		}
		c.Assert(running <= 2, qt.IsTrue)
	}
	for i := range 5 {
		c.Assert(s.state(fmt.Sprintf("q%d", i)), qt.Equals, pb.JobState_JOB_STATE_DONE)
	}
}

// Guards against accepting jobs that may be lost while the log is down. Batch jobs
// are refused as not run. Urgent ones are accepted once a worker has started them,
// and are recorded later.
func TestLogDown(t *testing.T) {
	c := qt.New(t)
	s := newOwnedHarness(2)
	s.logDown = true
	s.step()
	refusal := s.submit("b", "small").Failure
	c.Assert(refusal, qt.IsNotNil)
	c.Assert(refusal.Outcome, qt.Equals, pb.Outcome_OUTCOME_NOT_RUN)
	c.Assert(refusal.Retry, qt.IsTrue)
	c.Assert(s.submit("u", "alert").Wait, qt.IsTrue)
	for range 12 {
		s.step()
	}
	c.Assert(s.confirmed["u"], qt.IsTrue)
	c.Assert(s.accepted["u"], qt.IsFalse)
	s.runFaultFree(25 * time.Second)
	c.Assert(s.accepted["u"], qt.IsTrue)
	c.Assert(s.state("u"), qt.Equals, pb.JobState_JOB_STATE_DONE)
}

// Guards against losing the attempts of a worker that is silent for a long time or
// running them twice, and against waiting for them after the platform no longer
// lists the worker.
func TestSilentAndGoneWorker(t *testing.T) {
	c := qt.New(t)
	s := newOwnedHarness(1)
	s.runFor = func(remote.TaskSpec) time.Duration { return time.Hour }
	s.submit("j", "small")
	s.runFaultFree(2 * time.Second)
	s.workers["w0"].silent = true
	s.addWorker("w9")
	s.runFaultFree(time.Minute)
	c.Assert(s.owner.Get("j").Job.Worker, qt.Equals, "w0")
	for _, task := range s.workers["w0"].tasks {
		task.state = remote.TaskExpired
	}
	s.workers["w0"].destroyed = true
	s.runFaultFree(30 * time.Second)
	c.Assert(s.owner.Get("j").Job.Worker, qt.Equals, "w9")
	c.Assert(s.owner.Get("j").Job.Attempt, qt.Equals, int32(2))
	c.Assert(s.violations, qt.HasLen, 0)
}

// Guards against the cancellation of many jobs at once leaving attempts running,
// or leaving jobs queued until a planning pass.
func TestCancelManyJobs(t *testing.T) {
	c := qt.New(t)
	s := newOwnedHarness(3)
	s.runFor = func(remote.TaskSpec) time.Duration { return time.Hour }
	for i := range 200 {
		s.submit(fmt.Sprintf("j%03d", i), "small")
	}
	s.step()
	s.tick() // some starts are now in flight
	for i := range 200 {
		reply := s.owner.Cancel(fmt.Sprintf("j%03d", i), s.now)
		c.Assert(reply.Failure == nil, qt.IsTrue)
	}
	s.collectOutput()
	c.Assert(s.owner.batch.Len(), qt.Equals, 0)
	s.runFaultFree(10 * time.Second)
	for _, w := range s.workers {
		for ref, task := range w.tasks {
			c.Assert(task.state, qt.Not(qt.Equals), remote.TaskRunning, qt.Commentf("%s", ref))
		}
	}
	c.Assert(s.owner.jobs, qt.HasLen, 0)
}

// Guards against running a job again under an id whose finished job was dropped.
func TestIDOfDroppedJobIsRefused(t *testing.T) {
	c := qt.New(t)
	s := newOwnedHarness(1)
	s.runFor = func(remote.TaskSpec) time.Duration { return 5 * time.Second }
	s.owner.opts.maxFinished = 1
	first := s.now.UnixMilli()
	s.submit("first", "small")
	s.runFaultFree(10 * time.Second)
	s.submit("second", "small")
	s.runFaultFree(10 * time.Second)
	reply := s.owner.Submit(SubmitRequest{ID: "first", Name: "small", IssuedMS: first - maxClockSkew.Milliseconds()}, s.now)
	c.Assert(reply.Failure, qt.IsNotNil)
	c.Assert(reply.Failure.Status, qt.Equals, 410)
}

// Guards against an overloaded worker after a takeover: an assignment that was withdrawn
// before its start is started by the next owner if that reads no later record of it, so
// its capacity must not be given to other jobs before.
func TestWithdrawnAssignmentKeepsCapacity(t *testing.T) {
	c := qt.New(t)
	s := newOwnedHarness(1)
	s.submit("withdrawn", "large")
	s.append()
	s.readStream() // accepted
	s.advance(300 * time.Millisecond)
	s.tick() // assigned
	c.Assert(s.owner.Get("withdrawn").Job.State, qt.Equals, pb.JobState_JOB_STATE_STARTING)
	s.owner.Cancel("withdrawn", s.now)
	s.collectOutput()
	s.append()
	s.readStream() // the assignment; the cancellation is not recorded
	s.appends = nil
	s.logDown = true
	for n := range 2 {
		s.submit(fmt.Sprintf("urgent %d", n), "alert")
	}
	for range 4 {
		s.advance(250 * time.Millisecond)
		s.updateView(true)
		s.tick()
		for len(s.calls) > 0 {
			s.deliver(0, false, false)
		}
	}
	s.logDown = false
	s.takeOver()
	s.runFaultFree(4 * time.Second)
	c.Check(s.violations, qt.HasLen, 0)
}
