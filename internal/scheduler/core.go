package scheduler

import (
	"time"

	"gooseberryreel/internal/interference"
	"gooseberryreel/internal/pb"
)

const (
	// clockDriftFactor is the factor by which a lease may last longer than granted:
	// a worker's clock may be 2 % slow.
	clockDriftFactor = 1 / 0.98
	// leaseSlack covers rounding of clock readings to milliseconds.
	leaseSlack = 50 * time.Millisecond
	// holdWait is how long a worker may wait for an end before it answers a hold.
	// Renewing a lease of 6 s every 1.5 s leaves at least 4.5 s of it when a
	// worker is cut off.
	holdWait = 1500 * time.Millisecond
	// holdWaitLongRunning replaces holdWait on a worker with long-running tasks. The answer
	// to the hold is overdue that much sooner if the worker is lost.
	holdWaitLongRunning = time.Second
	// holdWaitServices replaces holdWait on a worker with both services and fillers, also
	// for a time after the last filler has ended. It bounds the age of the latency
	// measurements.
	holdWaitServices = 500 * time.Millisecond
	// holdRetry is the pause after a hold without an answer.
	holdRetry = 250 * time.Millisecond
	// maxAnswerAge is the age of a worker's newest answer from which it receives no
	// new work. An answer to a hold may take holdWait plus the call's timeout.
	maxAnswerAge = holdWait + time.Second
	// startLease is the lease that a start carries. It bounds how late a delayed
	// start can still take effect.
	startLease = 3 * time.Second
	// stopRetry is the pause after a stop without an answer.
	stopRetry = 300 * time.Millisecond
	// ownerGrace is how long an owner that can't reach the store may continue
	// to renew leases.
	ownerGrace = 8 * time.Second
)

// Options configures a Core.
type Options struct {
	// Epoch is the epoch of the owner, which is also its fencing token.
	Epoch int64
	// Lease is the longest lease that workers grant.
	Lease time.Duration
	// HarmLimit bounds how long a service may miss its latency target because of
	// the fillers on its worker. After half of it, all of them are stopped.
	HarmLimit time.Duration
	// Retention is how long the state of a finished job is kept.
	Retention time.Duration
	// EvacuationBound is how long after the acknowledgement of an evacuation tasks may
	// still start in the failure domain, zero if the deployment has no evacuations.
	EvacuationBound time.Duration
	// RemoteFactor is how much longer a task takes away from the rack of its data, or of
	// its gang. It is zero if it is not known.
	RemoteFactor float64
	// HoldLeasesBack lets the core grant no lease until AllowLeases is called.
	HoldLeasesBack bool
}

// earlierLeaseTime returns how long after the takeover an attempt may still run
// that an earlier owner started on a worker that doesn't answer.
func (o Options) earlierLeaseTime() time.Duration {
	return ownerGrace + o.longestLease()
}

// OwnerGrace is how long an owner may act after the store has last confirmed that there is
// no newer owner.
const OwnerGrace = ownerGrace

// LogEntry is a decision or an observed change, for the log.
type LogEntry struct {
	Event     string
	RequestID string
	Fields    []any // alternating keys and values
	NearWait  *NearWait
}

// Output is what the caller carries out at once, without a record.
type Output struct {
	Commands       []Command
	AdviceRequests []AdviceRequest
	LogEntries     []LogEntry
	// Expired are the ids of jobs whose retention is over. The caller deletes their
	// records from the intake and then calls IntakeDeleted.
	Expired []string
}

