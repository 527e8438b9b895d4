package scheduler

import (
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"gooseberryreel/internal/pb"
)

// commit records batches with a delay of one step.
func (sim *simulation) commit() {
	if sim.committing != nil && !sim.now.Before(sim.commitAt) {
		b := sim.committing
		sim.committing = nil
		for _, key := range b.Removed {
			delete(sim.recorded, key)
		}
		for _, j := range b.Jobs {
			sim.store(j)
		}
		sim.storeLeaseBounds(b)
		sim.measure(func() { sim.core.Committed(b, sim.now) })
	}
	if sim.committing == nil {
		var b *Batch
		sim.measure(func() { b = sim.core.TakeBatch(sim.now) })
		if !b.Empty() {
			sim.committing, sim.commitAt = b, sim.now.Add(simStep+sim.commitDelay)
		}
	}
}

// storeWrites returns the writes that store the record of a job, in their order.
func (sim *simulation) storeWrites(r JobRecord) []func() {
	id := r.State.GetId()
	stored := func() *JobRecord {
		if sim.recorded[id] == nil {
			sim.recorded[id] = &JobRecord{Blocks: make(map[int]*pb.StoredTaskBlock)}
		}
		return sim.recorded[id]
	}
	var writes, removals []func()
	for _, number := range slices.Sorted(maps.Keys(r.Blocks)) {
		block := r.Blocks[number]
		if block == nil {
			removals = append(removals, func() { delete(stored().Blocks, number) })
			continue
		}
		writes = append(writes, func() { stored().Blocks[number] = proto.CloneOf(block) })
	}
	writes = append(writes, func() { stored().State = proto.CloneOf(r.State) })
	return append(writes, removals...)
}

func (sim *simulation) store(r JobRecord) {
	for _, write := range sim.storeWrites(r) {
		write()
	}
}

// storePart stores the first part of the batch that is being committed, up to a random
// write, if jobs are recorded in blocks.
func (sim *simulation) storePart() {
	if sim.committing == nil || sim.blockTasks == 0 {
		return
	}
	var writes []func()
	for _, r := range sim.committing.Jobs {
		writes = append(writes, sim.storeWrites(r)...)
	}
	for _, write := range writes[:sim.rng.IntN(len(writes)+1)] {
		write()
	}
	for _, r := range sim.recorded {
		if !r.State.GetSplit() {
			clear(r.Blocks) // the next owner removes them before it writes others
		}
	}
}

// restoreJobs restores the recorded jobs in a new owner's core.
func (sim *simulation) restoreJobs() {
	submitted := make(map[string]bool)
	for _, sub := range sim.subs {
		submitted[sub.GetId()] = true
		sim.core.Restore(sub, sim.recorded[sub.GetId()], sim.now)
	}
	for id := range sim.recorded {
		if !submitted[id] {
			sim.core.RemoveState(id)
		}
	}
}

// deleteExpired deletes the submission of the first expired job from the intake, and
// confirms it one step later.
func (sim *simulation) deleteExpired() {
	if sim.intakeDown || len(sim.expired) == 0 {
		return
	}
	id, core := sim.expired[0], sim.core
	sim.expired = sim.expired[1:]
	sim.subs = slices.DeleteFunc(sim.subs, func(sub *pb.Submission) bool { return sub.GetId() == id })
	sim.cancels = slices.DeleteFunc(sim.cancels, func(cancelled string) bool { return cancelled == id })
	sim.after(simStep, func() {
		if core == sim.core {
			core.IntakeDeleted([]string{id})
		}
	})
}
