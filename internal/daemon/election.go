package daemon

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"gooseberryreel/internal/leader"
	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/store"
)

const (
	// ownerTTL is when an owner without a renewal is no longer listed. A takeover
	// lasts at least this long, and an owner that stalls for longer is replaced.
	ownerTTL = 1500 * time.Millisecond
	// ownerRenewInterval allows three renewals to fail before the owner is no longer
	// listed.
	ownerRenewInterval = 400 * time.Millisecond
	// memberTTL and memberRenewInterval apply to the group of all instances. It is
	// read only while no owner is listed, and by the owner to check whether to yield.
	memberTTL           = 4 * time.Second
	memberRenewInterval = time.Second
	// ownerPollInterval is how often an instance checks whether an owner is listed.
	ownerPollInterval = 500 * time.Millisecond
	// unownedPollInterval replaces ownerPollInterval while no owner is listed. It is
	// below claimStaggerDelay, so that candidates claim in the order of their ranks.
	unownedPollInterval = 200 * time.Millisecond
	// claimUnownedDelay, claimStaggerDelay and claimSettleTime are values of
	// leader.Settings. claimUnownedDelay is above ownerRenewInterval, since a live
	// owner that the store has dropped is listed again within that time.
	claimUnownedDelay = 500 * time.Millisecond
	claimStaggerDelay = 400 * time.Millisecond
	claimSettleTime   = 600 * time.Millisecond
	// claimUnlistedDelay covers two renewals of each member, after which the list
	// of candidates contains all instances that have started.
	claimUnlistedDelay = 2500 * time.Millisecond
	// claimSmallMachineDelay allows five larger instances to claim first.
	claimSmallMachineDelay = 2 * time.Second
	// yieldDelay is above memberTTL: a larger instance that is listed for so long
	// has renewed its membership, so it is alive.
	yieldDelay = 5 * time.Second
	// epochRandomBits is the number of low bits of an epoch that are random. The
	// bits above count the claims. Two instances that claim at the same time must not
	// share an epoch, since the store would treat the appends of the second as
	// repetitions of the first's.
	epochRandomBits = 20
	// maxClaimAppends limits the attempts of one claim, and the repetitions of each
	// append without a response.
	maxClaimAppends = 5
	// ownerKey and interferenceKey are keys of the job topic. They can't be job ids,
	// which have 16 digits.
	ownerKey        = "owner"
	interferenceKey = "interference"
	ownerName       = "owner" // producer name of the owner's appends
)

var (
	ownerGroup  = store.Group{Name: "owner", Topics: 1}
	memberGroup = store.Group{Name: "instances", Topics: 6}
)

// member describes a member of a group. It is encoded in the member's name.
type member struct {
	Instance string `json:"i"`
	Address  string `json:"a"`
	CPUMilli int64  `json:"c,omitempty"`
	Epoch    int64  `json:"e,omitempty"`
}

func (m member) name() string {
	data, err := json.Marshal(m)
	if err != nil {
		return m.Instance // not reached: strings and numbers can always be encoded
	}
	return string(data)
}

// runElection keeps the instance registered as a candidate and claims the
// ownership when it is this instance's turn, until stopCtx ends. A claim or a term then
// continues until termCtx ends. workCtx outlives both.
func (i *Instance) runElection(stopCtx, termCtx, workCtx context.Context) {
	self := leader.Candidate{Instance: i.settings.GetInstance(), Address: i.peerAddress(), CPUMilli: i.cpuMilli()}
	times := leader.Settings{UnownedDelay: claimUnownedDelay, StaggerDelay: claimStaggerDelay, SettleTime: claimSettleTime, UnlistedDelay: claimUnlistedDelay, SmallMachineDelay: claimSmallMachineDelay, YieldDelay: yieldDelay}
	memberName := member{Instance: self.Instance, Address: self.Address, CPUMilli: self.CPUMilli}.name()
	var listed sync.WaitGroup
	listed.Go(func() { i.keepRegistered(stopCtx, workCtx, memberName) })
	i.runCandidate(stopCtx, termCtx, workCtx, self, times)
	listed.Wait() // not deferred: a panic must end the process
}

// runCandidate claims the ownership when it is this instance's turn, until stopCtx ends.
func (i *Instance) runCandidate(stopCtx, termCtx, workCtx context.Context, self leader.Candidate, times leader.Settings) {
	elector := leader.New(self, times)
	for stopCtx.Err() == nil {
		i.pollOwner(stopCtx, elector)
		delay := ownerPollInterval
		if elector.OwnerMissing() {
			delay = unownedPollInterval
		}
		if i.config.Load() != nil && elector.ClaimDue(time.Now()) {
			candidates, err := i.candidates(stopCtx)
			if err == nil && elector.ShouldClaim(candidates, time.Now()) {
				i.claim(termCtx, workCtx, leader.New(self, times))
				elector.RestartWait(time.Now())
				continue
			}
		}
		sleep(stopCtx, delay-time.Duration(rand.Int64N(int64(delay/5))))
	}
}

