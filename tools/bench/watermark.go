package main

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"gooseberryreel/internal/config"
	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/remote"
	"gooseberryreel/internal/standin"
)

const (
	watermarkReads  = 400
	watermarkWrites = 40
	// watermarkReadWait is how long a read of the stream waits for new records, as
	// in an entry instance.
	watermarkReadWait = 500 * time.Millisecond
)

// localCopy replays the configuration stream as an entry instance does.
type localCopy struct {
	log      remote.Log
	position atomic.Int64
	version  atomic.Int64
}

func (l *localCopy) follow(ctx context.Context) {
	state := config.NewState()
	for ctx.Err() == nil {
		batch, err := l.log.Read(ctx, config.Stream, l.position.Load(), 1000, watermarkReadWait)
		if err != nil {
			continue
		}
		for _, raw := range batch.Records {
			rec := &pb.StreamRecord{}
			if proto.Unmarshal(raw.Data, rec) == nil {
				state.Apply(raw.Offset, rec)
			}
			l.version.Store(state.Version())
			l.position.Store(raw.Offset + 1)
		}
	}
}

// watermarkRead returns once the copy has applied all records that the stream had
// when the read began. head is how long the read of the head offset took.
func (l *localCopy) watermarkRead(ctx context.Context) (head time.Duration, err error) {
	begin := time.Now()
	// A read from the current position with no wait returns the head offset, and at
	// most one record.
	batch, err := l.log.Read(ctx, config.Stream, l.position.Load(), 1, 0)
	if err != nil {
		return 0, errors.Wrap(err, "read head offset")
	}
	head = time.Since(begin)
	for l.position.Load() < batch.Next {
		if err := ctx.Err(); err != nil {
			return head, err
		}
		time.Sleep(100 * time.Microsecond)
	}
	return head, nil
}

// watermarkTable compares a read of the local copy with a watermark read, which
// first reads the head offset of the stream and waits for the copy to reach it.
func watermarkTable(w io.Writer) error {
	p, err := standin.Start(standin.Site{Name: "bench", Log: standin.Log{AppendsPerSecond: logAppendsPerSecond}})
	if err != nil {
		return errors.Wrap(err, "start platform")
	}
	defer p.Close()
	ctx, cancel := context.WithTimeout(context.Background(), liveTimeout)
	defer cancel()
	configCopy := &localCopy{log: remote.NewHTTPLog(p.LogURL())}
	go configCopy.follow(ctx)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "\nwatermark read of the configuration on loopback, no delay added, without writes: log reads and latency per read")
	fmt.Fprintln(t, "readers\tlocal copy p50 us\tp99 us\tlog reads\twatermark p50 us\tp99 us\tlog reads\tCPU us\t")
	var xs, ys []float64
	for _, readers := range []int{1, 8, 32} {
		local, _, err := timeReads(readers, func() error { configCopy.version.Load(); return nil })
		if err != nil {
			return err
		}
		watermarkTimes, cpu, err := timeReads(readers, func() error { _, err := configCopy.watermarkRead(ctx); return err })
		if err != nil {
			return err
		}
		fmt.Fprintf(t, "%d\t%.1f\t%.1f\t0\t%.0f\t%.0f\t1\t%.0f\t\n", readers, microseconds(quantileOf(local, 0.5)), microseconds(quantileOf(local, 0.99)),
			microseconds(quantileOf(watermarkTimes, 0.5)), microseconds(quantileOf(watermarkTimes, 0.99)), cpu)
		xs, ys = append(xs, float64(readers)), append(ys, microseconds(quantileOf(watermarkTimes, 0.5)))
	}
	writeFit(t, "watermark p50 us", "reader", xs, ys)
	if err := t.Flush(); err != nil {
		return errors.Wrap(err, "write")
	}
	return readYourWritesTable(ctx, w, configCopy)
}

func timeReads(readers int, read func() error) (took []time.Duration, cpu float64, err error) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	begin := cpuTime()
	for range readers {
		wg.Go(func() {
			for range watermarkReads {
				start := time.Now()
				readErr := read()
				d := time.Since(start)
				mu.Lock()
				took = append(took, d)
				if readErr != nil {
					err = readErr
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return took, float64((cpuTime() - begin).Microseconds()) / float64(len(took)), err
}

// readYourWritesTable reads right after an append was confirmed, and counts the
// reads that do not see it.
func readYourWritesTable(ctx context.Context, w io.Writer, configCopy *localCopy) error {
	var local, watermarkTimes []time.Duration
	missed, watermarkMisses := 0, 0
	for i := range watermarkWrites {
		offset, err := configCopy.appendDeclaration(ctx, i)
		if err != nil {
			return err
		}
		begin := time.Now()
		if configCopy.version.Load() < offset {
			missed++
		}
		for configCopy.version.Load() < offset && ctx.Err() == nil {
			time.Sleep(100 * time.Microsecond)
		}
		local = append(local, time.Since(begin))
		offset, err = configCopy.appendDeclaration(ctx, watermarkWrites+i)
		if err != nil {
			return err
		}
		begin = time.Now()
		if _, err := configCopy.watermarkRead(ctx); err != nil {
			return err
		}
		watermarkTimes = append(watermarkTimes, time.Since(begin))
		if configCopy.version.Load() < offset {
			watermarkMisses++
		}
	}
	fmt.Fprintf(w, "read right after the caller's own write, %d writes each: local copy misses the write in %d, and has it p50 %.0f us, p99 %.0f us later; watermark read misses it in %d and takes p50 %.0f us, p99 %.0f us\n",
		watermarkWrites, missed, microseconds(quantileOf(local, 0.5)), microseconds(quantileOf(local, 0.99)), watermarkMisses, microseconds(quantileOf(watermarkTimes, 0.5)), microseconds(quantileOf(watermarkTimes, 0.99)))
	return ctx.Err()
}

func (l *localCopy) appendDeclaration(ctx context.Context, i int) (int64, error) {
	data, err := proto.Marshal(declarationRecord(i))
	if err != nil {
		return 0, errors.Wrap(err, "encode record")
	}
	offset, err := l.log.Append(ctx, config.Stream, [][]byte{data})
	return offset, errors.Wrap(err, "append")
}
