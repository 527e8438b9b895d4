package dispatch

import (
	"net/http"

	"gooseberryreel/internal/errs"
	"gooseberryreel/internal/pb"
)

// failed returns the reply that reports an error.
func failed(e *errs.Error) *pb.ForwardReply {
	f := e.Failure()
	return &pb.ForwardReply{Status: f.GetStatus(), Failure: f}
}

// refuse returns the reply to a request that was rejected before it ran. The
// outcome is not_run, except for a non-idempotent request whose id was supplied by
// the caller: the id may have run earlier or through another instance, so the
// outcome is unknown. A peer that forwards to this instance as the target owner always
// gets not_run, since its request concerns this instance only.
func (d *Dispatcher) refuse(req *pb.ForwardRequest, step string, status int, retry bool, message string) *pb.ForwardReply {
	e := errs.New(step, "", "%s", message).WithStatus(status)
	e.Retry = retry
	fromPeer := req.GetRole() == pb.ForwardRole_FORWARD_ROLE_TARGET
	if req.GetIdFromCaller() && !req.GetIdempotent() && !fromPeer && !d.disabled.callerIDOutcome {
		e.Outcome = pb.Outcome_OUTCOME_UNKNOWN
	}
	return failed(e)
}

// unknown returns a failure for a request that may have run.
func unknown(step, peer string, status int, message string) *pb.ForwardReply {
	e := errs.New(step, peer, "%s", message).WithStatus(status)
	e.Outcome = pb.Outcome_OUTCOME_UNKNOWN
	return failed(e)
}

// notRun returns a failure, with retry, for a request that was not run.
func notRun(step, peer string, status int, message string) *pb.ForwardReply {
	return failed(errs.New(step, peer, "%s", message).WithStatus(status).WithRetry())
}

func outcomeOf(reply *pb.ForwardReply) pb.Outcome { return reply.GetFailure().GetOutcome() }

func isNotRun(reply *pb.ForwardReply) bool {
	return reply.GetFailure() != nil && outcomeOf(reply) == pb.Outcome_OUTCOME_NOT_RUN
}

// deadlineReply returns the failure for a request that was sent but not answered by
// its deadline. The answer can be looked up by id later.
func deadlineReply() *pb.ForwardReply {
	return unknown("answer", "", http.StatusGatewayTimeout, "no answer before the deadline; look up the id later")
}
