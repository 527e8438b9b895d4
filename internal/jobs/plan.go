package jobs

import (
	"container/list"
	"time"

	"gooseberryreel/internal/interference"
	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/placement"
	"gooseberryreel/internal/remote"
)

// plan runs a planning pass and applies the resulting plan. Without queued jobs,
// it looks only for workers whose tasks must be evicted.
func (c *Core) plan(now time.Time) {
	c.nextPlan = now.Add(planInterval)
	c.planDue = false
	if c.batch.Len() == 0 {
		clear(c.heldSince)
	}
	if !c.view.MayAct || c.view.Leaving || c.view.Config == nil {
		return
	}
	if c.urgent.Len()+c.batch.Len() == 0 && now.Before(c.nextEvictionCheck) {
		return
	}
	c.nextEvictionCheck = now.Add(controlInterval)
	c.estimator.Advance(now)
	clear(c.estimates)
	state := c.placementState(now)
	if len(state.Queue) == 0 && !needsEviction(state) {
		return
	}
	plan := placement.Reconcile(state)
	c.applyPlan(plan, now)
}

// needsEviction reports whether a worker with tasks is leaving or over its
// capacity.
func needsEviction(s *placement.State) bool {
	for i := range s.Workers {
		w := &s.Workers[i]
		if len(w.Tasks) > 0 && (w.Leaving || !w.InUse().Fits(w.Capacity)) {
			return true
		}
	}
	return false
}

func (c *Core) applyPlan(plan placement.Plan, now time.Time) {
	for _, e := range plan.Evictions {
		if j := c.jobs[e.Ref.Job]; j != nil && j.ref() == e.Ref {
			c.evict(j, e.Reason)
			c.advance(j, now)
			c.appendRecord(j)
		}
	}
	c.controller.ConsumeEvictions(len(plan.Evictions))
	for _, s := range plan.Starts {
		c.assign(c.jobs[s.Job], s.Worker, now)
		if s.Trial {
			c.beginTrial(c.jobs[s.Job])
		}
	}
	c.updateHeld(plan.HeldBack, now)
	for id, reason := range plan.Unschedulable {
		if j := c.jobs[id]; j != nil {
			j.rec.Reason = reason
		}
	}
}

// assign removes a job from its queue and assigns its next attempt to a worker.
func (c *Core) assign(j *job, workerName string, now time.Time) {
	c.dequeue(j)
	j.attempt = newAttempt()
	if !c.disabled.reuseAttempt || j.rec.Attempt == 0 {
		j.rec.Attempt++
	}
	j.rec.Worker = workerName
	j.rec.Reason = ""
	c.workers[workerName].jobs[j.rec.Id] = j
	c.setState(j, pb.JobState_JOB_STATE_STARTING, "assigned")
	c.advance(j, now)
	c.appendRecord(j)
}

// placementState builds the input of a planning pass.
func (c *Core) placementState(now time.Time) *placement.State {
	s := &placement.State{
		Quotas:       make(map[string]remote.Resources),
		Slowdown:     c.slowdown,
		MaxSlowdown:  c.thresholds.Place,
		Weights:      c.opts.weights,
		FirstFit:     c.opts.overrides.FirstFit,
		MaxEvictions: c.controller.AvailableEvictions(now),
	}
	for name, team := range c.view.Config.Teams {
		if team.GetQuota() != nil {
			s.Quotas[name] = remote.ResourcesFrom(team.Quota)
		}
	}
	reserved, services := c.targetsByWorker(now)
	for _, name := range c.workerNames() {
		w := c.workers[name]
		if w.listed {
			s.Workers = append(s.Workers, c.placementWorker(name, w, reserved[name], services[name], now))
		}
	}
	s.Queue = c.pendingJobs(s.Queue, c.urgent, now)
	s.Queue = c.pendingJobs(s.Queue, c.batch, now)
	return s
}

// slowdown returns the estimated factor by which one task of a job slows a service
// down at a load.
func (c *Core) slowdown(service, job string, load float64) float64 {
	if c.opts.overrides.Slowdown != nil {
		return c.opts.overrides.Slowdown(service, job, load)
	}
	k := estimateKey{service, job, interference.Level(load)}
	v, ok := c.estimates[k]
	if !ok {
		v = c.estimator.Slowdown(service, job, load)
		c.estimates[k] = v
	}
	return v
}

// estimateKey identifies an estimate that is cached during a pass.
type estimateKey struct {
	service string
	job     string
	level   int
}

// targetsByWorker returns the resources reserved for targets and the expected
// service loads, both by worker.
func (c *Core) targetsByWorker(now time.Time) (map[string]remote.Resources, map[string][]placement.ServiceLoad) {
	reserved := make(map[string]remote.Resources)
	services := make(map[string][]placement.ServiceLoad)
	for _, t := range c.view.Targets {
		if t.Worker == "" {
			continue
		}
		reserved[t.Worker] = reserved[t.Worker].Add(remote.ResourcesFrom(c.view.Config.Services[t.Service].GetPerTarget()))
		services[t.Worker] = append(services[t.Worker], c.expectedLoad(&t, now))
	}
	return reserved, services
}

