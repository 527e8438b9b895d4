package scheduler

import (
	"time"

	"gooseberryreel/internal/interference"
	"gooseberryreel/internal/pb"
)

const (
	// slowestClock is the factor by which a lease may last longer than agreed:
	// a worker's clock may be 2 % slow.
	slowestClock = 1 / 0.98
	// leaseSlack covers rounding of clock readings to milliseconds.
	leaseSlack = 50 * time.Millisecond
	// holdWait is how long a worker may wait for an end before it answers. A
	// renewal every 1.5 s leaves 4.5 s of a lease of 6 s when a worker is cut off.
	holdWait = 1500 * time.Millisecond
	// holdWaitServices is holdWait for a worker on which services run beside
	// fillers: it bounds the age of the latency measurements.
	holdWaitServices = 500 * time.Millisecond
	// holdRetry is the pause after a hold without answer.
	holdRetry = 250 * time.Millisecond
	// renewWhileSilent is how long a silent worker's lease is still renewed.
	// After that its attempts must be able to expire.
	renewWhileSilent = 1500 * time.Millisecond
	// answerAge is the age of a worker's newest answer from which it receives no
	// new work. A hold takes up to holdWait and its timeout.
	answerAge = holdWait + time.Second
	// startLease is the lease that a start carries. It bounds when an order that
	// is carried out late can still take effect.
	startLease = 3 * time.Second
	// stopRetry is the pause after a stop without answer.
	stopRetry = 300 * time.Millisecond
	// ownerGrace is how long an owner that has lost the store may go on renewing
	// leases.
	ownerGrace = 8 * time.Second
)

// Options configures a Core.
type Options struct {
	// Epoch of the owner, which is also its fencing token.
	Epoch int64
	// Lease is the longest lease that workers grant.
	Lease time.Duration
	// Harm is how long a service may miss its target for fillers beside it. After
	// half of it, all of them are stopped.
	Harm time.Duration
	// Keep is how long the state of a finished job is kept.
	Keep time.Duration
}

// previousLease bounds how long after the takeover something may still run that
// an earlier owner started on a worker that can't be asked.
func (o Options) previousLease() time.Duration {
	return ownerGrace + time.Duration(float64(o.Lease)*slowestClock) + leaseSlack
}

// OwnerGrace is how long an owner may act after its newest contact with the
// store.
const OwnerGrace = ownerGrace

// Note is one decision or change of belief, for the log.
type Note struct {
	Event     string
	RequestID string
	Fields    []any // names and values by turns
}

// Batch is what has to be recorded before its consequences are carried out.
type Batch struct {
	Jobs []*pb.StoredJob
	// Pairs is what was learned of interference, nil if it is not due.
	Pairs *pb.StoredPairs
	// Dropped are the ids of jobs that need not be kept any longer.
	Dropped []string

	starts  []*attempt
	cursors []workerCursor
	visible []visibleState
}

// Empty reports whether there is nothing to record.
func (b *Batch) Empty() bool {
	return len(b.Jobs) == 0 && len(b.Dropped) == 0 && len(b.cursors) == 0 && b.Pairs == nil
}

type workerCursor struct {
	worker *worker
	born   int64 // life of the worker whose ends it counts
	cursor int64
}

type visibleState struct {
	job   *job
	state pb.PublicState
}

// Output is what the caller carries out at once.
type Output struct {
	Orders []Order
	Asks   []Ask
	Notes  []Note
}

// Core owns all jobs of a site. It is not safe for concurrent use.
type Core struct {
	opts      Options
	startedAt time.Time
	started   bool
	// earlierGone says that no earlier owner can send orders any more.
	earlierGone bool
	config      *Config
	jobs        map[string]*job
	cancelled   map[string]time.Time // cancelled before the job was seen
	workers     map[string]*worker
	order       []*worker // workers in the order of their appearance

	open    []*step  // steps that may run and have tasks left
	blocked []*step  // steps that wait for others or for their time
	changed []*job   // to be recorded
	ended   []*job   // finished jobs, oldest first
	dropped []string // to be removed from the store
	starts  []*attempt
	cursors []workerCursor

	pairs     *interference.LatencyModel
	durations durations
	// pairsAt and pairsVersion are those of the newest recorded snapshot.
	pairsAt      time.Time
	pairsVersion int64
	planDue      bool
	planned      time.Time // newest placement pass
	summarizedAt time.Time
	fenced       bool
	out          Output
	faults       faults
}

// faults switches mechanisms off, for tests that show what each prevents.
type faults struct {
	expireSilent     bool // attempts on a silent worker end at once
	startUnrecorded  bool // starts are sent before they are recorded
	trustUnanswered  bool // a start without answer counts as never carried out
	forgetUnrecorded bool // workers forget ends before they are recorded
	keepCursor       bool // a new life of a worker is sent the old cursor
	stayOnLeaving    bool // tasks stay on a worker that leaves
	ignoreHarm       bool // fillers are placed and paced without regard to services
	earliestDue      bool // steps go by due time and the callers' estimates alone
	starveLasting    bool // lasting tasks wait behind short ones however long
}

