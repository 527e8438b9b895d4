package ownership

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"gooseberryreel/internal/pb"
)

// faultFree is a simulation of three instances and one partition without random
// faults. Each test injects its own faults.
type faultFree struct {
	*simulation
	a, b, c *process
}

func newFaultFree() *faultFree {
	sim := newSimulation(1, 1, disabledRules{})
	return &faultFree{simulation: sim, a: sim.running[0], b: sim.running[1], c: sim.running[2]}
}

// runSeconds runs all processes that are not paused for n seconds. Reads and
// replies fail only through the faults that the test injects.
func (sim *faultFree) runSeconds(n int) {
	for end := sim.t + n*10; sim.t < end; sim.t++ {
		for _, p := range append([]*process(nil), sim.running...) {
			if p.pausedUntil > sim.t {
				continue
			}
			sim.stepWithoutFaults(p)
		}
		sim.check()
	}
}

func (sim *faultFree) stepWithoutFaults(p *process) {
	if sim.canReachLog(p) {
		for ; p.readPosition < len(sim.log); p.readPosition++ {
			p.core.ApplyRecord(sim.now(), int64(p.readPosition), sim.log[p.readPosition])
		}
		p.core.UpdateReadPosition(sim.now(), int64(p.readPosition), int64(len(sim.log)))
	}
	owned := p.core.Owned()
	for _, peer := range p.core.Peers() {
		q := sim.runningProcess(peer.ID.Name)
		switch {
		case !sim.connected(p, sim.all[peer.ID]):
		case q == nil:
			p.core.ApplyRefusedConnection(peer.ID)
		case q.pausedUntil <= sim.t:
			p.core.ApplyPromises(peer.ID, q.id, sim.now(), owned, q.core.GrantPromises(sim.now(), owned))
		}
	}
	for _, rec := range p.core.Tick(sim.now()) {
		if sim.canReachLog(p) {
			sim.log = append(sim.log, rec)
			p.core.ConfirmAppend(rec.GetId())
		}
	}
	p.view = []Partition{p.core.Partition(0, sim.now())}
}

// actingProcess returns the process that may start new work of partition 0, nil
// for none.
func (sim *faultFree) actingProcess() *process {
	for _, p := range sim.running {
		if len(p.view) > 0 && p.view[0].MayAct(sim.now()) {
			return p
		}
	}
	return nil
}

func (sim *faultFree) others(p *process) (x, y *process) {
	for _, q := range []*process{sim.a, sim.b, sim.c} {
		if q == p {
			continue
		}
		if x == nil {
			x = q
		} else {
			y = q
		}
	}
	return x, y
}

func (sim *faultFree) cutOffFromPeers(p *process) {
	for _, q := range sim.all {
		if q != p {
			sim.cutOffPairs[pairKey(p, q)] = true
		}
	}
}

// Guards against a new domain that waits for a lease to end before it serves.
func TestFirstClaimWithinTwoSeconds(t *testing.T) {
	sim := newFaultFree()
	sim.runSeconds(2)
	qt.Assert(t, sim.actingProcess(), qt.IsNotNil)
}

// Guards against an owner that starts work after a pause longer than its lease.
func TestOwnerPausedPastLeaseThenResumed(t *testing.T) {
	c, sim := qt.New(t), newFaultFree()
	sim.runSeconds(10)
	old := sim.actingProcess()
	old.pausedUntil = sim.t + 200
	sim.runSeconds(4)
	c.Assert(old.view[0].MayAct(sim.now()), qt.IsFalse)
	sim.runSeconds(12)
	next := sim.actingProcess()
	c.Assert(next, qt.IsNotNil)
	c.Assert(next, qt.Not(qt.Equals), old)
	sim.runSeconds(10)
	c.Assert(sim.actingProcess(), qt.Equals, next)
	c.Assert(sim.violations, qt.Equals, 0)
}

// Guards against a second owner, or none, while the owner can't reach the log but
// its peers still give promises.
func TestOwnerCutOffFromLogAlone(t *testing.T) {
	c, sim := qt.New(t), newFaultFree()
	sim.runSeconds(10)
	old := sim.actingProcess()
	old.logCutOffUntil = sim.t + 600
	for range 60 {
		sim.runSeconds(1)
		c.Assert(sim.actingProcess(), qt.Equals, old)
	}
	c.Assert(sim.violations, qt.Equals, 0)
}

// Guards against an owner that loses its permission because its peers don't
// answer, although its heartbeats reach the log.
func TestOwnerCutOffFromPeersAlone(t *testing.T) {
	c, sim := qt.New(t), newFaultFree()
	sim.runSeconds(10)
	old := sim.actingProcess()
	sim.cutOffFromPeers(old)
	for range 60 {
		sim.runSeconds(1)
		c.Assert(sim.actingProcess(), qt.Equals, old)
	}
	c.Assert(sim.violations, qt.Equals, 0)
}

