// Package jobs runs the job partition of a failure domain: a deterministic core
// for jobs, attempts and workers, and a Runner that connects the core with the
// control stream, the workers and the peers.
package jobs

import (
	"container/list"
	"time"

	"gooseberryreel/internal/control"
	"gooseberryreel/internal/events"
	"gooseberryreel/internal/interference"
	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/placement"
	"gooseberryreel/internal/remote"
)

// CallKind names a call to a worker.
type CallKind int

// Kinds of worker calls.
const (
	CallNone CallKind = iota
	CallStatus
	CallStart
	CallStop
	CallCheckpoint
	CallThrottle
	CallRenew
)

// String returns the name used in metrics.
func (k CallKind) String() string {
	return [...]string{"none", "status", "start", "stop", "checkpoint", "throttle", "renew"}[k]
}

// Call is a worker call for the runner to make. Its sequence number grows with
// each call of this core.
type Call struct {
	Seq     uint64
	Kind    CallKind
	Worker  string
	Ref     remote.TaskRef
	Refs    []remote.TaskRef // renew
	Spec    remote.TaskSpec  // start
	Percent int              // throttle
}

// CallResult is the end of a worker call.
type CallResult struct {
	Call Call
	Err  error
	// NotSent says that the call was not made, since the permission to act had
	// lapsed.
	NotSent    bool
	Status     remote.WorkerStatus
	Checkpoint string
}

// Output is what the caller of the core has to do.
type Output struct {
	// Records are the jobs to append to the control stream.
	Records []*pb.Job
	Calls   []Call
	// Updates are jobs whose waiting callers can be answered.
	Updates []JobUpdate
	Events  []events.Event
}

// JobUpdate reports a change that callers of a job may wait for.
type JobUpdate struct {
	Job *pb.Job
	// Durable says that the state was read back from the stream. Confirmed says
	// that a worker confirmed the start.
	Durable   bool
	Confirmed bool
}

// CoreView is the part of the control view that the core depends on.
type CoreView struct {
	Own         bool
	Epoch       int64
	MayAct      bool
	LogReadable bool
	Leaving     bool
	Config      *control.Config
	Workers     []remote.Instance
	Targets     []remote.Instance
}

// PolicyOverrides replaces parts of the policy, for the baselines of policy benchmarks.
type PolicyOverrides struct {
	// Slowdown replaces the learned estimates.
	Slowdown func(service, job string, load float64) float64
	// Thresholds replaces those that follow from the weights.
	Thresholds *interference.Thresholds
	// NoInterferenceControl turns throttling and eviction for interference off.
	NoInterferenceControl bool
	// EvictOnly evicts at the threshold without throttling first.
	EvictOnly bool
	// FirstFit places by declared sizes on the first worker that fits, without
	// ranking and without learned peaks.
	FirstFit bool
}

// CoreOptions configures a Core.
type CoreOptions struct {
	Settings        *pb.JobSettings
	Policy          *pb.PolicySettings
	PolicyOverrides PolicyOverrides
}

// Core is the deterministic state machine of the job partition. It runs on one
// goroutine, does no I/O and reads no clock.
type Core struct {
	opts config
	sit  CoreView
	// recorded is the state that the control stream holds, kept by owners and
	// others alike. ended lists the finished jobs in it, oldest first.
	recorded map[string]*pb.Job
	ended    []string
	// forgottenMS is the newest submit time among finished jobs that were
	// dropped; ids that are not newer can't be accepted again.
	forgottenMS int64
	// kept holds copies of urgent jobs that an owner started while the stream
	// could not be read, until their records are seen.
	kept map[string]*pb.Job

	// The rest is the owner's state.
	active     bool
	tookOverAt time.Time
	jobs       map[string]*job
	hot        map[string]*job
	urgent     *list.List
	batch      *list.List
	workers    map[string]*worker
	// workerOrder caches the sorted names of workers.
	workerOrder []string
	// unanswered are workers that may run attempts that this owner does not
	// know. Jobs older than the takeover wait for them.
	unanswered map[string]bool
	// endedUnknown holds the newest ended attempt of each job that no record
	// names, until all workers have answered.
	endedUnknown map[string]endedAttempt
	peaks        map[string]*peak
	teamQueued   map[string]int

	estimator  *interference.Estimator
	estimates  map[estimateKey]float64 // of the present pass
	meter      *interference.Meter
	controller *interference.Controller
	thresholds interference.Thresholds
	targetLoad map[string]targetLoad
	// heldSince is since when a declared job is kept back for interference
	// alone, and trials is the newest trial of each.
	heldSince map[string]time.Time
	trials    map[string]remote.TaskRef

	seq      uint64
	out      Output
	planDue  bool
	nextPlan time.Time
	nextStep time.Time
	// nextRelief is when workers over their capacity are looked for although
	// nothing is queued.
	nextRelief time.Time

	faults faults
}

