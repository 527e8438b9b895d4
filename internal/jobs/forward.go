package jobs

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"gooseberryreel/internal/control"
	"gooseberryreel/internal/errs"
	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/peer"
)

const (
	// maxHops bounds forwarding, since stale views may disagree on the owner.
	maxHops = 3
	// callerTimeout bounds a call whose context has no deadline.
	callerTimeout = 10 * time.Second
)

var (
	errLost      = errors.New("the job partition changed its owner before the record was read back")
	errNoAddress = errors.New("the worker's address is not known")
)

// Submit takes a job, or forwards it to the owner of the job partition of its
// id's domain. It returns once the job is recorded, or, for urgent jobs while
// the log can't be read, once a worker has confirmed the start.
func (r *Runner) Submit(ctx context.Context, req *pb.SubmitJobRequest) *pb.JobReply {
	ctx, cancel := context.WithTimeout(ctx, callerTimeout)
	defer cancel()
	id := req.GetId()
	if id == "" {
		id = newID(r.o.Loop.View().Domain)
	}
	domain, issued, err := parseID(id)
	if err != nil {
		return r.reply(Reply{Failure: errs.New(stepSubmit, "", "%v", err).WithStatus(http.StatusBadRequest)}, stepSubmit, id)
	}
	r.observe(req.GetHlc())
	sub := SubmitRequest{ID: id, Name: req.GetName(), Urgent: req.GetUrgent(), IssuedMS: issued.UnixMilli()}
	return r.route(ctx, stepSubmit, id, domain, req.GetHops(), routes{
		local: func(now time.Time) Reply { return r.core.Submit(sub, now) },
		done:  func(a JobUpdate) bool { return a.Durable || (a.Confirmed && a.Job.Urgent) },
		remote: func(ctx context.Context, c pb.DRPCPeerClient, hops int32) (*pb.JobReply, error) {
			return c.SubmitJob(ctx, &pb.SubmitJobRequest{Id: id, Name: sub.Name, Urgent: sub.Urgent, Hlc: r.clock(), Hops: hops})
		},
	})
}

// Cancel cancels a job. It returns once the wish is recorded.
func (r *Runner) Cancel(ctx context.Context, req *pb.JobIdRequest) *pb.JobReply {
	return r.byID(ctx, "cancel job", req, routes{
		local: func(now time.Time) Reply { return r.core.Cancel(req.GetId(), now) },
		done:  func(a JobUpdate) bool { return a.Durable && (a.Job.CancelRequested || terminal(a.Job.State)) },
		remote: func(ctx context.Context, c pb.DRPCPeerClient, hops int32) (*pb.JobReply, error) {
			return c.CancelJob(ctx, &pb.JobIdRequest{Id: req.GetId(), Hlc: r.clock(), Hops: hops})
		},
	})
}

// Get returns the state of a job.
func (r *Runner) Get(ctx context.Context, req *pb.JobIdRequest) *pb.JobReply {
	return r.byID(ctx, "look up job", req, routes{
		local: func(time.Time) Reply { return r.core.Get(req.GetId()) },
		remote: func(ctx context.Context, c pb.DRPCPeerClient, hops int32) (*pb.JobReply, error) {
			return c.GetJob(ctx, &pb.JobIdRequest{Id: req.GetId(), Hlc: r.clock(), Hops: hops})
		},
	})
}

func (r *Runner) byID(ctx context.Context, step string, req *pb.JobIdRequest, to routes) *pb.JobReply {
	ctx, cancel := context.WithTimeout(ctx, callerTimeout)
	defer cancel()
	domain, _, err := parseID(req.GetId())
	if err != nil {
		return r.reply(Reply{Failure: errs.New(step, "", "%v", err).WithStatus(http.StatusBadRequest)}, step, req.GetId())
	}
	r.observe(req.GetHlc())
	return r.route(ctx, step, req.GetId(), domain, req.GetHops(), to)
}

// routes are the ways to answer one call.
type routes struct {
	local  func(now time.Time) Reply
	done   func(JobUpdate) bool
	remote func(ctx context.Context, c pb.DRPCPeerClient, hops int32) (*pb.JobReply, error)
}

// route answers a call here if this instance owns the job partition of the
// domain, and forwards it otherwise.
func (r *Runner) route(ctx context.Context, step, id, domain string, hops int32, to routes) *pb.JobReply {
	v := r.o.Loop.View()
	p := jobPartition(v)
	if domain == v.Domain && p != nil && p.Own {
		reply := r.local(ctx, step, id, to)
		if reply.unrecorded && reply.Failure == nil {
			reply.Failure = r.copyJob(ctx, reply.Job)
		}
		return r.reply(reply, step, id)
	}
	address, failure := destination(v, domain, step)
	if failure == nil && hops >= maxHops {
		failure = errs.New(step, address, "forwarded %d times without reaching the owner", hops).WithRetry()
	}
	if failure != nil {
		return r.reply(Reply{Failure: failure}, step, id)
	}
	var out *pb.JobReply
	err := r.o.Pool.Call(ctx, address, func(ctx context.Context, c pb.DRPCPeerClient) (err error) {
		out, err = to.remote(ctx, c, hops+1)
		return err
	})
	if err != nil {
		return r.reply(Reply{Failure: forwardError(step, address, err)}, step, id)
	}
	r.observe(out.GetHlc())
	return out
}

