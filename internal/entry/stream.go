package entry

import (
	"context"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"gooseberryreel/internal/config"
	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/remote"
)

const (
	maxReadRecords = 1000
	readBackoff    = 100 * time.Millisecond
	// readMargin limits the time of a read of the log beyond its wait for records,
	// and the time of a read of the instance list.
	readMargin  = 2 * time.Second
	maxReadWait = 500 * time.Millisecond
	// readWaitDivisor limits the wait to this fraction of the lease, well below
	// the third of the lease that the ownership rules permit between reads.
	readWaitDivisor = 6
)

// streamRecord is a decoded record with its offset and its time in the log.
type streamRecord struct {
	offset int64
	at     time.Time
	rec    *pb.StreamRecord
}

// read reads the next records of a stream. It skips records that can't be
// decoded; every reader skips the same ones, so their states stay equal.
func (i *Instance) read(ctx context.Context, stream string, from int64) (remote.Batch, []streamRecord, error) {
	wait := min(maxReadWait, i.lease()/readWaitDivisor)
	ctx, cancel := context.WithTimeout(ctx, wait+readMargin)
	defer cancel()
	batch, err := i.log.Read(ctx, stream, from, maxReadRecords, wait)
	if err != nil {
		i.metrics.readFailures.Inc()
		return batch, nil, err
	}
	records := make([]streamRecord, 0, len(batch.Records))
	for _, raw := range batch.Records {
		rec := &pb.StreamRecord{}
		if proto.Unmarshal(raw.Data, rec) == nil {
			records = append(records, streamRecord{offset: raw.Offset, at: raw.Time, rec: rec})
		}
	}
	i.metrics.readRecords.Add(float64(len(batch.Records)))
	return batch, records, nil
}

// nextOffset returns the offset to read after a batch that was read from the
// offset from.
func nextOffset(from int64, batch remote.Batch) int64 {
	if n := len(batch.Records); n > 0 {
		return batch.Records[n-1].Offset + 1
	}
	return max(from, batch.FirstRetained)
}

func (i *Instance) readControl(ctx context.Context) error {
	next, err := i.findStartOffset(ctx)
	if err != nil || ctx.Err() != nil {
		return err
	}
	for ctx.Err() == nil {
		batch, records, err := i.read(ctx, i.controlStream(), next)
		if err != nil {
			i.readFailed(ctx)
			continue
		}
		if batch.FirstRetained > next {
			return ErrRecordsTrimmed
		}
		next = nextOffset(next, batch)
		_ = i.runOnLoop(ctx, func(now time.Time) { i.applyControl(now, records, next, batch) })
	}
	return nil
}

// readFailed records that a read of the log failed and waits before the next.
func (i *Instance) readFailed(ctx context.Context) {
	i.Post(func(now time.Time) {
		if i.state.readsFailingSince.IsZero() {
			i.state.readsFailingSince = now
		}
	})
	sleep(ctx, readBackoff)
}

// findStartOffset returns the offset from which to read the control stream: its
// beginning or, if records have been trimmed, the end of what the first complete
// snapshot covers, after restoring that snapshot.
func (i *Instance) findStartOffset(ctx context.Context) (int64, error) {
	scan := newSnapshotScan()
	var next int64
	reported := false
	for ctx.Err() == nil {
		batch, records, err := i.read(ctx, i.controlStream(), next)
		if err != nil {
			i.readFailed(ctx)
			continue
		}
		if batch.FirstRetained == 0 {
			return 0, i.runOnLoop(ctx, func(time.Time) { i.state.started = true })
		}
		next = nextOffset(next, batch)
		if found := scan.add(records, batch.FirstRetained); found != nil {
			i.metrics.snapshotMissing.WithLabelValues(i.controlStream()).Set(0)
			return found.coversTo, i.runOnLoop(ctx, func(time.Time) { i.restore(found, scan.jobIDs) })
		}
		if next >= batch.Next && !reported {
			reported = true
			i.metrics.snapshotMissing.WithLabelValues(i.controlStream()).Set(1)
			i.Post(func(time.Time) {
				i.recordEvent("control_snapshot_missing", "records of the control stream have been trimmed and no snapshot covers them; waiting for one")
			})
		}
	}
	return 0, ctx.Err()
}

func (i *Instance) readConfig(ctx context.Context) error {
	var next int64
	for ctx.Err() == nil {
		batch, records, err := i.read(ctx, config.Stream, next)
		if err != nil {
			i.readFailed(ctx)
			continue
		}
		trimmed := batch.FirstRetained > next
		next = nextOffset(next, batch)
		_ = i.runOnLoop(ctx, func(now time.Time) {
			if trimmed {
				i.state.config.MarkTrimmed(batch.FirstRetained)
			}
			i.applyConfig(now, records, next, batch)
		})
	}
	return nil
}

func (i *Instance) applyConfig(now time.Time, records []streamRecord, next int64, batch remote.Batch) {
	s := &i.state
	for _, r := range records {
		result := s.config.Apply(r.offset, r.rec)
		i.metrics.configRecords.WithLabelValues(result.String()).Inc()
		if result == config.Restored {
			s.configSnapshots.seen(r.offset, r.at)
		}
		i.events.Clock().Observe(r.rec.GetHlc())
	}
	s.readsFailingSince = time.Time{}
	s.configSnapshots.setPosition(next, batch)
	if next >= batch.Next {
		s.configCaughtUp = s.config.Complete()
		i.reportConfigSnapshot()
	}
	if len(records) > 0 {
		i.publishView(now)
	}
}

// reportConfigSnapshot reports that no snapshot covers the records trimmed from
// the configuration stream, or that one has been read since.
func (i *Instance) reportConfigSnapshot() {
	missing := !i.state.config.Complete()
	if missing == i.state.configMissing {
		return
	}
	i.state.configMissing = missing
	if missing {
		i.metrics.snapshotMissing.WithLabelValues(config.Stream).Set(1)
		i.recordEvent("config_snapshot_missing", "records of the configuration stream have been trimmed and no snapshot covers them; waiting for one")
	} else {
		i.metrics.snapshotMissing.WithLabelValues(config.Stream).Set(0)
	}
}

// pollList polls the platform's instance list. While reads fail, the last list
// stays in effect.
func (i *Instance) pollList(ctx context.Context) error {
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, readMargin)
		listing, err := i.list.List(callCtx)
		cancel()
		if err != nil {
			i.metrics.listFailures.Inc()
		} else {
			i.metrics.listUnreadable.Set(float64(len(listing.Unreadable)))
			i.Post(func(now time.Time) {
				if unreadable := len(listing.Unreadable); unreadable != i.state.unreadableRows {
					i.state.unreadableRows = unreadable
					detail := "all rows of the instance list can be read"
					if unreadable > 0 {
						detail = fmt.Sprintf("%d rows of the instance list are left out, the first: %v", unreadable, listing.Unreadable[0])
					}
					i.recordEvent("list_rows_unreadable", detail)
				}
				i.state.members.ApplyListing(listing)
				i.state.core.ApplyListing(now, i.state.members.ListedNames())
			})
		}
		sleep(ctx, listInterval)
	}
	return nil
}
