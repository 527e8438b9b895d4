package daemon

import (
	"context"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"gooseberryreel/internal/leader"
	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/relay"
	"gooseberryreel/internal/scheduler"
	"gooseberryreel/internal/store"
	"gooseberryreel/internal/witness"
)

const (
	// tickInterval is the interval of the core's ticks, which advance its time.
	tickInterval = 25 * time.Millisecond
	// minTickInterval is the shortest time between two ticks. A tick visits all
	// workers and attempts, and results arrive more often than that.
	minTickInterval = 5 * time.Millisecond
	// minBatchInterval is the shortest time between two appends of the owner. A
	// longer interval delays starts, a shorter one makes more calls to the store.
	minBatchInterval = 12 * time.Millisecond
	// appendRetryDelay is the delay after a failed append.
	appendRetryDelay = 40 * time.Millisecond
	// newerOwnerCheckRenewals is the number of renewals between two checks for a
	// newer owner.
	newerOwnerCheckRenewals = 3
	// yieldCheckRenewals is the number of renewals between two checks for a
	// candidate on a larger machine.
	yieldCheckRenewals = 5
	// ownerGCPercent replaces defaultGCPercent, that of the runtime, while the instance
	// is the owner. Its state is large and lives long, and collecting it takes the time
	// of the loop. The memory limit of the process still holds.
	ownerGCPercent   = 400
	defaultGCPercent = 100
	// maxQueuedEvents limits the events that wait for the core.
	maxQueuedEvents = 4096
)

var errNotOwner = errors.New("the instance does not own the job state")

// ownerTerm is one term of this instance as the owner.
type ownerTerm struct {
	instance *Instance
	core     *scheduler.Core
	epoch    int64
	events   chan event
	done     chan struct{}      // closed when the term is over
	end      context.CancelFunc // cancels ctx
	ctx      context.Context

	router *relay.Router

	confirmed    storeContact // when a look-up or an append last showed that there is no newer owner
	committedEnd atomic.Int64 // end offset of the job topic after the newest append
	queueLengths queueLengths
	expiry       expiry

	mu            sync.Mutex
	intakeCursors []int64 // by partition: the core has applied all records before this offset

	// intakeRead are the boot times, by partition, up to which the core has applied all
	// records.
	intakeRead []storeContact

	// The fields below are used by loop, and sequence by the append in flight.
	sequence     int64
	appending    bool
	record       *pb.OwnerRecord
	recordQueued []chan struct{} // closed when the present record is stored, empty if it is
	lastBatch    time.Time
	evacuations  evacuationView
	load         *loopLoad

	grants atomic.Pointer[witness.Grants] // nil while the owner acts without witnesses
	// notOwnerSince is the boot time at which the instance had stopped acting before the term.
	notOwnerSince time.Duration
	suspects      map[string]int32 // owners that have failed under a job, as of the takeover
	progress      atomic.Int64     // iterations of loop
	stuck         atomic.Bool      // see watchLoop
}

// currentTerm returns the term of this instance, nil if it is not the owner.
func (i *Instance) currentTerm() *ownerTerm {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.term
}

func (i *Instance) setCurrentTerm(o *ownerTerm) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.term = o
	if o != nil {
		i.metrics.owner.Set(1)
		return
	}
	i.metrics.owner.Set(0)
	i.notOwnerSince = bootTime()
}

// notOwnerFor returns for how long this instance has not owned the job state.
func (i *Instance) notOwnerFor() time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	return bootTime() - i.notOwnerSince
}

