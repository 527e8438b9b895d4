package jobs

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"gooseberryreel/internal/control"
	"gooseberryreel/internal/errs"
	"gooseberryreel/internal/events"
	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/peer"
	"gooseberryreel/internal/remote"
)

// Options configures a Runner.
type Options struct {
	Loop      control.Loop
	Settings  *pb.JobSettings
	Policy    *pb.PolicySettings
	Pool      *peer.Pool
	NewWorker func(remote.Instance) remote.Worker
	Events    *events.Recorder
	Registry  prometheus.Registerer
	Log       logrus.FieldLogger
}

// Runner connects the core of the job partition with the control loop, the
// workers and the peers. It is a control.Module.
type Runner struct {
	o       Options
	core    *Core
	metrics *metrics
	clients map[string]client
	waiters map[string][]*waiter
	// offeredKept is when copies of unrecorded jobs were last handed to the owner.
	offeredKept time.Time
	// skipPermission leaves the check before a start out, for the test that
	// shows what it prevents.
	skipPermission bool
}

type client struct {
	address string
	worker  remote.Worker
}

// waiter is a caller that waits for a change of a job.
type waiter struct {
	done func(JobUpdate) bool
	out  chan Reply
}

var _ control.Module = (*Runner)(nil)

// NewRunner returns a runner whose loop must call it as a module.
func NewRunner(o Options) *Runner {
	return &Runner{
		o:       o,
		core:    NewCore(CoreOptions{Settings: o.Settings, Policy: o.Policy}),
		metrics: newMetrics(o.Registry),
		clients: make(map[string]client),
		waiters: make(map[string][]*waiter),
	}
}

// ApplyRecord implements control.Module.
func (r *Runner) ApplyRecord(rec control.LogRecord, now time.Time) {
	body := rec.Record.GetJob()
	if body.GetJob() == nil {
		return
	}
	r.core.Record(body.Epoch, body.Job, now)
	r.flush()
}

// Tick implements control.Module.
func (r *Runner) Tick(now time.Time, view *control.View) {
	owned := r.core.active
	r.core.SetView(situation(view, now), now)
	if owned && !r.core.active {
		r.failWaiters()
	}
	r.core.Tick(now)
	r.flush()
	r.offerKept(now)
	r.gauge()
	r.pruneClients()
}

// pruneClients drops the clients of workers that are gone.
func (r *Runner) pruneClients() {
	if len(r.clients) <= len(r.core.workers) {
		return
	}
	for name := range r.clients {
		if r.core.workers[name] == nil {
			delete(r.clients, name)
		}
	}
}

// situation extracts what the core needs. The partition counts as owned only
// once the claim has taken effect, since an earlier owner may act until then.
func situation(v *control.View, now time.Time) CoreView {
	s := CoreView{LogReadable: v.LogReadable, Leaving: v.Leaving, Config: v.Config, Workers: v.Workers, Targets: v.Targets}
	if p := jobPartition(v); p != nil && p.Own && !now.Before(p.EffectiveAt) {
		s.Own = true
		s.Epoch = p.Epoch
		s.MayAct = p.MayAct(now)
	}
	return s
}

// jobPartition returns the job partition, nil before the first view.
func jobPartition(v *control.View) *control.Partition {
	if v == nil || len(v.Partitions) == 0 {
		return nil
	}
	return &v.Partitions[v.JobPartition()]
}

// SnapshotJobs returns the recorded jobs for a control snapshot. It must run on
// the control goroutine.
func (r *Runner) SnapshotJobs() []*pb.Job { return r.core.SnapshotJobs() }

// Restore takes the jobs of a control snapshot. It must run on the control
// goroutine.
func (r *Runner) Restore(jobs []*pb.Job) { r.core.Restore(jobs) }

// flush carries out the core's outputs.
func (r *Runner) flush() {
	out := r.core.TakeOutput()
	for _, e := range out.Events {
		r.record(e)
	}
	for _, job := range out.Records {
		r.metrics.records.Inc()
		r.o.Loop.Append(&pb.StreamRecord{Body: &pb.StreamRecord_Job{Job: &pb.JobRecord{Epoch: r.core.sit.Epoch, Job: job}}})
	}
	for _, call := range out.Calls {
		r.start(call)
	}
	for _, a := range out.Updates {
		r.answer(a)
	}
}

