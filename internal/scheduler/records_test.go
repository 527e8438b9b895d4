package scheduler

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"gooseberryreel/internal/pb"
)

// simScheduledJob returns a job whose steps run in several rounds. The first is due
// after a delay.
func simScheduledJob(sim *simulation, id int, times int32, delay, interval time.Duration, steps ...*pb.StepSpec) *pb.Submission {
	sub := simJob(id, steps...)
	sub.Times, sub.FirstAtMs, sub.IntervalMs = times, sim.now.Add(delay).UnixMilli(), interval.Milliseconds()
	return sub
}

// Guards against tasks of a finished round that run again after a takeover: its
// record does not list its steps.
func TestFinishedRoundsDoNotRunAgain(t *testing.T) {
	c := qt.New(t)
	sim := newSimulation(1, 4)
	sub := simScheduledJob(sim, 1, 3, 0, 1500*time.Millisecond, simStepSpec(3, 500), simStepSpec(2, 500, 0))
	sim.submit(sub)
	for n := range 3 {
		sim.run(1400 * time.Millisecond)
		c.Assert(sim.starts, qt.Equals, 5*(n+1))
		sim.takeOver()
		sim.run(100 * time.Millisecond)
	}
	sim.run(3 * time.Second)
	c.Check(sim.violations, qt.HasLen, 0)
	c.Check(sim.starts, qt.Equals, 15)
	c.Check(sim.core.State(sub.GetId()), qt.Equals, pb.PublicState_PUBLIC_STATE_COMPLETED)
}

// Guards against a takeover that changes the state of a job: what the new owner
// would record of each restored job must be what the previous owner recorded, and
// the counts of tasks must agree with the tasks.
func TestRestoredStateEqualsRecord(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			checkRestoredHistory(qt.New(t), seed)
		})
	}
}

// checkRestoredHistory simulates a random history of all kinds of jobs and restores
// its records every 0.3 s.
func checkRestoredHistory(c *qt.C, seed uint64) {
	checked := 0
	sim := newSimulation(seed, 6)
	sim.faults = networkFaults{loseReply: 0.03, late: 0.03, drop: 0.03}
	kinds := slices.Sorted(maps.Keys(jobKinds))
	sim.taskFor = func(r AttemptID) simTask {
		return simTask{work: time.Duration(100+(r.Task*37+r.Step*61)%900) * time.Millisecond, fail: (r.Task+r.Number)%13 == 0}
	}
	for n := range 120 {
		sim.injectFault()
		if n%4 == 0 {
			sim.submit(jobKinds[kinds[sim.rng.IntN(len(kinds))]](sim, n+1))
		}
		if n%40 == 39 {
			sim.cancel(sim.subs[len(sim.subs)-1].GetId())
		}
		sim.run(100 * time.Millisecond)
		if n%3 == 0 {
			checked += sim.checkRestore(c)
		}
	}
	c.Check(checked > 200, qt.IsTrue, qt.Commentf("only %d records were checked", checked))
}

// waitingTasks returns the number of a round's tasks without a result or an attempt.
func (r *round) waitingTasks() int {
	n := 0
	for _, s := range r.steps {
		n += s.waiting
	}
	return n
}

// checkRestore restores each recorded job in a new core and returns their number.
func (sim *simulation) checkRestore(c *qt.C) int {
	core := New(Options{Epoch: sim.epoch + 1, Lease: 6 * time.Second, HarmLimit: 4 * time.Second, Retention: time.Hour}, sim.now)
	core.SetConfig(sim.config)
	core.blockTasks = cmp.Or(sim.blockTasks, core.blockTasks)
	for _, sub := range sim.subs {
		stored := sim.recorded[sub.GetId()]
		if stored == nil {
			continue
		}
		core.Restore(sub, stored, sim.now)
		j := core.jobs[sub.GetId()]
		var queued map[int]bool
		if j.blocks != nil {
			queued = maps.Clone(j.blocks.changed)
			for number := range j.blocks.stored {
				j.blocks.changed[number] = true
			}
		}
		// Rounds that have become due since the record are open now, and untouched.
		open, known := j.rounds, int(stored.State.GetNextRound())
		if n, _ := j.findRound(known); j.active() && known < j.nextRound {
			for _, r := range j.rounds[n:] {
				c.Check(r.waitingTasks(), qt.Equals, j.roundTasks)
			}
			j.rounds, j.nextRound = j.rounds[:n], known
		}
		again := j.record()
		j.rounds = open
		again.State.EndedMs = stored.State.GetEndedMs() // the new owner allows for the clock of the earlier one
		c.Check(proto.Equal(again.State, stored.State), qt.IsTrue, qt.Commentf("recorded %v, restored %v", stored.State, again.State))
		c.Check(len(again.Blocks), qt.Equals, len(stored.Blocks))
		for number, block := range stored.Blocks {
			if again.Blocks[number] == nil {
				// A part of a batch was stored: the state without the round, but not yet the removal.
				c.Check(queued[number], qt.IsTrue, qt.Commentf("block %d of %v is not removed", number, stored.State))
				j.blocks.eachTask(j, number, func(s *step, _ int) { c.Check(s == nil, qt.IsTrue) })
				continue
			}
			c.Check(proto.Equal(again.Blocks[number], block), qt.IsTrue, qt.Commentf("block %d recorded %v, restored %v", number, block, again.Blocks[number]))
		}
		for _, r := range j.rounds {
			for _, s := range r.steps {
				unfinished, waiting := s.count()-s.nextTask, s.count()-s.nextTask
				for _, t := range s.tasks {
					if !t.done {
						unfinished++
						if !t.assigned() {
							waiting++
						}
					}
				}
				c.Check([]int{s.unfinished, s.waiting}, qt.DeepEquals, []int{unfinished, waiting}, qt.Commentf("job %s, round %d, step %d", sub.GetId(), r.number, s.index))
			}
		}
	}
	return len(core.jobs)
}
