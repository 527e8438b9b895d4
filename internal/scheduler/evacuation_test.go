package scheduler

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// simEvacuations are the operator's requests in the store of a simulation.
type simEvacuations struct {
	bound       time.Duration
	domains     []string
	requestedAt map[string]time.Time // by domain
	down        bool                 // requests don't reach the owner
	// overdue is the time for which a domain was evacuated for longer than the bound.
	overdue time.Duration
}

// evacuate replaces the set of evacuated failure domains.
func (sim *simulation) evacuate(domains ...string) {
	sim.log("evacuated: %v", domains)
	requestedAt := make(map[string]time.Time)
	for _, d := range domains {
		requestedAt[d] = sim.now
		if at, before := sim.evacuations.requestedAt[d]; before {
			requestedAt[d] = at
		}
	}
	sim.evacuations.domains, sim.evacuations.requestedAt = domains, requestedAt
}

// passEvacuations passes the requests to the owner, unless it can't read them.
func (sim *simulation) passEvacuations() {
	for _, at := range sim.evacuations.requestedAt {
		if sim.now.Sub(at) > sim.evacuations.bound {
			sim.evacuations.overdue += simStep
			break
		}
	}
	if !sim.evacuations.down {
		sim.core.SetEvacuations(sim.evacuations.domains, sim.now)
		sim.core.RequestsRead(sim.now, sim.now)
	}
}

// newEvacuationSimulation returns a simulation of workers in three failure domains
// whose tasks are short, and the number of starts in evacuated domains that came later
// than the bound.
func newEvacuationSimulation(seed uint64, disabled disabledRules) (*simulation, *int) {
	sim := newSimulation(seed, 12)
	for n, sw := range sim.workers {
		sw.domain = fmt.Sprintf("z%d", n%3)
	}
	sim.evacuations.bound, sim.disabled = 5*time.Second, disabled
	sim.takeOver()
	late := new(int)
	sim.onStart = func(id AttemptID, sw *simWorker) {
		e := &sim.evacuations
		if at, evacuated := e.requestedAt[sw.domain]; evacuated && sim.now.Sub(at) > e.bound {
			*late++
			sim.log("late start of %s on %s in %s", id, sw.id, sw.domain)
		}
	}
	return sim, late
}

// submitContinuously submits a job of short tasks every 100 ms.
func (sim *simulation) submitContinuously(from, jobs int) {
	for n := range jobs {
		sim.submit(simJob(from+n, simStepSpec(6, 1000)))
		sim.run(100 * time.Millisecond)
	}
}

// Guards against starts in a failure domain after the bound of its evacuation: by the
// owner that has read the request, by one that can't read requests, by a new owner, and
// by starts that are delayed on their way.
func TestNoStartInEvacuatedDomain(t *testing.T) {
	for _, disabled := range []disabledRules{{}, {ignoreEvacuations: true}} {
		late := 0
		for seed := range uint64(12) {
			sim, lateHere := newEvacuationSimulation(seed, disabled)
			sim.faults = networkFaults{late: 0.1, loseReply: 0.05}
			sim.submitContinuously(1, 20)
			sim.evacuations.down = seed%2 == 0
			sim.evacuate("z1")
			sim.submitContinuously(100, 20)
			if seed%3 == 0 {
				sim.evacuations.down = false // a new owner reads the requests before it starts
				sim.takeOver()
			}
			sim.submitContinuously(200, 60)
			late += *lateHere
			if !disabled.ignoreEvacuations && *lateHere > 0 {
				t.Logf("seed %d: %d late starts", seed, *lateHere)
			}
		}
		if disabled.ignoreEvacuations {
			qt.Check(t, late > 0, qt.IsTrue, qt.Commentf("without the rule no start is late"))
		} else {
			qt.Check(t, late, qt.Equals, 0)
		}
	}
}

// Guards against a domain that stays unused after its evacuation is taken back, and
// against jobs that are lost meanwhile.
func TestEvacuatedDomainReturns(t *testing.T) {
	sim, _ := newEvacuationSimulation(3, disabledRules{})
	sim.evacuate("z0", "z1", "z2")
	sim.submitContinuously(1, 10)
	qt.Assert(t, sim.starts, qt.Equals, 0)
	sim.evacuate()
	sim.run(5 * time.Second)
	for id, s := range sim.states() {
		qt.Check(t, stateName(s), qt.Equals, "completed", qt.Commentf("job %s", id))
	}
}

// logged returns the lines of the trace with a text.
func (sim *simulation) logged(text string) []string {
	var lines []string
	for _, line := range sim.trace {
		if strings.Contains(line, text) {
			lines = append(lines, line)
		}
	}
	return lines
}

