package daemon

import (
	"context"
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
	// refusedTries is how often a refused append is tried in all before the
	// callers are told that their jobs were not stored: others may still reach
	// the store, and callers come back through another instance.
	refusedTries = 3
	refusedPause = 60 * time.Millisecond
	// appendLimit bounds one try. A slow store answers in about 400 ms, and half
	// of intakeLimit is left for the other partition.
	appendLimit = 700 * time.Millisecond
	// unknownPause is the pause after an append without answer.
	unknownPause = 20 * time.Millisecond
	// intakeLimit bounds how long a caller is held while the store does not
	// answer. It allows a second try after a lost answer; after that the caller
	// is better off at another instance.
	intakeLimit = 1400 * time.Millisecond
	// storeGone is the silence of the store after which callers are refused
	// before anything is sent. Looks at the owner's group, every 0.5 s, notice
	// its return.
	storeGone = 1500 * time.Millisecond
	// maxIntakeRecords bounds one append, maxIntakeQueue what waits for one.
	maxIntakeRecords = 64
	maxIntakeQueue   = 1024
	// cancelPrefix marks the keys of cancellations in the intake.
	cancelPrefix = "c/"
)

// intake appends submissions and cancellations. The id of a job chooses the
// partition for all its records, and another one that takes them while the first
// does not answer: the store may be down in part, and a slow partition carries
// out one append at a time.
type intake struct {
	instance *Instance
	lanes    []*lane
}

// lane appends to one partition. What arrives while an append is under way
// shares the next one.
type lane struct {
	intake    *intake
	partition store.Partition
	queue     chan *intakeEntry
}

type intakeEntry struct {
	ctx    context.Context
	id     string // of the job
	record store.Record
	done   chan error
	// sent says that an append with the record may have been carried out.
	sent bool
	// moved says that the entry is in its second lane.
	moved bool
}

// maxIntakePartitions bounds the reads that an owner keeps open.
const maxIntakePartitions = 16

// defaultPartitions applies to settings that don't say how many partitions a
// topic of the store has.
const defaultPartitions = 16

// intakePartitions returns the number of partitions that are used. All instances
// of a deployment must use the same.
func intakePartitions(s *pb.StoreSettings) int {
	n := int(s.GetPartitions())
	if n <= 0 {
		n = defaultPartitions
	}
	return min(n, maxIntakePartitions)
}

// intakeHomes returns the partitions that may hold the records of a job, the
// preferred one first.
func intakeHomes(id string, partitions int) []store.Partition {
	first := int(xxhash.Sum64String(id) % uint64(partitions))
	homes := []store.Partition{{Topic: intakeTopic, Number: first}}
	if partitions > 1 {
		homes = append(homes, store.Partition{Topic: intakeTopic, Number: (first + 1) % partitions})
	}
	return homes
}

func newIntake(i *Instance) *intake {
	in := &intake{instance: i}
	for n := range intakePartitions(i.settings.GetStore()) {
		in.lanes = append(in.lanes, &lane{intake: in, partition: store.Partition{Topic: intakeTopic, Number: n}, queue: make(chan *intakeEntry, maxIntakeQueue)})
	}
	return in
}

// add stores a record and returns once the store has confirmed it. An error with
// the outcome not-run says that it is not stored and never will be.
func (in *intake) add(ctx context.Context, id, key string, record *pb.IntakeRecord) error {
	const step = "intake"
	data, err := proto.Marshal(record)
	if err != nil {
		return errs.Wrap(step, "", pb.Outcome_OUTCOME_NOT_RUN, errors.Wrap(err, "encode record"))
	}
	if age := in.instance.contact.age(); age > storeGone && in.instance.contact.made() {
		return errs.New(step, "", "the store has not answered for %d ms", age.Milliseconds()).WithRetry()
	}
	ctx, cancel := context.WithTimeout(ctx, intakeLimit)
	defer cancel()
	e := &intakeEntry{ctx: ctx, id: id, record: store.Record{Key: key, Value: data}, done: make(chan error, 1)}
	if !in.enqueue(e, 0) {
		return errs.New(step, "", "%d records wait for the store", maxIntakeQueue).WithRetry()
	}
	// The appender answers every entry, also after its deadline, since only it
	// knows whether the record may have been stored.
	return <-e.done
}

