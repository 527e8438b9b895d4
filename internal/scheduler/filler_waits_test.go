package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"gooseberryreel/internal/pb"
)

// Guards against fillers that wait without a bound while all services miss their targets
// for another cause than fillers, such as slow workers.
func TestFillersStartBesideServicesThatMissTheirTargetsAlone(t *testing.T) {
	sim := newSimulation(1, 1)
	sim.taskFor = func(r AttemptID) simTask {
		if imageOf(r) < 100 {
			return simTask{longRunning: true, latencyMS: 2 * harmTargetMS}
		}
		return simTask{work: time.Second}
	}
	service := simStepSpec(4, 1600)
	service.Lasting, service.LatencyTargetMs, service.Image = true, harmTargetMS, "service"
	sim.submit(simJob(1, service))
	sim.run(5 * time.Second)
	filler := simStepSpec(3, 1200)
	filler.Filler, filler.Checkpoints, filler.Image = true, true, "filler"
	sim.submit(simJob(100, filler))
	sim.run(20 * time.Second)
	qt.Check(t, sim.core.State(simJob(100).GetId()), qt.Equals, pb.PublicState_PUBLIC_STATE_COMPLETED)
}

// Guards against a service that misses its target for longer than the limit because of
// fillers that were started while it missed its target for another cause.
func TestHarmIsBoundedAfterOtherCauseEnds(t *testing.T) {
	sim := newSimulation(1, 1)
	sim.taskFor = func(r AttemptID) simTask {
		if imageOf(r) < 100 {
			return simTask{longRunning: true, latencyMS: 2 * harmTargetMS}
		}
		return simTask{work: time.Minute}
	}
	service := simStepSpec(1, 1600)
	service.Lasting, service.LatencyTargetMs, service.Image = true, harmTargetMS, "service"
	sim.submit(simJob(1, service))
	sim.run(5 * time.Second)
	filler := simStepSpec(1, 3000)
	filler.Filler, filler.Image, filler.EstimateMs = true, "filler", time.Minute.Milliseconds()
	sim.submit(simJob(100, filler))
	var longest, current time.Duration
	began := false
	for range 2000 {
		sim.step()
		runs := false
		for _, r := range sim.workers[0].active {
			runs = runs || !r.task.longRunning && r.speed > 50
		}
		began = began || runs
		current += simStep
		if !runs {
			current = 0
		}
		longest = max(longest, current)
		for _, r := range sim.workers[0].active {
			if r.task.longRunning && began {
				// The other cause has ended: only the filler harms the service.
				r.task.latencyMS = harmlessMS
				if runs {
					r.task.latencyMS = harmTargetMS + 2
				}
			}
		}
	}
	qt.Check(t, began, qt.IsTrue)
	qt.Check(t, longest < 4*time.Second, qt.IsTrue, qt.Commentf("%v", longest))
}

// fillerHistory is a random history of services, whose measured latencies have any cause,
// and of fillers that arrive all the time.
type fillerHistory struct {
	sim   *simulation
	rng   *rand.Rand
	specs map[string]*pb.StepSpec // of fillers, by job
	idle  map[string]time.Duration
}

func newFillerHistory(seed uint64) *fillerHistory {
	h := &fillerHistory{
		sim: newSimulation(seed, 6), rng: rand.New(rand.NewPCG(seed, 44)),
		specs: make(map[string]*pb.StepSpec), idle: make(map[string]time.Duration),
	}
	h.sim.taskFor = func(r AttemptID) simTask {
		if imageOf(r) < 100 {
			return simTask{longRunning: true, latencyMS: harmlessMS}
		}
		return simTask{work: time.Duration(500+200*(imageOf(r)%13)) * time.Millisecond}
	}
	for n := range 3 {
		service := simStepSpec(int32(1+h.rng.IntN(8)), 1600)
		service.Lasting, service.LatencyTargetMs, service.Image = true, harmTargetMS, fmt.Sprint("service", n)
		h.sim.submit(simJob(1+n, service))
	}
	h.sim.run(3 * time.Second)
	return h
}

// submit submits a job of fillers of any size.
func (h *fillerHistory) submit(id int) {
	filler := simStepSpec(int32(1+h.rng.IntN(6)), int64(300+h.rng.IntN(6000)))
	filler.Filler, filler.Checkpoints, filler.Image = true, h.rng.IntN(3) > 0, fmt.Sprint("filler", id%4)
	filler.MemoryMib = int64(200 + h.rng.IntN(3000))
	sub := simJob(id, filler)
	h.specs[sub.GetId()] = filler
	h.sim.submit(sub)
}

