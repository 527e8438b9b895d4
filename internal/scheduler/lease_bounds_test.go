package scheduler

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
)

// storeLeaseBounds stores the lease bounds of a batch.
func (sim *simulation) storeLeaseBounds(b *Batch) {
	if !b.LeaseBoundsTaken() {
		return
	}
	sim.leaseBounds = make(map[string]time.Duration)
	for _, bound := range b.LeaseBounds {
		sim.leaseBounds[bound.Worker] = bound.Left
	}
}

// confirmNoEarlierOwner lets the owner learn after a time that the earlier ones have stopped.
func (sim *simulation) confirmNoEarlierOwner() {
	if sim.confirmAfter == 0 {
		return
	}
	core := sim.core
	sim.after(sim.confirmAfter, func() {
		if core == sim.core {
			core.ConfirmNoEarlierOwner(sim.earlierOwners, sim.now)
			sim.earlierOwners = nil
		}
	})
}

// newLongRunningSimulation returns a simulation in which a long-running task has run on a
// worker for some seconds.
func newLongRunningSimulation(c *qt.C, seed uint64, workers int) (*simulation, *simWorker) {
	sim := newSimulation(seed, workers)
	sim.confirmAfter = 300 * time.Millisecond
	sim.taskFor = func(AttemptID) simTask { return simTask{longRunning: true} }
	s := simStepSpec(1, 1000)
	s.Lasting = true
	sim.submit(simJob(1, s))
	sim.run(5 * time.Second)
	attempts, on := sim.longRunningAttempts()
	c.Assert(attempts, qt.HasLen, 1)
	return sim, on[0]
}

// Guards against a takeover that starts the wait for the lease of a lost worker anew, and
// against a second one that does so again.
func TestTakeoversDelayNoRestart(t *testing.T) {
	const takeover = 3500 * time.Millisecond // from the loss of an owner to its successor's first command
	for _, lostAfter := range [][]time.Duration{
		{2 * time.Second}, {3 * time.Second}, {4 * time.Second}, {5 * time.Second}, {time.Second, 2 * time.Second}, {2500 * time.Millisecond, 1500 * time.Millisecond},
	} {
		c := qt.New(t)
		sim, sw := newLongRunningSimulation(c, 1, 3)
		lost := sim.now
		sim.darken(sw)
		for _, after := range lostAfter {
			sim.run(after)
			sim.ownerDown(takeover)
		}
		starts := sim.starts
		for sim.starts == starts && sim.now.Sub(lost) < time.Minute {
			sim.step()
		}
		// The last owner may have renewed leases until just before its loss, and had taken
		// the bounds up to leaseBoundInterval earlier.
		limit := max(sim.core.opts.longestLease()+time.Duration(len(lostAfter))*(leaseBoundInterval+200*time.Millisecond), sim.core.startedAt.Sub(lost)) + 500*time.Millisecond
		t.Logf("owners lost after %v: restart %v after the loss of the worker", lostAfter, sim.now.Sub(lost))
		c.Check(sim.now.Sub(lost) <= limit, qt.IsTrue, qt.Commentf("%v, limit %v", sim.now.Sub(lost), limit))
		c.Check(sim.violations, qt.HasLen, 0)
	}
}

// darken cuts a worker off. The hold that it has received is not answered any more.
func (sim *simulation) darken(sw *simWorker) {
	sw.unreachable = !sw.resets
	if h := sw.pendingHold; h != nil {
		core := sim.core
		sw.pendingHold = nil
		timeout := h.until.Sub(sim.now) + 700*time.Millisecond
		if sw.resets {
			timeout = simStep
		}
		sim.after(timeout, func() {
			if core == sim.core {
				core.CommandDone(CommandResult{Command: h.command, Err: errors.New("no answer")}, sim.now)
			}
		})
	}
}

// ownerDown stops the owner and lets another one take over after a time.
func (sim *simulation) ownerDown(d time.Duration) {
	stopped, permitted := sim.now, sim.permittedAt
	sim.ownerless = true
	sim.run(d)
	sim.ownerless = false
	sim.takeOver()
	earlier := &sim.earlierOwners[len(sim.earlierOwners)-1]
	if earlier.StoppedAt = stopped; sim.grantAge > 0 {
		earlier.PermittedAt = permitted
	}
}

