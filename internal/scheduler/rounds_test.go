package scheduler

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"gooseberryreel/internal/pb"
)

// firstTask returns the first open task of a job's first open round.
func (sim *simulation) firstTask(id string) *task {
	s := sim.core.jobs[id].rounds[0].steps[0]
	s.openMore()
	return s.tasks[0]
}

// Guards against an owner that exceeds its memory, and whose successors do as well, since
// accepted work takes memory for tasks that are not due, wait for other steps or have no
// room.
func TestAcceptedWorkTakesLittleMemory(t *testing.T) {
	const (
		submissions = 32
		// perSubmission lets 64 of them take a quarter of the 284 MB of a machine.
		perSubmission = 284 << 20 / 4 / 64
	)
	now := time.UnixMilli(1_700_000_000_000)
	chain := make([]*pb.StepSpec, 20)
	wide := make([]*pb.StepSpec, 64)
	for n := range chain {
		chain[n] = simStepSpec(10_000, 64_000)
		if n > 0 {
			chain[n].After = []int32{int32(n - 1)}
		}
	}
	for n := range wide {
		wide[n] = simStepSpec(3_125, 64_000)
	}
	lasting := simStepSpec(2, 64_000)
	lasting.Lasting = true
	for name, sub := range map[string]*pb.Submission{
		"not due":                {Times: 43_200, FirstAtMs: now.Add(time.Hour).UnixMilli(), IntervalMs: 60_000, Steps: []*pb.StepSpec{simStepSpec(4, 64_000)}},
		"all rounds due":         {Times: 50_000, Steps: []*pb.StepSpec{simStepSpec(4, 64_000)}},
		"lasting rounds due":     {Times: 100_000, Steps: []*pb.StepSpec{lasting}},
		"due at the end of time": {Times: 100_000, FirstAtMs: now.Add(time.Hour).UnixMilli(), IntervalMs: 1 << 61, Steps: []*pb.StepSpec{simStepSpec(2, 64_000)}},
		"steps after others":     {Steps: chain},
		"no room":                {Steps: wide},
	} {
		t.Run(name, func(t *testing.T) {
			for _, restored := range []bool{false, true} {
				core := New(Options{Epoch: 2, Lease: 6 * time.Second, Retention: time.Hour}, now)
				core.SetConfig(newSimulation(1, 1).config)
				before := heapInUse()
				for n := range submissions {
					added := &pb.Submission{
						Id: fmt.Sprintf("%016x", n), Queue: "q", Service: "s", MaxAttempts: 3, Times: sub.Times, FirstAtMs: sub.FirstAtMs, IntervalMs: sub.IntervalMs, Steps: sub.Steps,
					}
					if restored {
						core.Restore(added, &JobRecord{State: &pb.StoredJob{Id: added.Id, Phase: pb.JobPhase_JOB_PHASE_ACTIVE}}, now)
					} else {
						core.Submit(added, now)
					}
				}
				core.Start(now)
				core.Pass(now.Add(time.Millisecond))
				core.TakeOutput()
				core.TakeBatch(now)
				taken := (heapInUse() - before) / submissions
				runtime.KeepAlive(core)
				t.Logf("restored %v: %d kB a submission", restored, taken>>10)
				qt.Check(t, taken < perSubmission, qt.IsTrue)
			}
		})
	}
}

func heapInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// Guards against state of rounds and tasks that is kept, in memory or in the store, after
// they have ended.
func TestEndedRoundsAreLetGo(t *testing.T) {
	for _, blockTasks := range []int{8, defaultBlockTasks} {
		t.Run(fmt.Sprint("blocks of ", blockTasks), func(t *testing.T) {
			c := qt.New(t)
			sim := newSimulation(1, 4)
			sim.blockTasks = blockTasks
			sim.takeOver()
			sim.taskFor = func(AttemptID) simTask { return simTask{work: 100 * time.Millisecond} }
			sub := simScheduledJob(sim, 1, 60, 0, 100*time.Millisecond, simStepSpec(3, 500), simStepSpec(2, 500, 0))
			sim.submit(sub)
			j := func() *job { return sim.core.jobs[sub.GetId()] }
			for n := range 80 {
				sim.run(100 * time.Millisecond)
				c.Check(len(j().rounds) <= 10, qt.IsTrue, qt.Commentf("%d rounds are open", len(j().rounds)))
				c.Check(len(sim.recorded[sub.GetId()].Blocks) <= 10, qt.IsTrue)
				if n%20 == 19 {
					sim.takeOver()
				}
			}
			sim.run(4 * time.Second)
			c.Check(sim.starts, qt.Equals, 60*5)
			c.Check(sim.violations, qt.HasLen, 0)
			c.Check(sim.core.State(sub.GetId()), qt.Equals, pb.PublicState_PUBLIC_STATE_COMPLETED)
			c.Check(j().rounds, qt.HasLen, 0)
		})
	}
}

