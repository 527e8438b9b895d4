package placement

import (
	"slices"

	"gooseberryreel/internal/remote"
)

// InUse returns the resources of the worker that are reserved or used by tasks.
func (w *Worker) InUse() remote.Resources {
	used := w.Reserved
	for i := range w.Tasks {
		used = used.Add(w.Tasks[i].Needs)
	}
	return used
}

// FitsEmpty reports whether needs fit on the worker when no task runs there.
func (w *Worker) FitsEmpty(needs remote.Resources) bool {
	return needs.Fits(w.Capacity.Sub(w.Reserved))
}

// FitsAny reports whether needs fit on at least one worker that is not leaving
// when no task runs there.
func FitsAny(workers []Worker, needs remote.Resources) bool {
	return slices.ContainsFunc(workers, func(w Worker) bool { return !w.Leaving && w.FitsEmpty(needs) })
}

// candidate is a worker that is considered during a planning pass.
type candidate struct {
	*Worker
	free     remote.Resources
	freeing  remote.Resources // in use by tasks that are being stopped
	tasks    int
	slowdown []float64 // excess slowdown of each service caused by the tasks here
}

func newCandidate(s *State, w *Worker) *candidate {
	c := &candidate{Worker: w, free: w.Capacity.Sub(w.InUse()), tasks: len(w.Tasks), slowdown: make([]float64, len(w.Services))}
	for i := range w.Tasks {
		t := &w.Tasks[i]
		if t.Stopping {
			c.freeing = c.freeing.Add(t.Needs)
			continue
		}
		c.addSlowdown(s, t.Name)
	}
	return c
}

func (c *candidate) addSlowdown(s *State, job string) {
	for i, svc := range c.Services {
		c.slowdown[i] += s.excess(svc, job)
	}
}

// excess returns the estimated excess slowdown, the slowdown minus 1, that one
// task of a job causes to a service.
func (s *State) excess(svc ServiceLoad, job string) float64 {
	if s.Slowdown == nil || svc.Idle {
		return 0
	}
	return max(s.Slowdown(svc.Service, job, svc.Load)-1, 0)
}

// accepts reports whether the job may start on the worker now. Urgent jobs and
// trials may exceed the slowdown limit.
func (c *candidate) accepts(s *State, job *Pending) bool {
	if !c.eligible(job) || !job.Needs.Fits(c.free) {
		return false
	}
	return job.Urgent || job.Trial || c.withinSlowdownLimit(s, job.Name)
}

// eligible reports whether the worker may receive the job if it has the capacity.
func (c *candidate) eligible(job *Pending) bool {
	if c.Leaving || c.Unavailable || (c.Probation && c.tasks > 0) {
		return false
	}
	return !slices.Contains(job.Avoid, c.Name)
}

// withinSlowdownLimit reports whether every service on the worker stays within
// State.MaxSlowdown after one more task of the job.
func (c *candidate) withinSlowdownLimit(s *State, job string) bool {
	if s.MaxSlowdown <= 0 {
		return true
	}
	for i, svc := range c.Services {
		if 1+c.slowdown[i]+s.excess(svc, job) > s.MaxSlowdown {
			return false
		}
	}
	return true
}

// quotas tracks the resources in use per team during a planning pass.
type quotas struct {
	limits map[string]remote.Resources
	used   map[string]remote.Resources
}

func newQuotas(s *State) *quotas {
	q := &quotas{limits: s.Quotas, used: make(map[string]remote.Resources)}
	for i := range s.Workers {
		for _, t := range s.Workers[i].Tasks {
			q.add(t.Team, t.Needs)
		}
	}
	return q
}

func (q *quotas) add(team string, r remote.Resources) { q.used[team] = q.used[team].Add(r) }

func (q *quotas) allows(team string, needs remote.Resources) bool {
	limit, ok := q.limits[team]
	return !ok || q.used[team].Add(needs).Fits(limit)
}