// renewPermission renews the permission by which the owner acts.
func (sim *simulation) renewPermission() {
	if sim.grantAge == 0 {
		return
	}
	if sim.now.Sub(sim.permittedAt) >= sim.grantAge {
		sim.permittedAt = sim.now
	}
	if !sim.disabled.leasesFromNow {
		sim.core.CountLeasesFrom(sim.permittedAt)
	}
}

// leaseHistory simulates a random history of long-running tasks in which workers are cut
// off again and again, owners are lost, and the store is slow at times.
func leaseHistory(seed uint64, grantAge time.Duration, disabled disabledRules) *simulation {
	sim := newSimulation(seed, 5)
	sim.grantAge = grantAge
	sim.disabled, sim.core.disabled = disabled, disabled
	sim.confirmAfter = 200 * time.Millisecond
	sim.faults = networkFaults{loseReply: 0.02, late: 0.04, drop: 0.02}
	sim.taskFor = func(AttemptID) simTask { return simTask{longRunning: true} }
	s := simStepSpec(6, 1000)
	s.Lasting = true
	sim.submit(simJob(1, s))
	sim.run(3 * time.Second)
	for range 40 {
		sim.commitDelay = time.Duration(sim.rng.IntN(3)) * time.Second
		if sim.rng.IntN(2) == 0 {
			sw := sim.workers[sim.rng.IntN(len(sim.workers))]
			sim.darken(sw)
			sim.after(time.Duration(500+sim.rng.IntN(3000))*time.Millisecond, func() { sw.unreachable = false })
		}
		sim.run(time.Duration(200+sim.rng.IntN(1500)) * time.Millisecond)
		if sim.rng.IntN(4) == 0 {
			sim.ownerDown(time.Duration(300+sim.rng.IntN(3000)) * time.Millisecond)
		}
	}
	for _, sw := range sim.workers {
		sw.unreachable = false
	}
	sim.faults, sim.commitDelay = networkFaults{}, 0
	sim.run(20 * time.Second)
	return sim
}

// Guards against a task that runs twice because an owner renews a lease whose bound it has
// recorded: a worker is silent for a time, answers again while the store is slow, and is
// cut off just before the owner is lost.
func TestBoundedLeaseIsNotRenewed(t *testing.T) {
	play := func(disabled disabledRules) []string {
		sim, sw := newLongRunningSimulation(qt.New(t), 1, 3)
		sim.core.disabled, sim.disabled = disabled, disabled
		sim.darken(sw)
		sim.run(2500 * time.Millisecond)
		qt.Assert(t, sim.leaseBounds, qt.HasLen, 1)
		sim.commitDelay = time.Minute
		sw.unreachable = false
		sim.run(3 * time.Second)
		sim.darken(sw)
		sim.commitDelay = 0
		sim.ownerDown(500 * time.Millisecond)
		sim.run(12 * time.Second)
		_, on := sim.longRunningAttempts()
		qt.Check(t, on, qt.HasLen, 1)
		return sim.violations
	}
	qt.Check(t, play(disabledRules{}), qt.HasLen, 0)
	qt.Check(t, play(disabledRules{renewBounded: true}), qt.HasLen, 1)
}

// Guards against a task that runs twice, or not again, after any order of cut-off workers,
// lost owners and writes that the store delays, whether leases are counted from when they
// are granted or from the owner's permission to act.
func TestLeaseHistories(t *testing.T) {
	for _, grantAge := range []time.Duration{0, 1200 * time.Millisecond} {
		for seed := range uint64(60) {
			sim := leaseHistory(seed, grantAge, disabledRules{})
			qt.Check(t, sim.violations, qt.HasLen, 0, qt.Commentf("seed %d, %v", seed, grantAge))
			_, on := sim.longRunningAttempts()
			qt.Check(t, on, qt.HasLen, 6, qt.Commentf("seed %d, %v", seed, grantAge))
		}
	}
}

// Guards against a task that runs twice because the next owner counts the leases of a lost
// one from its permission to act, and that owner from when it granted them.
func TestLeasesCountFromPermission(t *testing.T) {
	play := func(disabled disabledRules) (violations int) {
		for phase := time.Duration(0); phase < 1200*time.Millisecond; phase += 50 * time.Millisecond {
			sim, sw := newLongRunningSimulation(qt.New(t), 1, 3)
			sim.core.disabled, sim.disabled, sim.grantAge = disabled, disabled, 1200*time.Millisecond
			sim.run(5*time.Second + phase)
			sim.darken(sw)
			sim.ownerDown(500 * time.Millisecond)
			sim.run(12 * time.Second)
			violations += len(sim.violations)
			_, on := sim.longRunningAttempts()
			qt.Check(t, on, qt.HasLen, 1)
			qt.Check(t, on[0] != sw, qt.IsTrue)
		}
		return violations
	}
	qt.Check(t, play(disabledRules{}), qt.Equals, 0)
	qt.Check(t, play(disabledRules{leasesFromNow: true}) > 0, qt.IsTrue)
}

