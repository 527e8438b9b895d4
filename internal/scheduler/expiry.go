package scheduler

import (
	"slices"
	"time"

	"gooseberryreel/internal/pb"
)

// A job whose retention is over leaves the store in two steps: first its records in the
// intake, then its state. A submission without a state is a new job, so the state must
// be the last to go. The core keeps the job until the first step is confirmed.

// restoredClockError bounds how far the clocks of two machines may differ, so that the
// state of a job is kept for at least the retention although another owner recorded when
// it ended.
const restoredClockError = 15 * time.Second

// cancellation is a cancellation that arrived before its job.
type cancellation struct {
	at      time.Time
	expired bool
}

// endRetention queues the finished jobs without attempts, and the cancellations that arrived
// before their jobs, whose retention is over.
func (c *Core) endRetention(now time.Time) {
	over := 0
	for over < len(c.finished) && now.Sub(c.finished[over].endedAt) > c.opts.Retention {
		over++
	}
	if over > 0 {
		kept := slices.DeleteFunc(slices.Clone(c.finished[:over]), func(j *job) bool {
			if j.hasAttempts() {
				return false
			}
			c.out.Expired = append(c.out.Expired, j.sub.GetId())
			return true
		})
		c.finished = slices.Replace(c.finished, 0, over, kept...)
	}
	for id, cancelled := range c.cancelled {
		if !cancelled.expired && now.Sub(cancelled.at) > c.opts.Retention {
			c.cancelled[id] = cancellation{cancelled.at, true}
			c.out.Expired = append(c.out.Expired, id)
		}
	}
}

// IntakeDeleted handles the confirmation that the intake holds no record of expired
// jobs any more. Their states are removed with the next batch.
func (c *Core) IntakeDeleted(ids []string) {
	for _, id := range ids {
		delete(c.cancelled, id)
		if j := c.jobs[id]; j != nil && !j.active() {
			delete(c.jobs, id)
			c.RemoveState(id)
		}
	}
}

// RemoveState removes the record with a key, which no job refers to any more, with the
// next batch.
func (c *Core) RemoveState(key string) { c.removed = append(c.removed, key) }

// restoreEnd sets when a job of an earlier owner ended.
func (c *Core) restoreEnd(j *job, stored *pb.StoredJob, now time.Time) {
	age := now.Sub(time.UnixMilli(stored.GetEndedMs())) - restoredClockError
	j.endedAt = now.Add(-min(max(age, 0), c.opts.Retention))
	c.finished = append(c.finished, j)
}

// sortFinished orders the restored finished jobs, oldest first.
func (c *Core) sortFinished() {
	slices.SortStableFunc(c.finished, func(a, b *job) int { return a.endedAt.Compare(b.endedAt) })
}
