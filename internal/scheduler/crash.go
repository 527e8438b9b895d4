package scheduler

import (
	"slices"
	"time"

	"gooseberryreel/internal/pb"
)

// A worker that crashes takes all attempts on it along, and any of them may be the
// cause. The cause is found in three stages. A crash is first evidence against every
// attempt there that was young. Each of their tasks is then a suspect: it is started
// again where no other attempt is young (trial.go), so that a further crash points at
// it alone. A task that outlives its earlier crashes or ends is cleared. A job fails
// once it would be too unlikely that its task only met workers that crash for other
// reasons.

const (
	// crashMaxAge is the age of an attempt from which the crash of its worker is no
	// evidence against it.
	crashMaxAge = 5 * time.Second
	// drainedMaxAge replaces it on a draining worker. Such a worker receives no starts
	// and leaves as planned after more than that.
	drainedMaxAge = time.Second
	// promptCrashAge is the age up to which the first crash makes a task a suspect. A
	// task that crashes its worker later becomes one with the second crash.
	promptCrashAge = 300 * time.Millisecond
	// crashAgeMargin is added to the age at a crash that a task has to outlive. It
	// covers the time until the owner notices that a worker is silent.
	crashAgeMargin = 100 * time.Millisecond
	// crashMinAge is the least age used in estimates: a worker's silence is noticed
	// with a delay of this order.
	crashMinAge = 50 * time.Millisecond
	// crashRateWindow is the time over which the crashes of workers are counted, and
	// crashMinRate the least rate assumed for a worker, in crashes per second. A new
	// owner has counted none.
	crashRateWindow = 30 * time.Second
	crashMinRate    = 0.01
	// coincidenceLimit is the probability of the crashes by chance below which a
	// task counts as their cause.
	coincidenceLimit = 1e-6
	// maxCrashes is the number of crashes at which a task counts as their cause in
	// any case.
	maxCrashes = 5
	// limitedCrashes is the number of crashes from which the starts of a task are
	// limited, and maxLimitedStarts how many may follow. A start without an answer
	// may have run on its worker without crashing it before it was stopped, so starts
	// are counted and not only crashes.
	limitedCrashes   = 3
	maxLimitedStarts = 2
)

// crash is evidence that a task crashes its workers: a worker that was lost under an
// attempt at it.
type crash struct {
	attempt int    // its number
	address string // of the worker
	// age is how old the attempt was when the worker fell silent, at most: for an
	// attempt of an earlier owner it includes the time until the takeover.
	age time.Duration
	at  time.Time // when the loss was handled, zero if an earlier owner did
	// alone is set if no attempt of another task there was as young.
	alone bool
}

// workerCrashed handles the loss of a worker: it counts the crash, and as evidence
// against the attempts there.
func (c *Core) workerCrashed(w *worker, now time.Time) {
	c.countCrash(w, w.list, now)
}

// crashedBeforeAdoption handles the first answer of a worker. Attempts that an earlier
// owner placed on an earlier incarnation of it were lost in a crash.
func (c *Core) crashedBeforeAdoption(w *worker, now time.Time) {
	var lost []*attempt
	for _, a := range w.list {
		if a.restored && a.incarnation != 0 && a.incarnation != w.incarnation {
			lost = append(lost, a)
		}
	}
	c.countCrash(w, lost, now)
}

func (c *Core) countCrash(w *worker, lost []*attempt, now time.Time) {
	if c.disabled.ignoreCrashes || !slices.ContainsFunc(lost, func(a *attempt) bool { return a.recorded }) {
		return
	}
	limit := crashMaxAge
	if w.entry.Draining {
		limit = drainedMaxAge
	} else {
		c.crashTimes = append(c.crashTimes, now)
	}
	for _, a := range lost {
		// The age of an attempt that this owner has never seen is not known.
		unknown := a.restored && a.seenAt.IsZero() && !w.entry.Draining
		if age := c.ageAtSilence(a, now); a.recorded && (unknown || age <= limit) {
			a.crash = &crash{attempt: a.attemptID.Number, address: w.entry.Address, at: now, age: age, alone: c.disabled.blameAll || a.alone(age)}
		}
	}
}

// alone reports whether no other task had an attempt on the worker that was young when
// the worker fell silent, at the given age of this one. The members of a gang count as
// one task.
func (a *attempt) alone(age time.Duration) bool {
	from, to := a.beganAt().Add(-promptCrashAge), a.beganAt().Add(age)
	for _, b := range a.worker.list {
		together := b.task == a.task || b.step() == a.step() && a.step().spec.GetGang()
		if began := b.beganAt(); !together && began.After(from) && !began.After(to) {
			return false
		}
	}
	return true
}

// addCrash adds the crash of a lost attempt's worker to the evidence against its task,
// and fails the job if the task counts as the cause.
func (c *Core) addCrash(a *attempt, now time.Time) {
	t, j := a.task, a.job()
	if a.crash == nil || t.done || !j.active() {
		return
	}
	t.crashes = append(t.crashes, *a.crash)
	if len(t.crashes) == limitedCrashes {
		t.limitedStarts = 0
	}
	chance := t.coincidence(c.crashRate(now))
	c.addLogEntry("crash under task", j.sub.GetRequestId(), "run", a.attemptID.String(), "worker", a.worker.id, "age_ms", a.crash.age.Milliseconds(),
		"alone", a.crash.alone, "crashes", len(t.crashes), "chance", chance)
	if len(t.crashes) >= maxCrashes || chance < coincidenceLimit {
		c.crashTimes = slices.DeleteFunc(c.crashTimes, t.crashedAt) // their cause is known
		c.finish(j, pb.JobPhase_JOB_PHASE_FAILED, "a task crashes the workers that start it", now)
	}
}

