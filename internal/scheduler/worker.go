package scheduler

import (
	"slices"
	"time"
)

// worker is the state of a worker and the attempts that may be active on it.
type worker struct {
	id     string
	entry  WorkerEntry
	listed bool // has an entry in the store
	// adopted is set once the worker has answered a hold with this owner's token,
	// so that it refuses what earlier owners still send.
	adopted bool
	// incarnation identifies the worker's process, see WorkerEntry;
	// incarnationAt is when the core learned of it.
	incarnation   int64
	incarnationAt time.Time

	// clockUnknown is set while the worker may have restarted, by its entry, and has not
	// answered a hold since. Leases for it can't be computed.
	clockUnknown bool

	clock   time.Duration // reading of the worker's clock in its newest answer
	clockAt time.Time     // when that answer arrived

	// leaseEnd is when, at the latest, everything that this owner or an earlier
	// one started there has expired if no further renewal reaches it.
	leaseEnd time.Time
	// leaseBounded is set from when leaseEnd was taken for the owner's record until a
	// record without the worker is stored. No lease is granted meanwhile.
	leaseBounded bool
	// holdGrant is by what the newest hold has extended leaseEnd, and startGrantedAt when a
	// start last did.
	holdGrant      leaseChange
	startGrantedAt time.Time
	silentSince    time.Time // zero while the worker answers
	// silentNoticed is when the first call without an answer ended.
	silentNoticed time.Time
	answeredAt    time.Time // newest answer to a hold
	answersAt     string    // address of that
	answers       int64     // to holds

	processed int64 // number of the newest end that the core has handled
	cursor    int64 // number of the newest end that is recorded

	attempts map[AttemptID]*attempt
	list     []*attempt // the same in the order of their placement
	// used is the sum of the requests of all attempts. The CPU requests of
	// fillers are summed separately, since they don't count against capacity.
	used      Resources
	fillerCPU int64
	// fillersSince is since when the worker has had fillers without a break that a
	// measurement shows, zero if that is not known.
	fillersSince time.Time
	// fillersEndedAt is when the last of the worker's fillers ended, zero if it has had none.
	fillersEndedAt time.Time
	// refusesFillers is set from an eviction of all fillers until the services were measured
	// without any. What started earlier would take over the harm of those evicted.
	refusesFillers bool
	services       int          // services on the worker
	longRunning    int          // attempts at long-running tasks, services among them
	overcommitted  int          // attempts, see attempt.overcommitted
	shortUses      []shortUse   // one for each priority
	pastFillers    []pastFiller // fillers that ended recently

	trials      int       // attempts of suspect tasks
	newestStart time.Time // of the attempts placed there

	kept    *candidate // see candidate
	keptAt  time.Time
	changed bool // since kept was computed

	// unsettledCopies are the attempts whose starts must be settled before the worker
	// may discard its newest ends, see queueCursor.
	unsettledCopies []*attempt

	slot    int       // in Core.workerList
	checkAt time.Time // when its attempts are checked next

	holdInFlight     bool
	holdDue          time.Time // when the answer to that hold is due
	nextHold         time.Time // when the next hold is due
	health           health
	speed            speedState
	commandsInFlight int // without holds
}

// leaseChange is a change of a worker's leaseEnd.
type leaseChange struct{ before, after time.Time }

func (w *worker) add(a *attempt) {
	w.attempts[a.attemptID] = a
	w.list = append(w.list, a)
	w.count(a, 1)
}

func (w *worker) remove(a *attempt) {
	if w.attempts[a.attemptID] != a {
		return
	}
	delete(w.attempts, a.attemptID)
	w.list = slices.DeleteFunc(w.list, func(o *attempt) bool { return o == a })
	w.count(a, -1)
}

