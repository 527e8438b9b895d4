package scheduler

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
	"time"
)

// The memory of a job follows what of it is due and not done, whatever it asks for in
// all: a round is opened when it is due and closed when it is done, and a step has only
// as many open tasks as placement passes need. What is not open costs nothing.

const (
	// openTasks is the number of tasks of a step that are opened at a time. Gangs are
	// opened as a whole.
	openTasks = 32
	// maxWaitingSteps limits the steps of a job's open rounds that have waiting tasks.
	// While there are as many, no further round is opened.
	maxWaitingSteps = 256
	// openRetry is the pause after which it is checked again whether a round that is due
	// may be opened.
	openRetry = 100 * time.Millisecond
)

// upcomingRounds is a heap of the jobs with rounds that are not open, by the time at which
// the next of them is to be opened.
type upcomingRounds []*job

func (u upcomingRounds) Len() int           { return len(u) }
func (u upcomingRounds) Less(a, b int) bool { return u[a].opensAt.Before(u[b].opensAt) }
func (u upcomingRounds) Swap(a, b int)      { u[a], u[b] = u[b], u[a] }

// Push implements heap.Interface.
func (u *upcomingRounds) Push(j any) { *u = append(*u, j.(*job)) }

// Pop implements heap.Interface.
func (u *upcomingRounds) Pop() any {
	last := len(*u) - 1
	j := (*u)[last]
	(*u)[last] = nil
	*u = (*u)[:last]
	return j
}

// openUpcomingRounds opens the rounds that are due.
func (c *Core) openUpcomingRounds(now time.Time) {
	for len(c.upcoming) > 0 && !c.upcoming[0].opensAt.After(now) {
		c.openDueRounds(heap.Pop(&c.upcoming).(*job), now)
	}
}

// openDueRounds opens the rounds of a job that are due, and schedules the opening of the
// next one.
func (c *Core) openDueRounds(j *job, now time.Time) {
	if !j.active() {
		return
	}
	waiting := j.waitingSteps()
	for j.nextRound < j.times() {
		j.opensAt = j.dueAt(j.nextRound)
		if !now.Before(j.opensAt) && waiting >= maxWaitingSteps {
			j.opensAt = now.Add(openRetry)
		}
		if now.Before(j.opensAt) {
			heap.Push(&c.upcoming, j)
			return
		}
		c.openNextRound(j)
		waiting += len(j.sub.GetSteps())
	}
}

// openNextRound opens the first round of a job that has not been opened.
func (c *Core) openNextRound(j *job) *round {
	r := c.newRound(j, j.nextRound)
	j.nextRound++
	j.rounds = append(j.rounds, r)
	c.blocked = append(c.blocked, r.steps...)
	return r
}

// newRound returns a round without open tasks.
func (c *Core) newRound(j *job, number int) *round {
	r := &round{job: j, number: number, due: j.dueAt(number)}
	first := number * j.roundTasks
	for i, spec := range j.sub.GetSteps() {
		s := &step{
			round: r, index: i, first: first, spec: spec, unfinished: int(spec.GetTasks()), waiting: int(spec.GetTasks()),
			size: Resources{spec.GetCpuMilli(), spec.GetMemoryMib(), spec.GetAccelerators()},
		}
		first += s.count()
		s.role = c.roleOf(s)
		r.steps = append(r.steps, s)
	}
	return r
}

// times returns the number of rounds of a job.
func (j *job) times() int { return max(int(j.sub.GetTimes()), 1) }

// dueAt converts the wall-clock start time of a round to the monotonic clock of the time
// at which the job was received.
func (j *job) dueAt(n int) time.Time {
	if j.sub.GetTimes() == 0 {
		return j.received
	}
	first, interval := j.sub.GetFirstAtMs(), j.sub.GetIntervalMs()
	if n > 0 && interval > (math.MaxInt64-first)/int64(n) {
		first, interval = math.MaxInt64, 0
	}
	due := time.UnixMilli(first + int64(n)*interval)
	return j.received.Add(due.Sub(j.received.Round(0)))
}

// waitingSteps returns the number of steps of open rounds that have waiting tasks.
func (j *job) waitingSteps() int {
	n := 0
	for _, r := range j.rounds {
		for _, s := range r.steps {
			if s.waiting > 0 {
				n++
			}
		}
	}
	return n
}