// checkLimitedStarts fails the job of a task that has used up its starts after the
// crashes of several workers.
func (c *Core) checkLimitedStarts(t *task, now time.Time) {
	if len(t.crashes) >= limitedCrashes && t.limitedStarts >= maxLimitedStarts && !t.assigned() {
		c.finish(t.step.round.job, pb.JobPhase_JOB_PHASE_FAILED, "a task has used up its starts after it crashed workers", now)
	}
}

// coincidence returns the probability that workers crashed under the task for other
// reasons, at a rate of crashes per worker and second. The first crash selects the
// task among many and proves nothing, and neither do crashes beside other young
// attempts.
func (t *task) coincidence(rate float64) float64 {
	chance := 1.0
	for i, cr := range t.crashes {
		if i > 0 && cr.alone {
			chance *= min(rate*max(cr.age, crashMinAge).Seconds(), 1)
		}
	}
	return chance
}

// crashRate returns the rate at which a worker crashes.
func (c *Core) crashRate(now time.Time) float64 {
	c.crashTimes = slices.DeleteFunc(c.crashTimes, func(at time.Time) bool { return now.Sub(at) > crashRateWindow })
	if len(c.workerList) == 0 {
		return 1
	}
	return max(crashMinRate, float64(len(c.crashTimes)+1)/float64(len(c.workerList))/crashRateWindow.Seconds())
}

// suspect reports whether a task may have crashed its workers, so that it must be
// started alone.
func (t *task) suspect() bool {
	return len(t.crashes) > 1 || len(t.crashes) == 1 && t.crashes[0].age <= promptCrashAge
}

// ageToOutlive returns the age that an attempt must reach to clear its task.
func (t *task) ageToOutlive() time.Duration {
	oldest := promptCrashAge
	for _, cr := range t.crashes {
		age := min(cr.age, crashMaxAge)
		oldest = max(oldest, age+age/4+crashAgeMargin)
	}
	return oldest
}

// clearIfOutlived clears a task whose attempt is listed by its worker at an age that
// the earlier crashes rule out if the task had caused them.
func (c *Core) clearIfOutlived(a *attempt, now time.Time) {
	t := a.task
	if len(t.crashes) == 0 {
		return
	}
	since := a.startedAt
	if since.IsZero() {
		since = a.seenAt
	}
	if now.Sub(since) > t.ageToOutlive()+crashAgeMargin {
		c.clearCrashes(t, "outlived")
	}
}

// clearCrashes drops the evidence against a task.
func (c *Core) clearCrashes(t *task, reason string) {
	if len(t.crashes) == 0 {
		return
	}
	j := t.step.round.job
	c.addLogEntry("task cleared", j.sub.GetRequestId(), "run", t.idOfAttempt(t.lastAttempt).String(), "crashes", len(t.crashes), "why", reason)
	t.crashes = nil
	c.markTaskChanged(t)
}

// withdrawCrash drops the evidence from an attempt whose worker turns out to live.
func (c *Core) withdrawCrash(t *task, number int) {
	before := len(t.crashes)
	t.crashes = slices.DeleteFunc(t.crashes, func(cr crash) bool { return cr.attempt == number })
	if len(t.crashes) < before {
		c.markTaskChanged(t)
	}
}

// crashedAt reports whether a worker was found lost under the task at a time.
func (t *task) crashedAt(at time.Time) bool {
	return slices.ContainsFunc(t.crashes, func(cr crash) bool { return cr.at.Equal(at) })
}

// crashedUnder reports whether the worker at an address was lost under the task.
func (t *task) crashedUnder(address string) bool {
	return slices.ContainsFunc(t.crashes, func(cr crash) bool { return cr.address == address })
}

// recordCrashes returns the stored form of the evidence.
func (t *task) recordCrashes() []*pb.StoredCrash {
	var out []*pb.StoredCrash
	for _, cr := range t.crashes {
		out = append(out, &pb.StoredCrash{Run: int32(cr.attempt), Address: cr.address, AgeMs: cr.age.Milliseconds(), Alone: cr.alone})
	}
	return out
}

// restoreCrashes restores the evidence that an earlier owner has recorded. The rate of
// crashes includes each worker in it once.
func (c *Core) restoreCrashes(t *task, stored *pb.StoredTask, now time.Time) {
	for _, cr := range stored.GetCrashes() {
		if !c.restoredCrashes[cr.GetAddress()] {
			c.restoredCrashes[cr.GetAddress()] = true
			c.crashTimes = append(c.crashTimes, now)
		}
		t.crashes = append(t.crashes, crash{
			attempt: int(cr.GetRun()), address: cr.GetAddress(), age: time.Duration(cr.GetAgeMs()) * time.Millisecond, alone: cr.GetAlone(),
		})
	}
	switch {
	case stored.LimitedStarts != nil:
		t.limitedStarts = int(stored.GetLimitedStarts())
	case len(t.crashes) >= limitedCrashes:
		// An earlier version may have sent all starts that it has recorded.
		t.limitedStarts = t.lastAttempt - t.crashes[limitedCrashes-1].attempt
	}
}
