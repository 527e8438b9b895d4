package scheduler

import (
	"slices"
	"time"

	"gooseberryreel/internal/interference"
)

// candidate is a worker during a placement pass.
type candidate struct {
	worker *worker
	core   *Core
	free   Resources
	load   load
	// services holds one entry for each service image on the worker.
	services []predicted
	// overTarget is set if a service there misses its target now, maybe because of fillers,
	// or did when fillers were evicted, and overAlone if one does whatever fillers do.
	overTarget, overAlone bool
	// fillersRun is set if a filler there is not being stopped, nor all of them were.
	fillersRun bool
	// reserved is set if the worker is reserved for a starving task that does not
	// fit yet.
	reserved bool
	// reservedForTrial is set if the worker is reserved for a suspect task.
	reservedForTrial bool
	// heldFor is the gang for which the worker is held, heldIn when it is expected to
	// start.
	heldFor *step
	heldIn  time.Duration
	// position is the candidate's index in the ranking that it was put into last.
	position int

	// afterShort is the free capacity once the worker's short tasks have ended.
	afterShort Resources
	// These are the numbers of the newest pass that included the worker, of the first
	// one from which a task may fit that did not fit before, and of the newest one in
	// which the load was summed up.
	seenIn, changedIn, updatedIn int64
}

// predicted is the expected utilization of the services of one image on a worker.
type predicted struct {
	image interference.Service
	use   float64 // of the service with the highest intrinsic load
	limit float64 // at which a service just meets its target
}

// maxCandidateAge is the age from which a candidate is recomputed although nothing
// has changed on its worker, so that it follows what the model learns elsewhere.
const maxCandidateAge = 250 * time.Millisecond

// candidate returns the worker's candidate for a pass. It is kept over passes while
// nothing changes on the worker: there are many passes a second, and on a large site
// each of them concerns few workers.
func (w *worker) candidate(c *Core, pass int64, now time.Time) *candidate {
	if w.kept == nil {
		w.kept = &candidate{worker: w, core: c}
	}
	if w.changed || w.kept.seenIn < pass-1 {
		w.kept.changedIn = pass
	}
	if w.changed || now.Sub(w.keptAt) >= maxCandidateAge {
		w.keptAt = now
		w.kept.updatedIn = pass
		w.kept.update()
	}
	w.kept.seenIn = pass
	w.kept.reserved, w.kept.reservedForTrial, w.kept.heldFor = false, false, nil
	return w.kept
}

// changedSince reports whether a task of a step that did not fit on the worker in a pass
// may fit there now. Fillers also depend on the load, which follows the model.
func (cand *candidate) changedSince(pass int64, filler bool) bool {
	return cand.changedIn > pass || filler && cand.updatedIn > pass
}

// update recomputes the candidate after a placement or another change on its worker.
func (cand *candidate) update() {
	cand.worker.changed = false
	cand.free = cand.worker.free()
	cand.load = loadOf(cand.worker, cand.load.fillers)
	cand.afterShort = cand.free.Add(cand.load.short)
	cand.services, cand.overTarget, cand.overAlone, cand.fillersRun = cand.services[:0], false, false, false
	if cand.worker.services == 0 {
		return
	}
	cand.overTarget = cand.worker.refusesFillers
	before := cand.core.working
	for _, a := range cand.worker.list {
		cand.core.working = a.job()
		cand.fillersRun = cand.fillersRun || a.step().filler() && a.stopReason == "" && !cand.worker.refusesFillers
		if a.serving() {
			cand.addService(a)
			cand.overTarget = cand.overTarget || a.overrun.Missing() && !a.overAlone
			cand.overAlone = cand.overAlone || a.overrun.Missing() && a.overAlone
		}
	}
	cand.core.working = before
}

func (cand *candidate) addService(a *attempt) {
	image := a.step().role.service
	use := max(a.load.Mean, (a.load.Mean+usualLoad)/2) + cand.core.model.AddedUtilization(image, cand.load.fillers) -
		a.ownWeight(cand.core.model, share(a.step().size.CPUMilli, cand.worker.entry.Capacity.CPUMilli))
	for i := range cand.services {
		if cand.services[i].image == image {
			cand.services[i].use = max(cand.services[i].use, use)
			return
		}
	}
	cand.services = append(cand.services, predicted{image, use, cand.core.model.UtilizationAtTarget(image)})
}

// maxRise returns the largest rise in utilization that a filler with a share of
// the worker's CPU causes in a service there, and whether all services are
// predicted to meet their targets with it.
func (cand *candidate) maxRise(filler interference.Filler, part float64) (float64, bool) {
	most, ok := 0.0, true
	for _, s := range cand.services {
		rise := cand.core.model.Weight(s.image, filler) * part
		most = max(most, rise)
		if rise > negligibleRise && s.use+rise > s.limit {
			ok = false
		}
	}
	return most, ok
}

// attemptsOfStep counts the attempts of a step that may be active on the worker.
func (cand *candidate) attemptsOfStep(s *step) int {
	n := 0
	for _, a := range cand.worker.list {
		if a.step() == s {
			n++
		}
	}
	return n
}

// hasLabel reports whether the worker has the label that a step requires.
func (cand *candidate) hasLabel(s *step) bool {
	label := s.spec.GetRequiredLabel()
	return label == "" || slices.Contains(cand.worker.entry.Labels, label)
}

// allows reports whether the worker has the label and the ticket that a task
// needs.
func (cand *candidate) allows(t *task, q *Queue, now time.Time) bool {
	return cand.hasLabel(t.step) && (q.Advice == nil || t.step.hasTicket(cand.worker, now))
}

// feasible reports whether a task may run on the worker once its resources are
// free: label, ticket and spread limit allow it.
func (cand *candidate) feasible(t *task, q *Queue, now time.Time) bool {
	spread := int(t.step.spec.GetSpread())
	return cand.allows(t, q, now) && (spread <= 0 || cand.attemptsOfStep(t.step) < spread)
}

// fits reports whether a task may be started on the worker now.
func (cand *candidate) fits(t *task, q *Queue, now time.Time) bool {
	return (t.step.filler() || !cand.reserved) && cand.refuses(t, q, now) == accepted
}

// refuses returns why the worker may not run a task or lacks the free capacity for it.
// Fillers need no free CPU.
func (cand *candidate) refuses(t *task, q *Queue, now time.Time) refusal {
	request := t.step.size
	if t.step.filler() {
		request.CPUMilli = 0
	}
	switch {
	case !request.FitsIn(cand.free) || len(cand.worker.list) >= maxWorkerAttempts || cand.core.attempts >= maxAttempts:
		return refusedRoom
	case !cand.hasLabel(t.step):
		return refusedLabel
	case !cand.allows(t, q, now):
		return refusedTicket
	case !cand.feasible(t, q, now):
		return refusedSpread
	default:
		return accepted
	}
}