// Guards against a worker that has restarted, whose leases are counted from the permission of
// the earlier owner: its clock has started anew, so that it grants the longest lease. And
// against one that has not, and is waited for as if it had since its entry is read late.
func TestRestartedWorkerHasWholeLease(t *testing.T) {
	c := qt.New(t)
	for _, restarts := range []string{"never", "before the proof", "after the proof", "never, entry after the proof", "before the proof, entry after it"} {
		sim, sw := newLongRunningSimulation(c, 1, 3)
		sim.grantAge = 1200 * time.Millisecond
		sim.run(3 * time.Second)
		permitted := sim.permittedAt
		sim.run(max(time.Second-sim.now.Sub(permitted), 0))
		stopped, entry := sim.now, sw.entry()
		permitted = sim.permittedAt
		sim.darken(sw)
		sim.confirmAfter = 0
		entryLate := strings.Contains(restarts, "entry after")
		sw.listed = !entryLate
		sim.ownerDown(500 * time.Millisecond)
		earlier := sim.earlierOwners
		entry.Incarnation++
		if restarts == "before the proof" {
			sim.core.SetWorker(entry, sim.now)
		}
		sim.core.ConfirmNoEarlierOwner(earlier, sim.now)
		want := stopped
		if strings.HasPrefix(restarts, "never") {
			want, entry = permitted, sw.entry()
		}
		if entryLate || restarts == "after the proof" {
			sim.core.SetWorker(entry, sim.now)
		}
		c.Check(sim.core.workers[sw.id].leaseEnd, qt.Equals, want.Add(sim.core.opts.longestLease()), qt.Commentf("%s", restarts))
	}
}

// Guards against a lost worker that is waited for longer than a lease, since each hold whose
// connection is reset counts as one that may have renewed the lease.
func TestResetHoldsRenewNothing(t *testing.T) {
	c := qt.New(t)
	sim, sw := newLongRunningSimulation(c, 1, 2)
	sw.resets = true
	sim.darken(sw)
	sim.checkRestart(c, sw)
}

// checkRestart checks that the task of a worker that is lost now runs again once its lease
// has expired, and 0.1 s later at the latest.
func (sim *simulation) checkRestart(c *qt.C, sw *simWorker) {
	lost, runs := sim.now, 0
	sim.onStart = func(id AttemptID, on *simWorker) {
		if id.Job == simJob(1).GetId() && on != sw {
			runs++
		}
	}
	for runs == 0 && sim.now.Sub(lost) < 20*time.Second {
		sim.step()
	}
	took := sim.now.Sub(lost)
	c.Logf("runs again after %v", took)
	c.Check(took < sim.core.opts.longestLease()+100*time.Millisecond, qt.IsTrue, qt.Commentf("%v", took))
	c.Check(sim.violations, qt.HasLen, 0)
}

// Guards against an owner that is lost soon after its takeover, before it has found a worker
// silent, and takes along the bound that the owner before it had recorded.
func TestShortTermKeepsLeaseBounds(t *testing.T) {
	restart := func(disabled disabledRules) time.Duration {
		c := qt.New(t)
		sim, sw := newLongRunningSimulation(c, 1, 3)
		sim.core.disabled, sim.disabled = disabled, disabled
		lost := sim.now
		sim.darken(sw)
		sim.run(3 * time.Second)
		sim.ownerDown(2 * time.Second)
		sim.run(300 * time.Millisecond)
		sim.ownerDown(2 * time.Second)
		starts := sim.starts
		for sim.starts == starts && sim.now.Sub(lost) < time.Minute {
			sim.step()
		}
		c.Check(sim.violations, qt.HasLen, 0)
		return sim.now.Sub(lost)
	}
	kept, dropped := restart(disabledRules{}), restart(disabledRules{dropLeaseBounds: true})
	t.Logf("restart after %v, %v without the earlier bounds", kept, dropped)
	qt.Check(t, kept < 9*time.Second, qt.IsTrue, qt.Commentf("%v", kept))
	qt.Check(t, dropped > kept, qt.IsTrue)
}
