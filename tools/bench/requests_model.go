package main

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	"gooseberryreel/internal/limits"
	"gooseberryreel/internal/router"
)

// requestModel is a discrete-event simulation of the targets of one partition
// owner. Slots, queue, retry budget and target selection are the production code
// under a virtual clock.
type requestModel struct {
	policy       requestPolicy
	load         requestLoad
	random       *rand.Rand
	choiceRandom *router.SplitMix64
	now          time.Time
	events       modelEvents
	targets      []*modelTarget
	queue        *limits.Queue
	budget       *limits.RetryBudget
	allStats     router.Stats
	lastRobin    int
	result       modelResult
}

// requestPolicy is one of the policies that a table compares.
type requestPolicy struct {
	name string
	// targetChoice is random, robin or, for any other value, two choices. It has an
	// effect only with queuePerTarget, where a request waits for the selected
	// target; otherwise requests wait in the shared queue.
	targetChoice   string
	queuePerTarget bool
	earlyRefusal   bool
	attempts       int
	budget         retryBudget
	// onlyWithoutQueue allows a retry only while no request waits for a slot.
	onlyWithoutQueue bool
}

// retryBudget selects what the number of retries is limited by.
type retryBudget int

const (
	unlimitedRetries retryBudget = iota
	budgetOfRequests             // a tenth of the requests
	budgetOfAnswers              // a tenth of the answers, as in the system
)

// requestLoad describes the offered load and the behavior of the targets.
type requestLoad struct {
	targets        int
	slots          int
	service        time.Duration // mean service time
	rate           float64       // as a fraction of the capacity
	deadline       time.Duration
	attemptTimeout time.Duration // time until a retry; zero disables retries
	duration       time.Duration
	slowFraction   float64 // fraction of the targets that are slow
	slowFactor     float64 // factor on the service time of slow targets
	brownoutStart  time.Duration
	brownoutEnd    time.Duration
	brownoutFactor float64 // factor on the service time of all targets
}

type modelResult struct {
	requests, attempts, answered, refused, missed int
	latencies                                     []time.Duration
	refusals                                      []time.Duration // times from arrival to refusal
}

type modelTarget struct {
	slots   *limits.Slots
	stats   router.Stats
	factor  float64
	waiting []*modelAttempt
}

type modelRequest struct {
	arrived time.Time
	done    bool
	sent    int
}

// modelAttempt is one attempt at a request.
type modelAttempt struct {
	request *modelRequest
	target  *modelTarget
	started time.Time
	waiter  *limits.Waiter
}

const modelQueueLength = 20_000

func newRequestModel(p requestPolicy, l requestLoad, seed uint64) *requestModel {
	m := &requestModel{
		policy: p, load: l, now: time.Unix(0, 0), queue: limits.NewQueue(), budget: limits.NewRetryBudget(10),
		random: rand.New(rand.NewPCG(seed, 1)), choiceRandom: router.NewSplitMix64(seed),
	}
	m.queue.NoEarlyRefusal = !p.earlyRefusal
	for i := range l.targets {
		t := &modelTarget{slots: limits.NewSlots(l.slots, l.slots), factor: 1}
		if float64(i) < l.slowFraction*float64(l.targets) {
			t.factor = l.slowFactor
		}
		m.targets = append(m.targets, t)
	}
	return m
}

// run simulates the load to its end and for ten deadlines more.
func (m *requestModel) run() modelResult {
	end := m.now.Add(m.load.duration)
	m.at(m.now, m.arrive)
	for len(m.events) > 0 {
		e := heap.Pop(&m.events).(modelEvent)
		if e.at.After(end.Add(10 * m.load.deadline)) {
			break
		}
		m.now = e.at
		e.do()
	}
	return m.result
}

// at schedules do for time t.
func (m *requestModel) at(t time.Time, do func()) {
	heap.Push(&m.events, modelEvent{at: t, do: do})
}

func (m *requestModel) arrive() {
	if m.now.Sub(time.Unix(0, 0)) >= m.load.duration {
		return
	}
	perSecond := m.load.rate * float64(m.load.targets*m.load.slots) / m.load.service.Seconds()
	m.at(m.now.Add(time.Duration(m.random.ExpFloat64()/perSecond*float64(time.Second))), m.arrive)
	r := &modelRequest{arrived: m.now}
	m.result.requests++
	if m.policy.budget == budgetOfRequests {
		m.budget.AddAnswer()
	}
	m.startAttempt(r)
	m.at(r.arrived.Add(m.load.deadline), func() {
		if !r.done {
			r.done = true
			m.result.missed++
		}
	})
}

func (m *requestModel) startAttempt(r *modelRequest) {
	r.sent++
	m.result.attempts++
	m.scheduleRetry(r)
	a := &modelAttempt{request: r}
	if m.policy.queuePerTarget {
		m.queueAtTarget(a)
		return
	}
	if m.queue.Len() == 0 {
		if a.target = m.acquire(); a.target != nil {
			m.occupySlot(a)
			return
		}
	}
	m.enqueue(a)
}

