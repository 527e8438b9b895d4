package scheduler

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"gooseberryreel/internal/pb"
)

// simulateOverload runs a minute in which jobs of two steps arrive at 1.3 times the
// rate that the workers can complete. The logarithms of the estimates have a
// standard deviation of 0.9. It returns the share of the jobs that were on time and
// the share that completed.
func simulateOverload(disabled disabledRules) (inTime, ended float64) {
	sim := newSimulation(3, 4)
	sim.disabled, sim.core.disabled = disabled, disabled
	rng := rand.New(rand.NewPCG(11, 0))
	works := make(map[string]time.Duration)
	objectives := make(map[string]time.Time)
	finished := make(map[string]time.Time)
	sim.taskFor = func(r AttemptID) simTask { return simTask{work: works[r.Job]} }
	watch := func(d time.Duration) {
		for end := sim.now.Add(d); sim.now.Before(end); {
			sim.step()
			for id, state := range sim.states() {
				if state == pb.PublicState_PUBLIC_STATE_COMPLETED && finished[id].IsZero() {
					finished[id] = sim.now
				}
			}
		}
	}
	const jobs = 120
	for n := range jobs {
		work := time.Duration(float64(time.Second) * math.Exp(0.4*rng.NormFloat64()))
		sub := simJob(n+1, simStepSpec(8, 2000), simStepSpec(8, 2000, 0))
		for _, s := range sub.Steps {
			s.EstimateMs = int64(float64(work.Milliseconds()) * math.Exp(0.9*rng.NormFloat64()))
		}
		works[sub.Id], objectives[sub.Id] = work, sim.now.Add(time.Duration(2*2*float64(work))+time.Second)
		sim.submit(sub)
		watch(800 * time.Millisecond)
	}
	watch(90 * time.Second)
	for id, at := range finished {
		ended += 1.0 / jobs
		if !at.After(objectives[id]) {
			inTime += 1.0 / jobs
		}
	}
	return inTime, ended
}

// Guards against an order of steps that makes nearly all jobs late when more arrive
// than the workers can complete. It is compared with the simpler rule of the
// earliest due time by uncorrected estimates.
func TestOrderUnderOverload(t *testing.T) {
	before, _ := simulateOverload(disabledRules{earliestDueFirst: true})
	after, ended := simulateOverload(disabledRules{})
	t.Logf("on time: %.2f with the earliest due first, %.2f by standing; %.2f ended", before, after, ended)
	qt.Assert(t, after > before+0.1, qt.IsTrue)
	qt.Assert(t, ended > 0.999, qt.IsTrue)
}

// Guards against an order of jobs that is decided by the noise in their estimates.
func TestDurationsLearnTheMean(t *testing.T) {
	c := qt.New(t)
	rng := rand.New(rand.NewPCG(5, 0))
	fit := &durationFit{}
	c.Assert(fit.expect(400), qt.Equals, 400*time.Millisecond)
	for range 500 {
		took := time.Second
		fit.observe(int64(float64(took.Milliseconds())*math.Exp(0.9*rng.NormFloat64())), took)
	}
	for _, estimate := range []int64{100, 1000, 10_000} {
		got := fit.expect(estimate)
		c.Check(got > 700*time.Millisecond && got < 1400*time.Millisecond, qt.IsTrue, qt.Commentf("%d ms: %v", estimate, got))
	}
	exact := &durationFit{}
	for range 500 {
		ms := 100 + rng.Int64N(4000)
		exact.observe(ms, time.Duration(ms)*time.Millisecond)
	}
	for _, estimate := range []int64{200, 2000} {
		got := exact.expect(estimate).Milliseconds()
		c.Check(got > estimate*9/10 && got < estimate*11/10, qt.IsTrue, qt.Commentf("%d ms: %d", estimate, got))
	}
}

// simulateSaturation runs half a minute in which short tasks use all resources that
// short tasks free. It returns the longest wait of a long-running task and the
// number of short jobs that completed.
func simulateSaturation(disabled disabledRules) (longest time.Duration, short int) {
	sim := newSimulation(5, 6)
	sim.disabled, sim.core.disabled = disabled, disabled
	sim.taskFor = func(r AttemptID) simTask {
		if imageOf(r) < 100 {
			return simTask{longRunning: true, latencyMS: 5}
		}
		return simTask{work: 800 * time.Millisecond}
	}
	sim.run(2 * time.Second)
	for n := range 40 {
		sim.submit(simJob(100+n, simStepSpec(10, 2000)))
	}
	sim.run(time.Second)
	spec := simStepSpec(5, 3000)
	spec.Lasting = true
	sim.submit(simJob(1, spec))
	since := sim.now
	for n := range 300 {
		if n%4 == 0 {
			sim.submit(simJob(200+n, simStepSpec(12, 2000)))
		}
		sim.run(100 * time.Millisecond)
		running := 0
		for _, sw := range sim.workers {
			for _, r := range sw.active {
				if r.task.longRunning {
					running++
				}
			}
		}
		if running == 5 && longest == 0 {
			longest = sim.now.Sub(since)
		}
	}
	if longest == 0 {
		longest = sim.now.Sub(since)
	}
	for id, state := range sim.states() {
		if id != spec.Image && state == pb.PublicState_PUBLIC_STATE_COMPLETED {
			short++
		}
	}
	return longest, short
}

// Guards against long-running tasks that never start: when more short tasks arrive
// than fit, the next of them uses whatever an ended one frees (seen with
// mix --seed 938746652697).
func TestLastingTasksBesideManyShortOnes(t *testing.T) {
	behind, _ := simulateSaturation(disabledRules{starveLongRunning: true})
	promoted, short := simulateSaturation(disabledRules{})
	t.Logf("all long-running tasks run after %v, after %v behind all short tasks; %d short jobs completed", promoted, behind, short)
	qt.Assert(t, behind > 9*time.Second, qt.IsTrue)
	qt.Assert(t, promoted < 9*time.Second, qt.IsTrue)
	qt.Assert(t, short > 0, qt.IsTrue)
}
