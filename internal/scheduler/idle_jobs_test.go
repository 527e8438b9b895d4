package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"gooseberryreel/internal/pb"
)

// burstHistory is a history of few services and of many jobs of fillers that arrive within
// seconds, on workers of which some are slow.
type burstHistory struct {
	sim   *simulation
	rng   *rand.Rand
	specs map[string]*pb.StepSpec // of fillers, by job
	idle  map[string]time.Duration
	next  int
}

func newBurstHistory(seed uint64) *burstHistory {
	h := &burstHistory{
		sim: newSimulation(seed, 8), rng: rand.New(rand.NewPCG(seed, 47)),
		specs: make(map[string]*pb.StepSpec), idle: make(map[string]time.Duration), next: 100,
	}
	h.sim.taskFor = func(r AttemptID) simTask {
		if imageOf(r) < 100 {
			return simTask{longRunning: true, latencyMS: harmlessMS}
		}
		return simTask{work: time.Duration(800+300*(imageOf(r)%13)) * time.Millisecond}
	}
	for n := range 2 {
		service := simStepSpec(int32(3+h.rng.IntN(4)), 1600)
		service.Lasting, service.LatencyTargetMs, service.Image = true, harmTargetMS, fmt.Sprint("service", n)
		h.sim.submit(simJob(1+n, service))
	}
	h.sim.run(3 * time.Second)
	return h
}

// submit submits a job with one or two steps of fillers.
func (h *burstHistory) submit() {
	filler := func() *pb.StepSpec {
		s := simStepSpec(int32(2+h.rng.IntN(10)), int64(1000+h.rng.IntN(2500)))
		s.Filler, s.Checkpoints, s.Image, s.EstimateMs = true, h.rng.IntN(6) > 0, fmt.Sprint("filler", h.next%5), 2500
		return s
	}
	steps := []*pb.StepSpec{filler()}
	if h.rng.IntN(2) == 0 {
		steps = append(steps, proto.CloneOf(steps[0]))
		steps[1].After = []int32{0}
	}
	sub := simJob(h.next, steps...)
	h.next++
	h.specs[sub.GetId()] = steps[0]
	h.sim.submit(sub)
}

// mayNotWait reports whether the rule gives a task a place now: the workers have room for
// it twice, and other work than fillers uses less than half of their CPUs. Fillers use
// memory, but only CPUs that are free for others.
func (h *burstHistory) mayNotWait(size Resources) bool {
	var used, capacity, slots int64
	for _, sw := range h.sim.workers {
		free := sw.capacity
		for _, r := range sw.active {
			free.MemoryMiB -= 500
			if r.task.longRunning {
				free.CPUMilli -= 1600
			}
		}
		used, capacity = used+sw.capacity.CPUMilli-free.CPUMilli, capacity+sw.capacity.CPUMilli
		slots += max(min(free.CPUMilli/size.CPUMilli, free.MemoryMiB/size.MemoryMiB), 0)
	}
	return slots >= 2 && 2*used < capacity
}

// longestIdle returns the longest time for which nothing of an unfinished job runs
// although it may not wait.
func (h *burstHistory) longestIdle(run time.Duration) (longest time.Duration, job string) {
	slow := 3 + h.rng.IntN(5)
	for elapsed := time.Duration(0); elapsed < run; elapsed += simStep {
		if elapsed < 6*time.Second && h.rng.Float64() < 0.12 {
			h.submit()
		}
		h.sim.step()
		running := make(map[string]bool)
		for n, sw := range h.sim.workers {
			if elapsed == 2*time.Second && n < slow {
				sw.slowdown = 6.5
			}
			for _, r := range sw.activeAttempts() {
				switch {
				case !r.task.longRunning:
					running[r.attemptID.Job] = true
				case sw.slowdown > 1:
					r.task.latencyMS = harmTargetMS * 3
				default:
					r.task.latencyMS = harmlessMS
				}
			}
		}
		for id, spec := range h.specs {
			if running[id] || h.sim.core.State(id) == pb.PublicState_PUBLIC_STATE_COMPLETED || !h.mayNotWait(Resources{spec.GetCpuMilli(), spec.GetMemoryMib(), 0}) {
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

// Guards against jobs that run nothing while others run several tasks, or while fillers
// use all CPUs: on a site that other work uses by less than half, each of many jobs of
// fillers has a task running within 3 s.
func TestEachOfManyFillerJobsRuns(t *testing.T) {
	seeds := 12
	if testing.Short() {
		seeds = 3
	}
	for seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			h := newBurstHistory(uint64(seed))
			longest, job := h.longestIdle(30 * time.Second)
			qt.Check(t, longest <= 3*time.Second, qt.IsTrue, qt.Commentf("%d jobs; nothing of job %s runs for %v", len(h.specs), job, longest))
			qt.Check(t, h.sim.violations, qt.HasLen, 0)
		})
	}
}