// count adds an attempt to the sums of the worker, or removes it if sign is -1.
func (w *worker) count(a *attempt, sign int64) {
	w.changed = true
	s := a.step()
	size := Resources{s.size.CPUMilli * sign, s.size.MemoryMiB * sign, s.size.Accelerators * sign}
	if s.filler() {
		if w.fillerCPU == 0 && w.newestStart.Sub(w.fillersEndedAt) >= measureWindow {
			w.fillersSince = w.newestStart
			for _, a := range w.list {
				a.overrun.Restart() // what came before is not due to fillers
			}
		}
		w.fillerCPU += size.CPUMilli
		size.CPUMilli = 0
	}
	w.used = w.used.Add(size)
	if !s.filler() && !s.longRunning() {
		w.countShort(s, sign)
	}
	if s.role.serves {
		w.services += int(sign)
	}
	if s.longRunning() {
		w.longRunning += int(sign)
	}
	if a.trial {
		w.trials += int(sign)
	}
}

// free returns the unrequested part of the worker's capacity.
func (w *worker) free() Resources { return w.entry.Capacity.Sub(w.used) }

// clockNow estimates the present reading of the worker's clock.
func (w *worker) clockNow(now time.Time) time.Duration { return w.clock + now.Sub(w.clockAt) }

// grant extends leaseEnd for a lease that is about to be sent, so that leaseEnd
// covers it even if no answer arrives. A worker that has restarted meanwhile, and so
// counts its clock from zero, grants the longest lease.
func (c *Core) grant(w *worker, lease time.Duration, now time.Time) {
	left := max(lease-w.clock, 0)
	end := w.clockAt.Add(time.Duration(float64(left)*clockDriftFactor) + leaseSlack)
	restarted := now.Add(c.opts.longestLease())
	for _, t := range []time.Time{end, restarted} {
		if t.After(w.leaseEnd) {
			w.leaseEnd = t
		}
	}
}

// usable reports whether the worker may receive new work.
func (w *worker) usable(now time.Time) bool {
	return w.reachable(now) && !w.health.quarantined(now)
}

// reachable reports whether the worker could receive new work if it were not quarantined.
func (w *worker) reachable(now time.Time) bool {
	return w.listed && w.adopted && !w.leaseBounded && !w.clockUnknown && w.entryCurrent() && !w.entry.Draining && w.silentSince.IsZero() &&
		now.Sub(w.answeredAt) < maxAnswerAge
}

// entryCurrent reports whether the entry comes from the process that answers the holds.
// A worker may restart with less capacity, of which an earlier entry says nothing.
func (w *worker) entryCurrent() bool {
	return w.entry.Incarnation == 0 || w.incarnation == 0 || w.entry.Incarnation == w.incarnation
}

// SetWorker adds or updates the entry of a worker.
func (c *Core) SetWorker(e WorkerEntry, now time.Time) {
	if !c.knowsPool(e.Pool) {
		c.addLogEntry("worker of unknown pool", "", "worker", e.ID, "pool", e.Pool)
		c.RemoveWorker(e.ID, now)
		return
	}
	w := c.worker(e.ID)
	defer c.noteCold(w, e.ColdFor, now)
	if w.listed && w.entry.Address == e.Address && w.entry.Draining == e.Draining && w.entry.Capacity == e.Capacity && w.entry.Incarnation == e.Incarnation {
		w.changed = w.changed || w.entry.Pool != e.Pool || w.entry.Rack != e.Rack || !slices.Equal(w.entry.Labels, e.Labels)
		w.entry = e
		return
	}
	if w.entry.Address != e.Address {
		// A hold at the old address is not waited for, see holdDone.
		w.nextHold, w.holdInFlight = now, false
	}
	if e.Incarnation > w.incarnation && w.incarnation != 0 {
		// It may have restarted, or another writer may have written the entry. Only its
		// own answer shows which.
		w.clockUnknown = true
	}
	leaves, otherProcess := e.Draining && !w.entry.Draining, e.Incarnation != w.entry.Incarnation
	w.entry, w.listed, w.changed = e, true, true
	if otherProcess && !w.adopted && c.noEarlierOwner {
		w.leaseEnd = c.earlierLeaseEnd(w)
	}
	c.visitSoon(w)
	if leaves && !c.disabled.skipEvacuation {
		c.evacuate(w, now)
	}
	c.planDue = true
	c.addLogEntry("worker", "", "worker", w.id, "zone", e.Zone, "rack", e.Rack, "draining", e.Draining, "cpu_milli", e.Capacity.CPUMilli)
}