// runTerm runs a term until the ownership is lost or termCtx ends.
func (i *Instance) runTerm(termCtx, workCtx context.Context, s *storedState, memberName string, elector *leader.Elector) {
	ctx, cancel := context.WithCancel(workCtx)
	defer cancel()
	o := &ownerTerm{
		instance: i, epoch: s.owner.GetEpoch(), ctx: ctx, end: cancel, suspects: s.suspects, notOwnerSince: bootTime() - i.notOwnerFor(),
		events: make(chan event, maxQueuedEvents), done: make(chan struct{}),
		sequence: 1, intakeCursors: s.intakeEnd, intakeRead: make([]storeContact, len(s.intakeEnd)),
	}
	for n := range o.intakeRead {
		o.intakeRead[n].advance(s.claimedAt)
	}
	o.record = proto.CloneOf(s.owner)
	o.record.Idle = false
	o.recordQueued = []chan struct{}{make(chan struct{})} // goes with the first batch
	o.restore(s)
	if i.faulty.Load() {
		return
	}
	debug.SetGCPercent(ownerGCPercent)
	defer debug.SetGCPercent(defaultGCPercent)
	o.load = newLoopLoad(i.metrics.loop, o.core.PassCounts())
	o.confirmed.advance(s.claimedAt)
	o.committedEnd.Store(s.end)
	o.router = relay.NewRouter(ctx, relay.RouterOptions{
		Token: o.epoch, Limits: i.relayLimits(), CPUMilli: i.cpuMilli(), Executor: i.executor, MayAct: o.mayAct, Deliver: o.deliver, Log: i.log,
	})
	i.setCurrentTerm(o)
	i.passRequests(o)
	var group sync.WaitGroup
	run := func(f func()) {
		group.Add(1)
		go func() { defer group.Done(); f() }()
	}
	run(func() { o.renewListing(memberName, elector) })
	run(func() { i.watchWorkers(ctx, o) })
	for n := range s.intakeEnd {
		run(func() { o.consumeIntake(store.Partition{Topic: intakeTopic, Number: n}) })
	}
	run(func() { o.trimPeriodically() })
	run(func() { o.deleteExpired() })
	run(func() { o.maintainRelays() })
	run(func() { o.publishBacklogs() })
	run(func() { o.waitForEarlierOwners(s.owner) })
	run(o.keepWitnesses)
	run(o.watchLoop)
	go func() {
		select {
		case <-termCtx.Done():
			o.endTerm("the instance is shutting down")
		case <-ctx.Done():
		}
	}()
	o.loop()
	cancel() // nothing is sent from here on
	close(o.done)
	i.setCurrentTerm(nil)
	i.metrics.evacuations.clear()
	group.Wait()
	if err := i.store.Leave(workCtx, ownerGroup, memberName); err != nil {
		i.log.WithField("event", "leave failed").WithError(err).Warn("membership")
	}
}

// restore creates the core. A panic there counts as one of the loop.
func (o *ownerTerm) restore(s *storedState) {
	defer o.recoverLoop()
	o.core = scheduler.New(o.instance.coreOptions(s.owner), time.Now())
	o.instance.restoreCore(o.core, s, time.Now())
	o.core.RestoreLeaseBounds(grantingOwners(s.owner.GetEarlier()))
}

// endTerm ends the term and logs the reason.
func (o *ownerTerm) endTerm(reason string) {
	if o.ctx.Err() == nil {
		o.instance.log.WithField("event", "ownership ends").WithField("epoch", o.epoch).WithField("why", reason).Info("membership")
	}
	o.end()
}

// renewListing keeps the owner listed. It ends the term if there is a newer owner,
// if the owner has to yield to a larger machine, and if the store has been
// unreachable, or has not confirmed that there is no newer owner, for longer than
// scheduler.OwnerGrace: a newer owner assumes that the term has ended by then.
func (o *ownerTerm) renewListing(memberName string, elector *leader.Elector) {
	i := o.instance
	for n := 1; o.ctx.Err() == nil; n++ {
		if n%newerOwnerCheckRenewals == 0 {
			asked := bootTime()
			if newest := i.refreshOwner(o.ctx); newest.GetEpoch() == o.epoch {
				o.confirmed.advance(asked)
			}
		}
		err := i.store.Join(o.ctx, ownerGroup, memberName, i.ownerTTL())
		if err != nil && i.storeContact.age() > scheduler.OwnerGrace {
			o.endTerm("the store is unreachable")
			return
		}
		if newest := i.owner.Load(); newest.GetEpoch() > o.epoch {
			o.endTerm("there is a newer owner")
			return
		}
		if o.confirmed.age() > scheduler.OwnerGrace {
			o.endTerm("the store has not confirmed that there is no newer owner")
			return
		}
		if n%yieldCheckRenewals == 0 {
			if candidates, err := i.candidates(o.ctx); err == nil && elector.ShouldYield(candidates, time.Now()) {
				o.endTerm("an instance on a larger machine is available")
				return
			}
		}
		sleep(o.ctx, ownerRenewInterval)
	}
}

// updateRecord changes the owner's record and has it stored with the next batch. The
// channel is closed once it is.
func (o *ownerTerm) updateRecord(change func(*pb.OwnerRecord)) <-chan struct{} {
	stored := make(chan struct{})
	o.post(workConfig, func(*scheduler.Core, time.Time) {
		o.record = proto.CloneOf(o.record)
		change(o.record)
		o.recordQueued = append(o.recordQueued, stored)
	})
	return stored
}

