package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"gooseberryreel/internal/errs"
	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/scheduler"
	"gooseberryreel/internal/store"
)

// trimInterval is how often the store may drop superseded records.
const trimInterval = 10 * time.Second

// readIntake returns the newest record of each key of all partitions, and the
// ends of the partitions.
func (i *Instance) readIntake(ctx context.Context) ([]store.Record, []int64, error) {
	ends := make([]int64, intakePartitions(i.settings.GetStore()))
	var mu sync.Mutex
	var all []store.Record
	group, ctx := errgroup.WithContext(ctx)
	for n := range ends {
		group.Go(func() error {
			records, end, err := i.store.Newest(ctx, store.Partition{Topic: intakeTopic, Number: n})
			if err != nil {
				return errors.Wrapf(err, "partition %d", n)
			}
			mu.Lock()
			defer mu.Unlock()
			all, ends[n] = append(all, records...), end
			return nil
		})
	}
	return all, ends, group.Wait()
}

// dropIntake removes jobs that are no longer kept from the intake.
func (o *ownership) dropIntake(ids []string) {
	byPartition := make(map[store.Partition][]store.Record)
	for _, id := range ids {
		for _, home := range intakeHomes(id, len(o.intakeCursors)) {
			byPartition[home] = append(byPartition[home], store.Record{Key: id}, store.Record{Key: cancelPrefix + id})
		}
	}
	for home, records := range byPartition {
		if _, err := o.instance.store.Append(o.ctx, home, records, store.AppendOptions{}); err != nil {
			// The records stay and cost space until the next owner drops them.
			o.instance.log.WithField("event", "intake not dropped").WithField("partition", home.Number).
				WithField("records", len(records)).WithError(err).Warn("store")
		}
	}
}

// followIntake feeds the core with a partition of the intake.
func (o *ownership) followIntake(p store.Partition) {
	i := o.instance
	var retry backoff
	for o.ctx.Err() == nil {
		b, err := i.store.Read(o.ctx, p, o.cursor(p), watchWait)
		if errors.Is(err, store.ErrTrimmed) {
			// The newest record of each key is kept, so nothing is lost.
			b.Records, b.Next, err = i.store.Newest(o.ctx, p)
		}
		sleep(o.ctx, retry.after(err))
		if err != nil {
			continue
		}
		if b.Next > o.cursor(p) && o.takeIntake(p, b.Records, b.Next) != nil {
			return
		}
	}
}

// takeIntake hands records to the core and waits until it has taken them.
func (o *ownership) takeIntake(p store.Partition, records []store.Record, next int64) error {
	var parsed []*pb.IntakeRecord
	for _, r := range records {
		if len(r.Value) == 0 {
			continue
		}
		record := &pb.IntakeRecord{}
		if err := proto.Unmarshal(r.Value, record); err != nil {
			o.instance.badIntake(r.Key, err)
			continue
		}
		parsed = append(parsed, record)
	}
	return o.ask(o.ctx, func(c *scheduler.Core) {
		now := time.Now()
		for _, r := range parsed {
			if sub := r.GetSubmission(); sub != nil {
				c.Submit(sub, now)
			} else {
				c.Cancel(r.GetCancelled(), now)
			}
		}
		o.mu.Lock()
		o.intakeCursors[p.Number] = max(o.intakeCursors[p.Number], next)
		o.mu.Unlock()
	})
}

func (o *ownership) cursor(p store.Partition) int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.intakeCursors[p.Number]
}

// trimRegularly lets the store drop records that newer ones have replaced.
func (o *ownership) trimRegularly() {
	for sleep(o.ctx, trimInterval); o.ctx.Err() == nil; sleep(o.ctx, trimInterval) {
		before := map[store.Partition]int64{jobTopic: o.recordedEnd.Load()}
		for n := range o.intakeCursors {
			p := store.Partition{Topic: intakeTopic, Number: n}
			before[p] = o.cursor(p)
		}
		for p, offset := range before {
			if err := o.instance.store.Trim(o.ctx, p, offset); err != nil {
				o.instance.log.WithField("event", "trim failed").WithField("topic", p.Topic).WithField("partition", p.Number).
					WithError(err).Warn("store")
			}
		}
	}
}

// state returns the recorded state of a job. A job is unknown only if the
// partitions that may hold it, as of now, do not.
func (o *ownership) state(ctx context.Context, id string) (pb.PublicState, error) {
	state := pb.PublicState_PUBLIC_STATE_UNKNOWN
	look := func() error { return o.ask(ctx, func(c *scheduler.Core) { state = c.State(id) }) }
	if err := look(); err != nil || state != pb.PublicState_PUBLIC_STATE_UNKNOWN {
		return state, err
	}
	for _, home := range intakeHomes(id, len(o.intakeCursors)) {
		b, err := o.instance.store.Read(ctx, home, o.cursor(home), 0)
		if err != nil {
			return state, err
		}
		for o.cursor(home) < b.End {
			if ctx.Err() != nil {
				return state, errs.New("job state", "", "the intake is not read to its end")
			}
			sleep(ctx, tickInterval)
		}
	}
	return state, look()
}
