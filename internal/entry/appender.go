package entry

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/remote"
)

const (
	maxBatchRecords = 500
	maxBatchBytes   = 512 << 10
	appendTimeout   = 2 * time.Second
	appendBackoff   = 100 * time.Millisecond
)

// appender appends records to one stream in batches, one batch at a time.
type appender struct {
	log     remote.Log
	stream  string
	metrics *metrics
	// onAppended, if not nil, is called with the ids of appended records.
	onAppended func(ids []string)
	signal     chan struct{}

	mu sync.Mutex
	// durable records are sent again with the same id, in order, until the log
	// confirms them or they are read back.
	durable []*pb.StreamRecord
	// once records are sent once: their author produces new ones if needed.
	once []*pb.StreamRecord
}

func newAppender(log remote.Log, stream string, m *metrics, onAppended func([]string)) *appender {
	return &appender{log: log, stream: stream, metrics: m, onAppended: onAppended, signal: make(chan struct{}, 1)}
}

func (a *appender) addDurable(records ...*pb.StreamRecord) {
	a.mu.Lock()
	a.durable = append(a.durable, records...)
	a.mu.Unlock()
	a.notify()
}

func (a *appender) addOnce(rec *pb.StreamRecord) {
	a.mu.Lock()
	a.once = append(a.once, rec)
	a.mu.Unlock()
	a.notify()
}

func (a *appender) notify() {
	select {
	case a.signal <- struct{}{}:
	default:
	}
}

// markReadBack removes a durable record that has been read back from the stream.
func (a *appender) markReadBack(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.remove(map[string]bool{id: true})
}

func (a *appender) remove(ids map[string]bool) {
	kept := a.durable[:0:0]
	for _, rec := range a.durable {
		if !ids[rec.GetId()] {
			kept = append(kept, rec)
		}
	}
	a.durable = kept
}

// nextBatch returns the records to send next. Durable records come first and
// stay queued. A release waits until every queued durable record is in the same
// batch or an earlier one, since readers drop an owner's records after the next
// claim. Heartbeats and claims don't wait for a long queue.
func (a *appender) nextBatch() (batch []*pb.StreamRecord) {
	a.mu.Lock()
	defer a.mu.Unlock()
	size := 0
	for _, rec := range a.durable {
		size += proto.Size(rec)
		if len(batch) == maxBatchRecords || len(batch) > 0 && size > maxBatchBytes {
			break
		}
		batch = append(batch, rec)
	}
	allDurable := len(batch) == len(a.durable)
	var kept []*pb.StreamRecord
	for _, rec := range a.once {
		if allDurable || rec.GetRelease() == nil {
			batch = append(batch, rec)
		} else {
			kept = append(kept, rec)
		}
	}
	a.once = kept
	return batch
}

func (a *appender) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-a.signal:
		}
		for batch := a.nextBatch(); len(batch) > 0 && ctx.Err() == nil; batch = a.nextBatch() {
			if !a.send(ctx, batch) {
				sleep(ctx, appendBackoff)
			}
		}
	}
}

func (a *appender) send(ctx context.Context, batch []*pb.StreamRecord) bool {
	data := make([][]byte, 0, len(batch))
	ids := make([]string, 0, len(batch))
	for _, rec := range batch {
		ids = append(ids, rec.GetId())
		encoded, err := proto.Marshal(rec)
		if err != nil {
			// A record with a string that is not valid UTF-8 can never be
			// encoded, so it is not retried.
			a.metrics.encodeFailures.Inc()
			continue
		}
		data = append(data, encoded)
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	if _, err := a.log.Append(ctx, a.stream, data); err != nil {
		a.metrics.appendFailures.Inc()
		return false
	}
	a.metrics.appendedRecords.Add(float64(len(batch)))
	a.mu.Lock()
	sent := make(map[string]bool, len(ids))
	for _, id := range ids {
		sent[id] = true
	}
	a.remove(sent)
	a.mu.Unlock()
	if a.onAppended != nil {
		a.onAppended(ids)
	}
	return true
}

// confirmAppended reports to the ownership core which records the log has
// confirmed.
func (i *Instance) confirmAppended(ids []string) {
	i.Post(func(time.Time) {
		for _, id := range ids {
			i.state.core.ConfirmAppend(id)
		}
	})
}

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
