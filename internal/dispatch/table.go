package dispatch

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"gooseberryreel/internal/errs"
	"gooseberryreel/internal/pb"
)

// bodyDigest identifies the work that was requested under an id. It is a SHA-256
// over the service and the body.
type bodyDigest [32]byte

// storedTotals counts the entries of all tables that share one limit.
type storedTotals struct {
	count atomic.Int64
	bytes atomic.Int64 // of answer bodies
}

// tableLimits bounds the tables that share one storedTotals.
type tableLimits struct {
	maxCount int64
	maxBytes int64 // of answer bodies
	// maxAge is how long an entry stays. For a partition's table it is the
	// retention plus the clock skew, since the time in an id can be ahead of the
	// clock by the skew.
	maxAge time.Duration
}

// entry is one non-idempotent request in a table.
type entry struct {
	id         string
	created    time.Time // from the id
	receivedAt time.Time // when this instance received it
	bodyDigest bodyDigest
	// sent is closed just before the first byte may be sent to a target.
	sent     chan struct{}
	sentOnce sync.Once
	// done is closed when reply is set.
	done chan struct{}
	// fromEarlierOwner is set for an entry of an earlier owner of the partition,
	// which ran the request or still runs it.
	fromEarlierOwner bool

	// Guarded by table.mu.
	reply   *pb.ForwardReply
	removed bool
}

func newEntry(id string, created, receivedAt time.Time, sum bodyDigest) *entry {
	return &entry{id: id, created: created, receivedAt: receivedAt, bodyDigest: sum, sent: make(chan struct{}), done: make(chan struct{})}
}

func (e *entry) markSent() { e.sentOnce.Do(func() { close(e.sent) }) }

// running reports whether this instance runs the request. The caller must hold
// table.mu.
func (e *entry) running() bool { return e.reply == nil && !e.fromEarlierOwner && !e.removed }

// table holds the non-idempotent requests of one partition, so that each runs at
// most once. When it is full it evicts the oldest answered entries. From then on
// it rejects unknown ids that are not newer than an evicted one, since they may
// have run.
type table struct {
	limits tableLimits
	totals *storedTotals

	mu      sync.Mutex
	entries map[string]*entry
	order   fifo // all entries, by the time at which they were added
	bodies  fifo // finished entries whose answer body is stored, oldest first
	// evictedUntil is the latest creation time of an evicted id.
	evictedUntil time.Time

	// handOver describes the newest complete hand-over of the partition.
	handOver atomic.Pointer[handOverInfo]
}

// handOverInfo is what a hand-over states about the ids that it does not list.
type handOverInfo struct {
	// epoch is the epoch of the owner that released the partition.
	epoch int64
	// unsureUntil is the creation time, in milliseconds since 1970, up to which
	// an id may have run although it is not listed.
	unsureUntil int64
}

func newTable(limits tableLimits, totals *storedTotals) *table {
	return &table{limits: limits, totals: totals, entries: make(map[string]*entry)}
}

// beginResult is the result of table.begin.
type beginResult int

const (
	beginNew      beginResult = iota // added
	beginKnown                       // known with the same body
	beginConflict                    // known with another body
	beginEvicted                     // not known, but possibly evicted
	beginFull                        // the limit of entries is reached
)

// begin adds an entry, or returns the one that the table has for its id. A fresh
// id is one that no earlier request used, so it can't be an evicted one.
func (t *table) begin(e *entry, now time.Time, fresh bool) (*entry, beginResult) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	if known, ok := t.entries[e.id]; ok {
		if known.bodyDigest != e.bodyDigest {
			return known, beginConflict
		}
		return known, beginKnown
	}
	if !fresh && !e.created.After(t.evictedUntil) {
		return nil, beginEvicted
	}
	t.evictForSpace()
	if t.totals.count.Load() >= t.limits.maxCount {
		return nil, beginFull
	}
	t.add(e)
	return e, beginNew
}

func (t *table) add(e *entry) {
	t.entries[e.id] = e
	t.order.push(e)
	t.totals.count.Add(1)
}

// lastEvicted returns the latest creation time of an evicted id, or the zero
// time.
func (t *table) lastEvicted() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.evictedUntil
}

// lookUp returns the entry of an id, or nil.
func (t *table) lookUp(id string) *entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.entries[id]
}