// findRound returns the position of an open round, and where it would be if it is not open.
func (j *job) findRound(number int) (int, bool) {
	return slices.BinarySearchFunc(j.rounds, number, func(r *round, n int) int { return cmp.Compare(r.number, n) })
}

// roundByNumber returns the open round with a number, nil if there is none.
func (j *job) roundByNumber(number int) *round {
	if n, found := j.findRound(number); found {
		return j.rounds[n]
	}
	return nil
}

// closeRounds closes the rounds without attempts that are done, or all rounds without
// attempts if the job has ended.
func (j *job) closeRounds() {
	j.rounds = slices.DeleteFunc(j.rounds, func(r *round) bool {
		over := r.attempts == 0 && (r.done || !j.active())
		if over && j.blocks != nil {
			j.blocks.markRound(j, r.number)
		}
		return over
	})
}

// count returns the number of tasks of a step.
func (s *step) count() int { return int(s.spec.GetTasks()) }

// findTask returns the position of an open task, and where it would be if it is not open.
func (s *step) findTask(index int) (int, bool) {
	return slices.BinarySearchFunc(s.tasks, index, func(t *task, n int) int { return cmp.Compare(t.index, n) })
}

// taskByIndex returns the open task with an index, nil if there is none.
func (s *step) taskByIndex(index int) *task {
	if n, found := s.findTask(index); found {
		return s.tasks[n]
	}
	return nil
}

// openMore opens further tasks unless the one opened last has never had an attempt, so
// that a step with tasks that are not open always has an open one like them.
func (s *step) openMore() {
	if n := len(s.tasks); n > 0 {
		if last := s.tasks[n-1]; last.index == s.nextTask-1 && !last.done && last.lastAttempt == 0 {
			return
		}
	}
	if s.spec.GetGang() {
		s.openUntil(s.count())
		return
	}
	s.openUntil(min(s.nextTask+openTasks, s.count()))
}

// openUntil opens the tasks below an index.
func (s *step) openUntil(end int) {
	for s.nextTask < end {
		s.tasks = append(s.tasks, &task{step: s, index: s.nextTask, waitedBefore: s.waitedBefore})
		s.nextTask++
	}
}

// closeIfOver closes a task that is done and has no attempts, and its round if that is
// over. The tasks of a gang are closed with their round.
func (t *task) closeIfOver() {
	s := t.step
	if t.done && !t.assigned() && !s.spec.GetGang() {
		if n, found := s.findTask(t.index); found && s.tasks[n] == t {
			s.tasks = slices.Delete(s.tasks, n, n+1)
		}
		if t.servedAt.After(s.servedAt) {
			s.servedAt = t.servedAt
		}
	}
	if s.round.attempts == 0 && (s.round.done || !s.round.job.active()) {
		s.round.job.closeRounds()
	}
}

// reopenTask returns the task of an attempt that a worker lists. If the task is closed
// because it or its job is over, it is opened again until the attempt has ended. It
// returns nil if the job has no such task or has not opened it yet.
func (c *Core) reopenTask(j *job, id AttemptID) *task {
	if t := j.taskOf(id); t != nil {
		return t
	}
	steps := j.sub.GetSteps()
	if id.Round < 0 || id.Round >= j.times() || id.Step < 0 || id.Step >= len(steps) || id.Task < 0 || id.Task >= int(steps[id.Step].GetTasks()) {
		return nil
	}
	if j.setAside || id.Round >= j.nextRound && j.active() {
		return nil
	}
	n, found := j.findRound(id.Round)
	if !found {
		r := c.newRound(j, id.Round)
		r.done = true
		for _, s := range r.steps {
			s.restoreDone()
		}
		j.rounds = slices.Insert(j.rounds, n, r)
	}
	s := j.rounds[n].steps[id.Step]
	if id.Task >= s.nextTask {
		s.openUntil(id.Task + 1)
		return s.taskByIndex(id.Task)
	}
	n, _ = s.findTask(id.Task)
	t := &task{step: s, index: id.Task, done: true}
	s.tasks = slices.Insert(s.tasks, n, t)
	return t
}
