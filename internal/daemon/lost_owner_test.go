package daemon

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"gooseberryreel/internal/emulator"
	"gooseberryreel/internal/leader"
	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/scheduler"
	"gooseberryreel/internal/witness"
)

const (
	// restartLimit is how long after the end of a long-running task the next run may
	// begin: 6 s, and 3 s in which nothing may run.
	restartLimit = 9 * time.Second
	// restartMargin is what has to be left of it for slow machines.
	restartMargin = 500 * time.Millisecond
	neverBack     = time.Hour
)

// lostOwner is how an owner is lost together with a worker, at time zero.
type lostOwner struct {
	name string
	// backAt is when a new process at its address answers.
	backAt time.Duration
	// lostWitnesses of its witnesses are lost with it.
	lostWitnesses int
}

// takeover is what the next owner knows: when it took over, when the earlier one had
// stopped at the latest, from when its newest leases count if that is known, and when it
// learned that.
type takeover struct {
	at, stoppedAt, permittedAt, knownAt time.Duration
	permitted                           bool
}

// slowOwner is how long the parts of a restart take for an owner with a small share of a
// slow processor.
type slowOwner struct{ pass, append, start time.Duration }

// simulateTakeover lets the next owner notice the loss, claim and ask, in virtual time. The
// instance polls at a phase of its interval and has a rank among the candidates.
func simulateTakeover(l lostOwner, phase time.Duration, rank int) takeover {
	const (
		step      = 10 * time.Millisecond
		claimTime = 250 * time.Millisecond // reads the state and appends the claim
		callTime  = 50 * time.Millisecond
	)
	epoch := time.Unix(1_700_000_000, 0)
	self := leader.Candidate{Instance: "b", CPUMilli: 100}
	var candidates []leader.Candidate
	for n := range rank {
		candidates = append(candidates, leader.Candidate{Instance: fmt.Sprint("a", n), CPUMilli: 100})
	}
	candidates = append(candidates, self)
	elector := leader.New(self, leader.Settings{
		UnownedDelay: claimUnownedDelay, StaggerDelay: claimStaggerDelay, SettleTime: claimSettleTime, UnlistedDelay: claimUnlistedDelay, SmallMachineDelay: claimSmallMachineDelay,
	})
	elector.LookupSucceeded(true, epoch.Add(-time.Second))
	var t takeover
	for now, next := time.Duration(0), phase; t.at == 0; now += step {
		if now < next {
			continue
		}
		elector.LookupSucceeded(now < ownerTTL, epoch.Add(now)) // it was renewed at zero
		next = now + ownerPollInterval
		if elector.OwnerMissing() {
			next = now + unownedPollInterval
		}
		if elector.ShouldClaim(candidates, epoch.Add(now)) {
			t.at = now + claimTime
		}
	}
	revocation := witness.NewRevocation(witness.MaxWitnesses)
	for now := t.at; ; now += earlierOwnerPollInterval {
		answered := now + callTime
		known := false
		stopped := func(at time.Duration) {
			if !known || at < t.stoppedAt {
				known, t.stoppedAt, t.knownAt = true, at, answered
			}
		}
		for n := range witness.MaxWitnesses - l.lostWitnesses {
			revocation.Answered(fmt.Sprint(n), answered, answered) // it granted at zero
		}
		if at, ok := revocation.EndedAt(); ok {
			stopped(at)
			t.permittedAt, t.permitted = at-witness.GrantTime, true
		}
		if now >= l.backAt {
			stopped(answered - time.Duration(float64(answered-l.backAt)*(1-clockTolerance)))
		}
		if over := now - t.at - scheduler.OwnerGrace; over >= 0 {
			stopped(now - over)
		}
		if known {
			return t
		}
	}
}

// simulateRestart returns when the next owner starts the task of a lost worker again on
// another one.
func simulateRestart(t *testing.T, over takeover, slow slowOwner) time.Duration {
	began := time.Unix(1_700_000_000, 0)
	now := began.Add(over.at)
	core := scheduler.New(scheduler.Options{Epoch: 2, Lease: 6 * time.Second, Retention: time.Hour}, now)
	core.SetConfig(&scheduler.Config{Version: 1, Queues: []scheduler.Queue{{Name: "q", Pool: "p", MaxAttempts: 3, Stretch: 2}}})
	entry := func(id string) scheduler.WorkerEntry {
		return scheduler.WorkerEntry{ID: id, Pool: "p", Address: id, Incarnation: 1, Capacity: scheduler.Resources{CPUMilli: 8000, MemoryMiB: 8000}}
	}
	sub := &pb.Submission{Id: "j", Queue: "q", Service: "p", MaxAttempts: 3, Stretch: 2, Steps: []*pb.StepSpec{{Tasks: 1, CpuMilli: 1000, MemoryMib: 100, Lasting: true}}}
	core.Restore(sub, &scheduler.JobRecord{State: &pb.StoredJob{Id: "j", Phase: pb.JobPhase_JOB_PHASE_ACTIVE, Begun: true, NextRound: 1, Rounds: []*pb.StoredRound{{
		Steps: []*pb.StoredStep{{Tasks: []*pb.StoredTask{{Run: 1, Attempts: []*pb.StoredAttempt{{Run: 1, Worker: "lost", Address: "lost", Incarnation: 1}}}}}},
	}}}}, now)
	core.Start(now)
	core.SetWorker(entry("lost"), now)
	core.SetWorker(entry("other"), now)
	confirmed := false
	earlier := scheduler.EarlierOwner{StoppedAt: began.Add(over.stoppedAt)}
	if over.permitted {
		earlier.PermittedAt = began.Add(over.permittedAt)
	}
	var nextPass, committedAt time.Time
	var committing *scheduler.Batch
	for ; now.Sub(began) < time.Minute; now = now.Add(10 * time.Millisecond) {
		if !confirmed && now.Sub(began) >= over.knownAt {
			confirmed = true
			core.ConfirmNoEarlierOwner([]scheduler.EarlierOwner{earlier}, now)
		}
		core.EntriesRead(now, now)
		core.Advance(now)
		if !now.Before(nextPass) && core.PassDue(now) {
			core.Pass(now)
			nextPass = now.Add(slow.pass)
		}
		if committing == nil {
			if b := core.TakeBatch(now); !b.Empty() {
				committing, committedAt = b, now.Add(slow.append)
			}
		}
		if committing != nil && !now.Before(committedAt) {
			core.Committed(committing, now)
			committing = nil
		}
		for _, c := range core.TakeOutput().Commands {
			if c.Kind == scheduler.CommandStart {
				qt.Assert(t, c.Worker, qt.Equals, "other")
				return now.Sub(began) + slow.start
			}
			r := scheduler.CommandResult{Command: c, Err: errors.New("no answer")}
			if c.Worker == "other" {
				r.Err, r.Clock = nil, now.Sub(began)
				r.Hold = &scheduler.HoldReply{Clock: r.Clock, Incarnation: 1}
			}
			core.CommandDone(r, now)
		}
	}
	return neverBack
}

