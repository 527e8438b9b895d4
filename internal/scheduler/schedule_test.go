package scheduler

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"gooseberryreel/internal/pb"
)

func simJob(id int, steps ...*pb.StepSpec) *pb.Submission {
	return &pb.Submission{Id: fmt.Sprintf("%016x", id), Steps: steps}
}

func simStepSpec(tasks int32, cpu int64, after ...int32) *pb.StepSpec {
	return &pb.StepSpec{Tasks: tasks, CpuMilli: cpu, MemoryMib: 500, EstimateMs: 400, After: after}
}

// Guards against a task that runs twice at once, runs again after its end was
// taken note of, or overloads a worker, under random faults: lost and late
// orders, cuts, restarted workers, and owners replaced at any moment whose
// orders are still under way. Each seed is one history.
func TestRandomHistories(t *testing.T) {
	seeds := 150
	if testing.Short() {
		seeds = 20
	}
	for seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			w := history(uint64(seed), faults{})
			c := qt.New(t)
			c.Check(w.violations, qt.HasLen, 0)
			w.explain(t)
			for id, s := range w.states() {
				ended := s == pb.PublicState_PUBLIC_STATE_COMPLETED || s == pb.PublicState_PUBLIC_STATE_FAILED || s == pb.PublicState_PUBLIC_STATE_CANCELLED
				c.Check(ended, qt.IsTrue, qt.Commentf("job %s: %v", id, s))
			}
		})
	}
}

// Guards against mechanisms that prevent nothing: with each switched off, some
// history breaks a promise.
func TestMechanisms(t *testing.T) {
	const seeds = 150
	for name, off := range map[string]faults{
		"wait for the lease of a silent worker":       {expireSilent: true},
		"record a start before it is sent":            {startUnrecorded: true},
		"confirm that an unanswered start is stopped": {trustUnanswered: true},
		"record an end before it is forgotten":        {forgetUnrecorded: true},
		"begin with cursor 0 after a restart":         {keepCursor: true},
	} {
		t.Run(name, func(t *testing.T) {
			broken := 0
			for seed := range seeds {
				if len(history(uint64(seed), off).violations) > 0 {
					broken++
				}
			}
			t.Logf("%d of %d histories break a promise without it", broken, seeds)
			qt.Assert(t, broken > 0, qt.IsTrue)
		})
	}
}

// history plays one random history and lets the site recover at its end.
func history(seed uint64, off faults) *world {
	w := newWorld(seed, 6)
	w.off = off
	w.core.faults = off
	w.faults = simFaults{loseAnswer: 0.03, late: 0.03, drop: 0.03}
	w.behave = func(r AttemptID) simTask {
		return simTask{work: time.Duration(100+(r.Task*37+r.Step*61)%900) * time.Millisecond, fail: (r.Task+r.Number)%13 == 0}
	}
	for n := range 400 {
		w.disturb()
		if n%8 == 0 && n < 240 {
			w.submit(simJob(n+1, simStepSpec(4, 2500), simStepSpec(3, 1500, 0)))
		}
		if n%56 == 0 && n > 0 {
			w.cancel(fmt.Sprintf("%016x", n+1))
		}
		w.run(100 * time.Millisecond)
	}
	w.heal()
	w.run(40 * time.Second)
	return w
}

// explain logs what happened to the first task that broke a promise.
func (w *world) explain(t *testing.T) {
	if len(w.violations) == 0 {
		return
	}
	task := strings.Split(strings.Fields(w.violations[0])[1], "#")[0]
	for _, line := range w.trace {
		if strings.Contains(line, task) || strings.Contains(line, "takeover") || strings.Contains(line, "restarts") || strings.Contains(line, "worker ") {
			t.Log(line)
		}
	}
}

