package daemon

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"gooseberryreel/internal/leader"
	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/scheduler"
	"gooseberryreel/internal/store"
)

const (
	// tickInterval is how often the core sees time pass.
	tickInterval = 25 * time.Millisecond
	// batchPause is the shortest time between two appends of the owner. Longer
	// batches cost starts their time, shorter ones calls to the store.
	batchPause = 12 * time.Millisecond
	// appendRetry is the pause after an append that the store refused.
	appendRetry = 40 * time.Millisecond
	// newerOwnerLooks is the number of renewals for each look for a newer owner.
	newerOwnerLooks = 3
	// yieldLooks is the number of renewals for each look for a candidate on a
	// larger machine.
	yieldLooks = 5
	// askEarlierPause is how often an earlier owner is asked whether it still is.
	askEarlierPause = 300 * time.Millisecond
	// eventQueue bounds what waits for the core.
	eventQueue = 4096
)

var errNotOwner = errors.New("the instance does not own the job state")

// ownership is one term as the owner.
type ownership struct {
	instance *Instance
	core     *scheduler.Core
	epoch    int64
	events   chan func(*scheduler.Core, time.Time)
	done     chan struct{} // closed when the term is over
	end      context.CancelFunc
	ctx      context.Context

	orders *orderQueues

	recordedEnd atomic.Int64 // of the job topic

	mu            sync.Mutex
	intakeCursors []int64 // by partition: the core has taken all records before it

	// The rest belongs to the loop.
	sequence  int64
	appending bool
	alone     *pb.OwnerRecord // to be recorded once no earlier owner is left
	lastBatch time.Time
}

// current returns the term of this instance, nil if it is not the owner.
func (i *Instance) current() *ownership {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.own
}

func (i *Instance) setCurrent(o *ownership) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.own = o
	i.metrics.owner.Set(0)
	if o != nil {
		i.metrics.owner.Set(1)
	}
}

// serveOwnership runs a term until it is lost or stop ends.
func (i *Instance) serveOwnership(stop, work context.Context, s *stored, me string, elector *leader.Elector) {
	ctx, cancel := context.WithCancel(work)
	defer cancel()
	o := &ownership{
		instance: i, core: i.restore(s, time.Now()), epoch: s.owner.GetEpoch(), ctx: ctx, end: cancel,
		events: make(chan func(*scheduler.Core, time.Time), eventQueue), done: make(chan struct{}),
		sequence: 1, intakeCursors: s.intakeEnd,
	}
	o.recordedEnd.Store(s.end)
	o.orders = newOrderQueues(o)
	i.setCurrent(o)
	var group sync.WaitGroup
	run := func(f func()) {
		group.Add(1)
		go func() { defer group.Done(); f() }()
	}
	run(func() { o.renew(me, elector) })
	run(func() { i.watchWorkers(ctx, o) })
	for n := range s.intakeEnd {
		run(func() { o.followIntake(store.Partition{Topic: intakeTopic, Number: n}) })
	}
	run(func() { o.trimRegularly() })
	run(func() { o.askEarlier(s.owner) })
	go func() {
		select {
		case <-stop.Done():
			o.lose("the instance stops")
		case <-ctx.Done():
		}
	}()
	o.loop()
	close(o.done)
	i.setCurrent(nil)
	cancel()
	group.Wait()
	if err := i.store.Leave(work, ownerGroup, me); err != nil {
		i.log.WithField("event", "leave failed").WithError(err).Warn("membership")
	}
}

// lose ends the term.
func (o *ownership) lose(why string) {
	if o.ctx.Err() == nil {
		o.instance.log.WithField("event", "ownership ends").WithField("epoch", o.epoch).WithField("why", why).Info("membership")
	}
	o.end()
}

// askEarlier asks the earlier owners until each has answered that it no longer
// owns the jobs, or must have given up. A refused connection proves nothing: a cut may refuse as well.
func (o *ownership) askEarlier(me *pb.OwnerRecord) {
	i := o.instance
	left := slices.Clone(me.GetEarlier())
	lease := time.Duration(i.settings.GetBounds().GetLeaseMs()) * time.Millisecond
	for begun := time.Now(); o.ctx.Err() == nil && len(left) > 0 && time.Since(begun) < scheduler.OwnerGrace+2*lease; {
		left = slices.DeleteFunc(left, func(earlier *pb.OwnerRecord) bool {
			if earlier.GetPeerAddress() == i.peerAddress() {
				return true // an earlier term of this process or of one before it
			}
			owns := true
			err := i.callOwner(o.ctx, earlier.GetPeerAddress(), func(ctx context.Context, c pb.DRPCJobsClient) error {
				reply, err := c.JobState(ctx, &pb.JobStateRequest{})
				owns = reply.GetOwner()
				return err
			})
			return err == nil && !owns
		})
		if len(left) > 0 {
			sleep(o.ctx, askEarlierPause)
		}
	}
	if o.ctx.Err() != nil {
		return
	}
	alone := proto.CloneOf(me)
	alone.Earlier = nil
	o.post(func(c *scheduler.Core, now time.Time) {
		c.ConfirmNoEarlierOwner(now)
		o.alone = alone
	})
}

