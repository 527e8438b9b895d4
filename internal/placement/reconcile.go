package placement

import (
	"fmt"

	"gooseberryreel/internal/remote"
)

// pass is the state of one planning pass.
type pass struct {
	state             *State
	candidates        []*candidate
	quotas            *quotas
	plan              Plan
	evicted           map[remote.TaskRef]bool
	freeing           map[string]remote.Resources // in use by stopping tasks, per team
	capacityEvictions int
}

// equivalenceClass identifies queued jobs that are placed alike. Once a batch job
// can't be placed, the others of its class are skipped in this pass.
type equivalenceClass struct {
	name   string
	team   string
	urgent bool
	needs  remote.Resources
}

// Reconcile returns the jobs to start and the tasks to evict. Urgent jobs are
// placed first. A job that can't be placed does not block the jobs behind it.
func Reconcile(s *State) Plan {
	p := newPass(s)
	p.evictForCapacity()
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
		plan:    Plan{Unschedulable: make(map[string]string), HeldBack: make(map[string]bool)},
	}
	for i := range s.Workers {
		w := &s.Workers[i]
		p.candidates = append(p.candidates, newCandidate(s, w))
		for _, t := range w.Tasks {
			if t.Stopping {
				p.freeing[t.Team] = p.freeing[t.Team].Add(t.Needs)
			}
		}
	}
	return p
}

// evictForCapacity evicts batch tasks from workers that are leaving and from
// workers that are over their capacity, which can happen when the learned peak use
// of a running task rises.
func (p *pass) evictForCapacity() {
	for _, c := range p.candidates {
		for _, t := range c.victims(p.evicted) {
			if p.capacityEvictions >= p.state.MaxEvictions {
				return
			}
			shortage := remote.Resources{}.Sub(c.free.Add(c.freeing))
			switch {
			case c.Leaving:
				p.evict(c, t, "worker is leaving")
			case reducesShortage(t.Needs, shortage):
				p.evict(c, t, "worker over capacity")
			default:
				continue
			}
			p.capacityEvictions++
		}
	}
}

func (p *pass) evict(c *candidate, t *Task, reason string) {
	p.evicted[t.Ref] = true
	c.freeing = c.freeing.Add(t.Needs)
	p.freeing[t.Team] = p.freeing[t.Team].Add(t.Needs)
	p.plan.Evictions = append(p.plan.Evictions, Eviction{Ref: t.Ref, Worker: c.Name, Reason: reason})
}

// place tries to start all urgent jobs, or all others, in the order of the queue.
func (p *pass) place(urgent bool) {
	unplaceable := make(map[equivalenceClass]bool)
	feasible := make(map[remote.Resources]bool)
	for i := range p.state.Queue {
		job := &p.state.Queue[i]
		if job.Urgent != urgent {
			continue
		}
		fits, known := feasible[job.Needs]
		if !known {
			fits = FitsAny(p.state.Workers, job.Needs)
			feasible[job.Needs] = fits
		}
		if !fits {
			p.plan.Unschedulable[job.ID] = fmt.Sprintf("needs %d milli-cores, %d MiB and %d accelerators, which no worker has",
				job.Needs.CPUMilli, job.Needs.MemoryMiB, job.Needs.Accelerators)
			continue
		}
		p.placeOne(job, unplaceable)
	}
}

// placeOne starts a job on the best worker. If there is none, it preempts batch
// tasks for an urgent job, and holds back a batch job or starts it on trial.
func (p *pass) placeOne(job *Pending, unplaceable map[equivalenceClass]bool) {
	key := equivalenceClass{job.Name, job.Team, job.Urgent, job.Needs}
	if unplaceable[key] && !job.Urgent {
		return
	}
	if !p.quotas.allows(job.Team, job.Needs) {
		if job.Urgent {
			p.preemptWithinTeam(job)
		}
		unplaceable[key] = true
		return
	}
	noTrial := *job
	noTrial.Trial = false
	c := best(p.state, p.candidates, &noTrial)
	if c == nil && len(job.Avoid) > 0 && !p.fitsOtherWorker(job) {
		// Retries on a worker where the job has failed, since it fits on no other.
		anyWorker := *job
		anyWorker.Avoid = nil
		c = best(p.state, p.candidates, &anyWorker)
	}
	if c == nil {
		if job.Urgent {
			p.preempt(job)
		} else {
			unplaceable[key] = true
			p.holdBackOrTry(job)
		}
		return
	}
	p.start(c, &noTrial)
}

// holdBackOrTry handles a batch job that no worker accepts. If only the estimated
// slowdown prevents the start, it starts a due trial on the worker with the lowest
// cost, or else marks the job as held back.
func (p *pass) holdBackOrTry(job *Pending) {
	trial := *job
	trial.Trial = true
	c := best(p.state, p.candidates, &trial)
	switch {
	case c == nil:
	case job.Trial:
		p.start(c, job)
	default:
		p.plan.HeldBack[job.Name] = true
	}
}

// fitsOtherWorker reports whether the job would fit on a worker on which it has
// not failed if that worker ran no tasks.
func (p *pass) fitsOtherWorker(job *Pending) bool {
	for _, c := range p.candidates {
		if c.eligible(job) && c.FitsEmpty(job.Needs) {
			return true
		}
	}
	return false
}

func (p *pass) start(c *candidate, job *Pending) {
	c.free = c.free.Sub(job.Needs)
	c.tasks++
	c.addSlowdown(p.state, job.Name)
	p.quotas.add(job.Team, job.Needs)
	p.plan.Starts = append(p.plan.Starts, Start{Job: job.ID, Worker: c.Name, Trial: job.Trial})
}