// RemoveWorker handles the removal of a worker's entry. Its attempts are kept until
// the worker reports their end or its lease has expired.
func (c *Core) RemoveWorker(id string, _ time.Time) {
	w := c.workers[id]
	if w == nil || !w.listed {
		return
	}
	w.listed = false
	c.visitSoon(w)
	c.addLogEntry("worker removed", "", "worker", id, "attempts", len(w.attempts))
	c.planDue = true
}

// worker returns the worker with an id and adds it if it is unknown.
func (c *Core) worker(id string) *worker {
	w := c.workers[id]
	if w == nil {
		w = &worker{id: id, attempts: make(map[AttemptID]*attempt), leaseEnd: c.startedAt.Add(c.opts.earlierLeaseTime())}
		c.workers[id] = w
		c.addVisits(w)
	}
	return w
}

// expire ends the attempts on a worker whose lease has expired. A start that is not
// recorded yet has not been sent, and will carry a lease of its own.
func (c *Core) expire(w *worker, now time.Time) {
	c.workerCrashed(w, now)
	for _, a := range slices.Clone(w.list) {
		if !a.recorded {
			continue
		}
		c.addLogEntry("lease expired", a.job().sub.GetRequestId(), "run", a.attemptID.String(), "worker", w.id, "silent_ms", c.silence(w, now).Milliseconds())
		c.loseAttempt(a, lossLeaseExpired, now)
	}
}

// silence returns how long ago a worker answered this owner, counted from the takeover
// if it never has.
func (c *Core) silence(w *worker, now time.Time) time.Duration {
	if w.answeredAt.IsZero() {
		return now.Sub(c.startedAt)
	}
	return now.Sub(w.answeredAt)
}

// sendHold sends the next hold to a worker.
func (c *Core) sendHold(w *worker, now time.Time) {
	o := Command{Kind: CommandHold, Worker: w.id, Address: w.entry.Address, Domain: w.entry.Zone, Token: c.opts.Epoch, SentAt: now}
	if w.silentSince.IsZero() && !w.clockUnknown || c.disabled.keepCursor {
		// After a call without an answer, or by its entry, the worker may have
		// restarted. It then numbers its ends from 1 again, and the old cursor would make
		// it discard ends that the core has not seen.
		o.Cursor = w.cursor
	}
	if w.adopted && w.silentSince.IsZero() && (!w.leaseBounded || c.disabled.renewBounded) {
		o.Wait = holdWait
		switch {
		case w.services > 0 && w.refusesFillers:
			o.Wait = measureWindow
		case w.services > 0 && (w.fillerCPU > 0 || now.Sub(w.fillersEndedAt) < holdWait):
			o.Wait = holdWaitServices // others may start at any time
		case w.longRunning > 0:
			o.Wait = holdWaitLongRunning
		}
		if len(w.attempts) > 0 && !c.opts.HoldLeasesBack {
			o.Lease = w.clockNow(c.leaseBase(now)) + c.opts.Lease
			w.holdGrant.before = w.leaseEnd
			c.grant(w, o.Lease, now)
			w.holdGrant.after = w.leaseEnd
		}
	}
	w.holdInFlight, w.holdDue = true, now.Add(o.Wait)
	c.out.Commands = append(c.out.Commands, o)
}

