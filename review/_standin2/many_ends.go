package main

import (
	"fmt"
	"hash/fnv"
	"time"

	"gooseberryreel/internal/loopback"
)

// manyEnds: 700 small tasks run on each of eight runners. The runners are cut off for 3 s,
// in which more than 500 tasks end on each.
func manyEnds(d *deployment, trouble bool) int {
	const job = "5c0e7a21d94b36f8"
	length := func(task string, _ int) (time.Duration, bool) {
		h := fnv.New32a()
		_, _ = h.Write([]byte(task))
		return 2200*time.Millisecond + time.Duration(h.Sum32()%2000)*time.Millisecond, false
	}
	for n := range 8 {
		if err := d.addRunner(fmt.Sprintf("i-00000000a%d", n+1), "perth-hills", fmt.Sprintf("r1-%d", n/4+1), length); err != nil {
			return couldNotRun
		}
	}
	if !d.start(3) {
		return couldNotRun
	}
	body := map[string]any{"Spec": "rosters", "Phases": []any{map[string]any{"Count": 5600, "Cpu": 45, "MemMb": 150, "EstimateMs": 4000}}}
	if !d.submit(d.instances[0], job, body) {
		return couldNotRun
	}
	time.Sleep(2 * time.Second)
	d.note("runs: %v", d.log.count())
	if trouble {
		d.note("the runners are cut off")
		for _, p := range d.proxies {
			if p.SetMode(loopback.Stall) != nil {
				return couldNotRun
			}
		}
	}
	time.Sleep(3 * time.Second)
	if trouble {
		for _, p := range d.proxies {
			if p.SetMode(loopback.Forward) != nil {
				return couldNotRun
			}
		}
		d.note("the cut is over")
	}
	state := ""
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end) && state != "completed"; time.Sleep(500 * time.Millisecond) {
		state = d.state(d.instances[1], job)
	}
	time.Sleep(2 * time.Second)
	d.note("state %s, runs: %v", state, d.log.count())
	list := d.log.brokenTwice()
	for _, b := range list {
		d.note("TWICE: %s", b)
	}
	d.note("%d starts broke TWICE", len(list))
	if state != "completed" && len(list) == 0 {
		return couldNotRun
	}
	if len(list) > 0 {
		return broken
	}
	return held
}