func forwardError(step, address string, err error) *errs.Error {
	outcome := pb.Outcome_OUTCOME_UNKNOWN
	if peer.NotSent(err) {
		outcome = pb.Outcome_OUTCOME_NOT_RUN
	}
	return errs.Wrap(step, address, outcome, err).WithRetry()
}

// destination returns the peer to forward to: the owner in the own domain, or
// any member of another domain.
func destination(v *control.View, domain, step string) (string, *errs.Error) {
	if domain == v.Domain {
		if p := jobPartition(v); p != nil && p.OwnerAddress != "" {
			return p.OwnerAddress, nil
		}
		return "", errs.New(step, "", "nobody owns the job partition of %s now", domain).WithRetry()
	}
	known := false
	for _, m := range v.Members {
		if m.Domain != domain {
			continue
		}
		known = true
		if !m.Leaving && m.PeerAddress != "" {
			return m.PeerAddress, nil
		}
	}
	if !known {
		return "", errs.New(step, "", "no instance of domain %q is known", domain).WithRetry()
	}
	return "", errs.New(step, "", "all known instances of %s are leaving", domain).WithRetry()
}

// local runs a call on the control goroutine and waits for its answer.
func (r *Runner) local(ctx context.Context, step, id string, to routes) Reply {
	w := &waiter{done: to.done, out: make(chan Reply, 1)}
	r.o.Loop.Post(func(now time.Time) {
		if ctx.Err() != nil {
			w.out <- Reply{Failure: errs.New(step, "", "the caller's time ran out before the call was taken").WithRetry().WithStatus(http.StatusGatewayTimeout)}
			return
		}
		reply := to.local(now)
		if reply.Wait && to.done != nil {
			r.waiters[id] = append(r.waiters[id], w)
		} else {
			w.out <- reply
		}
		r.flush()
	})
	select {
	case reply := <-w.out:
		return reply
	case <-ctx.Done():
		r.o.Loop.Post(func(time.Time) { r.drop(id, w) })
		return Reply{Failure: errs.Wrap(step, "", pb.Outcome_OUTCOME_UNKNOWN,
			errors.New("no record was read back in time; look the job up by its id")).WithRetry().WithStatus(http.StatusGatewayTimeout)}
	}
}

func (r *Runner) drop(id string, w *waiter) {
	list := r.waiters[id]
	for i := range list {
		if list[i] == w {
			r.waiters[id] = append(list[:i:i], list[i+1:]...)
			break
		}
	}
	if len(r.waiters[id]) == 0 {
		delete(r.waiters, id)
	}
}

// reply converts a reply to its message. Failures carry the id, so that the
// caller can look the job up.
func (r *Runner) reply(in Reply, step, id string) *pb.JobReply {
	out := &pb.JobReply{Job: in.Job, Hlc: r.clock()}
	if in.Failure != nil {
		out.Failure = in.Failure.Failure()
		r.metrics.refused.WithLabelValues(step, errs.OutcomeName(in.Failure.Outcome)).Inc()
		if out.Job == nil {
			out.Job = &pb.Job{Id: id}
		}
	}
	return out
}

func (r *Runner) clock() int64 {
	if r.o.Events == nil {
		return 0
	}
	return r.o.Events.Clock().Now()
}

func (r *Runner) observe(hlc int64) {
	if r.o.Events != nil && hlc != 0 {
		r.o.Events.Clock().Observe(hlc)
	}
}

// ReportLatency takes the digests of an entry instance. The digests of this
// instance go on to the owner if another instance owns the partition.
func (r *Runner) ReportLatency(ctx context.Context, req *pb.ReportLatencyRequest) {
	v := r.o.Loop.View()
	p := jobPartition(v)
	switch {
	case p == nil:
	case p.Own:
		r.o.Loop.Post(func(now time.Time) { r.core.ReportLatency(req.GetDigests(), now) })
	case p.OwnerAddress != "" && req.GetInstance() == v.Instance:
		ctx, cancel := context.WithTimeout(ctx, callerTimeout)
		defer cancel()
		err := r.o.Pool.Call(ctx, p.OwnerAddress, func(ctx context.Context, c pb.DRPCPeerClient) error {
			_, err := c.ReportLatency(ctx, req)
			return err
		})
		if err != nil {
			r.metrics.refused.WithLabelValues("report latency", "unknown").Inc()
		}
	}
}
