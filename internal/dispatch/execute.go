package dispatch

import (
	"context"
	"net/http"
	"time"

	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/router"
)

// maxPeersTried is the number of peers that one attempt tries for a free slot.
const maxPeersTried = 2

// result is the result of one attempt.
type result struct {
	reply *pb.ForwardReply
	// retryable is set if an attempt at another target may succeed.
	retryable bool
}

// execute runs a request at a target, in up to maxAttempts attempts. A
// non-idempotent request is retried only if the last attempt did not run it.
func (d *Dispatcher) execute(ctx context.Context, c *call) *pb.ForwardReply {
	mayHaveRun := false
	var last result
	for attempt := range d.limits.maxAttempts {
		if attempt > 0 {
			if !d.mayRetry(c, mayHaveRun) {
				d.metrics.retriesDenied.Inc()
				break
			}
			d.metrics.retries.Inc()
		}
		c.lastAttempt = attempt == d.limits.maxAttempts-1
		last = d.attempt(ctx, c)
		if last.reply.GetFailure() == nil {
			if !c.fromPeer() {
				c.service.state.budget.AddAnswer()
			}
			return last.reply
		}
		lastMayHaveRun := outcomeOf(last.reply) != pb.Outcome_OUTCOME_NOT_RUN
		mayHaveRun = mayHaveRun || lastMayHaveRun
		if !last.retryable || c.ended(ctx) || (lastMayHaveRun && !d.mayResend(c)) {
			break
		}
	}
	if mayHaveRun && isNotRun(last.reply) && !d.disabled.retryOutcome {
		// An earlier attempt may have run the request.
		last.reply.Failure.Outcome = pb.Outcome_OUTCOME_UNKNOWN
	}
	return last.reply
}

// mayRetry reports whether a retry may be made, and charges it to the budget. An
// abandoned attempt may still occupy its slot, so while other requests wait for a
// slot, a retry would displace one of their first attempts. An attempt that was
// not run occupies no slot.
func (d *Dispatcher) mayRetry(c *call, mayHaveRun bool) bool {
	if mayHaveRun && c.service.state.waiting.Load() > 0 {
		return false
	}
	return c.service.state.budget.TryRetry()
}

// mayResend reports whether a request that may have run can be sent again. For a
// request of a peer that is left to the peer, so that retries don't multiply.
func (d *Dispatcher) mayResend(c *call) bool {
	if d.disabled.resend {
		return true
	}
	return c.req.GetIdempotent() && !c.fromPeer()
}

// attempt makes one attempt to run a request. It tries, in this order: an owned
// target with a free slot, a peer of this domain with one, a queue here or at a
// peer, and another domain.
func (d *Dispatcher) attempt(ctx context.Context, c *call) result {
	now := time.Now()
	if t := d.tryOwned(c, now); t != nil {
		return d.invoke(ctx, c, t)
	}
	usableSlots := d.usableSlots(c.service, now)
	if c.req.GetNoQueue() {
		return result{reply: notRun(stepNoSlot, d.name(c), http.StatusServiceUnavailable, "no free slot")}
	}
	if c.fromPeer() && usableSlots > 0 {
		return d.enqueue(ctx, c, usableSlots)
	}
	if r, ok := d.tryPeers(ctx, c, now); ok {
		return r
	}
	r := result{reply: notRun("target", "", http.StatusServiceUnavailable, "no target of the service can be used")}
	if usableSlots > 0 {
		r = d.enqueue(ctx, c, usableSlots)
	} else if p := d.choosePeer(c.service.peers, now); p != nil {
		r = d.forwardToTargetOwner(ctx, c, p, false)
	}
	if c.fromPeer() || !isNotRun(r.reply) {
		return r
	}
	return d.tryOtherDomain(ctx, c, r)
}

// tryOtherDomain sends a request that this domain did not run to another one. It
// returns the local result if there is no peer to try.
func (d *Dispatcher) tryOtherDomain(ctx context.Context, c *call, local result) result {
	now := time.Now()
	p := d.choosePeer(notFull(c.service.otherDomains, now), now)
	if p == nil {
		return local
	}
	r := d.forwardToTargetOwner(ctx, c, p, false)
	if isNotRun(r.reply) {
		p.fullUntil.Store(time.Now().Add(peerFullBackoff).UnixNano())
	}
	return r
}

// notFull returns the peers that did not lack a free slot recently.
func notFull(peers []*peerState, now time.Time) []*peerState {
	var free []*peerState
	for _, p := range peers {
		if now.UnixNano() >= p.fullUntil.Load() {
			free = append(free, p)
		}
	}
	return free
}

// tryPeers tries peers of this domain that may have a free slot. It reports false
// if none ran the request.
func (d *Dispatcher) tryPeers(ctx context.Context, c *call, now time.Time) (result, bool) {
	free := notFull(c.service.peers, now)
	for range maxPeersTried {
		p := d.choosePeer(free, now)
		if p == nil {
			break
		}
		r := d.forwardToTargetOwner(ctx, c, p, true)
		if !isNotRun(r.reply) {
			return r, true
		}
		p.fullUntil.Store(time.Now().Add(peerFullBackoff).UnixNano())
		free = withoutPeer(free, p)
	}
	return result{}, false
}

func withoutPeer(peers []*peerState, excluded *peerState) []*peerState {
	kept := make([]*peerState, 0, len(peers))
	for _, p := range peers {
		if p != excluded {
			kept = append(kept, p)
		}
	}
	return kept
}

// choosePeer picks a peer by the power of two choices, or nil if there is none.
func (d *Dispatcher) choosePeer(peers []*peerState, now time.Time) *peerState {
	i := router.TwoChoices(len(peers), d.random.IntN, func(i int) float64 {
		return peers[i].stats.Score(now, int(peers[i].outstanding.Load()), 0)
	})
	if i < 0 {
		return nil
	}
	return peers[i]
}

// name returns the name of this instance.
func (d *Dispatcher) name(c *call) string { return c.routes.view.Instance }
