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
	// stepNoSlot is the error step of a request that found no free slot.
	stepNoSlot = "slot"
	// queuePoll is the interval at which a waiting request checks for slots that
	// became free without a release, because a target was added or a reservation
	// ended.
	queuePoll = 25 * time.Millisecond
)

// tryOwned acquires a slot of an owned target and returns the target. It returns nil
// if no slot is free or if other requests wait for one.
func (d *Dispatcher) tryOwned(c *call, now time.Time) *target {
	if c.service.state.waiting.Load() > 0 {
		return nil
	}
	return d.acquire(c.service, now)
}

// acquire acquires a slot of an owned target, chosen by the power of two choices. It
// returns nil if no slot is free.
func (d *Dispatcher) acquire(sr *serviceRoutes, now time.Time) *target {
	mean := sr.state.stats.Latency()
	score := func(i int) float64 { return sr.owned[i].stats.Score(now, sr.owned[i].slots.Outstanding(now), mean) }
	try := func(i int) bool {
		t := sr.owned[i]
		return d.available(t, now) && t.slots.TryAcquire(now)
	}
	i := router.Acquire(len(sr.owned), d.random.IntN, score, try)
	if i < 0 {
		return nil
	}
	return sr.owned[i]
}

// available reports whether new work may be sent to an owned target.
func (d *Dispatcher) available(t *target, now time.Time) bool {
	if t.leaving(now) && !d.disabled.leaving {
		return false
	}
	return d.mayAct(t.partition)
}

// usableSlots returns the number of slots, free or not, of the owned targets that
// may get new work.
func (d *Dispatcher) usableSlots(sr *serviceRoutes, now time.Time) int {
	slots := 0
	for _, t := range sr.owned {
		if d.available(t, now) {
			slots += max(t.slots.Limit(), 0)
		}
	}
	return slots
}

// enqueue queues a request for a slot of an owned target and runs it there. Within
// a team the queue serves the earliest deadline first. servers is the number of
// slots that serve the queue.
func (d *Dispatcher) enqueue(ctx context.Context, c *call, servers int) result {
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	s := c.service.state
	w := &limits.Waiter{Team: c.req.GetTeam(), Deadline: c.deadline, Result: make(chan any, 1)}
	s.mu.Lock()
	refusal := s.queue.Push(w, time.Now(), d.queueLimits(c, servers))
	s.waiting.Store(int32(s.queue.Len()))
	s.mu.Unlock()
	if refusal != limits.Accepted {
		d.metrics.refusals.WithLabelValues(refusal.String()).Inc()
		return result{reply: notRun("queue", d.name(c), statusOf(refusal), refusal.String())}
	}
	d.assignSlots(s)
	t := d.awaitSlot(ctx, s, w)
	if t == nil {
		d.metrics.refusals.WithLabelValues(limits.RefusedDeadline.String()).Inc()
		return result{reply: notRun("queue", d.name(c), http.StatusGatewayTimeout, "no slot became free in time for the deadline")}
	}
	return d.invoke(ctx, c, t)
}

// statusOf returns the HTTP status for a refusal.
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

// awaitSlot returns the target whose slot a queued request was given, or nil if
// the queue dropped the request or the context ended first.
func (d *Dispatcher) awaitSlot(ctx context.Context, s *serviceState, w *limits.Waiter) *target {
	poll := time.NewTicker(queuePoll)
	defer poll.Stop()
	for {
		select {
		case got := <-w.Result:
			t, _ := got.(*target) // nil for a Refusal
			return t
		case <-poll.C:
			d.assignSlots(s)
		case <-ctx.Done():
			return d.leaveQueue(s, w)
		}
	}
}

// leaveQueue removes a request from the queue and returns nil. A slot that the
// request was given meanwhile goes to the next one.
func (d *Dispatcher) leaveQueue(s *serviceState, w *limits.Waiter) *target {
	s.mu.Lock()
	removed := s.queue.Remove(w)
	s.waiting.Store(int32(s.queue.Len()))
	s.mu.Unlock()
	if removed {
		return nil
	}
	if t, ok := (<-w.Result).(*target); ok {
		t.slots.Release()
		d.assignSlots(s)
	}
	return nil
}

// assignSlots gives free slots to queued requests, and refuses those whose deadline
// can no longer be met.
func (d *Dispatcher) assignSlots(s *serviceState) {
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
		w, refused := s.queue.Pop(time.Now(), s.stats.Latency())
		s.waiting.Store(int32(s.queue.Len()))
		s.mu.Unlock()
		for _, m := range refused {
			m.Result <- limits.RefusedDeadline
		}
		if w == nil {
			t.slots.Release()
			return
		}
		w.Result <- t
	}
}

// release returns a slot and gives it to a queued request.
func (d *Dispatcher) release(s *serviceState, t *target) {
	t.slots.Release()
	if s.waiting.Load() > 0 {
		d.assignSlots(s)
	}
}

// releaseAfter returns the slot of a request after its call ended with err. If
// the request was sent but not answered, the target may work on it until the
// deadline that it was given, so the slot stays in use until then.
func (d *Dispatcher) releaseAfter(c *call, t *target, err error, until time.Time) {
	var invoke *remote.InvokeError
	answered := err == nil || (errors.As(err, &invoke) && (!invoke.Sent || invoke.NotRun))
	if answered || d.disabled.abandonedSlots || !time.Now().Before(until) {
		d.release(c.service.state, t)
		return
	}
	t.slots.ReleaseAt(until)
}

