package jobs

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/remote"
)

const (
	baselineUS = 10_000
	// busyRequests per second keep half of a target's slots in use at the baseline
	// latency.
	busyRequests = 400
	// lightRequests per second keep a target at the lowest load level even when its
	// latency triples.
	lightRequests = 50
)

// serve runs the harness for d and reports a digest per target and second, with the
// given number of requests. Each running task on a target's worker slows the target
// down by excess of its job, and the target itself is slower by own.
func (s *harness) serve(d time.Duration, requests int64, excess, own map[string]float64) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.runFaultFree(time.Second)
		var digests []*pb.LatencyDigest
		for i := range s.targets {
			t := &s.targets[i]
			factor := 1 + own[t.Name]
			for _, task := range s.workers[t.Worker].tasks {
				if task.state == remote.TaskRunning {
					factor += excess[s.owner.jobs[task.spec.Ref.Job].rec.Name] * float64(task.percent) / 100
				}
			}
			digests = append(digests, &pb.LatencyDigest{
				Service: t.Service, Target: t.Name, Requests: requests, MeanUs: int64(baselineUS * factor), PeriodMs: 1000,
			})
		}
		s.owner.ReportLatency(digests, s.now)
	}
}

// newNoisyHarness returns a harness whose owner has learned that the job "small"
// slows the service down. As many such jobs as there are workers have been
// submitted.
func newNoisyHarness(c *qt.C, workers int) *harness {
	s := newOwnedHarness(workers)
	s.runFor = func(remote.TaskSpec) time.Duration { return time.Hour }
	excess := map[string]float64{"small": 1}
	s.serve(10*time.Second, busyRequests, excess, nil)
	for range workers {
		s.submit(string(rune('a'+len(s.accepted))), "small")
	}
	s.serve(60*time.Second, busyRequests, excess, nil)
	c.Assert(s.owner.estimator.Slowdown("web", "small", 0.5) > 1.5, qt.IsTrue)
	return s
}

// Guards against a job that stays queued after the service load that held it back
// has ended, where every worker hosts the service.
func TestQueuedJobStartsAfterLoadEnds(t *testing.T) {
	c := qt.New(t)
	s := newNoisyHarness(c, 3)
	s.submit("late", "small")
	s.serve(2*time.Second, busyRequests, map[string]float64{"small": 1}, nil)
	c.Assert(s.state("late"), qt.Equals, pb.JobState_JOB_STATE_QUEUED)
	s.runFaultFree(30 * time.Second) // no requests, so no digests
	c.Assert(s.state("late"), qt.Equals, pb.JobState_JOB_STATE_RUNNING)
}

// Guards against a job that interference alone holds back for as long as the load
// lasts, where every worker hosts the service, and against a trial that starts
// several jobs or runs at full speed.
func TestHeldJobStartsOnTrial(t *testing.T) {
	c := qt.New(t)
	s := newNoisyHarness(c, 3)
	excess := map[string]float64{"small": 1}
	for _, id := range []string{"x", "y"} {
		s.submit(id, "small")
	}
	running := func() int {
		n := 0
		for _, id := range []string{"x", "y"} {
			if s.state(id) == pb.JobState_JOB_STATE_RUNNING {
				n++
			}
		}
		return n
	}
	s.serve(s.owner.opts.trialWait()-2*time.Second, busyRequests, excess, nil)
	c.Assert(running(), qt.Equals, 0)
	s.serve(5*time.Second, busyRequests, excess, nil)
	c.Assert(running(), qt.Equals, 1)
	s.serve(2*s.owner.opts.trialWait(), busyRequests, excess, nil)
	c.Assert(running(), qt.Equals, 1)
	c.Assert(s.owner.jobs["x"].attempt.percent, qt.Equals, 20)
	// The job no longer slows the service. The trial shows it, and the other job
	// starts.
	s.serve(2*s.owner.opts.trialWait(), busyRequests, nil, nil)
	c.Assert(running(), qt.Equals, 2)
	c.Assert(s.owner.jobs["x"].attempt.percent, qt.Equals, 100)
}

// Guards against attributing the latency of a target that is slow by itself to the
// jobs on its worker, which would throttle them, evict them or hold others back.
func TestSlowTargetIsNotBlamedOnJobs(t *testing.T) {
	slow := map[string]float64{"t-w0": 2}
	for _, test := range []struct {
		name    string
		workers int
		before  map[string]float64 // slow while no job runs
		during  map[string]float64 // slow once jobs run
	}{
		{"slow already without jobs", 3, slow, slow},
		{"becomes slow on a worker with jobs", 3, nil, slow},
		{"becomes slow on the only worker", 1, nil, slow},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := newOwnedHarness(test.workers)
			s.runFor = func(remote.TaskSpec) time.Duration { return time.Hour }
			s.serve(20*time.Second, lightRequests, nil, test.before)
			for i := range test.workers {
				s.submit(fmt.Sprint("job-", i), "small")
			}
			s.serve(10*time.Second, lightRequests, nil, test.before)
			s.serve(60*time.Second, lightRequests, nil, test.during)
			s.submit("next", "small")
			s.serve(20*time.Second, lightRequests, nil, test.during)
			for id, j := range s.owner.jobs {
				c.Check(j.rec.State, qt.Equals, pb.JobState_JOB_STATE_RUNNING, qt.Commentf("%s", id))
				c.Check(j.attempt.percent, qt.Equals, 100, qt.Commentf("%s", id))
				c.Check(j.rec.Evictions, qt.Equals, int32(0), qt.Commentf("%s", id))
			}
			c.Check(s.owner.estimator.Slowdown("web", "small", 0.5) < s.owner.thresholds.Place, qt.IsTrue,
				qt.Commentf("estimate %v", s.owner.estimator.Slowdown("web", "small", 0.5)))
		})
	}
}

// Guards against interference that is not detected, because the router sends the
// slowed target so few requests that no single digest has enough of them.
func TestInterferenceSeenWithFewRequests(t *testing.T) {
	c := qt.New(t)
	s := newOwnedHarness(3)
	s.runFor = func(remote.TaskSpec) time.Duration { return time.Hour }
	s.serve(20*time.Second, busyRequests, nil, nil)
	s.submit("noisy", "small")
	s.serve(3*time.Second, busyRequests, nil, nil)
	s.serve(60*time.Second, 2, map[string]float64{"small": 3}, nil)
	c.Check(s.owner.jobs["noisy"].attempt.percent < 100, qt.IsTrue)
	c.Check(s.owner.estimator.Slowdown("web", "small", 0) > 1.5, qt.IsTrue, qt.Commentf("estimate %v", s.owner.estimator.Slowdown("web", "small", 0)))
}
