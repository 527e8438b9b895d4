package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// finishTime is finish_s: how long after the end of the traffic submissions are asked for.
const finishTime = 14 * time.Second

// servingFiller: a client hands in lasting tasks that fill and have a target. LOST is broken
// if submissions that were accepted then have nothing running for 3 s, while the runners are
// idle.
func servingFiller(d *deployment, trouble bool) int {
	const feed = "5c0e7a21d94b36f8"
	length := func(task string, _ int) (time.Duration, bool) {
		if strings.HasPrefix(task, feed) {
			return 0, false // it lasts
		}
		return 2 * time.Second, false
	}
	for n := range 4 {
		if d.addRunner(fmt.Sprintf("i-00000000a%d", n+1), "perth-hills", fmt.Sprintf("r1-%d", n+1), length) != nil {
			return couldNotRun
		}
	}
	if !d.start(3) {
		return couldNotRun
	}
	roster := map[string]any{"Spec": "roster", "Phases": []any{map[string]any{"Count": 20, "Cpu": 2000, "MemMb": 1000, "EstimateMs": 2000}}}
	step := map[string]any{"Count": 2, "Cpu": 1000, "MemMb": 500, "EstimateMs": 400, "LongRunning": true, "Fills": true, "Image": "feed"}
	if trouble {
		step["TargetMs"] = 50
	}
	accepted := []string{}
	for n := range 10 {
		if n == 2 {
			d.note("the step that lasts: %v", step)
			d.submit(d.instances[0], feed, map[string]any{"Spec": "feed", "Phases": []any{step}})
		}
		id := fmt.Sprintf("00000000000000a%x", n)
		if d.submit(d.instances[n%3], id, roster) {
			accepted = append(accepted, id)
		}
		time.Sleep(time.Second)
	}
	if len(accepted) == 0 {
		return couldNotRun
	}
	time.Sleep(finishTime)
	code := held
	for _, id := range accepted {
		state := d.state(d.instances[0], id)
		done, busy := d.log.progress(id, time.Now().Add(-3*time.Second))
		inUse := d.log.running(time.Now().Add(-3*time.Second)) - d.log.runningOf(feed)
		d.note("GET %s: %s; %d of 20 tasks done, running in the last 3 s: %d, of all submissions but the lasting one: %d", id, state, done, busy, inUse)
		if done < 20 && busy == 0 && inUse == 0 {
			d.note("LOST: %s has nothing running for 3 s, with the runners idle", id)
			code = broken
		}
	}
	for _, i := range d.instances {
		status, _, err := call(http.MethodGet, "http://"+i.ready+"/readyz", nil, time.Second)
		d.note("process of %s runs: %v; GET /readyz: %d %v", i.name, alive(i), status, err)
	}
	return code
}
