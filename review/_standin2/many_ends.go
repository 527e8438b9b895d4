package main

import (
	"fmt"
	"hash/fnv"
	"time"

	"gooseberryreel/internal/loopback"
)

// manyEnds: 1,400 small tasks run on the one runner of six that has the label they require.
// It is cut off for 3 s, in which they end.
func manyEnds(d *deployment, trouble bool) int {
	const job = "5c0e7a21d94b36f8"
	length := func(task string, _ int) (time.Duration, bool) {
		h := fnv.New32a()
		_, _ = h.Write([]byte(task))
		return 2200*time.Millisecond + time.Duration(h.Sum32()%2000)*time.Millisecond, false
	}
	for n := range 6 {
		if err := d.addRunner(fmt.Sprintf("i-00000000a%d", n+1), "perth-hills", fmt.Sprintf("r1-%d", n/4+1), length); err != nil {
			return couldNotRun
		}
	}
	d.runners[0].setKind("b")
	if !d.start(3) {
		return couldNotRun
	}
	body := map[string]any{"Spec": "rosters", "Phases": []any{map[string]any{"Count": 1400, "Cpu": 22, "MemMb": 85, "EstimateMs": 4000, "Requires": "b"}}}
	if !d.submit(d.instances[0], job, body) {
		return couldNotRun
	}
	time.Sleep(2 * time.Second)
	d.note("runs: %v", d.log.count())
	cut := d.proxies[d.runners[0].id]
	if trouble {
		d.note("%s is cut off", d.runners[0].id)
		if cut.SetMode(loopback.Stall) != nil {
			return couldNotRun
		}
	}
	time.Sleep(3 * time.Second)
	if trouble {
		if cut.SetMode(loopback.Forward) != nil {
			return couldNotRun
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
