package main

import (
	"fmt"
	"time"
)

// ticketCase submits a lasting step to a queue with advice whose policy allows the two
// workers of one rack, and restarts these two under their ids.
func ticketCase(p *platform, dir string, trouble bool) {
	const workers = 16
	p.ticketMs = 20_000
	var lives []*worker
	for n := range workers {
		lives = append(lives, p.startWorker(fmt.Sprintf("i-%08x", 0xa0+n), zones[n%3], fmt.Sprintf("r1-%d", n/2), "a", resources{32000, 128000, 0}, false, ""))
	}
	allowed := map[string]bool{lives[4].id: true, lives[5].id: true}
	p.adviceMay = func(_, id string) bool { return allowed[id] }
	list := p.deployment(dir, 3)
	defer closeAll(list)
	c := newClient(p, list)
	j := &job{
		id: "7d1f33a09be4c512", prefix: askQueue, advice: true,
		steps:     []step{{Count: 2, Cpu: 4000, MemMb: 8000, EstimateMs: 1000, LongRunning: true, Image: "watch"}},
		behaviour: func(taskName, int) (time.Duration, bool) { return 0, false },
	}
	if !c.submit(j) {
		fatal("the job was not accepted")
	}
	time.Sleep(5 * time.Second)
	runs := func(n int) int {
		p.mu.Lock()
		defer p.mu.Unlock()
		return len(p.running[taskName{j.id, 0, 0, n}.String()])
	}
	if runs(0)+runs(1) != 2 {
		fatal("the tasks do not run")
	}
	calm := time.Now()
	if trouble {
		for _, n := range []int{4, 5} {
			lives[n].crash()
		}
		time.Sleep(time.Second)
		for _, n := range []int{4, 5} {
			o := lives[n]
			p.startWorker(o.id, o.zone, o.rack, o.kind, o.capacity, false, o.address)
		}
		calm = time.Now()
	}
	for began := time.Now(); time.Since(began) < 30*time.Second; time.Sleep(100 * time.Millisecond) {
		for n := range 2 {
			p.mu.Lock()
			idle := time.Since(p.lastRun[j.id])
			p.mu.Unlock()
			// 6 s after the last run, 3 s with room, and these and the 4 s before calm.
			if runs(n) == 0 && idle > 9*time.Second && time.Since(calm) > 7*time.Second {
				p.mu.Lock()
				p.violation("LOST", "%s.0.0.%d is to last and has not run for %v, with both of its workers empty", j.id, n, idle.Round(100*time.Millisecond))
				p.mu.Unlock()
				return
			}
		}
	}
}