func (c *Core) placementWorker(name string, w *worker, reserved remote.Resources, services []placement.ServiceLoad, now time.Time) placement.Worker {
	p := placement.Worker{
		Name:        name,
		Rack:        w.inst.Rack,
		Capacity:    w.inst.Capacity,
		Reserved:    reserved,
		Services:    services,
		Leaving:     w.inst.State != remote.StateLive,
		Unavailable: !w.schedulable(now, c.opts),
		Probation:   w.probation(),
	}
	if c.disabled.ignoreCapacity {
		return p
	}
	for _, id := range sortedKeys(w.jobs) {
		p.Tasks = append(p.Tasks, c.placementTask(w.jobs[id], now))
	}
	for _, id := range sortedKeys(c.unsent) {
		for _, a := range c.unsent[id] {
			if a.worker == name {
				ref := remote.TaskRef{Job: id, Attempt: int(a.attempt)}
				p.Tasks = append(p.Tasks, placement.Task{Ref: ref, Needs: a.needs, Stopping: true, Unevictable: true})
			}
		}
	}
	for ref, o := range w.orphans {
		p.Tasks = append(p.Tasks, placement.Task{Ref: ref, Needs: o.usage, Stopping: true, Unevictable: true})
	}
	return p
}

func (c *Core) placementTask(j *job, now time.Time) placement.Task {
	t := placement.Task{
		Ref:      j.ref(),
		Name:     j.rec.Name,
		Team:     j.rec.Team,
		Urgent:   j.rec.Urgent,
		Needs:    c.needs(j, now),
		Stopping: j.stopping(),
	}
	if !c.checkpointable(j) && !j.attempt.startedAt.IsZero() {
		t.LostWork = now.Sub(j.attempt.startedAt).Seconds()
	}
	return t
}

// pendingJobs appends the queued jobs that may be assigned to workers, in queue
// order.
func (c *Core) pendingJobs(out []placement.Pending, queue *list.List, now time.Time) []placement.Pending {
	perName := make(map[string]int)
	for e := queue.Front(); e != nil; e = e.Next() {
		j := e.Value.(*job)
		if perName[j.rec.Name] >= maxQueuedPerPass {
			continue
		}
		if c.awaitsStatus(j) || (c.view.LogReadable && c.recorded[j.rec.Id] == nil) {
			continue // not recorded yet, or possibly running on another worker
		}
		perName[j.rec.Name]++
		out = append(out, placement.Pending{
			ID:     j.rec.Id,
			Name:   j.rec.Name,
			Team:   j.rec.Team,
			Urgent: j.rec.Urgent,
			Needs:  c.needs(j, now),
			Avoid:  j.rec.FailedWorkers,
			Trial:  perName[j.rec.Name] == 1 && c.trialDue(j.rec.Name, now),
		})
	}
	return out
}

// ReportLatency feeds the latency digests of one entry instance to the estimates
// of load and interference.
func (c *Core) ReportLatency(digests []*pb.LatencyDigest, now time.Time) {
	if !c.active {
		return
	}
	byName := make(map[string]*remote.Instance, len(c.view.Targets))
	for i := range c.view.Targets {
		byName[c.view.Targets[i].Name] = &c.view.Targets[i]
	}
	for _, d := range digests {
		t := byName[d.Target]
		if t == nil || t.Worker == "" {
			continue
		}
		c.targetLoad[t.Name] = targetLoad{load: loadOf(d, t), at: now}
		c.meter.Add(interference.Report{
			Worker:   t.Worker,
			Service:  d.Service,
			Load:     loadOf(d, t),
			Requests: d.Requests,
			MeanUS:   d.MeanUs,
			Tasks:    c.batchLoad(t.Worker),
		}, now)
	}
}

// batchLoad returns the tasks that may be running on a worker, by job declaration,
// each weighted by the share of CPU time granted to it.
func (c *Core) batchLoad(workerName string) interference.TaskShares {
	w := c.workers[workerName]
	if w == nil || len(w.jobs) == 0 {
		return nil
	}
	l := make(interference.TaskShares)
	for _, j := range w.jobs {
		if j.rec.Name != "" && j.attempt.sent {
			l[j.rec.Name] += float64(j.attempt.percent) / 100
		}
	}
	return l
}

// controlInterference runs one round of the interference controller and applies
// its actions.
func (c *Core) controlInterference(now time.Time) {
	if !c.view.MayAct || c.opts.overrides.NoInterferenceControl || c.view.Config == nil {
		return
	}
	c.estimator.Advance(now)
	clear(c.estimates)
	_, services := c.targetsByWorker(now)
	var observed []interference.Observation
	for _, name := range sortedKeys(services) {
		if w := c.workers[name]; w != nil && len(w.jobs) > 0 {
			observed = append(observed, c.observation(name, w, services[name], now))
		}
	}
	for _, a := range c.controller.Step(now, observed) {
		j := c.jobs[a.Ref.Job]
		if a.Kind == interference.Evict {
			c.evict(j, "slows a service down")
		} else {
			j.attempt.wantPercent = a.Percent
			c.toAdvance[j.rec.Id] = j
		}
	}
}

// observation returns the largest measured slowdown of a service on a worker, and
// the tasks there with their estimated effect on that service.
func (c *Core) observation(name string, w *worker, services []placement.ServiceLoad, now time.Time) interference.Observation {
	o := interference.Observation{Worker: name, Slowdown: 1}
	var worst placement.ServiceLoad
	for _, s := range services {
		if v := c.meter.Slowdown(name, s.Service, now); v > o.Slowdown || worst.Service == "" {
			o.Slowdown, worst = max(v, o.Slowdown), s
		}
	}
	for _, id := range sortedKeys(w.jobs) {
		j := w.jobs[id]
		t := c.placementTask(j, now)
		o.Tasks = append(o.Tasks, interference.Task{
			Ref:      t.Ref,
			Excess:   c.slowdown(worst.Service, t.Name, worst.Load) - 1,
			Percent:  j.attempt.wantPercent,
			LostWork: t.LostWork,
			Exempt:   t.Urgent || t.Stopping || j.rec.State != pb.JobState_JOB_STATE_RUNNING,
		})
	}
	return o
}
