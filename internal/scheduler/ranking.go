package scheduler

import "time"

const (
	// longRunningUse is the part of its requested CPU time that a
	// long-running task is expected to use.
	longRunningUse = 0.5
	// remoteCost puts a worker outside the rack of a task's data behind all workers
	// in that rack that have enough free capacity.
	remoteCost = 10
	// avoidCost puts the worker that the task avoids behind others, and suspectCost
	// those whose last result was a failure.
	avoidCost   = 5
	suspectCost = 3
	// otherImageCost puts a worker with services of another image behind an empty
	// one. It counts once for each such image.
	otherImageCost = 2
	// usualLoad is the utilization around which the intrinsic load of services
	// varies.
	usualLoad = 0.42
	// negligibleRise is the rise in a service's utilization up to which a filler may
	// be colocated with any service.
	negligibleRise = 0.02
	// fillerStarvation is how long a step of fillers may have no attempt before its
	// tasks are started on workers with services that they slow down. starvedCost puts
	// such workers behind all others.
	fillerStarvation = 2 * time.Second
	starvedCost      = 100
	// overAloneCost puts workers with a service that misses its target without fillers
	// beside it behind those that a starved step slows down.
	overAloneCost = 200
	// overTargetCost puts workers with a service that misses its target beside fillers
	// behind all others for an overcommitted task.
	overTargetCost = 300
	// riseCost weighs the rise in a service's utilization against the utilization of
	// a worker: a filler is placed on a fuller worker rather than on that of a
	// service that it slows down.
	riseCost = 4
	// fillerMaxUse is the expected utilization of a worker's CPUs up to which
	// it receives fillers.
	fillerMaxUse = 1.0
)

// cost scores a worker for a task; lower is better. It returns the reason if the task
// must not run there.
func (p *pass) cost(t *task, cand *candidate) (float64, refusal) {
	s, w := t.step, cand.worker
	total := p.speedCost(s, w)
	if rack := s.spec.GetDataRack(); rack != "" && rack != w.entry.Rack {
		total += remoteCost
	}
	if t.avoid == w.id {
		total += avoidCost
	}
	if t.suspect() {
		total += trialNeighbourCost * float64(len(w.list))
		if t.crashedUnder(w.entry.Address) {
			total += avoidCost
		}
	}
	if w.health.suspect() {
		total += suspectCost
	}
	switch {
	case s.filler():
		cost, why := p.fillerCost(s, cand)
		return total + cost, why
	case s.longRunning():
		return total + cand.longRunningCost(s), accepted
	default:
		return total + 1 - freeShare(cand) + p.core.hotRackCost(s, w), accepted
	}
}

// longRunningCost scores a worker for a long-running task. Services of one image
// share workers: a filler that slows one image down leaves most others
// unaffected, while a worker with services of all images would suit no filler.
// Apart from that, services are packed, so that some workers stay free of them.
func (cand *candidate) longRunningCost(s *step) float64 {
	cost := freeShare(cand)
	for _, p := range cand.services {
		if !s.role.serves || p.image != s.role.service {
			cost += otherImageCost
		}
	}
	return cost
}

// freeShare returns the free share of a worker's CPU or memory, whichever is
// smaller.
func freeShare(cand *candidate) float64 {
	size := cand.worker.entry.Capacity
	return min(share(cand.free.CPUMilli, size.CPUMilli), share(cand.free.MemoryMiB, size.MemoryMiB))
}

func share(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// fillerCost scores a worker for a filler by the rise in utilization of the services
// there and the utilization of the worker's CPUs.
func (p *pass) fillerCost(s *step, cand *candidate) (float64, refusal) {
	w := cand.worker
	cpu := w.entry.Capacity.CPUMilli
	size := s.size.CPUMilli
	if p.costs.overcommit {
		size = size * overcommitSpeed / 100
	}
	use := share(cand.load.use+size, cpu)
	if use > fillerMaxUse && cand.load.use > 0 && !p.costs.overcommit {
		return 0, refusedUse
	}
	if p.core.disabled.ignoreInterference {
		return use, accepted
	}
	if cand.overTarget && !(p.costs.overcommit && cand.fillersRun) || cand.overAlone && !p.costs.starved {
		// Whatever the cause, more load makes it worse, and after half of
		// HarmLimit all fillers there are stopped.
		return 0, refusedOverTarget
	}
	rise, ok := cand.maxRise(s.role.filler, share(size, cpu))
	cost := use + riseCost*rise*(1+marginCost*p.costs.margin)
	switch {
	case cand.overTarget:
		// The time until all fillers there are stopped runs and is not lengthened.
		return cost + overTargetCost, accepted
	case cand.overAlone:
		// A cause other than fillers may last. The task runs until they are stopped.
		return cost + overAloneCost, accepted
	case ok:
		return cost, accepted
	case p.costs.starved:
		// The task starts where it slows services down least and is throttled there.
		return cost + starvedCost, accepted
	default:
		return 0, refusedRise
	}
}