// Guards against long-running tasks of a worker that is lost together with the owner and
// run again too late: the sum of the waits for the takeover, for the proof that the earlier
// owner doesn't act any more, and for its leases.
func TestLostOwnersAndWorkersDelayNoRestart(t *testing.T) {
	for _, l := range lostOwners {
		t.Run(l.name, func(t *testing.T) {
			longest, takesOver := l.longestRestart(t, slowOwner{})
			t.Logf("takeover after %v, restart after %v at most", takesOver, longest)
			qt.Check(t, longest < restartLimit-restartMargin, qt.IsTrue, qt.Commentf("%v", longest))
		})
	}
}

// Guards against long-running tasks of a worker that is lost together with the owner and
// run again too late where the next owner has a small share of a slow processor: the wait
// for the leases of the earlier owner must leave it time to place, record and start them.
func TestLostOwnersAndWorkersDelayNoRestartOfSlowOwner(t *testing.T) {
	// The medians with 0.03 of a processor and workers that take 0.3 s for an answer.
	slow := slowOwner{pass: 500 * time.Millisecond, append: 600 * time.Millisecond, start: 700 * time.Millisecond}
	for _, l := range lostOwners {
		t.Run(l.name, func(t *testing.T) {
			longest, takesOver := l.longestRestart(t, slow)
			t.Logf("takeover after %v, restart after %v at most", takesOver, longest)
			qt.Check(t, longest < restartLimit, qt.IsTrue, qt.Commentf("%v", longest))
		})
	}
}

var lostOwners = []lostOwner{
	{"killed, restarts at once", 300 * time.Millisecond, 0},
	{"dark for 2 s", 2 * time.Second, 0},
	{"dark for 4 s", 4 * time.Second, 0},
	{"gone for good", neverBack, 0},
	{"gone for good with a witness", neverBack, 1},
	{"killed with all witnesses", 300 * time.Millisecond, witness.MaxWitnesses},
}

// longestRestart returns the longest time to the restart of the task, over the phases of the
// polls and the ranks of the next owner, and the longest time to the takeover.
func (l lostOwner) longestRestart(t *testing.T, slow slowOwner) (restart, takesOver time.Duration) {
	for phase := time.Duration(0); phase < ownerPollInterval; phase += 50 * time.Millisecond {
		for rank := range 3 {
			over := simulateTakeover(l, phase, rank)
			restart, takesOver = max(restart, simulateRestart(t, over, slow)), max(takesOver, over.at)
		}
	}
	return restart, takesOver
}

// Guards against tasks of a worker that is lost for good at the same time as the owner and
// that wait for all the time for which an owner may act without the store.
func TestTaskOfLostOwnerAndWorkerRunsAgain(t *testing.T) {
	t.Parallel()
	p := newProcessDeployment(t, 4, func(string, int) emulator.Behaviour { return emulator.Behaviour{LongRunning: true} })
	p.submitTo(p.processes[0], 1, 1)
	p.eventually("the task runs", func() bool { return len(p.attempts.Starts()) == 1 })
	time.Sleep(witnessRetryDelay + 2*witness.RenewInterval) // the owner has witnesses by then
	owner := p.listedOwner()
	lost := time.Now()
	for n, w := range p.workers {
		if w.ID == p.attempts.Starts()[0].Worker {
			w.Close()
			p.workers = slices.Delete(p.workers, n, n+1)
			break
		}
	}
	p.kill(owner)
	p.eventually("the task runs again", func() bool { return len(p.attempts.Starts()) == 2 })
	qt.Check(t, time.Since(lost) < restartLimit, qt.IsTrue, qt.Commentf("after %v", time.Since(lost)))
	qt.Check(t, p.attempts.Violations(), qt.HasLen, 0)
	p.processes = slices.DeleteFunc(p.processes, func(proc *process) bool { return proc == owner })
}
