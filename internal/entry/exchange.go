package entry

import (
	"context"
	"time"

	"gooseberryreel/internal/membership"
	"gooseberryreel/internal/ownership"
	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/peer"
)

// peerExchange is one Exchange call to a peer.
type peerExchange struct {
	// key identifies the peer: only one exchange per key is in flight.
	key     string
	address string
	// id is the process expected at the address, zero if it is unknown.
	id      ownership.ID
	request *pb.ExchangeRequest
	sentAt  time.Time
	reply   *pb.ExchangeReply
	err     error
}

// startExchanges starts an exchange with each instance of this instance's
// failure domain and with one instance of each other domain. While no other
// instance is known, it uses the seed peers.
func (i *Instance) startExchanges(now time.Time) {
	s := &i.state
	request := &pb.ExchangeRequest{
		Instance: i.id.Name, Incarnation: i.id.Incarnation, FailureDomain: i.settings.GetFailureDomain(),
		PeerAddress: i.PeerAddress(), Hlc: i.events.Clock().Now(), ConfigVersion: s.config.Version(),
		Leaving: i.leaving.Load(), Owned: s.core.Owned(), LeavingTargets: i.dispatcher.LeavingTargets(now),
	}
	contacted := map[string]bool{i.id.Name: true}
	for _, p := range s.core.Peers() {
		contacted[p.ID.Name] = true
		i.startExchange(&peerExchange{key: p.ID.Name + "/" + p.Address, address: p.Address, id: p.ID, request: request})
	}
	others := make(map[string][]string)
	for _, m := range s.members.Members() {
		switch {
		case contacted[m.Name]:
		case m.Domain == i.settings.GetFailureDomain():
			contacted[m.Name] = true
			i.startExchange(&peerExchange{key: m.PeerAddress, address: m.PeerAddress, request: request})
		default:
			others[m.Domain] = append(others[m.Domain], m.PeerAddress)
		}
	}
	s.rotation++
	for _, addresses := range others {
		address := addresses[s.rotation%len(addresses)]
		i.startExchange(&peerExchange{key: address, address: address, request: request})
	}
	if len(contacted) == 1 && len(others) == 0 {
		for _, address := range i.settings.GetSeedPeers() {
			i.startExchange(&peerExchange{key: address, address: address, request: request})
		}
	}
}

// startExchange makes an exchange in a new goroutine, unless one with the same
// peer is still in flight.
func (i *Instance) startExchange(e *peerExchange) {
	if i.state.exchanging[e.key] || e.address == "" {
		return
	}
	i.state.exchanging[e.key] = true
	go func() {
		timeout := min(milliseconds(i.settings.GetPeers().GetCallTimeoutMs()), i.lease()/2)
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		// Promises count from before the request is sent, so that they end
		// here no later than at the peer.
		e.sentAt = time.Now()
		e.err = i.pool.Call(ctx, e.address, func(ctx context.Context, client pb.DRPCPeerClient) (err error) {
			e.reply, err = client.Exchange(ctx, e.request)
			return err
		})
		i.Post(func(now time.Time) { i.finishExchange(now, e) })
	}()
}

// finishExchange applies the result of an exchange. Promises and refused
// connections count only if the process at the address was known.
func (i *Instance) finishExchange(now time.Time, e *peerExchange) {
	s := &i.state
	delete(s.exchanging, e.key)
	hasID := e.id != ownership.ID{}
	if e.err != nil {
		i.metrics.exchanges.WithLabelValues("failed").Inc()
		if hasID && peer.ConnectionRefused(e.err) {
			s.core.ApplyRefusedConnection(e.id)
			i.metrics.exchanges.WithLabelValues("refused").Inc()
		}
		return
	}
	i.metrics.exchanges.WithLabelValues("answered").Inc()
	i.events.Clock().Observe(e.reply.GetHlc())
	from := ownership.ID{Name: e.reply.GetInstance(), Incarnation: e.reply.GetIncarnation()}
	if hasID {
		s.core.ApplyPromises(e.id, from, e.sentAt, e.request.GetOwned(), e.reply.GetUnchallenged())
	}
	s.members.ApplyAnnouncement(now, membership.Announcement{
		Name: from.Name, Incarnation: from.Incarnation, Domain: e.reply.GetFailureDomain(),
		PeerAddress: e.address, Leaving: e.reply.GetLeaving(),
	})
	if e.reply.GetFailureDomain() == i.settings.GetFailureDomain() {
		i.dispatcher.MergeLeavingTargets(now, e.reply.GetLeavingTargets())
	}
	i.fetchNewerConfig(e.reply.GetConfigVersion(), e.address)
}

// fetchNewerConfig fetches the configuration from a peer that has a newer
// version, unless another fetch is in flight.
func (i *Instance) fetchNewerConfig(version int64, address string) {
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
				i.publishView(now)
			}
		})
	}()
}

// reportLatencies sends the latency digests of each second to the owner of the
// job partition.
func (i *Instance) reportLatencies(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep(ctx, time.Second)
		digests := i.dispatcher.Digests()
		view := i.View()
		if view == nil || len(digests) == 0 {
			continue
		}
		request := &pb.ReportLatencyRequest{Instance: i.id.Name, Hlc: i.events.Clock().Now(), Digests: digests}
		partition := &view.Partitions[view.JobPartition()]
		callCtx, cancel := context.WithTimeout(ctx, milliseconds(i.settings.GetPeers().GetCallTimeoutMs()))
		switch {
		case partition.Own:
			i.runner.ReportLatency(callCtx, request)
		case partition.OwnerAddress != "":
			err := i.pool.Call(callCtx, partition.OwnerAddress, func(ctx context.Context, client pb.DRPCPeerClient) error {
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
