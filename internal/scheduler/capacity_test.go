package scheduler

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"gooseberryreel/internal/pb"
)

const (
	// simEntryDelay bounds the time until a worker's entry shows a changed capacity.
	simEntryDelay = 1500 * time.Millisecond
	// simShrinkGrace is how long after a reduction starts may still rely on the larger
	// capacity: the worker's entry has to reach the owner.
	simShrinkGrace = 3*time.Second + simEntryDelay
)

// resize changes the capacity of a worker. Its entry shows the change after a delay.
func (sw *simWorker) resize(capacity Resources, delay time.Duration) {
	sim := sw.sim
	sim.log("worker %s resized to %v", sw.id, capacity)
	if !sw.capacity.FitsIn(capacity) {
		sw.larger = append(sw.larger, pastCapacity{sw.capacity, sim.now.Add(simShrinkGrace)})
	}
	sw.capacity = capacity
	sim.after(delay, sw.publish)
}

// reincarnate gives a worker another capacity while it restarts. No start may rely on the
// one before: the answers to holds show the restart, so that the owner can wait for the
// new entry.
func (sw *simWorker) reincarnate(capacity Resources) {
	sw.sim.log("worker %s comes back with %v", sw.id, capacity)
	sw.capacity, sw.larger = capacity, nil
}

// publish passes the worker's entry to the owner once entries reach it.
func (sw *simWorker) publish() {
	sim := sw.sim
	switch {
	case sim.entriesDown:
		sim.after(simStep, sw.publish)
	case !sim.now.Before(sw.downUntil) && sw.listed:
		sim.core.SetWorker(sw.entry(), sim.now)
	}
}

// pastCapacity is a capacity that starts may rely on until a time.
type pastCapacity struct {
	capacity Resources
	until    time.Time
}

// admitted reports whether resources in use fit the worker's capacity or one that it
// had until recently.
func (sw *simWorker) admitted(used Resources) bool {
	if used.FitsIn(sw.capacity) {
		return true
	}
	for _, p := range sw.larger {
		if sw.sim.now.Before(p.until) && used.FitsIn(p.capacity) {
			return true
		}
	}
	return false
}

// Guards against a start that was placed before its worker's capacity shrank and is
// sent long after, once the store has confirmed its record.
func TestStartAfterCapacityShrank(t *testing.T) {
	c := qt.New(t)
	sim := newSimulation(1, 2)
	sim.run(time.Second)
	sim.commitDelay = 6 * time.Second
	sim.submit(simJob(1, simStepSpec(4, 3000)))
	sim.run(100 * time.Millisecond)
	sim.workers[0].resize(Resources{2000, 16000, 0}, 0)
	sim.run(7 * time.Second)
	c.Check(sim.starts > 0, qt.IsTrue)
	c.Check(sim.violations, qt.HasLen, 0)
	sim.commitDelay = 0
	sim.run(8 * time.Second)
	c.Check(sim.core.State(fmt.Sprintf("%016x", 1)), qt.Equals, pb.PublicState_PUBLIC_STATE_COMPLETED)
}

// Guards against a start that relies on an entry of its worker from before an outage of
// the entries alone: the capacity may have shrunk since.
func TestNoStartOnStaleEntries(t *testing.T) {
	c := qt.New(t)
	sim := newSimulation(1, 2)
	sim.run(time.Second)
	sim.entriesDown = true
	sim.workers[0].resize(Resources{1000, 16000, 0}, 0)
	sim.workers[1].resize(Resources{1000, 16000, 0}, 0)
	for n := range 100 {
		sim.submit(simJob(n+1, simStepSpec(2, 3000)))
		sim.run(100 * time.Millisecond)
	}
	c.Check(sim.starts > 0, qt.IsTrue)
	c.Check(sim.violations, qt.HasLen, 0)
	sim.entriesDown = false
	for _, sw := range sim.workers {
		sw.resize(Resources{8000, 16000, 0}, 0)
	}
	sim.run(40 * time.Second)
	for id, s := range sim.states() {
		c.Check(s, qt.Equals, pb.PublicState_PUBLIC_STATE_COMPLETED, qt.Commentf("job %s", id))
	}
}

