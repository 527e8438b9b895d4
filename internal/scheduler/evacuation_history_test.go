package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"gooseberryreel/internal/pb"
)

// evacuationHistory simulates a random history in which failure domains are evacuated
// and return with cold workers, among takeovers, restarts, lost and late commands,
// requests that can't be read, and a slow store. It returns the number of starts in
// evacuated domains that came later than the bound.
func evacuationHistory(seed uint64, disabled disabledRules) (*simulation, int) {
	sim, late := newEvacuationSimulation(seed, disabled)
	// Drawn apart from the faults, so that these are the same with the rule off.
	rng := rand.New(rand.NewPCG(seed, 19))
	sim.faults = networkFaults{loseReply: 0.03, late: 0.06, drop: 0.03}
	sim.taskFor = func(r AttemptID) simTask {
		return simTask{work: time.Duration(100+(r.Task*37+r.Step*61)%900) * time.Millisecond}
	}
	domains := []string{"z0", "z1", "z2"}
	for n := range 400 {
		sim.injectFault()
		if rng.IntN(25) == 0 {
			sim.drawEvacuation(rng, domains)
		}
		if rng.IntN(12) == 0 {
			sim.evacuations.down = !sim.evacuations.down
		}
		if n%40 == 0 {
			sim.commitDelay = time.Duration(rng.IntN(4)) * 500 * time.Millisecond
		}
		for _, sw := range sim.workers {
			if sw.slowdown > 0 && sim.now.After(sw.coldUntil) {
				sw.slowdown = 0
			}
		}
		if n%5 == 0 && n < 320 {
			filler := simStepSpec(3, 2000)
			filler.Filler, filler.Image = true, "f0"
			sim.submit(simJob(n+1, simStepSpec(5, 1500), simStepSpec(3, 1500, 0), filler))
		}
		sim.run(100 * time.Millisecond)
	}
	sim.clearFaults()
	sim.commitDelay, sim.evacuations.down = 0, false
	sim.evacuate()
	sim.run(40 * time.Second)
	return sim, *late
}

// drawEvacuation evacuates a failure domain, or lets it return. Half of the returns are
// with cold workers, and one in ten of these claims without reason to be cold.
func (sim *simulation) drawEvacuation(rng *rand.Rand, domains []string) {
	picked := domains[rng.IntN(len(domains))]
	var left []string
	for _, d := range sim.evacuations.domains {
		if d != picked {
			left = append(left, d)
		}
	}
	if len(left) == len(sim.evacuations.domains) {
		sim.evacuate(append(left, picked)...)
		return
	}
	if rng.IntN(2) == 0 {
		for _, sw := range sim.workers {
			if sw.domain != picked {
				continue
			}
			sw.restart()
			sw.coldUntil = sim.now.Add(time.Duration(1+rng.IntN(5)) * time.Second)
			if rng.IntN(10) > 0 {
				sw.slowdown = 5
			}
			sim.core.SetWorker(sw.entry(), sim.now)
		}
	}
	sim.evacuate(left...)
}

// Guards against starts in an evacuated domain after the bound, against tasks that run
// twice or overload a worker, and against jobs that never run after the domain returns.
// The load and the failures are those of evacuationHistory.
func TestEvacuationHistories(t *testing.T) {
	seeds := 100
	if testing.Short() {
		seeds = 10
	}
	for seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			sim, late := evacuationHistory(uint64(seed), disabledRules{})
			c.Check(late, qt.Equals, 0)
			for _, line := range sim.logged("late start of") {
				t.Log(line)
			}
			c.Check(sim.violations, qt.HasLen, 0)
			sim.logViolation(t)
			for id, s := range sim.states() {
				c.Check(s, qt.Equals, pb.PublicState_PUBLIC_STATE_COMPLETED, qt.Commentf("job %s", id))
			}
		})
	}
}

// Guards against histories whose checks find nothing. In one whose evacuations hardly last
// longer than the bound, it is chance whether a task would start after it.
func TestEvacuationHistoriesFindLateStarts(t *testing.T) {
	skipLong(t)
	const histories, minOverdue = 20, 2 * time.Second
	long, seed := 0, uint64(0)
	for ; long < histories; seed++ {
		sim, late := evacuationHistory(seed, disabledRules{ignoreEvacuations: true})
		t.Logf("seed %d: evacuations overdue for %v, %d late starts", seed, sim.evacuations.overdue, late)
		if sim.evacuations.overdue >= minOverdue {
			long++
			qt.Check(t, late > 0, qt.IsTrue, qt.Commentf("seed %d", seed))
		}
	}
	qt.Check(t, seed <= histories+histories/10, qt.IsTrue, qt.Commentf("%d of %d histories have evacuations that last long enough", long, seed))
}
