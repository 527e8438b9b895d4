package scheduler

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"gooseberryreel/internal/pb"
)

// record returns the stored form of a job's state, of its blocks those that changed.
func (j *job) record() JobRecord {
	r := &pb.StoredJob{Id: j.sub.GetId(), Phase: j.phase, Begun: j.begun}
	if !j.endedAt.IsZero() {
		r.EndedMs = j.endedAt.UnixMilli()
		if j.unstorable || !j.hasAttempts() {
			// The next owner has nothing left to stop or watch.
			if j.blocks != nil {
				return JobRecord{State: r, Blocks: j.blocks.takeAll()}
			}
			return JobRecord{State: r}
		}
	}
	r.NextRound = int32(j.nextRound)
	if j.pool != j.sub.GetService() {
		r.Pool = j.pool
	}
	if j.blocks != nil {
		r.Split = true
		for _, round := range j.rounds {
			r.Rounds = append(r.Rounds, &pb.StoredRound{Number: int32(round.number)})
		}
		return JobRecord{State: r, Blocks: j.blocks.take(j)}
	}
	for _, round := range j.rounds {
		r.Rounds = append(r.Rounds, round.record())
	}
	return JobRecord{State: r}
}

func (r *round) record() *pb.StoredRound {
	out := &pb.StoredRound{Number: int32(r.number), Done: r.done}
	if r.done && !r.hasAttempts() {
		return out
	}
	for _, s := range r.steps {
		stored := &pb.StoredStep{Done: s.unfinished == 0}
		if !stored.Done || s.hasAttempts() {
			for index := range s.count() {
				stored.Tasks = append(stored.Tasks, s.recordTask(index))
			}
		}
		out.Steps = append(out.Steps, stored)
	}
	return out
}

// recordTask returns the stored form of a task, open or not.
func (s *step) recordTask(index int) *pb.StoredTask {
	if t := s.taskByIndex(index); t != nil {
		return t.record()
	}
	return &pb.StoredTask{Done: index < s.nextTask}
}

func (t *task) record() *pb.StoredTask {
	if t.done && !t.assigned() {
		return &pb.StoredTask{Done: true}
	}
	out := &pb.StoredTask{Done: t.done, Run: int32(t.lastAttempt), Failures: int32(t.failures), Crashes: t.recordCrashes()}
	if !t.done {
		out.Checkpoint = t.checkpoint
	}
	if len(t.crashes) >= limitedCrashes {
		ended := t.limitedStarts
		for _, a := range t.attempts {
			if a.limited {
				ended--
			}
		}
		out.LimitedStarts = proto.Int32(int32(max(ended, 0)))
	}
	for _, number := range t.failedRuns {
		out.FailedRuns = append(out.FailedRuns, int32(number))
	}
	for _, a := range t.attempts {
		out.Attempts = append(out.Attempts, &pb.StoredAttempt{
			Run: int32(a.attemptID.Number), Worker: a.worker.id, PlacedMs: a.placedAt.UnixMilli(), Incarnation: a.incarnation, Address: a.worker.entry.Address,
		})
	}
	return out
}

func (j *job) hasAttempts() bool { return j.attempts > 0 }

func (r *round) hasAttempts() bool { return r.attempts > 0 }

func (s *step) hasAttempts() bool { return slices.ContainsFunc(s.tasks, (*task).assigned) }

// Restore adds a job with its stored state, nil if it has none yet. It is called
// before Start for each job of the intake.
func (c *Core) Restore(sub *pb.Submission, record *JobRecord, now time.Time) {
	j := c.addJob(sub, now)
	if j == nil {
		return
	}
	c.working = j
	defer j.restoreWaits(now)
	defer c.openDueRounds(j, now)
	if record == nil || record.State == nil {
		return
	}
	stored := record.State
	j.phase, j.begun = stored.GetPhase(), stored.GetBegun()
	if stored.GetPool() != "" {
		j.pool, c.pools[stored.GetPool()] = stored.GetPool(), true
	}
	if !j.active() {
		c.restoreEnd(j, stored, now)
	}
	c.restoreOpenRounds(j, record)
	if stored.GetSplit() {
		c.restoreBlocks(j, record.Blocks, now)
	} else {
		c.restoreRounds(j, stored, now)
	}
	j.closeRounds()
	j.stopUnwanted(c, now)
	j.visible = j.state()
	c.repairRestored(j, now)
}

// RestoreUnreadable adds a job whose stored state can't be decoded. What of it has run is
// not known, so it can't go on.
func (c *Core) RestoreUnreadable(sub *pb.Submission, now time.Time) {
	if j := c.addJob(sub, now); j != nil {
		c.finish(j, pb.JobPhase_JOB_PHASE_FAILED, "its stored state can't be read", now)
	}
}

