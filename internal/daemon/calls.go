package daemon

import (
	"context"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"gooseberryreel/internal/errs"
	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/peer"
	"gooseberryreel/internal/scheduler"
)

const (
	// ownerCallTimeout bounds a call to the owner. It answers from memory.
	ownerCallTimeout = 400 * time.Millisecond
	// acceptTimeout bounds a record's way through the owner to the store.
	acceptTimeout = 1200 * time.Millisecond
	// ownerRetryPause is the pause before the owner is asked again.
	ownerRetryPause = 50 * time.Millisecond
	// ownerWait bounds how long a caller waits for an owner in all.
	ownerWait = 900 * time.Millisecond
)

// Submit implements platform.Jobs.
func (i *Instance) Submit(ctx context.Context, s *pb.Submission) error {
	begun := time.Now()
	s.ReceivedMs = begun.UnixMilli()
	err := i.accept(ctx, s.GetId(), s.GetId(), &pb.IntakeRecord{Kind: &pb.IntakeRecord_Submission{Submission: s}})
	i.decided("submission", s.GetRequestId(), s.GetId(), begun, err, logrus.Fields{"queue": s.GetQueue(), "config": i.config.Load().Version})
	return err
}

// Cancel implements platform.Jobs. A cancellation needs no owner: it is stored,
// and the owner takes it from there.
func (i *Instance) Cancel(ctx context.Context, requestID, id string) error {
	begun := time.Now()
	err := i.accept(ctx, id, cancelPrefix+id, &pb.IntakeRecord{Kind: &pb.IntakeRecord_Cancelled{Cancelled: id}})
	i.decided("cancellation", requestID, id, begun, err, nil)
	return err
}

// accept stores an intake record, through the owner if the store does not take
// it from this instance: it may turn some machines away and serve others. The
// record has a key, so storing it twice does no harm.
func (i *Instance) accept(ctx context.Context, id, key string, record *pb.IntakeRecord) error {
	err := i.intake.add(ctx, id, key, record)
	owner := i.owner.Load()
	if err == nil || owner == nil || i.current() != nil || i.stopping.Load() {
		return err
	}
	var reply *pb.AcceptReply
	limit, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	callErr := i.pool.CallJobs(limit, owner.GetPeerAddress(), func(ctx context.Context, c pb.DRPCJobsClient) (err error) {
		reply, err = c.Accept(ctx, &pb.AcceptRequest{Key: key, Record: record})
		return err
	})
	i.log.WithFields(logrus.Fields{"event": "passed to the owner", "key": key, "owner": owner.GetInstance(), "epoch": owner.GetEpoch(),
		"stored": reply.GetStored(), "first_error": err.Error()}).Info("call")
	switch {
	case callErr == nil && reply.GetStored():
		return nil
	case callErr == nil && reply.GetNotStored(), peer.NotSent(callErr):
		return err
	}
	failure := errs.From("intake", "", err)
	unknown := *failure
	unknown.Outcome = pb.Outcome_OUTCOME_UNKNOWN
	return &unknown
}

// Accept implements the peer service.
func (s *jobsServer) Accept(ctx context.Context, r *pb.AcceptRequest) (*pb.AcceptReply, error) {
	err := (*Instance)(s).intake.add(ctx, strings.TrimPrefix(r.GetKey(), cancelPrefix), r.GetKey(), r.GetRecord())
	if err == nil {
		return &pb.AcceptReply{Stored: true}, nil
	}
	e := errs.From("intake", "", err)
	return &pb.AcceptReply{Error: e.Error(), NotStored: e.Outcome == pb.Outcome_OUTCOME_NOT_RUN}, nil
}

// State implements platform.Jobs.
func (i *Instance) State(ctx context.Context, requestID, id string) (pb.PublicState, error) {
	begun := time.Now()
	state := pb.PublicState_PUBLIC_STATE_UNSPECIFIED
	err := i.askOwner(ctx, "job state",
		func(ctx context.Context, o *ownership) (err error) {
			state, err = o.state(ctx, id)
			return err
		},
		func(ctx context.Context, client pb.DRPCJobsClient) (bool, error) {
			reply, err := client.JobState(ctx, &pb.JobStateRequest{Id: id, RequestId: requestID})
			state = reply.GetState()
			return reply.GetOwner(), err
		})
	i.decided("state", requestID, id, begun, err, logrus.Fields{"state": state.String()})
	return state, err
}

// Waiting implements platform.Jobs.
func (i *Instance) Waiting(ctx context.Context, requestID, queue string) (int64, error) {
	begun := time.Now()
	waiting := int64(0)
	err := i.askOwner(ctx, "queue length",
		func(ctx context.Context, o *ownership) error {
			return o.ask(ctx, func(c *scheduler.Core) { waiting = c.Waiting(queue) })
		},
		func(ctx context.Context, client pb.DRPCJobsClient) (bool, error) {
			reply, err := client.QueueLength(ctx, &pb.QueueLengthRequest{Queue: queue})
			waiting = reply.GetWaiting()
			return reply.GetOwner(), err
		})
	i.decided("queue length", requestID, queue, begun, err, logrus.Fields{"waiting": waiting})
	return waiting, err
}

// askOwner answers from the own core or asks the owner, again after a change of
// the owner as long as the caller can wait.
func (i *Instance) askOwner(ctx context.Context, step string, local func(context.Context, *ownership) error, remote func(context.Context, pb.DRPCJobsClient) (bool, error)) error {
	limit, cancel := context.WithTimeout(ctx, ownerWait)
	defer cancel()
	var last error
	for limit.Err() == nil {
		if o := i.current(); o != nil {
			if last = local(limit, o); last == nil {
				return nil
			}
		} else if owner := i.owner.Load(); owner == nil {
			last = errs.New(step, "", "no owner is known")
		} else {
			isOwner := false
			last = i.callOwner(limit, owner.GetPeerAddress(), func(ctx context.Context, c pb.DRPCJobsClient) (err error) {
				isOwner, err = remote(ctx, c)
				return err
			})
			if last == nil && isOwner {
				return nil
			}
			if last == nil {
				last = errs.New(step, owner.GetInstance(), "the instance is no longer the owner")
			}
		}
		sleep(limit, ownerRetryPause)
	}
	// A look-up changes nothing, so its failure is always not-run.
	return errs.Wrap(step, "", pb.Outcome_OUTCOME_NOT_RUN, last).WithRetry()
}

func (i *Instance) callOwner(ctx context.Context, address string, f func(context.Context, pb.DRPCJobsClient) error) error {
	ctx, cancel := context.WithTimeout(ctx, ownerCallTimeout)
	defer cancel()
	return i.pool.CallJobs(ctx, address, f)
}

// jobsServer answers other instances.
type jobsServer Instance

// JobState implements the peer service.
func (s *jobsServer) JobState(ctx context.Context, r *pb.JobStateRequest) (*pb.JobStateReply, error) {
	o := (*Instance)(s).current()
	if o == nil {
		return &pb.JobStateReply{}, nil
	}
	state, err := o.state(ctx, r.GetId())
	return &pb.JobStateReply{Owner: err == nil, State: state}, err
}

// QueueLength implements the peer service.
func (s *jobsServer) QueueLength(ctx context.Context, r *pb.QueueLengthRequest) (*pb.QueueLengthReply, error) {
	o := (*Instance)(s).current()
	if o == nil {
		return &pb.QueueLengthReply{}, nil
	}
	reply := &pb.QueueLengthReply{}
	err := o.ask(ctx, func(c *scheduler.Core) { reply.Waiting = c.Waiting(r.GetQueue()) })
	reply.Owner = err == nil
	return reply, err
}
