package daemon

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"gooseberryreel/internal/scheduler"
	"gooseberryreel/internal/store"
	"gooseberryreel/platform"
)

const (
	// readWait is how long a read waits for records. An unresponsive connection is
	// detected after this time and the timeout of a call.
	readWait = 1500 * time.Millisecond
	// readRetryDelay is the delay after a failed read. It doubles up to
	// maxReadRetryDelay while reads fail: an outage lasts for seconds, and an owner
	// reads many partitions.
	readRetryDelay    = 150 * time.Millisecond
	maxReadRetryDelay = 600 * time.Millisecond
	// workerReadInterval is the shortest time between two reads of worker entries. It
	// batches the heartbeats of workers, hundreds a second, each of which would
	// otherwise complete a read. It delays the detection of a leaving worker by as
	// much, which is short compared with the seconds for which such a worker keeps
	// running.
	workerReadInterval = 100 * time.Millisecond
)

// watch tracks the newest record of each key of a partition until the context
// ends. It calls reset with all records at the start and after records were trimmed
// before they were read, and change for each later record. After each successful read
// it calls read, unless that is nil, with a time up to which all changes have been
// passed on. Reads are at least delay apart.
func (i *Instance) watch(
	ctx context.Context, p store.Partition, delay time.Duration, reset func([]store.Record), change func(store.Record), read func(time.Time),
) {
	next := int64(-1)
	var retry backoff
	for ctx.Err() == nil {
		var err error
		currentAt := time.Now()
		if next < 0 {
			var records []store.Record
			if records, next, err = i.store.Newest(ctx, p); err == nil {
				reset(records)
			} else {
				next = -1
			}
		} else {
			var waited time.Duration
			next, waited, err = i.readOnce(ctx, p, next, change)
			currentAt = currentAt.Add(waited)
		}
		if err == nil && next >= 0 && read != nil {
			read(currentAt)
		}
		sleep(ctx, max(retry.after(err), delay))
	}
}

// readOnce makes one read and returns the next offset, or -1 if the records at next
// have been trimmed, and how long the store has waited in vain for a record.
func (i *Instance) readOnce(ctx context.Context, p store.Partition, next int64, change func(store.Record)) (int64, time.Duration, error) {
	start := time.Now()
	b, err := i.store.Read(ctx, p, next, readWait)
	if errors.Is(err, store.ErrTrimmed) {
		i.log.WithField("event", "records trimmed before read").WithField("topic", p.Topic).WithField("from", next).Warn("store")
		return -1, 0, nil
	}
	if err != nil {
		return next, 0, err
	}
	if b.Unreadable > 0 {
		i.metrics.unreadable.WithLabelValues(p.Topic).Add(float64(b.Unreadable))
		i.log.WithField("event", "records unreadable").WithField("topic", p.Topic).WithField("count", b.Unreadable).Warn("store")
	}
	for _, r := range b.Records {
		change(r)
	}
	if len(b.Records) > 0 || b.Unreadable > 0 {
		return b.Next, 0, nil
	}
	return b.Next, min(time.Since(start), readWait), nil
}

// backoff is the delay between retries of a read.
type backoff struct{ delay time.Duration }

// after returns the delay after a read that returned err, which may be nil.
func (b *backoff) after(err error) time.Duration {
	switch {
	case err == nil:
		b.delay = 0
	case b.delay == 0:
		b.delay = readRetryDelay
	default:
		b.delay = min(2*b.delay, maxReadRetryDelay)
	}
	return b.delay
}

// sleep waits for d or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// watchWorkers passes the entries of the workers to the core until the context
// ends.
func (i *Instance) watchWorkers(ctx context.Context, o *ownerTerm) {
	listed := make(map[string]bool)
	unreadable := make(map[string]bool) // logged once, since entries are written every second
	decoder := platform.NewWorkerDecoder()
	apply := func(r store.Record) {
		if len(r.Value) == 0 {
			decoder.Forget(r.Key)
		}
		entry, changed, err := decoder.Decode(r.Key, r.Value, time.Now())
		if !changed {
			return
		}
		if len(r.Value) > 0 && err != nil {
			i.metrics.unreadable.WithLabelValues(platform.WorkerTopic.Topic).Inc()
			if !unreadable[r.Key] {
				unreadable[r.Key] = true
				i.log.WithField("event", "worker entry unreadable").WithField("worker", r.Key).WithError(err).Warn("store")
			}
		} else {
			delete(unreadable, r.Key)
		}
		if len(r.Value) == 0 || err != nil {
			delete(listed, r.Key)
			o.post(workEntries, func(c *scheduler.Core, now time.Time) { c.RemoveWorker(r.Key, now) })
			return
		}
		listed[r.Key] = true
		o.post(workEntries, func(c *scheduler.Core, now time.Time) { c.SetWorker(entry, now) })
	}
	i.watch(ctx, platform.WorkerTopic, workerReadInterval, func(records []store.Record) {
		decoder = platform.NewWorkerDecoder()
		present := make(map[string]bool, len(records))
		for _, r := range records {
			present[r.Key] = true
			apply(r)
		}
		for id := range listed {
			if !present[id] {
				apply(store.Record{Key: id})
			}
		}
		o.router.ExpectWorkers(len(listed))
	}, apply, func(at time.Time) {
		o.post(workEntries, func(c *scheduler.Core, now time.Time) { c.EntriesRead(at, now) })
	})
}
