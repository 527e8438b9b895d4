package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a ranking that places a task elsewhere than a scan of all workers
// would: after placements on the chosen and on other workers, and while the step is
// starved.
func TestRankingAgreesWithScan(t *testing.T) {
	c := qt.New(t)
	compared := 0
	for seed := range uint64(12) {
		rng := rand.New(rand.NewPCG(seed, 3))
		sim, jobs := newLoadedSite(40)
		for range 20 {
			jobs.arrive(sim, 100*time.Millisecond)
			sim.run(100 * time.Millisecond)
		}
		for kind := range 3 {
			jobs.submit(sim, kind)
		}
		core := sim.core
		core.updateReady(sim.now)
		core.passCounts.Passes++
		p := &pass{core: core, number: core.passCounts.Passes, now: sim.now.Add(time.Duration(rng.IntN(3000)) * time.Millisecond), pools: make(map[string][]*candidate), unplaced: make(map[requirements]Resources)}
		q := &sim.config.Queues[0]
		candidates := p.pool(q.Pool)
		for _, s := range core.ready {
			if s.waiting == 0 {
				continue
			}
			ranked := p.newRanking(s, candidates, q)
			for _, task := range s.tasks {
				if task.assigned() || task.done {
					continue
				}
				best := p.best(task, candidates, q)
				c.Assert(ranked.bestFor(task), qt.Equals, best, qt.Commentf("seed %d, %s", seed, task.idOfAttempt(1)))
				compared++
				if best == nil {
					break
				}
				if rng.IntN(4) == 0 { // a task that avoids the best worker goes to another one
					task.avoid = best.worker.id
					best = p.best(task, candidates, q)
				}
				core.place(task, best.worker, 1, p.now)
				best.update()
				ranked.update(best)
			}
		}
	}
	c.Check(compared > 500, qt.IsTrue, qt.Commentf("%d", compared))
}

// Guards against a candidate that is kept over passes although its worker has
// changed.
func TestKeptCandidateFollowsItsWorker(t *testing.T) {
	c := qt.New(t)
	sim, jobs := newLoadedSite(40)
	for range 30 {
		jobs.arrive(sim, 100*time.Millisecond)
		sim.run(100 * time.Millisecond)
		for _, w := range sim.core.workerList {
			kept := w.candidate(sim.core, sim.core.passCounts.Passes, sim.now)
			fresh := &candidate{worker: w, core: sim.core}
			fresh.update()
			c.Assert(kept.free, qt.Equals, fresh.free)
			c.Assert(kept.load.use, qt.Equals, fresh.load.use)
			c.Assert(kept.overTarget, qt.Equals, fresh.overTarget)
			c.Assert(fmt.Sprint(kept.load.fillers), qt.Equals, fmt.Sprint(fresh.load.fillers))
		}
	}
}