// Guards against starts that rely on the capacity of a worker's earlier incarnation: its
// restart is known from its answers, its new entry has not arrived yet.
func TestStartsForCapacityBeforeRestart(t *testing.T) {
	for _, takeover := range []bool{false, true} {
		t.Run(fmt.Sprintf("takeover %v", takeover), func(t *testing.T) {
			c := qt.New(t)
			sim := newSimulation(1, 1)
			sim.run(time.Second)
			sw := sim.workers[0]
			old := sw.entry()
			sw.reincarnate(Resources{2000, 16000, 0})
			sw.restart()
			if takeover {
				sw.listed = false
				sim.takeOver()
				sw.listed = true
				sim.core.SetWorker(old, sim.now)
			}
			sim.submit(simJob(1, simStepSpec(8, 500)))
			sim.run(3 * time.Second)
			c.Check(sim.core.workers[sw.id].incarnation, qt.Equals, sw.incarnation)
			c.Check(sim.violations, qt.HasLen, 0)
			sw.publish()
			sim.run(5 * time.Second)
			c.Check(sim.violations, qt.HasLen, 0)
			c.Check(sim.core.State(fmt.Sprintf("%016x", 1)), qt.Equals, pb.PublicState_PUBLIC_STATE_COMPLETED)
		})
	}
}

// Guards against starts beyond the capacity of workers whose capacity shrinks and
// grows while commands are lost, workers restart, the store is slow, entries don't
// reach the owner and owners are replaced.
func TestCapacityHistories(t *testing.T) { checkCapacityHistories(t, 0) }

// Guards against starts beyond the capacity of workers that also come back from crashes
// with another capacity, some time before their entries say so.
func TestCapacityHistoriesWithCrashes(t *testing.T) { checkCapacityHistories(t, 25) }

func checkCapacityHistories(t *testing.T, crashEvery int) {
	seeds := 100
	if testing.Short() {
		seeds = 10
	}
	for seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			sim := capacityHistory(uint64(seed), crashEvery)
			c.Check(sim.violations, qt.HasLen, 0)
			sim.logViolation(t)
			for id, s := range sim.states() {
				c.Check(s, qt.Equals, pb.PublicState_PUBLIC_STATE_COMPLETED, qt.Commentf("job %s", id))
			}
		})
	}
}

// capacityHistory simulates a random history in which the capacities of workers change,
// and restores them at its end. If crashEvery is not zero, one of that many steps of
// 100 ms crashes a worker, which comes back with another capacity.
func capacityHistory(seed uint64, crashEvery int) *simulation {
	sim := newSimulation(seed, 6)
	sim.faults = networkFaults{loseReply: 0.03, late: 0.03, drop: 0.03}
	sim.taskFor = func(r AttemptID) simTask {
		return simTask{work: time.Duration(100+(r.Task*37+r.Step*61)%900) * time.Millisecond}
	}
	full := sim.workers[0].capacity
	for n := range 300 {
		sim.injectFault()
		if n%4 == 0 {
			part := int64(sim.rng.IntN(5))
			sw := sim.workers[sim.rng.IntN(len(sim.workers))]
			sw.resize(Resources{full.CPUMilli * part / 4, full.MemoryMiB * part / 4, 0}, time.Duration(sim.rng.IntN(int(simEntryDelay))))
		}
		if crashEvery > 0 && n%crashEvery == 0 {
			sw := sim.workers[sim.rng.IntN(len(sim.workers))]
			if !sim.now.Before(sw.downUntil) {
				part := int64(1 + sim.rng.IntN(4))
				sw.entryDelay = time.Duration(sim.rng.IntN(int(simEntryDelay)))
				sw.crash(true)
				sw.reincarnate(Resources{full.CPUMilli * part / 4, full.MemoryMiB * part / 4, 0})
			}
		}
		if n%40 == 0 {
			sim.commitDelay = time.Duration(sim.rng.IntN(4)) * time.Second
		}
		if sim.rng.IntN(20) == 0 {
			sim.entriesDown = !sim.entriesDown
		}
		if n%5 == 0 && n < 240 {
			filler := simStepSpec(2, 2000)
			filler.Filler, filler.Image = true, "f0"
			sim.submit(simJob(n+1, simStepSpec(4, 1500), simStepSpec(3, 1500, 0), filler))
		}
		sim.run(100 * time.Millisecond)
	}
	sim.clearFaults()
	sim.commitDelay, sim.entriesDown = 0, false
	for _, sw := range sim.workers {
		sw.resize(full, 0)
	}
	sim.run(40 * time.Second)
	return sim
}