// targetDeadline returns the time until which a target may work on a request:
// the deadline of the call to it, which is later than the caller's deadline if a
// late answer is to be stored.
func targetDeadline(ctx context.Context, c *call) time.Time {
	if deadline, ok := ctx.Deadline(); ok && deadline.After(c.deadline) {
		return deadline
	}
	return c.deadline
}

// invoke sends a request to a target of which it already has a slot, and releases
// the slot.
func (d *Dispatcher) invoke(ctx context.Context, c *call, t *target) result {
	var err error
	ctx, cancel := d.targetContext(ctx, c)
	defer cancel()
	until := targetDeadline(ctx, c)
	defer func() { d.releaseAfter(c, t, err, until) }()
	start := time.Now()
	remaining := c.deadline.Sub(start)
	if remaining <= 0 {
		return result{reply: notRun("queue", d.name(c), http.StatusGatewayTimeout, "deadline passed before the request was sent")}
	}
	if !d.mayAct(t.partition) || !c.beforeSend() {
		return result{reply: notRun("permission", d.name(c), http.StatusServiceUnavailable, "no permission to start work"), retryable: true}
	}
	req := remote.TargetRequest{
		ID: c.req.GetRequestId(), Service: c.req.GetService(), Body: c.req.GetBody(),
		ContentType: c.req.GetContentType(), Timeout: timeLeft(ctx, remaining),
	}
	// An attempt that leaves time for another one is bounded by its context, so
	// the target's client needs no shorter limit on silent connections.
	req.FirstByteTimeout = req.Timeout
	var answer remote.TargetAnswer
	answer, err = t.client.Invoke(ctx, req)
	now := time.Now()
	took := now.Sub(start)
	isFailure := err != nil || answer.Status >= http.StatusInternalServerError
	t.stats.Record(now, took, isFailure)
	t.latencyDigest.record(took, isFailure)
	c.service.state.stats.Record(now, took, isFailure)
	if err != nil {
		return d.targetFailure(c, t, err, now)
	}
	return d.targetAnswer(c, t, answer, now)
}

// timeLeft returns how long this instance waits for the answer of a target: until
// the deadline of the context, or the fallback without one. The target's client
// ends the call after that time, so with the caller's deadline a late answer would
// be lost.
func timeLeft(ctx context.Context, fallback time.Duration) time.Duration {
	if deadline, ok := ctx.Deadline(); ok {
		return time.Until(deadline)
	}
	return fallback
}

// targetContext returns the context of a call to a target. A non-idempotent
// request continues after its caller disconnected, for at most the maximum timeout,
// so that its answer can be looked up by id.
func (d *Dispatcher) targetContext(ctx context.Context, c *call) (context.Context, context.CancelFunc) {
	if !c.req.GetIdempotent() {
		if d.disabled.detach {
			return context.WithCancel(ctx)
		}
		return context.WithTimeout(context.WithoutCancel(ctx), d.limits.maxTimeout)
	}
	return d.idempotentContext(ctx, c, 0)
}

// targetAnswer converts the answer of a target to a result.
func (d *Dispatcher) targetAnswer(c *call, t *target, answer remote.TargetAnswer, now time.Time) result {
	switch {
	case answer.Closing:
		d.markLeaving(t, now)
	case answer.Status == http.StatusServiceUnavailable:
		d.excludeUntil(t, now, now.Add(unavailableExclusion), "reported by the target")
	}
	if limit := d.opts.Settings.GetMaxAnswerBytes(); limit > 0 && int64(len(answer.Body)) > limit {
		return answerTooLarge(t)
	}
	return result{reply: &pb.ForwardReply{
		Status: int32(answer.Status), Body: answer.Body, ContentType: answer.ContentType, Target: t.name,
	}}
}

// targetFailure converts a failed call to a target to a result. A request that
// was not sent, or that the target reports as not run, is not_run; any other
// failure leaves the outcome unknown.
func (d *Dispatcher) targetFailure(c *call, t *target, err error, now time.Time) result {
	d.metrics.targetFailures.Inc()
	var invoke *remote.InvokeError
	if !errors.As(err, &invoke) {
		invoke = &remote.InvokeError{Target: t.name, Sent: true, Cause: err}
	}
	switch {
	case invoke.Leaving:
		d.markLeaving(t, now)
	case invoke.NotRun:
		d.excludeUntil(t, now, now.Add(unavailableExclusion), "reported by the target")
	}
	if errors.Is(invoke.Cause, remote.ErrAnswerTooLarge) {
		return answerTooLarge(t)
	}
	status := http.StatusServiceUnavailable
	if !now.Before(c.deadline) {
		status = http.StatusGatewayTimeout
	}
	if !invoke.Sent || invoke.NotRun {
		return result{reply: notRun("target", t.name, status, invoke.Cause.Error()), retryable: true}
	}
	reply := unknown("target", t.name, status, invoke.Cause.Error())
	reply.Failure.Retry = c.req.GetIdempotent()
	return result{reply: reply, retryable: true}
}

func answerTooLarge(t *target) result {
	e := errs.Wrap("answer", t.name, pb.Outcome_OUTCOME_RAN, remote.ErrAnswerTooLarge).WithStatus(http.StatusBadGateway)
	return result{reply: failed(e)}
}
