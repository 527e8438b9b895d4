package relay

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var (
	testLimits = Limits{OwnerWorkersPerCore: 300, RelayWorkersPerCore: 150}
	testStart  = time.Unix(1_700_000_000, 0)
)

// largeSite returns the assignment of a site with five failure domains, each with
// 220 workers, three large machines and 25 small ones. The owner is one of the large
// machines of the first domain.
func largeSite(workers int) *Assignment {
	a := NewAssignment(testLimits, 800)
	for d := range 5 {
		for n := range 28 {
			o := Offer{Instance: fmt.Sprintf("d%d-%02d", d, n), Domain: domainName(d), CPUMilli: 110}
			if n < 3 {
				o.CPUMilli = 800
			}
			if d > 0 || n > 0 {
				a.AddRelay(o)
			}
		}
	}
	for n := range workers {
		a.Assign(fmt.Sprintf("w%04d", n), domainName(n%5), workers, testStart)
	}
	return a
}

func domainName(n int) string { return fmt.Sprintf("d%d", n) }

// Guards against an owner that makes the calls to a thousand workers itself, calls
// that cross failure domains needlessly, and work on small machines while large ones
// have room.
func TestLargeSiteIsSharedOut(t *testing.T) {
	c := qt.New(t)
	a := largeSite(1100)
	c.Check(a.Own(), qt.Equals, 0)
	_, used := a.Relays()
	c.Check(used, qt.Equals, 14)
	remote := 0
	for _, w := range a.workers {
		r := a.relays[w.relay]
		c.Assert(r.CPUMilli, qt.Equals, int64(800))
		if r.Domain != w.domain {
			remote++
		}
	}
	c.Check(remote, qt.Equals, 0)
	for _, r := range a.relays {
		c.Check(r.workers <= r.room, qt.IsTrue, qt.Commentf("%s serves %d", r.Instance, r.workers))
	}
}

// Guards against calls through a second process on a site where the owner can make
// them all.
func TestSmallSiteNeedsNoRelay(t *testing.T) {
	c := qt.New(t)
	a := NewAssignment(testLimits, 160)
	for n := range 8 {
		a.AddRelay(Offer{Instance: fmt.Sprintf("i%d", n), Domain: "d0", CPUMilli: 160})
	}
	for n := range 48 {
		relay, ok := a.Assign(fmt.Sprintf("w%d", n), "d0", 48, testStart)
		c.Assert(ok, qt.IsTrue)
		c.Assert(relay, qt.Equals, "")
	}
}

// Guards against a lost relay that moves workers of other relays, each of which
// would need new connections.
func TestLostRelayMovesOnlyItsWorkers(t *testing.T) {
	c := qt.New(t)
	a := largeSite(1100)
	before := make(map[string]string)
	for name, w := range a.workers {
		before[name] = w.relay
	}
	c.Assert(a.RemoveRelay("d2-01") > 0, qt.IsTrue)
	for n := range 1100 {
		a.Assign(fmt.Sprintf("w%04d", n), domainName(n%5), 1100, testStart)
	}
	for name, w := range a.workers {
		if before[name] != "d2-01" {
			c.Check(w.relay, qt.Equals, before[name])
		}
		c.Check(w.relay, qt.Not(qt.Equals), "d2-01")
	}
}

// Guards against commands that wait for ever, or are lost, while there is no relay
// with room.
func TestNoRelayHasRoom(t *testing.T) {
	c := qt.New(t)
	a := NewAssignment(testLimits, 100)
	_, ok := a.Assign("w", "d0", 1000, testStart)
	c.Assert(ok, qt.IsFalse)
	a.AssignToOwner("w", "d0")
	relay, ok := a.Assign("w", "d0", 1000, testStart)
	c.Assert(ok, qt.IsTrue)
	c.Assert(relay, qt.Equals, "")
	a.AddRelay(Offer{Instance: "i", Domain: "d0", CPUMilli: 1000})
	c.Assert(a.Rebalance(testStart), qt.Equals, 0) // one worker is within the owner's share
	for n := range 100 {
		a.AssignToOwner(fmt.Sprintf("w%d", n), "d0")
	}
	moved := 0
	for range 10 {
		moved += a.Rebalance(testStart)
	}
	c.Assert(moved, qt.Equals, 101)
	c.Assert(a.Own(), qt.Equals, 0)
}

// Guards against a worker that stays with a relay that can't reach it, and against
// one that is itself unreachable and takes connections of one relay after the other.
func TestWorkerThatDoesNotAnswer(t *testing.T) {
	c := qt.New(t)
	a := largeSite(1100)
	relays := make(map[string]bool)
	now := testStart
	for range 20 {
		relay, _ := a.Assign("w0001", "d1", 1100, now)
		relays[relay] = true
		a.Failed("w0001", relay, now)
		now = now.Add(200 * time.Millisecond)
	}
	c.Check(relays, qt.HasLen, maxAvoided+1)
	a.Failed("w0002", "d0-05", now) // it is served by another relay by now
	relay, _ := a.Assign("w0002", "d2", 1100, now)
	c.Check(a.relays[relay].Domain, qt.Equals, "d2")
}

// Guards against counts of workers that drift from the assignment: a relay would
// look full, or take more than its room.
func TestRandomAssignments(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		a := NewAssignment(testLimits, 300)
		now := testStart
		for range 400 {
			now = now.Add(time.Duration(rng.IntN(1000)) * time.Millisecond)
			worker, domain := fmt.Sprintf("w%d", rng.IntN(150)), domainName(rng.IntN(3))
			relay := fmt.Sprintf("i%d", rng.IntN(12))
			switch rng.IntN(10) {
			case 0:
				a.AddRelay(Offer{Instance: relay, Domain: domain, CPUMilli: int64(50 + rng.IntN(400))})
			case 1:
				a.RemoveRelay(relay)
			case 2:
				a.Rebalance(now)
			case 3:
				a.Forget(worker)
			case 4:
				if w := a.workers[worker]; w != nil {
					a.Failed(worker, w.relay, now)
				}
			default:
				if _, ok := a.Assign(worker, domain, 150, now); !ok {
					a.AssignToOwner(worker, domain)
				}
			}
			checkCounts(t, a, seed)
		}
	}
}

func checkCounts(t *testing.T, a *Assignment, seed uint64) {
	t.Helper()
	served := make(map[string]int)
	for name, w := range a.workers {
		if w.relay != "" && a.relays[w.relay] == nil {
			t.Fatalf("seed %d: %s is assigned to %s, which is gone", seed, name, w.relay)
		}
		served[w.relay]++
	}
	if served[""] != a.own {
		t.Fatalf("seed %d: the owner serves %d workers and counts %d", seed, served[""], a.own)
	}
	for name, r := range a.relays {
		if served[name] != r.workers || r.workers > r.room {
			t.Fatalf("seed %d: %s serves %d workers, counts %d and has room for %d", seed, name, served[name], r.workers, r.room)
		}
	}
}
