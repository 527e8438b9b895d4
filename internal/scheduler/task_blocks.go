package scheduler

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"gooseberryreel/internal/pb"
)

// The store limits the size of a record. A job with many tasks is therefore recorded as
// its own state and blocks of tasks, and a batch holds only the blocks that changed.
// Blocks precede the state of their job in a batch. A batch that is stored in part is
// harmless: nothing that it allows has been sent, and repairRestored completes what the
// state of the job lacks.

// defaultBlockTasks is the number of tasks in a block, and the largest number that a job
// may have to be recorded without blocks.
const defaultBlockTasks = 128

// JobRecord is the stored state of a job, or what changed of it.
type JobRecord struct {
	State *pb.StoredJob
	// Blocks are the blocks of tasks by number. In a batch they are those that changed,
	// and nil for a block to be removed.
	Blocks map[int]*pb.StoredTaskBlock
}

// taskBlocks tracks which blocks of a job's tasks have changed.
type taskBlocks struct {
	size    int          // tasks in a block
	changed map[int]bool // since the newest batch
	stored  map[int]bool // have been recorded
}

func newTaskBlocks(size int) *taskBlocks {
	return &taskBlocks{size: size, changed: make(map[int]bool), stored: make(map[int]bool)}
}

// markTaskChanged adds the state of a task to the next batch.
func (c *Core) markTaskChanged(t *task) {
	j := t.step.round.job
	if j.blocks != nil {
		j.blocks.changed[(t.step.first+t.index)/j.blocks.size] = true
	}
	c.markChanged(j)
}

// markRound adds the stored blocks with tasks of a round to the next batch.
func (b *taskBlocks) markRound(j *job, number int) {
	first := number * j.roundTasks
	for n := first / b.size; n*b.size < first+j.roundTasks; n++ {
		if b.stored[n] {
			b.changed[n] = true
		}
	}
}

// eachTask calls f for the tasks of a block in their order, with the step of the task if
// its round is open and nil otherwise.
func (b *taskBlocks) eachTask(j *job, number int, f func(s *step, index int)) {
	from, to := number*b.size, min((number+1)*b.size, j.roundTasks*j.times())
	for i := from; i < to; {
		r := j.roundByNumber(i / j.roundTasks)
		if r == nil {
			for next := min((i/j.roundTasks+1)*j.roundTasks, to); i < next; i++ {
				f(nil, 0)
			}
			continue
		}
		for _, s := range r.steps {
			for ; i >= s.first && i < min(s.first+s.count(), to); i++ {
				f(s, i-s.first)
			}
		}
	}
}

// record returns the stored form of a block, nil if it has no task of an open round.
func (b *taskBlocks) record(j *job, number int) *pb.StoredTaskBlock {
	// A round that is not opened yet has tasks to do, which the block leaves untouched.
	block, open, done := &pb.StoredTaskBlock{}, false, min((number+1)*b.size, j.roundTasks*j.times()) <= j.nextRound*j.roundTasks
	b.eachTask(j, number, func(s *step, index int) {
		t := &pb.StoredTask{}
		if s != nil {
			open, t = true, s.recordTask(index)
			done = done && t.GetDone() && len(t.GetAttempts()) == 0
		}
		block.Tasks = append(block.Tasks, t)
	})
	switch {
	case !open:
		return nil
	case done:
		return &pb.StoredTaskBlock{Done: true}
	default:
		return block
	}
}

// take returns and clears the changed blocks.
func (b *taskBlocks) take(j *job) map[int]*pb.StoredTaskBlock {
	out := make(map[int]*pb.StoredTaskBlock, len(b.changed))
	for number := range b.changed {
		block := b.record(j, number)
		if block == nil && !b.stored[number] {
			continue
		}
		out[number] = block
		if block != nil {
			b.stored[number] = true
		} else {
			delete(b.stored, number)
		}
	}
	clear(b.changed)
	return out
}

// takeAll returns the removal of all stored blocks.
func (b *taskBlocks) takeAll() map[int]*pb.StoredTaskBlock {
	out := make(map[int]*pb.StoredTaskBlock, len(b.stored))
	for number := range b.stored {
		out[number] = nil
	}
	clear(b.changed)
	clear(b.stored)
	return out
}

// restoreBlocks restores the tasks of a job that was recorded in blocks.
func (c *Core) restoreBlocks(j *job, stored map[int]*pb.StoredTaskBlock, now time.Time) {
	if j.blocks == nil {
		return // the submission has fewer tasks
	}
	for _, number := range slices.Sorted(maps.Keys(stored)) {
		block := stored[number]
		j.blocks.stored[number] = true
		i, open := 0, false
		j.blocks.eachTask(j, number, func(s *step, index int) {
			switch {
			case s == nil:
			case block.GetDone():
				c.restoreTask(s, index, &pb.StoredTask{Done: true}, now)
			case i < len(block.GetTasks()):
				c.restoreTask(s, index, block.GetTasks()[i], now)
			}
			i, open = i+1, open || s != nil
		})
		if !open {
			j.blocks.changed[number] = true // left by an owner that closed its rounds
			c.markChanged(j)
		}
	}
	for _, r := range j.rounds {
		r.done = !slices.ContainsFunc(r.steps, func(s *step) bool { return s.unfinished > 0 })
	}
}

// restoreOpenRounds opens the rounds that a record contains. Records of earlier versions
// list all rounds or, in blocks, none.
func (c *Core) restoreOpenRounds(j *job, record *JobRecord) {
	open, listed := int(record.State.GetNextRound()), make(map[int]bool)
	for _, r := range record.State.GetRounds() {
		listed[int(r.GetNumber())] = true
	}
	earlier := open == 0
	if earlier {
		for number := range listed {
			open = max(open, number+1)
		}
		for number, block := range record.Blocks {
			for i, t := range block.GetTasks() {
				if proto.Size(t) > 0 && j.blocks != nil {
					open = max(open, (number*j.blocks.size+i)/j.roundTasks+1)
				}
			}
		}
	}
	for number := range min(open, j.times()) {
		if earlier || listed[number] {
			c.openNextRound(j)
		} else {
			j.nextRound++
		}
	}
}

// repairRestored ends a restored job whose tasks call for it although its own state does
// not say so, because only a part of the batch was stored.
func (c *Core) repairRestored(j *job, now time.Time) {
	if j.blocks == nil || !j.active() {
		return
	}
	for _, r := range slices.Clone(j.rounds) {
		for _, s := range r.steps {
			for _, t := range s.tasks {
				c.repairRestoredTask(t, now)
			}
		}
	}
	c.finishIfDone(j, now)
}

func (c *Core) repairRestoredTask(t *task, now time.Time) {
	if t.done {
		return
	}
	if len(t.crashes) >= maxCrashes {
		c.finish(t.step.round.job, pb.JobPhase_JOB_PHASE_FAILED, "a task crashes the workers that start it", now)
	}
	if t.failures > 0 {
		c.failIfExhausted(t, now)
	}
	c.checkLimitedStarts(t, now)
}
