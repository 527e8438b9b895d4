// Package jobs implements the job partition of a failure domain. Core is a
// deterministic state machine for jobs, attempts and workers; Runner connects it
// to the control stream, the workers and the peers.
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

// CallKind is the type of a call to a worker.
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

// Call is a worker call for the runner to make. Sequence numbers increase
// with each call of a core.
type Call struct {
	Seq     uint64
	Kind    CallKind
	Worker  string
	Ref     remote.TaskRef
	Refs    []remote.TaskRef // renew
	Spec    remote.TaskSpec  // start
	Percent int              // throttle: share of CPU time to grant
}

// CallResult is the outcome of a worker call.
type CallResult struct {
	Call Call
	Err  error
	// NotSent reports that the call was not made, because the permission to act
	// had expired.
	NotSent    bool
	Status     remote.WorkerStatus
	Checkpoint string
}

// Output holds the actions that a core requests from its runner.
type Output struct {
	// Records are the job records to append to the control stream.
	Records []*pb.Job
	// Copies are unrecorded assignments to copy to the other instances of the
	// domain. CopyDone reports the outcome of each.
	Copies []*pb.Job
	Calls  []Call
	// Updates are job changes for which callers may be waiting.
	Updates []JobUpdate
	Events  []events.Event
}

// JobUpdate is a change of a job for which callers may be waiting.
type JobUpdate struct {
	Job *pb.Job
	// Durable reports that the state was read back from the control stream.
	// Confirmed reports that a worker confirmed the start.
	Durable   bool
	Confirmed bool
}

// CoreView is the part of a control.View that the core depends on. Own, Epoch and
// MayAct are those of the job partition.
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

