package main

import (
	"net/http"
	"time"
)

// unknownCancel: a client cancels a submission that never reached the system. MIXED is
// broken if it is then shown.
func unknownCancel(d *deployment, trouble bool) int {
	const id = "5c0e7a21d94b36f8"
	if d.addRunner("i-00000000a1", "perth-hills", "r1-1", func(string, int) (time.Duration, bool) { return time.Second, false }) != nil {
		return couldNotRun
	}
	if !d.start(3) {
		return couldNotRun
	}
	d.note("GET %s: %s", id, d.state(d.instances[1], id))
	if trouble {
		status, _, err := call(http.MethodDelete, "http://"+d.instances[0].caller+prefix+id, nil, 3*time.Second)
		d.note("DELETE %s: %d %v", id, status, err)
	}
	time.Sleep(4 * time.Second)
	state := d.state(d.instances[1], id)
	d.note("GET %s: %s", id, state)
	switch state {
	case "queued", "running", "completed", "failed", "aborted":
		d.note("MIXED: a submission that nobody submitted is shown as %s", state)
		return broken
	case "410":
		return held
	}
	return couldNotRun
}