// disturb changes what works, at random.
func (w *world) disturb() {
	switch sw := w.workers[w.rng.IntN(len(w.workers))]; w.rng.IntN(40) {
	case 0:
		sw.cut = true
	case 1, 2:
		sw.cut = false
	case 3:
		sw.restart()
		w.core.SetWorker(sw.entry(), w.now)
	case 4:
		sw.cut = false
		w.takeOver()
	}
	// A replaced owner wakes up and sends what it had in hand.
	if len(w.old) > 0 && w.rng.IntN(10) == 0 {
		o := w.old[0]
		w.old = w.old[1:]
		for _, order := range o.orders {
			for _, sw := range w.workers {
				if sw.id == order.Worker && !sw.cut {
					sw.take(order, func(CommandResult) {})
				}
			}
		}
	}
}

func (w *world) heal() {
	w.faults = simFaults{}
	for _, sw := range w.workers {
		sw.cut = false
	}
}

// Guards against a step that starts before all tasks of an earlier one are done.
func TestStepsInOrder(t *testing.T) {
	c := qt.New(t)
	w := newWorld(1, 4)
	first := 0
	w.behave = func(r AttemptID) simTask {
		if r.Step == 0 {
			first++
		} else if first < 5 || len(w.running[AttemptID{Job: r.Job, Task: 4}.TaskName()]) > 0 {
			w.violate("step 1 begins after %d starts of step 0", first)
		}
		return simTask{work: time.Duration(100+100*r.Task) * time.Millisecond}
	}
	w.submit(simJob(1, simStepSpec(5, 1000), simStepSpec(2, 1000, 0)))
	w.run(4 * time.Second)
	c.Assert(w.violations, qt.HasLen, 0)
	c.Assert(w.core.State(fmt.Sprintf("%016x", 1)), qt.Equals, pb.PublicState_PUBLIC_STATE_COMPLETED)
}

// Guards against a takeover that leaves tasks of a job running that was
// cancelled just before: the record says that the job has ended, and nothing
// else would stop them.
func TestTakeoverStopsTasksOfEndedJobs(t *testing.T) {
	c := qt.New(t)
	w := newWorld(1, 4)
	w.behave = func(AttemptID) simTask { return simTask{lasts: true} }
	step := simStepSpec(4, 1000)
	step.Lasting = true
	w.submit(simJob(1, step))
	w.run(2 * time.Second)
	c.Assert(w.starts, qt.Equals, 4)
	w.cancel(fmt.Sprintf("%016x", 1))
	// The end is recorded, the stops are lost with the owner.
	for _, j := range w.core.TakeBatch(w.now).Jobs {
		w.recorded[j.GetId()] = j
	}
	w.core.TakeOutput()
	w.takeOver()
	w.run(2 * time.Second)
	for name, on := range w.running {
		c.Check(on, qt.HasLen, 0, qt.Commentf("%s", name))
	}
}

// Guards against ends that a worker forgets before they are recorded: the next
// owner would start the tasks again.
func TestEndsAreForgottenOnlyWhenRecorded(t *testing.T) {
	c := qt.New(t)
	w := newWorld(3, 3)
	w.submit(simJob(1, simStepSpec(6, 1000), simStepSpec(6, 1000, 0)))
	for range 300 {
		w.run(20 * time.Millisecond)
		if w.rng.IntN(12) == 0 {
			w.takeOver()
		}
	}
	w.run(5 * time.Second)
	c.Assert(w.violations, qt.HasLen, 0)
	c.Assert(w.core.State(fmt.Sprintf("%016x", 1)), qt.Equals, pb.PublicState_PUBLIC_STATE_COMPLETED)
	c.Assert(w.starts, qt.Equals, 12)
}

