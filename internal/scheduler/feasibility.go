package scheduler

import (
	"slices"
	"time"

	"gooseberryreel/internal/interference"
)

// candidate is a worker during a placement pass.
type slot struct {
	worker *worker
	pairs  *interference.LatencyModel
	free   Resources
	load   load
	// services holds one entry for each service image on the worker.
	services []predicted
	// over is set if a service there misses its target now.
	over bool
	// reserved is set if the worker is reserved for a starving task that does not
	// fit yet.
	reserved bool
}

// predicted is the expected utilization of the services of one image on a worker.
type predicted struct {
	image int
	use   float64 // of the service with the highest own load
	limit float64 // at which a service just meets its target
}

func newSlot(w *worker, pairs *interference.LatencyModel) *slot {
	sl := &slot{worker: w, pairs: pairs}
	sl.update()
	return sl
}

// update recomputes the candidate after a placement on its worker.
func (sl *slot) update() {
	sl.free = sl.worker.free()
	sl.load = loadOf(sl.worker)
	sl.services, sl.over = sl.services[:0], false
	if sl.worker.services == 0 {
		return
	}
	for _, a := range sl.worker.list {
		if a.serving() {
			sl.addService(a)
			sl.over = sl.over || !a.overAt.IsZero()
		}
	}
}

func (sl *slot) addService(a *attempt) {
	image := a.step().image
	use := max(a.load.Mean, (a.load.Mean+usualLoad)/2) + sl.pairs.AddedUtilization(image, sl.load.fillers)
	for i := range sl.services {
		if sl.services[i].image == image {
			sl.services[i].use = max(sl.services[i].use, use)
			return
		}
	}
	sl.services = append(sl.services, predicted{image, use, sl.pairs.UtilizationAtTarget(image)})
}

// pressureOf returns the largest rise in utilization that a filler with a share of
// the worker's processors causes in a service there, and whether all services are
// predicted to meet their targets beside it.
func (sl *slot) pressureOf(filler int, part float64) (float64, bool) {
	most, ok := 0.0, true
	for _, s := range sl.services {
		pressure := sl.pairs.Weight(s.image, filler) * part
		most = max(most, pressure)
		if pressure > harmlessPart && s.use+pressure > s.limit {
			ok = false
		}
	}
	return most, ok
}

// ofStep counts the attempts of a step that may be active on the worker.
func (sl *slot) ofStep(s *step) int {
	n := 0
	for _, a := range sl.worker.list {
		if a.step() == s {
			n++
		}
	}
	return n
}

// allows reports whether the worker has the label and the ticket that a task
// needs.
func (sl *slot) allows(t *task, q *Queue, now time.Time) bool {
	s := t.step
	if label := s.spec.GetRequiredLabel(); label != "" && !slices.Contains(sl.worker.entry.Labels, label) {
		return false
	}
	return q.Advice == nil || s.hasTicket(sl.worker, now)
}

// freeSoon returns the free resources of the worker once its short tasks have
// ended.
func (sl *slot) freeSoon() Resources {
	free := sl.free
	for _, a := range sl.worker.list {
		if s := a.step(); !s.last() && !s.filler() {
			free = free.Add(s.size)
		}
	}
	return free
}

// feasible reports whether a task may run on the worker once there is room.
func (sl *slot) mayHold(t *task, q *Queue, now time.Time) bool {
	spread := int(t.step.spec.GetSpread())
	return sl.allows(t, q, now) && (spread <= 0 || sl.ofStep(t.step) < spread)
}

// fits reports whether a task may be started on the worker now. Fillers need no
// free processors.
func (sl *slot) fits(t *task, q *Queue, now time.Time) bool {
	need := t.step.size
	if t.step.filler() {
		need.CPUMilli = 0
	} else if sl.reserved {
		return false
	}
	return need.FitsIn(sl.free) && sl.mayHold(t, q, now)
}
