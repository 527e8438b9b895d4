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
// clock it goes on while the machine is suspended, so an owner that was
// suspended notices that its rights are over.
func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0 // the clock exists on every supported kernel
	}
	return time.Duration(ts.Nano())
}

// contact keeps the time of the newest answer of the store.
type contact struct{ at atomic.Int64 }

func (c *contact) touch(at time.Duration) {
	for {
		old := c.at.Load()
		if int64(at) <= old || c.at.CompareAndSwap(old, int64(at)) {
			return
		}
	}
}

// age returns the time since the start of the newest call that the store
// answered.
func (c *contact) age() time.Duration { return bootTime() - time.Duration(c.at.Load()) }

// made reports whether the store has answered at all.
func (c *contact) made() bool { return c.at.Load() > 0 }

// observedStore notes which calls the store answers, and logs when it is lost
// and regained.
type observedStore struct {
	next     store.Store
	instance *Instance
	lost     atomic.Bool
}

// lostAfter is the silence after which the store counts as lost in the log.
const lostAfter = time.Second

func (o *observedStore) observe(call string, begun time.Duration, err error) {
	i := o.instance
	result := "ok"
	switch {
	case err == nil || errors.Is(err, store.ErrFenced) || errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrTrimmed):
		i.contact.touch(begun)
		if o.lost.CompareAndSwap(true, false) {
			i.log.WithField("event", "store regained").WithField("call", call).Info("dependency")
		}
	case errors.Is(err, store.ErrRefused):
		result = "refused"
	default:
		result = "lost"
	}
	i.metrics.storeCalls.WithLabelValues(call, result).Inc()
	if result != "ok" && i.contact.age() > lostAfter && o.lost.CompareAndSwap(false, true) {
		i.log.WithField("event", "store lost").WithField("call", call).WithError(err).Warn("dependency")
	}
}

func (o *observedStore) Append(ctx context.Context, p store.Partition, records []store.Record, opts store.AppendOptions) (int64, error) {
	begun := bootTime()
	end, err := o.next.Append(ctx, p, records, opts)
	o.observe("append", begun, err)
	return end, err
}

func (o *observedStore) Read(ctx context.Context, p store.Partition, from int64, wait time.Duration) (store.Batch, error) {
	begun := bootTime()
	b, err := o.next.Read(ctx, p, from, wait)
	if ctx.Err() == nil {
		o.observe("read", begun, err)
	}
	return b, err
}

func (o *observedStore) Newest(ctx context.Context, p store.Partition) ([]store.Record, int64, error) {
	begun := bootTime()
	records, end, err := o.next.Newest(ctx, p)
	o.observe("newest", begun, err)
	return records, end, err
}

func (o *observedStore) Trim(ctx context.Context, p store.Partition, before int64) error {
	begun := bootTime()
	err := o.next.Trim(ctx, p, before)
	o.observe("trim", begun, err)
	return err
}

func (o *observedStore) Join(ctx context.Context, g store.Group, member string, ttl time.Duration) error {
	begun := bootTime()
	err := o.next.Join(ctx, g, member, ttl)
	o.observe("join", begun, err)
	return err
}

func (o *observedStore) Leave(ctx context.Context, g store.Group, member string) error {
	begun := bootTime()
	err := o.next.Leave(ctx, g, member)
	o.observe("leave", begun, err)
	return err
}

func (o *observedStore) Members(ctx context.Context, g store.Group) ([]store.Member, error) {
	begun := bootTime()
	members, err := o.next.Members(ctx, g)
	o.observe("members", begun, err)
	return members, err
}
