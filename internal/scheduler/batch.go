package scheduler

import (
	"slices"
	"time"

	"gooseberryreel/internal/pb"
)

// Batch is the state that has to be recorded before the commands that follow from
// it are sent.
type Batch struct {
	Jobs []JobRecord
	// Interference is the learned interference model, nil if no snapshot is due.
	Interference *pb.StoredPairs
	// Removed are the keys of records to be removed: states of expired jobs and
	// leftovers. They go before the other records.
	Removed []string
	// Rejected are the ids of jobs whose record the store has rejected for good. The
	// caller sets them before it calls Committed.
	Rejected []string
	// LeaseBounds replace those in the owner's record if LeaseBoundsTaken reports so.
	LeaseBounds []LeaseBound

	starts  []*attempt
	cursors []workerCursor
	visible []visibleState

	leaseBoundsTaken bool
	lifted           []*worker // whose bounds this batch removes
}

// Empty reports whether there is nothing to record.
func (b *Batch) Empty() bool {
	return len(b.Jobs) == 0 && len(b.Removed) == 0 && len(b.cursors) == 0 && b.Interference == nil && !b.leaseBoundsTaken
}

// workerCursor is the newest end of a worker that a batch covers. Once the batch is
// recorded, the worker may discard the ends up to it.
type workerCursor struct {
	worker      *worker
	incarnation int64 // of the worker whose ends it counts
	cursor      int64
}

// visibleState is the state of a job that callers are shown once the batch is
// recorded.
type visibleState struct {
	job   *job
	state pb.PublicState
}

// modelInterval is the shortest time between two records of the interference
// model.
const modelInterval = 2 * time.Second

// TakeBatch returns and clears what has to be recorded.
func (c *Core) TakeBatch(now time.Time) *Batch {
	b := &Batch{Removed: c.removed, starts: c.starts, cursors: c.cursors}
	if now.Sub(c.modelRecordedAt) >= modelInterval && c.model.Version() != c.modelVersion {
		c.modelRecordedAt, c.modelVersion = now, c.model.Version()
		b.Interference = c.model.Snapshot()
	}
	for _, j := range c.changed {
		j.changed = false
		if c.jobs[j.sub.GetId()] != j {
			continue
		}
		b.Jobs = append(b.Jobs, j.record())
		b.visible = append(b.visible, visibleState{j, j.state()})
	}
	c.changed, c.removed, c.starts, c.cursors = nil, nil, nil, nil
	c.takeLeaseBounds(b, now)
	return b
}

// Committed handles the confirmation of a batch by the store. The commands that
// it allows are returned by the next TakeOutput.
func (c *Core) Committed(b *Batch, now time.Time) {
	c.reject(b.Rejected, now)
	c.liftLeaseBounds(b.lifted, now)
	for _, v := range b.visible {
		if v.job.visible != v.state && !slices.Contains(b.Rejected, v.job.sub.GetId()) {
			v.job.visible = v.state
			c.addLogEntry("job "+stateName(v.state), v.job.sub.GetRequestId(), "job", v.job.sub.GetId(), "age_ms", now.Sub(v.job.received).Milliseconds(), "starts", v.job.starts.String())
		}
	}
	c.withholdIncompleteGangs(b.starts, now)
	for _, a := range b.starts {
		c.sendStart(a, now)
	}
	for _, w := range b.cursors {
		if w.incarnation != w.worker.incarnation {
			continue
		}
		w.worker.cursor = max(w.worker.cursor, w.cursor)
		if w.worker.cursor >= w.worker.processed {
			w.worker.nextHold = now
			c.visitSoon(w.worker)
		}
	}
	c.tickWorkers(now)
}

// reject ends jobs whose state the store does not take. What remains to be recorded of
// them has a constant size.
func (c *Core) reject(ids []string, now time.Time) {
	for _, id := range ids {
		j := c.jobs[id]
		if j == nil || j.unstorable {
			continue
		}
		j.unstorable = true
		c.finish(j, pb.JobPhase_JOB_PHASE_FAILED, "the store rejects the record of its state", now)
		c.markChanged(j)
	}
}

func stateName(s pb.PublicState) string {
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

// markChanged adds a job to the next batch.
func (c *Core) markChanged(j *job) {
	if !j.changed {
		j.changed = true
		c.changed = append(c.changed, j)
	}
}
