package scheduler

import (
	"fmt"
	"time"
)

const (
	// simDowntime is how long a crashed worker is down.
	simDowntime = 3 * time.Second
	// simEntryTTL is how long the store keeps the entry of a worker that is gone.
	simEntryTTL = 4500 * time.Millisecond
)

// expiringEntry is the entry of a worker that is gone.
type expiringEntry struct {
	entry WorkerEntry
	until time.Time
}

// crash stops a worker for simDowntime. It comes back at its address, with its id
// or with another one.
func (sw *simWorker) crash(keepID bool) {
	sim := sw.sim
	if sim.now.Before(sw.downUntil) {
		return
	}
	old := sw.entry()
	sw.downUntil = sim.now.Add(simDowntime)
	for _, a := range sw.activeAttempts() {
		sw.breakGang(a.attemptID)
	}
	sw.restart()
	sim.crashes++
	if !keepID {
		sw.lives++
		sw.id = fmt.Sprintf("%s.%d", sw.address, sw.lives)
		sim.expiring = append(sim.expiring, expiringEntry{old, sim.now.Add(simEntryTTL)})
	}
	sim.after(simDowntime, func() {
		sw.startedAt = sim.now
		if sw.entryDelay == 0 {
			sw.publish()
			return
		}
		sim.after(sw.entryDelay, sw.publish)
	})
}

// move gives a worker another address. Nobody answers at its old one.
func (sw *simWorker) move() {
	delete(sw.sim.byAddress, sw.address)
	sw.address += "-moved"
	sw.sim.byAddress[sw.address] = sw
}

// breakGang ends the other members of the gang to which a lost attempt belongs.
func (sw *simWorker) breakGang(lost AttemptID) {
	for _, sub := range sw.sim.subs {
		if sub.GetId() != lost.Job || !sub.GetSteps()[lost.Step].GetGang() {
			continue
		}
		for _, other := range sw.sim.workers {
			for _, a := range other.activeAttempts() {
				member := a.attemptID
				member.Task = lost.Task
				if other != sw && member == lost {
					other.finish(a, EndGangMemberEnded)
				}
			}
		}
	}
}

// crashUnder crashes the worker of an attempt whose task does so.
func (sw *simWorker) crashUnder(a *simAttempt) {
	if a.task.crashAfter == 0 {
		return
	}
	sw.sim.after(a.task.crashAfter, func() {
		if sw.active[a.attemptID] == a {
			sw.sim.log("%s crashes %s", a.attemptID, sw.id)
			sw.sim.crashesUnder[a.attemptID.TaskName()]++
			sw.crash(sw.sim.rng.IntN(4) == 0)
		}
	})
}

// expireEntries removes the entries of workers that are gone once their time is over.
func (sim *simulation) expireEntries() {
	kept := sim.expiring[:0]
	for _, e := range sim.expiring {
		if sim.now.Before(e.until) {
			kept = append(kept, e)
			continue
		}
		sim.core.RemoveWorker(e.entry.ID, sim.now)
	}
	sim.expiring = kept
}