// finish stores the answer of an entry and wakes the goroutines that wait for it.
// It returns the number of answers that it dropped to stay within the byte limit.
func (t *table) finish(e *entry, reply *pb.ForwardReply) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e.reply != nil {
		return 0
	}
	e.reply = reply
	close(e.done)
	if e.removed || len(reply.GetBody()) == 0 {
		return 0
	}
	t.bodies.push(e)
	t.totals.bytes.Add(int64(len(reply.GetBody())))
	return t.dropBodies()
}

// replyOf returns the answer of an entry, or nil if it is not finished.
func (t *table) replyOf(e *entry) *pb.ForwardReply {
	t.mu.Lock()
	defer t.mu.Unlock()
	return e.reply
}

// discard removes an entry whose request was not run here.
func (t *table) discard(e *entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.remove(e)
}

// remove deletes an entry from the map and the totals. The queues drop it later.
func (t *table) remove(e *entry) {
	if e.removed {
		return
	}
	e.removed = true
	delete(t.entries, e.id)
	t.totals.count.Add(-1)
	if e.reply != nil {
		t.totals.bytes.Add(-int64(len(e.reply.GetBody())))
	}
}

// expire removes entries older than the maximum age, and stops at one that is
// still running.
func (t *table) expire(now time.Time) {
	for {
		e := t.order.first()
		if e == nil || (!e.removed && (e.running() || now.Sub(e.receivedAt) < t.limits.maxAge)) {
			break
		}
		t.order.pop()
		t.remove(e)
	}
	for e := t.bodies.first(); e != nil && e.removed; e = t.bodies.first() {
		t.bodies.pop()
	}
}

// evictForSpace evicts answered entries before the count limit is reached. All
// partitions share the limit, so its last eighth is left to tables that have
// nothing to evict. While the count is in that eighth, two entries are evicted for
// each new one.
func (t *table) evictForSpace() {
	const evictPerBegin = 2
	for range evictPerBegin {
		if t.totals.count.Load() < t.limits.maxCount-t.limits.maxCount/8 || !t.evictOldest() {
			return
		}
	}
}

// evictOldest evicts the oldest entry, unless it is still running.
func (t *table) evictOldest() bool {
	e := t.order.first()
	if e == nil || e.running() {
		return false
	}
	t.order.pop()
	t.remove(e)
	if e.created.After(t.evictedUntil) {
		t.evictedUntil = e.created
	}
	return true
}

// dropBodies replaces the oldest stored answers by a statement that the request
// ran, until the byte limit is met, and returns their number.
func (t *table) dropBodies() int {
	dropped := 0
	for t.totals.bytes.Load() > t.limits.maxBytes {
		e := t.bodies.first()
		if e == nil {
			break
		}
		t.bodies.pop()
		if e.removed {
			continue
		}
		t.totals.bytes.Add(-int64(len(e.reply.GetBody())))
		e.reply = answerDropped()
		dropped++
	}
	return dropped
}

// answerDropped returns the reply that replaces a dropped answer.
func answerDropped() *pb.ForwardReply {
	e := errs.New("stored answer", "", "the request ran; its answer is no longer stored").WithStatus(http.StatusGone)
	e.Outcome = pb.Outcome_OUTCOME_RAN
	return failed(e)
}

// snapshot returns the entries, newest first.
func (t *table) snapshot() []*entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]*entry, 0, len(t.entries))
	for i := len(t.order.items) - 1; i >= t.order.head; i-- {
		if e := t.order.items[i]; !e.removed {
			list = append(list, e)
		}
	}
	return list
}

// install adds an entry that an earlier owner handed over, or sets the answer of
// one that it handed over without. A nil reply means that the request was in
// flight there.
func (t *table) install(e *entry, reply *pb.ForwardReply) {
	t.mu.Lock()
	known := t.entries[e.id]
	if known == nil {
		e.fromEarlierOwner = true
		t.add(e)
		known = e
	}
	t.mu.Unlock()
	if reply != nil && known.fromEarlierOwner {
		t.finish(known, reply)
	}
}

// fifo is a first-in, first-out queue of entries.
type fifo struct {
	items []*entry
	head  int
}

func (q *fifo) push(e *entry) { q.items = append(q.items, e) }

func (q *fifo) first() *entry {
	if q.head == len(q.items) {
		return nil
	}
	return q.items[q.head]
}

func (q *fifo) pop() {
	q.items[q.head] = nil
	q.head++
	if q.head*2 >= len(q.items) {
		n := copy(q.items, q.items[q.head:])
		clear(q.items[n:])
		q.items, q.head = q.items[:n], 0
	}
}
