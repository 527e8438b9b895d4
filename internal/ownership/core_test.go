package ownership

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"gooseberryreel/internal/pb"
)

// calm is a simulation of three instances and one partition without random faults.
// Each test injects its own faults.
type calm struct {
	*world
	a, b, c *process
}

func newCalm() *calm {
	w := newWorld(1, 1, switches{})
	return &calm{world: w, a: w.running[0], b: w.running[1], c: w.running[2]}
}

// seconds runs all processes that are not paused for n seconds. Reads and replies
// fail only through the faults that the test injects.
func (w *calm) seconds(n int) {
	for end := w.t + n*10; w.t < end; w.t++ {
		for _, p := range append([]*process(nil), w.running...) {
			if p.paused > w.t {
				continue
			}
			w.calmStep(p)
		}
		w.check()
	}
}

func (w *calm) calmStep(p *process) {
	if w.canLog(p) {
		for ; p.read < len(w.log); p.read++ {
			p.core.ApplyRecord(w.now(), int64(p.read), w.log[p.read])
		}
		p.core.UpdateReadPosition(w.now(), int64(p.read), int64(len(w.log)))
	}
	owned := p.core.Owned()
	for _, peer := range p.core.Peers() {
		q := w.at(peer.ID.Name)
		switch {
		case !w.linked(p, w.all[peer.ID]):
		case q == nil:
			p.core.ApplyRefusedConnection(peer.ID)
		case q.paused <= w.t:
			p.core.ApplyPromises(peer.ID, q.id, w.now(), owned, q.core.GrantPromises(w.now(), owned))
		}
	}
	for _, rec := range p.core.Tick(w.now()) {
		if w.canLog(p) {
			w.log = append(w.log, rec)
			p.core.ConfirmAppend(rec.GetId())
		}
	}
	p.view = []Partition{p.core.Partition(0, w.now())}
}

// acting returns the process that may start new work of partition 0, nil for none.
func (w *calm) acting() *process {
	for _, p := range w.running {
		if len(p.view) > 0 && p.view[0].MayAct(w.now()) {
			return p
		}
	}
	return nil
}