// hasRoom reports whether the workers have room for twice what a task requests, and under
// half of their CPUs are in use.
func (h *fillerHistory) hasRoom(size Resources) bool {
	var used, capacity, slots int64
	for _, sw := range h.sim.workers {
		free := sw.capacity
		for _, r := range sw.active {
			cpu, memory := int64(1600*longRunningUse), int64(500)
			if spec := h.specs[r.attemptID.Job]; spec != nil {
				cpu, memory = spec.GetCpuMilli(), spec.GetMemoryMib()
			}
			free.CPUMilli, free.MemoryMiB = free.CPUMilli-cpu, free.MemoryMiB-memory
		}
		used, capacity = used+sw.capacity.CPUMilli-free.CPUMilli, capacity+sw.capacity.CPUMilli
		slots += max(min(free.CPUMilli/size.CPUMilli, free.MemoryMiB/size.MemoryMiB), 0)
	}
	return slots >= 2 && 2*used < capacity
}

// longestIdle returns the longest time for which nothing of an unfinished job of fillers
// runs although there is room.
func (h *fillerHistory) longestIdle(run time.Duration) (longest time.Duration, job string) {
	phase := h.rng.Float64() // how likely a service is to change between good and bad
	next := 100
	for range run / simStep {
		if h.rng.Float64() < 0.04 && len(h.sim.subs) < 150 {
			h.submit(next)
			next++
		}
		h.sim.step()
		running := make(map[string]bool)
		for _, sw := range h.sim.workers {
			for _, r := range sw.servicesByName() {
				if h.rng.Float64() < 0.02*phase {
					r.task.latencyMS = harmTargetMS * 3 / 2
					if h.rng.Float64() < 0.3 {
						r.task.latencyMS = harmlessMS
					}
				}
			}
			for _, r := range sw.active {
				running[r.attemptID.Job] = true
			}
		}
		for id, spec := range h.specs {
			if running[id] || h.sim.core.State(id) == pb.PublicState_PUBLIC_STATE_COMPLETED || !h.hasRoom(Resources{spec.GetCpuMilli(), spec.GetMemoryMib(), 0}) {
				h.idle[id] = 0
				continue
			}
			h.idle[id] += simStep
			if h.idle[id] > longest {
				longest, job = h.idle[id], id
			}
		}
	}
	return longest, job
}

// Guards against any reason to refuse a worker that holds without a bound: a filler that
// has room for twice what it needs, on workers that are less than half in use, starts
// within 3 s whatever the services measure.
func TestNoFillerWaitsWhileThereIsRoom(t *testing.T) {
	seeds := 40
	if testing.Short() {
		seeds = 8
	}
	for seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			longest, job := newFillerHistory(uint64(seed)).longestIdle(40 * time.Second)
			qt.Check(t, longest <= 3*time.Second, qt.IsTrue, qt.Commentf("job %s waits for %v", job, longest))
		})
	}
}

// Guards against fillers that are stopped right after their start beside a service that
// missed its target before, for the time without them.
func TestOverrunWithoutFillersDoesNotEvict(t *testing.T) {
	sim := newSimulation(1, 1)
	sim.taskFor = func(r AttemptID) simTask {
		if imageOf(r) < 100 {
			return simTask{longRunning: true, latencyMS: 2 * harmTargetMS}
		}
		return simTask{work: time.Minute}
	}
	service := simStepSpec(1, 1600)
	service.Lasting, service.LatencyTargetMs, service.Image = true, harmTargetMS, "service"
	sim.submit(simJob(1, service))
	started := make(map[AttemptID]time.Time)
	sim.onStart = func(id AttemptID, _ *simWorker) { started[id] = sim.now }
	shortest := time.Minute
	cancelled := make(map[string]bool)
	sim.onEnd = func(id AttemptID, _ string, _ EndReason) {
		if !cancelled[id.Job] {
			shortest = min(shortest, sim.now.Sub(started[id]))
		}
	}
	for n := range 20 {
		sim.run(time.Duration(1000+170*n) * time.Millisecond) // any phase of the measurements
		filler := simStepSpec(1, 1000)
		filler.Filler, filler.Checkpoints, filler.Image = true, true, "filler"
		sub := simJob(100+n, filler)
		sim.submit(sub)
		sim.run(5 * time.Second)
		cancelled[sub.GetId()] = true
		sim.cancel(sub.GetId())
		sim.run(time.Second)
	}
	qt.Check(t, len(started) > 20, qt.IsTrue)
	qt.Check(t, shortest >= time.Second, qt.IsTrue, qt.Commentf("%v", shortest))
}
