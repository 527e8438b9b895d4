package daemon

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"gooseberryreel/internal/errs"
	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/store"
)

const (
	// maxRefusedAppends is the number of attempts of an append that the store
	// refuses before the callers receive the error that their jobs were not stored.
	// Other instances may still reach the store, and callers retry at another
	// instance.
	maxRefusedAppends = 3
	refusedRetryDelay = 60 * time.Millisecond
	// appendTimeout limits one attempt. A slow store responds in about 400 ms, and
	// half of intakeTimeout is left for the other partition.
	appendTimeout = 700 * time.Millisecond
	// maxConcurrentAppends limits the appends of an instance that are in flight to one
	// partition while the store is slow: most of the time then passes on the way.
	maxConcurrentAppends = 2
	// minAppendTime is the time that a caller must have left for a first attempt. One
	// that breaks off would turn the known outcome that nothing is stored into an
	// unknown one.
	minAppendTime = 50 * time.Millisecond
	// noResponseRetryDelay is the delay after an append without a response.
	noResponseRetryDelay = 20 * time.Millisecond
	// intakeTimeout limits how long a caller waits while the store does not respond.
	// It allows a second attempt after a lost response; after that the caller should
	// try another instance.
	intakeTimeout = 1400 * time.Millisecond
	// storeDownTimeout is how long the store must not have responded before records
	// are rejected without an attempt to append them. The polls of the owner's group,
	// every 0.5 s, detect that the store responds again.
	storeDownTimeout = 1500 * time.Millisecond
	// maxAppendRecords limits the records of one append, maxQueuedRecords those that
	// wait for the next one in each partition.
	maxAppendRecords = 64
	maxQueuedRecords = 1024
	// cancelPrefix is the prefix of the keys of cancellations in the intake.
	cancelPrefix = "c/"
)

// intake appends submissions and cancellations to the store. The id of a job
// determines the partition for all its records, and a fallback partition that is
// used while the first does not respond: some partitions may be down while others
// work, and a slow partition carries out only one append at a time.
type intake struct {
	instance  *Instance
	appenders []*partitionAppender
	memory    *recordMemory

	mu     sync.RWMutex
	closed bool // no appender takes an entry from its queue any more
}

// shutdownError is the error of records that an instance can no longer append because
// it is shutting down.
func shutdownError() *errs.Error {
	return errs.New("intake", "", "the instance is shutting down").WithRetry()
}

// partitionAppender appends to one partition. Records that arrive while an append
// is in flight share the next one.
type partitionAppender struct {
	intake    *intake
	partition store.Partition
	queue     chan *intakeEntry
	next      *intakeEntry  // taken from the queue, but too large for the newest append
	inFlight  chan struct{} // holds a token for each append in flight
}

// intakeEntry is a record that waits to be stored.
type intakeEntry struct {
	ctx    context.Context
	id     string // of the job
	record store.Record
	done   chan error
	// maybeStored is set if an append with the record may have been carried out.
	maybeStored bool
	// triedFallback is set once the entry was moved to its fallback partition, or
	// could not be moved because the queue was full.
	triedFallback bool
}

// maxIntakePartitions limits the reads that an owner keeps open.
const maxIntakePartitions = 16

// defaultPartitions applies if the settings don't set the number of partitions of
// the store's topics.
const defaultPartitions = 16

// intakePartitions returns the number of partitions that the intake uses. It must
// be the same for all instances of a deployment.
func intakePartitions(s *pb.StoreSettings) int {
	n := int(s.GetPartitions())
	if n <= 0 {
		n = defaultPartitions
	}
	return min(n, maxIntakePartitions)
}

// jobPartitions returns the partitions that may contain the records of a job: the
// preferred one and then the fallback, if there is more than one partition.
func jobPartitions(id string, partitions int) []store.Partition {
	first := int(xxhash.Sum64String(id) % uint64(partitions))
	list := []store.Partition{{Topic: intakeTopic, Number: first}}
	if partitions > 1 {
		list = append(list, store.Partition{Topic: intakeTopic, Number: (first + 1) % partitions})
	}
	return list
}

func newIntake(i *Instance) *intake {
	q := &intake{instance: i, memory: newRecordMemory(i.settings)}
	for n := range intakePartitions(i.settings.GetStore()) {
		q.appenders = append(q.appenders, &partitionAppender{intake: q, partition: store.Partition{Topic: intakeTopic, Number: n}, queue: make(chan *intakeEntry, maxQueuedRecords), inFlight: make(chan struct{}, maxConcurrentAppends)})
	}
	return q
}

