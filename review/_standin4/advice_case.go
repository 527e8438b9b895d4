package main

import (
	"fmt"
	"time"
)

// adviceCase submits a job to a queue with advice, whose tasks take longer than a ticket
// is valid, and crashes one worker once another task of the step has ended.
func adviceCase(p *platform, dir string, trouble bool) {
	const workers = 8
	for n := range workers {
		p.startWorker(fmt.Sprintf("i-%08x", 0xa0+n), zones[n%3], fmt.Sprintf("r1-%d", n/4), "a", resources{32000, 128000, 0}, false, "")
	}
	list := p.deployment(dir, 3)
	defer closeAll(list)
	c := newClient(p, list)
	j := &job{
		id: "5c0e7a21d94b36f8", prefix: askQueue, advice: true,
		steps: []step{{Count: 4, Cpu: 20000, MemMb: 16000, EstimateMs: 5000}},
		behaviour: func(t taskName, _ int) (time.Duration, bool) {
			return time.Duration(2+2*t.index) * time.Second, false
		},
	}
	if !c.submit(j) {
		fatal("the job was not accepted")
	}
	time.Sleep(5 * time.Second)
	if trouble {
		p.mu.Lock()
		var victim *worker
		for _, o := range p.running[taskName{j.id, 0, 0, 3}.String()] {
			victim = o.worker
		}
		p.mu.Unlock()
		if victim == nil {
			fatal("the last task does not run")
		}
		victim.crash()
		time.Sleep(time.Second)
		p.startWorker(victim.id, victim.zone, victim.rack, victim.kind, victim.capacity, false, victim.address)
	}
	// Nothing else is submitted. From finish_s after the end of the traffic and of the
	// disruption, nothing running for 3 s with room for it breaks the rule.
	quiet, idleSince := time.Now(), time.Time{}
	for began := time.Now(); time.Since(began) < 55*time.Second; time.Sleep(100 * time.Millisecond) {
		if c.state(j) == "completed" {
			return
		}
		p.mu.Lock()
		running := 0
		for n := range j.steps[0].Count {
			running += len(p.running[taskName{j.id, 0, 0, n}.String()])
		}
		p.mu.Unlock()
		if running > 0 || time.Since(quiet) < finish {
			idleSince = time.Now()
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if idle := time.Since(idleSince); idle > 3*time.Second {
		p.violation("LOST", "%s is shown as %s, has nothing running for %v from %v after the traffic on, and all %d workers are empty", j.id, j.state, idle.Round(100*time.Millisecond), finish, workers)
	}
}