// Guards against a task that is started elsewhere while its silent worker may
// still run it: the lease, and a clock that is 2 % slow, must be over.
func TestSilentWorkerKeepsItsTasksUntilTheLeaseIsOver(t *testing.T) {
	c := qt.New(t)
	w := newWorld(5, 2)
	w.workers[0].slow, w.workers[1].slow = 0.98, 0.98
	w.behave = func(AttemptID) simTask { return simTask{work: 30 * time.Second} }
	w.submit(simJob(1, simStepSpec(2, 5000)))
	w.run(time.Second)
	c.Assert(w.starts, qt.Equals, 2)
	w.workers[0].cut = true
	w.run(20 * time.Second)
	c.Assert(w.violations, qt.HasLen, 0)
	// The other worker has no room for both.
	c.Assert(w.starts, qt.Equals, 2)
	w.workers[0].cut = false
	w.run(5 * time.Second)
	c.Assert(w.starts, qt.Equals, 3)
}

// Guards against a start on a worker that has been idle for longer than a lease:
// its last lease is over, and the new attempt must not count as expired with it.
func TestStartOnIdleWorker(t *testing.T) {
	c := qt.New(t)
	w := newWorld(1, 1)
	w.run(15 * time.Second)
	w.submit(simJob(1, simStepSpec(4, 500)))
	w.run(200 * time.Millisecond)
	c.Assert(w.starts, qt.Equals, 4)
	for _, a := range w.core.workers["w0"].list {
		c.Check(a.attemptID.Number, qt.Equals, 1)
	}
}

// Guards against a limit on equal tasks of one worker that retries or a
// takeover get around.
func TestSpread(t *testing.T) {
	c := qt.New(t)
	w := newWorld(1, 4)
	step := simStepSpec(6, 500)
	step.Spread = 1
	w.behave = func(AttemptID) simTask { return simTask{work: time.Second} }
	w.submit(simJob(1, step))
	w.run(500 * time.Millisecond)
	c.Assert(w.starts, qt.Equals, 4)
	w.takeOver()
	w.run(3 * time.Second)
	c.Assert(w.starts, qt.Equals, 6)
	c.Assert(w.core.State(fmt.Sprintf("%016x", 1)), qt.Equals, pb.PublicState_PUBLIC_STATE_COMPLETED)
}

// Guards against a gang that starts in part, and one that is spread over racks
// though a rack has room.
func TestGang(t *testing.T) {
	c := qt.New(t)
	w := newWorld(1, 4)
	w.submit(simJob(1, simStepSpec(3, 6000)))
	gang := simStepSpec(4, 3500)
	gang.Gang, gang.SameRack = true, true
	racks := make(map[string]int)
	w.behave = func(r AttemptID) simTask { return simTask{work: time.Second} }
	w.run(200 * time.Millisecond)
	w.submit(simJob(2, gang))
	w.run(300 * time.Millisecond)
	c.Assert(w.starts, qt.Equals, 3) // no room for all four
	w.run(1200 * time.Millisecond)
	for _, sw := range w.workers {
		racks[sw.rack] += len(sw.active)
	}
	c.Assert(w.starts, qt.Equals, 7)
	c.Assert(racks["r0"] == 4 || racks["r1"] == 4, qt.IsTrue, qt.Commentf("%v", racks))
	w.run(2 * time.Second)
	c.Assert(w.core.State(fmt.Sprintf("%016x", 2)), qt.Equals, pb.PublicState_PUBLIC_STATE_COMPLETED)
}

// Guards against attempts that are spent on a worker that fails everything.
func TestWorkerThatFailsEverythingIsKeptOut(t *testing.T) {
	c := qt.New(t)
	w := newWorld(1, 4)
	bad := w.workers[0]
	w.behave = func(r AttemptID) simTask {
		return simTask{work: 50 * time.Millisecond, fail: bad.active[r] != nil || bad.taking(r)}
	}
	for n := range 20 {
		w.submit(simJob(n+1, simStepSpec(4, 1500)))
		w.run(300 * time.Millisecond)
	}
	w.run(5 * time.Second)
	for id, s := range w.states() {
		c.Check(s, qt.Equals, pb.PublicState_PUBLIC_STATE_COMPLETED, qt.Commentf("%s", id))
	}
}