// New returns a core that took over at a time.
func New(o Options, now time.Time) *Core {
	return &Core{
		opts: o, startedAt: now, jobs: make(map[string]*job), cancelled: make(map[string]time.Time),
		workers: make(map[string]*worker), pairs: interference.NewLatencyModel(), durations: make(durations),
	}
}

// RestorePairs takes what an earlier owner learned of interference. It is called
// before any job is restored.
func (c *Core) RestorePairs(s *pb.StoredPairs) { c.pairs.Restore(s) }

// Start ends the restoration.
func (c *Core) Start(now time.Time) {
	c.started = true
	c.planDue = true
	c.note("took over", "", "epoch", c.opts.Epoch, "jobs", len(c.jobs), "workers", len(c.workers))
	c.Tick(now)
}

// EarlierGone reports whether no earlier owner can still renew leases, by proof
// or because it must have given up by now.
func (c *Core) EarlierGone(now time.Time) bool {
	return c.earlierGone || now.Sub(c.startedAt) > c.opts.previousLease()
}

// Fenced reports whether a worker has seen a newer owner.
func (c *Core) Fenced() bool { return c.fenced }

// SetConfig takes a newer configuration.
func (c *Core) SetConfig(config *Config) {
	c.config = config
	c.planDue = true
}

// queue returns the present policy of a job's queue, nil if the queue is gone.
func (c *Core) queue(j *job) *Queue {
	if c.config == nil {
		return nil
	}
	return c.config.Queue(j.sub.GetQueue())
}

// Submit takes a job of the intake. The first record of an id counts.
func (c *Core) Submit(sub *pb.Submission, now time.Time) {
	if _, known := c.jobs[sub.GetId()]; known {
		return
	}
	j := c.addJob(sub, now)
	c.note("job accepted", sub.GetRequestId(), "job", sub.GetId(), "queue", sub.GetQueue(), "steps", len(sub.GetSteps()), "priority", sub.GetPriority())
	if _, cancelled := c.cancelled[sub.GetId()]; cancelled {
		c.finish(j, pb.JobPhase_JOB_PHASE_CANCELLED, "cancelled before it was seen", now)
	}
	c.change(j)
	c.planDue = true
}

// addJob adds a job with its first rounds, nil if it is known already.
func (c *Core) addJob(sub *pb.Submission, now time.Time) *job {
	if c.jobs[sub.GetId()] != nil {
		return nil
	}
	j := &job{sub: sub, phase: pb.JobPhase_JOB_PHASE_ACTIVE, received: now, visible: pb.PublicState_PUBLIC_STATE_QUEUED}
	c.jobs[sub.GetId()] = j
	for n := range max(int(sub.GetTimes()), 1) {
		r := newRound(j, n, j.dueAt(n, now))
		j.rounds = append(j.rounds, r)
		for _, s := range r.steps {
			s.waiting = len(s.tasks)
			c.numberImage(s)
		}
		c.blocked = append(c.blocked, r.steps...)
	}
	return j
}

// numberImage looks the image of a step up in the interference model.
func (c *Core) numberImage(s *step) {
	switch {
	case s.filler():
		s.image = c.pairs.FillerIndex(s.spec.GetImage())
	case s.last() && s.spec.GetLatencyTargetMs() > 0:
		s.image = c.pairs.ServiceIndex(s.spec.GetImage())
	}
}

// dueAt converts the wall-clock time of a round to the steady clock of now.
func (j *job) dueAt(n int, now time.Time) time.Time {
	if j.sub.GetTimes() == 0 {
		return now
	}
	due := time.UnixMilli(j.sub.GetFirstAtMs() + int64(n)*j.sub.GetIntervalMs())
	return now.Add(due.Sub(now.Round(0)))
}

// Cancel takes a cancellation of the intake.
func (c *Core) Cancel(id string, now time.Time) {
	j := c.jobs[id]
	if j == nil {
		c.cancelled[id] = now
		return
	}
	if j.active() {
		c.finish(j, pb.JobPhase_JOB_PHASE_CANCELLED, "cancelled by its caller", now)
	}
}

// State returns the recorded state of a job.
func (c *Core) State(id string) pb.PublicState {
	if j := c.jobs[id]; j != nil {
		return j.visible
	}
	if _, cancelled := c.cancelled[id]; cancelled {
		return pb.PublicState_PUBLIC_STATE_CANCELLED
	}
	return pb.PublicState_PUBLIC_STATE_UNKNOWN
}

// Waiting returns the number of jobs of a queue without a started task.
func (c *Core) Waiting(queue string) int64 {
	n := int64(0)
	for _, j := range c.jobs {
		if j.active() && !j.begun && j.sub.GetQueue() == queue {
			n++
		}
	}
	return n
}

