package scheduler

import (
	"time"

	"gooseberryreel/internal/admission"
	"gooseberryreel/internal/pb"
)

// QueueBacklog is the waiting work ahead of a new job of a queue.
type QueueBacklog = admission.QueueBacklog

// placements counts the placed tasks for Backlog.
type placements struct {
	totals   map[placementClass]*placedTotals
	shortest map[backlogKey]time.Duration // see QueueBacklog.ShortestWait
}

// placementClass is a set of tasks that compete for the same resources: fillers use
// the CPU time that the other tasks of a pool leave.
type placementClass struct {
	pool   string
	filler bool
}

type placedTotals struct{ milli, tasks int64 }

type backlogKey struct {
	queue  string
	filler bool
}

// notePlaced counts a task of a step that was just placed.
func (c *Core) notePlaced(s *step, now time.Time) {
	j := s.round.job
	q := c.queue(j)
	if q == nil {
		return
	}
	p := &c.placements
	if p.totals == nil {
		p.totals, p.shortest = make(map[placementClass]*placedTotals), make(map[backlogKey]time.Duration)
	}
	class := placementClass{q.Pool, s.filler()}
	if p.totals[class] == nil {
		p.totals[class] = &placedTotals{}
	}
	p.totals[class].milli += s.size.CPUMilli
	p.totals[class].tasks++
	// A step that is placed in part shows nothing: single tasks may fit into gaps
	// although the job is completed much later.
	if s.waiting > 0 || len(s.spec.GetAfter()) > 0 || s.longRunning() || j.sub.GetTimes() > 0 {
		return
	}
	key, waited := backlogKey{q.Name, s.filler()}, now.Sub(s.readyAt)
	if shortest, found := p.shortest[key]; !found || waited < shortest {
		p.shortest[key] = waited
	}
}

// waitingQueue sums up the waiting steps of a queue.
type waitingQueue struct {
	backlog              QueueBacklog
	steps                int
	remaining, objective time.Duration // sums over the steps
	cost                 float64       // the same, see setCost
}

// waitingWork is a waiting step that competes with new jobs.
type waitingWork struct {
	class placementClass
	ranks []rank
}

// Backlog returns the waiting work ahead of new jobs, for each queue with short tasks
// that wait. A new job is taken to be like the average of the waiting ones, and what is
// ahead of it is decided by the order of a placement pass.
func (c *Core) Backlog(now time.Time) []QueueBacklog {
	if c.config == nil || c.disabled.noBacklog {
		return nil
	}
	queues := make(map[backlogKey]*waitingQueue)
	work := make([]waitingWork, 0, len(c.ready))
	for _, s := range c.ready {
		q := c.queue(s.round.job)
		// A step that only some workers may run does not delay others, which the
		// remaining workers can run.
		if s.waiting == 0 || q == nil || q.Advice != nil || s.spec.GetRequiredLabel() != "" {
			continue
		}
		ranks := c.appendRanks(nil, s, now)
		work = append(work, waitingWork{placementClass{q.Pool, s.filler()}, ranks})
		if s.longRunning() || s.round.job.sub.GetTimes() > 0 {
			continue
		}
		if c.config.Queue(q.Name) == nil {
			continue // the queue was removed, so no new jobs arrive
		}
		key := backlogKey{q.Name, s.filler()}
		w := queues[key]
		if w == nil {
			w = &waitingQueue{backlog: QueueBacklog{Queue: q.Name, Fillers: s.filler(), WaitingMilli: make(map[string]int64), ShortestWait: -1}}
			queues[key] = w
		}
		schedule := c.scheduleOf(s, now)
		w.steps++
		w.cost += ranks[0].cost
		w.remaining += schedule.remaining
		w.objective += schedule.objective
		w.backlog.WaitingMilli[s.round.job.sub.GetSourceDomain()] += int64(s.waiting) * s.size.CPUMilli
		w.backlog.LongestWait = max(w.backlog.LongestWait, now.Sub(s.readyAt))
	}
	list := make([]QueueBacklog, 0, len(queues))
	for key, w := range queues {
		class := placementClass{c.config.Queue(key.queue).Pool, key.filler}
		added := w.newRank(key, c.config.Queue(key.queue).Priority, now)
		for _, other := range work {
			if other.class == class {
				w.backlog.AheadMilli += c.ahead(other, added, now)
			}
		}
		if t := c.placements.totals[class]; t != nil {
			w.backlog.PlacedMilli, w.backlog.PlacedTasks = t.milli, t.tasks
		}
		if shortest, found := c.placements.shortest[key]; found {
			w.backlog.ShortestWait = shortest
		}
		list = append(list, w.backlog)
	}
	clear(c.placements.shortest)
	return list
}

// newRank returns the rank of a job like the average of the waiting ones that arrives
// now.
func (w *waitingQueue) newRank(key backlogKey, priority int, now time.Time) rank {
	n := time.Duration(w.steps)
	j := &job{sub: &pb.Submission{Queue: key.queue, Priority: int32(priority)}, received: now}
	s := &step{round: &round{job: j, due: now}, spec: &pb.StepSpec{Filler: key.filler}, readyAt: now}
	s.schedule = schedule{at: now, remaining: w.remaining / n, objective: w.objective / n, start: now}
	return rank{step: s, standing: s.schedule.standing(now), due: s.schedule.due(), cost: w.cost / float64(w.steps)}
}

// ahead returns the CPU of the tasks of w that are placed before those of a rank.
func (c *Core) ahead(w waitingWork, added rank, now time.Time) int64 {
	milli := int64(0)
	for _, r := range w.ranks {
		if r.compare(added) >= 0 {
			continue
		}
		tasks := r.step.waiting
		if r.starving {
			tasks = 0
			for _, t := range r.step.tasks {
				if c.starving(t, now) {
					tasks++
				}
			}
		}
		milli = max(milli, int64(tasks)*r.step.size.CPUMilli)
	}
	return milli
}
