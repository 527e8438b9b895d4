package dispatch

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"gooseberryreel/internal/errs"
	"gooseberryreel/internal/limits"
	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/remote"
	"gooseberryreel/internal/router"
)

const (
	stepNoSlot = "slot"
	// queuePoll is how often a waiting request looks for slots that became free
	// without a release: a new target, or the end of a reservation.
	queuePoll = 25 * time.Millisecond
)

// tryOwn takes a slot of an own target, unless others wait for one.
func (d *Dispatcher) tryOwn(c *call, now time.Time) *target {
	if c.service.state.waiting.Load() > 0 {
		return nil
	}
	return d.acquire(c.service, now)
}

// acquire takes a slot of an own target by two random choices.
func (d *Dispatcher) acquire(sr *serviceRoutes, now time.Time) *target {
	mean := sr.state.stats.Latency()
	score := func(i int) float64 { return sr.own[i].stats.Score(now, sr.own[i].slots.Outstanding(now), mean) }
	try := func(i int) bool {
		t := sr.own[i]
		return d.available(t, now) && t.slots.TryAcquire(now)
	}
	i := router.Acquire(len(sr.own), d.random.IntN, score, try)
	if i < 0 {
		return nil
	}
	return sr.own[i]
}

func (d *Dispatcher) available(t *target, now time.Time) bool {
	if t.leaving(now) && !d.off.leaving {
		return false
	}
	return d.mayAct(t.partition)
}

// usable returns the number of slots of own targets that may be used.
func (d *Dispatcher) usable(sr *serviceRoutes, now time.Time) int {
	slots := 0
	for _, t := range sr.own {
		if d.available(t, now) {
			slots += max(t.slots.Limit(), 0)
		}
	}
	return slots
}

// enqueue waits for a slot of an own target, the earliest deadline first.
func (d *Dispatcher) enqueue(ctx context.Context, c *call, servers int) result {
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	s := c.service.state
	w := &limits.Waiter{Team: c.req.GetTeam(), Deadline: c.deadline, Wake: make(chan any, 1)}
	s.mu.Lock()
	refusal := s.queue.Push(w, time.Now(), d.queueLimits(c, servers))
	s.waiting.Store(int32(s.queue.Len()))
	s.mu.Unlock()
	if refusal != limits.Accepted {
		d.metrics.refusals.WithLabelValues(refusal.String()).Inc()
		return result{reply: notRun("queue", d.name(c), statusOf(refusal), refusal.String())}
	}
	d.pump(s)
	t := d.awaitSlot(ctx, s, w)
	if t == nil {
		d.metrics.refusals.WithLabelValues(limits.RefusedDeadline.String()).Inc()
		return result{reply: notRun("queue", d.name(c), http.StatusGatewayTimeout, "no slot became free in time for the deadline")}
	}
	return d.invoke(ctx, c, t)
}

func statusOf(r limits.Refusal) int {
	if r == limits.RefusedDeadline {
		return http.StatusGatewayTimeout
	}
	return http.StatusTooManyRequests
}

func (d *Dispatcher) queueLimits(c *call, servers int) limits.QueueLimits {
	length := int(c.service.declared.GetQueueLength())
	if length == 0 {
		length = int(d.opts.Settings.GetQueueLength())
	}
	team := c.routes.view.Config.Teams[c.req.GetTeam()]
	return limits.QueueLimits{
		Length:      length,
		Team:        int(team.GetMaxQueuedRequests()),
		Servers:     servers,
		ServiceTime: c.service.state.stats.Latency(),
	}
}

func (d *Dispatcher) awaitSlot(ctx context.Context, s *service, w *limits.Waiter) *target {
	poll := time.NewTicker(queuePoll)
	defer poll.Stop()
	for {
		select {
		case got := <-w.Wake:
			t, _ := got.(*target) // a Refusal has no target
			return t
		case <-poll.C:
			d.pump(s)
		case <-ctx.Done():
			return d.leaveQueue(s, w)
		}
	}
}

// leaveQueue takes a waiter out. A slot that it was given meanwhile goes to the
// next one.
func (d *Dispatcher) leaveQueue(s *service, w *limits.Waiter) *target {
	s.mu.Lock()
	removed := s.queue.Remove(w)
	s.waiting.Store(int32(s.queue.Len()))
	s.mu.Unlock()
	if removed {
		return nil
	}
	if t, ok := (<-w.Wake).(*target); ok {
		t.slots.Release()
		d.pump(s)
	}
	return nil
}

// pump gives free slots to waiting requests.
func (d *Dispatcher) pump(s *service) {
	for s.waiting.Load() > 0 {
		rt := d.currentRoutes()
		if rt == nil || rt.services[s.name] == nil {
			return
		}
		t := d.acquire(rt.services[s.name], time.Now())
		if t == nil {
			return
		}
		s.mu.Lock()
		w, missed := s.queue.Pop(time.Now(), s.stats.Latency())
		s.waiting.Store(int32(s.queue.Len()))
		s.mu.Unlock()
		for _, m := range missed {
			m.Wake <- limits.RefusedDeadline
		}
		if w == nil {
			t.slots.Release()
			return
		}
		w.Wake <- t
	}
}

// release returns a slot and gives it to a waiting request.
func (d *Dispatcher) release(s *service, t *target) {
	t.slots.Release()
	if s.waiting.Load() > 0 {
		d.pump(s)
	}
}