// Tick advances time.
func (c *Core) Tick(now time.Time) {
	if !c.started || c.fenced {
		return
	}
	c.tickWorkers(now)
	c.tickAttempts(now)
	if c.planDue && now.Sub(c.planned) >= planPause || now.Sub(c.planned) >= planInterval {
		c.planDue = false
		c.planned = now
		c.replaceStalled(now)
		c.plan(now)
	}
	c.forgetJobs(now)
	c.summarize(now)
}

// planInterval is the longest time between two placement passes: room changes
// without an event when a quarantine or a delay is over.
const planInterval = 100 * time.Millisecond

// pairsInterval is how often what was learned of interference is recorded.
const pairsInterval = 2 * time.Second

// planPause is the shortest time between two passes. Ends arrive by the hundred
// a second, and one pass serves all that arrived since the last.
const planPause = 15 * time.Millisecond

// TakeOrders returns what can be carried out without a record.
func (c *Core) TakeOrders() Output {
	out := c.out
	c.out = Output{}
	return out
}

// TakeBatch returns what has to be recorded.
func (c *Core) TakeBatch(now time.Time) *Batch {
	b := &Batch{Dropped: c.dropped, starts: c.starts, cursors: c.cursors}
	if now.Sub(c.pairsAt) >= pairsInterval && c.pairs.Version() != c.pairsVersion {
		c.pairsAt, c.pairsVersion = now, c.pairs.Version()
		b.Pairs = c.pairs.Snapshot()
	}
	for _, j := range c.changed {
		j.changed = false
		if c.jobs[j.sub.GetId()] != j {
			continue
		}
		b.Jobs = append(b.Jobs, j.record())
		b.visible = append(b.visible, visibleState{j, j.state()})
	}
	c.changed, c.dropped, c.starts, c.cursors = nil, nil, nil, nil
	return b
}

// Committed takes the confirmation of a batch and returns the orders that it
// allows.
func (c *Core) Committed(b *Batch, now time.Time) {
	for _, v := range b.visible {
		if v.job.visible != v.state {
			v.job.visible = v.state
			c.note("job "+publicName(v.state), v.job.sub.GetRequestId(), "job", v.job.sub.GetId(), "age_ms", now.Sub(v.job.received).Milliseconds())
		}
	}
	for _, a := range b.starts {
		c.sendStart(a, now)
	}
	for _, w := range b.cursors {
		if w.born != w.worker.born {
			continue
		}
		w.worker.cursor = max(w.worker.cursor, w.cursor)
		if w.worker.cursor >= w.worker.processed {
			w.worker.nextHold = now
		}
	}
	c.tickWorkers(now)
}

func publicName(s pb.PublicState) string {
	switch s {
	case pb.PublicState_PUBLIC_STATE_QUEUED:
		return "queued"
	case pb.PublicState_PUBLIC_STATE_RUNNING:
		return "begun"
	case pb.PublicState_PUBLIC_STATE_COMPLETED:
		return "completed"
	case pb.PublicState_PUBLIC_STATE_FAILED:
		return "failed"
	case pb.PublicState_PUBLIC_STATE_CANCELLED:
		return "cancelled"
	default:
		return "unknown"
	}
}

// change marks a job for the next batch.
func (c *Core) change(j *job) {
	if !j.changed {
		j.changed = true
		c.changed = append(c.changed, j)
	}
}

// finish ends a job and stops what runs of it.
func (c *Core) finish(j *job, phase pb.JobPhase, why string, now time.Time) {
	if !j.active() {
		return
	}
	j.phase, j.endedAt = phase, now
	c.ended = append(c.ended, j)
	c.change(j)
	c.note("job ends", j.sub.GetRequestId(), "job", j.sub.GetId(), "phase", phase.String(), "why", why, "age_ms", now.Sub(j.received).Milliseconds())
	for _, r := range j.rounds {
		for _, s := range r.steps {
			for _, t := range s.tasks {
				for _, a := range t.attempts {
					c.stop(a, "the job has ended", now)
				}
			}
		}
	}
}

// forgetJobs drops finished jobs after their state was kept long enough.
func (c *Core) forgetJobs(now time.Time) {
	for len(c.ended) > 0 && now.Sub(c.ended[0].endedAt) > c.opts.Keep && !c.ended[0].hasAttempts() {
		id := c.ended[0].sub.GetId()
		c.ended = c.ended[1:]
		delete(c.jobs, id)
		c.dropped = append(c.dropped, id)
	}
	for id, at := range c.cancelled {
		if now.Sub(at) > c.opts.Keep {
			delete(c.cancelled, id)
		}
	}
}

// note records a decision for the log.
func (c *Core) note(event, requestID string, fields ...any) {
	c.out.Notes = append(c.out.Notes, Note{Event: event, RequestID: requestID, Fields: fields})
}

func errorText(r OrderResult) string {
	if r.Err != nil {
		return r.Err.Error()
	}
	return "refused: " + r.Refused.String()
}
