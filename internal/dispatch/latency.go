package dispatch

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"gooseberryreel/internal/pb"
)

const (
	maxLatencyUs     = 60_000_000 // longer latencies count as this one
	latencyPrecision = 2          // significant digits
)

// latencyRecord aggregates the requests to one target in one period.
type latencyRecord struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
	failures  int64
}

func (r *latencyRecord) record(took time.Duration, failed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.histogram == nil {
		r.histogram = hdrhistogram.New(1, maxLatencyUs, latencyPrecision)
	}
	if failed {
		r.failures++
	}
	_ = r.histogram.RecordValue(min(max(took.Microseconds(), 1), maxLatencyUs))
}

// take returns the digest of the current period and starts the next one. It returns
// nil if there was no request.
func (r *latencyRecord) take() *pb.LatencyDigest {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.histogram == nil || r.histogram.TotalCount() == 0 {
		return nil
	}
	digest := &pb.LatencyDigest{
		Requests: r.histogram.TotalCount(),
		Failures: r.failures,
		MeanUs:   int64(r.histogram.Mean()),
		P99Us:    r.histogram.ValueAtQuantile(99),
	}
	r.histogram.Reset()
	r.failures = 0
	return digest
}

// Digests returns one digest for each target that requests were sent to since
// the previous call.
func (d *Dispatcher) Digests() []*pb.LatencyDigest {
	d.buildMu.Lock()
	defer d.buildMu.Unlock()
	now := time.Now()
	period := now.Sub(d.digestPeriodStart)
	d.digestPeriodStart = now
	var digests []*pb.LatencyDigest
	for _, t := range d.state.targets {
		latencyDigest := t.latencyDigest.take()
		if latencyDigest == nil {
			continue
		}
		latencyDigest.Service, latencyDigest.Target = t.instance.Service, t.name
		latencyDigest.PeriodMs = period.Milliseconds()
		latencyDigest.InFlight = int32(t.slots.InFlight())
		digests = append(digests, latencyDigest)
	}
	return digests
}
