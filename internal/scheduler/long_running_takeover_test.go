package scheduler

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"gooseberryreel/internal/pb"
)

// longRunningBesideShortTasks returns a simulation with more short tasks than fit, and a
// job of five long-running tasks, which run if submitted is set.
func longRunningBesideShortTasks(seed uint64, submitted bool) (*simulation, *pb.Submission) {
	sim := newSimulation(seed, 6)
	sim.taskFor = func(r AttemptID) simTask {
		if imageOf(r) < 100 {
			return simTask{longRunning: true, latencyMS: 5}
		}
		return simTask{work: 800 * time.Millisecond}
	}
	spec := simStepSpec(5, 3000)
	spec.Lasting = true
	job := simJob(1, spec)
	if submitted {
		sim.submit(job)
	}
	sim.run(2 * time.Second)
	for n := range 60 {
		sim.submit(simJob(100+n, simStepSpec(10, 2000)))
	}
	sim.run(time.Second)
	return sim, job
}

// simulateLongRunningOverTakeovers lets long-running tasks wait behind short ones that
// fill all workers, while the owner is replaced again and again. If ranBefore is set, the
// tasks have run before. It returns the time after which all of them run.
func simulateLongRunningOverTakeovers(seed uint64, ranBefore bool, between time.Duration) (time.Duration, *simulation) {
	sim, job := longRunningBesideShortTasks(seed, ranBefore)
	if ranBefore {
		attempts, on := sim.longRunningAttempts()
		for i, r := range attempts {
			on[i].finish(r, EndStopped)
		}
	} else {
		sim.submit(job)
	}
	since, tookOver := sim.now, sim.now
	for n := range 600 {
		if n%4 == 0 {
			sim.submit(simJob(200+n, simStepSpec(12, 2000)))
		}
		sim.run(100 * time.Millisecond)
		if attempts, _ := sim.longRunningAttempts(); len(attempts) == 5 {
			break
		}
		if sim.now.Sub(tookOver) >= between {
			sim.takeOver()
			tookOver = sim.now
		}
	}
	return sim.now.Sub(since), sim
}

// Guards against long-running tasks that never start because each new owner makes them
// wait behind short ones from zero again, and against new ones that go ahead of short
// ones at a takeover although they have not waited.
func TestLongRunningTasksWaitOverTakeovers(t *testing.T) {
	for _, test := range []struct {
		ranBefore bool
		between   time.Duration
		earliest  time.Duration
		limit     time.Duration
	}{
		{false, 5 * time.Second, newLongRunningMaxWait, newLongRunningMaxWait + 3*time.Second},
		{false, 2 * time.Second, newLongRunningMaxWait, newLongRunningMaxWait + 3*time.Second},
		{true, 2 * time.Second, 0, 9 * time.Second},
		{true, 2800 * time.Millisecond, 0, 9 * time.Second},
	} {
		t.Run(fmt.Sprintf("ran before %v, takeover every %v", test.ranBefore, test.between), func(t *testing.T) {
			c := qt.New(t)
			for seed := range uint64(4) {
				wait, sim := simulateLongRunningOverTakeovers(seed, test.ranBefore, test.between)
				t.Logf("seed %d: all long-running tasks run after %v, %d owners", seed, wait, sim.epoch)
				c.Check(wait > test.earliest && wait < test.limit, qt.IsTrue)
				c.Check(sim.violations, qt.HasLen, 0)
			}
		})
	}
}

