package entry

import (
	"context"
	"time"

	"gooseberryreel/internal/membership"
	"gooseberryreel/internal/pb"
)

// server implements the calls of peers.
type server struct {
	pb.DRPCPeerUnimplementedServer
	instance *Instance
}

// Exchange applies the announcement of a peer. It returns the announcement of this
// instance, and the partitions of the peer for which it knows no newer claim.
func (s *server) Exchange(ctx context.Context, req *pb.ExchangeRequest) (*pb.ExchangeReply, error) {
	i := s.instance
	reply := &pb.ExchangeReply{
		Instance: i.id.Name, Incarnation: i.id.Incarnation, FailureDomain: i.settings.GetFailureDomain(),
		Leaving: i.leaving.Load(), Hlc: i.events.Clock().Observe(req.GetHlc()),
	}
	err := i.runOnLoop(ctx, func(now time.Time) {
		i.state.members.ApplyAnnouncement(now, membership.Announcement{
			Name: req.GetInstance(), Incarnation: req.GetIncarnation(), Domain: req.GetFailureDomain(),
			PeerAddress: req.GetPeerAddress(), Leaving: req.GetLeaving(),
		})
		if req.GetFailureDomain() == i.settings.GetFailureDomain() {
			reply.Unchallenged = i.state.core.GrantPromises(now, req.GetOwned())
			i.dispatcher.MergeLeavingTargets(now, req.GetLeavingTargets())
			reply.LeavingTargets = i.dispatcher.LeavingTargets(now)
		}
		reply.ConfigVersion = i.state.config.Version()
		i.fetchNewerConfig(req.GetConfigVersion(), req.GetPeerAddress())
	})
	return reply, err
}

// FetchConfig returns all accepted declarations.
func (s *server) FetchConfig(ctx context.Context, _ *pb.FetchConfigRequest) (*pb.FetchConfigReply, error) {
	reply := &pb.FetchConfigReply{}
	err := s.instance.runOnLoop(ctx, func(time.Time) {
		reply.Version = s.instance.state.config.Version()
		reply.Accepted = s.instance.state.config.Accepted()
	})
	return reply, err
}

// Forward runs a request as the home owner of its id or as the owner of a target.
func (s *server) Forward(ctx context.Context, req *pb.ForwardRequest) (*pb.ForwardReply, error) {
	return s.instance.dispatcher.Forward(ctx, req)
}

// LookUp returns the stored answer of a request.
func (s *server) LookUp(ctx context.Context, req *pb.LookUpRequest) (*pb.ForwardReply, error) {
	return s.instance.dispatcher.LookUp(ctx, req)
}

// HandOver accepts the state of a partition from its previous owner.
func (s *server) HandOver(ctx context.Context, req *pb.HandOverRequest) (*pb.HandOverReply, error) {
	return s.instance.dispatcher.HandOver(ctx, req)
}

// SubmitJob accepts a job.
func (s *server) SubmitJob(ctx context.Context, req *pb.SubmitJobRequest) (*pb.JobReply, error) {
	return s.instance.runner.Submit(ctx, req), nil
}

// CancelJob cancels a job.
func (s *server) CancelJob(ctx context.Context, req *pb.JobIdRequest) (*pb.JobReply, error) {
	return s.instance.runner.Cancel(ctx, req), nil
}

// GetJob returns the state of a job.
func (s *server) GetJob(ctx context.Context, req *pb.JobIdRequest) (*pb.JobReply, error) {
	return s.instance.runner.Get(ctx, req), nil
}

// KeepJob stores a copy of an urgent job that is not recorded yet, for the next
// owner of the job partition.
func (s *server) KeepJob(ctx context.Context, req *pb.KeepJobRequest) (*pb.KeepJobReply, error) {
	return &pb.KeepJobReply{}, s.instance.runner.KeepJob(ctx, req.GetJob())
}

// ReportLatency accepts the latency digests of an entry instance.
func (s *server) ReportLatency(ctx context.Context, req *pb.ReportLatencyRequest) (*pb.ReportLatencyReply, error) {
	s.instance.runner.ReportLatency(ctx, req)
	return &pb.ReportLatencyReply{}, nil
}
