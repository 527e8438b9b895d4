package scheduler

import "time"

const (
	// trialMaxTime bounds how long a worker is kept free of other starts for a
	// suspect task.
	trialMaxTime = time.Second
	// trialNeighbourCost is the cost of a worker for a suspect task for each attempt
	// that would be lost in a crash.
	trialNeighbourCost = 1
)

// onTrial reports whether an attempt of a suspect task is too young for others to be
// started beside it.
func (a *attempt) onTrial(now time.Time) bool {
	if !a.trial {
		return false
	}
	since := a.startedAt
	if since.IsZero() {
		since = a.seenAt
	}
	return since.IsZero() || !a.worker.silentSince.IsZero() || now.Sub(since) < min(a.task.ageToOutlive(), trialMaxTime)
}

// trying reports whether an attempt on the worker is on trial.
func (w *worker) trying(now time.Time) bool {
	if w.trials == 0 {
		return false
	}
	for _, a := range w.list {
		if a.onTrial(now) {
			return true
		}
	}
	return false
}

// settled reports whether no attempt on the worker is young.
func (w *worker) settled(now time.Time) bool { return now.Sub(w.newestStart) > promptCrashAge }

// admits reports whether a task may be started beside what runs on a worker, as far as
// crashes and the refill of its failure domain are concerned.
func (p *pass) admits(cand *candidate, t *task) bool {
	switch {
	case !p.core.refillAllows(cand.worker):
		return false
	case p.core.disabled.noTrials:
		return true
	case cand.worker.trying(p.now):
		return false
	case t.suspect():
		return cand.worker.settled(p.now)
	default:
		return !cand.reservedForTrial
	}
}

// reserveForTrial keeps a worker free of other starts for the rest of the pass, so
// that it will be settled when a suspect task is placed again. It returns nil if there
// is no such worker.
func (p *pass) reserveForTrial(t *task, candidates []*candidate, q *Queue) *candidate {
	if float64(p.reserved) >= max(maxReserved*float64(len(candidates)), 1) {
		return nil
	}
	var longest *candidate
	for _, cand := range candidates {
		if cand.reserved || cand.reservedForTrial || cand.worker.trying(p.now) || !cand.fits(t, q, p.now) {
			continue
		}
		if _, why := p.cost(t, cand); why != accepted {
			continue // it would refuse the task once it is settled, too
		}
		if longest == nil || cand.worker.newestStart.Before(longest.worker.newestStart) {
			longest = cand
		}
	}
	if longest != nil {
		longest.reservedForTrial = true
		p.reserved++
	}
	return longest
}