// Guards against an operator who can't see whether the request was understood, or when
// the failure domain may be taken down.
func TestEvacuationIsReported(t *testing.T) {
	c := qt.New(t)
	sim, _ := newEvacuationSimulation(5, disabledRules{})
	sim.submitContinuously(1, 20)
	sim.evacuate("z1", "nowhere")
	requestedAt := sim.now
	sim.run(50 * time.Millisecond)
	c.Check(sim.logged("evacuation requested [domain nowhere workers 0 attempts 0]"), qt.HasLen, 1)
	c.Check(sim.logged("evacuation requested [domain z1 workers 4"), qt.HasLen, 1)
	c.Check(sim.core.Evacuations()[1].Attempts > 0, qt.IsTrue)
	sim.submitContinuously(100, 20)
	c.Check(sim.logged("domain empty [domain z1"), qt.HasLen, 1)
	c.Check(sim.logged("domain empty [domain nowhere"), qt.HasLen, 0)
	status := sim.core.Evacuations()
	c.Assert(status, qt.HasLen, 2)
	c.Check(status[1].Domain, qt.Equals, "z1")
	c.Check(status[1].Workers, qt.Equals, 4)
	c.Check(status[1].Attempts, qt.Equals, 0)
	c.Check(status[1].Since.Sub(requestedAt) <= simStep, qt.IsTrue)
	c.Check(status[1].Withheld, qt.Equals, int64(0), qt.Commentf("the other domains have free capacity"))
	sim.evacuate("z0", "z1", "z2")
	sim.submit(simJob(500, simStepSpec(6, 1000)))
	sim.run(time.Second)
	for _, s := range sim.core.Evacuations() {
		c.Check(s.Withheld >= 6, qt.IsTrue, qt.Commentf("%+v", s))
	}
	sim.takeOver()
	sim.run(time.Second)
	c.Check(len(sim.logged("evacuation requested [domain z1 workers 4")), qt.Equals, 2, qt.Commentf("a new owner reports the workers once it knows them"))
}

// Guards against a failure domain that is filled at once when it returns from an
// evacuation with cold workers: urgent work that waits then starts on workers that are
// 5 times slow.
func TestReturningDomainIsFilledGradually(t *testing.T) {
	skipLong(t)
	first, later := make(map[bool]int), make(map[bool]int)
	for seed := range uint64(6) {
		for _, disabled := range []disabledRules{{}, {refillAtOnce: true}} {
			sim, _ := newEvacuationSimulation(seed, disabled)
			sim.evacuate("z1")
			// More than the other domains hold.
			submit := func(from, jobs int) {
				for n := range jobs {
					sim.submit(simJob(from+n, simStepSpec(8, 1000)))
					sim.run(50 * time.Millisecond)
				}
			}
			submit(1, 40)
			for _, sw := range sim.workers {
				if sw.domain == "z1" {
					sw.slowdown, sw.coldUntil = 5, sim.now.Add(3*time.Second)
					sim.core.SetWorker(sw.entry(), sim.now)
				}
			}
			starts := 0
			sim.onStart = func(_ AttemptID, sw *simWorker) {
				if sw.domain == "z1" {
					starts++
				}
			}
			sim.evacuate()
			submit(100, 20)
			first[disabled.refillAtOnce] += starts
			submit(200, 40)
			for _, sw := range sim.workers {
				sw.slowdown, sw.coldUntil = 0, time.Time{}
				sim.core.SetWorker(sw.entry(), sim.now)
			}
			submit(300, 80)
			starts = 0
			submit(400, 20)
			later[disabled.refillAtOnce] += starts
		}
	}
	t.Logf("starts in the domain in the first second %d, without the rule %d; in a later second %d and %d", first[false], first[true], later[false], later[true])
	qt.Check(t, first[false] <= 6*(7+9), qt.IsTrue, qt.Commentf("a fifth of 32 cores a second, and one step more"))
	qt.Check(t, first[true] > first[false]*3/2, qt.IsTrue)
	qt.Check(t, later[false]*10 > later[true]*9, qt.IsTrue)
}

// Guards against a new owner that fills a domain of cold workers at once, since it does
// not know of the evacuation, and against a deployment whose workers are all cold and
// whose tasks wait for nothing.
func TestRefillAfterTakeover(t *testing.T) {
	for _, all := range []bool{false, true} {
		sim, _ := newEvacuationSimulation(7, disabledRules{})
		for _, sw := range sim.workers {
			if all || sw.domain == "z1" {
				sw.slowdown, sw.coldUntil = 5, sim.now.Add(5*time.Second)
			}
		}
		sim.takeOver()
		sim.run(100 * time.Millisecond)
		starts := 0
		sim.onStart = func(_ AttemptID, sw *simWorker) {
			if sw.domain == "z1" {
				starts++
			}
		}
		sim.submit(simJob(1, simStepSpec(90, 1000)))
		sim.submit(simJob(2, simStepSpec(90, 1000)))
		sim.run(200 * time.Millisecond)
		t.Logf("all cold %v: %d starts in the domain", all, starts)
		qt.Check(t, starts == 32, qt.Equals, all)
	}
}
