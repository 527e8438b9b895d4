package main

import (
	"fmt"
	"time"
)

// longCase submits a task that takes ten minutes, as its estimate says, and may run on two
// of eight workers. Without trouble the task takes one minute.
func longCase(p *platform, dir string, trouble bool) {
	const workers, watch = 8, 60 * time.Second
	for n := range workers {
		kind := "a"
		if n%4 == 0 {
			kind = "b"
		}
		p.startWorker(fmt.Sprintf("i-%08x", 0xa0+n), zones[n%3], fmt.Sprintf("r1-%d", n/4), kind, resources{32000, 128000, 0}, false, "")
	}
	list := p.deployment(dir, 3)
	defer closeAll(list)
	c := newClient(p, list)
	length := time.Minute
	if trouble {
		length = 10 * time.Minute
	}
	j := &job{
		id: "91b7e04ca8d2536f", prefix: plainQueue,
		steps:     []step{{Count: 1, Cpu: 4000, MemMb: 8000, EstimateMs: length.Milliseconds(), Requires: "b"}},
		behaviour: func(taskName, int) (time.Duration, bool) { return length, false },
	}
	if !c.submit(j) {
		fatal("the job was not accepted")
	}
	name := taskName{j.id, 0, 0, 0}.String()
	idleSince, longest := time.Now(), time.Duration(0)
	for began := time.Now(); time.Since(began) < finish+watch; time.Sleep(20 * time.Millisecond) {
		p.mu.Lock()
		running, done := len(p.running[name]) > 0, !p.doneAt[name].IsZero()
		p.mu.Unlock()
		if running || done || time.Since(began) < finish {
			idleSince = time.Now()
		}
		longest = max(longest, time.Since(idleSince))
	}
	state := c.state(j)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.logf("state %s, %d starts, longest time with nothing running %v", state, p.starts, longest.Round(10*time.Millisecond))
	if longest > 3*time.Second {
		p.violation("LOST", "%s has nothing running for %v, more than %v after the traffic, and both of its workers are empty; %d runs were stopped in %v", j.id, longest.Round(10*time.Millisecond), finish, p.starts-1, finish+watch)
	}
}
