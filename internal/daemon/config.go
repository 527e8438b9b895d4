package daemon

import (
	"context"
	"time"

	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/scheduler"
	"gooseberryreel/internal/store"
	"gooseberryreel/platform"
)

// configFetchInterval is how often an instance without a configuration asks the
// owner for it.
const configFetchInterval = 250 * time.Millisecond

// watchConfig applies each version of the configuration and the operator's requests
// until the context ends.
func (i *Instance) watchConfig(ctx context.Context) {
	config := func(r store.Record) {
		if r.Key == platform.ConfigKey && len(r.Value) > 0 {
			i.applyConfig(r.Value)
		}
	}
	reset := func(records []store.Record) {
		i.requests.reset(records)
		i.postEvacuations()
		for _, r := range records {
			config(r)
		}
	}
	change := func(r store.Record) {
		if i.requests.apply(r) {
			i.postEvacuations()
		}
		config(r)
	}
	i.watch(ctx, platform.ConfigTopic, 0, reset, change, i.requestsRead)
}

// applyConfig decodes a configuration and puts it into force if it is newer than
// the current one.
func (i *Instance) applyConfig(value []byte) {
	c, err := platform.DecodeConfig(value)
	if err != nil {
		i.metrics.unreadable.WithLabelValues(platform.ConfigTopic.Topic).Inc()
		i.log.WithField("event", "configuration unreadable").WithError(err).Error("configuration")
		return
	}
	i.configMu.Lock()
	defer i.configMu.Unlock()
	if old := i.config.Load(); old != nil && c.Version <= old.Version {
		return
	}
	i.config.Store(c)
	i.configValue = value
	i.metrics.configVersion.Set(float64(c.Version))
	i.log.WithField("event", "configuration in force").WithField("version", c.Version).WithField("queues", len(c.Queues)).Info("configuration")
	if o := i.currentTerm(); o != nil {
		o.post(workConfig, func(core *scheduler.Core, _ time.Time) { core.SetConfig(c) })
	}
}

// fetchConfig asks the owner for the configuration until one is in force. An
// instance that starts while the newest record is unreadable, or while the store is
// down, would otherwise have none until the next version.
func (i *Instance) fetchConfig(ctx context.Context) {
	for sleep(ctx, configFetchInterval); ctx.Err() == nil && i.config.Load() == nil; sleep(ctx, configFetchInterval) {
		owner := i.owner.Load()
		if owner == nil || owner.GetPeerAddress() == i.peerAddress() {
			continue
		}
		var reply *pb.ConfigurationReply
		err := i.callOwner(ctx, owner.GetPeerAddress(), func(ctx context.Context, c pb.DRPCJobsClient) (err error) {
			reply, err = c.Configuration(ctx, &pb.ConfigurationRequest{})
			return err
		})
		if err != nil || len(reply.GetValue()) == 0 {
			continue // the owner may have been replaced; pollOwner finds the next one
		}
		i.log.WithField("event", "configuration of the owner").WithField("owner", owner.GetInstance()).Info("configuration")
		i.applyConfig(reply.GetValue())
	}
}

// Configuration implements pb.DRPCJobsServer.
func (s *jobsServer) Configuration(context.Context, *pb.ConfigurationRequest) (*pb.ConfigurationReply, error) {
	s.configMu.Lock()
	defer s.configMu.Unlock()
	return &pb.ConfigurationReply{Value: s.configValue}, nil
}
