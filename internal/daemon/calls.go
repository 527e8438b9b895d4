package daemon

import (
	"context"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"gooseberryreel/internal/errs"
	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/peer"
)

const (
	// ownerCallTimeout limits a call to the owner, which responds from memory.
	ownerCallTimeout = 400 * time.Millisecond
	// acceptTimeout limits a call that has the owner store a record.
	acceptTimeout = 1200 * time.Millisecond
	// slowAcceptTimeout replaces it while the store is slow. It covers the time that the
	// owner's intake may take and the call.
	slowAcceptTimeout = intakeTimeout + 150*time.Millisecond
	// slowIntakeTimeout limits how long a caller waits while the store is slow.
	slowIntakeTimeout = 1900 * time.Millisecond
	// ownerRetryDelay is the delay before the owner is queried again.
	ownerRetryDelay = 50 * time.Millisecond
	// ownerQueryTimeout limits all attempts of a query to the owner together.
	ownerQueryTimeout = 900 * time.Millisecond
)

// Submit implements platform.Jobs.
func (i *Instance) Submit(ctx context.Context, s *pb.Submission) error {
	start := time.Now()
	s.ReceivedMs, s.SourceDomain = start.UnixMilli(), i.settings.GetFailureDomain()
	if refusal := i.limits.checkSubmission(s); refusal != nil {
		i.logCall("submission", s.GetRequestId(), s.GetId(), start, refusal, logrus.Fields{"queue": s.GetQueue()})
		return refusal
	}
	if refusal := i.admission.check(ctx, s, start); refusal != nil {
		return refusal
	}
	err := i.accept(ctx, s.GetId(), s.GetId(), &pb.IntakeRecord{Kind: &pb.IntakeRecord_Submission{Submission: s}})
	i.admission.ended(s.GetId(), err)
	i.logCall("submission", s.GetRequestId(), s.GetId(), start, err, logrus.Fields{"queue": s.GetQueue(), "config": i.config.Load().Version})
	return err
}

// Cancel implements platform.Jobs. A cancellation needs no owner: it is stored in
// the intake, from which the owner reads it.
func (i *Instance) Cancel(ctx context.Context, requestID, id string) error {
	start := time.Now()
	err := i.accept(ctx, id, cancelPrefix+id, &pb.IntakeRecord{Kind: &pb.IntakeRecord_Cancelled{Cancelled: id}})
	i.logCall("cancellation", requestID, id, start, err, nil)
	return err
}

// accept stores an intake record. If the store does not accept it from this
// instance, it is passed to the owner, since the store may serve some machines and
// refuse others. While the store is slow it is passed to the owner first, whose
// appends then hold the records of all instances. Storing a record twice does no
// harm, since it has a key.
func (i *Instance) accept(ctx context.Context, id, key string, record *pb.IntakeRecord) error {
	release, err := i.intake.memory.reserve(record)
	if err != nil {
		return err
	}
	defer release()
	if i.storeLatency.slow() && i.mayPassToOwner() {
		return i.acceptWhileSlow(ctx, id, key, record)
	}
	err = i.intake.add(ctx, id, key, record)
	if err == nil || !i.mayPassToOwner() || ctx.Err() != nil {
		return err
	}
	switch i.passToOwner(ctx, key, record, acceptTimeout, err.Error()) {
	case passStored:
		return nil
	case passNotStored:
		return err
	default:
		return unknownOutcome(err)
	}
}

// acceptWhileSlow passes a record to the owner, and stores it itself if the owner does
// not. Both together take no longer than slowIntakeTimeout.
func (i *Instance) acceptWhileSlow(ctx context.Context, id, key string, record *pb.IntakeRecord) error {
	ctx, cancel := context.WithTimeout(ctx, slowIntakeTimeout)
	defer cancel()
	passed := i.passToOwner(ctx, key, record, slowAcceptTimeout, "the store is slow")
	if passed == passStored {
		return nil
	}
	err := i.intake.add(ctx, id, key, record)
	if err != nil && passed == passUnknown {
		return unknownOutcome(err)
	}
	return err
}

// unknownOutcome returns an error for a record that may be stored.
func unknownOutcome(err error) error {
	failure := *errs.From("intake", "", err)
	failure.Outcome = pb.Outcome_OUTCOME_UNKNOWN
	return &failure
}

// mayPassToOwner reports whether another instance is known as the owner, so that
// records can be passed to it.
func (i *Instance) mayPassToOwner() bool {
	return i.owner.Load() != nil && i.currentTerm() == nil && !i.stopping.Load()
}

// passResult is what became of a record that was passed to the owner.
type passResult int

const (
	passUnknown passResult = iota // it may be stored
	passStored
	passNotStored
)

// passToOwner has the owner store a record.
func (i *Instance) passToOwner(ctx context.Context, key string, record *pb.IntakeRecord, timeout time.Duration, reason string) passResult {
	owner := i.owner.Load()
	var reply *pb.AcceptReply
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err := i.pool.CallJobs(ctx, owner.GetPeerAddress(), func(ctx context.Context, c pb.DRPCJobsClient) (err error) {
		reply, err = c.Accept(ctx, &pb.AcceptRequest{Key: key, Record: record})
		return err
	})
	i.log.WithFields(logrus.Fields{"event": "passed to the owner", "key": key, "owner": owner.GetInstance(), "epoch": owner.GetEpoch(),
		"stored": reply.GetStored(), "reason": reason}).Info("call")
	switch {
	case err == nil && reply.GetStored():
		return passStored
	case err == nil && reply.GetNotStored(), peer.NotSent(err):
		return passNotStored
	default:
		return passUnknown
	}
}

