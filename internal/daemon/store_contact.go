package daemon

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"gooseberryreel/internal/store"
)

// bootTime returns the time since the machine started. Unlike Go's monotonic
// clock it includes the time that the machine was suspended, so an owner detects
// after a suspension that it may no longer act.
func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0 // not reached: every supported kernel has the clock
	}
	return time.Duration(ts.Nano())
}

// storeContact is the boot time at which the newest call started that the store has
// responded to, or 0 if it has responded to none.
type storeContact struct{ at atomic.Int64 }

// advance sets the time unless a later one is already set.
func (c *storeContact) advance(at time.Duration) {
	for {
		old := c.at.Load()
		if int64(at) <= old || c.at.CompareAndSwap(old, int64(at)) {
			return
		}
	}
}

// age returns the time since the start of the newest call that the store has
// responded to, or the time since the machine started if it has responded to none.
func (c *storeContact) age() time.Duration { return bootTime() - time.Duration(c.at.Load()) }

// established reports whether the store has responded to any call.
func (c *storeContact) established() bool { return c.at.Load() > 0 }

// observedStore wraps a store. It records which calls the store responds to, counts
// calls, and logs when the store becomes unreachable and reachable again.
type observedStore struct {
	next        store.Store
	instance    *Instance
	unreachable atomic.Bool
}

// storeLostDelay is how long the store must not have responded before it is logged
// as lost.
const storeLostDelay = time.Second

func (o *observedStore) observe(call string, start time.Duration, err error) {
	i := o.instance
	if call != "read" {
		i.storeLatency.observe(bootTime() - start)
	}
	result := "ok"
	switch {
	case err == nil || errors.Is(err, store.ErrFenced) || errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrTrimmed):
		i.storeContact.advance(start)
		if o.unreachable.CompareAndSwap(true, false) {
			i.log.WithField("event", "store regained").WithField("call", call).Info("dependency")
		}
	case errors.Is(err, store.ErrRefused):
		result = "refused"
	default:
		result = "lost"
	}
	i.metrics.storeCalls.WithLabelValues(call, result).Inc()
	if result != "ok" && i.storeContact.age() > storeLostDelay && o.unreachable.CompareAndSwap(false, true) {
		i.log.WithField("event", "store lost").WithField("call", call).WithError(err).Warn("dependency")
	}
}

func (o *observedStore) Append(ctx context.Context, p store.Partition, records []store.Record, opts store.AppendOptions) (int64, error) {
	start := bootTime()
	end, err := o.next.Append(ctx, p, records, opts)
	o.observe("append", start, err)
	return end, err
}

func (o *observedStore) Read(ctx context.Context, p store.Partition, from int64, wait time.Duration) (store.Batch, error) {
	start := bootTime()
	b, err := o.next.Read(ctx, p, from, wait)
	if ctx.Err() == nil {
		o.observe("read", start, err)
	}
	return b, err
}

func (o *observedStore) Newest(ctx context.Context, p store.Partition) ([]store.Record, int64, error) {
	start := bootTime()
	records, end, err := o.next.Newest(ctx, p)
	o.observe("newest", start, err)
	return records, end, err
}

func (o *observedStore) Trim(ctx context.Context, p store.Partition, before int64) error {
	start := bootTime()
	err := o.next.Trim(ctx, p, before)
	o.observe("trim", start, err)
	return err
}

func (o *observedStore) Join(ctx context.Context, g store.Group, member string, ttl time.Duration) error {
	start := bootTime()
	err := o.next.Join(ctx, g, member, ttl)
	o.observe("join", start, err)
	return err
}

func (o *observedStore) Leave(ctx context.Context, g store.Group, member string) error {
	start := bootTime()
	err := o.next.Leave(ctx, g, member)
	o.observe("leave", start, err)
	return err
}

func (o *observedStore) Members(ctx context.Context, g store.Group) ([]store.Member, error) {
	start := bootTime()
	members, err := o.next.Members(ctx, g)
	o.observe("members", start, err)
	return members, err
}
