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
	// maxHops bounds the forwards of a request. Instances with stale views may
	// disagree on the owner and forward in a loop.
	maxHops = 3
	// callerTimeout bounds a request whose context has no earlier deadline.
	callerTimeout = 10 * time.Second
)

var (
	errOwnerChanged = errors.New("the owner of the job partition changed before the record was read back")
	errNoAddress    = errors.New("the address of the worker is unknown")
)

// Submit accepts a job, or forwards it to the owner of the job partition in the
// home domain of its id. It returns once the job is recorded. While the log can't
// be read, it returns for an urgent job once a worker has confirmed the start and
// another instance, if there is one, holds a copy.
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
	r.observeHLC(req.GetHlc())
	sub := SubmitRequest{ID: id, Name: req.GetName(), Urgent: req.GetUrgent(), IssuedMS: issued.UnixMilli()}
	return r.route(ctx, stepSubmit, id, domain, req.GetHops(), operation{
		local: func(now time.Time) Reply { return r.core.Submit(sub, now) },
		done:  func(u JobUpdate) bool { return u.Durable || (u.Confirmed && u.Job.Urgent) },
		remote: func(ctx context.Context, c pb.DRPCPeerClient, hops int32) (*pb.JobReply, error) {
			return c.SubmitJob(ctx, &pb.SubmitJobRequest{Id: id, Name: sub.Name, Urgent: sub.Urgent, Hlc: r.hlcNow(), Hops: hops})
		},
	})
}

// Cancel requests the cancellation of a job. It returns once the request, or the
// end of the job, is recorded.
func (r *Runner) Cancel(ctx context.Context, req *pb.JobIdRequest) *pb.JobReply {
	return r.byID(ctx, "cancel job", req, operation{
		local: func(now time.Time) Reply { return r.core.Cancel(req.GetId(), now) },
		done:  func(u JobUpdate) bool { return u.Durable && (u.Job.CancelRequested || terminal(u.Job.State)) },
		remote: func(ctx context.Context, c pb.DRPCPeerClient, hops int32) (*pb.JobReply, error) {
			return c.CancelJob(ctx, &pb.JobIdRequest{Id: req.GetId(), Hlc: r.hlcNow(), Hops: hops})
		},
	})
}

// Get returns the state of a job.
func (r *Runner) Get(ctx context.Context, req *pb.JobIdRequest) *pb.JobReply {
	return r.byID(ctx, "look up job", req, operation{
		local: func(time.Time) Reply { return r.core.Get(req.GetId()) },
		remote: func(ctx context.Context, c pb.DRPCPeerClient, hops int32) (*pb.JobReply, error) {
			return c.GetJob(ctx, &pb.JobIdRequest{Id: req.GetId(), Hlc: r.hlcNow(), Hops: hops})
		},
	})
}

// byID routes a request for an existing job by the home domain of its id.
func (r *Runner) byID(ctx context.Context, step string, req *pb.JobIdRequest, to operation) *pb.JobReply {
	ctx, cancel := context.WithTimeout(ctx, callerTimeout)
	defer cancel()
	domain, _, err := parseID(req.GetId())
	if err != nil {
		return r.reply(Reply{Failure: errs.New(step, "", "%v", err).WithStatus(http.StatusBadRequest)}, step, req.GetId())
	}
	r.observeHLC(req.GetHlc())
	return r.route(ctx, step, req.GetId(), domain, req.GetHops(), to)
}

// operation is a request that the owner answers and other instances forward.
type operation struct {
	// local executes the request on the control goroutine of the owner.
	local func(now time.Time) Reply
	// done reports whether an update completes a request whose Reply says Wait.
	// It is nil for a request that never waits.
	done func(JobUpdate) bool
	// remote forwards the request to a peer.
	remote func(ctx context.Context, c pb.DRPCPeerClient, hops int32) (*pb.JobReply, error)
}

// route executes a request if this instance owns the job partition of the domain,
// and forwards it otherwise.
func (r *Runner) route(ctx context.Context, step, id, domain string, hops int32, to operation) *pb.JobReply {
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
	r.observeHLC(out.GetHlc())
	return out
}

// forwardError converts the error of a forwarded call. The outcome is unknown
// unless the call was certainly not sent.
func forwardError(step, address string, err error) *errs.Error {
	outcome := pb.Outcome_OUTCOME_UNKNOWN
	if peer.NotSent(err) {
		outcome = pb.Outcome_OUTCOME_NOT_RUN
	}
	return errs.Wrap(step, address, outcome, err).WithRetry()
}

// destination returns the address of the peer to forward to: the owner in the
// instance's domain, or any member of another domain that is not leaving.
func destination(v *control.View, domain, step string) (string, *errs.Error) {
	if domain == v.Domain {
		if p := jobPartition(v); p != nil && p.OwnerAddress != "" {
			return p.OwnerAddress, nil
		}
		return "", errs.New(step, "", "the job partition of %s has no owner now", domain).WithRetry()
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

// local executes a request on the control goroutine and waits for its reply.
func (r *Runner) local(ctx context.Context, step, id string, to operation) Reply {
	w := &waiter{done: to.done, out: make(chan Reply, 1)}
	r.o.Loop.Post(func(now time.Time) {
		if ctx.Err() != nil {
			w.out <- Reply{Failure: errs.New(step, "", "the deadline passed before the request was handled").WithRetry().WithStatus(http.StatusGatewayTimeout)}
			return
		}
		reply := to.local(now)
		if reply.Wait && to.done != nil {
			r.waiters[id] = append(r.waiters[id], w)
		} else {
			w.out <- reply
		}
		r.applyOutput()
	})
	select {
	case reply := <-w.out:
		return reply
	case <-ctx.Done():
		r.o.Loop.Post(func(time.Time) { r.removeWaiter(id, w) })
		return Reply{Failure: errs.Wrap(step, "", pb.Outcome_OUTCOME_UNKNOWN,
			errors.New("no record was read back in time; look the job up by its id")).WithRetry().WithStatus(http.StatusGatewayTimeout)}
	}
}

// removeWaiter removes a caller that no longer waits for a job.
func (r *Runner) removeWaiter(id string, w *waiter) {
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

// reply converts a reply to its message. Failures carry the job id, so that the
// caller can look the job up.
func (r *Runner) reply(in Reply, step, id string) *pb.JobReply {
	out := &pb.JobReply{Job: in.Job, Hlc: r.hlcNow()}
	if in.Failure != nil {
		out.Failure = in.Failure.Failure()
		r.metrics.failedRequests.WithLabelValues(step, errs.OutcomeName(in.Failure.Outcome)).Inc()
		if out.Job == nil {
			out.Job = &pb.Job{Id: id}
		}
	}
	return out
}

// hlcNow returns the hybrid logical clock, 0 without an event recorder.
func (r *Runner) hlcNow() int64 {
	if r.o.Events == nil {
		return 0
	}
	return r.o.Events.Clock().Now()
}

// observeHLC advances the hybrid logical clock to one received from a peer.
func (r *Runner) observeHLC(hlc int64) {
	if r.o.Events != nil && hlc != 0 {
		r.o.Events.Clock().Observe(hlc)
	}
}

// ReportLatency applies the latency digests of an entry instance if this instance
// owns the job partition. Otherwise, this instance's own digests are forwarded to
// the owner, and others are dropped.
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
			r.metrics.failedRequests.WithLabelValues("report latency", "unknown").Inc()
		}
	}
}