// Accept implements pb.DRPCJobsServer.
func (s *jobsServer) Accept(ctx context.Context, r *pb.AcceptRequest) (*pb.AcceptReply, error) {
	intake := (*Instance)(s).intake
	release, err := intake.memory.reserve(r.GetRecord())
	if err == nil {
		defer release()
		err = intake.add(ctx, strings.TrimPrefix(r.GetKey(), cancelPrefix), r.GetKey(), r.GetRecord())
	}
	if err == nil {
		return &pb.AcceptReply{Stored: true}, nil
	}
	e := errs.From("intake", "", err)
	return &pb.AcceptReply{Error: e.Error(), NotStored: e.Outcome == pb.Outcome_OUTCOME_NOT_RUN}, nil
}

// State implements platform.Jobs.
func (i *Instance) State(ctx context.Context, requestID, id string) (pb.PublicState, error) {
	start := time.Now()
	state, err := i.jobState(ctx, requestID, id)
	i.logCall("state", requestID, id, start, err, logrus.Fields{"state": state.String(), "epoch": i.owner.Load().GetEpoch()})
	return state, err
}

// jobState asks the owner for the state of a job.
func (i *Instance) jobState(ctx context.Context, requestID, id string) (pb.PublicState, error) {
	state := pb.PublicState_PUBLIC_STATE_UNSPECIFIED
	err := i.queryOwner(ctx, "job state",
		func(ctx context.Context, o *ownerTerm) (err error) {
			state, err = o.state(ctx, id)
			return err
		},
		func(ctx context.Context, client pb.DRPCJobsClient) (bool, error) {
			reply, err := client.JobState(ctx, &pb.JobStateRequest{Id: id, RequestId: requestID})
			state = reply.GetState()
			return reply.GetOwner(), err
		})
	return state, err
}

// Waiting implements platform.Jobs.
func (i *Instance) Waiting(ctx context.Context, requestID, queue string) (int64, error) {
	start := time.Now()
	waiting := int64(0)
	err := i.queryOwner(ctx, "queue length",
		func(ctx context.Context, o *ownerTerm) (err error) {
			waiting, err = o.queueLength(ctx, queue)
			return err
		},
		func(ctx context.Context, client pb.DRPCJobsClient) (bool, error) {
			reply, err := client.QueueLength(ctx, &pb.QueueLengthRequest{Queue: queue})
			waiting = reply.GetWaiting()
			return reply.GetOwner(), err
		})
	i.logCall("queue length", requestID, queue, start, err, logrus.Fields{"waiting": waiting, "epoch": i.owner.Load().GetEpoch()})
	return waiting, err
}

// queryOwner runs local if this instance is the owner, otherwise remote at the
// owner. remote reports whether the instance that responded is the owner. A failed
// query is repeated, also at a new owner, until ownerQueryTimeout or the context's
// deadline.
func (i *Instance) queryOwner(ctx context.Context, step string, local func(context.Context, *ownerTerm) error, remote func(context.Context, pb.DRPCJobsClient) (bool, error)) error {
	queryCtx, cancel := context.WithTimeout(ctx, ownerQueryTimeout)
	defer cancel()
	var lastErr error
	for queryCtx.Err() == nil {
		if o := i.currentTerm(); o != nil {
			if lastErr = local(queryCtx, o); lastErr == nil {
				return nil
			}
		} else if owner := i.owner.Load(); owner == nil {
			lastErr = errs.New(step, "", "no owner is known")
		} else {
			isOwner := false
			lastErr = i.callOwner(queryCtx, owner.GetPeerAddress(), func(ctx context.Context, c pb.DRPCJobsClient) (err error) {
				isOwner, err = remote(ctx, c)
				return err
			})
			if lastErr == nil && isOwner {
				return nil
			}
			if lastErr == nil {
				lastErr = errs.New(step, owner.GetInstance(), "the instance is no longer the owner")
			}
		}
		sleep(queryCtx, ownerRetryDelay)
	}
	// A query changes nothing, so the outcome of a failed one is always not-run.
	return errs.Wrap(step, "", pb.Outcome_OUTCOME_NOT_RUN, lastErr).WithRetry()
}

func (i *Instance) callOwner(ctx context.Context, address string, f func(context.Context, pb.DRPCJobsClient) error) error {
	ctx, cancel := context.WithTimeout(ctx, ownerCallTimeout)
	defer cancel()
	return i.pool.CallJobs(ctx, address, f)
}

// jobsServer serves the calls of other instances.
type jobsServer Instance

// JobState implements pb.DRPCJobsServer.
func (s *jobsServer) JobState(ctx context.Context, r *pb.JobStateRequest) (*pb.JobStateReply, error) {
	o := (*Instance)(s).currentTerm()
	if o == nil {
		return &pb.JobStateReply{NotOwnerMs: (*Instance)(s).notOwnerFor().Milliseconds()}, nil
	}
	state, err := o.state(ctx, r.GetId())
	return &pb.JobStateReply{Owner: err == nil, State: state}, err
}

// QueueLength implements pb.DRPCJobsServer.
func (s *jobsServer) QueueLength(ctx context.Context, r *pb.QueueLengthRequest) (*pb.QueueLengthReply, error) {
	o := (*Instance)(s).currentTerm()
	if o == nil {
		return &pb.QueueLengthReply{}, nil
	}
	waiting, err := o.queueLength(ctx, r.GetQueue())
	return &pb.QueueLengthReply{Owner: err == nil, Waiting: waiting}, err
}
