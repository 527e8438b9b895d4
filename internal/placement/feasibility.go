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

// slot is a worker that is considered during a planning pass.
type slot struct {
	*Worker
	free     remote.Resources
	freeing  remote.Resources // in use by tasks that are being stopped
	tasks    int
	slowdown []float64 // excess slowdown of each service caused by the tasks here
}

func newSlot(s *State, w *Worker) *slot {
	sl := &slot{Worker: w, free: w.Capacity.Sub(w.InUse()), tasks: len(w.Tasks), slowdown: make([]float64, len(w.Services))}
	for i := range w.Tasks {
		t := &w.Tasks[i]
		if t.Stopping {
			sl.freeing = sl.freeing.Add(t.Needs)
			continue
		}
		sl.addSlowdown(s, t.Name)
	}
	return sl
}

func (sl *slot) addSlowdown(s *State, job string) {
	for i, svc := range sl.Services {
		sl.slowdown[i] += s.excess(svc, job)
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
func (sl *slot) accepts(s *State, p *Pending) bool {
	if !sl.usable(p) || !p.Needs.Fits(sl.free) {
		return false
	}
	return p.Urgent || p.Trial || sl.quietEnough(s, p.Name)
}

// usable reports whether the worker may receive the job if it has the capacity.
func (sl *slot) usable(p *Pending) bool {
	if sl.Leaving || sl.Unavailable || (sl.Probation && sl.tasks > 0) {
		return false
	}
	return !slices.Contains(p.Avoid, sl.Name)
}

// quietEnough reports whether every service on the worker stays within the
// slowdown limit after one more task of the job.
func (sl *slot) quietEnough(s *State, job string) bool {
	if s.MaxSlowdown <= 0 {
		return true
	}
	for i, svc := range sl.Services {
		if 1+sl.slowdown[i]+s.excess(svc, job) > s.MaxSlowdown {
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
