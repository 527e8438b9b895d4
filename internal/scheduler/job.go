package scheduler

import (
	"time"

	"gooseberryreel/internal/interference"
	"gooseberryreel/internal/pb"
)

// job is a submitted job and the state of its rounds.
type job struct {
	sub      *pb.Submission
	phase    pb.JobPhase
	begun    bool // a worker is known to have run one of its tasks
	starts   startCounts
	received time.Time
	endedAt  time.Time
	// rounds are the open ones, in the order of their numbers. All others below nextRound
	// are done.
	rounds     []*round
	nextRound  int       // number of the first round that has not been opened
	roundTasks int       // tasks of each round
	opensAt    time.Time // see upcomingRounds
	attempts   int       // at its tasks that may be active
	lastEnd    time.Time // of an attempt
	// idleBefore is for how long a task had waited at the takeover of this owner.
	idleBefore time.Duration
	// visible is the state that callers are shown: that of the newest confirmed
	// record.
	visible  pb.PublicState
	changed  bool        // has changes that are in no batch yet
	pool     string      // of its queue in the newest configuration that had it
	accepted *Queue      // the policy of the queue when the job was accepted, see queue
	blocks   *taskBlocks // nil if the tasks are recorded with the job
	setAside bool        // see Core.SetAside
	// unstorable is set if the store has rejected the job's record.
	unstorable bool
}

// round is one scheduled execution of a job's steps. A job without a schedule has
// one round.
type round struct {
	job    *job
	number int
	due    time.Time
	steps  []*step
	done   bool
	// attempts counts those at its tasks that may be active.
	attempts int
}

// step is a set of tasks with equal specifications.
type step struct {
	round *round
	index int
	first int // number of the first task among all of the job
	spec  *pb.StepSpec
	size  Resources // requested by each task
	role  role
	// tasks are the open ones, in the order of their indexes. All others below nextTask are
	// done and have no attempts.
	tasks      []*task
	nextTask   int // index of the first task that has not been opened
	unfinished int // tasks that are not done
	waiting    int // tasks that are neither done nor assigned to a worker
	readyAt    time.Time
	servedAt   time.Time // latest of the tasks that are not open any more, see task
	// waitedBefore is that of tasks that are opened later, see task.
	waitedBefore time.Duration
	heldBack     bool // a start was held back for urgent short work, see holdsBack
	schedule     schedule
	advice       *advice
	near         nearStep
	noRoom       noRoom
	// overcommitted counts the attempts that were started without free CPU and still run
	// at a reduced speed.
	overcommitted int
	overcommitAt  time.Time // until then no worker is searched for an overcommitted task
	// explainedAt is when it was last logged why tasks of the step wait.
	explainedAt time.Time
}

// task is one task of a step.
type task struct {
	step        *step
	index       int
	done        bool
	lastAttempt int // number of the newest attempt
	failures    int
	failedRuns  []int // numbers of the failed attempts
	checkpoint  string
	crashes     []crash // since the task last outlived the earlier ones
	// limitedStarts counts the starts sent since limitedCrashes workers have crashed.
	limitedStarts int
	attempts      []*attempt // attempts that may be active on a worker
	// avoid is the id of the worker on which the task last failed, stalled, was
	// refused or was evicted.
	avoid string
	// notBefore is the earliest time of the next attempt after a failure.
	notBefore time.Time
	endedAt   time.Time // of the newest attempt
	lostAt    time.Time // when its loss was handled, zero if it was not lost
	// servedAt is the end of the newest attempt that was not overcommitted.
	servedAt time.Time
	// waitedBefore is for how long the task had waited when this owner learned that it
	// waits, zero if an attempt has ended since.
	waitedBefore time.Duration
	evictions    int // by relieve, see maxEvictions
	stalls       int // attempts that were stopped since they made no progress
	near         nearWait
	copied       bool // a second attempt was started beside another
}

