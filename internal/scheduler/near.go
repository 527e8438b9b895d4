package scheduler

import (
	"time"

	"gooseberryreel/internal/locality"
)

// NearWait is the end of a wait for room near the data or the gang.
type NearWait struct {
	How              string // "near", or the reason of the start elsewhere
	Waited, Expected time.Duration
}

// observeNearWait measures a wait that has ended and logs it.
func (c *Core) observeNearWait(s *step, near *nearWait, accuracy *locality.Accuracy, how string, now time.Time) {
	w := &NearWait{How: how, Waited: now.Sub(near.since), Expected: near.expected}
	if how == "near" || w.Waited > w.Expected {
		accuracy.Observe(w.Expected, w.Waited)
	}
	c.addLogEntry("near wait ended", s.round.job.sub.GetRequestId(), "job", s.round.job.sub.GetId(), "round", s.round.number, "step", s.index,
		"gang", s.spec.GetGang(), "how", how, "waited_ms", w.Waited.Milliseconds(), "expected_ms", w.Expected.Milliseconds())
	c.out.LogEntries[len(c.out.LogEntries)-1].NearWait = w
	*near = nearWait{saved: near.saved}
}

// logNearWait logs the beginning of a wait with the two expectations that decided.
func (c *Core) logNearWait(s *step, rack string, tasks int, answer locality.Answer, demand float64) {
	c.addLogEntry("near wait", s.round.job.sub.GetRequestId(), "job", s.round.job.sub.GetId(), "round", s.round.number, "step", s.index,
		"gang", s.spec.GetGang(), "rack", rack, "tasks", tasks, "near_ms", answer.Near.Milliseconds(), "remote_ms", answer.Remote.Milliseconds(),
		"limit_ms", answer.Limit.Milliseconds(), "demand", demand)
}

// rackForecast is the expected room of one rack during a pass. Tasks that wait for it
// are charged to it in the order of the pass.
type rackForecast struct {
	workers  []*candidate
	forecast *locality.Forecast
}

// rackForecast returns the forecast of a rack of a pool.
func (p *pass) rackForecast(rack string, candidates []*candidate, q *Queue) *rackForecast {
	key := q.Pool + "/" + rack
	f := p.racks[key]
	if f != nil {
		return f
	}
	f = &rackForecast{}
	var workers []locality.Worker
	for _, cand := range candidates {
		if cand.worker.entry.Rack == rack {
			f.workers = append(f.workers, cand)
			workers = append(workers, p.forecastWorker(cand))
		}
	}
	f.forecast = locality.NewForecast(workers)
	if p.racks == nil {
		p.racks = make(map[string]*rackForecast)
	}
	p.racks[key] = f
	return f
}

func (p *pass) forecastWorker(cand *candidate) locality.Worker {
	w := locality.Worker{Free: locality.Amount(cand.free)}
	for _, a := range cand.worker.list {
		s := a.step()
		if s.longRunning() {
			continue
		}
		fit := p.core.durations.of(a.job().sub.GetQueue())
		since := a.sentAt
		if !a.startedAt.IsZero() {
			since = a.startedAt
		}
		r := locality.Running{
			Size: locality.Amount(s.size), Elapsed: p.now.Sub(since), Spread: fit.spread(),
			Expected: time.Duration(float64(fit.expect(s.spec.GetEstimateMs())) * p.core.slowdownOf(a)),
		}
		if s.filler() {
			r.Size.CPUMilli = 0 // it is charged for memory alone
		}
		if a.progress > 0 {
			r.Progress, r.ProgressAfter = float64(a.progress)/100, a.progressAt.Sub(since)
		}
		w.Running = append(w.Running, r)
	}
	return w
}

// contendedShare returns how much of a pool's capacity above contendedUse is in use.
func contendedShare(candidates []*candidate) float64 {
	var free, all int64
	for _, cand := range candidates {
		free += max(cand.free.CPUMilli, 0)
		all += cand.worker.entry.Capacity.CPUMilli
	}
	return max(1-share(free, all)-contendedUse, 0) / (1 - contendedUse)
}

// nearPlacement decides, for the tasks of one step in one pass, about waits for room
// near their data. It is nil for a step that wants no rack.
type nearPlacement struct {
	pass       *pass
	step       *step
	queue      *Queue
	rack       *rackForecast
	candidates []*candidate
	question   locality.Question
	asked      bool
	begun      int             // waits that begin in this pass
	answer     locality.Answer // of the first of them
}

func (p *pass) nearPlacement(s *step, candidates []*candidate, q *Queue) *nearPlacement {
	if !p.core.wantsRack(s) || q.Advice != nil {
		return nil
	}
	return &nearPlacement{pass: p, step: s, queue: q, candidates: candidates}
}

// waits reports whether a task waits for room near its data although it could start on
// the best worker now.
func (n *nearPlacement) waits(t *task, best *candidate) bool {
	if n == nil {
		return false
	}
	c := n.pass.core
	now := n.pass.now
	if best.worker.entry.Rack == n.step.spec.GetDataRack() {
		n.end(t, "near")
		return false
	}
	if c.disabled.ignoreRacks {
		return false
	}
	answer, worker := n.ask(t)
	if !answer.Wait {
		n.end(t, answer.Reason)
		return false
	}
	n.rack.forecast.Reserve(worker, locality.Amount(n.step.size), answer.Near-n.question.Duration, n.question.Duration)
	if t.near.since.IsZero() {
		t.near.since, t.near.until, t.near.expected = now, now.Add(answer.Limit), answer.Near-n.question.Duration
		if n.begun == 0 {
			n.answer = answer
		}
		n.begun++
	}
	return true
}

// ask returns the decision about a task and the worker that it would wait for.
func (n *nearPlacement) ask(t *task) (locality.Answer, int) {
	p := n.pass
	if !n.asked {
		n.asked = true
		n.rack = p.rackForecast(n.step.spec.GetDataRack(), n.candidates, n.queue)
		n.question = p.core.question(n.step, t, p.now)
		n.question.Contention = contendedShare(n.candidates)
	}
	if !t.near.since.IsZero() && !p.now.Before(t.near.until) {
		return locality.Answer{Reason: locality.ReasonBound}, 0
	}
	worker, wait, ok := n.rack.forecast.Earliest(locality.Amount(n.step.size), n.question.Duration, func(i int) bool {
		cand := n.rack.workers[i]
		return cand.feasible(t, n.queue, p.now) && p.admits(cand, t) && t.avoid != cand.worker.id
	})
	if !ok {
		return locality.Answer{Reason: locality.ReasonNoRoom}, 0
	}
	q := n.question
	q.Wait, q.WaitSpread = p.core.locality.tasks.Correct(wait), p.core.locality.tasks.Spread()
	if !t.near.since.IsZero() {
		q.Waited = p.now.Sub(t.near.since)
		q.Overdue = q.Waited - t.near.expected
	}
	if override := p.core.disabled.nearWait; override != nil {
		return override(q), worker
	}
	return locality.Decide(q), worker
}

// end ends the wait of a task, if it waits.
func (n *nearPlacement) end(t *task, how string) {
	if !t.near.since.IsZero() {
		n.pass.core.observeNearWait(n.step, &t.near, &n.pass.core.locality.tasks, how, n.pass.now)
	}
}

// log logs the waits that began.
func (n *nearPlacement) log() {
	if n != nil && n.begun > 0 {
		n.pass.core.logNearWait(n.step, n.step.spec.GetDataRack(), n.begun, n.answer, n.question.Demand)
	}
}