// PolicyOverrides replaces parts of the policy, for the baselines of policy
// benchmarks.
type PolicyOverrides struct {
	// Slowdown replaces the learned interference estimates.
	Slowdown func(service, job string, load float64) float64
	// Thresholds replaces the thresholds derived from the policy weights.
	Thresholds *interference.Thresholds
	// NoInterferenceControl disables throttling and eviction for interference.
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

// Core is the deterministic state machine of the job partition. It is confined
// to one goroutine, does no I/O and reads no clock.
type Core struct {
	opts coreConfig
	view CoreView
	// recorded holds the jobs as recorded in the control stream. Every instance
	// maintains it, whether or not it owns the partition. ended lists the ids of
	// its finished jobs, oldest first.
	recorded map[string]*pb.Job
	ended    []string
	// newestDroppedMS is the newest submit time, in milliseconds, among finished
	// jobs whose records were dropped. Ids that are not newer are not accepted
	// again.
	newestDroppedMS int64
	// copies holds copies of assignments that an owner made while the control
	// stream could not be read, until their records are read.
	copies map[string]*pb.Job

	// The fields below are used only by the owner.
	active     bool
	tookOverAt time.Time
	jobs       map[string]*job
	toAdvance  map[string]*job // may have a call to make or a record to append
	urgent     *list.List
	batch      *list.List
	workers    map[string]*worker
	// workerOrder caches the sorted worker names, nil if they changed.
	workerOrder []string
	// awaitingStatus holds the workers that may run attempts unknown to this
	// owner, because it has not received their status yet. Jobs that predate the
	// takeover wait for them.
	awaitingStatus map[string]bool
	// unrecordedEnds holds the newest ended attempt of each job without a record,
	// until all workers have sent a status.
	unrecordedEnds map[string]endedAttempt
	// unsent holds, by job, the assignments that were withdrawn before their start was
	// sent and that the next owner may still know of. It would start them, so
	// they use capacity until a later record of the job is read back.
	unsent     map[string][]unsentAttempt
	peaks      map[string]*peak
	teamQueued map[string]int

	estimator  *interference.Estimator
	estimates  map[estimateKey]float64 // cached during one pass
	meter      *interference.Meter
	controller *interference.Controller
	thresholds interference.Thresholds
	targetLoad map[string]targetLoad
	// heldSince is the time, by job declaration, since which interference alone
	// has held back queued jobs. trials holds the newest trial of each declaration.
	heldSince map[string]time.Time
	trials    map[string]remote.TaskRef

	seq         uint64
	out         Output
	planDue     bool
	nextPlan    time.Time
	nextControl time.Time
	// nextEvictionCheck is when the next pass checks, while nothing is queued, for
	// workers that are leaving or over their capacity.
	nextEvictionCheck time.Time

	disabled disabledRules
}

// disabledRules disables mechanisms, for tests that show what each one prevents.
type disabledRules struct {
	ignoreCapacity   bool // placement treats every worker as empty
	restartSilent    bool // attempts on a silent worker are restarted elsewhere
	skipStatusWait   bool // a new owner does not wait for the status of all workers
	requeueUnstopped bool // an evicted job is requeued before its stop is confirmed
	reuseAttempt     bool // a resumed job reuses its attempt number
	startUnrecorded  bool // a start does not wait until its assignment is recorded
	startUncopied    bool // an unrecorded start does not wait for a copy of its assignment
}

// NewCore returns a core without jobs.
func NewCore(o CoreOptions) *Core {
	c := &Core{opts: newCoreConfig(o), recorded: make(map[string]*pb.Job), copies: make(map[string]*pb.Job)}
	c.reset()
	return c
}

// reset clears the owner's state, except for the learned peaks.
func (c *Core) reset() {
	c.active = false
	c.jobs = make(map[string]*job)
	c.toAdvance = make(map[string]*job)
	c.urgent, c.batch = list.New(), list.New()
	c.workers = make(map[string]*worker)
	c.workerOrder = nil
	c.awaitingStatus = make(map[string]bool)
	c.unrecordedEnds = make(map[string]endedAttempt)
	c.unsent = make(map[string][]unsentAttempt)
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
	c.controller.EvictOnly = c.opts.overrides.EvictOnly
	c.thresholds = c.opts.thresholds
}

// TakeOutput returns the pending output and clears it.
func (c *Core) TakeOutput() Output {
	out := c.out
	c.out = Output{}
	return out
}

// SetView applies a new control view. Gaining the partition, or a new epoch,
// starts a recovery; losing the partition clears the owner's state.
func (c *Core) SetView(v CoreView, now time.Time) {
	old := c.view
	c.view = v
	switch {
	case !v.Own:
		if c.active {
			c.reset()
		}
		return
	case !c.active || old.Epoch != v.Epoch:
		c.reset()
		c.takeOver(now)
	}
	c.updateWorkers(now)
	if v.MayAct && !old.MayAct || v.LogReadable != old.LogReadable {
		for id, j := range c.jobs {
			if j.rec.State == pb.JobState_JOB_STATE_STARTING {
				c.toAdvance[id] = j
			}
		}
		c.planDue = true
	}
}

// Tick performs what is due at now: polls, lease renewals, retries, planning
// passes and rounds of the interference controller.
func (c *Core) Tick(now time.Time) {
	if !c.active {
		return
	}
	c.tickWorkers(now)
	c.advanceJobs(now)
	if c.planDue || !now.Before(c.nextPlan) {
		c.plan(now)
	}
	if !now.Before(c.nextControl) {
		c.nextControl = now.Add(controlInterval)
		c.controlInterference(now)
	}
	c.advanceJobs(now)
}

// nextSeq returns a new sequence number for a call.
func (c *Core) nextSeq() uint64 {
	c.seq++
	return c.seq
}

// awaitsStatus reports whether a job must wait because an attempt of it, started
// by an earlier owner, may run on a worker that has not sent a status since the
// takeover.
func (c *Core) awaitsStatus(j *job) bool {
	return j.predatesTakeover && len(c.awaitingStatus) > 0 && !c.disabled.skipStatusWait
}

// weights converts the policy settings to placement weights.
func weights(p *pb.PolicySettings) placement.Weights {
	return placement.Weights{
		TailLatency: float64(p.GetTailLatencyWeight()),
		Throughput:  float64(p.GetThroughputWeight()),
		Evictions:   float64(p.GetEvictionWeight()),
	}
}
