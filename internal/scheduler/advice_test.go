package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"gooseberryreel/internal/pb"
)

// simTicketValidity is how long the tickets of the simulated advice service are valid.
const simTicketValidity = 2 * time.Second

// answerAdvice grants the requested workers to a step.
func (sim *simulation) answerAdvice(requests []AdviceRequest) {
	for _, r := range requests {
		core, result := sim.core, &AdviceResult{AdviceRequest: r, ValidFor: simTicketValidity, Tickets: make(map[string]string)}
		for _, id := range r.Workers {
			result.Tickets[id] = "ticket"
		}
		if sim.advise != nil {
			result = sim.advise(*result)
		}
		sim.after(simStep, func() {
			if core == sim.core && result != nil {
				core.AdviceDone(*result, sim.now)
			}
		})
	}
}

// advisedJob returns a job with one step on a queue with advice.
func advisedJob(id int, spec *pb.StepSpec) *pb.Submission {
	sub := simJob(id, spec)
	sub.Queue, sub.Service, sub.MaxAttempts, sub.NeedsTicket, sub.TicketValidMs = "advised", "s", 3, true, simTicketValidity.Milliseconds()
	return sub
}

// Guards against a step on a queue with advice that is never placed again: the result of
// its next request is dropped, since its first task is done, or never arrives.
func TestStepWithAdviceIsPlacedAgain(t *testing.T) {
	// Task 0 ends first. The tickets have expired when task 3 needs another start.
	const tasks = 4
	lengths := func(id AttemptID) simTask { return simTask{work: time.Duration(1+id.Task) * time.Second} }
	at := func(sim *simulation, d time.Duration, f func(w *simWorker)) {
		sim.after(d, func() {
			for _, w := range sim.workers {
				for id := range w.active {
					if id.Task == tasks-1 {
						f(w)
						return
					}
				}
			}
		})
	}
	restart := func(sim *simulation) { at(sim, 3500*time.Millisecond, (*simWorker).restart) }
	for name, prepare := range map[string]func(*simulation){
		"worker restarts": restart,
		"worker is lost": func(sim *simulation) {
			at(sim, 3500*time.Millisecond, func(w *simWorker) {
				w.restart()
				w.downUntil, w.listed = sim.now.Add(time.Hour), false
				sim.core.RemoveWorker(w.id, sim.now)
			})
		},
		"worker leaves": func(sim *simulation) {
			at(sim, 3500*time.Millisecond, func(w *simWorker) {
				entry := w.entry()
				entry.Draining = true
				sim.core.SetWorker(entry, sim.now)
				sim.after(500*time.Millisecond, w.restart)
			})
		},
		"task fails": func(sim *simulation) {
			sim.taskFor = func(id AttemptID) simTask {
				task := lengths(id)
				task.fail = id.Task == tasks-1 && id.Number == 1
				return task
			}
		},
		"more tasks than fit": func(sim *simulation) {
			for _, w := range sim.workers[1:] {
				w.listed = false
				sim.core.RemoveWorker(w.id, sim.now)
			}
			sim.taskFor = func(AttemptID) simTask { return simTask{work: 3 * time.Second} }
		},
		"service answers with an error": func(sim *simulation) {
			restart(sim)
			sim.failAdvice(2, errors.New("status 429"))
		},
		"result never arrives": func(sim *simulation) {
			restart(sim)
			sim.failAdvice(2, nil)
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			sim := newSimulation(1, tasks)
			sim.taskFor = lengths
			prepare(sim)
			sim.submit(advisedJob(1, simStepSpec(tasks, 6000)))
			sim.run(35 * time.Second)
			c.Check(sim.core.State(sim.subs[0].GetId()), qt.Equals, pb.PublicState_PUBLIC_STATE_COMPLETED)
			c.Check(sim.violations, qt.HasLen, 0)
			if t.Failed() {
				for _, line := range sim.trace {
					t.Log(line)
				}
			}
		})
	}
}

// failAdvice lets the advice service answer one request with an error, or not at all if err
// is nil. Requests are counted from 1.
func (sim *simulation) failAdvice(number int, err error) {
	requests := 0
	sim.advise = func(r AdviceResult) *AdviceResult {
		requests++
		switch {
		case requests != number:
			return &r
		case err == nil:
			return nil
		default:
			return &AdviceResult{AdviceRequest: r.AdviceRequest, Err: err}
		}
	}
}

// Guards against long-running tasks on a queue with advice that don't run again once their
// workers have restarted under their ids: the tickets of a former life are refused, and no
// others are requested before these would have expired.
func TestTicketsOfFormerLifeAreNotUsed(t *testing.T) {
	const validFor = 20 * time.Second
	for _, entryLate := range []bool{false, true} {
		c := qt.New(t)
		sim := newSimulation(1, 6)
		sim.taskFor = func(AttemptID) simTask { return simTask{longRunning: true} }
		allowed := sim.workers[:2]
		ticketOf := func(w *simWorker) string { return fmt.Sprint("ticket of ", w.incarnation) }
		sim.advise = func(r AdviceResult) *AdviceResult {
			r.ValidFor, r.Tickets = validFor, make(map[string]string)
			for _, w := range allowed {
				if slices.Contains(r.AdviceRequest.Workers, w.id) {
					r.Tickets[w.id] = ticketOf(w)
				}
			}
			return &r
		}
		refused := 0
		sim.refuse = func(o Command) Refusal {
			if o.Kind == CommandStart && o.Ticket != ticketOf(sim.byAddress[o.Address]) {
				refused++
				return RefusedTicket
			}
			return RefusedNone
		}
		spec := simStepSpec(2, 1000)
		spec.Lasting = true
		sub := advisedJob(1, spec)
		sub.TicketValidMs = validFor.Milliseconds()
		sim.submit(sub)
		sim.run(5 * time.Second)
		c.Assert(sim.starts, qt.Equals, 2)
		for _, w := range allowed {
			w.restart()
			enter := func() { sim.core.SetWorker(w.entry(), sim.now) }
			if entryLate {
				sim.after(time.Second, enter)
			} else {
				enter()
			}
		}
		sim.run(3 * time.Second)
		c.Check(sim.starts, qt.Equals, 4, qt.Commentf("entry late %v", entryLate))
		c.Check(refused <= 2, qt.IsTrue, qt.Commentf("%d starts refused", refused))
		c.Check(sim.violations, qt.HasLen, 0)
	}
}
