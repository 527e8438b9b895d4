package entry

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"gooseberryreel/internal/config"
	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/remote"
)

const (
	readMax     = 1000
	readBackoff = 100 * time.Millisecond
	// readMargin is the time that a read may take beyond its wait.
	readMargin = 2 * time.Second
	maxWait    = 500 * time.Millisecond
	// waitDivisor keeps the wait well below the gap between reads that the
	// ownership rules permit, which is a third of the lease.
	waitDivisor = 6
)

// streamRecord is a decoded record with its place in the stream.
type streamRecord struct {
	offset int64
	at     time.Time
	rec    *pb.StreamRecord
}

// read makes one read. Records that can't be decoded are skipped by every
// reader alike.
func (i *Instance) read(ctx context.Context, stream string, from int64) (remote.Batch, []streamRecord, error) {
	wait := min(maxWait, i.lease()/waitDivisor)
	ctx, cancel := context.WithTimeout(ctx, wait+readMargin)
	defer cancel()
	batch, err := i.log.Read(ctx, stream, from, readMax, wait)
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

// position returns the offset to read after a batch.
func position(from int64, batch remote.Batch) int64 {
	if n := len(batch.Records); n > 0 {
		return batch.Records[n-1].Offset + 1
	}
	return max(from, batch.FirstRetained)
}

func (i *Instance) readControl(ctx context.Context) error {
	next, err := i.findStart(ctx)
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
			return ErrRecordsLost
		}
		next = position(next, batch)
		_ = i.call(ctx, func(now time.Time) { i.applyControl(now, records, next, batch) })
	}
	return nil
}

func (i *Instance) readFailed(ctx context.Context) {
	i.Post(func(now time.Time) {
		if i.state.failingSince.IsZero() {
			i.state.failingSince = now
		}
	})
	pause(ctx, readBackoff)
}

// findStart returns the offset from which the control stream is to be read: its
// beginning, or what the first complete snapshot covers if records are missing.
func (i *Instance) findStart(ctx context.Context) (int64, error) {
	scan := newScan()
	var next int64
	reported := false
	for ctx.Err() == nil {
		batch, records, err := i.read(ctx, i.controlStream(), next)
		if err != nil {
			i.readFailed(ctx)
			continue
		}
		if batch.FirstRetained == 0 {
			return 0, i.call(ctx, func(time.Time) { i.state.started = true })
		}
		next = position(next, batch)
		if found := scan.add(records, batch.FirstRetained); found != nil {
			i.metrics.snapshotMissing.WithLabelValues(i.controlStream()).Set(0)
			return found.coversTo, i.call(ctx, func(time.Time) { i.restore(found, scan.jobIDs) })
		}
		if next >= batch.Next && !reported {
			reported = true
			i.metrics.snapshotMissing.WithLabelValues(i.controlStream()).Set(1)
			i.Post(func(time.Time) {
				i.event("control_snapshot_missing", "the control stream has lost records and holds no snapshot; waiting for one")
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
		missed := batch.FirstRetained > next
		next = position(next, batch)
		_ = i.call(ctx, func(now time.Time) {
			if missed {
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
	s.failingSince = time.Time{}
	s.configSnapshots.position(next, batch)
	if next >= batch.Next {
		s.configCaughtUp = s.config.Complete()
		i.noteConfigSnapshot()
	}
	if len(records) > 0 {
		i.refresh(now)
	}
}

// noteConfigSnapshot reports that the configuration has lost records, or that a
// snapshot made up for them.
func (i *Instance) noteConfigSnapshot() {
	missing := !i.state.config.Complete()
	if missing == i.state.configMissing {
		return
	}
	i.state.configMissing = missing
	if missing {
		i.metrics.snapshotMissing.WithLabelValues(config.Stream).Set(1)
		i.event("config_snapshot_missing", "the configuration stream has lost records and holds no snapshot; waiting for one")
	} else {
		i.metrics.snapshotMissing.WithLabelValues(config.Stream).Set(0)
	}
}

// pollList reads the platform's list. While it fails, the last one stays.
func (i *Instance) pollList(ctx context.Context) error {
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, readMargin)
		listing, err := i.list.List(callCtx)
		cancel()
		if err != nil {
			i.metrics.listFailures.Inc()
		} else {
			i.Post(func(now time.Time) {
				i.state.members.ApplyListing(listing)
				i.state.core.ApplyListing(now, i.state.members.ListedNames())
			})
		}
		pause(ctx, listInterval)
	}
	return nil
}
