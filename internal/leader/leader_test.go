package leader

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var (
	testSettings = Settings{UnownedDelay: 300 * time.Millisecond, StaggerDelay: 400 * time.Millisecond, SettleTime: 600 * time.Millisecond, UnlistedDelay: 2 * time.Second, YieldDelay: 2 * time.Second, SmallMachineDelay: 2 * time.Second}
	small        = Candidate{Instance: "a", Address: "1", CPUMilli: 100}
	large        = Candidate{Instance: "b", Address: "2", CPUMilli: 800}
	alike        = Candidate{Instance: "c", Address: "3", CPUMilli: 800}
)

// Guards against claims while an owner is alive, right after an outage of the store,
// and by all candidates at the same time.
func TestShouldClaim(t *testing.T) {
	type lookup struct {
		at     time.Duration
		owner  bool
		failed bool
	}
	for name, c := range map[string]struct {
		self    Candidate
		lookups []lookup
		at      time.Duration
		want    bool
	}{
		"owner is alive":            {large, []lookup{{0, true, false}, {900 * time.Millisecond, true, false}}, time.Second, false},
		"first candidate":           {large, []lookup{{0, true, false}, {700 * time.Millisecond, false, false}}, time.Second, true},
		"too early":                 {large, []lookup{{0, true, false}, {800 * time.Millisecond, false, false}}, time.Second, false},
		"second waits":              {alike, []lookup{{0, true, false}, {700 * time.Millisecond, false, false}}, time.Second, false},
		"second in its turn":        {alike, []lookup{{0, true, false}, {700 * time.Millisecond, false, false}}, 1400 * time.Millisecond, true},
		"third in its turn":         {small, []lookup{{0, false, false}}, 1100 * time.Millisecond, true},
		"owner is back":             {large, []lookup{{0, false, false}, {500 * time.Millisecond, true, false}}, time.Second, false},
		"store has just failed":     {large, []lookup{{0, false, false}, {500 * time.Millisecond, false, true}, {600 * time.Millisecond, false, false}}, time.Second, false},
		"store is back long enough": {large, []lookup{{0, false, true}, {600 * time.Millisecond, false, false}}, 1300 * time.Millisecond, true},
	} {
		t.Run(name, func(t *testing.T) {
			begin := time.Unix(0, 0)
			e := New(c.self, testSettings)
			for _, l := range c.lookups {
				if l.failed {
					e.LookupFailed()
					continue
				}
				e.LookupSucceeded(l.owner, begin.Add(l.at))
			}
			qt.Assert(t, e.ShouldClaim([]Candidate{small, large, alike, large}, begin.Add(c.at)), qt.Equals, c.want)
		})
	}
}

// Guards against an owner on a small machine while a larger one is free.
func TestRank(t *testing.T) {
	all := []Candidate{small, large, alike}
	qt.Assert(t, Rank(all, large), qt.Equals, 0)
	qt.Assert(t, Rank(all, alike), qt.Equals, 1)
	qt.Assert(t, Rank(all, small), qt.Equals, 2)
	qt.Assert(t, Rank(nil, small), qt.Equals, 0)
}

// Guards against an owner on a small machine after the first start, when the list
// holds only a few of the candidates.
func TestUnlistedWaits(t *testing.T) {
	begin := time.Unix(0, 0)
	e := New(small, testSettings)
	e.LookupSucceeded(false, begin)
	qt.Assert(t, e.ShouldClaim(nil, begin.Add(time.Second)), qt.IsFalse)
	qt.Assert(t, e.ShouldClaim(nil, begin.Add(2*time.Second)), qt.IsFalse)
	qt.Assert(t, e.ShouldClaim(nil, begin.Add(2300*time.Millisecond)), qt.IsTrue)
	qt.Assert(t, e.ShouldClaim([]Candidate{small}, begin.Add(time.Second)), qt.IsTrue)
}

// Guards against an owner that stays on a small machine, and against one that yields
// to a machine that is listed only for a short time.
func TestShouldYield(t *testing.T) {
	begin := time.Unix(0, 0)
	e := New(small, testSettings)
	all := []Candidate{small, large}
	qt.Assert(t, e.ShouldYield(all, begin), qt.IsFalse)
	qt.Assert(t, e.ShouldYield([]Candidate{small}, begin.Add(time.Second)), qt.IsFalse)
	qt.Assert(t, e.ShouldYield(all, begin.Add(2*time.Second)), qt.IsFalse)
	qt.Assert(t, e.ShouldYield(all, begin.Add(4*time.Second)), qt.IsTrue)
	qt.Assert(t, New(large, testSettings).ShouldYield(all, begin.Add(4*time.Second)), qt.IsFalse)
}

// Guards against a small machine that takes over the jobs when the store has dropped
// the members of the group, so that it finds only itself in the list.
func TestSmallMachineWaitsForLargerOnes(t *testing.T) {
	begin := time.Unix(0, 0)
	e := New(small, testSettings)
	e.SetOwnerCPU(large.CPUMilli)
	e.LookupSucceeded(false, begin)
	qt.Assert(t, e.ShouldClaim([]Candidate{small}, begin.Add(2*time.Second)), qt.IsFalse)
	qt.Assert(t, e.ShouldClaim([]Candidate{small}, begin.Add(2300*time.Millisecond)), qt.IsTrue)
	e = New(alike, testSettings)
	e.SetOwnerCPU(large.CPUMilli)
	e.LookupSucceeded(false, begin)
	qt.Assert(t, e.ShouldClaim([]Candidate{alike}, begin.Add(600*time.Millisecond)), qt.IsTrue)
}