// renew keeps the owner listed, and ends the term when the store has been out
// of reach for so long that another owner may no longer count on its leases.
func (o *ownership) renew(me string, elector *leader.Elector) {
	i := o.instance
	for n := 1; o.ctx.Err() == nil; n++ {
		if n%newerOwnerLooks == 0 {
			i.lookForNewer(o.ctx)
		}
		err := i.store.Join(o.ctx, ownerGroup, me, i.ownerTTL())
		if err != nil && i.contact.age() > scheduler.OwnerGrace {
			o.lose("the store is out of reach")
			return
		}
		if newest := i.owner.Load(); newest.GetEpoch() > o.epoch {
			o.lose("there is a newer owner")
			return
		}
		if n%yieldLooks == 0 {
			if candidates, err := i.candidates(o.ctx); err == nil && elector.ShouldYield(candidates, time.Now()) {
				o.lose("an instance on a larger machine is there")
				return
			}
		}
		sleep(o.ctx, ownerRenewal)
	}
}

// post hands an event to the loop.
func (o *ownership) post(f func(*scheduler.Core, time.Time)) {
	select {
	case o.events <- f:
	case <-o.ctx.Done():
	}
}

// ask runs f on the loop and waits for it.
func (o *ownership) ask(ctx context.Context, f func(*scheduler.Core)) error {
	ran := make(chan struct{})
	event := func(c *scheduler.Core, _ time.Time) { f(c); close(ran) }
	select {
	case o.events <- event:
	case <-o.done:
		return errNotOwner
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-ran:
		return nil
	case <-o.done:
		return errNotOwner
	case <-ctx.Done():
		return ctx.Err()
	}
}

// loop owns the core.
func (o *ownership) loop() {
	core := o.core
	core.Start(time.Now())
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		o.output()
		select {
		case <-o.ctx.Done():
			return
		case f := <-o.events:
			now := time.Now()
			f(core, now)
			o.drain(now)
			core.Tick(now)
		case now := <-ticker.C:
			core.Tick(now)
		}
		if core.Fenced() {
			o.lose("a worker has seen a newer owner")
			return
		}
	}
}

// drain takes the events that wait already, so that they share a pass.
func (o *ownership) drain(now time.Time) {
	for range len(o.events) {
		(<-o.events)(o.core, now)
	}
}

// output carries out what the core wants.
func (o *ownership) output() {
	now := time.Now()
	if !o.appending && now.Sub(o.lastBatch) >= batchPause {
		if batch := o.core.TakeBatch(now); !batch.Empty() {
			o.appending, o.lastBatch = true, now
			go o.record(batch, o.alone)
			o.alone = nil
		}
	}
	out := o.core.TakeOutput()
	for _, n := range out.LogEntries {
		o.instance.note(n)
	}
	for _, order := range out.Commands {
		o.orders.add(order)
	}
	for _, a := range out.AdviceRequests {
		go func() {
			answer := o.instance.advice.Ask(o.ctx, a)
			o.post(func(c *scheduler.Core, now time.Time) { c.AdviceDone(answer, now) })
		}()
	}
}

// record appends a batch under the epoch of the term. It repeats the append
// until the store has answered: the sequence number makes that harmless.
func (o *ownership) record(b *scheduler.Batch, owner *pb.OwnerRecord) {
	records := make([]store.Record, 0, len(b.Jobs)+len(b.ExpiredJobs)+1)
	if owner != nil {
		if data, err := proto.Marshal(owner); err == nil {
			records = append(records, store.Record{Key: ownerKey, Value: data})
		}
	}
	if b.Interference != nil {
		if data, err := proto.Marshal(b.Interference); err == nil {
			records = append(records, store.Record{Key: pairsKey, Value: data})
		}
	}
	for _, j := range b.Jobs {
		data, err := proto.Marshal(j)
		if err != nil {
			o.lose("a job cannot be encoded: " + err.Error())
			return
		}
		records = append(records, store.Record{Key: j.GetId(), Value: data})
	}
	for _, id := range b.ExpiredJobs {
		records = append(records, store.Record{Key: id})
	}
	if len(records) > 0 && !o.append(records) {
		return
	}
	if len(b.ExpiredJobs) > 0 {
		o.dropIntake(b.ExpiredJobs)
	}
	o.post(func(c *scheduler.Core, now time.Time) {
		o.appending = false
		c.Committed(b, now)
	})
}

// append returns false if the term is over.
func (o *ownership) append(records []store.Record) bool {
	i := o.instance
	begun := time.Now()
	for o.ctx.Err() == nil {
		end, err := i.store.Append(o.ctx, jobTopic, records, store.AppendOptions{
			Producer: &store.Producer{Name: ownerName, Epoch: o.epoch, Sequence: o.sequence},
		})
		switch {
		case err == nil:
			o.sequence++
			o.recordedEnd.Store(end)
			i.metrics.commitSeconds.Observe(time.Since(begun).Seconds())
			return true
		case errors.Is(err, store.ErrFenced), errors.Is(err, store.ErrOutOfSequence):
			o.lose(err.Error())
			return false
		}
		sleep(o.ctx, appendRetry)
	}
	return false
}