// post queues an event for the loop. The event is dropped if the term ends first.
func (o *ownerTerm) post(kind workKind, f func(*scheduler.Core, time.Time)) {
	select {
	case o.events <- event{kind, time.Now(), f}:
	case <-o.ctx.Done():
	}
}

// postAndWait runs f in the loop and waits until it has run. It returns
// errNotOwner if the term ends first, and the context's error if ctx ends first.
// f may still run in that case.
func (o *ownerTerm) postAndWait(ctx context.Context, kind workKind, f func(*scheduler.Core)) error {
	finished := make(chan struct{})
	apply := func(c *scheduler.Core, _ time.Time) { f(c); close(finished) }
	select {
	case o.events <- event{kind, time.Now(), apply}:
	case <-o.done:
		return errNotOwner
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-finished:
		return nil
	case <-o.done:
		return errNotOwner
	case <-ctx.Done():
		return ctx.Err()
	}
}

// loop runs the core: it applies events, advances time and sends the output until
// the term ends.
func (o *ownerTerm) loop() {
	defer o.recoverLoop()
	core := o.core
	core.Start(time.Now())
	lastTick := time.Now()
	timer := time.NewTimer(tickInterval)
	defer timer.Stop()
	for {
		o.progress.Add(1)
		o.sendOutput()
		if o.load.summarize(o.instance.log, core.PassCounts()) {
			o.load.exportWaits(core.LongestWaits(), core.LongestIdle())
		}
		select {
		case <-o.ctx.Done():
			return
		case e := <-o.events:
			o.load.begin()
			now := time.Now()
			o.apply(e, now)
			o.handleQueued(now)
			if wait := minTickInterval - now.Sub(lastTick); wait > 0 {
				timer.Reset(wait)
				break
			}
			lastTick = now
			o.tick(now)
			timer.Reset(tickInterval)
		case now := <-timer.C:
			o.load.begin()
			lastTick = now
			o.tick(now)
			timer.Reset(tickInterval)
		}
		if core.Fenced() {
			o.endTerm("a worker has refused a command because of a newer owner")
			return
		}
	}
}

// apply applies an event to the core.
func (o *ownerTerm) apply(e event, now time.Time) {
	o.load.waited(now.Sub(e.queuedAt), now)
	e.apply(o.core, now)
	o.load.done(e.kind)
}

// tick advances the core's time, and runs a placement pass if one is due.
func (o *ownerTerm) tick(now time.Time) {
	o.countLeases(o.core, now)
	o.core.Advance(now)
	o.load.done(workTick)
	if o.core.PassDue(now) && !now.Before(o.load.nextPassAt) {
		began := o.load.mark
		o.core.SetLate(o.load.late(now))
		o.core.Pass(now)
		o.load.passDone(began)
	}
}

// handleQueued applies the events that are already queued, so that one placement
// pass covers them all.
func (o *ownerTerm) handleQueued(now time.Time) {
	for range len(o.events) {
		o.apply(<-o.events, now)
	}
}

// sendOutput starts what the core has decided: the next append, log entries,
// commands and advice requests.
func (o *ownerTerm) sendOutput() {
	now := time.Now()
	defer o.load.done(workOutput)
	if !o.appending && now.Sub(o.lastBatch) >= minBatchInterval {
		if batch := o.core.TakeBatch(now); !batch.Empty() || len(o.recordQueued) > 0 {
			o.recordLeaseBounds(batch)
			o.appending, o.lastBatch = true, now
			go o.commitBatch(batch, o.record, o.recordQueued)
			o.recordQueued = nil
		}
		o.load.done(workRecords)
	}
	out := o.core.TakeOutput()
	late := o.load.late(now)
	for _, entry := range out.LogEntries {
		o.instance.metrics.observeDecision(entry)
		if late && routineDecisions[entry.Event] {
			o.load.notLogged++
			continue
		}
		o.instance.logDecision(entry)
	}
	o.load.done(workLog)
	o.evacuations.update(o.core, o.instance.metrics.evacuations, now)
	o.expiry.queue(out.Expired)
	o.router.Send(out.Commands)
	for _, a := range out.AdviceRequests {
		go func() {
			result := o.instance.advice.RequestAdvice(o.ctx, a)
			o.post(workResults, func(c *scheduler.Core, now time.Time) { c.AdviceDone(result, now) })
		}()
	}
}
