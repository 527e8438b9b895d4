package daemon

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"gooseberryreel/internal/errs"
	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/scheduler"
	"gooseberryreel/internal/store"
)

// trimInterval is how often the owner allows the store to drop superseded records.
const trimInterval = 10 * time.Second

// readIntake returns the newest record of each key of all partitions of the intake,
// and the end offsets by partition.
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

// consumeIntake passes the records of a partition of the intake to the core until
// the term ends.
func (o *ownerTerm) consumeIntake(p store.Partition) {
	i := o.instance
	var retry backoff
	wait := readWait
	for o.ctx.Err() == nil {
		start := bootTime()
		b, err := i.store.Read(o.ctx, p, o.cursor(p), wait)
		if err == nil && b.Next <= o.cursor(p) {
			start += min(bootTime()-start, wait) // the store has waited in vain
		}
		wait = readWait
		if err != nil {
			wait = 0 // the age of the newest read grows meanwhile
		}
		if errors.Is(err, store.ErrTrimmed) {
			// The newest record of each key is kept, so nothing is lost.
			b.Records, b.Next, err = i.store.Newest(o.ctx, p)
			b.End = b.Next
		}
		sleep(o.ctx, retry.after(err))
		if err != nil {
			continue
		}
		if b.Next > o.cursor(p) && o.applyIntake(p, b.Records, b.Next) != nil {
			return
		}
		if b.Next >= b.End {
			o.intakeRead[p.Number].advance(start)
		}
	}
}

// intakeAge returns how long ago a job may have been accepted that the core has not read.
func (o *ownerTerm) intakeAge() time.Duration {
	age := time.Duration(0)
	for n := range o.intakeRead {
		age = max(age, o.intakeRead[n].age())
	}
	return age
}

// applyIntake passes records to the core, waits until it has applied them and
// advances the cursor of the partition to next.
func (o *ownerTerm) applyIntake(p store.Partition, records []store.Record, next int64) error {
	var parsed []*pb.IntakeRecord
	for _, r := range records {
		if len(r.Value) == 0 {
			continue
		}
		record := &pb.IntakeRecord{}
		if err := proto.Unmarshal(r.Value, record); err != nil {
			o.instance.reportUnreadable(intakeTopic, r.Key, err)
			continue
		}
		parsed = append(parsed, record)
	}
	return o.postAndWait(o.ctx, workIntake, func(c *scheduler.Core) {
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

func (o *ownerTerm) cursor(p store.Partition) int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.intakeCursors[p.Number]
}

// trimPeriodically allows the store to drop records of the job topic and the intake
// that newer ones have superseded, until the term ends.
func (o *ownerTerm) trimPeriodically() {
	for sleep(o.ctx, trimInterval); o.ctx.Err() == nil; sleep(o.ctx, trimInterval) {
		before := map[store.Partition]int64{jobTopic: o.committedEnd.Load()}
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

// state returns the recorded state of a job. It returns the state unknown only
// if the core has read the partitions that may contain the job up to their current
// ends and has not found it.
func (o *ownerTerm) state(ctx context.Context, id string) (pb.PublicState, error) {
	readState := func() (pb.PublicState, error) {
		var state atomic.Int32 // the loop may still write it after an error
		err := o.postAndWait(ctx, workQueries, func(c *scheduler.Core) { state.Store(int32(c.State(id))) })
		return pb.PublicState(state.Load()), err
	}
	state, err := readState()
	if err != nil || state != pb.PublicState_PUBLIC_STATE_UNKNOWN {
		return state, err
	}
	for _, partition := range jobPartitions(id, len(o.intakeCursors)) {
		b, err := o.instance.store.Read(ctx, partition, o.cursor(partition), 0)
		if err != nil {
			return state, err
		}
		for o.cursor(partition) < b.End {
			if ctx.Err() != nil {
				return state, errs.New("job state", "", "the intake has not been read to its end")
			}
			sleep(ctx, tickInterval)
		}
	}
	return readState()
}
