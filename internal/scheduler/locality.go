package scheduler

import (
	"cmp"
	"slices"
	"time"

	"gooseberryreel/internal/locality"
)

const (
	// hotRackInterval is the age from which the demand for racks is computed again.
	hotRackInterval = 250 * time.Millisecond
	// hotRackCost is the cost of a worker on a rack whose room is wanted in full by tasks
	// with data there, for tasks that can run anywhere at full speed. It is below
	// remoteCost and above the spread of the other costs.
	hotRackCost = 2
	// contendedUse is the used part of a pool from which extra work displaces other work.
	contendedUse = 0.95
)

// localityState is what the core knows of racks.
type localityState struct {
	demand map[string]*locality.Demand // by rack
	// hot is the demand for each rack relative to its room.
	hot   map[string]float64
	hotAt time.Time
	tasks locality.Accuracy // of the expectations for tasks
	gangs locality.Accuracy // of those for gangs
}

// nearStep is the state of a step with data on a rack, or of a gang that prefers one
// rack.
type nearStep struct {
	counted bool     // in the demand for its rack
	gang    nearWait // of the gang as a whole
	// heldSince is when room was first held for the gang, and heldFor for how long it
	// was then expected to be held.
	heldSince time.Time
	heldFor   time.Duration
}

// nearWait is a wait for room near the data or the rest of a gang. It begins when the
// task could have started elsewhere.
type nearWait struct {
	since    time.Time // zero if it does not wait
	until    time.Time
	expected time.Duration // when it began
	saved    float64       // progress of the task's checkpoint
}

// knowsRacks reports whether the deployment has told what a distant place costs.
func (c *Core) knowsRacks() bool { return c.opts.RemoteFactor > 1 }

// wantsRack reports whether a step's tasks may wait for room on one rack. Long-running
// tasks must run soon, and room for fillers is no matter of free capacity.
func (c *Core) wantsRack(s *step) bool {
	return c.knowsRacks() && s.spec.GetDataRack() != "" && !s.longRunning() && !s.filler() && !s.spec.GetGang() && s.advice == nil
}

// slowdownOf returns how much longer an attempt takes because of where it runs.
func (c *Core) slowdownOf(a *attempt) float64 {
	s := a.step()
	rack := s.spec.GetDataRack()
	switch {
	case !c.knowsRacks():
		return 1
	case a.slowdown > 0:
		return a.slowdown
	case rack != "" && rack != a.worker.entry.Rack:
		return c.opts.RemoteFactor
	default:
		return 1
	}
}

// atFullSpeed returns the duration that an attempt would have had near its data.
func (c *Core) atFullSpeed(a *attempt, took time.Duration) time.Duration {
	if c.disabled.learnRemote {
		return took
	}
	return time.Duration(float64(took) / c.slowdownOf(a))
}

// expectedRest returns how long those attempts of a step that run away from their data
// are expected to take.
func (c *Core) expectedRest(s *step, now time.Time) time.Duration {
	rest := time.Duration(0)
	if !c.knowsRacks() || s.spec.GetDataRack() == "" {
		return rest
	}
	for _, t := range s.tasks {
		for _, a := range t.attempts {
			if factor := c.slowdownOf(a); factor > 1 {
				total := float64(c.durations.of(s.round.job.sub.GetQueue()).expect(s.spec.GetEstimateMs())) * factor
				rest = max(rest, time.Duration(total)-now.Sub(a.sentAt))
			}
		}
	}
	return rest
}

// orderByRack orders the steps that want the same rack by what a place there is worth
// to them. All other steps keep their places.
func (c *Core) orderByRack(list []rank, now time.Time) {
	if !c.knowsRacks() || c.disabled.ignoreRacks {
		return
	}
	places := make(map[string][]int)
	if slices.ContainsFunc(list, func(r rank) bool { return c.starvingGang(r, now) }) {
		slices.SortStableFunc(list, func(a, b rank) int {
			return cmp.Or(cmp.Compare(a.step.round.job.sub.GetPriority(), b.step.round.job.sub.GetPriority()), -compareBool(c.starvingGang(a, now), c.starvingGang(b, now)))
		})
	}
	for n, r := range list {
		if c.wantsRack(r.step) {
			c.addDemand(r.step, now)
			places[r.step.spec.GetDataRack()] = append(places[r.step.spec.GetDataRack()], n)
		}
	}
	c.updateHotRacks(now)
	for _, indexes := range places {
		if len(indexes) > 1 {
			c.orderByGain(list, indexes, now)
		}
	}
}

// gangMaxWait is how long a gang that prefers one rack waits behind the short tasks that
// go before it. They would keep its room full without end once it is late.
const gangMaxWait = 3 * time.Second

// starvingGang reports whether a gang that prefers one rack has waited for gangMaxWait.
func (c *Core) starvingGang(r rank, now time.Time) bool {
	s := r.step
	return s.spec.GetGang() && s.spec.GetSameRack() && !c.disabled.noGangHolds && now.Sub(s.readyAt)+c.waitedBefore(s.tasks[0]) >= gangMaxWait
}

