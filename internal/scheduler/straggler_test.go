package scheduler

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"gooseberryreel/internal/pb"
)

// stragglerRun is the outcome of a replay with slow workers.
type stragglerRun struct {
	onTime, onTimeSpeculative float64       // shares of the jobs
	p95, p95Speculative       time.Duration // age at completion
	coreSeconds               float64       // used by all attempts
	copies                    int
	copiesUnderLoad           int // from 20 s to 60 s
}

// replayStragglers runs a minute of urgent jobs on 30 workers of 16 cores. Of the
// workers, slowWorkers at a time are 5 to 8 times slow and fail half of their tasks, for
// 6 s each. The core knows the workers' speeds if speedKnown is set.
func replayStragglers(seed uint64, disabled disabledRules, jobsPerSecond float64, slowWorkers int, speedKnown bool) stragglerRun {
	sim := newSimulation(seed, 30)
	if speedKnown {
		disabled.knownSpeed = func(w *worker) float64 { return 1 / max(sim.byAddress[w.entry.Address].slow, 1) }
	}
	sim.disabled, sim.core.disabled, sim.unchecked = disabled, disabled, true
	sim.config.Queues[0].Stretch, sim.config.Queues[0].Allowance = 1.5, 300*time.Millisecond
	for _, sw := range sim.workers {
		sw.capacity = Resources{16000, 64000, 0}
		sim.core.SetWorker(sw.entry(), sim.now)
	}
	rng := rand.New(rand.NewPCG(seed, 17))
	works := make(map[string]time.Duration)
	sim.taskFor = func(id AttemptID) simTask { return simTask{work: works[id.TaskName()]} }
	var out stragglerRun
	ends := make(map[AttemptID]time.Time)
	began := make(map[AttemptID]time.Time)
	sim.onEnd = func(id AttemptID, _ string, _ EndReason) { ends[id] = sim.now }
	type waiting struct {
		sub       *pb.Submission
		at        time.Time
		objective time.Duration
	}
	var open []waiting
	ages, agesSpeculative := []time.Duration{}, []time.Duration{}
	next, jobs, speculative := sim.now, 0, 0
	slow := make([]*simWorker, slowWorkers)
	for tick := range 9000 {
		if tick%600 == 0 {
			for n, sw := range slow {
				if sw != nil {
					sw.slow = 0
				}
				if tick < 6000 {
					slow[n] = sim.workers[rng.IntN(len(sim.workers))]
					slow[n].slow = 5 + 3*rng.Float64()
				}
			}
		}
		for ; tick < 6000 && !sim.now.Before(next); next = next.Add(time.Duration(rng.ExpFloat64() / jobsPerSecond * float64(time.Second))) {
			jobs++
			sub := simJob(jobs)
			path := time.Duration(0)
			estimate := 540 * math.Exp(0.4*rng.NormFloat64())
			for s := range 1 + rng.IntN(2) {
				spec := simStepSpec(10, 2000)
				if s > 0 {
					spec.After = []int32{0}
				}
				spec.EstimateMs, spec.Speculative = int64(estimate), jobs%10 < 3
				sub.Steps = append(sub.Steps, spec)
				longest := time.Duration(0)
				for n := range 10 {
					w := estimate * math.Exp(0.5*rng.NormFloat64())
					if rng.Float64() < 0.03 {
						w *= 7
					}
					work := time.Duration(w * float64(time.Millisecond))
					works[AttemptID{Job: sub.Id, Step: s, Task: n}.TaskName()] = work
					longest = max(longest, work)
				}
				path += longest
			}
			sub.Queue, sub.Service, sub.MaxAttempts, sub.Stretch, sub.TargetMs = "q", "s", 3, 1.5, 300
			if sub.Steps[0].Speculative {
				speculative++
			}
			sim.submit(sub)
			open = append(open, waiting{sub, sim.now, path*3/2 + 300*time.Millisecond})
		}
		core := sim.core
		for _, w := range core.workerList {
			for _, a := range w.list {
				if _, known := began[a.attemptID]; !known && !a.startedAt.IsZero() {
					began[a.attemptID] = a.startedAt
					if a.copy && tick >= 2000 && tick < 6000 {
						out.copiesUnderLoad++
					}
					if a.copy {
						out.copies++
					}
				}
			}
		}
		sim.step()
		open = slices.DeleteFunc(open, func(w waiting) bool {
			state := core.State(w.sub.Id)
			if state != pb.PublicState_PUBLIC_STATE_COMPLETED {
				return false
			}
			age := sim.now.Sub(w.at)
			ages = append(ages, age)
			if w.sub.Steps[0].Speculative {
				agesSpeculative = append(agesSpeculative, age)
			}
			if age <= w.objective {
				out.onTime++
				if w.sub.Steps[0].Speculative {
					out.onTimeSpeculative++
				}
			}
			return true
		})
	}
	slices.Sort(ages)
	slices.Sort(agesSpeculative)
	out.p95, out.p95Speculative = ages[len(ages)*95/100], agesSpeculative[len(agesSpeculative)*95/100]
	out.onTime /= float64(jobs)
	out.onTimeSpeculative /= float64(speculative)
	for id, at := range began {
		out.coreSeconds += 2 * ends[id].Sub(at).Seconds()
	}
	return out
}