// holdDone handles the outcome of a hold.
func (c *Core) holdDone(w *worker, r CommandResult, now time.Time) {
	if r.Command.Address != w.entry.Address {
		return // the worker has another address since
	}
	w.holdInFlight = false
	if r.Hold == nil {
		c.holdFailed(w, r, now)
		return
	}
	if !w.silentSince.IsZero() {
		c.addLogEntry("worker answers", "", "worker", w.id, "silent_ms", now.Sub(w.silentSince).Milliseconds())
		w.silentSince, w.checkAt = time.Time{}, now
		c.planDue = true
	}
	if w.incarnation != r.Hold.Incarnation && r.Command.SentAt.Before(w.incarnationAt) {
		// The answer comes from before the restart, when ends had other numbers.
		w.nextHold = now
		return
	}
	w.clock, w.clockAt, w.answeredAt, w.clockUnknown = r.Hold.Clock, now, now, false
	w.answersAt = r.Command.Address
	c.leaseBoundsDue = c.leaseBoundsDue || w.leaseBounded
	if w.incarnation != r.Hold.Incarnation {
		c.newIncarnation(w, r.Hold.Incarnation, now)
	}
	if !w.adopted {
		c.crashedBeforeAdoption(w, now)
	}
	w.silentNoticed = time.Time{}
	c.handleEnded(w, r.Hold, now)
	if !w.adopted {
		w.restoreSpeeds()
	}
	c.reconcileActive(w, r.Hold, r.Command.SentAt, now)
	c.learnSpeed(w, now)
	if !w.adopted {
		w.adopted, w.checkAt = true, now
		w.leaseEnd = now.Add(c.opts.longestLease())
		c.addLogEntry("worker adopted", "", "worker", w.id, "attempts", len(w.attempts))
		c.planDue = true
	}
	w.nextHold = now
	if w.leaseBounded {
		w.nextHold = now.Add(holdRetry) // liftLeaseBounds makes it due
	}
	if w.processed > w.cursor {
		w.nextHold = now.Add(holdWait) // Committed makes the hold due as soon as the ends are recorded
	}
}

func (c *Core) holdFailed(w *worker, r CommandResult, now time.Time) {
	if r.Refused == RefusedFenced {
		c.fenced = true
		return
	}
	if r.Refused == RefusedWrongWorker {
		c.RemoveWorker(w.id, now)
		if w.answersAt == "" || w.answersAt == r.Command.Address {
			// Another worker answers where this one did, so this one has ended. At an
			// address that only an entry names that shows nothing.
			c.workerCrashed(w, now)
			for _, a := range slices.Clone(w.list) {
				c.loseAttempt(a, lossReplaced, now)
			}
		}
	}
	if r.NotSent {
		w.takeBackGrant(r.Command)
	}
	if w.silentSince.IsZero() {
		w.silentSince, w.silentNoticed = r.Command.SentAt, now
		if !w.answeredAt.IsZero() && w.answeredAt.After(w.silentSince) {
			w.silentSince = w.answeredAt
		}
		c.addLogEntry("worker silent", "", "worker", w.id, "attempts", len(w.attempts), "error", errorText(r))
	}
	w.nextHold = now.Add(holdRetry)
}

// takeBackGrant takes back the lease of a hold that never left, so that a worker which
// refuses connections is not waited for as if it might run on.
func (w *worker) takeBackGrant(hold Command) {
	if hold.Lease > 0 && w.leaseEnd.Equal(w.holdGrant.after) && w.startGrantedAt.Before(hold.SentAt) {
		w.leaseEnd = w.holdGrant.before
	}
}

// newIncarnation handles the restart of a worker: the attempts that it had listed
// are lost.
func (c *Core) newIncarnation(w *worker, incarnation int64, now time.Time) {
	known := w.incarnation != 0
	w.incarnation, w.incarnationAt = incarnation, now
	if !known {
		return
	}
	c.addLogEntry("worker restarted", "", "worker", w.id, "attempts", len(w.attempts), "born", incarnation)
	if !c.disabled.keepCursor {
		w.processed, w.cursor = 0, 0
	}
	w.health = health{}
	c.forgetSpeed(w, now)
	c.workerCrashed(w, now)
	for _, a := range slices.Clone(w.list) {
		a.knownClock, a.startLease = 0, 0
		// A start that the worker had not listed yet may have reached it after its
		// restart; the answers to the next holds show which.
		if !a.seenAt.IsZero() {
			c.loseAttempt(a, lossRestarted, now)
		}
	}
}