// Guards against an owner that keeps its permission without a promise of each
// peer: with the log down, a stopped peer must refuse the connection. That it
// doesn't answer is not enough, since it may still run and claim.
func TestLogDownAndPeerDead(t *testing.T) {
	for _, refuses := range []bool{true, false} {
		c, sim := qt.New(t), newFaultFree()
		sim.runSeconds(10)
		old := sim.actingProcess()
		dead, _ := sim.others(old)
		sim.logDownUntil = sim.t + 600
		sim.crash(dead)
		if !refuses {
			sim.cutOffPairs[pairKey(old, dead)] = true
		}
		sim.runSeconds(8)
		c.Assert(sim.actingProcess() == old, qt.Equals, refuses)
		c.Assert(sim.violations, qt.Equals, 0)
	}
}

// Guards against a refused connection that counts as the end of a process although
// RefusedProvesGone is off. Then only missing heartbeats and newer incarnations
// count.
func TestRefusedProvesNothing(t *testing.T) {
	for _, proves := range []bool{true, false} {
		c, sim := qt.New(t), newFaultFree()
		for _, p := range sim.running {
			p.core.opts.RefusedProvesGone = proves
		}
		sim.runSeconds(10)
		old := sim.actingProcess()
		dead, other := sim.others(old)
		// The log is down and a peer refuses connections. The owner keeps its
		// permission only if that proves that the peer has ended.
		sim.logDownUntil = sim.t + 80
		sim.crash(dead)
		sim.runSeconds(8)
		c.Assert(sim.actingProcess() == old, qt.Equals, proves)
		c.Assert(other.view[0].Own, qt.IsFalse)
		sim.runSeconds(20)
		old = sim.actingProcess()
		c.Assert(old, qt.IsNotNil)
		// The owner crashes. If refused connections prove nothing, its successor
		// waits for two leases without a heartbeat and for one more to take
		// effect.
		sim.crash(old)
		sim.runSeconds(8)
		c.Assert(sim.actingProcess() != nil, qt.Equals, proves)
		sim.runSeconds(12)
		c.Assert(sim.actingProcess(), qt.IsNotNil)
		c.Assert(sim.violations, qt.Equals, 0)

		// Another instance at the address counts as much as a refused connection.
		// A newer incarnation always proves the end of the process.
		core, peer := sim.running[0].core, ID{Name: "x", Incarnation: 5}
		core.instance(peer)
		core.ApplyPromises(peer, ID{Name: "y", Incarnation: 9}, sim.now(), nil, nil)
		c.Assert(core.instance(peer).gone, qt.Equals, proves)
		core.ApplyPromises(peer, ID{Name: "x", Incarnation: 6}, sim.now(), nil, nil)
		c.Assert(core.instance(peer).gone, qt.IsTrue)
	}
}

// Guards against a claim by an instance that the owner doesn't know and so never
// queries.
func TestReplacementUnknownToOwner(t *testing.T) {
	c, sim := qt.New(t), newFaultFree()
	sim.runSeconds(10)
	old := sim.actingProcess()
	x, y := sim.others(old)
	old.logCutOffUntil = sim.t + 10_000
	sim.runSeconds(1)
	sim.crash(x)
	sim.crash(y)
	fresh := sim.start("")
	sim.runSeconds(40)
	c.Assert(sim.actingProcess(), qt.Equals, old)
	c.Assert(fresh.view[0].Own, qt.IsFalse)
	c.Assert(sim.violations, qt.Equals, 0)

	// The owner is missing from the platform's list for the grace period and so
	// counts as gone.
	sim.crash(old)
	sim.cutOffPairs[pairKey(fresh, old)] = true
	for range 70 {
		sim.updateListing(fresh)
		sim.runSeconds(1)
	}
	c.Assert(sim.actingProcess(), qt.Equals, fresh)
}

// Guards against an earlier owner that regains its permission: A is paused and cut
// off from the log, B claims from A and crashes, C claims from B, then A resumes.
func TestChainOfOwners(t *testing.T) {
	c, sim := qt.New(t), newFaultFree()
	sim.runSeconds(10)
	first := sim.actingProcess()
	first.pausedUntil, first.logCutOffUntil = sim.t+400, sim.t+800
	sim.runSeconds(20)
	second := sim.actingProcess()
	c.Assert(second, qt.Not(qt.Equals), first)
	sim.crash(second)
	sim.runSeconds(30)
	third := sim.actingProcess()
	c.Assert(third, qt.IsNotNil)
	c.Assert(third.id, qt.Not(qt.Equals), second.id)
	c.Assert(third, qt.Not(qt.Equals), first)
	sim.runSeconds(40)
	c.Assert(sim.actingProcess(), qt.Equals, third)
	c.Assert(first.view[0].MayAct(sim.now()), qt.IsFalse)
	c.Assert(sim.violations, qt.Equals, 0)
}

