package jobs

import (
	"container/list"
	"time"

	"gooseberryreel/internal/interference"
	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/placement"
	"gooseberryreel/internal/remote"
)

// plan runs a planning pass and applies its result.
func (c *Core) plan(now time.Time) {
	c.nextPlan = now.Add(planInterval)
	c.planDue = false
	if c.batch.Len() == 0 {
		clear(c.heldSince)
	}
	if !c.sit.MayAct || c.sit.Leaving || c.sit.Config == nil {
		return
	}
	if c.urgent.Len()+c.batch.Len() == 0 && now.Before(c.nextRelief) {
		return
	}
	c.nextRelief = now.Add(controlInterval)
	c.estimator.Advance(now)
	clear(c.estimates)
	state := c.placementState(now)
	if len(state.Queue) == 0 && !needsRelief(state) {
		return
	}
	plan := placement.Reconcile(state)
	c.apply(plan, now)
}

// needsRelief reports whether a worker is leaving or over its capacity.
func needsRelief(s *placement.State) bool {
	for i := range s.Workers {
		w := &s.Workers[i]
		if len(w.Tasks) > 0 && (w.Leaving || !w.InUse().Fits(w.Capacity)) {
			return true
		}
	}
	return false
}

func (c *Core) apply(plan placement.Plan, now time.Time) {
	for _, e := range plan.Evictions {
		if j := c.jobs[e.Ref.Job]; j != nil && j.ref() == e.Ref {
			c.evict(j, e.Reason)
			c.drive(j, now)
			c.flush(j)
		}
	}
	c.controller.ConsumeEvictions(len(plan.Evictions))
	for _, s := range plan.Starts {
		c.assign(c.jobs[s.Job], s.Worker, now)
		if s.Trial {
			c.beginTrial(c.jobs[s.Job])
		}
	}
	c.noteHeld(plan.Held, now)
	for id, reason := range plan.Unschedulable {
		if j := c.jobs[id]; j != nil {
			j.rec.Reason = reason
		}
	}
}

// assign gives a queued job its next attempt.
func (c *Core) assign(j *job, workerName string, now time.Time) {
	c.dequeue(j)
	j.attempt = freshAttempt()
	if !c.faults.sameAttempt || j.rec.Attempt == 0 {
		j.rec.Attempt++
	}
	j.rec.Worker = workerName
	j.rec.Reason = ""
	c.workers[workerName].jobs[j.rec.Id] = j
	c.setState(j, pb.JobState_JOB_STATE_STARTING, "assigned")
	c.drive(j, now)
	c.flush(j)
}

func (c *Core) placementState(now time.Time) *placement.State {
	s := &placement.State{
		Quotas:       make(map[string]remote.Resources),
		Slowdown:     c.slowdown,
		MaxSlowdown:  c.thresholds.Place,
		Weights:      c.opts.weights,
		FirstFit:     c.opts.tuning.FirstFit,
		MaxEvictions: c.controller.AvailableEvictions(now),
	}
	for name, team := range c.sit.Config.Teams {
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
	s.Queue = c.pending(s.Queue, c.urgent, now)
	s.Queue = c.pending(s.Queue, c.batch, now)
	return s
}

func (c *Core) slowdown(service, job string, load float64) float64 {
	if c.opts.tuning.Slowdown != nil {
		return c.opts.tuning.Slowdown(service, job, load)
	}
	k := estimateKey{service, job, interference.Level(load)}
	v, ok := c.estimates[k]
	if !ok {
		v = c.estimator.Slowdown(service, job, load)
		c.estimates[k] = v
	}
	return v
}

// estimateKey names an estimate that is computed once a pass.
type estimateKey struct {
	service string
	job     string
	level   int
}

func (c *Core) targetsByWorker(now time.Time) (map[string]remote.Resources, map[string][]placement.ServiceLoad) {
	reserved := make(map[string]remote.Resources)
	services := make(map[string][]placement.ServiceLoad)
	for _, t := range c.sit.Targets {
		if t.Worker == "" {
			continue
		}
		reserved[t.Worker] = reserved[t.Worker].Add(remote.ResourcesFrom(c.sit.Config.Services[t.Service].GetPerTarget()))
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
		Unavailable: !w.usable(now, c.opts),
		Probation:   w.probation(),
	}
	if c.faults.ignoreCapacity {
		return p
	}
	for _, id := range sortedKeys(w.jobs) {
		p.Tasks = append(p.Tasks, c.placementTask(w.jobs[id], now))
	}
	for ref, g := range w.ghosts {
		p.Tasks = append(p.Tasks, placement.Task{Ref: ref, Needs: g.usage, Stopping: true, Unevictable: true})
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

// pending appends the jobs of a queue that may be assigned.
func (c *Core) pending(out []placement.Pending, queue *list.List, now time.Time) []placement.Pending {
	taken := make(map[string]int)
	for e := queue.Front(); e != nil; e = e.Next() {
		j := e.Value.(*job)
		if taken[j.rec.Name] >= maxPerPass {
			continue
		}
		if c.holds(j) || (c.sit.LogReadable && c.recorded[j.rec.Id] == nil) {
			continue // not accepted yet, or possibly running elsewhere
		}
		taken[j.rec.Name]++
		out = append(out, placement.Pending{
			ID:     j.rec.Id,
			Name:   j.rec.Name,
			Team:   j.rec.Team,
			Urgent: j.rec.Urgent,
			Needs:  c.needs(j, now),
			Avoid:  j.rec.FailedWorkers,
			Trial:  taken[j.rec.Name] == 1 && c.trialDue(j.rec.Name, now),
		})
	}
	return out
}

// ReportLatency takes the digests of one entry instance.
func (c *Core) ReportLatency(digests []*pb.LatencyDigest, now time.Time) {
	if !c.active {
		return
	}
	byName := make(map[string]*remote.Instance, len(c.sit.Targets))
	for i := range c.sit.Targets {
		byName[c.sit.Targets[i].Name] = &c.sit.Targets[i]
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

// batchLoad returns the batch tasks that run on a worker, by name.
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

// control runs one round of the interference controller.
func (c *Core) control(now time.Time) {
	if !c.sit.MayAct || c.opts.tuning.NoInterferenceControl || c.sit.Config == nil {
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
			j.attempt.want = a.Percent
			c.hot[j.rec.Id] = j
		}
	}
}

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
			Percent:  j.attempt.want,
			LostWork: t.LostWork,
			Exempt:   t.Urgent || t.Stopping || j.rec.State != pb.JobState_JOB_STATE_RUNNING,
		})
	}
	return o
}