func (r stragglerRun) add(o stragglerRun) stragglerRun {
	r.onTime, r.onTimeSpeculative, r.coreSeconds = r.onTime+o.onTime, r.onTimeSpeculative+o.onTimeSpeculative, r.coreSeconds+o.coreSeconds
	r.p95, r.p95Speculative, r.copies = r.p95+o.p95, r.p95Speculative+o.p95Speculative, r.copies+o.copies
	return r
}

// Guards against copies on a full pool, where each takes the capacity that other work
// waits for.
func TestNoCopiesOnFullPool(t *testing.T) {
	skipLong(t)
	full := replayStragglers(5, disabledRules{}, 27, 0, false)
	t.Logf("full: %+v", full)
	healthy, none := replayStragglers(5, disabledRules{}, 6, 0, false), replayStragglers(5, disabledRules{noCopies: true}, 6, 0, false)
	t.Logf("healthy: %+v, without copies %+v", healthy, none)
	qt.Check(t, full.copiesUnderLoad, qt.Equals, 0)
	qt.Check(t, healthy.onTime >= none.onTime, qt.IsTrue)
	qt.Check(t, healthy.coreSeconds-none.coreSeconds < 0.02*480*60, qt.IsTrue)
}

// speculativeHistory simulates a random history of speculative and other jobs with slow
// workers, lost and late commands, restarts and takeovers.
func speculativeHistory(c *qt.C, seed uint64, disabled disabledRules) (sim *simulation, copies int) {
	sim = newSimulation(seed, 6)
	sim.disabled, sim.core.disabled = disabled, disabled
	sim.faults = networkFaults{loseReply: 0.03, late: 0.05, drop: 0.03}
	sim.taskFor = func(r AttemptID) simTask {
		return simTask{work: time.Duration(100+(r.Task*37+r.Step*61)%900) * time.Millisecond, fail: (r.Task+3*r.Number)%13 == 0}
	}
	sim.onStart = func(id AttemptID, sw *simWorker) {
		if len(sim.runningOn[id.TaskName()]) > 1 {
			copies++
		}
	}
	for n := range 300 {
		sim.injectFault()
		sw := sim.workers[sim.rng.IntN(len(sim.workers))]
		switch sim.rng.IntN(15) {
		case 0:
			sw.slow = 7
		case 1, 2:
			sw.slow = 0
		}
		if n%8 == 0 {
			s := simStepSpec(4, 1500)
			s.Speculative, s.Spread, s.Checkpoints = n%16 == 0, int32(n/16%3), n%48 == 0
			sim.submit(simJob(n+1, s, simStepSpec(2, 1000, 0)))
		}
		if n%56 == 55 {
			sim.cancel(sim.subs[len(sim.subs)-1].GetId())
		}
		sim.run(100 * time.Millisecond)
		if n%3 == 0 && c != nil {
			sim.checkRestore(c)
		}
	}
	sim.clearFaults()
	for _, sw := range sim.workers {
		sw.slow = 0
	}
	sim.run(30 * time.Second)
	return sim, copies
}