// faults switches mechanisms off, for tests that show what each prevents.
type faults struct {
	ignoreCapacity   bool // placement sees every worker as empty
	restartSilent    bool // a silent worker's attempts are restarted elsewhere
	skipHold         bool // a takeover does not wait for workers
	requeueUnstopped bool // an eviction requeues before the stop is confirmed
	sameAttempt      bool // a resumed job keeps its attempt number
	skipRecord       bool // a start does not wait for its recorded assignment
}

// NewCore returns a core that knows no jobs.
func NewCore(o CoreOptions) *Core {
	c := &Core{opts: resolve(o), recorded: make(map[string]*pb.Job), kept: make(map[string]*pb.Job)}
	c.reset()
	return c
}

// reset drops the owner's state.
func (c *Core) reset() {
	c.active = false
	c.jobs = make(map[string]*job)
	c.hot = make(map[string]*job)
	c.urgent, c.batch = list.New(), list.New()
	c.workers = make(map[string]*worker)
	c.workerOrder = nil
	c.unanswered = make(map[string]bool)
	c.endedUnknown = make(map[string]endedAttempt)
	c.teamQueued = make(map[string]int)
	c.targetLoad = make(map[string]targetLoad)
	c.heldSince = make(map[string]time.Time)
	c.trials = make(map[string]remote.TaskRef)
	c.out = Output{}
	if c.peaks == nil {
		c.peaks = make(map[string]*peak)
	}
	lag := c.opts.lag
	c.estimator = interference.NewEstimator()
	c.estimates = make(map[estimateKey]float64)
	c.meter = interference.NewMeter(lag, c.estimator)
	c.controller = interference.NewController(c.opts.thresholds, lag, c.opts.evictionsPerMinute)
	c.controller.EvictOnly = c.opts.tuning.EvictOnly
	c.thresholds = c.opts.thresholds
}

// TakeOutput returns the pending output and clears it.
func (c *Core) TakeOutput() Output {
	out := c.out
	c.out = Output{}
	return out
}

// SetView takes a new control view. A change of ownership starts a
// recovery or drops the owner's state.
func (c *Core) SetView(s CoreView, now time.Time) {
	old := c.sit
	c.sit = s
	switch {
	case !s.Own:
		if c.active {
			c.reset()
		}
		return
	case !c.active || old.Epoch != s.Epoch:
		c.reset()
		c.takeOver(now)
	}
	c.listWorkers(now)
	if s.MayAct && !old.MayAct || s.LogReadable != old.LogReadable {
		for id, j := range c.jobs {
			if j.rec.State == pb.JobState_JOB_STATE_STARTING {
				c.hot[id] = j
			}
		}
		c.planDue = true
	}
}

// Tick advances time: due polls, renewals, retries, planning and the
// interference controller.
func (c *Core) Tick(now time.Time) {
	if !c.active {
		return
	}
	c.tickWorkers(now)
	c.driveHot(now)
	if c.planDue || !now.Before(c.nextPlan) {
		c.plan(now)
	}
	if !now.Before(c.nextStep) {
		c.nextStep = now.Add(controlInterval)
		c.control(now)
	}
	c.driveHot(now)
}

// nextSeq returns the number of the next call.
func (c *Core) nextSeq() uint64 {
	c.seq++
	return c.seq
}

// holds reports whether a job must wait for workers that have not answered
// since the takeover.
func (c *Core) holds(j *job) bool {
	return j.predates && len(c.unanswered) > 0 && !c.faults.skipHold
}

// weights converts the site's policy settings.
func weights(p *pb.PolicySettings) placement.Weights {
	return placement.Weights{
		TailLatency: float64(p.GetTailLatencyWeight()),
		Throughput:  float64(p.GetThroughputWeight()),
		Evictions:   float64(p.GetEvictionWeight()),
	}
}
