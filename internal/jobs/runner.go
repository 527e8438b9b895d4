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

// Runner connects the core of the job partition to the control loop, the workers
// and the peers. It implements control.Module.
type Runner struct {
	o       Options
	core    *Core
	metrics *metrics
	clients map[string]client
	waiters map[string][]*waiter
	// copiesSentAt is when copies of unrecorded jobs were last sent to the owner.
	copiesSentAt time.Time
	// skipPermissionCheck disables the check before a start, for the test that
	// shows what the check prevents.
	skipPermissionCheck bool
}

type client struct {
	address string
	worker  remote.Worker
}

// waiter is a caller that waits for an update of a job for which done reports true.
type waiter struct {
	done func(JobUpdate) bool
	out  chan Reply
}

var _ control.Module = (*Runner)(nil)

// NewRunner returns a runner. The control loop in the options must call it as a
// module.
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
	r.core.ApplyRecord(body.Epoch, body.Job, now)
	r.applyOutput()
}

// Tick implements control.Module.
func (r *Runner) Tick(now time.Time, view *control.View) {
	owned := r.core.active
	r.core.SetView(coreView(view, now), now)
	if owned && !r.core.active {
		r.failWaiters()
	}
	r.core.Tick(now)
	r.applyOutput()
	r.sendCopiesToOwner(now)
	r.updateGauges()
	r.pruneClients()
}

// pruneClients removes the clients of workers that are gone.
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

// coreView extracts what the core needs from a control view. The partition counts
// as owned only once the claim has taken effect, since an earlier owner may act
// until then.
func coreView(v *control.View, now time.Time) CoreView {
	s := CoreView{LogReadable: v.LogReadable, Leaving: v.Leaving, Config: v.Config, Workers: v.Workers, Targets: v.Targets}
	if p := jobPartition(v); p != nil && p.Own && !now.Before(p.EffectiveAt) {
		s.Own = true
		s.Epoch = p.Epoch
		s.MayAct = p.MayAct(now)
	}
	return s
}

// jobPartition returns the job partition of a view, nil if there is no view yet or
// it has no partitions.
func jobPartition(v *control.View) *control.Partition {
	if v == nil || len(v.Partitions) == 0 {
		return nil
	}
	return &v.Partitions[v.JobPartition()]
}

// SnapshotJobs returns the recorded jobs for a control snapshot. It must run on
// the control goroutine.
func (r *Runner) SnapshotJobs() []*pb.Job { return r.core.SnapshotJobs() }

// Restore replaces the recorded jobs with those of a control snapshot. It must run
// on the control goroutine.
func (r *Runner) Restore(jobs []*pb.Job) { r.core.Restore(jobs) }

// applyOutput carries out the pending output of the core.
func (r *Runner) applyOutput() {
	out := r.core.TakeOutput()
	for _, e := range out.Events {
		r.recordEvent(e)
	}
	for _, job := range out.Records {
		r.metrics.records.Inc()
		r.o.Loop.Append(&pb.StreamRecord{Body: &pb.StreamRecord_Job{Job: &pb.JobRecord{Epoch: r.core.view.Epoch, Job: job}}})
	}
	for _, job := range out.Copies {
		r.sendCopyOf(job)
	}
	for _, call := range out.Calls {
		r.startCall(call)
	}
	for _, u := range out.Updates {
		r.notifyWaiters(u)
	}
}

// recordEvent counts an event, adds it to the timeline, and logs it unless it is
// about a single job.
func (r *Runner) recordEvent(e events.Event) {
	r.metrics.jobEvents.WithLabelValues(e.Kind).Inc()
	if r.o.Events != nil {
		r.o.Events.Add(e)
	}
	if r.o.Log != nil && e.ID == "" {
		r.o.Log.WithFields(logrus.Fields{"event": e.Kind, "worker": e.Worker}).Info(e.Detail)
	}
}

func (r *Runner) updateGauges() {
	r.metrics.active.Set(float64(len(r.core.jobs)))
	r.metrics.recorded.Set(float64(len(r.core.recorded)))
	r.metrics.queued.WithLabelValues("urgent").Set(float64(r.core.urgent.Len()))
	r.metrics.queued.WithLabelValues("batch").Set(float64(r.core.batch.Len()))
}

// notifyWaiters replies to the callers that wait for an update.
func (r *Runner) notifyWaiters(u JobUpdate) {
	list := r.waiters[u.Job.Id]
	remaining := list[:0]
	for _, w := range list {
		if w.done(u) {
			w.out <- Reply{Job: u.Job, unrecorded: !u.Durable}
		} else {
			remaining = append(remaining, w)
		}
	}
	if len(remaining) == 0 {
		delete(r.waiters, u.Job.Id)
	} else {
		r.waiters[u.Job.Id] = remaining
	}
}

// failWaiters fails all waiting callers after this instance has lost the partition.
func (r *Runner) failWaiters() {
	for id, list := range r.waiters {
		for _, w := range list {
			w.out <- Reply{Job: &pb.Job{Id: id}, Failure: lostOwnership()}
		}
	}
	clear(r.waiters)
}

func lostOwnership() *errs.Error {
	return errs.Wrap("record job", "", pb.Outcome_OUTCOME_UNKNOWN, errOwnerChanged).WithRetry()
}

// startCall makes a worker call on a new goroutine, which posts the result to the
// control loop.
func (r *Runner) startCall(call Call) {
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
			r.applyOutput()
		})
	}()
}

// client returns the client for a worker, nil if the worker's address is unknown.
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

// invokeStart checks the permission to act immediately before the call, so that a
// process that was paused does not start work after its permission has expired.
func (r *Runner) invokeStart(ctx context.Context, w remote.Worker, res *CallResult) {
	p := jobPartition(r.o.Loop.View())
	if r.skipPermissionCheck {
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