// scheduleRetry starts another attempt if the request has no answer after the
// attempt timeout. The target continues with the earlier attempt.
func (m *requestModel) scheduleRetry(r *modelRequest) {
	if m.load.attemptTimeout == 0 || r.sent >= m.policy.attempts {
		return
	}
	m.at(m.now.Add(m.load.attemptTimeout), func() {
		if !r.done && m.mayRetry() {
			m.startAttempt(r)
		}
	})
}

func (m *requestModel) mayRetry() bool {
	if m.policy.onlyWithoutQueue && m.queue.Len() > 0 {
		return false
	}
	return m.policy.budget == unlimitedRetries || m.budget.TryRetry()
}

func (m *requestModel) enqueue(a *modelAttempt) {
	r := a.request
	a.waiter = &limits.Waiter{Deadline: r.arrived.Add(m.load.deadline), Result: make(chan any, 1)}
	a.waiter.Result <- a
	refusal := m.queue.Push(a.waiter, m.now, limits.QueueLimits{
		Length: modelQueueLength, Servers: m.load.targets * m.load.slots, ServiceTime: m.allStats.Latency(),
	})
	if refusal != limits.Accepted {
		m.refuse(r)
	}
}

func (m *requestModel) refuse(r *modelRequest) {
	if r.done {
		return
	}
	r.done = true
	m.result.refused++
	m.result.refusals = append(m.result.refusals, m.now.Sub(r.arrived))
}

func (m *requestModel) score(i int) float64 {
	t := m.targets[i]
	return t.stats.Score(m.now, t.slots.Outstanding(m.now)+len(t.waiting), m.allStats.Latency())
}

func (m *requestModel) acquire() *modelTarget {
	i := router.Acquire(len(m.targets), m.choiceRandom.IntN, m.score, func(i int) bool { return m.targets[i].slots.TryAcquire(m.now) })
	if i < 0 {
		return nil
	}
	return m.targets[i]
}

// queueAtTarget selects a target, and queues the attempt there even if other
// targets have free slots.
func (m *requestModel) queueAtTarget(a *modelAttempt) {
	n := len(m.targets)
	switch m.policy.targetChoice {
	case "robin":
		m.lastRobin = (m.lastRobin + 1) % n
		a.target = m.targets[m.lastRobin]
	case "random":
		a.target = m.targets[m.choiceRandom.IntN(n)]
	default:
		a.target = m.targets[router.TwoChoices(n, m.choiceRandom.IntN, m.score)]
	}
	if a.target.slots.TryAcquire(m.now) {
		m.occupySlot(a)
		return
	}
	a.target.waiting = append(a.target.waiting, a)
}

func (m *requestModel) occupySlot(a *modelAttempt) {
	a.started = m.now
	m.at(m.now.Add(m.serviceTime(a.target)), func() { m.complete(a) })
}

// serviceTime draws from a log-normal distribution whose logarithm has a standard
// deviation of 0.5.
func (m *requestModel) serviceTime(t *modelTarget) time.Duration {
	const sigma = 0.5
	factor := t.factor * math.Exp(sigma*m.random.NormFloat64()-sigma*sigma/2)
	elapsed := m.now.Sub(time.Unix(0, 0))
	if elapsed >= m.load.brownoutStart && elapsed < m.load.brownoutEnd {
		factor *= m.load.brownoutFactor
	}
	return time.Duration(factor * float64(m.load.service))
}

func (m *requestModel) complete(a *modelAttempt) {
	a.target.slots.Release()
	took := m.now.Sub(a.started)
	a.target.stats.Record(m.now, took, false)
	m.allStats.Record(m.now, took, false)
	if r := a.request; !r.done {
		r.done = true
		m.result.answered++
		if m.policy.budget == budgetOfAnswers {
			m.budget.AddAnswer()
		}
		m.result.latencies = append(m.result.latencies, m.now.Sub(r.arrived))
	}
	m.assignFreeSlots(a.target)
}

// assignFreeSlots starts waiting attempts in free slots.
func (m *requestModel) assignFreeSlots(free *modelTarget) {
	if m.policy.queuePerTarget {
		if len(free.waiting) > 0 && free.slots.TryAcquire(m.now) {
			a := free.waiting[0]
			free.waiting = free.waiting[1:]
			m.occupySlot(a)
		}
		return
	}
	for m.queue.Len() > 0 {
		target := m.acquire()
		if target == nil {
			return
		}
		w, missed := m.queue.Pop(m.now, m.allStats.Latency())
		for _, expired := range missed {
			m.refuse((<-expired.Result).(*modelAttempt).request)
		}
		if w == nil {
			target.slots.Release()
			return
		}
		a := (<-w.Result).(*modelAttempt)
		a.target = target
		m.occupySlot(a)
	}
}

type modelEvent struct {
	at time.Time
	do func()
}

type modelEvents []modelEvent

func (h modelEvents) Len() int { return len(h) }

func (h modelEvents) Less(i, j int) bool { return h[i].at.Before(h[j].at) }

func (h modelEvents) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *modelEvents) Push(x any) { *h = append(*h, x.(modelEvent)) }

func (h *modelEvents) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}
