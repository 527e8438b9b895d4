package scheduler

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"gooseberryreel/internal/pb"
)

// holdsOnly are 40 s in which one of four workers answers holds, but neither starts nor
// stops. The site is less than half in use.
type holdsOnly struct {
	sim     *simulation
	sent    int           // starts sent to the worker
	longest time.Duration // for which nothing of an unfinished job runs
}

func simulateHoldsOnly(seed uint64, disabled disabledRules, starts, stops simFault) holdsOnly {
	sim := newSimulation(seed, 4)
	sim.disabled, sim.core.disabled = disabled, disabled
	sim.taskFor = func(r AttemptID) simTask {
		return simTask{work: time.Duration(1+imageOf(r)%5) * 500 * time.Millisecond}
	}
	sim.run(time.Second)
	h, bad := holdsOnly{sim: sim}, sim.workers[int(seed)%len(sim.workers)]
	sim.faultOf = func(o Command) simFault {
		switch {
		case o.Address != bad.address:
		case o.Kind == CommandStart:
			h.sent++
			return starts
		case o.Kind == CommandStop:
			return stops
		}
		return noFault
	}
	waits := make(map[string]time.Duration)
	for n := range 100 {
		if n < 90 {
			spec := simStepSpec(int32(1+n%2), 1000)
			spec.Filler, spec.Image = n%3 == 0, fmt.Sprint("filler", n%4)
			sim.submit(simJob(1000+n, spec))
		}
		for range 40 {
			sim.step()
			h.noteWaits(waits)
		}
	}
	return h
}

func (h *holdsOnly) noteWaits(waits map[string]time.Duration) {
	active, running := 0, make(map[string]bool)
	for _, sw := range h.sim.workers {
		active += len(sw.active)
		for id := range sw.active {
			running[id.Job] = true
		}
	}
	if active >= 16 { // of 1,000 of 32,000
		h.sim.violate("the site is not less than half in use")
	}
	for id, state := range h.sim.states() {
		if waits[id] += simStep; running[id] || state == pb.PublicState_PUBLIC_STATE_COMPLETED {
			waits[id] = 0
		}
		h.longest = max(h.longest, waits[id])
	}
}

// Guards against jobs that run nothing for as long as a worker answers holds but neither
// starts nor stops, and against a worker that goes on receiving starts then. Once the lease that
// a start carries is over on the worker's clock, the next hold, which may wait, shows that
// the attempt can't begin any more. On a site less than half in use the task then starts
// elsewhere within half a second.
func TestStartsWithoutAnswerEnd(t *testing.T) {
	lease := Options{}.startLease()
	bound := time.Duration(float64(lease)*clockDriftFactor) + 2*leaseSlack + holdWait + 500*time.Millisecond
	for name, faults := range map[string][2]simFault{
		"dropped":        {dropCommand, dropCommand},
		"stops dropped":  {loseReply, dropCommand},
		"replies lost":   {loseReply, loseReply},
		"starts delayed": {delayCommand, dropCommand},
		"both delayed":   {delayCommand, delayCommand},
	} {
		for seed := range uint64(4) {
			t.Run(fmt.Sprint(name, " ", seed), func(t *testing.T) {
				t.Parallel()
				h := simulateHoldsOnly(seed, disabledRules{}, faults[0], faults[1])
				qt.Check(t, h.longest <= bound, qt.IsTrue, qt.Commentf("nothing of a job runs for %v, bound %v", h.longest, bound))
				if faults[0] != loseReply {
					qt.Check(t, h.sent <= 15, qt.IsTrue, qt.Commentf("%d starts sent to a worker that carries none out in time", h.sent))
				}
				qt.Check(t, h.sim.violations, qt.HasLen, 0)
				h.sim.logViolation(t)
				t.Logf("nothing of a job runs for %v, %d starts sent", h.longest, h.sent)
			})
		}
	}
	h := simulateHoldsOnly(1, disabledRules{waitForAnswers: true}, dropCommand, dropCommand)
	qt.Check(t, h.longest > bound, qt.IsTrue, qt.Commentf("nothing of a job runs for %v with the rule off", h.longest))
}

// Guards against a task that runs twice because the start of an attempt that was given up
// takes effect late: up to its lease a start may do so.
func TestAttemptsAreKeptWhileTheyMayStart(t *testing.T) {
	const seeds = 12
	var broken, given atomic.Int32
	t.Run("seeds", func(t *testing.T) {
		for seed := range uint64(seeds) {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				sim := simulateHoldsOnly(seed, disabledRules{}, delayCommand, dropCommand).sim
				qt.Check(t, sim.violations, qt.HasLen, 0)
				sim.logViolation(t)
				given.Add(int32(len(sim.logged(string(lossNotStarted)))))
				if len(simulateHoldsOnly(seed, disabledRules{trustLists: true}, delayCommand, dropCommand).sim.violations) > 0 {
					broken.Add(1)
				}
			})
		}
	})
	t.Logf("%d attempts given up; %d of %d histories break a rule if lists are trusted at once", given.Load(), broken.Load(), seeds)
	qt.Check(t, given.Load() > 0, qt.IsTrue)
	qt.Check(t, broken.Load() > 0, qt.IsTrue)
}

// Guards against an attempt that is given up although it may have ended, since the answer
// to a hold lists as many ends as fit, or although it may start, since the lease of its
// start is not over on the worker's clock or the worker has restarted since.
func TestListsThatDontShowTheEndOfAStart(t *testing.T) {
	sim := newSimulation(1, 1)
	sim.faultOf = func(o Command) simFault {
		if o.Kind == CommandHold {
			return noFault
		}
		return dropCommand
	}
	sim.run(time.Second)
	sim.submit(simJob(1, simStepSpec(1, 1000)))
	sim.run(time.Second)
	w := sim.core.workerList[0]
	qt.Assert(t, w.list, qt.HasLen, 1)
	a, incarnation := w.list[0], w.incarnation
	hold := func(clock time.Duration, incarnation int64, ends int) {
		sim.now = sim.now.Add(time.Millisecond)
		reply := &HoldReply{Clock: clock, Incarnation: incarnation}
		for n := range ends {
			reply.Ended = append(reply.Ended, EndedAttempt{Number: int64(n + 1), AttemptID: AttemptID{Job: "other", Task: n}})
		}
		sim.core.CommandDone(CommandResult{
			Command: Command{Kind: CommandHold, Worker: w.id, Address: w.entry.Address, SentAt: sim.now}, Clock: clock, Hold: reply,
		}, sim.now)
	}
	lease, late := a.startLease, a.startLease+leaseSlack+time.Millisecond
	hold(lease, incarnation, 0)
	qt.Check(t, w.attempts[a.attemptID], qt.Equals, a, qt.Commentf("within the lease"))
	hold(late, incarnation, maxListedEnds)
	qt.Check(t, w.attempts[a.attemptID], qt.Equals, a, qt.Commentf("an answer full of ends"))
	hold(late, incarnation+1, 0)
	qt.Check(t, w.attempts[a.attemptID], qt.Equals, a, qt.Commentf("after a restart"))
	a.startLease = lease // as if it had not restarted
	hold(late+time.Millisecond, incarnation+1, 0)
	qt.Check(t, w.attempts[a.attemptID], qt.IsNil, qt.Commentf("after the lease"))
}