// releaseAfter returns the slot of a request that ended. Without an answer the
// target may work on until the deadline that it was told, so the slot stays taken
// until then.
func (d *Dispatcher) releaseAfter(c *call, t *target, err error, told time.Time) {
	var invoke *remote.InvokeError
	answered := err == nil || (errors.As(err, &invoke) && (!invoke.Sent || invoke.NotRun))
	if answered || d.off.hold || !time.Now().Before(told) {
		d.release(c.service.state, t)
		return
	}
	t.slots.ReleaseAt(told)
}

// toldDeadline returns until when a target may work on a request: the deadline
// of the call to it, which is later than the caller's if a late answer is kept.
func toldDeadline(ctx context.Context, c *call) time.Time {
	if deadline, ok := ctx.Deadline(); ok && deadline.After(c.deadline) {
		return deadline
	}
	return c.deadline
}

// invoke sends a request to a target whose slot the caller took.
func (d *Dispatcher) invoke(ctx context.Context, c *call, t *target) result {
	var err error
	ctx, cancel := d.targetContext(ctx, c)
	defer cancel()
	told := toldDeadline(ctx, c)
	defer func() { d.releaseAfter(c, t, err, told) }()
	start := time.Now()
	left := c.deadline.Sub(start)
	if left <= 0 {
		return result{reply: notRun("queue", d.name(c), http.StatusGatewayTimeout, "deadline passed before the request was sent")}
	}
	if !d.mayAct(t.partition) || !c.beforeSend() {
		return result{reply: notRun("permission", d.name(c), http.StatusServiceUnavailable, "no permission to start work"), again: true}
	}
	req := remote.TargetRequest{
		ID: c.req.GetRequestId(), Service: c.req.GetService(), Body: c.req.GetBody(),
		ContentType: c.req.GetContentType(), Timeout: timeLeft(ctx, left),
	}
	// The context of a try that leaves time for another one ends earlier.
	req.AnswerTimeout = req.Timeout
	var answer remote.TargetAnswer
	answer, err = t.client.Invoke(ctx, req)
	now := time.Now()
	took := now.Sub(start)
	bad := err != nil || answer.Status >= http.StatusInternalServerError
	t.stats.Record(now, took, bad)
	t.digest.record(took, bad)
	c.service.state.stats.Record(now, took, bad)
	if err != nil {
		return d.targetFailure(c, t, err, now)
	}
	return d.targetAnswer(c, t, answer, now)
}

// timeLeft returns how long this instance waits for the answer of a target. The
// target's client gives up after that, so a late answer needs more than the
// caller's time.
func timeLeft(ctx context.Context, otherwise time.Duration) time.Duration {
	if deadline, ok := ctx.Deadline(); ok {
		return time.Until(deadline)
	}
	return otherwise
}

// targetContext bounds a request at a target. A request that is not idempotent
// goes on after its caller left, for at most the longest permitted time, so that
// its answer can be fetched by id.
func (d *Dispatcher) targetContext(ctx context.Context, c *call) (context.Context, context.CancelFunc) {
	if !c.req.GetIdempotent() {
		if d.off.detach {
			return context.WithCancel(ctx)
		}
		return context.WithTimeout(context.WithoutCancel(ctx), d.limits.maxTimeout)
	}
	return d.lateContext(ctx, c, 0)
}

func (d *Dispatcher) targetAnswer(c *call, t *target, answer remote.TargetAnswer, now time.Time) result {
	switch {
	case answer.Closing:
		d.markLeaving(t, now)
	case answer.Status == http.StatusServiceUnavailable:
		d.excludeUntil(t, now, now.Add(unavailableHold), "stated by the target")
	}
	if limit := d.opts.Settings.GetMaxAnswerBytes(); limit > 0 && int64(len(answer.Body)) > limit {
		return answerTooLarge(t)
	}
	return result{reply: &pb.ForwardReply{
		Status: int32(answer.Status), Body: answer.Body, ContentType: answer.ContentType, Target: t.name,
	}}
}

func (d *Dispatcher) targetFailure(c *call, t *target, err error, now time.Time) result {
	d.metrics.targetFails.Inc()
	var invoke *remote.InvokeError
	if !errors.As(err, &invoke) {
		invoke = &remote.InvokeError{Target: t.name, Sent: true, Cause: err}
	}
	switch {
	case invoke.Leaving:
		d.markLeaving(t, now)
	case invoke.NotRun:
		d.excludeUntil(t, now, now.Add(unavailableHold), "stated by the target")
	}
	if errors.Is(invoke.Cause, remote.ErrAnswerTooLarge) {
		return answerTooLarge(t)
	}
	status := http.StatusServiceUnavailable
	if !now.Before(c.deadline) {
		status = http.StatusGatewayTimeout
	}
	if !invoke.Sent || invoke.NotRun {
		return result{reply: notRun("target", t.name, status, invoke.Cause.Error()), again: true}
	}
	reply := unknown("target", t.name, status, invoke.Cause.Error())
	reply.Failure.Retry = c.req.GetIdempotent()
	return result{reply: reply, again: true}
}

func answerTooLarge(t *target) result {
	e := errs.Wrap("answer", t.name, pb.Outcome_OUTCOME_RAN, remote.ErrAnswerTooLarge).WithStatus(http.StatusBadGateway)
	return result{reply: failed(e)}
}