// Guards against tasks that run again, or never, after a takeover of jobs that an earlier
// version has recorded, with all their rounds.
func TestRecordsThatListAllRounds(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	done := &pb.StoredTask{Done: true, Run: 1}
	running := &pb.StoredTask{Run: 1, Attempts: []*pb.StoredAttempt{{Run: 1, Worker: "w0"}}}
	untouched := &pb.StoredTask{}
	step := func(tasks ...*pb.StoredTask) []*pb.StoredStep { return []*pb.StoredStep{{Tasks: tasks}} }
	for name, record := range map[string]*JobRecord{
		"rounds": {State: &pb.StoredJob{Phase: pb.JobPhase_JOB_PHASE_ACTIVE, Rounds: []*pb.StoredRound{
			{Number: 0, Done: true}, {Number: 1, Steps: step(done, running)}, {Number: 2, Steps: step(untouched, untouched)}, {Number: 3, Steps: step(untouched, untouched)},
		}}},
		"blocks": {State: &pb.StoredJob{Phase: pb.JobPhase_JOB_PHASE_ACTIVE, Split: true}, Blocks: map[int]*pb.StoredTaskBlock{
			0: {Tasks: []*pb.StoredTask{done, done, done}}, 1: {Tasks: []*pb.StoredTask{running, untouched, untouched}},
		}},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			core := New(Options{Epoch: 2, Lease: 6 * time.Second, Retention: time.Hour}, now)
			if name == "blocks" {
				core.blockTasks = 3
			}
			sub := &pb.Submission{Id: "j", Times: 4, FirstAtMs: now.Add(-1500 * time.Millisecond).UnixMilli(), IntervalMs: 1000, Steps: []*pb.StepSpec{simStepSpec(2, 1000)}}
			core.Restore(sub, record, now)
			j := core.jobs["j"]
			c.Check(j.attempts, qt.Equals, 1)
			c.Check(j.roundByNumber(0), qt.IsNil)
			c.Check(j.roundByNumber(1).steps[0].unfinished, qt.Equals, 1)
			c.Check(j.roundByNumber(1).steps[0].taskByIndex(1).lastAttempt, qt.Equals, 1)
			core.SetConfig(newSimulation(1, 1).config)
			core.Start(now)
			core.Pass(now.Add(4 * time.Second))
			c.Check(j.roundByNumber(2).steps[0].waiting, qt.Equals, 2)
			c.Check(j.roundByNumber(3).steps[0].waiting, qt.Equals, 2)
			c.Check(core.inconsistencies(), qt.HasLen, 0)
		})
	}
}

// Guards against an owner that exceeds its memory since small tasks run in any number.
func TestRunningTasksTakeBoundedMemory(t *testing.T) {
	c := qt.New(t)
	sim := newSimulation(1, 40)
	sim.unchecked, sim.trace = true, nil
	sim.taskFor = func(AttemptID) simTask { return simTask{longRunning: true} }
	for _, sw := range sim.workers {
		sw.capacity = Resources{32_000, 128_000, 0}
		sim.core.SetWorker(sw.entry(), sim.now)
	}
	sim.run(500 * time.Millisecond)
	before := heapInUse()
	small := simStepSpec(10_000, 1)
	small.MemoryMib, small.Lasting = 1, true
	for n := range 3 {
		sim.submit(simJob(n, small, small, small, small))
	}
	for range 40 {
		sim.core.Pass(sim.now)
		sim.now = sim.now.Add(20 * time.Millisecond)
	}
	attempts := 0
	for _, w := range sim.core.workerList {
		attempts += len(w.list)
		c.Check(len(w.list) <= maxWorkerAttempts, qt.IsTrue)
	}
	c.Check(attempts > maxAttempts/2 && attempts <= maxAttempts, qt.IsTrue, qt.Commentf("%d attempts", attempts))
	taken := heapInUse() - before
	runtime.KeepAlive(sim)
	t.Logf("%d attempts, %d MB", attempts, taken>>20)
	c.Check(taken < 284<<20/3, qt.IsTrue, qt.Commentf("%d MB", taken>>20))
}
