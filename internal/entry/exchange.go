package entry

import (
	"context"
	"time"

	"gooseberryreel/internal/membership"
	"gooseberryreel/internal/ownership"
	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/peer"
)

// question is one exchange with a peer.
type question struct {
	key     string
	address string
	// id names the process that is asked, the zero value if it is not known.
	id      ownership.ID
	request *pb.ExchangeRequest
	askedAt time.Time
	reply   *pb.ExchangeReply
	err     error
}

// exchangeAll asks all instances of the own domain, one of each other domain,
// and the seed peers while no other instance is known.
func (i *Instance) exchangeAll(now time.Time) {
	s := &i.state
	request := &pb.ExchangeRequest{
		Instance: i.id.Name, Incarnation: i.id.Incarnation, FailureDomain: i.settings.GetFailureDomain(),
		PeerAddress: i.PeerAddress(), Hlc: i.events.Clock().Now(), ConfigVersion: s.config.Version(),
		Leaving: i.leaving.Load(), Owned: s.core.Owned(), LeavingTargets: i.dispatcher.LeavingTargets(now),
	}
	asked := map[string]bool{i.id.Name: true}
	for _, p := range s.core.Peers() {
		asked[p.ID.Name] = true
		i.ask(&question{key: p.ID.Name + "/" + p.Address, address: p.Address, id: p.ID, request: request})
	}
	others := make(map[string][]string)
	for _, m := range s.members.Members() {
		switch {
		case asked[m.Name]:
		case m.Domain == i.settings.GetFailureDomain():
			asked[m.Name] = true
			i.ask(&question{key: m.PeerAddress, address: m.PeerAddress, request: request})
		default:
			others[m.Domain] = append(others[m.Domain], m.PeerAddress)
		}
	}
	s.rotation++
	for _, addresses := range others {
		address := addresses[s.rotation%len(addresses)]
		i.ask(&question{key: address, address: address, request: request})
	}
	if len(asked) == 1 && len(others) == 0 {
		for _, address := range i.settings.GetSeedPeers() {
			i.ask(&question{key: address, address: address, request: request})
		}
	}
}

// ask makes one exchange in a goroutine of its own, unless the last one with
// the same peer is still under way.
func (i *Instance) ask(q *question) {
	if i.state.asking[q.key] || q.address == "" {
		return
	}
	i.state.asking[q.key] = true
	go func() {
		timeout := min(milliseconds(i.settings.GetPeers().GetCallTimeoutMs()), i.lease()/2)
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		// Promises count from the moment before the question leaves.
		q.askedAt = time.Now()
		q.err = i.pool.Call(ctx, q.address, func(ctx context.Context, client pb.DRPCPeerClient) (err error) {
			q.reply, err = client.Exchange(ctx, q.request)
			return err
		})
		i.Post(func(now time.Time) { i.exchanged(now, q) })
	}()
}

func (i *Instance) exchanged(now time.Time, q *question) {
	s := &i.state
	delete(s.asking, q.key)
	known := q.id != ownership.ID{}
	if q.err != nil {
		i.metrics.exchanges.WithLabelValues("failed").Inc()
		if known && peer.ConnectionRefused(q.err) {
			s.core.ApplyRefusedConnection(q.id)
			i.metrics.exchanges.WithLabelValues("refused").Inc()
		}
		return
	}
	i.metrics.exchanges.WithLabelValues("answered").Inc()
	i.events.Clock().Observe(q.reply.GetHlc())
	from := ownership.ID{Name: q.reply.GetInstance(), Incarnation: q.reply.GetIncarnation()}
	if known {
		s.core.ApplyPromises(q.id, from, q.askedAt, q.request.GetOwned(), q.reply.GetUnchallenged())
	}
	s.members.ApplyAnnouncement(now, membership.Announcement{
		Name: from.Name, Incarnation: from.Incarnation, Domain: q.reply.GetFailureDomain(),
		PeerAddress: q.address, Leaving: q.reply.GetLeaving(),
	})
	if q.reply.GetFailureDomain() == i.settings.GetFailureDomain() {
		i.dispatcher.MergeLeavingTargets(now, q.reply.GetLeavingTargets())
	}
	i.peerHasConfig(q.reply.GetConfigVersion(), q.address)
}

// peerHasConfig fetches the configuration of a peer that has a newer version.
func (i *Instance) peerHasConfig(version int64, address string) {
	s := &i.state
	s.peerVersion = max(s.peerVersion, version)
	if version <= s.config.Version() || s.fetching || address == "" {
		return
	}
	s.fetching = true
	request := &pb.FetchConfigRequest{FromVersion: s.config.Version()}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), milliseconds(i.settings.GetPeers().GetCallTimeoutMs()))
		defer cancel()
		var reply *pb.FetchConfigReply
		err := i.pool.Call(ctx, address, func(ctx context.Context, client pb.DRPCPeerClient) (err error) {
			reply, err = client.FetchConfig(ctx, request)
			return err
		})
		i.Post(func(now time.Time) {
			s.fetching = false
			if err == nil && s.config.Merge(reply.GetAccepted()) {
				i.metrics.configFetches.Inc()
				i.refresh(now)
			}
		})
	}()
}

// reportLatencies sends the digests of each second to the owner of the job
// partition.
func (i *Instance) reportLatencies(ctx context.Context) error {
	for ctx.Err() == nil {
		pause(ctx, time.Second)
		digests := i.dispatcher.Digests()
		view := i.View()
		if view == nil || len(digests) == 0 {
			continue
		}
		request := &pb.ReportLatencyRequest{Instance: i.id.Name, Hlc: i.events.Clock().Now(), Digests: digests}
		owner := &view.Partitions[view.JobPartition()]
		callCtx, cancel := context.WithTimeout(ctx, milliseconds(i.settings.GetPeers().GetCallTimeoutMs()))
		switch {
		case owner.Own:
			i.runner.ReportLatency(callCtx, request)
		case owner.OwnerAddress != "":
			err := i.pool.Call(callCtx, owner.OwnerAddress, func(ctx context.Context, client pb.DRPCPeerClient) error {
				_, err := client.ReportLatency(ctx, request)
				return err
			})
			if err != nil {
				i.metrics.reportFailures.Inc()
			}
		}
		cancel()
	}
	return nil
}
