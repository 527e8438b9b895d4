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

// appender appends records of one stream in groups, one group at a time.
type appender struct {
	log     remote.Log
	stream  string
	metrics *metrics
	// done is told the ids of appended records.
	done func(ids []string)
	wake chan struct{}

	mu sync.Mutex
	// durable records are sent again with the same id, in order, until the log
	// confirms them or they are read back.
	durable []*pb.StreamRecord
	// once records are sent once: their author sends newer ones if need be.
	once []*pb.StreamRecord
}

func newAppender(log remote.Log, stream string, m *metrics, done func([]string)) *appender {
	return &appender{log: log, stream: stream, metrics: m, done: done, wake: make(chan struct{}, 1)}
}

func (a *appender) addDurable(records ...*pb.StreamRecord) {
	a.mu.Lock()
	a.durable = append(a.durable, records...)
	a.mu.Unlock()
	a.signal()
}

func (a *appender) addOnce(rec *pb.StreamRecord) {
	a.mu.Lock()
	a.once = append(a.once, rec)
	a.mu.Unlock()
	a.signal()
}

func (a *appender) signal() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// readBack removes a durable record that was found in the stream.
func (a *appender) readBack(id string) {
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

// next returns the records of the next group. Durable ones come first and stay
// queued. A release waits until all of them are in one group with it or before
// it, since readers drop an owner's records after the next claim. Heartbeats
// and claims don't wait for a long queue.
func (a *appender) next() (group []*pb.StreamRecord) {
	a.mu.Lock()
	defer a.mu.Unlock()
	size := 0
	for _, rec := range a.durable {
		size += proto.Size(rec)
		if len(group) == maxBatchRecords || len(group) > 0 && size > maxBatchBytes {
			break
		}
		group = append(group, rec)
	}
	whole := len(group) == len(a.durable)
	var kept []*pb.StreamRecord
	for _, rec := range a.once {
		if whole || rec.GetRelease() == nil {
			group = append(group, rec)
		} else {
			kept = append(kept, rec)
		}
	}
	a.once = kept
	return group
}

func (a *appender) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-a.wake:
		}
		for group := a.next(); len(group) > 0 && ctx.Err() == nil; group = a.next() {
			if !a.send(ctx, group) {
				pause(ctx, appendBackoff)
			}
		}
	}
}

func (a *appender) send(ctx context.Context, group []*pb.StreamRecord) bool {
	data := make([][]byte, 0, len(group))
	ids := make([]string, 0, len(group))
	for _, rec := range group {
		ids = append(ids, rec.GetId())
		encoded, err := proto.Marshal(rec)
		if err != nil {
			// A string that is no UTF-8 can't be encoded, however often.
			a.metrics.unencodable.Inc()
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
	a.metrics.appendedRecords.Add(float64(len(group)))
	a.mu.Lock()
	sent := make(map[string]bool, len(ids))
	for _, id := range ids {
		sent[id] = true
	}
	a.remove(sent)
	a.mu.Unlock()
	if a.done != nil {
		a.done(ids)
	}
	return true
}

// appended tells the ownership core which of its records the log confirmed.
func (i *Instance) appended(ids []string) {
	i.Post(func(time.Time) {
		for _, id := range ids {
			i.state.core.ConfirmAppend(id)
		}
	})
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