// Core schedules all jobs of a site. It is not safe for concurrent use.
type Core struct {
	opts      Options
	startedAt time.Time // when the owner took over
	started   bool      // Start was called
	// noEarlierOwner is set once no earlier owner can send commands any more.
	noEarlierOwner bool
	confirmedAt    time.Time      // when it was set
	earlier        []EarlierOwner // see ConfirmNoEarlierOwner
	// permittedAt is the time from which leases are counted, zero for the time at which they
	// are granted.
	permittedAt time.Time
	config      *Config
	jobs        map[string]*job
	cancelled   map[string]cancellation // those that arrived before their jobs
	workers     map[string]*worker
	workerList  []*worker       // workers in the order in which they were first seen
	visits      []time.Duration // see tickWorkers
	visited     []*worker       // in the newest tick

	ready    []*step        // steps that are due, have no unfinished dependency and have tasks left
	blocked  []*step        // steps that wait for a dependency
	upcoming upcomingRounds // jobs with rounds that are not open yet
	changed  []*job         // jobs to be recorded
	finished []*job         // finished jobs whose retention is not over, oldest first
	removed  []string       // keys of records to be removed from the store
	starts   []*attempt     // to be sent after the next batch
	cursors  []workerCursor // to be covered by the next batch

	model      *interference.LatencyModel
	durations  durations
	contention contention
	locality   localityState
	// modelRecordedAt and modelVersion belong to the newest snapshot of the model
	// that was put into a batch.
	modelRecordedAt time.Time
	modelVersion    int64
	late            bool      // see SetLate
	bestEffortAt    time.Time // newest pass that placed best-effort work
	planDue         bool
	plannedAt       time.Time // newest placement pass
	summarizedAt    time.Time
	consistencyAt   time.Time
	copiesCheckedAt time.Time

	leaseBoundsAt        time.Time // when the bounds were taken last
	leaseBoundsCheckedAt time.Time // when it was last checked whether they have changed
	leaseBoundsDue       bool      // a bounded worker answers

	entriesReadAt time.Time // see EntriesRead
	entriesStale  bool      // as logged
	operatorRequests
	// crashTimes are the crashes of workers within crashRateWindow.
	crashTimes      []time.Time
	restoredCrashes map[string]bool // addresses of workers in restored evidence
	placements      placements      // see Backlog
	passCounts      PassCounts
	waits           waits
	memory          passMemory
	adjusting       adjusting
	overcommitNext  int             // worker that the newest search of overcommitTask looked at
	blockTasks      int             // see defaultBlockTasks
	removedQueues   map[string]bool // as logged
	pools           map[string]bool // see knowsPool
	fenced          bool
	working         *job // see WorkingOn
	rolesMade       int  // see forgetImages
	attempts        int  // that may be active
	adviceRequests  int64
	out             Output
	disabled        disabledRules
}

// New returns a core whose owner took over at the time now.
func New(o Options, now time.Time) *Core {
	return &Core{
		opts: o, startedAt: now, jobs: make(map[string]*job), cancelled: make(map[string]cancellation),
		workers: make(map[string]*worker), model: interference.NewLatencyModel(), durations: make(durations),
		restoredCrashes: make(map[string]bool), operatorRequests: newOperatorRequests(),
		blockTasks: defaultBlockTasks, pools: make(map[string]bool),
	}
}

// RestoreInterference restores the interference model of an earlier owner. It is
// called before any job is restored.
func (c *Core) RestoreInterference(s *pb.StoredPairs) { c.model.Restore(s) }

// AllowLeases lets the core grant leases: the store now tells later owners that it may.
func (c *Core) AllowLeases() { c.opts.HoldLeasesBack = false }

// CountLeasesFrom sets the time from which the leases of holds are counted: that of the
// permission by which the owner acts. A later owner that knows when the newest permission
// was given then knows when these leases end, and doesn't wait for as long as the permission
// may last besides. The zero time lets them count from when they are granted.
func (c *Core) CountLeasesFrom(permittedAt time.Time) { c.permittedAt = permittedAt }

// Start ends the restoration and begins scheduling.
func (c *Core) Start(now time.Time) {
	c.started = true
	c.sortFinished()
	c.logRemovedQueues()
	c.planDue = true
	c.addLogEntry("took over", "", "epoch", c.opts.Epoch, "jobs", len(c.jobs), "workers", len(c.workers))
	c.Tick(now)
}

// NoEarlierOwner reports whether no earlier owner can still renew leases, either by
// proof or because the time for which it may act without the store is over.
func (c *Core) NoEarlierOwner(now time.Time) bool {
	return c.noEarlierOwner || now.Sub(c.startedAt) > c.opts.earlierLeaseTime()
}

// Fenced reports whether a worker has refused a command because it has seen the
// token of a newer owner.
func (c *Core) Fenced() bool { return c.fenced }

// WorkingOn returns the id of the job that the core has been working on last, "" if
// there is none. After a panic it is the job that is most likely the cause.
func (c *Core) WorkingOn() string {
	if c.working == nil {
		return ""
	}
	return c.working.sub.GetId()
}

// Submit adds a job of the intake. Later records with the same id are ignored.
func (c *Core) Submit(sub *pb.Submission, now time.Time) {
	if _, known := c.jobs[sub.GetId()]; known {
		return
	}
	j := c.addJob(sub, now)
	c.working = j
	c.followQueue(j)
	c.openDueRounds(j, now)
	c.addLogEntry("job accepted", sub.GetRequestId(), "job", sub.GetId(), "queue", sub.GetQueue(), "steps", len(sub.GetSteps()), "priority", sub.GetPriority())
	if _, cancelled := c.cancelled[sub.GetId()]; cancelled {
		c.finish(j, pb.JobPhase_JOB_PHASE_CANCELLED, "cancelled before its submission was read", now)
	}
	c.markChanged(j)
	c.planDue = true
}