// cpuMilli returns the CPU share of the machine in thousandths of a core.
func (i *Instance) cpuMilli() int64 { return int64(i.settings.GetCpuShare() * 1000) }

// keepRegistered keeps the instance in the group of candidates until stopCtx ends,
// also while it is the owner: its rank matters again if its process is restarted.
func (i *Instance) keepRegistered(stopCtx, workCtx context.Context, memberName string) {
	for stopCtx.Err() == nil {
		delay := memberRenewInterval
		if err := i.store.Join(stopCtx, memberGroup, memberName, memberTTL); err != nil {
			delay = ownerPollInterval // observedStore has counted and logged the error
		}
		sleep(stopCtx, delay)
	}
	if err := i.store.Leave(workCtx, memberGroup, memberName); err != nil {
		i.log.WithField("event", "leave failed").WithError(err).Warn("membership")
	}
}

// pollOwner updates the known owner and the elector's view of it.
func (i *Instance) pollOwner(ctx context.Context, elector *leader.Elector) {
	newest, err := i.newestOwner(ctx)
	if err != nil {
		elector.LookupFailed()
		return
	}
	elector.LookupSucceeded(newest != nil, time.Now())
	if newest != nil {
		i.setOwner(newest)
		elector.SetOwnerCPU(newest.GetCpuMilli())
	}
}

// refreshOwner updates the known owner if another instance has replaced this one. It
// returns the newest listed owner, nil if none is listed or the look-up failed.
func (i *Instance) refreshOwner(ctx context.Context) *pb.OwnerRecord {
	newest, err := i.newestOwner(ctx)
	if err != nil || newest == nil {
		return nil // a later check, an append or a worker detects a newer owner as well
	}
	i.setOwner(newest)
	return newest
}

// newestOwner returns the listed owner with the newest epoch, nil if none is
// listed.
func (i *Instance) newestOwner(ctx context.Context) (*pb.OwnerRecord, error) {
	members, err := i.store.Members(ctx, ownerGroup)
	if err != nil {
		return nil, err
	}
	var newest *pb.OwnerRecord
	for _, m := range members {
		var owner member
		if err := json.Unmarshal([]byte(m.Name), &owner); err != nil {
			i.log.WithField("event", "member name unreadable").WithField("member", m.Name).WithError(err).Warn("membership")
			continue
		}
		if newest == nil || owner.Epoch > newest.GetEpoch() {
			newest = &pb.OwnerRecord{Epoch: owner.Epoch, Instance: owner.Instance, PeerAddress: owner.Address, CpuMilli: owner.CPUMilli}
		}
	}
	return newest, nil
}

// setOwner sets the known owner if its epoch is newer. The previous one is kept
// until then, since it may serve calls although it is not listed.
func (i *Instance) setOwner(o *pb.OwnerRecord) {
	previous := i.owner.Load()
	if previous.GetEpoch() >= o.GetEpoch() {
		return
	}
	i.owner.Store(o)
	select {
	case i.ownerChanged <- struct{}{}:
	default:
	}
	i.log.WithField("event", "owner").WithField("owner", o.GetInstance()).WithField("epoch", o.GetEpoch()).
		WithField("before", previous.GetInstance()).Info("membership")
}

// candidates returns the registered instances, which may all claim the ownership.
func (i *Instance) candidates(ctx context.Context) ([]leader.Candidate, error) {
	members, err := i.store.Members(ctx, memberGroup)
	if err != nil {
		i.log.WithField("event", "member list unavailable").WithError(err).Warn("membership")
		return nil, err
	}
	var list []leader.Candidate
	for _, m := range members {
		var c member
		if err := json.Unmarshal([]byte(m.Name), &c); err == nil {
			list = append(list, leader.Candidate{Instance: c.Instance, Address: c.Address, CPUMilli: c.CPUMilli})
		}
	}
	return list, nil
}