// Guards against waits that a new owner overlooks or overrates: those of tasks received on
// another clock, of jobs without a record, of later rounds and of steps that could not
// start.
func TestRestoredWaits(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	step := simStepSpec(1, 1000)
	step.Lasting = true
	ran := &JobRecord{State: &pb.StoredJob{Rounds: []*pb.StoredRound{{Steps: []*pb.StoredStep{{Tasks: []*pb.StoredTask{{Run: 2}}}}}}}}
	assigned := &JobRecord{State: &pb.StoredJob{Rounds: []*pb.StoredRound{{Steps: []*pb.StoredStep{{Tasks: []*pb.StoredTask{
		{Run: 1, Attempts: []*pb.StoredAttempt{{Run: 1, Worker: "w0"}}}}}}}}}}
	for _, j := range []*JobRecord{ran, assigned} {
		j.State.Phase = pb.JobPhase_JOB_PHASE_ACTIVE
	}
	scheduled := &pb.Submission{Times: 2, FirstAtMs: now.Add(-3 * time.Second).UnixMilli(), IntervalMs: 2000}
	for _, test := range []struct {
		name   string
		sub    *pb.Submission
		age    time.Duration // of the submission
		record *JobRecord
		round  int
		step   int
		want   time.Duration
	}{
		{"new", &pb.Submission{}, 2 * time.Second, nil, 0, 0, 2 * time.Second},
		{"new, old", &pb.Submission{}, time.Hour, nil, 0, 0, restoredWait},
		{"received in the future", &pb.Submission{}, -time.Hour, nil, 0, 0, restoredWait},
		{"no time", &pb.Submission{}, time.Duration(now.UnixNano()), nil, 0, 0, restoredWait},
		{"ran before", &pb.Submission{}, 2 * time.Second, ran, 0, 0, restoredWait},
		{"assigned", &pb.Submission{}, 2 * time.Second, assigned, 0, 0, 0},
		{"first round", scheduled, time.Hour, nil, 0, 0, 3 * time.Second},
		{"second round", scheduled, time.Hour, nil, 1, 0, time.Second},
		{"step after another", &pb.Submission{}, 2 * time.Second, nil, 0, 1, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			after := proto.CloneOf(step)
			after.After = []int32{0}
			sub := proto.CloneOf(test.sub)
			sub.Id, sub.Steps, sub.ReceivedMs = "j", []*pb.StepSpec{step, after}, now.Add(-test.age).UnixMilli()
			core := New(Options{Epoch: 2, Lease: 6 * time.Second}, now)
			core.Restore(sub, test.record, now)
			s := core.jobs["j"].rounds[test.round].steps[test.step]
			s.openMore()
			qt.Assert(t, s.tasks[0].waitedBefore, qt.Equals, test.want)
		})
	}
}

// Guards against a long-running task that ended while no owner reached its worker, and then waits
// behind short ones from the time at which the next owner learns of its end.
func TestLongRunningTaskEndedBeforeTakeover(t *testing.T) {
	for _, how := range []string{"ended", "lost"} {
		t.Run(how, func(t *testing.T) {
			c := qt.New(t)
			sim, _ := longRunningBesideShortTasks(1, true)
			attempts, on := sim.longRunningAttempts()
			c.Assert(attempts, qt.HasLen, 5)
			for _, sw := range sim.workers {
				sw.unreachable = true
			}
			sim.takeOver() // an owner that reaches no worker
			since := sim.now
			for i, r := range attempts {
				if how == "ended" {
					on[i].finish(r, EndStopped)
				} else {
					delete(on[i].active, r.attemptID)
					sim.attemptEnded(r.attemptID, on[i].id, EndUnknown)
				}
			}
			sim.run(5500 * time.Millisecond)
			for _, sw := range sim.workers {
				sw.unreachable = false
			}
			sim.takeOver()
			for n := range 100 {
				sim.submit(simJob(200+n, simStepSpec(3, 2000)))
				sim.run(100 * time.Millisecond)
				if running, _ := sim.longRunningAttempts(); len(running) == 5 {
					break
				}
			}
			t.Logf("all long-running tasks run again after %v", sim.now.Sub(since))
			c.Check(sim.now.Sub(since) < 9*time.Second, qt.IsTrue)
			c.Check(sim.violations, qt.HasLen, 0)
		})
	}
}
