package main

import (
	"fmt"
	"time"
)

// crashedFeed: a lasting submission, and one runner of eight that crashes five times in a
// row, each time the one on which the first task of the submission runs. LOST is broken if
// the submission is then shown as failed, although no run of it has ended so.
func crashedFeed(d *deployment, trouble bool) int {
	const feed, down = "5c0e7a21d94b36f8", time.Second
	length := func(string, int) (time.Duration, bool) { return 0, false }
	for n := range 8 {
		if d.addRunner(fmt.Sprintf("i-00000000a%d", n+1), "perth-hills", fmt.Sprintf("r1-%d", n/4+1), length) != nil {
			return couldNotRun
		}
	}
	if !d.start(3) {
		return couldNotRun
	}
	body := map[string]any{"Spec": "season-watch", "Phases": []any{map[string]any{
		"Count": 6, "Cpu": 3000, "MemMb": 6400, "EstimateMs": 400, "LongRunning": true, "Image": "watch", "TargetMs": 100,
	}}}
	if !d.submit(d.instances[0], feed, body) {
		return couldNotRun
	}
	state := ""
	for crash := 0; crash < 5; crash++ {
		run := d.log.waitRunning(feed+".0.0.0", 12*time.Second)
		if run == nil {
			break
		}
		time.Sleep(1500 * time.Millisecond)
		state = d.state(d.instances[1], feed)
		d.note("state %s; run %d of the first task is on %s", state, run.run, run.worker)
		if !trouble {
			continue
		}
		if err := d.crashRunner(run.worker, down, length); err != nil {
			return couldNotRun
		}
	}
	time.Sleep(8 * time.Second)
	state = d.state(d.instances[1], feed)
	counts := d.log.count()
	d.note("state %s, runs: %v", state, counts)
	if state == "failed" && counts["failed"] == 0 {
		d.note("LOST: shown as failed, and no run of it has ended failed")
		return broken
	}
	if state != "running" {
		return couldNotRun
	}
	return held
}
