package interference

import (
	"cmp"
	"slices"
	"time"

	"gooseberryreel/internal/remote"
)

const (
	// throttleAfter and unthrottleAfter are the numbers of consecutive
	// observations after which the controller throttles tasks or lifts the
	// throttling.
	throttleAfter   = 2
	unthrottleAfter = 4
	// throttledPercent is the CPU share of a throttled task. TrialPercent is that
	// of a task that was throttled a second time or runs on trial.
	throttledPercent = 50
	TrialPercent     = 20
	fullPercent      = 100
	// settleFactor is the time between two actions on one worker in reporting
	// lags, so that the effect of the first is visible before the second.
	settleFactor = 2
)

// Thresholds are the slowdowns of a service at which the scheduler acts, as
// factors of its latency without batch tasks. They follow from the site's weights.
type Thresholds struct {
	Throttle float64
	Evict    float64
	// Unthrottle is the slowdown below which throttling is lifted. It is less than
	// Throttle, which gives hysteresis.
	Unthrottle float64
	// Place is the largest estimated slowdown at which batch tasks are placed.
	Place float64
}

// ThresholdsFor returns the thresholds for the site's weights of tail latency,
// throughput and evictions. All weights count the same if none is positive.
func ThresholdsFor(tail, throughput, evictions float64) Thresholds {
	sum := tail + throughput + evictions
	if sum <= 0 {
		tail, throughput, evictions, sum = 1, 1, 1, 3
	}
	tolerance := throughput / sum
	reluctance := evictions / sum
	return Thresholds{
		Throttle:   1.06 + 0.5*tolerance,
		Unthrottle: 1.03 + 0.3*tolerance,
		Evict:      1.15 + tolerance + 2*reluctance,
		// Quadratic, since a site that weighs tail latency most tolerates a
		// slowdown of only a few percent.
		Place: 1 + 0.8*tolerance*tolerance,
	}
}

// Task is a batch task on a worker, with what the controller needs to know.
type Task struct {
	Ref remote.TaskRef
	// Excess is the estimated slowdown minus 1 that this task causes, at full CPU
	// share, to the most affected service.
	Excess   float64
	Percent  int     // CPU share left by throttling
	LostWork float64 // run time that an eviction would lose, in seconds
	// Exempt is set if the task must be neither throttled nor evicted.
	Exempt bool
}

// Observation is the measured state of one worker.
type Observation struct {
	Worker   string
	Slowdown float64 // of the most affected service there
	Tasks    []Task
}

// ActionKind is the kind of an Action.
type ActionKind int

// Kinds of actions. Throttle sets the CPU share of a task, and also raises it
// again.
const (
	Throttle ActionKind = iota
	Evict
)

// Action is a decision about one task.
type Action struct {
	Kind    ActionKind
	Worker  string
	Ref     remote.TaskRef
	Percent int // new CPU share if Kind is Throttle
}

type workerState struct {
	high       int       // consecutive observations of at least Thresholds.Throttle
	low        int       // consecutive observations below Thresholds.Unthrottle
	nextAction time.Time // no action before
}

// Controller throttles batch tasks that slow a service down, and evicts them if
// that does not help.
type Controller struct {
	// EvictOnly evicts without throttling first. It is a baseline of the policy
	// benchmarks.
	EvictOnly bool

	thresholds Thresholds
	settleTime time.Duration
	// Token bucket of evictions.
	rate       float64 // evictions per second
	burst      float64
	tokens     float64
	refilledAt time.Time
	workers    map[string]*workerState
}

// NewController returns a controller that waits for twice the reporting lag
// between actions on a worker and evicts perMinute tasks a minute at most.
func NewController(thresholds Thresholds, lag time.Duration, perMinute int) *Controller {
	return &Controller{
		thresholds: thresholds,
		settleTime: settleFactor * lag,
		rate:       float64(perMinute) / time.Minute.Seconds(),
		burst:      float64(max(perMinute, 1)),
		tokens:     float64(max(perMinute, 1)),
		workers:    make(map[string]*workerState),
	}
}

// AvailableEvictions returns the number of evictions that the rate limit allows
// now.
func (c *Controller) AvailableEvictions(now time.Time) int {
	c.refill(now)
	return int(c.tokens)
}