// Guards against what two attempts at a task may break: more than two at once or two on
// one worker, two attempts where they are not allowed, a start after a worker was told
// to discard the completion, wrong counts, jobs that never end, and a takeover that
// restores another state than was recorded.
func TestSpeculativeHistories(t *testing.T) {
	seeds := 100
	if testing.Short() {
		seeds = 10
	}
	total := 0
	for seed := range seeds {
		c := qt.New(t)
		sim, copies := speculativeHistory(c, uint64(seed), disabledRules{})
		total += copies
		c.Check(sim.violations, qt.HasLen, 0, qt.Commentf("seed %d", seed))
		sim.logViolation(t)
		for id, s := range sim.states() {
			ended := s == pb.PublicState_PUBLIC_STATE_COMPLETED || s == pb.PublicState_PUBLIC_STATE_FAILED || s == pb.PublicState_PUBLIC_STATE_CANCELLED
			c.Check(ended, qt.IsTrue, qt.Commentf("seed %d, job %s: %v", seed, id, s))
		}
		for name, on := range sim.runningOn {
			c.Check(on, qt.HasLen, 0, qt.Commentf("seed %d: %s still runs", seed, name))
		}
	}
	t.Logf("%d times two attempts ran at once in %d histories", total, seeds)
	qt.Check(t, total > seeds, qt.IsTrue)
}

// Guards against a worker that discards the completion of a task while the start of its
// copy is still on its way: the copy then starts after the completion was noted.
func TestCompletionIsKeptUntilCopiesAreSettled(t *testing.T) {
	lateStarts := func(disabled disabledRules) (broken int) {
		for seed := range uint64(60) {
			sim := newSimulation(seed, 3)
			sim.disabled, sim.core.disabled = disabled, disabled
			sim.taskFor = func(AttemptID) simTask { return simTask{work: 800 * time.Millisecond} }
			for _, sw := range sim.workers {
				sw.slow = 4
			}
			s := simStepSpec(1, 1000)
			s.Speculative = true
			sim.submit(simJob(1, s))
			var copied *attempt
			for copied == nil && sim.now.Before(time.UnixMilli(1_700_000_000_000).Add(5*time.Second)) {
				sim.step()
				for _, w := range sim.core.workerList {
					for _, a := range w.list {
						if a.copy {
							copied = a
						}
					}
				}
			}
			// The start of the copy is delayed, and its worker answers nothing else.
			sim.faults.late = 1
			for !copied.recorded {
				sim.step()
			}
			sim.faults.late = 0
			sim.byAddress[copied.worker.entry.Address].unreachable = true
			for _, sw := range sim.workers {
				sw.slow = 0
			}
			sim.run(15 * time.Second)
			qt.Check(t, stateName(sim.core.State(simJob(1).Id)), qt.Equals, "completed")
			if len(sim.violations) > 0 {
				broken++
			}
		}
		return broken
	}
	without := lateStarts(disabledRules{discardEarly: true})
	t.Logf("%d of 60 histories violate an invariant without it", without)
	qt.Check(t, without > 0, qt.IsTrue)
	qt.Check(t, lateStarts(disabledRules{}), qt.Equals, 0)
}

// copiedTask returns a simulation in which the only task of a job has two attempts, and
// these.
func copiedTask(c *qt.C, seed uint64) (sim *simulation, original, copied *attempt) {
	sim = newSimulation(seed, 3)
	sim.taskFor = func(AttemptID) simTask { return simTask{work: 30 * time.Second} }
	s := simStepSpec(1, 1000)
	s.Speculative = true
	sim.submit(simJob(1, s))
	sim.run(3 * time.Second)
	attempts := sim.firstTask(simJob(1).Id).attempts
	c.Assert(attempts, qt.HasLen, 2)
	return sim, attempts[0], attempts[1]
}

// endAt ends an attempt on its worker.
func (sim *simulation) endAt(a *attempt, reason EndReason) {
	sw := sim.byAddress[a.worker.entry.Address]
	sw.finish(sw.active[a.attemptID], reason)
	sw.answerHold()
	sim.run(100 * time.Millisecond)
}

