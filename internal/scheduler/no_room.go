package scheduler

import (
	"math"
	"time"
)

// noRoom is the newest pass after which no worker had room for a step.
type noRoom struct {
	pass    int64 // zero if there was none
	starved bool  // of the step then
	config  *Config
}

// noRoomSince returns the pass after which no worker had room for a step, so that only
// those that have changed since need a look, zero if all of them do. A starved step of
// fillers accepts workers that it did not accept before.
func (p *pass) noRoomSince(s *step, starved bool) int64 {
	if s.noRoom.config != p.core.config || starved && !s.noRoom.starved || p.core.disabled.rankAll {
		return 0
	}
	return s.noRoom.pass
}

// roomKey identifies the workers of a pool that have changed since a pass.
type roomKey struct {
	pool   string
	since  int64
	filler bool
}

// room is what the workers of a roomKey have free.
type room struct {
	most    Resources // the largest free amount of each resource, maybe of different workers
	workers []roomyWorker
}

// roomyWorker is a worker that may have room. The CPU that is free for fillers is what is
// left of its load, otherwise what is not requested.
type roomyWorker struct {
	*candidate
	free  Resources
	order int // among the candidates
}

// roomSince returns the workers of a pool that have changed since a pass and may have
// room. That costs one look at each worker, whatever the number of steps that wait since
// the same pass.
func (p *pass) roomSince(key roomKey, candidates []*candidate) *room {
	if found := p.roomy[key]; found != nil {
		return found
	}
	r := &room{}
	for n, cand := range candidates {
		if !cand.changedSince(key.since, key.filler) {
			continue
		}
		free := cand.free
		if key.filler && !p.core.disabled.ignoreInterference {
			free.CPUMilli = cand.freeForFillers()
		}
		r.most = Resources{max(r.most.CPUMilli, free.CPUMilli), max(r.most.MemoryMiB, free.MemoryMiB), max(r.most.Accelerators, free.Accelerators)}
		r.workers = append(r.workers, roomyWorker{cand, free, n})
	}
	if p.roomy == nil {
		p.roomy = make(map[roomKey]*room)
	}
	p.roomy[key] = r
	return r
}

// freeForFillers returns the CPU that fillers may request on a worker: without any load
// there as much as they want, beside a service over its target none.
func (cand *candidate) freeForFillers() int64 {
	switch {
	case cand.overTarget:
		return -1
	case cand.load.use <= 0:
		return math.MaxInt64
	default:
		return int64(fillerMaxUse*float64(cand.worker.entry.Capacity.CPUMilli)) - cand.load.use
	}
}

// stepCosts holds what is the same for all workers when their costs for the tasks of
// one step are computed.
type stepCosts struct {
	margin   float64       // see Core.margin
	starved  bool          // see step.starved
	expected time.Duration // of a task
}

// prepare computes stepCosts for a step.
func (p *pass) prepare(s *step) {
	p.costs = stepCosts{expected: p.core.expectedDuration(s)}
	if s.filler() {
		p.costs.margin, p.costs.starved = p.core.margin(s, p.now), s.starved(p.now)
	}
}