// claim claims the ownership and, if that succeeds, runs as the owner until the
// ownership is lost or termCtx ends.
func (i *Instance) claim(termCtx, workCtx context.Context, elector *leader.Elector) {
	start := time.Now()
	// The membership without an epoch announces to the other candidates that a claim
	// is in progress, so that they don't claim as well.
	intent := member{Instance: i.settings.GetInstance(), Address: i.peerAddress(), CPUMilli: i.cpuMilli()}
	if err := i.store.Join(termCtx, ownerGroup, intent.name(), i.ownerTTL()); err != nil {
		i.log.WithField("event", "claim failed").WithError(err).Warn("membership")
		return
	}
	state, err := i.readAndClaim(termCtx)
	owner := intent
	owner.Epoch = state.epoch()
	if err == nil {
		if err := i.store.Join(termCtx, ownerGroup, owner.name(), i.ownerTTL()); err != nil {
			i.log.WithField("event", "owner listing failed").WithError(err).Warn("membership")
		}
	}
	if err := i.store.Leave(workCtx, ownerGroup, intent.name()); err != nil {
		i.log.WithField("event", "leave failed").WithError(err).Warn("membership")
	}
	if err != nil {
		i.metrics.claims.WithLabelValues("failed").Inc()
		i.log.WithField("event", "claim failed").WithError(err).Warn("membership")
		return
	}
	i.metrics.claims.WithLabelValues("won").Inc()
	i.log.WithField("event", "claim won").WithField("epoch", state.owner.GetEpoch()).
		WithField("took_ms", time.Since(start).Milliseconds()).Info("membership")
	i.setOwner(state.owner)
	i.runTerm(termCtx, workCtx, state, owner.name(), elector)
}

// ownerTTL returns the constant ownerTTL, or the shortest time to live that the
// store allows if that is longer.
func (i *Instance) ownerTTL() time.Duration {
	return max(ownerTTL, time.Duration(i.settings.GetStore().GetMinGroupTtlMs())*time.Millisecond)
}

// readAndClaim reads the job state and appends a claim of a new epoch on the
// condition that nothing was appended since. It fails if another instance has
// claimed an epoch in the meantime.
func (i *Instance) readAndClaim(ctx context.Context) (*storedState, error) {
	knownEpoch := i.owner.Load().GetEpoch()
	var owner, previous *pb.OwnerRecord
	var lastErr error
	for range maxClaimAppends {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		s, err := i.readJobs(ctx)
		if err != nil {
			return nil, err
		}
		if owner != nil && s.owner.GetEpoch() != previous.GetEpoch() {
			return nil, errors.Errorf("%s has claimed epoch %d in the meantime", s.owner.GetInstance(), s.owner.GetEpoch())
		}
		if owner == nil && s.owner.GetEpoch() > knownEpoch {
			// Another instance has claimed an epoch since the last poll. If it has
			// failed already, the next poll finds no owner.
			if knownEpoch != 0 {
				i.setOwner(s.owner)
				return nil, errors.Errorf("%s has claimed epoch %d already", s.owner.GetInstance(), s.owner.GetEpoch())
			}
		}
		if owner == nil {
			previous = s.owner
			owner = &pb.OwnerRecord{
				Epoch:    (s.owner.GetEpoch()>>epochRandomBits+1)<<epochRandomBits | rand.Int64N(1<<epochRandomBits),
				Instance: i.settings.GetInstance(), PeerAddress: i.peerAddress(),
				CpuMilli: i.cpuMilli(), Idle: true,
			}
		}
		owner.Earlier = earlierOwners(s.owner) // may have changed since an attempt that failed
		s.claimedAt = bootTime()
		if lastErr = i.appendClaim(ctx, owner, s.end); lastErr == nil {
			s.owner, s.end = owner, s.end+1
			if s.intake, s.intakeEnd, err = i.readIntake(ctx); err != nil {
				return nil, errors.Wrap(err, "read intake")
			}
			return s, nil
		}
		if !errors.Is(lastErr, store.ErrConflict) {
			return nil, lastErr
		}
	}
	return nil, lastErr
}

// appendClaim appends the owner's record if the partition still ends at end. It
// repeats an append without a response, which is safe: the store returns the result
// of the first append to a repetition.
func (i *Instance) appendClaim(ctx context.Context, owner *pb.OwnerRecord, end int64) error {
	data, err := proto.Marshal(owner)
	if err != nil {
		return errors.Wrap(err, "encode owner record")
	}
	for range maxClaimAppends {
		_, err = i.store.Append(ctx, jobTopic, []store.Record{{Key: ownerKey, Value: data}}, store.AppendOptions{
			Producer: &store.Producer{Name: ownerName, Epoch: owner.GetEpoch()}, ExpectedEnd: &end,
		})
		if err == nil || errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrFenced) || errors.Is(err, store.ErrRefused) {
			return err
		}
		sleep(ctx, noResponseRetryDelay)
	}
	return err
}
