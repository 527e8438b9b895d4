package placement

import (
	"cmp"
	"slices"

	"gooseberryreel/internal/remote"
)

// victims returns the batch tasks of the worker that may be evicted, those that
// lose the least work first.
func (c *candidate) victims(evicted map[remote.TaskRef]bool) []*Task {
	var out []*Task
	for i := range c.Tasks {
		t := &c.Tasks[i]
		if !t.Urgent && !t.Stopping && !t.Unevictable && !evicted[t.Ref] {
			out = append(out, t)
		}
	}
	slices.SortStableFunc(out, func(a, b *Task) int {
		return cmp.Or(cmp.Compare(a.LostWork, b.LostWork), cmp.Compare(a.Ref.Job, b.Ref.Job))
	})
	return out
}

// preemption is a worker on which an urgent job fits once the victims have
// stopped.
type preemption struct {
	candidate *candidate
	victims   []*Task
}

// findPreemption chooses the worker that needs the fewest evictions for an urgent
// job that fits on no worker now. Resources of tasks that are already stopping
// count as free.
func findPreemption(candidates []*candidate, job *Pending, evicted map[remote.TaskRef]bool) (preemption, bool) {
	var found preemption
	ok := false
	for _, c := range candidates {
		if !c.eligible(job) || !c.FitsEmpty(job.Needs) {
			continue
		}
		chosen, fits := c.selectVictims(job.Needs, evicted)
		if fits && (!ok || len(chosen) < len(found.victims)) {
			found, ok = preemption{candidate: c, victims: chosen}, true
		}
	}
	return found, ok
}

// selectVictims returns the tasks to evict so that needs fit on the worker, and
// false if they can't be made to fit.
func (c *candidate) selectVictims(needs remote.Resources, evicted map[remote.TaskRef]bool) ([]*Task, bool) {
	free := c.free.Add(c.freeing)
	var chosen []*Task
	for _, t := range c.victims(evicted) {
		if needs.Fits(free) {
			break
		}
		if reducesShortage(t.Needs, needs.Sub(free)) {
			free = free.Add(t.Needs)
			chosen = append(chosen, t)
		}
	}
	return chosen, needs.Fits(free)
}

// reducesShortage reports whether freeing r reduces a shortage.
func reducesShortage(r, shortage remote.Resources) bool {
	return (shortage.CPUMilli > 0 && r.CPUMilli > 0) ||
		(shortage.MemoryMiB > 0 && r.MemoryMiB > 0) ||
		(shortage.Accelerators > 0 && r.Accelerators > 0)
}

// preempt evicts batch tasks for an urgent job and reserves the freed resources
// for it during this pass. The job itself starts in a later pass.
func (p *pass) preempt(job *Pending) {
	r, ok := findPreemption(p.candidates, job, p.evicted)
	if !ok {
		return
	}
	for _, t := range r.victims {
		p.evict(r.candidate, t, "preempted by "+job.ID)
	}
	r.candidate.free = r.candidate.free.Sub(job.Needs)
	p.quotas.add(job.Team, job.Needs)
}

// preemptWithinTeam evicts batch tasks of an urgent job's own team until the job
// is within the team's quota.
func (p *pass) preemptWithinTeam(job *Pending) {
	limit := p.quotas.limits[job.Team]
	if !job.Needs.Fits(limit) {
		return
	}
	for _, c := range p.candidates {
		for _, t := range c.victims(p.evicted) {
			if p.quotas.used[job.Team].Sub(p.freeing[job.Team]).Add(job.Needs).Fits(limit) {
				return
			}
			if t.Team == job.Team {
				p.evict(c, t, "quota needed by "+job.ID)
			}
		}
	}
}
