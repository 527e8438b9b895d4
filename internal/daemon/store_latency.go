package daemon

import (
	"sync/atomic"
	"time"
)

const (
	// slowStoreLatency is the latency of the store from which submissions are batched
	// at the owner. The store carries out one append of a partition at a time, so that
	// with a latency of 0.2 s 16 partitions take 80 appends a second, fewer than callers
	// send. A healthy store responds within 15 ms, also across failure domains.
	slowStoreLatency = 80 * time.Millisecond
	// latencyWeight is the weight of the newest call in the average.
	latencyWeight = 0.5
	// slowTimeoutFactor is the timeout of an append relative to the average latency: it
	// may wait for others in its partition.
	slowTimeoutFactor = 3
)

// storeLatency is the average latency of calls to the store that do not wait for
// records. An instance makes several such calls a second, so the average also falls
// while it makes no appends.
type storeLatency struct{ average atomic.Int64 }

// observe adds the latency of a call that the store has responded to, or the time
// waited in vain.
func (l *storeLatency) observe(took time.Duration) {
	for {
		old := l.average.Load()
		next := old + int64(latencyWeight*float64(int64(took)-old))
		if l.average.CompareAndSwap(old, next) {
			return
		}
	}
}

func (l *storeLatency) get() time.Duration { return time.Duration(l.average.Load()) }

// slow reports whether the store is slow.
func (l *storeLatency) slow() bool { return l.get() > slowStoreLatency }
