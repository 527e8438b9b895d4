package interference

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"gooseberryreel/internal/remote"
)

var startTime = time.UnixMilli(1_700_000_000_000)

// Guards against estimates that confuse two jobs or are biased by noise.
func TestEstimatorDistinguishesJobs(t *testing.T) {
	c := qt.New(t)
	rng := rand.New(rand.NewPCG(1, 1))
	e := NewEstimator()
	truth := TaskShares{"quiet": 0.004, "noisy": 0.2}
	for i := range 400 {
		e.Advance(startTime.Add(time.Duration(i) * 30 * time.Second))
		tasks := TaskShares{}
		slowdown := 1.0
		for job, excess := range truth {
			if n := float64(rng.IntN(4)); n > 0 {
				tasks[job] = n
				slowdown += n * excess
			}
		}
		e.Observe("web", 0.5, tasks, slowdown+0.02*rng.NormFloat64())
	}
	for job, excess := range truth {
		got := e.Slowdown("web", job, 0.5) - 1
		c.Check(got > excess-0.01 && got < excess+0.01, qt.IsTrue, qt.Commentf("%s: %v", job, got))
	}
	// A service without observations has the prior over all services.
	c.Check(e.Slowdown("other", "noisy", 0.5) > 1.1, qt.IsTrue)
	c.Check(e.Slowdown("other", "quiet", 0.5) < 1.03, qt.IsTrue)
}

// Guards against learning from periods in which a change of the tasks is not yet
// visible in the latency.
func TestMeterWaitsForLag(t *testing.T) {
	c := qt.New(t)
	e := NewEstimator()
	m := NewMeter(10*time.Second, e)
	report := func(second int, tasks TaskShares, mean int64) {
		m.Add(Report{Worker: "w", Service: "web", Load: 0.5, Requests: 100, MeanUS: mean, Tasks: tasks}, startTime.Add(time.Duration(second)*time.Second))
	}
	for s := range 30 {
		report(s, nil, 1000)
	}
	for s := 30; s < 200; s++ {
		// The tasks change at shorter intervals than the reporting lag.
		report(s, TaskShares{"a": float64(1 + s/5%2)}, 5000)
	}
	c.Assert(e.Size(), qt.Equals, 0)
	for s := 200; s < 260; s++ {
		report(s, TaskShares{"a": 1}, 1500)
	}
	c.Assert(e.Slowdown("web", "a", 0.5) > 1.2, qt.IsTrue)
}

func observed(slowdown float64, percent int) []Observation {
	return []Observation{{Worker: "w", Slowdown: slowdown, Tasks: []Task{
		{Ref: remote.TaskRef{Job: "noisy", Attempt: 1}, Excess: 0.5, Percent: percent},
	}}}
}

// Guards against eviction before throttling, against actions without hysteresis
// and against evictions beyond the rate limit.
func TestControllerEscalates(t *testing.T) {
	c := qt.New(t)
	k := NewController(Thresholds{Throttle: 1.2, Unthrottle: 1.1, Evict: 1.5}, time.Second, 1)
	now := startTime
	step := func(slowdown float64, percent int) []Action {
		now = now.Add(3 * time.Second)
		return k.Step(now, observed(slowdown, percent))
	}
	c.Assert(step(2, 100), qt.HasLen, 0) // one observation is not enough
	first := step(2, 100)
	c.Assert(first, qt.HasLen, 1)
	c.Assert(first[0].Kind, qt.Equals, Throttle)
	step(2, 20)
	second := step(2, 20)
	c.Assert(second, qt.HasLen, 1)
	c.Assert(second[0].Kind, qt.Equals, Evict)
	step(2, 20)
	c.Assert(step(2, 20), qt.HasLen, 0) // beyond the limit of one eviction a minute
	for range 10 {
		c.Assert(step(1.15, 20), qt.HasLen, 0) // between Unthrottle and Throttle
	}
	var unthrottled []Action
	for range 4 {
		unthrottled = step(1, 20)
	}
	c.Assert(unthrottled, qt.HasLen, 1)
	c.Assert(unthrottled[0].Percent, qt.Equals, throttledPercent)
}
