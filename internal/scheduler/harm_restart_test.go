package scheduler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// longestHarmOverGaps returns the longest time for which a service misses its target beside
// fillers of the given duration, of which others wait. Times without fillers that are shorter
// than a measurement don't end it. The service is measured at its target for as long as the
// measurement covers fillers: 45.4 ms is reported as 45.
func longestHarmOverGaps(disabled disabledRules, work, run time.Duration) (longest time.Duration, started int) {
	sim := newSimulation(1, 1)
	sim.disabled, sim.core.disabled = disabled, disabled
	sim.taskFor = func(r AttemptID) simTask {
		if imageOf(r) == 1 {
			return simTask{longRunning: true, latencyMS: harmlessMS}
		}
		return simTask{work: work}
	}
	sim.onStart = func(AttemptID, *simWorker) { started++ }
	service := simStepSpec(1, 1600)
	service.Lasting, service.LatencyTargetMs, service.Image = true, harmTargetMS, "service"
	sim.submit(simJob(1, service))
	sim.run(3 * time.Second)
	filler := simStepSpec(60, 100) // its predicted rise is below minThrottleRise
	filler.Filler, filler.Image, filler.EstimateMs, filler.Spread = true, "filler", work.Milliseconds(), 1
	sim.submit(simJob(102, filler))
	var from, harmed time.Duration
	for at := time.Duration(0); at < run; at += simStep {
		sim.step()
		for _, r := range sim.workers[0].active {
			if !r.task.longRunning && r.speed > 50 {
				harmed = at
			}
		}
		if at-harmed >= measureWindow {
			from = at
		}
		longest = max(longest, at-from)
		for _, r := range sim.workers[0].active {
			if r.task.longRunning {
				r.task.latencyMS = harmlessMS
				if at-harmed < measureWindow {
					r.task.latencyMS = harmTargetMS
				}
			}
		}
	}
	return longest, started
}

// Guards against a service that misses its target without end since other fillers start
// as soon as those beside it are evicted.
func TestHarmIsBoundedAfterEviction(t *testing.T) {
	longest, started := longestHarmOverGaps(disabledRules{}, time.Minute, 20*time.Second)
	without, _ := longestHarmOverGaps(disabledRules{refillAfterEviction: true}, time.Minute, 20*time.Second)
	t.Logf("longest harm %v, %v without the rule, %d starts", longest, without, started)
	qt.Check(t, longest < 4*time.Second, qt.IsTrue)
	qt.Check(t, without > 4*time.Second, qt.IsTrue)
	qt.Check(t, started >= 5, qt.IsTrue) // others start once it is measured without fillers
}

// Guards against an overrun that is counted anew with each of several short fillers that
// follow one another without a pause.
func TestHarmIsBoundedOverShortFillers(t *testing.T) {
	longest, started := longestHarmOverGaps(disabledRules{}, time.Second, 20*time.Second)
	t.Logf("longest harm %v, %d starts", longest, started)
	qt.Check(t, longest < 4*time.Second, qt.IsTrue)
	qt.Check(t, started >= 10, qt.IsTrue)
}

// Guards against fillers that start while one of those evicted before them still runs, since
// its stop was lost: the service then misses its target beside both without a pause.
func TestHarmIsBoundedIfStopIsLost(t *testing.T) {
	longest := func(disabled disabledRules) time.Duration {
		h := harmCase{measured: func(time.Duration) int64 { return harmTargetMS }, fillers: 8, cpu: 100, work: time.Minute}
		lost := make(map[Command]bool)
		h.event = func(sim *simulation, _ time.Duration) {
			sim.faultOf = func(o Command) simFault {
				first := Command{Kind: o.Kind, AttemptID: o.AttemptID}
				if (o.Kind == CommandStop || o.Kind == CommandThrottle) && o.AttemptID.Task == 0 && !lost[first] {
					lost[first] = true
					return dropCommand
				}
				return noFault
			}
		}
		_, d := h.longestHarm(disabled, 15*time.Second)
		return d
	}
	with, without := longest(disabledRules{}), longest(disabledRules{refillAfterEviction: true})
	t.Logf("longest harm %v, %v without the rule", with, without)
	qt.Check(t, with < 4*time.Second, qt.IsTrue)
	qt.Check(t, without > 4*time.Second, qt.IsTrue)
}
