package witness

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// flaws turn off one mechanism each, so that the test shows what it prevents.
type flaws struct {
	forgetProcessStart bool // a restarted witness doesn't count the grants of its earlier process
	forgetID           bool // a restarted witness grants to owners that have named its earlier process
	grantAfterRevoke   bool // a witness that has revoked grants again
	oneAnswer          bool // the newer owner believes a single witness
	countFromReceipt   bool // the owner counts a grant from its receipt
	ignoreGrants       bool // the owner acts without a quorum
}

// clockedNode is a process with a clock of its own, which runs at most 1 % off and starts
// anywhere.
type clockedNode struct {
	offset time.Duration
	rate   float64
}

func (n clockedNode) read(now time.Duration) time.Duration {
	return n.offset + time.Duration(float64(now)*n.rate)
}

// history lets an owner act, a newer one claim and revoke, and witnesses restart, while
// messages are lost and delayed and the owner freezes. It returns by how much the owner
// acted later than the newer one believes, by how much the permission by which it acted is
// newer than that one believes, and whether the newer one came to know an end.
func history(seed uint64, f flaws) (late, lateSince time.Duration, known bool) {
	rng := rand.New(rand.NewPCG(seed, 5))
	node := func() clockedNode {
		return clockedNode{time.Duration(rng.IntN(1000)) * time.Second, 0.99 + 0.02*rng.Float64()}
	}
	const step = 10 * time.Millisecond
	count := 1 + rng.IntN(MaxWitnesses)
	var names []string
	nodes, witnesses, restartAt := make(map[string]clockedNode), make(map[string]*Witness), make(map[string]time.Duration)
	for n := range count {
		name := fmt.Sprint(n)
		names = append(names, name)
		nodes[name] = node()
		witnesses[name] = New(1, nodes[name].read(0))
		if rng.IntN(3) == 0 {
			restartAt[name] = time.Duration(rng.IntN(6000)) * time.Millisecond
		}
	}
	owner, newer := node(), node()
	grants, revocation := NewGrants(names), NewRevocation(count)
	lossOwner, lossNewer := rng.Float64(), rng.Float64()
	claimAt := time.Duration(1000+rng.IntN(5000)) * time.Millisecond
	frozenFrom := time.Duration(rng.IntN(6000)) * time.Millisecond
	frozenUntil := frozenFrom + time.Duration(rng.IntN(3000))*time.Millisecond
	type message struct {
		at  time.Duration
		run func(now time.Duration)
	}
	var pending []message
	send := func(now time.Duration, run func(time.Duration)) {
		delay := time.Duration(rng.IntN(60)) * time.Millisecond
		if rng.IntN(10) == 0 {
			delay = time.Duration(rng.IntN(3000)) * time.Millisecond
		}
		pending = append(pending, message{now + delay, run})
	}
	var lastActed, lastSince, endedAt, grantedAt time.Duration
	for now := time.Duration(0); now < 12*time.Second; now += step {
		due := pending
		pending = nil
		for _, m := range due {
			if m.at > now {
				pending = append(pending, m)
				continue
			}
			m.run(now)
		}
		for name, at := range restartAt {
			if now >= at {
				delete(restartAt, name)
				start := nodes[name].read(now)
				if f.forgetProcessStart {
					start = nodes[name].read(now - time.Hour)
				}
				witnesses[name] = New(2, start)
				if f.forgetID {
					witnesses[name].ID = 1
				}
			}
		}
		frozen := now >= frozenFrom && now < frozenUntil
		if !frozen && now%RenewInterval == 0 {
			for _, name := range names {
				if rng.Float64() < lossOwner {
					continue
				}
				askedAt := owner.read(now)
				send(now, func(now time.Duration) {
					if !witnesses[name].Grant(1, 1, nodes[name].read(now)) && !f.grantAfterRevoke {
						return
					}
					send(now, func(now time.Duration) {
						if now >= frozenFrom && now < frozenUntil {
							return // the answer is lost with the connection
						}
						if f.countFromReceipt {
							askedAt = owner.read(now)
						}
						grants.Granted(name, askedAt)
					})
				})
			}
		}
		if !frozen && (f.ignoreGrants || grants.Valid(owner.read(now))) {
			lastActed = now
			lastSince = max(lastSince, time.Duration(float64(grants.Since()-owner.offset)/owner.rate))
		}
		if now >= claimAt && now%(100*time.Millisecond) == 0 {
			for _, name := range names {
				if rng.Float64() < lossNewer {
					continue
				}
				send(now, func(now time.Duration) {
					ago := witnesses[name].Revoke(2, nodes[name].read(now))
					send(now, func(now time.Duration) { revocation.Answered(name, newer.read(now), ago) })
				})
			}
		}
		if !known {
			at, ok := revocation.EndedAt()
			if f.oneAnswer && len(revocation.grantedAt) > 0 {
				ok = true
				for _, at = range revocation.grantedAt {
				}
				at += GrantTime
			}
			if ok {
				known, endedAt = true, time.Duration(float64(at-newer.offset)/newer.rate)
				grantedAt = time.Duration(float64(at-GrantTime-newer.offset) / newer.rate)
			}
		}
	}
	return lastActed - endedAt, lastSince - grantedAt, known
}

// Guards against a newer owner that takes an earlier one for stopped which still renews
// leases, or that counts its leases from too early, so that a task runs twice: under lost and delayed messages, clocks that drift,
// witnesses that restart and an owner that freezes.
func TestOwnerDoesNotActAfterItsEnd(t *testing.T) {
	// Clocks that run 1 % off read a span of a grant that much longer or shorter.
	const tolerance = GrantTime / 50
	run := func(f flaws, seeds uint64) (broken, since, known int) {
		for seed := range seeds {
			late, lateSince, ok := history(seed, f)
			if ok {
				known++
			}
			if ok && late > tolerance {
				broken++
			}
			if ok && lateSince > 0 && f == (flaws{}) {
				since++
			}
		}
		return broken, since, known
	}
	broken, since, known := run(flaws{}, 3000)
	qt.Check(t, broken, qt.Equals, 0)
	qt.Check(t, since, qt.Equals, 0)
	qt.Check(t, known > 1000, qt.IsTrue, qt.Commentf("an end was known in %d histories", known))
	for name, f := range map[string]flaws{
		"process start": {forgetProcessStart: true}, "revoked": {grantAfterRevoke: true}, "id": {forgetID: true}, "one answer": {oneAnswer: true},
		"receipt": {countFromReceipt: true}, "no quorum": {ignoreGrants: true},
	} {
		broken, _, _ := run(f, 1000)
		t.Logf("without %s: broken in %d of 1000 histories", name, broken)
		qt.Check(t, broken > 0, qt.IsTrue, qt.Commentf("%s", name))
	}
}

// Guards against quorums without a witness in common.
func TestQuorumsIntersect(t *testing.T) {
	for n := 1; n <= 9; n++ {
		qt.Check(t, GrantQuorum(n)+RevokeQuorum(n) > n, qt.IsTrue)
		qt.Check(t, GrantQuorum(n) <= n && RevokeQuorum(n) <= n, qt.IsTrue)
	}
}