// SetAside adds a job under which earlier owners have failed. Nothing of it is restored,
// and what of it still runs is stopped without being tracked.
func (c *Core) SetAside(sub *pb.Submission, record *JobRecord, now time.Time) {
	j := c.addJob(sub, now)
	if j == nil {
		return
	}
	j.setAside = true
	if record != nil && record.State.GetPhase() != pb.JobPhase_JOB_PHASE_ACTIVE && record.State.GetPhase() != pb.JobPhase_JOB_PHASE_UNSPECIFIED {
		j.phase = record.State.GetPhase()
		c.restoreEnd(j, record.State, now)
		j.visible = j.state()
		return
	}
	c.finish(j, pb.JobPhase_JOB_PHASE_FAILED, "owners fail while they work on it", now)
}

// stopUnwanted stops restored attempts of ended jobs and completed tasks that the
// previous owner had not stopped.
func (j *job) stopUnwanted(c *Core, now time.Time) {
	for _, r := range j.rounds {
		for _, s := range r.steps {
			for _, t := range s.tasks {
				for _, a := range t.attempts {
					if !j.active() || t.done {
						c.stop(a, "the job or task had ended before the takeover", now)
					}
				}
			}
		}
	}
}

// restoreRounds restores the tasks of a job that was recorded without blocks. If it is to
// have blocks, an earlier version has recorded it, and all of them are written anew.
func (c *Core) restoreRounds(j *job, stored *pb.StoredJob, now time.Time) {
	for _, r := range stored.GetRounds() {
		c.restoreRound(j, r, now)
	}
	if j.blocks == nil {
		return
	}
	for n := range (j.nextRound*j.roundTasks + j.blocks.size - 1) / j.blocks.size {
		j.blocks.changed[n] = true
	}
	c.markChanged(j)
}

func (c *Core) restoreRound(j *job, stored *pb.StoredRound, now time.Time) {
	r := j.roundByNumber(int(stored.GetNumber()))
	if r == nil {
		return
	}
	r.done = stored.GetDone()
	if r.done && len(stored.GetSteps()) == 0 {
		for _, s := range r.steps {
			s.restoreDone()
		}
		return
	}
	for i, storedStep := range stored.GetSteps() {
		if i >= len(r.steps) {
			break
		}
		s := r.steps[i]
		if storedStep.GetDone() && len(storedStep.GetTasks()) == 0 {
			s.restoreDone()
			continue
		}
		for n, storedTask := range storedStep.GetTasks() {
			c.restoreTask(s, n, storedTask, now)
		}
	}
}

// restoreDone marks all tasks of a step as done.
func (s *step) restoreDone() {
	s.unfinished, s.waiting, s.nextTask, s.tasks = 0, 0, s.count(), nil
}

// restoreTask restores a task with an index. It is called in the order of indexes.
func (c *Core) restoreTask(s *step, index int, stored *pb.StoredTask, now time.Time) {
	if index >= s.count() || proto.Size(stored) == 0 {
		return // untouched
	}
	if s.spec.GetGang() {
		s.openMore()
	}
	s.openUntil(index)
	if index == s.nextTask && stored.GetDone() && len(stored.GetAttempts()) == 0 {
		s.nextTask++
		s.unfinished--
		s.waiting--
		return
	}
	s.openUntil(index + 1)
	t := s.taskByIndex(index)
	t.lastAttempt, t.failures, t.checkpoint = int(stored.GetRun()), int(stored.GetFailures()), stored.GetCheckpoint()
	for _, number := range stored.GetFailedRuns() {
		t.failedRuns = append(t.failedRuns, int(number))
	}
	if !c.disabled.forgetCrashes {
		c.restoreCrashes(t, stored, now)
	}
	if stored.GetDone() {
		t.done = true
		t.step.unfinished--
		t.step.waiting--
	}
	for _, a := range stored.GetAttempts() {
		w := c.worker(a.GetWorker())
		// The previous owner may or may not have sent the start.
		restored := c.addAttempt(t, w, int(a.GetRun()), now)
		restored.recorded, restored.restored, restored.placedAt = true, true, time.UnixMilli(a.GetPlacedMs())
		restored.incarnation = a.GetIncarnation()
		if stored.LimitedStarts != nil {
			t.limitedStarts++
			restored.limited = true
		}
		if t.step.filler() {
			w.fillersSince = time.Time{} // unknown
		}
		if w.entry.Address == "" {
			// The worker's entry may be gone. Whoever answers at its address tells
			// whether the worker is.
			w.entry.Address = a.GetAddress()
		}
	}
}