// add stores a record and returns once the store has confirmed it. After an error
// with the outcome not-run the record is not stored and never will be. After any
// other error it may be stored. The caller has reserved memory for the record.
func (q *intake) add(ctx context.Context, id, key string, record *pb.IntakeRecord) error {
	const step = "intake"
	data, err := proto.Marshal(record)
	if err != nil {
		return errs.Wrap(step, "", pb.Outcome_OUTCOME_NOT_RUN, errors.Wrap(err, "encode record"))
	}
	if age := q.instance.storeContact.age(); age > storeDownTimeout && q.instance.storeContact.established() {
		return errs.New(step, "", "the store has not answered for %d ms", age.Milliseconds()).WithRetry()
	}
	ctx, cancel := context.WithTimeout(ctx, intakeTimeout)
	defer cancel()
	e := &intakeEntry{ctx: ctx, id: id, record: store.Record{Key: key, Value: data}, done: make(chan error, 1)}
	if !q.enqueue(e, 0) {
		if q.isClosed() {
			return shutdownError()
		}
		return errs.New(step, "", "%d records are already waiting for the store", maxQueuedRecords).WithRetry()
	}
	// The appender completes every entry, also after its deadline, since only the
	// appender knows whether the record may have been stored.
	return <-e.done
}

// enqueue adds an entry to the queue of one of its job's partitions: choice is the
// index in jobPartitions. It returns false if the queue is full or the intake is closed.
func (q *intake) enqueue(e *intakeEntry, choice int) bool {
	q.mu.RLock()
	defer q.mu.RUnlock()
	if q.closed {
		return false
	}
	select {
	case q.appenders[jobPartitions(e.id, len(q.appenders))[choice].Number].queue <- e:
		return true
	default:
		return false
	}
}

func (q *intake) isClosed() bool {
	q.mu.RLock()
	defer q.mu.RUnlock()
	return q.closed
}

// run appends the records until the context ends. Those that are still queued then are
// failed once no appender can move an entry to another queue.
func (q *intake) run(ctx context.Context) {
	var group sync.WaitGroup
	for _, a := range q.appenders {
		group.Go(func() { a.run(ctx) })
	}
	group.Wait()
	q.mu.Lock()
	q.closed = true
	q.mu.Unlock()
	for _, a := range q.appenders {
		a.failQueued()
	}
}

func (a *partitionAppender) run(ctx context.Context) {
	for {
		for a.next != nil && ctx.Err() == nil {
			e := a.next
			a.next = nil
			a.appendQueued(ctx, e)
		}
		select {
		case <-ctx.Done():
			return
		case e := <-a.queue:
			a.appendQueued(ctx, e)
		}
	}
}

// appendQueued stores an entry and the ones that are queued with it. It returns when
// they are completed or, while the store is slow, at once unless too many appends are
// in flight.
func (a *partitionAppender) appendQueued(ctx context.Context, first *intakeEntry) {
	a.inFlight <- struct{}{}
	entries := a.collectBatch(first)
	run := func() {
		a.append(ctx, entries)
		<-a.inFlight
	}
	if !a.intake.instance.storeLatency.slow() {
		run()
		return
	}
	go run()
}

// failQueued fails the queued entries after the appender has ended.
func (a *partitionAppender) failQueued() {
	if a.next != nil {
		a.fail([]*intakeEntry{a.next}, shutdownError())
	}
	for {
		select {
		case e := <-a.queue:
			a.fail([]*intakeEntry{e}, shutdownError())
		default:
			return
		}
	}
}

// collectBatch returns an entry and the queued ones that fit into the same append.
func (a *partitionAppender) collectBatch(first *intakeEntry) []*intakeEntry {
	entries, size := []*intakeEntry{first}, sizeOf(first.record)
	for len(entries) < maxAppendRecords {
		select {
		case e := <-a.queue:
			if size += sizeOf(e.record); size > a.intake.instance.limits.call {
				a.next = e
				return entries
			}
			entries = append(entries, e)
		default:
			return entries
		}
	}
	return entries
}

