package placement

import (
	"fmt"

	"gooseberryreel/internal/remote"
)

// pass is the state of one planning pass.
type pass struct {
	state   *State
	slots   []*slot
	quotas  *quotas
	plan    Plan
	evicted map[remote.TaskRef]bool
	freeing map[string]remote.Resources // in use by stopping tasks, per team
	spent   int
}

// shape identifies queued jobs that the same workers accept. Once one of them
// can't be placed, the other batch jobs are skipped in this pass.
type shape struct {
	name   string
	team   string
	urgent bool
	needs  remote.Resources
}

// Reconcile returns the jobs to start and the tasks to evict. Urgent jobs are
// placed first. A job that can't be placed does not block the jobs behind it.
func Reconcile(s *State) Plan {
	p := newPass(s)
	p.relieve()
	p.place(true)
	p.place(false)
	return p.plan
}

func newPass(s *State) *pass {
	p := &pass{
		state:   s,
		quotas:  newQuotas(s),
		evicted: make(map[remote.TaskRef]bool),
		freeing: make(map[string]remote.Resources),
		plan:    Plan{Unschedulable: make(map[string]string), Held: make(map[string]bool)},
	}
	for i := range s.Workers {
		w := &s.Workers[i]
		p.slots = append(p.slots, newSlot(s, w))
		for _, t := range w.Tasks {
			if t.Stopping {
				p.freeing[t.Team] = p.freeing[t.Team].Add(t.Needs)
			}
		}
	}
	return p
}

// relieve evicts batch tasks from workers that are leaving and from workers that
// are over their capacity, which can happen when the learned peak use of a
// running task rises.
func (p *pass) relieve() {
	for _, sl := range p.slots {
		for _, t := range sl.victims(p.evicted) {
			if p.spent >= p.state.MaxEvictions {
				return
			}
			over := remote.Resources{}.Sub(sl.free.Add(sl.freeing))
			switch {
			case sl.Leaving:
				p.evict(sl, t, "worker is leaving")
			case helps(t.Needs, over):
				p.evict(sl, t, "worker over capacity")
			default:
				continue
			}
			p.spent++
		}
	}
}

func (p *pass) evict(sl *slot, t *Task, reason string) {
	p.evicted[t.Ref] = true
	sl.freeing = sl.freeing.Add(t.Needs)
	p.freeing[t.Team] = p.freeing[t.Team].Add(t.Needs)
	p.plan.Evictions = append(p.plan.Evictions, Eviction{Ref: t.Ref, Worker: sl.Name, Reason: reason})
}

func (p *pass) place(urgent bool) {
	full := make(map[shape]bool)
	possible := make(map[remote.Resources]bool)
	for i := range p.state.Queue {
		job := &p.state.Queue[i]
		if job.Urgent != urgent {
			continue
		}
		fits, known := possible[job.Needs]
		if !known {
			fits = FitsAny(p.state.Workers, job.Needs)
			possible[job.Needs] = fits
		}
		if !fits {
			p.plan.Unschedulable[job.ID] = fmt.Sprintf("needs %d milli-cores, %d MiB and %d accelerators, which no worker has",
				job.Needs.CPUMilli, job.Needs.MemoryMiB, job.Needs.Accelerators)
			continue
		}
		p.placeOne(job, full)
	}
}

func (p *pass) placeOne(job *Pending, full map[shape]bool) {
	key := shape{job.Name, job.Team, job.Urgent, job.Needs}
	if full[key] && !job.Urgent {
		return
	}
	if !p.quotas.allows(job.Team, job.Needs) {
		if job.Urgent {
			p.preemptOwnTeam(job)
		}
		full[key] = true
		return
	}
	quiet := *job
	quiet.Trial = false
	sl := best(p.state, p.slots, &quiet)
	if sl == nil && len(job.Avoid) > 0 && !p.othersCanHold(job) {
		retry := *job
		retry.Avoid = nil
		sl = best(p.state, p.slots, &retry)
	}
	if sl == nil {
		if job.Urgent {
			p.preempt(job)
		} else {
			full[key] = true
			p.hold(job)
		}
		return
	}
	p.start(sl, &quiet)
}

// hold handles a batch job that no worker accepts. If only interference prevents
// the start, it starts a due trial on the worker with the lowest cost, or else
// marks the job as held.
func (p *pass) hold(job *Pending) {
	loud := *job
	loud.Trial = true
	sl := best(p.state, p.slots, &loud)
	switch {
	case sl == nil:
	case job.Trial:
		p.start(sl, job)
	default:
		p.plan.Held[job.Name] = true
	}
}

// othersCanHold reports whether the job would fit on a worker on which it has not
// failed if that worker ran no tasks.
func (p *pass) othersCanHold(job *Pending) bool {
	for _, sl := range p.slots {
		if sl.usable(job) && sl.FitsEmpty(job.Needs) {
			return true
		}
	}
	return false
}

func (p *pass) start(sl *slot, job *Pending) {
	sl.free = sl.free.Sub(job.Needs)
	sl.tasks++
	sl.addSlowdown(p.state, job.Name)
	p.quotas.add(job.Team, job.Needs)
	p.plan.Starts = append(p.plan.Starts, Start{Job: job.ID, Worker: sl.Name, Trial: job.Trial})
}
