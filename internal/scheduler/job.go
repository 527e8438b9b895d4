package scheduler

import (
	"time"

	"gooseberryreel/internal/interference"
	"gooseberryreel/internal/pb"
)

// job is a submitted job.
type job struct {
	sub      *pb.Submission
	phase    pb.JobPhase
	begun    bool // a task was started
	received time.Time
	endedAt  time.Time
	rounds   []*round
	// visible is the state as of the newest confirmed record.
	visible pb.PublicState
	changed bool // not in the newest batch
}

// round is one scheduled run of a job, or its only one.
type round struct {
	job    *job
	number int
	due    time.Time
	steps  []*step
	done   bool
}

// step is a set of equal tasks.
type step struct {
	round    *round
	index    int
	spec     *pb.StepSpec
	size     Size
	image    int // number of the image in the interference model
	tasks    []*task
	left     int // tasks that are not done
	waiting  int // tasks that are neither done nor present on a worker
	readyAt  time.Time
	schedule schedule
	advice   *advice
}

// task is one task of a step.
type task struct {
	step       *step
	index      int
	done       bool
	run        int // newest attempt
	failures   int
	checkpoint string
	attempts   []*attempt // those that may be running
	// avoid is the worker of the newest attempt that went wrong there.
	avoid string
	// notBefore delays the next attempt of a task that failed.
	notBefore time.Time
	endedAt   time.Time // of the newest attempt
	moves     int       // for its effect on services
}

// attempt is a run of a task that may be present on a worker.
type attempt struct {
	task   *task
	run    Run
	worker *worker

	// whole says that the task worked at full pace and from its beginning.
	whole     bool
	recorded  bool      // its record is confirmed
	sentAt    time.Time // start order handed out
	startedAt time.Time // start order answered, zero if it may still be under way
	seenAt    time.Time // first listed by the worker
	stopWhy   string    // why it is being stopped, empty if it is not
	stopSent  time.Time
	stoppedAt time.Time // stop order answered

	percent    int
	progressAt time.Time // newest change of percent
	metered    int64
	meteredAt  time.Time

	pace     int // wanted
	pacedAt  time.Time
	paceSent int // newest answered
	pacing   bool
	overAt   time.Time // since when the latency target is missed
	load     interference.LoadEstimate
}

func (s *step) last() bool     { return s.spec.GetLasting() }
func (s *step) filler() bool   { return s.spec.GetFiller() }
func (t *task) live() bool     { return len(t.attempts) > 0 }
func (a *attempt) step() *step { return a.task.step }
func (a *attempt) job() *job   { return a.task.step.round.job }

// newRound builds the tasks of a round.
func newRound(j *job, number int, due time.Time) *round {
	r := &round{job: j, number: number, due: due}
	for i, spec := range j.sub.GetSteps() {
		s := &step{
			round: r, index: i, spec: spec, left: int(spec.GetTasks()),
			size: Size{spec.GetCpuMilli(), spec.GetMemoryMib(), spec.GetAccelerators()},
		}
		s.tasks = make([]*task, spec.GetTasks())
		for n := range s.tasks {
			s.tasks[n] = &task{step: s, index: n}
		}
		r.steps = append(r.steps, s)
	}
	return r
}

// runOf names an attempt at a task.
func (t *task) runOf(number int) Run {
	return Run{Job: t.step.round.job.sub.GetId(), Round: t.step.round.number, Step: t.step.index, Task: t.index, Number: number}
}

// mayStart reports whether a step is due and all steps before it are done.
func (s *step) mayStart(now time.Time) bool {
	if now.Before(s.round.due) {
		return false
	}
	for _, earlier := range s.spec.GetAfter() {
		if s.round.steps[earlier].left > 0 {
			return false
		}
	}
	return true
}

// starved reports whether a step could run for some time and nothing of it
// does.
func (s *step) starved(now time.Time) bool {
	since := s.readyAt
	for _, t := range s.tasks {
		if t.live() {
			return false
		}
		if t.endedAt.After(since) {
			since = t.endedAt
		}
	}
	return now.Sub(since) > starvedAfter
}

// state returns what callers are told.
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

// roundNumbered returns a round, nil if it does not exist.
func (j *job) roundNumbered(n int) *round {
	for _, r := range j.rounds {
		if r.number == n {
			return r
		}
	}
	return nil
}

// taskOf returns the task of a run, nil if the job has none such.
func (j *job) taskOf(run Run) *task {
	r := j.roundNumbered(run.Round)
	if r == nil || run.Step < 0 || run.Step >= len(r.steps) {
		return nil
	}
	s := r.steps[run.Step]
	if run.Task < 0 || run.Task >= len(s.tasks) {
		return nil
	}
	return s.tasks[run.Task]
}
