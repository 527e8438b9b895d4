package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"gooseberryreel/internal/pb"
)

const (
	handOverTries = 3
	// releasePoll is the interval at which a leaving instance looks whether its
	// releases were read back.
	releasePoll = 20 * time.Millisecond
	// releaseTimeout bounds the wait for them; with the log down they never are.
	releaseTimeout = 5 * time.Second
)

// leave is a planned stop: tell peers and the balancer, keep accepting until
// the balancer has noticed, release and hand over the partitions, and finish
// the requests in flight.
func (i *Instance) leave() error {
	leave := i.settings.GetLeave()
	i.leaving.Store(true)
	i.Post(func(now time.Time) {
		i.state.core.Leave()
		i.event("instance_leaving", "")
		i.state.nextExchange = now
		i.tick(now)
	})
	pause(context.Background(), milliseconds(leave.GetBalancerNoticeMs()))
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
	i.event("instance_left", "")
	return err
}

func (i *Instance) awaitReleases(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	for ctx.Err() == nil {
		left := 0
		if i.call(ctx, func(time.Time) { left = len(i.state.core.Owned()) }) == nil && left == 0 {
			return
		}
		pause(ctx, releasePoll)
	}
}

// closeWhenLeaving asks callers to leave their connections while the instance
// leaves, so that none is idle when the server shuts down.
func (i *Instance) closeWhenLeaving(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if i.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// releaseSurplus starts the releases of a planned stop, or one to a new member.
func (i *Instance) releaseSurplus(now time.Time) {
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

// release stops work in a partition, hands its state to the next owner and
// gives it up.
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
	// Traffic goroutines must see the stop before the state is exported.
	i.refresh(now)
	go func() {
		if !i.handOver(address, number, epoch) {
			// The next owner doesn't know what is in flight, so that has to
			// end first.
			pause(context.Background(), i.longestFlight())
		}
		i.Post(func(now time.Time) {
			s.core.ReleasePartition(number, epoch)
			i.tick(now)
		})
	}()
}

// longestFlight is how long a request that has started may last, within the
// time that a leaving instance has.
func (i *Instance) longestFlight() time.Duration {
	longest := milliseconds(i.settings.GetRequests().GetMaxTimeoutMs())
	if i.leaving.Load() {
		return min(longest, milliseconds(i.settings.GetLeave().GetDrainTimeoutMs())/2)
	}
	return longest
}

func (i *Instance) handOver(address string, number int, epoch int64) bool {
	request := i.dispatcher.ExportPartition(number, epoch)
	for range handOverTries {
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
