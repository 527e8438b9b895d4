package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"gooseberryreel/internal/pb"
)

const (
	handOverAttempts = 3
	// releasePollInterval is the interval at which a leaving instance checks
	// whether its releases have been read back.
	releasePollInterval = 20 * time.Millisecond
	// releaseTimeout bounds the wait for the releases to be read back, which
	// never happens while the log is down.
	releaseTimeout = 5 * time.Second
)

// leave shuts the instance down gracefully: it announces the leave to peers and
// the load balancer, accepts requests until the load balancer has stopped sending
// them, releases and hands over the partitions, and finishes the requests in
// flight.
func (i *Instance) leave() error {
	leave := i.settings.GetLeave()
	i.leaving.Store(true)
	i.Post(func(now time.Time) {
		i.state.core.Leave()
		i.recordEvent("instance_leaving", "")
		i.state.nextExchange = now
		i.tick(now)
	})
	sleep(context.Background(), milliseconds(leave.GetBalancerNoticeMs()))
	i.Post(func(now time.Time) {
		i.state.releaseAll = true
		i.tick(now)
	})
	ctx, cancel := context.WithTimeout(context.Background(), milliseconds(leave.GetDrainTimeoutMs()))
	defer cancel()
	err := errors.Wrap(i.http.Shutdown(ctx), "finish requests of callers")
	if drainErr := i.dispatcher.Drain(ctx); err == nil {
		err = drainErr
	}
	i.awaitReleases(ctx)
	i.recordEvent("instance_left", "")
	return err
}

func (i *Instance) awaitReleases(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	for ctx.Err() == nil {
		remaining := 0
		if i.runOnLoop(ctx, func(time.Time) { remaining = len(i.state.core.Owned()) }) == nil && remaining == 0 {
			return
		}
		sleep(ctx, releasePollInterval)
	}
}

// closeWhenLeaving adds the header "Connection: close" to responses while the
// instance leaves, so that no connection is idle when the server shuts down.
func (i *Instance) closeWhenLeaving(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if i.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// startReleases starts the releases of a planned leave, or else at most one
// release that rebalances partitions to a new member.
func (i *Instance) startReleases(now time.Time) {
	s := &i.state
	if s.releaseAll {
		for _, p := range s.core.Owned() {
			i.release(now, int(p.GetPartition()))
		}
		return
	}
	if number, _, ok := s.core.NextRebalance(now); ok {
		i.release(now, number)
	}
}

// release suspends a partition, hands its state over to the next owner and
// releases the partition.
func (i *Instance) release(now time.Time, number int) {
	s := &i.state
	epoch := s.core.Epoch(number)
	if at, ok := s.releasing[number]; ok && at == epoch || !s.core.SuspendPartition(number, now) {
		return
	}
	s.releasing[number] = epoch
	_, address, ok := s.core.Successor(number, now)
	if number == s.core.Partitions()-1 || !ok {
		s.core.ReleasePartition(number, epoch)
		return
	}
	// Goroutines that serve requests must see the suspension before the state is
	// exported.
	i.publishView(now)
	go func() {
		if !i.handOver(address, number, epoch) {
			// The next owner doesn't know which requests are in flight, so
			// they have to end before the release.
			sleep(context.Background(), i.maxInFlightDuration())
		}
		i.Post(func(now time.Time) {
			s.core.ReleasePartition(number, epoch)
			i.tick(now)
		})
	}()
}

// maxInFlightDuration returns how long a request in flight may still last,
// limited to half the drain timeout if the instance is leaving.
func (i *Instance) maxInFlightDuration() time.Duration {
	limit := milliseconds(i.settings.GetRequests().GetMaxTimeoutMs())
	if i.leaving.Load() {
		return min(limit, milliseconds(i.settings.GetLeave().GetDrainTimeoutMs())/2)
	}
	return limit
}

// handOver sends the state of a partition to its next owner and reports whether
// it was accepted.
func (i *Instance) handOver(address string, number int, epoch int64) bool {
	request := i.dispatcher.ExportPartition(number, epoch)
	for range handOverAttempts {
		ctx, cancel := context.WithTimeout(context.Background(), milliseconds(i.settings.GetPeers().GetCallTimeoutMs()))
		var reply *pb.HandOverReply
		err := i.pool.Call(ctx, address, func(ctx context.Context, client pb.DRPCPeerClient) (err error) {
			reply, err = client.HandOver(ctx, request)
			return err
		})
		cancel()
		if err == nil && reply.GetAccepted() {
			i.metrics.handOvers.WithLabelValues("accepted").Inc()
			return true
		}
	}
	i.metrics.handOvers.WithLabelValues("failed").Inc()
	return false
}
