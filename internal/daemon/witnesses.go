package daemon

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"gooseberryreel/internal/leader"
	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/scheduler"
	"gooseberryreel/internal/witness"
)

const (
	// grantTimeout limits a request for a grant. It is below witness.RenewInterval.
	grantTimeout = 350 * time.Millisecond
	// witnessLostTime is how long a witness must not have granted before the owner
	// looks for others.
	witnessLostTime = 3 * time.Second
	// witnessRetryDelay is the pause after a search without enough witnesses.
	witnessRetryDelay = 2 * time.Second
)

// newWitness returns the witness of this process.
func newWitness() *witness.Witness { return witness.New(1+rand.Int64N(1<<62), bootTime()) }

// Grant implements pb.DRPCJobsServer.
func (s *jobsServer) Grant(_ context.Context, r *pb.GrantRequest) (*pb.GrantReply, error) {
	w := s.witness
	return &pb.GrantReply{Witness: w.ID, Granted: w.Grant(r.GetWitness(), r.GetEpoch(), bootTime())}, nil
}

// Revoke implements pb.DRPCJobsServer.
func (s *jobsServer) Revoke(_ context.Context, r *pb.RevokeRequest) (*pb.RevokeReply, error) {
	return &pb.RevokeReply{GrantedAgoMs: s.witness.Revoke(r.GetEpoch(), bootTime()).Milliseconds()}, nil
}

// keepWitnesses lets the owner act by the grants of witnesses, and keeps these, until the
// term ends. Without enough witnesses the owner acts while the store confirms that there
// is no newer owner: a newer one then waits for longer.
func (o *ownerTerm) keepWitnesses() {
	for o.ctx.Err() == nil {
		chosen := o.chooseWitnesses()
		if len(chosen) == 0 {
			sleep(o.ctx, witnessRetryDelay)
			continue
		}
		grants := witness.NewGrants(witnessNames(chosen))
		o.askForGrants(chosen, grants)
		if grants.CountSince(bootTime()-witness.RenewInterval) < len(chosen) {
			sleep(o.ctx, witness.RenewInterval) // one of them was lost or has restarted
			continue
		}
		o.grants.Store(grants)
		if !o.confirmGrants(chosen, grants) {
			o.grants.Store(nil)
			sleep(o.ctx, witness.RenewInterval)
			continue
		}
		// From here on a newer owner may have read the names.
		o.updateRecord(func(r *pb.OwnerRecord) { r.Witnesses, r.LeasesFromGrants = chosen, true })
		o.logWitnesses("witnesses", chosen)
		o.renewGrants(chosen, grants)
		if o.ctx.Err() == nil {
			o.grants.Store(nil)
			o.logWitnesses("witnesses released", chosen)
		}
	}
}

// confirmGrants asks for grants once the loop counts leases from them, so that the newest
// grants are later than all leases that were counted from when they were granted.
func (o *ownerTerm) confirmGrants(chosen []*pb.OwnerWitness, grants *witness.Grants) bool {
	if o.postAndWait(o.ctx, workConfig, func(c *scheduler.Core) { o.countLeases(c, time.Now()) }) != nil {
		return false
	}
	counted := bootTime()
	o.askForGrants(chosen, grants)
	return grants.CountSince(counted) == len(chosen)
}

// countLeases lets the core count leases from the grants by which the owner acts.
func (o *ownerTerm) countLeases(c *scheduler.Core, now time.Time) {
	var permittedAt time.Time
	if grants := o.grants.Load(); grants != nil {
		permittedAt = now.Add(grants.Since() - bootTime())
	}
	c.CountLeasesFrom(permittedAt)
}

// renewGrants renews the grants until the term ends or the store has confirmed that the
// owner has no witnesses any more, after one was lost.
func (o *ownerTerm) renewGrants(chosen []*pb.OwnerWitness, grants *witness.Grants) {
	var released <-chan struct{}
	for sleep(o.ctx, witness.RenewInterval); o.ctx.Err() == nil; sleep(o.ctx, witness.RenewInterval) {
		o.askForGrants(chosen, grants)
		select {
		case <-released:
			return
		default:
		}
		lost := grants.CountSince(bootTime()-witnessLostTime) < len(chosen) || !grants.Valid(bootTime())
		if lost && released == nil && o.instance.storeContact.age() < storeLostDelay {
			released = o.updateRecord(func(r *pb.OwnerRecord) { r.Witnesses, r.LeasesFromGrants = nil, false })
		}
	}
}