// Guards against the end of one of two attempts that ends the other, starts a third, is
// counted wrongly or changes what a new owner restores.
func TestEndOfOneOfTwoAttempts(t *testing.T) {
	for _, takeover := range []bool{false, true} {
		for _, reason := range []EndReason{EndFailed, EndStopped, EndDone} {
			for _, endCopy := range []bool{false, true} {
				c := qt.New(t)
				sim, original, copied := copiedTask(c, 1)
				task := func() *task { return sim.firstTask(simJob(1).Id) }
				sim.checkRestore(c)
				ended, other := original, copied
				if endCopy {
					ended, other = copied, original
				}
				if takeover {
					sim.takeOver()
					sim.run(500 * time.Millisecond)
					c.Assert(task().attempts, qt.HasLen, 2)
				}
				sim.endAt(ended, reason)
				sim.run(time.Second)
				sim.checkRestore(c)
				c.Check(sim.starts, qt.Equals, 2)
				c.Check(sim.violations, qt.HasLen, 0)
				if reason == EndDone {
					c.Check(stateName(sim.core.State(simJob(1).Id)), qt.Equals, "completed")
					c.Check(sim.runningOn[AttemptID{Job: simJob(1).Id}.TaskName()], qt.HasLen, 0)
					continue
				}
				c.Assert(task().attempts, qt.HasLen, 1)
				c.Check(task().attempts[0].attemptID, qt.Equals, other.attemptID)
				c.Check(task().failures, qt.Equals, map[bool]int{true: 1}[reason == EndFailed])
				c.Check(task().step.waiting, qt.Equals, 0)
			}
		}
	}
}

// Guards against a job that fails at the limit of failed attempts while another attempt
// can complete the task, and against one that does not fail after that.
func TestLimitOfFailuresWithTwoAttempts(t *testing.T) {
	for _, last := range []EndReason{EndDone, EndStopped} {
		c := qt.New(t)
		sim, original, copied := copiedTask(c, 2)
		original.task.failures = 2 // of 3
		sim.endAt(copied, EndFailed)
		c.Check(stateName(sim.core.State(simJob(1).Id)), qt.Equals, "begun")
		sim.endAt(original, last)
		sim.run(time.Second)
		c.Check(stateName(sim.core.State(simJob(1).Id)), qt.Equals, map[EndReason]string{EndDone: "completed", EndStopped: "failed"}[last])
		c.Check(sim.starts, qt.Equals, 2)
	}
}

// Guards against a copy that takes the capacity that a wide task of the same priority
// waits for, while there is some free for the copy. Work of a lower priority and
// steps that can run nowhere don't prevent it.
func TestNoCopyWhileUrgentWorkWaits(t *testing.T) {
	for name, tc := range map[string]struct {
		change func(*pb.Submission)
		copies bool
	}{
		"same priority":         {func(*pb.Submission) {}, false},
		"lower priority":        {func(sub *pb.Submission) { sub.Priority = 1 }, true},
		"label that none has":   {func(sub *pb.Submission) { sub.Steps[0].RequiredLabel = "none" }, true},
		"label of some workers": {func(sub *pb.Submission) { sub.Steps[0].RequiredLabel = "a" }, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			sim := newSimulation(1, 2)
			sim.taskFor = func(AttemptID) simTask { return simTask{work: 30 * time.Second} }
			sim.submit(simJob(1, simStepSpec(2, 1000)))
			sim.run(100 * time.Millisecond)
			s := simStepSpec(1, 1000)
			s.Speculative = true
			sim.submit(simJob(2, s))
			sim.run(100 * time.Millisecond)
			wide := simJob(3, simStepSpec(1, 8000))
			wide.Queue, wide.Service, wide.MaxAttempts, wide.Stretch, wide.TargetMs = "q", "s", 3, 2, 1000
			tc.change(wide)
			sim.submit(wide)
			sim.run(4 * time.Second)
			c.Check(sim.starts, qt.Equals, 3+map[bool]int{true: 1}[tc.copies])
			c.Check(sim.violations, qt.HasLen, 0)
		})
	}
}

// Guards against copies that make a task that crashes its workers crash more of them:
// its job must fail after as many crashes as without copies.
func TestCopiesOfTaskThatCrashesWorkers(t *testing.T) {
	for seed := range uint64(10) {
		c := qt.New(t)
		sim := newSimulation(seed, 12)
		sim.taskFor = func(AttemptID) simTask { return simTask{work: 30 * time.Second, crashAfter: 2 * time.Second} }
		s := simStepSpec(1, 1000)
		s.Speculative = true
		sim.submit(simJob(1, s))
		sub := sim.subs[0]
		sub.MaxAttempts = 10
		sim.config.Queues[0].MaxAttempts = 10
		sim.run(60 * time.Second)
		c.Check(stateName(sim.core.State(sub.Id)), qt.Equals, "failed")
		c.Check(sim.crashes <= maxCrashes, qt.IsTrue, qt.Commentf("%d crashes", sim.crashes))
		c.Check(sim.violations, qt.HasLen, 0)
		t.Logf("seed %d: %d crashes, %d starts", seed, sim.crashes, sim.starts)
	}
}
