package scheduler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a task that waits without a log line that tells why.
func TestLogTellsWhyStepWaits(t *testing.T) {
	c := qt.New(t)
	sim := newSimulation(1, 3)
	sim.run(time.Second)
	labelled := simStepSpec(2, 500)
	labelled.RequiredLabel = "none"
	sim.submit(simJob(1, simStepSpec(3, 7000)))
	sim.submit(simJob(2, simStepSpec(1, 9000), labelled))
	sim.core.workers["w2"].health.until = sim.now.Add(time.Minute)
	var lines []map[string]any
	for range 1600 {
		sim.now = sim.now.Add(simStep)
		sim.core.EntriesRead(sim.now, sim.now)
		for _, w := range sim.core.workerList {
			w.answeredAt = sim.now
		}
		sim.core.Tick(sim.now)
		for _, entry := range sim.core.TakeOutput().LogEntries {
			if entry.Event != "step waits" {
				continue
			}
			fields := make(map[string]any)
			for n := 0; n < len(entry.Fields); n += 2 {
				fields[entry.Fields[n].(string)] = entry.Fields[n+1]
			}
			lines = append(lines, fields)
		}
	}
	c.Assert(len(lines) >= 6 && len(lines) <= 9, qt.IsTrue, qt.Commentf("%d lines in 16 s for three steps", len(lines)))
	seen := make(map[string]bool)
	for _, l := range lines {
		c.Check(l["wait_ms"].(int64) >= explainedWait.Milliseconds(), qt.IsTrue)
		c.Check(l["unusable"], qt.Equals, 1)
		for _, reason := range []string{"room", "label"} {
			seen[reason] = seen[reason] || l[reason] == 2
		}
	}
	c.Check(seen, qt.DeepEquals, map[string]bool{"room": true, "label": true})
	c.Check(sim.core.LongestWaits()[ShortWork] > 14*time.Second, qt.IsTrue)
}