// Guards against a release after which there are two owners, or the next owner
// waits for a lease.
func TestReleaseAndCleanClaim(t *testing.T) {
	c, sim := qt.New(t), newFaultFree()
	sim.runSeconds(10)
	old := sim.actingProcess()
	old.core.Leave()
	c.Assert(old.core.SuspendPartition(0, sim.now()), qt.IsTrue)
	c.Assert(old.core.Partition(0, sim.now()).MayAct(sim.now()), qt.IsFalse)
	old.core.ReleasePartition(0, old.core.Epoch(0))
	sim.runSeconds(1)
	next := sim.actingProcess()
	c.Assert(next, qt.IsNotNil)
	c.Assert(next, qt.Not(qt.Equals), old)
	c.Assert(next.view[0].Clean, qt.IsTrue)
	c.Assert(sim.violations, qt.Equals, 0)
}

// Guards against a release before the claim has taken effect. The next claim has
// no delay, so the owner before the releasing one could still start work.
func TestNoReleaseBeforeClaimTakesEffect(t *testing.T) {
	c, sim := qt.New(t), newFaultFree()
	sim.runSeconds(10)
	sim.crash(sim.actingProcess())
	for range 100 {
		sim.runSeconds(1)
		for _, p := range sim.running {
			if s := p.core.Partition(0, sim.now()); s.Own && sim.now().Before(s.EffectiveAt) {
				c.Assert(p.core.SuspendPartition(0, sim.now()), qt.IsFalse)
				return
			}
		}
	}
	c.Fatal("no takeover seen")
}

// Guards against ownership that is lost when the log trims records: an instance
// restored from a snapshot must know the owner, the earlier owners and the epoch.
func TestSnapshotRestore(t *testing.T) {
	c, sim := qt.New(t), newFaultFree()
	sim.runSeconds(10)
	first := sim.actingProcess()
	first.pausedUntil = sim.t + 200
	sim.runSeconds(15)
	owner := sim.actingProcess()
	c.Assert(owner, qt.IsNotNil)
	snapshot := owner.core.Snapshot()
	c.Assert(snapshot, qt.HasLen, 1)
	c.Assert(snapshot[0].GetEarlier(), qt.HasLen, 1)
	position := int(owner.core.Position())

	fresh := sim.start("")
	fresh.core.Restore(int64(position), snapshot)
	fresh.readPosition = position
	c.Assert(fresh.core.Snapshot()[0].GetEarlier()[0].GetOwner(), qt.Equals, first.id.Name)
	c.Assert(fresh.core.Epoch(0), qt.Equals, owner.core.Epoch(0))
	sim.runSeconds(20)
	c.Assert(sim.actingProcess(), qt.Equals, owner)
	for _, p := range sim.running {
		if p != first {
			sim.crash(p)
		}
	}
	sim.runSeconds(30)
	c.Assert(sim.violations, qt.Equals, 0)
}

// Guards against a takeover from a restarted process that waits until the new
// process has run for two leases, and against an old process that doesn't notice
// the new one.
func TestRestartUnderTheSameName(t *testing.T) {
	c, sim := qt.New(t), newFaultFree()
	sim.runSeconds(10)
	old := sim.actingProcess()
	sim.crash(old)
	sim.start(old.id.Name)
	sim.runSeconds(5)
	c.Assert(sim.actingProcess(), qt.IsNotNil)
	c.Assert(sim.violations, qt.Equals, 0)

	old.core.ApplyRecord(sim.now(), int64(len(sim.log)), &pb.StreamRecord{
		Author: old.id.Name, Incarnation: old.id.Incarnation + 1,
		Body: &pb.StreamRecord_Heartbeat{Heartbeat: &pb.Heartbeat{}},
	})
	c.Assert(old.core.Superseded(), qt.IsTrue)
}

// Guards against a new member that is never assigned partitions.
func TestRebalanceToNewMember(t *testing.T) {
	c := qt.New(t)
	sim := newSimulation(1, 24, disabledRules{})
	for range 2 {
		sim.crash(sim.running[0])
	}
	only := sim.running[0]
	faultless := &faultFree{simulation: sim}
	step := func(p *process) {
		if number, _, ok := p.core.NextRebalance(sim.now()); ok && p.core.SuspendPartition(number, sim.now()) {
			p.core.ReleasePartition(number, p.core.Epoch(number))
		}
		faultless.stepWithoutFaults(p)
	}
	for range 50 {
		step(only)
		sim.t++
	}
	c.Assert(only.core.Owned(), qt.HasLen, 24)
	joined := sim.start("")
	for range 400 {
		step(only)
		step(joined)
		sim.t++
	}
	c.Assert(len(joined.core.Owned()) >= 6, qt.IsTrue, qt.Commentf("%d", len(joined.core.Owned())))
	c.Assert(len(joined.core.Owned())+len(only.core.Owned()), qt.Equals, 24)
}
