package daemon

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/relay"
	"gooseberryreel/internal/scheduler"
)

const (
	// relayRetryDelay is the delay after a lost connection to the owner. It doubles
	// up to maxRelayRetryDelay while connections fail.
	relayRetryDelay    = 100 * time.Millisecond
	maxRelayRetryDelay = time.Second
	// relayMaintenanceInterval is the interval at which the owner reviews which
	// relay serves which worker.
	relayMaintenanceInterval = time.Second
)

func (i *Instance) relayLimits() relay.Limits {
	s := i.settings.GetRelay()
	return relay.Limits{OwnerWorkersPerCore: int(s.GetOwnerWorkersPerCore()), RelayWorkersPerCore: int(s.GetRelayWorkersPerCore())}
}

// relayForOwners offers this instance as a relay to each owner in turn until
// stopCtx ends. Calls in flight then end before workCtx does.
func (i *Instance) relayForOwners(stopCtx, workCtx context.Context) {
	delay := relayRetryDelay
	for stopCtx.Err() == nil {
		owner := i.owner.Load()
		if owner == nil || owner.GetPeerAddress() == i.peerAddress() {
			i.waitOwnerChange(stopCtx, ownerPollInterval)
			continue
		}
		start := time.Now()
		err := i.relayFor(stopCtx, workCtx, owner)
		if time.Since(start) > maxRelayRetryDelay {
			delay = relayRetryDelay
			i.log.WithFields(logrus.Fields{"event": "relay session ends", "owner": owner.GetInstance(), "epoch": owner.GetEpoch(), "lasted_ms": time.Since(start).Milliseconds()}).
				WithError(err).Info("relay")
		}
		if i.owner.Load() == owner {
			i.waitOwnerChange(stopCtx, delay)
			delay = min(2*delay, maxRelayRetryDelay)
		}
	}
}

// waitOwnerChange waits until a newer owner is known, for at most limit.
func (i *Instance) waitOwnerChange(ctx context.Context, limit time.Duration) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-i.ownerChanged:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// relayFor serves an owner until the connection is lost, there is a newer owner or
// this instance shuts down.
func (i *Instance) relayFor(stopCtx, workCtx context.Context, owner *pb.OwnerRecord) error {
	ctx, cancel := context.WithCancel(workCtx)
	defer cancel()
	go func() {
		for ctx.Err() == nil && i.owner.Load() == owner {
			i.waitOwnerChange(ctx, ownerPollInterval)
		}
		cancel()
	}()
	session := &relay.Session{
		Offer:    relay.Offer{Instance: i.settings.GetInstance(), Domain: i.settings.GetFailureDomain(), CPUMilli: i.cpuMilli()},
		Executor: i.executor, Clock: bootTime, Backlog: i.admission.receive,
	}
	return i.pool.CallJobs(ctx, owner.GetPeerAddress(), func(ctx context.Context, c pb.DRPCJobsClient) error {
		stream, err := c.Relay(ctx)
		if err != nil {
			return err
		}
		defer func() { _ = stream.Close() }() // the session has ended, whatever the error
		return session.Run(ctx, stopCtx, stream)
	})
}

// Relay implements pb.DRPCJobsServer.
func (s *jobsServer) Relay(stream pb.DRPCJobs_RelayStream) error {
	o := (*Instance)(s).currentTerm()
	if o == nil {
		return errNotOwner
	}
	return o.router.ServeRelay(stream)
}

// mayAct reports whether the term may still send commands: it is not over, the store has
// confirmed recently enough that there is no newer owner, and the owner's witnesses, if it
// has any, let it act.
func (o *ownerTerm) mayAct() bool {
	if o.ctx.Err() != nil || o.confirmed.age() >= scheduler.OwnerGrace {
		return false
	}
	grants := o.grants.Load()
	return grants == nil || grants.Valid(bootTime())
}

// deliver passes results of commands to the core.
func (o *ownerTerm) deliver(results []scheduler.CommandResult) {
	o.post(workResults, func(c *scheduler.Core, now time.Time) {
		for _, r := range results {
			c.CommandDone(r, now)
		}
	})
}

// maintainRelays reviews the assignment of workers to relays until the term ends,
// and logs and exports its size.
func (o *ownerTerm) maintainRelays() {
	m := o.instance.metrics
	var last relay.Stats
	for sleep(o.ctx, relayMaintenanceInterval); o.ctx.Err() == nil; sleep(o.ctx, relayMaintenanceInterval) {
		s := o.router.Maintain()
		m.relays.WithLabelValues("used").Set(float64(s.Used))
		m.relays.WithLabelValues("idle").Set(float64(s.Relays - s.Used))
		m.ownWorkers.Set(float64(s.OwnWorkers))
		if s != last {
			o.instance.log.WithFields(logrus.Fields{"event": "relays", "epoch": o.epoch, "connected": s.Relays, "used": s.Used, "own_workers": s.OwnWorkers}).Info("relay")
		}
		last = s
	}
	m.relays.Reset()
	m.ownWorkers.Set(0)
}