// taking reports whether the newest start was placed on the worker.
func (sw *simWorker) taking(r AttemptID) bool {
	a := sw.w.core.workers[sw.id].attempts[r]
	return a != nil
}

// Guards against a job that fails although none of its tasks failed as often as
// allowed, and against more attempts than allowed.
func TestAttempts(t *testing.T) {
	c := qt.New(t)
	w := newWorld(1, 4)
	w.behave = func(r AttemptID) simTask { return simTask{work: 50 * time.Millisecond, fail: r.Task == 0} }
	w.submit(simJob(1, simStepSpec(2, 500)))
	w.run(3 * time.Second)
	c.Assert(w.core.State(fmt.Sprintf("%016x", 1)), qt.Equals, pb.PublicState_PUBLIC_STATE_FAILED)
	c.Assert(w.starts, qt.Equals, 4) // three for task 0, one for task 1
}

// Guards against a task that stands still for good on a worker that answers.
func TestStalledTaskIsReplaced(t *testing.T) {
	c := qt.New(t)
	w := newWorld(1, 2)
	w.submit(simJob(1, simStepSpec(1, 500)))
	w.run(150 * time.Millisecond)
	c.Assert(w.starts, qt.Equals, 1)
	for _, sw := range w.workers {
		for _, r := range sw.active {
			r.stuck = true
		}
	}
	w.run(6 * time.Second)
	c.Assert(w.starts, qt.Equals, 2)
	c.Assert(w.core.State(fmt.Sprintf("%016x", 1)), qt.Equals, pb.PublicState_PUBLIC_STATE_COMPLETED)
}

// Guards against a job that is due later and starts early, and against rounds
// that are left out.
func TestScheduledRounds(t *testing.T) {
	c := qt.New(t)
	w := newWorld(1, 2)
	sub := simJob(1, simStepSpec(1, 500))
	sub.Times, sub.FirstAtMs, sub.IntervalMs = 3, w.now.Add(time.Second).UnixMilli(), 2000
	w.submit(sub)
	w.run(900 * time.Millisecond)
	c.Assert(w.starts, qt.Equals, 0)
	w.run(500 * time.Millisecond)
	c.Assert(w.starts, qt.Equals, 1)
	w.takeOver()
	w.run(5 * time.Second)
	c.Assert(w.starts, qt.Equals, 3)
	c.Assert(w.core.State(sub.GetId()), qt.Equals, pb.PublicState_PUBLIC_STATE_COMPLETED)
}

// Guards against services that end with a worker that leaves, and are away until
// its lease is over: they move while it still serves.
func TestLeavingWorkerIsEvacuated(t *testing.T) {
	away := func(off faults) time.Duration {
		w := newWorld(1, 3)
		w.off, w.core.faults = off, off
		w.behave = func(AttemptID) simTask { return simTask{lasts: true} }
		step := simStepSpec(4, 2000)
		step.Lasting = true
		w.submit(simJob(1, step))
		w.run(time.Second)
		var leaving *simWorker
		for _, sw := range w.workers {
			if len(sw.active) > 0 {
				leaving = sw
			}
		}
		entry := leaving.entry()
		entry.Draining = true
		w.core.SetWorker(entry, w.now)
		away := time.Duration(0)
		for n := range 1200 {
			if n == 250 {
				leaving.restart() // it is gone
				leaving.cut = true
				w.core.RemoveWorker(leaving.id, w.now)
			}
			w.step()
			present := 0
			for _, on := range w.running {
				present += len(on)
			}
			away += time.Duration(4-present) * simStep
		}
		qt.Check(t, w.violations, qt.HasLen, 0)
		return away
	}
	with, without := away(faults{}), away(faults{skipEvacuation: true})
	t.Logf("tasks are away for %v in all, %v without evacuation", with, without)
	qt.Assert(t, with < time.Second, qt.IsTrue)
	qt.Assert(t, without > 5*time.Second, qt.IsTrue)
}
