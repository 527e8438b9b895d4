package scheduler

import (
	"cmp"
	"math"
	"slices"
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

// roomyWorker is one of the candidates by its index, with its free CPU at the beginning
// of the pass. A pass only takes room, so that it has no more later.
type roomyWorker struct {
	index    int32
	cpuMilli int64
}

// roomSince returns the workers of a pool that have changed since a pass and may have
// room. That costs one look at each worker, whatever the number of steps that wait since
// the same pass.
func (p *pass) roomSince(key roomKey, candidates []*candidate) *room {
	if found := p.roomy[key]; found != nil {
		return found
	}
	r := p.core.memory.newRoom()
	p.core.passCounts.Looks += int64(len(candidates))
	for n, cand := range candidates {
		if !cand.changedSince(key.since, key.filler) {
			continue
		}
		free := cand.freeFor(key.filler, p.core.disabled.ignoreInterference)
		r.most = Resources{max(r.most.CPUMilli, free.CPUMilli), max(r.most.MemoryMiB, free.MemoryMiB), max(r.most.Accelerators, free.Accelerators)}
		if free.CPUMilli >= 0 {
			r.workers = append(r.workers, roomyWorker{int32(n), free.CPUMilli})
		}
	}
	slices.SortFunc(r.workers, func(a, b roomyWorker) int { return cmp.Compare(b.cpuMilli, a.cpuMilli) })
	if p.roomy == nil {
		p.roomy = make(map[roomKey]*room)
	}
	p.roomy[key] = r
	return r
}

// freeFor returns the most that a task may request on a worker. Fillers may request the
// CPU that its load leaves: without any load as much as they want, beside a service over
// its target none.
func (cand *candidate) freeFor(filler, ignoreInterference bool) Resources {
	free := cand.free
	switch {
	case !filler:
	case ignoreInterference || !cand.overTarget && cand.load.use <= 0:
		free.CPUMilli = math.MaxInt64
	case cand.overTarget:
		free.CPUMilli = -1
	default:
		free.CPUMilli = int64(fillerMaxUse*float64(cand.worker.entry.Capacity.CPUMilli)) - cand.load.use
	}
	return free
}

// passMemory is memory that one placement pass leaves to the next. There are tens of
// passes a second.
type passMemory struct {
	rooms   []*room
	used    int // rooms of the current pass
	ranks   []rank
	entries []rankedCandidate
	idle    []*step
}

func (m *passMemory) newRoom() *room {
	if m.used == len(m.rooms) {
		m.rooms = append(m.rooms, &room{})
	}
	r := m.rooms[m.used]
	m.used++
	r.most, r.workers = Resources{}, r.workers[:0]
	return r
}

// stepCosts holds what is the same for all workers when their costs for the tasks of
// one step are computed.
type stepCosts struct {
	margin  float64 // see Core.margin
	starved bool    // see step.starved
	// overcommit is set for a task that starts at overcommitSpeed, whatever the use.
	overcommit bool
}

// prepare computes stepCosts for a step.
func (p *pass) prepare(s *step) {
	p.costs = stepCosts{}
	if s.filler() {
		p.costs = stepCosts{margin: p.core.margin(s, p.now), starved: s.starved(p.now)}
	}
}