// addJob adds a job without any open round. It returns nil if the job is known.
func (c *Core) addJob(sub *pb.Submission, now time.Time) *job {
	if c.jobs[sub.GetId()] != nil {
		return nil
	}
	j := &job{sub: sub, phase: pb.JobPhase_JOB_PHASE_ACTIVE, received: now, visible: pb.PublicState_PUBLIC_STATE_QUEUED}
	for _, spec := range sub.GetSteps() {
		j.roundTasks += int(spec.GetTasks())
	}
	c.jobs[sub.GetId()] = j
	c.pools[sub.GetService()] = true
	j.pool = sub.GetService()
	if j.roundTasks*j.times() > c.blockTasks {
		j.blocks = newTaskBlocks(c.blockTasks)
	}
	return j
}

// Cancel applies a cancellation of the intake.
func (c *Core) Cancel(id string, now time.Time) {
	j := c.jobs[id]
	if j == nil {
		c.cancelled[id] = cancellation{at: now}
		return
	}
	if j.active() {
		c.finish(j, pb.JobPhase_JOB_PHASE_CANCELLED, "cancelled by its caller", now)
	}
}

// State returns the state of a job as of its newest confirmed record. An id that was
// cancelled and not submitted, so far, is that of no job.
func (c *Core) State(id string) pb.PublicState {
	if j := c.jobs[id]; j != nil {
		return j.visible
	}
	return pb.PublicState_PUBLIC_STATE_UNKNOWN
}

// Waiting returns the number of active jobs that have not started a task, by queue.
func (c *Core) Waiting() map[string]int64 {
	waiting := make(map[string]int64)
	for _, j := range c.jobs {
		if j.active() && !j.begun {
			waiting[j.sub.GetQueue()]++
		}
	}
	return waiting
}

// Tick advances time: it sends due holds, expires leases and runs a placement pass
// if one is due.
func (c *Core) Tick(now time.Time) {
	c.Advance(now)
	if c.PassDue(now) {
		c.Pass(now)
	}
}

// Advance is the part of Tick that sends due holds, expires leases and ends the
// retention of finished jobs.
func (c *Core) Advance(now time.Time) {
	if !c.started || c.fenced {
		return
	}
	c.tickWorkers(now)
	c.endRetention(now)
	c.summarize(now)
	c.checkConsistency(now)
}

// PassDue reports whether a placement pass is due.
func (c *Core) PassDue(now time.Time) bool {
	if !c.started || c.fenced {
		return false
	}
	// While the caller is late, a pass just before may have left best-effort work out.
	return c.planDue && now.Sub(c.plannedAt) >= planPause || now.Sub(c.plannedAt) >= planInterval ||
		c.late && now.Sub(c.bestEffortAt) >= planInterval
}

// SetLate tells the core whether its caller is late with its inputs. While it is,
// best-effort work is placed every planInterval only, so that the passes between are
// shorter and urgent work starts sooner.
func (c *Core) SetLate(late bool) { c.late = late }

// Pass is the part of Tick that runs a placement pass.
func (c *Core) Pass(now time.Time) {
	c.planDue = false
	c.plannedAt = now
	c.plan(now)
}

// planInterval is the longest time between two placement passes. The end of a
// quarantine or of a retry delay makes a placement possible without any input.
const planInterval = 100 * time.Millisecond

// planPause is the shortest time between two placement passes. Hundreds of
// attempts end each second, and one pass serves all that ended since the last.
const planPause = 15 * time.Millisecond

// TakeOutput returns and clears what can be carried out without a record.
func (c *Core) TakeOutput() Output {
	out := c.out
	c.out = Output{}
	return out
}

// finish ends a job and stops its attempts.
func (c *Core) finish(j *job, phase pb.JobPhase, reason string, now time.Time) {
	if !j.active() {
		return
	}
	c.working = j
	j.phase, j.endedAt = phase, now
	c.finished = append(c.finished, j)
	c.markChanged(j)
	c.addLogEntry("job ends", j.sub.GetRequestId(), "job", j.sub.GetId(), "phase", phase.String(), "why", reason, "age_ms", now.Sub(j.received).Milliseconds())
	for _, r := range j.rounds {
		for _, s := range r.steps {
			for _, t := range s.tasks {
				for _, a := range t.attempts {
					c.stop(a, "the job has ended", now)
				}
			}
		}
	}
	j.closeRounds()
}

// addLogEntry adds an entry to the output for the log.
func (c *Core) addLogEntry(event, requestID string, fields ...any) {
	c.out.LogEntries = append(c.out.LogEntries, LogEntry{Event: event, RequestID: requestID, Fields: fields})
}

func errorText(r CommandResult) string {
	if r.Err != nil {
		return r.Err.Error()
	}
	return "refused: " + r.Refused.String()
}