func (w *calm) others(p *process) (x, y *process) {
	for _, q := range []*process{w.a, w.b, w.c} {
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

func (w *calm) cutLinks(p *process) {
	for _, q := range w.all {
		if q != p {
			w.cut[pair(p, q)] = true
		}
	}
}

// Guards against a new domain that waits for a lease to end before it serves.
func TestFirstClaimWithinTwoSeconds(t *testing.T) {
	w := newCalm()
	w.seconds(2)
	qt.Assert(t, w.acting(), qt.IsNotNil)
}

// Guards against an owner that starts work after a pause longer than its lease.
func TestOwnerPausedPastLeaseThenResumed(t *testing.T) {
	c, w := qt.New(t), newCalm()
	w.seconds(10)
	old := w.acting()
	old.paused = w.t + 200
	w.seconds(4)
	c.Assert(old.view[0].MayAct(w.now()), qt.IsFalse)
	w.seconds(12)
	next := w.acting()
	c.Assert(next, qt.IsNotNil)
	c.Assert(next, qt.Not(qt.Equals), old)
	w.seconds(10)
	c.Assert(w.acting(), qt.Equals, next)
	c.Assert(w.violations, qt.Equals, 0)
}

// Guards against a second owner, or none, while the owner can't reach the log but
// its peers still give promises.
func TestOwnerCutFromLogAlone(t *testing.T) {
	c, w := qt.New(t), newCalm()
	w.seconds(10)
	old := w.acting()
	old.noLog = w.t + 600
	for range 60 {
		w.seconds(1)
		c.Assert(w.acting(), qt.Equals, old)
	}
	c.Assert(w.violations, qt.Equals, 0)
}

// Guards against an owner that loses its permission because its peers don't answer,
// although its heartbeats reach the log.
func TestOwnerCutFromPeersAlone(t *testing.T) {
	c, w := qt.New(t), newCalm()
	w.seconds(10)
	old := w.acting()
	w.cutLinks(old)
	for range 60 {
		w.seconds(1)
		c.Assert(w.acting(), qt.Equals, old)
	}
	c.Assert(w.violations, qt.Equals, 0)
}

// Guards against an owner that keeps its permission without a promise of each peer:
// with the log down, a stopped peer must refuse the connection. That it doesn't
// answer is not enough, since it may still run and claim.
func TestLogDownAndPeerDead(t *testing.T) {
	for _, refuses := range []bool{true, false} {
		c, w := qt.New(t), newCalm()
		w.seconds(10)
		old := w.acting()
		dead, _ := w.others(old)
		w.outage = w.t + 600
		w.crash(dead)
		if !refuses {
			w.cut[pair(old, dead)] = true
		}
		w.seconds(8)
		c.Assert(w.acting() == old, qt.Equals, refuses)
		c.Assert(w.violations, qt.Equals, 0)
	}
}

// Guards against a refused connection that counts as the end of a process although
// RefusedProvesGone is off. Then only missing heartbeats and newer incarnations
// count.
func TestRefusedProvesNothing(t *testing.T) {
	for _, proves := range []bool{true, false} {
		c, w := qt.New(t), newCalm()
		for _, p := range w.running {
			p.core.opts.RefusedProvesGone = proves
		}
		w.seconds(10)
		old := w.acting()
		dead, other := w.others(old)
		// The log is down and a peer refuses connections. The owner keeps its
		// permission only if that proves that the peer has ended.
		w.outage = w.t + 80
		w.crash(dead)
		w.seconds(8)
		c.Assert(w.acting() == old, qt.Equals, proves)
		c.Assert(other.view[0].Own, qt.IsFalse)
		w.seconds(20)
		old = w.acting()
		c.Assert(old, qt.IsNotNil)
		// The owner crashes. If refused connections prove nothing, its successor
		// waits for two leases without a heartbeat and for one more to take effect.
		w.crash(old)
		w.seconds(8)
		c.Assert(w.acting() != nil, qt.Equals, proves)
		w.seconds(12)
		c.Assert(w.acting(), qt.IsNotNil)
		c.Assert(w.violations, qt.Equals, 0)

		// Another instance at the address counts as much as a refused connection.
		// A newer incarnation always proves the end of the process.
		core, peer := w.running[0].core, ID{Name: "x", Incarnation: 5}
		core.instance(peer)
		core.ApplyPromises(peer, ID{Name: "y", Incarnation: 9}, w.now(), nil, nil)
		c.Assert(core.instance(peer).gone, qt.Equals, proves)
		core.ApplyPromises(peer, ID{Name: "x", Incarnation: 6}, w.now(), nil, nil)
		c.Assert(core.instance(peer).gone, qt.IsTrue)
	}
}

// Guards against a claim by an instance that the owner doesn't know and so never
// queries.
func TestReplacementUnknownToOwner(t *testing.T) {
	c, w := qt.New(t), newCalm()
	w.seconds(10)
	old := w.acting()
	x, y := w.others(old)
	old.noLog = w.t + 10_000
	w.seconds(1)
	w.crash(x)
	w.crash(y)
	fresh := w.start("")
	w.seconds(40)
	c.Assert(w.acting(), qt.Equals, old)
	c.Assert(fresh.view[0].Own, qt.IsFalse)
	c.Assert(w.violations, qt.Equals, 0)

	// The owner is missing from the platform's list for the grace period and so
	// counts as gone.
	w.crash(old)
	w.cut[pair(fresh, old)] = true
	for range 70 {
		w.list(fresh)
		w.seconds(1)
	}
	c.Assert(w.acting(), qt.Equals, fresh)
}

// Guards against an earlier owner that regains its permission: A is paused and cut
// off from the log, B claims from A and crashes, C claims from B, then A resumes.
func TestChainOfOwners(t *testing.T) {
	c, w := qt.New(t), newCalm()
	w.seconds(10)
	first := w.acting()
	first.paused, first.noLog = w.t+400, w.t+800
	w.seconds(20)
	second := w.acting()
	c.Assert(second, qt.Not(qt.Equals), first)
	w.crash(second)
	w.seconds(30)
	third := w.acting()
	c.Assert(third, qt.IsNotNil)
	c.Assert(third.id, qt.Not(qt.Equals), second.id)
	c.Assert(third, qt.Not(qt.Equals), first)
	w.seconds(40)
	c.Assert(w.acting(), qt.Equals, third)
	c.Assert(first.view[0].MayAct(w.now()), qt.IsFalse)
	c.Assert(w.violations, qt.Equals, 0)
}

// Guards against a release after which there are two owners, or the next owner
// waits for a lease.
func TestReleaseAndCleanClaim(t *testing.T) {
	c, w := qt.New(t), newCalm()
	w.seconds(10)
	old := w.acting()
	old.core.Leave()
	c.Assert(old.core.SuspendPartition(0, w.now()), qt.IsTrue)
	c.Assert(old.core.Partition(0, w.now()).MayAct(w.now()), qt.IsFalse)
	old.core.ReleasePartition(0, old.core.Epoch(0))
	w.seconds(1)
	next := w.acting()
	c.Assert(next, qt.IsNotNil)
	c.Assert(next, qt.Not(qt.Equals), old)
	c.Assert(next.view[0].Clean, qt.IsTrue)
	c.Assert(w.violations, qt.Equals, 0)
}

// Guards against a release before the claim has taken effect. The next claim has no
// delay, so the owner before the releasing one could still start work.
func TestNoReleaseBeforeClaimTakesEffect(t *testing.T) {
	c, w := qt.New(t), newCalm()
	w.seconds(10)
	w.crash(w.acting())
	for range 100 {
		w.seconds(1)
		for _, p := range w.running {
			if s := p.core.Partition(0, w.now()); s.Own && w.now().Before(s.EffectiveAt) {
				c.Assert(p.core.SuspendPartition(0, w.now()), qt.IsFalse)
				return
			}
		}
	}
	c.Fatal("no takeover seen")
}

// Guards against ownership that is lost when the log trims records: an instance
// restored from a snapshot must know the owner, the earlier owners and the epoch.
func TestSnapshotRestore(t *testing.T) {
	c, w := qt.New(t), newCalm()
	w.seconds(10)
	first := w.acting()
	first.paused = w.t + 200
	w.seconds(15)
	owner := w.acting()
	c.Assert(owner, qt.IsNotNil)
	snapshot := owner.core.Snapshot()
	c.Assert(snapshot, qt.HasLen, 1)
	c.Assert(snapshot[0].GetEarlier(), qt.HasLen, 1)
	position := int(owner.core.Position())

	fresh := w.start("")
	fresh.core.Restore(int64(position), snapshot)
	fresh.read = position
	c.Assert(fresh.core.Snapshot()[0].GetEarlier()[0].GetOwner(), qt.Equals, first.id.Name)
	c.Assert(fresh.core.Epoch(0), qt.Equals, owner.core.Epoch(0))
	w.seconds(20)
	c.Assert(w.acting(), qt.Equals, owner)
	for _, p := range w.running {
		if p != first {
			w.crash(p)
		}
	}
	w.seconds(30)
	c.Assert(w.violations, qt.Equals, 0)
}

// Guards against a takeover from a restarted process that waits until the new
// process has run for two leases, and against an old process that doesn't notice
// the new one.
func TestRestartUnderTheSameName(t *testing.T) {
	c, w := qt.New(t), newCalm()
	w.seconds(10)
	old := w.acting()
	w.crash(old)
	w.start(old.id.Name)
	w.seconds(5)
	c.Assert(w.acting(), qt.IsNotNil)
	c.Assert(w.violations, qt.Equals, 0)

	old.core.ApplyRecord(w.now(), int64(len(w.log)), &pb.StreamRecord{
		Author: old.id.Name, Incarnation: old.id.Incarnation + 1,
		Body: &pb.StreamRecord_Heartbeat{Heartbeat: &pb.Heartbeat{}},
	})
	c.Assert(old.core.Superseded(), qt.IsTrue)
}

// Guards against a new member that is never assigned partitions.
func TestSurplusGoesToNewMember(t *testing.T) {
	c := qt.New(t)
	w := newWorld(1, 24, switches{})
	for range 2 {
		w.crash(w.running[0])
	}
	only := w.running[0]
	quiet := &calm{world: w}
	step := func(p *process) {
		if number, _, ok := p.core.NextRebalance(w.now()); ok && p.core.SuspendPartition(number, w.now()) {
			p.core.ReleasePartition(number, p.core.Epoch(number))
		}
		quiet.calmStep(p)
	}
	for range 50 {
		step(only)
		w.t++
	}
	c.Assert(only.core.Owned(), qt.HasLen, 24)
	joined := w.start("")
	for range 400 {
		step(only)
		step(joined)
		w.t++
	}
	c.Assert(len(joined.core.Owned()) >= 6, qt.IsTrue, qt.Commentf("%d", len(joined.core.Owned())))
	c.Assert(len(joined.core.Owned())+len(only.core.Owned()), qt.Equals, 24)
}
