package daemon

import (
	"sync"
	"time"

	"gooseberryreel/internal/scheduler"
	"gooseberryreel/internal/store"
)

const (
	// expiryInterval is how often the records of expired jobs are deleted. Jobs that
	// expire in the meantime share appends.
	expiryInterval = time.Second
	// maxExpiredPerAppend limits the jobs whose records one append deletes.
	maxExpiredPerAppend = 256
)

// expiry holds the expired jobs whose records in the intake are to be deleted.
type expiry struct {
	mu     sync.Mutex
	queued []string
}

func (e *expiry) queue(ids []string) {
	if len(ids) == 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.queued = append(e.queued, ids...)
}

func (e *expiry) take() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	ids := e.queued
	e.queued = nil
	return ids
}

// deletion is the progress of deleting a job's records from the partitions that may
// hold them: the end of each after the deletion, 0 before.
type deletion map[store.Partition]int64

// deleteExpired deletes the records of expired jobs from the intake until the term
// ends. It notifies the core once they are deleted from all partitions and the core has
// applied the partitions up to there: a record that was read before the deletion would
// otherwise be taken for a new job.
func (o *ownerTerm) deleteExpired() {
	pending := make(map[string]deletion)
	for sleep(o.ctx, expiryInterval); o.ctx.Err() == nil; sleep(o.ctx, expiryInterval) {
		for _, id := range o.expiry.take() {
			pending[id] = make(deletion)
			for _, p := range jobPartitions(id, len(o.intakeCursors)) {
				pending[id][p] = 0
			}
		}
		if len(pending) == 0 {
			continue
		}
		o.deleteFromIntake(pending)
		if deleted := o.takeDeleted(pending); len(deleted) > 0 {
			o.post(workCommitted, func(c *scheduler.Core, _ time.Time) { c.IntakeDeleted(deleted) })
		}
	}
}

// deleteFromIntake attempts the deletions that are still to be made. A partition that is
// down does not delay the others.
func (o *ownerTerm) deleteFromIntake(pending map[string]deletion) {
	byPartition := make(map[store.Partition][]string)
	for id, d := range pending {
		for p, end := range d {
			if end == 0 {
				byPartition[p] = append(byPartition[p], id)
			}
		}
	}
	var group sync.WaitGroup
	var mu sync.Mutex
	for p, ids := range byPartition {
		group.Go(func() {
			for len(ids) > 0 {
				n := min(len(ids), maxExpiredPerAppend)
				end, err := o.deletePartition(p, ids[:n])
				if err != nil {
					o.instance.log.WithField("event", "intake delete failed").WithField("partition", p.Number).
						WithField("jobs", len(ids)).WithError(err).Warn("store")
					return
				}
				mu.Lock()
				for _, id := range ids[:n] {
					pending[id][p] = end
				}
				mu.Unlock()
				ids = ids[n:]
			}
		})
	}
	group.Wait()
}

// deletePartition deletes the submissions and cancellations of jobs from a partition
// and returns its end after that.
func (o *ownerTerm) deletePartition(p store.Partition, ids []string) (int64, error) {
	records := make([]store.Record, 0, 2*len(ids))
	for _, id := range ids {
		records = append(records, store.Record{Key: id}, store.Record{Key: cancelPrefix + id})
	}
	return o.instance.store.Append(o.ctx, p, records, store.AppendOptions{})
}

// takeDeleted removes the jobs whose deletion is complete and applied, and returns
// their ids.
func (o *ownerTerm) takeDeleted(pending map[string]deletion) []string {
	var ids []string
	for id, d := range pending {
		complete := true
		for p, end := range d {
			complete = complete && end > 0 && o.cursor(p) >= end
		}
		if complete {
			ids = append(ids, id)
			delete(pending, id)
		}
	}
	return ids
}