// enqueue hands an entry to one of the lanes for its job, false if that is full.
func (in *intake) enqueue(e *intakeEntry, home int) bool {
	select {
	case in.lanes[intakeHomes(e.id, len(in.lanes))[home].Number].queue <- e:
		return true
	default:
		return false
	}
}

func (in *intake) run(ctx context.Context) {
	var group sync.WaitGroup
	for _, l := range in.lanes {
		group.Go(func() { l.run(ctx) })
	}
	group.Wait()
}

func (l *lane) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			l.reject()
			return
		case e := <-l.queue:
			l.append(ctx, l.collect(e))
		}
	}
}

// reject answers what waits when the process ends.
func (l *lane) reject() {
	for {
		select {
		case e := <-l.queue:
			l.fail([]*intakeEntry{e}, errs.New("intake", "", "the instance stops").WithRetry())
		default:
			return
		}
	}
}

func (l *lane) collect(first *intakeEntry) []*intakeEntry {
	entries := []*intakeEntry{first}
	for len(entries) < maxIntakeRecords {
		select {
		case e := <-l.queue:
			entries = append(entries, e)
		default:
			return entries
		}
	}
	return entries
}

// move hands the entries that are in their first lane to their second one and
// returns the others.
func (l *lane) move(entries []*intakeEntry) []*intakeEntry {
	var left []*intakeEntry
	for _, e := range entries {
		if !e.moved && len(l.intake.lanes) > 1 {
			e.moved = true
			if l.intake.enqueue(e, 1) {
				continue
			}
		}
		left = append(left, e)
	}
	return left
}

// append stores entries. It repeats an append without answer until the callers'
// deadlines: keyed records make a repetition harmless.
func (l *lane) append(ctx context.Context, entries []*intakeEntry) {
	refused := 0
	for {
		entries = l.dropExpired(entries)
		if len(entries) == 0 {
			return
		}
		err := l.tryAppend(ctx, entries)
		switch {
		case err == nil:
			for _, e := range entries {
				e.done <- nil
			}
			return
		case errors.Is(err, store.ErrRefused):
			refused++
			if refused >= refusedTries {
				entries = l.refuse(l.move(entries), err)
			}
			sleep(ctx, refusedPause)
		default:
			if errs.From("intake", "", err).Outcome != pb.Outcome_OUTCOME_NOT_RUN {
				for _, e := range entries {
					e.sent = true
				}
			}
			entries = l.move(entries)
			sleep(ctx, unknownPause)
		}
		if ctx.Err() != nil {
			l.fail(entries, errs.New("intake", "", "the instance stops"))
			return
		}
	}
}

// tryAppend makes one append. It ends with the last caller that waits for it.
func (l *lane) tryAppend(ctx context.Context, entries []*intakeEntry) error {
	records := make([]store.Record, len(entries))
	var last time.Time
	for n, e := range entries {
		records[n] = e.record
		if deadline, ok := e.ctx.Deadline(); ok && deadline.After(last) {
			last = deadline
		}
	}
	if limit := time.Now().Add(appendLimit); limit.Before(last) {
		last = limit
	}
	ctx, cancel := context.WithDeadline(ctx, last)
	defer cancel()
	_, err := l.intake.instance.store.Append(ctx, l.partition, records, store.AppendOptions{})
	return err
}

// refuse answers the entries that were certainly not stored and returns the
// others.
func (l *lane) refuse(entries []*intakeEntry, cause error) []*intakeEntry {
	var left []*intakeEntry
	for _, e := range entries {
		if e.sent {
			left = append(left, e)
			continue
		}
		e.done <- errs.Wrap("intake", "", pb.Outcome_OUTCOME_NOT_RUN, cause).WithRetry()
	}
	return left
}

func (l *lane) dropExpired(entries []*intakeEntry) []*intakeEntry {
	var left []*intakeEntry
	for _, e := range entries {
		if e.ctx.Err() == nil {
			left = append(left, e)
			continue
		}
		l.fail([]*intakeEntry{e}, errs.New("intake", "", "the store did not answer in time"))
	}
	return left
}

func (l *lane) fail(entries []*intakeEntry, cause *errs.Error) {
	for _, e := range entries {
		failure := *cause
		if e.sent {
			failure.Outcome = pb.Outcome_OUTCOME_UNKNOWN
		}
		e.done <- &failure
	}
}