// attempt is an execution of a task that may be active on a worker.
type attempt struct {
	task      *task
	attemptID AttemptID
	worker    *worker

	// durationUsable is set if the task began without a checkpoint and was never
	// throttled. Only then is its duration used to correct estimates.
	durationUsable bool
	slowdown       float64 // by its distance from its data or its gang, see slowdownOf
	recorded       bool    // the store has confirmed its record
	restored       bool    // an earlier owner placed it
	placedAt       time.Time
	incarnation    int64     // of the worker when the attempt was placed, zero if unknown
	sentAt         time.Time // when the start was sent
	limited        bool      // its start counts in limitedStarts
	// startLease is the lease that the start carries, zero if it is not known or if the
	// worker has restarted since, with another clock.
	startLease  time.Duration
	startedAt   time.Time // when the start was answered, zero while it may be in flight
	seenAt      time.Time // when the worker first listed it
	listedIn    int64     // number of the worker's newest answer that listed it
	stopReason  string    // why it is being stopped, empty while it may run
	stopSentAt  time.Time // when the newest stop was sent
	stopPending bool      // a stop is on its way, or waits to be sent
	stoppedAt   time.Time // when a stop was answered
	loss        lossCause // why it counts as lost, empty otherwise
	crash       *crash    // of its worker, nil unless the worker was lost under it
	trial       bool      // its task was a suspect when it was placed
	copy        bool      // another attempt at its task was active when it was placed

	// knownClock is the worker's clock in its newest answer to a start or a stop of the
	// attempt, or that listed it.
	knownClock time.Duration

	progress   int       // as reported by the worker, see ActiveAttempt
	progressAt time.Time // newest change of progress
	measured   int64     // see ActiveAttempt
	measuredAt time.Time

	reading        progressReading      // for the speed of its worker
	speed          int                  // wanted speed of a filler in percent
	speedSetAt     time.Time            // when it was last changed
	confirmedSpeed int                  // speed that the worker has confirmed
	speedPending   bool                 // a throttle command is in flight
	speedUnknown   bool                 // the newest throttle command was not answered
	lateUntil      time.Time            // until when an unanswered throttle command may be carried out
	overrun        interference.Overrun // of a service
	// overAlone is set if a service missed its target when it was last measured without
	// fillers beside it.
	overAlone bool
	// overcommitted is set while a filler that was started without free CPU has not
	// reached full speed.
	overcommitted bool
	load          interference.LoadEstimate // of a service
}

func (s *step) longRunning() bool { return s.spec.GetLasting() }
func (t *task) assigned() bool    { return len(t.attempts) > 0 }
func (a *attempt) step() *step    { return a.task.step }
func (a *attempt) job() *job      { return a.task.step.round.job }

// idOfAttempt returns the id of the task's attempt with a number.
func (t *task) idOfAttempt(number int) AttemptID {
	return AttemptID{Job: t.step.round.job.sub.GetId(), Round: t.step.round.number, Step: t.step.index, Task: t.index, Number: number}
}

// mayStart reports whether a step is due and all steps that it depends on are done.
func (s *step) mayStart(now time.Time) bool {
	if now.Before(s.round.due) {
		return false
	}
	for _, earlier := range s.spec.GetAfter() {
		if s.round.steps[earlier].unfinished > 0 {
			return false
		}
	}
	return true
}

// starved reports whether a step has been ready for longer than fillerStarvation
// without an attempt at any of its tasks, apart from overcommitted ones.
func (s *step) starved(now time.Time) bool {
	since := s.readyAt
	if s.servedAt.After(since) {
		since = s.servedAt
	}
	for _, t := range s.tasks {
		for _, a := range t.attempts {
			if !a.overcommitted {
				return false
			}
		}
		if t.servedAt.After(since) {
			since = t.servedAt
		}
	}
	return now.Sub(since) > fillerStarvation
}

// state returns the state that callers are shown once it is recorded.
func (j *job) state() pb.PublicState {
	switch j.phase {
	case pb.JobPhase_JOB_PHASE_COMPLETED:
		return pb.PublicState_PUBLIC_STATE_COMPLETED
	case pb.JobPhase_JOB_PHASE_FAILED:
		return pb.PublicState_PUBLIC_STATE_FAILED
	case pb.JobPhase_JOB_PHASE_CANCELLED:
		return pb.PublicState_PUBLIC_STATE_CANCELLED
	}
	if j.begun {
		return pb.PublicState_PUBLIC_STATE_RUNNING
	}
	return pb.PublicState_PUBLIC_STATE_QUEUED
}

func (j *job) active() bool { return j.phase == pb.JobPhase_JOB_PHASE_ACTIVE }

// taskOf returns the open task of an attempt, nil if there is none.
func (j *job) taskOf(id AttemptID) *task {
	s := j.stepByNumber(id.Round, id.Step)
	if s == nil {
		return nil
	}
	return s.taskByIndex(id.Task)
}

// stepByNumber returns a step of an open round, nil if there is none.
func (j *job) stepByNumber(round, index int) *step {
	r := j.roundByNumber(round)
	if r == nil || index < 0 || index >= len(r.steps) {
		return nil
	}
	return r.steps[index]
}