// ConsumeEvictions counts n evictions that were decided elsewhere against the rate
// limit.
func (c *Controller) ConsumeEvictions(n int) { c.tokens = max(c.tokens-float64(n), 0) }

func (c *Controller) refill(now time.Time) {
	if !c.refilledAt.IsZero() {
		c.tokens = min(c.tokens+c.rate*now.Sub(c.refilledAt).Seconds(), c.burst)
	}
	c.refilledAt = now
}

// Step returns the actions for one round of observations, at most one per worker.
func (c *Controller) Step(now time.Time, observed []Observation) []Action {
	c.refill(now)
	var out []Action
	for i := range observed {
		if a, ok := c.stepWorker(now, &observed[i]); ok {
			out = append(out, a)
		}
	}
	return out
}

func (c *Controller) stepWorker(now time.Time, o *Observation) (Action, bool) {
	w := c.workers[o.Worker]
	if w == nil {
		w = &workerState{}
		c.workers[o.Worker] = w
	}
	w.update(o.Slowdown, c.thresholds)
	if now.Before(w.nextAction) {
		return Action{}, false
	}
	var a Action
	ok := false
	switch {
	case w.high >= throttleAfter:
		a, ok = c.throttleOrEvict(o)
	case w.low >= unthrottleAfter:
		a, ok = unthrottle(o)
	}
	if ok {
		w.nextAction = now.Add(c.settleTime)
		w.high, w.low = 0, 0
	}
	return a, ok
}

// update counts consecutive observations beyond the thresholds.
func (w *workerState) update(slowdown float64, thresholds Thresholds) {
	switch {
	case slowdown >= thresholds.Throttle:
		w.high++
		w.low = 0
	case slowdown < thresholds.Unthrottle:
		w.low++
		w.high = 0
	default:
		w.high, w.low = 0, 0
	}
}

// throttleOrEvict throttles the task with the largest estimated effect among those
// that can be throttled further. If there is none, and the slowdown has reached
// Thresholds.Evict, it evicts the task with the largest estimated effect.
func (c *Controller) throttleOrEvict(o *Observation) (Action, bool) {
	tasks := adjustable(o.Tasks)
	slices.SortStableFunc(tasks, func(a, b Task) int {
		return cmp.Or(cmp.Compare(b.Excess*float64(b.Percent), a.Excess*float64(a.Percent)), cmp.Compare(a.LostWork, b.LostWork))
	})
	for _, t := range tasks {
		if c.EvictOnly {
			break
		}
		if next, ok := nextLower(t.Percent); ok {
			return Action{Kind: Throttle, Worker: o.Worker, Ref: t.Ref, Percent: next}, true
		}
	}
	if len(tasks) == 0 || o.Slowdown < c.thresholds.Evict || c.tokens < 1 {
		return Action{}, false
	}
	c.tokens--
	return Action{Kind: Evict, Worker: o.Worker, Ref: tasks[0].Ref}, true
}

// unthrottle raises the CPU share of the throttled task with the smallest
// estimated effect.
func unthrottle(o *Observation) (Action, bool) {
	tasks := adjustable(o.Tasks)
	slices.SortStableFunc(tasks, func(a, b Task) int { return cmp.Compare(a.Excess, b.Excess) })
	for _, t := range tasks {
		if next, ok := nextHigher(t.Percent); ok {
			return Action{Kind: Throttle, Worker: o.Worker, Ref: t.Ref, Percent: next}, true
		}
	}
	return Action{}, false
}

// adjustable returns the tasks that may be throttled or evicted.
func adjustable(tasks []Task) []Task {
	var out []Task
	for _, t := range tasks {
		if !t.Exempt {
			out = append(out, t)
		}
	}
	return out
}

// nextLower returns the next lower CPU share in percent, and false at the lowest.
func nextLower(percent int) (int, bool) {
	switch {
	case percent > throttledPercent:
		return throttledPercent, true
	case percent > TrialPercent:
		return TrialPercent, true
	default:
		return percent, false
	}
}

// nextHigher returns the next higher CPU share in percent, and false at the full
// one.
func nextHigher(percent int) (int, bool) {
	switch {
	case percent < throttledPercent:
		return throttledPercent, true
	case percent < fullPercent:
		return fullPercent, true
	default:
		return percent, false
	}
}
