package placement

import (
	"cmp"
	"slices"

	"gooseberryreel/internal/remote"
)

// victims returns the batch tasks of the worker that may be evicted, those that
// lose the least work first.
func (sl *slot) victims(evicted map[remote.TaskRef]bool) []*Task {
	var out []*Task
	for i := range sl.Tasks {
		t := &sl.Tasks[i]
		if !t.Urgent && !t.Stopping && !t.Unevictable && !evicted[t.Ref] {
			out = append(out, t)
		}
	}
	slices.SortStableFunc(out, func(a, b *Task) int {
		return cmp.Or(cmp.Compare(a.LostWork, b.LostWork), cmp.Compare(a.Ref.Job, b.Ref.Job))
	})
	return out
}

// room is a worker on which an urgent job fits once the victims have stopped.
type room struct {
	slot    *slot
	victims []*Task
}

// makeRoom chooses the worker that needs the fewest evictions for an urgent job
// that fits on no worker now. Resources of tasks that are already stopping count
// as free.
func makeRoom(slots []*slot, p *Pending, evicted map[remote.TaskRef]bool) (room, bool) {
	var found room
	ok := false
	for _, sl := range slots {
		if !sl.usable(p) || !sl.FitsEmpty(p.Needs) {
			continue
		}
		chosen, fits := sl.enough(p.Needs, evicted)
		if fits && (!ok || len(chosen) < len(found.victims)) {
			found, ok = room{slot: sl, victims: chosen}, true
		}
	}
	return found, ok
}

// enough returns the tasks to evict so that needs fit on the worker, and false
// if they can't be made to fit.
func (sl *slot) enough(needs remote.Resources, evicted map[remote.TaskRef]bool) ([]*Task, bool) {
	free := sl.free.Add(sl.freeing)
	var chosen []*Task
	for _, t := range sl.victims(evicted) {
		if needs.Fits(free) {
			break
		}
		if helps(t.Needs, needs.Sub(free)) {
			free = free.Add(t.Needs)
			chosen = append(chosen, t)
		}
	}
	return chosen, needs.Fits(free)
}

// helps reports whether freeing r reduces a shortage.
func helps(r, shortage remote.Resources) bool {
	return (shortage.CPUMilli > 0 && r.CPUMilli > 0) ||
		(shortage.MemoryMiB > 0 && r.MemoryMiB > 0) ||
		(shortage.Accelerators > 0 && r.Accelerators > 0)
}

// preempt evicts batch tasks for an urgent job and reserves the freed resources
// for it during this pass. The job itself starts in a later pass.
func (p *pass) preempt(job *Pending) {
	r, ok := makeRoom(p.slots, job, p.evicted)
	if !ok {
		return
	}
	for _, t := range r.victims {
		p.evict(r.slot, t, "preempted by "+job.ID)
	}
	r.slot.free = r.slot.free.Sub(job.Needs)
	p.quotas.add(job.Team, job.Needs)
}

// preemptOwnTeam evicts batch tasks of an urgent job's own team until the job is
// within the team's quota.
func (p *pass) preemptOwnTeam(job *Pending) {
	limit := p.quotas.limits[job.Team]
	if !job.Needs.Fits(limit) {
		return
	}
	for _, sl := range p.slots {
		for _, t := range sl.victims(p.evicted) {
			if p.quotas.used[job.Team].Sub(p.freeing[job.Team]).Add(job.Needs).Fits(limit) {
				return
			}
			if t.Team == job.Team {
				p.evict(sl, t, "quota needed by "+job.ID)
			}
		}
	}
}