// moveToFallback moves entries to their fallback partitions, each at most once, and
// returns those that stay.
func (a *partitionAppender) moveToFallback(entries []*intakeEntry) []*intakeEntry {
	var remaining []*intakeEntry
	for _, e := range entries {
		if !e.triedFallback && len(a.intake.appenders) > 1 {
			e.triedFallback = true
			if a.intake.enqueue(e, 1) {
				continue
			}
		}
		remaining = append(remaining, e)
	}
	return remaining
}

// append stores entries and completes them. It repeats an append without a response
// until the callers' deadlines, which is safe because the records have keys.
func (a *partitionAppender) append(ctx context.Context, entries []*intakeEntry) {
	refused := 0
	for {
		entries = a.failExpired(entries)
		if len(entries) == 0 {
			return
		}
		err := a.tryAppend(ctx, entries)
		switch {
		case err == nil:
			for _, e := range entries {
				e.done <- nil
			}
			return
		case errors.Is(err, store.ErrRejected) && len(entries) > 1:
			for _, e := range entries {
				a.append(ctx, []*intakeEntry{e})
			}
			return
		case errors.Is(err, store.ErrRejected):
			a.intake.instance.metrics.rejected.WithLabelValues(intakeTopic).Inc()
			a.fail(entries, errs.New("intake", "", "%v", errors.Cause(err)).WithStatus(http.StatusRequestEntityTooLarge))
			return
		case errors.Is(err, store.ErrRefused):
			refused++
			if refused >= maxRefusedAppends {
				entries = a.failUnstored(a.moveToFallback(entries), err)
			}
			sleep(ctx, refusedRetryDelay)
		default:
			if errs.From("intake", "", err).Outcome != pb.Outcome_OUTCOME_NOT_RUN {
				for _, e := range entries {
					e.maybeStored = true
				}
			}
			entries = a.moveToFallback(entries)
			sleep(ctx, noResponseRetryDelay)
		}
		if ctx.Err() != nil {
			a.fail(entries, shutdownError())
			return
		}
	}
}

// tryAppend makes one append. Its timeout is appendTimeout, or a multiple of the
// latency of a slow store, so that appends that would succeed are not repeated, or the
// latest deadline of the callers if that is earlier.
func (a *partitionAppender) tryAppend(ctx context.Context, entries []*intakeEntry) error {
	records := make([]store.Record, len(entries))
	var latest time.Time
	for n, e := range entries {
		records[n] = e.record
		if deadline, ok := e.ctx.Deadline(); ok && deadline.After(latest) {
			latest = deadline
		}
	}
	timeout := max(appendTimeout, slowTimeoutFactor*a.intake.instance.storeLatency.get())
	if limit := time.Now().Add(timeout); limit.Before(latest) {
		latest = limit
	}
	ctx, cancel := context.WithDeadline(ctx, latest)
	defer cancel()
	_, err := a.intake.instance.store.Append(ctx, a.partition, records, store.AppendOptions{})
	return err
}

// failUnstored fails the entries that can't have been stored and returns the
// others.
func (a *partitionAppender) failUnstored(entries []*intakeEntry, cause error) []*intakeEntry {
	var remaining []*intakeEntry
	for _, e := range entries {
		if e.maybeStored {
			remaining = append(remaining, e)
			continue
		}
		e.done <- errs.Wrap("intake", "", pb.Outcome_OUTCOME_NOT_RUN, cause).WithRetry()
	}
	return remaining
}

// failExpired fails the entries whose deadline has passed, or is too close for a first
// attempt, and returns the others.
func (a *partitionAppender) failExpired(entries []*intakeEntry) []*intakeEntry {
	var remaining []*intakeEntry
	for _, e := range entries {
		deadline, limited := e.ctx.Deadline()
		if e.ctx.Err() == nil && (e.maybeStored || !limited || time.Until(deadline) >= minAppendTime) {
			remaining = append(remaining, e)
			continue
		}
		a.fail([]*intakeEntry{e}, errs.New("intake", "", "the store did not respond before the deadline"))
	}
	return remaining
}

// fail fails entries with an error. The outcome is unknown for entries that may
// have been stored.
func (a *partitionAppender) fail(entries []*intakeEntry, cause *errs.Error) {
	for _, e := range entries {
		failure := *cause
		if e.maybeStored {
			failure.Outcome = pb.Outcome_OUTCOME_UNKNOWN
		}
		e.done <- &failure
	}
}