// orderByGain orders the ranks at the indexes, within each priority.
func (c *Core) orderByGain(list []rank, indexes []int, now time.Time) {
	type gained struct {
		rank
		gain float64
	}
	ranks := make([]gained, len(indexes))
	for i, n := range indexes {
		ranks[i] = gained{list[n], locality.Gain(c.question(list[n].step, list[n].step.tasks[0], now))}
	}
	slices.SortStableFunc(ranks, func(a, b gained) int {
		return cmp.Or(cmp.Compare(a.step.round.job.sub.GetPriority(), b.step.round.job.sub.GetPriority()), cmp.Compare(b.gain, a.gain))
	})
	for i, n := range indexes {
		list[n] = ranks[i].rank
	}
}

// addDemand counts a step once in the demand for its rack.
func (c *Core) addDemand(s *step, now time.Time) {
	if s.near.counted {
		return
	}
	s.near.counted = true
	rack := s.spec.GetDataRack()
	if c.locality.demand == nil {
		c.locality.demand = make(map[string]*locality.Demand)
	}
	d := c.locality.demand[rack]
	if d == nil {
		d = &locality.Demand{}
		c.locality.demand[rack] = d
	}
	d.Add(now.Sub(c.startedAt), float64(s.waiting)*float64(s.size.CPUMilli)/1000*c.expectedDuration(s).Seconds())
}

func (c *Core) expectedDuration(s *step) time.Duration {
	return c.durations.of(s.round.job.sub.GetQueue()).expect(s.spec.GetEstimateMs())
}

// expectedHere returns the expected duration of a task on a worker.
func (c *Core) expectedHere(s *step, w *worker) time.Duration {
	expected := c.expectedDuration(s)
	if rack := s.spec.GetDataRack(); rack != "" && rack != w.entry.Rack && c.knowsRacks() {
		expected = time.Duration(float64(expected) * c.opts.RemoteFactor)
	}
	return expected
}

// updateHotRacks computes the demand for each rack relative to the capacity there that
// no long-running task uses.
func (c *Core) updateHotRacks(now time.Time) {
	if len(c.locality.demand) == 0 || now.Sub(c.locality.hotAt) < hotRackInterval {
		return
	}
	c.locality.hotAt = now
	room := make(map[string]int64)
	for _, w := range c.workerList {
		if c.locality.demand[w.entry.Rack] == nil || !w.usable(now) || c.evacuated(w) {
			continue
		}
		free := w.free()
		for _, a := range w.list {
			if !a.step().longRunning() && !a.step().filler() {
				free = free.Add(a.step().size)
			}
		}
		room[w.entry.Rack] += max(free.CPUMilli, 0)
	}
	c.locality.hot = make(map[string]float64, len(c.locality.demand))
	for rack, d := range c.locality.demand {
		cores := d.Cores(now.Sub(c.startedAt))
		if cores < 0.1 {
			delete(c.locality.demand, rack)
			continue
		}
		c.locality.hot[rack] = cores / max(float64(room[rack])/1000, 0.1)
	}
}

// hotRackCost keeps tasks that can run anywhere away from racks whose room others want.
func (c *Core) hotRackCost(s *step, w *worker) float64 {
	if len(c.locality.hot) == 0 || w.entry.Rack == s.spec.GetDataRack() || c.disabled.ignoreHotRacks {
		return 0
	}
	return hotRackCost * min(c.locality.hot[w.entry.Rack], 1)
}

// question returns what decides about a task apart from the wait.
func (c *Core) question(s *step, t *task, now time.Time) locality.Question {
	j := s.round.job
	fit := c.durations.of(j.sub.GetQueue())
	schedule := c.scheduleOf(s, now)
	tail, others, share := c.restOfJob(s, fit, now)
	return locality.Question{
		Duration: time.Duration(float64(fit.expect(s.spec.GetEstimateMs())) * (1 - t.near.saved)),
		Factor:   c.opts.RemoteFactor, Tail: tail, Others: others, Share: share,
		Elapsed: now.Sub(schedule.start), Objective: schedule.objective, Demand: c.locality.hot[s.spec.GetDataRack()],
	}
}

// restOfJob returns the critical path after a step, the expected time until all of the
// job is done that does not depend on the task, and the share of the step in the work
// of the job.
func (c *Core) restOfJob(s *step, fit *durationFit, now time.Time) (tail, others time.Duration, share float64) {
	steps := s.round.steps
	after := make([]time.Duration, len(steps))
	expected := make([]time.Duration, len(steps))
	work, here := 0.0, 0.0
	for i := len(steps) - 1; i >= 0; i-- {
		expected[i] = fit.expect(steps[i].spec.GetEstimateMs())
		amount := float64(steps[i].count()) * float64(steps[i].size.CPUMilli) * expected[i].Seconds()
		work += amount
		if steps[i] == s {
			here = amount
		}
		for _, earlier := range steps[i].spec.GetAfter() {
			after[earlier] = max(after[earlier], expected[i]+after[i])
		}
	}
	for i, o := range steps {
		if o == s || o.unfinished == 0 {
			continue
		}
		rest := expected[i]
		if !o.readyAt.IsZero() {
			rest = max(rest-now.Sub(o.readyAt), rest/10)
		}
		others = max(others, rest+after[i])
	}
	for _, sibling := range s.tasks {
		for _, a := range sibling.attempts {
			rest := time.Duration(float64(expected[s.index])*c.slowdownOf(a)) - now.Sub(a.sentAt)
			others = max(others, rest+after[s.index])
		}
	}
	if work > 0 {
		share = here / work
	}
	return after[s.index], others, share
}
