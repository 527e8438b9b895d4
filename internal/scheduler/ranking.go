package scheduler

import "time"

const (
	// serviceUse is the part of its declared processor time that a lasting task
	// is expected to use.
	serviceUse = 0.5
	// remoteCost ranks a worker away from the data of a task behind all workers
	// near it that have room.
	remoteCost = 10
	// avoidCost ranks the worker on which the task's last attempt went wrong
	// behind others, and suspectCost those whose last result was a failure.
	avoidCost   = 5
	suspectCost = 3
	// otherImageCost ranks a worker with services of another image behind an
	// empty one.
	otherImageCost = 2
	// usualLoad is the load around which that of services swings.
	usualLoad = 0.42
	// harmlessPart is the rise of a service's use up to which a filler may run
	// beside any service.
	harmlessPart = 0.02
	// starvedAfter is how long a job of fillers may have nothing running before it
	// starts beside services that it slows down, and starvedCost ranks such a
	// worker behind all others.
	starvedAfter = 2 * time.Second
	starvedCost  = 100
	// pressureCost weighs the pressure on a service against the use of a worker:
	// a filler goes to a fuller worker rather than beside a service it slows.
	pressureCost = 4
	// fillerFull is the use of a worker's processors up to which it receives
	// fillers.
	fillerFull = 1.0
)

// best returns the cheapest worker that can start a task, nil for none.
func (p *pass) best(t *task, slots []*slot, q *Queue) *slot {
	var found *slot
	lowest := 0.0
	for _, sl := range slots {
		if !sl.fits(t, q, p.now) {
			continue
		}
		cost, ok := p.cost(t, sl)
		if ok && (found == nil || cost < lowest) {
			found, lowest = sl, cost
		}
	}
	return found
}

// cost ranks a worker for a task; false keeps the task away from it.
func (p *pass) cost(t *task, sl *slot) (float64, bool) {
	s, w := t.step, sl.worker
	total := 0.0
	if rack := s.spec.GetDataRack(); rack != "" && rack != w.entry.Rack {
		total += remoteCost
	}
	if t.avoid == w.id {
		total += avoidCost
	}
	if w.health.suspect() {
		total += suspectCost
	}
	switch {
	case s.filler():
		cost, ok := p.fillerCost(s, sl)
		return total + cost, ok
	case s.last():
		return total + sl.serviceCost(s), true
	default:
		return total + 1 - freeShare(sl), true
	}
}

// serviceCost ranks a worker for a lasting task. Services of one image share
// workers, since a filler that harms one image leaves most others alone: a
// worker with services of all images has no room for any filler. Within that,
// services are packed, so that some workers stay free of them.
func (sl *slot) serviceCost(s *step) float64 {
	cost := freeShare(sl)
	for _, p := range sl.services {
		if p.image != s.image {
			cost += otherImageCost
		}
	}
	return cost
}

// freeShare returns the smaller of the free shares of processors and memory.
func freeShare(sl *slot) float64 {
	size := sl.worker.entry.Capacity
	return min(share(sl.free.CPUMilli, size.CPUMilli), share(sl.free.MemoryMiB, size.MemoryMiB))
}

func share(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// fillerCost ranks a worker for a filler by the latency predicted there and the
// use of its processors.
func (p *pass) fillerCost(s *step, sl *slot) (float64, bool) {
	w := sl.worker
	cpu := w.entry.Capacity.CPUMilli
	use := share(sl.load.use+s.size.CPUMilli, cpu)
	if use > fillerFull && sl.load.use > 0 {
		return 0, false
	}
	if p.core.faults.ignoreHarm {
		return use, true
	}
	if sl.over {
		// Whatever its cause, more load makes it worse, and after half of the
		// harm bound all fillers there are stopped.
		return 0, false
	}
	pressure, ok := sl.pressureOf(s.image, share(s.size.CPUMilli, cpu))
	cost := use + pressureCost*pressure
	if !ok && s.starved(p.now) {
		// It starts where it harms least and is paced to what fits.
		return cost + starvedCost, true
	}
	return cost, ok
}
