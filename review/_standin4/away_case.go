package main

import (
	"fmt"
	"sync"
	"time"
)

// awayCase submits a lasting step of which one task may be away, and loses the answers to
// two of its starts, which the workers carry out.
func awayCase(p *platform, dir string, trouble bool) {
	const workers, tasks = 16, 32
	var lives []*worker
	for n := range workers {
		lives = append(lives, p.startWorker(fmt.Sprintf("i-%08x", 0xa0+n), zones[n%3], fmt.Sprintf("r1-%d", n/8), "a", resources{32000, 128000, 0}, false, ""))
	}
	list := p.deployment(dir, 3)
	defer closeAll(list)
	c := newClient(p, list)
	j := &job{
		id: "3be09c77d1524af8", prefix: plainQueue,
		steps:     []step{{Count: tasks, Cpu: 6000, MemMb: 8000, EstimateMs: 1000, LongRunning: true, Image: "watch", TargetMs: 50, MayMiss: 1, AntiAffinity: 2}},
		behaviour: func(taskName, int) (time.Duration, bool) { return 0, false },
	}
	if trouble {
		var mu sync.Mutex
		lost := make([]bool, 2) // by worker
		for n := range lost {
			p.setChoose(lives[n:n+1], func(path string, _ command) (fault, time.Duration) {
				mu.Lock()
				defer mu.Unlock()
				if path == "/run-start" && !lost[n] {
					lost[n] = true
					return faultLoseAnswer, 0
				}
				return faultNone, 0
			})
		}
	}
	p.onEnd = func(w *worker, r *run, how string) {
		if how != "stopped" || r.worked < lastingStart {
			return
		}
		away := 0
		for n := range tasks {
			if n == r.task.index {
				continue
			}
			atWork := false
			for _, o := range p.running[taskName{j.id, 0, 0, n}.String()] {
				atWork = atWork || o.run.worked >= lastingStart
			}
			if !atWork && p.orderedAway[n] {
				away++
			}
		}
		p.orderedAway[r.task.index] = true
		p.logf("an order has ended %s at work, %d others of its step are away by orders", r.task, away)
		if away >= 1 {
			p.violation("AVAIL", "%s was at work on the sound %s and was ended by a stop while %d other is away by an order, and MayMiss is 1", r.task, w.id, away)
		}
	}
	if !c.submit(j) {
		fatal("the job was not accepted")
	}
	time.Sleep(15 * time.Second)
}