func (r *Runner) record(e events.Event) {
	r.metrics.changes.WithLabelValues(e.Kind).Inc()
	if r.o.Events != nil {
		r.o.Events.Add(e)
	}
	if r.o.Log != nil && e.ID == "" {
		r.o.Log.WithFields(logrus.Fields{"event": e.Kind, "worker": e.Worker}).Info(e.Detail)
	}
}

func (r *Runner) gauge() {
	r.metrics.active.Set(float64(len(r.core.jobs)))
	r.metrics.recorded.Set(float64(len(r.core.recorded)))
	r.metrics.queued.WithLabelValues("urgent").Set(float64(r.core.urgent.Len()))
	r.metrics.queued.WithLabelValues("batch").Set(float64(r.core.batch.Len()))
}

// answer hands a change to the callers that wait for it.
func (r *Runner) answer(a JobUpdate) {
	list := r.waiters[a.Job.Id]
	kept := list[:0]
	for _, w := range list {
		if w.done(a) {
			w.out <- Reply{Job: a.Job, unrecorded: !a.Durable}
		} else {
			kept = append(kept, w)
		}
	}
	if len(kept) == 0 {
		delete(r.waiters, a.Job.Id)
	} else {
		r.waiters[a.Job.Id] = kept
	}
}

// failWaiters answers all callers after the partition was lost.
func (r *Runner) failWaiters() {
	for id, list := range r.waiters {
		for _, w := range list {
			w.out <- Reply{Job: &pb.Job{Id: id}, Failure: lostOwnership()}
		}
	}
	clear(r.waiters)
}

func lostOwnership() *errs.Error {
	return errs.Wrap("record job", "", pb.Outcome_OUTCOME_UNKNOWN, errLost).WithRetry()
}

// start makes a worker call in a goroutine of its own and posts the result.
func (r *Runner) start(call Call) {
	w := r.client(call.Worker)
	go func() {
		res := CallResult{Call: call}
		if w == nil {
			res.NotSent = call.Kind == CallStart
			res.Err = errNoAddress
		} else {
			r.invoke(w, &res)
		}
		r.metrics.calls.WithLabelValues(call.Kind.String(), resultName(&res)).Inc()
		r.o.Loop.Post(func(now time.Time) {
			r.core.CallDone(res, now)
			r.flush()
		})
	}()
}

// client returns the client of a worker, nil if its address is not known.
func (r *Runner) client(name string) remote.Worker {
	w := r.core.workers[name]
	if w == nil || w.inst.Address == "" {
		return nil
	}
	c, ok := r.clients[name]
	if !ok || c.address != w.inst.Address {
		c = client{address: w.inst.Address, worker: r.o.NewWorker(w.inst)}
		r.clients[name] = c
	}
	return c.worker
}

func (r *Runner) invoke(w remote.Worker, res *CallResult) {
	ctx, cancel := context.WithTimeout(context.Background(), r.core.opts.callTimeout)
	defer cancel()
	call := res.Call
	switch call.Kind {
	case CallStatus:
		res.Status, res.Err = w.Status(ctx)
	case CallStart:
		r.invokeStart(ctx, w, res)
	case CallStop:
		res.Err = w.Stop(ctx, call.Ref)
	case CallCheckpoint:
		res.Checkpoint, res.Err = w.Checkpoint(ctx, call.Ref)
	case CallThrottle:
		res.Err = w.Throttle(ctx, call.Ref, call.Percent)
	case CallRenew:
		res.Err = w.Renew(ctx, call.Refs, r.core.opts.lease)
	}
}

// invokeStart checks the permission to act immediately before the call, so that
// a process that was paused does not start work after its permission lapsed.
func (r *Runner) invokeStart(ctx context.Context, w remote.Worker, res *CallResult) {
	p := jobPartition(r.o.Loop.View())
	if r.skipPermission {
		res.Err = w.Start(ctx, res.Call.Spec)
		return
	}
	if p == nil || p.Epoch != res.Call.Spec.Epoch || !p.MayAct(time.Now()) {
		res.NotSent = true
		return
	}
	ctx, cancel := context.WithDeadline(ctx, p.ActUntil)
	defer cancel()
	res.Err = w.Start(ctx, res.Call.Spec)
}

func resultName(r *CallResult) string {
	switch {
	case r.NotSent:
		return "not_sent"
	case r.Err == nil:
		return "ok"
	case refused(r.Err):
		return "refused"
	default:
		return "unknown"
	}
}