// chooseWitnesses returns the witnesses to be asked, with their ids: instances that are
// spread over the sorted list of candidates, so that most failure domains have one.
func (o *ownerTerm) chooseWitnesses() []*pb.OwnerWitness {
	i := o.instance
	candidates, err := i.candidates(o.ctx)
	if err != nil {
		return nil
	}
	candidates = slices.DeleteFunc(candidates, func(c leader.Candidate) bool { return c.Address == i.peerAddress() })
	slices.SortFunc(candidates, func(a, b leader.Candidate) int { return cmp.Compare(a.Instance, b.Instance) })
	candidates = slices.CompactFunc(candidates, func(a, b leader.Candidate) bool { return a.Address == b.Address })
	var mu sync.Mutex
	var chosen []*pb.OwnerWitness
	var group sync.WaitGroup
	count := min(len(candidates), witness.MaxWitnesses)
	first := 0
	if len(candidates) > 0 {
		first = rand.IntN(len(candidates))
	}
	for n := range count {
		address := candidates[(first+n*len(candidates)/count)%len(candidates)].Address
		group.Go(func() {
			reply, err := o.askForGrant(&pb.OwnerWitness{PeerAddress: address})
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			chosen = append(chosen, &pb.OwnerWitness{PeerAddress: address, Id: reply.GetWitness()})
		})
	}
	group.Wait()
	return chosen
}

// askForGrants asks all witnesses at the same time.
func (o *ownerTerm) askForGrants(chosen []*pb.OwnerWitness, grants *witness.Grants) {
	var group sync.WaitGroup
	for _, w := range chosen {
		group.Go(func() {
			asked := bootTime()
			if reply, err := o.askForGrant(w); err == nil && reply.GetGranted() {
				grants.Granted(w.GetPeerAddress(), asked)
			}
		})
	}
	group.Wait()
}

func (o *ownerTerm) askForGrant(w *pb.OwnerWitness) (reply *pb.GrantReply, err error) {
	ctx, cancel := context.WithTimeout(o.ctx, grantTimeout)
	defer cancel()
	err = o.instance.pool.CallJobs(ctx, w.GetPeerAddress(), func(ctx context.Context, c pb.DRPCJobsClient) (err error) {
		reply, err = c.Grant(ctx, &pb.GrantRequest{Epoch: o.epoch, Witness: w.GetId()})
		return err
	})
	return reply, err
}

// revoke asks the witnesses of an earlier owner that have not answered yet to revoke.
func (o *ownerTerm) revoke(earlier *earlierOwner) {
	i := o.instance
	var group sync.WaitGroup
	for _, w := range earlier.record.GetWitnesses() {
		group.Go(func() {
			address := w.GetPeerAddress()
			if address == i.peerAddress() {
				earlier.revocation.Answered(address, bootTime(), i.witness.Revoke(o.epoch, bootTime()))
				return
			}
			var reply *pb.RevokeReply
			err := i.callOwner(o.ctx, address, func(ctx context.Context, c pb.DRPCJobsClient) (err error) {
				reply, err = c.Revoke(ctx, &pb.RevokeRequest{Epoch: o.epoch})
				return err
			})
			if err == nil {
				earlier.revocation.Answered(address, bootTime(), time.Duration(reply.GetGrantedAgoMs())*time.Millisecond)
			}
		})
	}
	group.Wait()
}

func witnessNames(list []*pb.OwnerWitness) []string {
	names := make([]string, 0, len(list))
	for _, w := range list {
		names = append(names, w.GetPeerAddress())
	}
	return names
}

func (o *ownerTerm) logWitnesses(event string, list []*pb.OwnerWitness) {
	o.instance.log.WithField("event", event).WithField("epoch", o.epoch).WithField("addresses", witnessNames(list)).Info("membership")
}
