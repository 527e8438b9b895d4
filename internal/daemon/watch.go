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
	// watchWait is how long a read waits for news. A connection that has gone
	// silent is noticed after this time and the timeout of a call.
	watchWait = 1500 * time.Millisecond
	// watchRetry is the pause after a read that failed. It doubles up to
	// watchRetryMax while reads fail: an outage lasts for seconds, and an owner
	// reads many partitions.
	watchRetry    = 150 * time.Millisecond
	watchRetryMax = 600 * time.Millisecond
	// workerPause collects the heartbeats of workers, hundreds a second, which
	// would otherwise wake the read one by one. A worker that leaves is noticed
	// later by this time, of the seconds that it goes on.
	workerPause = 100 * time.Millisecond
)

// watch follows the newest record of each key of a partition until the context
// ends. reset is called with all records at the start and after a gap, change
// for each later record. Reads are at least pause apart.
func (i *Instance) watch(ctx context.Context, p store.Partition, pause time.Duration, reset func([]store.Record), change func(store.Record)) {
	next := int64(-1)
	var retry backoff
	for ctx.Err() == nil {
		var err error
		if next < 0 {
			var records []store.Record
			if records, next, err = i.store.Newest(ctx, p); err == nil {
				reset(records)
			} else {
				next = -1
			}
		} else {
			next, err = i.follow(ctx, p, next, change)
		}
		sleep(ctx, max(retry.after(err), pause))
	}
}

// follow makes one read and returns the next offset, -1 after a gap.
func (i *Instance) follow(ctx context.Context, p store.Partition, next int64, change func(store.Record)) (int64, error) {
	b, err := i.store.Read(ctx, p, next, watchWait)
	if errors.Is(err, store.ErrTrimmed) {
		i.log.WithField("event", "records lost").WithField("topic", p.Topic).WithField("from", next).Warn("store")
		return -1, nil
	}
	if err != nil {
		return next, err
	}
	if b.Unreadable > 0 {
		i.metrics.unreadable.WithLabelValues(p.Topic).Add(float64(b.Unreadable))
		i.log.WithField("event", "unreadable records").WithField("topic", p.Topic).WithField("count", b.Unreadable).Warn("store")
	}
	for _, r := range b.Records {
		change(r)
	}
	return b.Next, nil
}

// backoff is the pause between reads.
type backoff struct{ pause time.Duration }

// after returns the pause after a read with its error.
func (b *backoff) after(err error) time.Duration {
	switch {
	case err == nil:
		b.pause = 0
	case b.pause == 0:
		b.pause = watchRetry
	default:
		b.pause = min(2*b.pause, watchRetryMax)
	}
	return b.pause
}

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

// watchConfig follows the configuration.
func (i *Instance) watchConfig(ctx context.Context) {
	change := func(r store.Record) {
		if r.Key == platform.ConfigKey && len(r.Value) > 0 {
			i.takeConfig(r.Value)
		}
	}
	i.watch(ctx, platform.ConfigTopic, 0, func(records []store.Record) {
		for _, r := range records {
			change(r)
		}
	}, change)
}

func (i *Instance) takeConfig(value []byte) {
	c, err := platform.DecodeConfig(value)
	if err != nil {
		i.metrics.unreadable.WithLabelValues(platform.ConfigTopic.Topic).Inc()
		i.log.WithField("event", "configuration unreadable").WithError(err).Error("configuration")
		return
	}
	if old := i.config.Load(); old != nil && c.Version <= old.Version {
		return
	}
	i.config.Store(c)
	i.metrics.configVersion.Set(float64(c.Version))
	i.log.WithField("event", "configuration in force").WithField("version", c.Version).WithField("queues", len(c.Queues)).Info("configuration")
	if o := i.current(); o != nil {
		o.post(func(core *scheduler.Core, _ time.Time) { core.SetConfig(c) })
	}
}

// watchWorkers follows the entries of the workers for the owner.
func (i *Instance) watchWorkers(ctx context.Context, o *ownership) {
	known := make(map[string]bool)
	apply := func(r store.Record) {
		entry, err := platform.DecodeWorker(r.Key, r.Value)
		if len(r.Value) > 0 && err != nil {
			i.metrics.unreadable.WithLabelValues(platform.WorkerTopic.Topic).Inc()
			i.log.WithField("event", "worker entry unreadable").WithField("worker", r.Key).WithError(err).Warn("store")
		}
		if len(r.Value) == 0 || err != nil {
			delete(known, r.Key)
			o.post(func(c *scheduler.Core, now time.Time) { c.RemoveWorker(r.Key, now) })
			return
		}
		known[r.Key] = true
		o.post(func(c *scheduler.Core, now time.Time) { c.SetWorker(entry, now) })
	}
	i.watch(ctx, platform.WorkerTopic, workerPause, func(records []store.Record) {
		present := make(map[string]bool, len(records))
		for _, r := range records {
			present[r.Key] = true
			apply(r)
		}
		for id := range known {
			if !present[id] {
				apply(store.Record{Key: id})
			}
		}
	}, apply)
}
