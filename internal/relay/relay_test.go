package relay

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"gooseberryreel/internal/scheduler"
)

// inBubble runs a test in virtual time and ends the owner's term at its end.
func inBubble(t *testing.T, limits Limits, test func(*site)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, limits)
		test(s)
		s.cancel()
		time.Sleep(10 * time.Second) // calls and timers end
	})
}

// Guards against commands or results that are changed on their way over a relay.
func TestRelayCarriesOutCommands(t *testing.T) {
	inBubble(t, allOnRelays, func(s *site) {
		p := s.connect("i1", nil)
		time.Sleep(100 * time.Millisecond)
		throttle := scheduler.Command{Kind: scheduler.CommandThrottle, Worker: "w", Address: "w", Domain: "d0", Token: 7, Percent: 40}
		s.router.Send([]scheduler.Command{start("w"), throttle, hold("w", 100*time.Millisecond)})
		time.Sleep(time.Second)
		results := s.takeResults()
		s.c.Assert(results, qt.HasLen, 3)
		for _, r := range results {
			s.c.Check(r.Err, qt.IsNil)
			s.c.Check(r.Clock, qt.Equals, time.Second)
			if r.Command.Kind == scheduler.CommandHold {
				s.c.Check(r.Hold, qt.DeepEquals, (&workerCalls{}).Do(s.ctx, hold("w", 0)).Hold)
			}
		}
		s.c.Check(s.own.count(), qt.Equals, 0)
		sent := make(map[scheduler.CommandKind]scheduler.Command)
		for _, c := range p.list() {
			c.Domain = "d0" // not part of the message, since relays don't need it
			sent[c.Kind] = c
		}
		s.c.Check(sent[scheduler.CommandStart], qt.DeepEquals, start("w"))
		s.c.Check(sent[scheduler.CommandThrottle], qt.DeepEquals, throttle)
		s.c.Check(sent[scheduler.CommandHold], qt.DeepEquals, hold("w", 100*time.Millisecond))
	})
}

// Guards against commands that are forgotten, or reported as not sent, when their
// relay is killed, and against workers that stay assigned to it.
func TestRelayIsKilled(t *testing.T) {
	inBubble(t, allOnRelays, func(s *site) {
		first, second := s.connect("i1", nil), s.connect("i2", nil)
		time.Sleep(100 * time.Millisecond)
		s.router.Send([]scheduler.Command{hold("w", time.Second)})
		time.Sleep(50 * time.Millisecond)
		killed, other := first, second
		if second.count() > 0 {
			killed, other = second, first
		}
		killed.stream.close()
		time.Sleep(50 * time.Millisecond)
		results := s.takeResults()
		s.c.Assert(results, qt.HasLen, 1)
		s.c.Check(results[0].Err, qt.ErrorIs, errRelayLost)
		s.c.Check(results[0].NotSent, qt.IsFalse)
		s.router.Send([]scheduler.Command{hold("w", 0)})
		time.Sleep(100 * time.Millisecond)
		s.c.Check(s.takeResults()[0].Err, qt.IsNil)
		s.c.Check(other.count(), qt.Equals, 1)
	})
}

// pauseRelay pauses a relay right before it receives a hold, and resumes it 3 s
// later. It returns how many calls the relay made after that.
func pauseRelay(s *site, change func(*Session)) int {
	paused := s.connect("i1", change)
	time.Sleep(100 * time.Millisecond)
	paused.stream.pause()
	s.router.Send([]scheduler.Command{hold("w", 0)})
	time.Sleep(busyTimeout + 2*checkInterval)
	results := s.takeResults()
	s.c.Assert(results, qt.HasLen, 1)
	s.c.Check(results[0].Err, qt.ErrorIs, errRelayLost)
	s.connect("i2", nil)
	s.router.Send([]scheduler.Command{hold("w", 0)})
	time.Sleep(3 * time.Second)
	s.c.Assert(s.takeResults(), qt.HasLen, 1) // through the other relay
	paused.stream.resume()
	time.Sleep(time.Second)
	s.c.Check(s.takeResults(), qt.HasLen, 0)
	return paused.count()
}

// Guards against a relay that was stopped and resumes with a hold in hand: if the
// worker has restarted in the meantime, the hold's cursor makes it discard ends that
// the owner has not seen. Without the age limit the relay makes the call.
func TestPausedRelayDropsOldCommands(t *testing.T) {
	inBubble(t, allOnRelays, func(s *site) { s.c.Check(pauseRelay(s, nil), qt.Equals, 0) })
	inBubble(t, allOnRelays, func(s *site) {
		s.c.Check(pauseRelay(s, func(session *Session) { session.ignoreAge = true }), qt.Equals, 1)
	})
}

// Guards against an idle relay that rejects its first command as too old, since the
// owner has heard nothing from it for a while.
func TestCommandForAnIdleRelay(t *testing.T) {
	inBubble(t, allOnRelays, func(s *site) {
		s.connect("i1", nil)
		for range 5 {
			time.Sleep(idleReportInterval - 50*time.Millisecond)
			s.router.Send([]scheduler.Command{start("w")})
			time.Sleep(100 * time.Millisecond)
			results := s.takeResults()
			s.c.Assert(results, qt.HasLen, 1)
			s.c.Check(results[0].Err, qt.IsNil)
		}
	})
}

// Guards against a relay whose earlier connection still takes commands after it has
// connected again.
func TestRelayConnectsAgain(t *testing.T) {
	inBubble(t, allOnRelays, func(s *site) {
		first := s.connect("i1", nil)
		time.Sleep(100 * time.Millisecond)
		s.router.Send([]scheduler.Command{hold("w", 2*time.Second)})
		time.Sleep(50 * time.Millisecond)
		second := s.connect("i1", nil)
		time.Sleep(50 * time.Millisecond)
		results := s.takeResults()
		s.c.Assert(results, qt.HasLen, 1)
		s.c.Check(results[0].Err, qt.ErrorIs, errRelayLost)
		s.router.Send([]scheduler.Command{start("w")})
		time.Sleep(100 * time.Millisecond)
		s.c.Check(s.takeResults(), qt.HasLen, 1)
		s.c.Check(first.count(), qt.Equals, 1)
		s.c.Check(second.count(), qt.Equals, 1)
	})
}

// Guards against a relay whose planned shutdown loses the commands in flight, and
// against one that receives commands meanwhile.
func TestLeavingRelay(t *testing.T) {
	inBubble(t, allOnRelays, func(s *site) {
		p := s.connect("i1", nil)
		time.Sleep(100 * time.Millisecond)
		s.router.Send([]scheduler.Command{hold("w", time.Second)})
		time.Sleep(50 * time.Millisecond)
		p.stopping()
		time.Sleep(50 * time.Millisecond)
		s.router.Send([]scheduler.Command{start("w")}) // carried out by the owner, which has no other relay
		time.Sleep(3 * time.Second)
		results := s.takeResults()
		s.c.Assert(results, qt.HasLen, 2)
		for _, r := range results {
			s.c.Check(r.Err, qt.IsNil)
		}
		s.c.Check(p.count(), qt.Equals, 1)
		s.c.Check(s.own.count(), qt.Equals, 1)
		s.c.Check(<-p.ended, qt.IsNil)
	})
}

// Guards against an owner that sends commands although its term may be over.
func TestOwnerThatMayNotAct(t *testing.T) {
	inBubble(t, allOnRelays, func(s *site) {
		p := s.connect("i1", nil)
		time.Sleep(100 * time.Millisecond)
		s.mayAct = false
		s.router.Send([]scheduler.Command{start("w"), hold("w", 0)})
		time.Sleep(100 * time.Millisecond)
		results := s.takeResults()
		s.c.Assert(results, qt.HasLen, 2)
		for _, r := range results {
			s.c.Check(r.NotSent, qt.IsTrue)
		}
		s.c.Check(p.count()+s.own.count(), qt.Equals, 0)
	})
}

// Guards against a relay that is cut off in one direction: its commands must be
// reported as unknown, not as sent in vain, and its workers must go elsewhere within
// the time that a hold takes.
func TestRelayCutOffOneWay(t *testing.T) {
	for name, c := range map[string]struct {
		batches, reports bool
		carriedOut       int
	}{"from the owner": {batches: true}, "to the owner": {reports: true, carriedOut: 1}} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, allOnRelays, func(s *site) {
				cut := s.connect("i1", nil)
				time.Sleep(100 * time.Millisecond)
				other := s.connect("i2", nil)
				time.Sleep(100 * time.Millisecond)
				cut.stream.drop(c.batches, c.reports)
				s.router.Send([]scheduler.Command{start("w"), start("v")})
				time.Sleep(idleReportInterval + busyTimeout + 2*checkInterval)
				unknown, answered := 0, 0
				for _, r := range s.takeResults() {
					s.c.Check(r.NotSent, qt.IsFalse)
					if r.Err != nil {
						unknown++
					} else {
						answered++
					}
				}
				s.c.Check([]int{unknown, answered}, qt.DeepEquals, []int{1, 1})
				s.c.Check(cut.count(), qt.Equals, c.carriedOut)
				s.router.Send([]scheduler.Command{start("w"), start("v")})
				time.Sleep(100 * time.Millisecond)
				s.c.Check(other.count(), qt.Equals, 3)
				s.c.Check(s.takeResults(), qt.HasLen, 2)
			})
		})
	}
}

// Guards against a relay that is cut off from a worker and keeps it.
func TestRelayCutOffFromWorker(t *testing.T) {
	inBubble(t, allOnRelays, func(s *site) {
		first, second := s.connect("i1", nil), s.connect("i2", nil)
		time.Sleep(100 * time.Millisecond)
		first.fail = true
		answered := 0
		for range 6 {
			s.router.Send([]scheduler.Command{hold("w1", 0), hold("w2", 0)})
			time.Sleep(100 * time.Millisecond)
			for _, r := range s.takeResults() {
				if r.Err == nil {
					answered++
				}
			}
		}
		s.c.Check(first.count(), qt.Equals, 1) // of the worker that it served at first
		s.c.Check(second.count(), qt.Equals, 11)
		s.c.Check(answered, qt.Equals, 11)
	})
}

// Guards against commands after a takeover that wait for ever for relays, and against
// an owner that connects to all workers right before relays do.
func TestCommandsWaitForRelaysAfterTakeover(t *testing.T) {
	inBubble(t, allOnRelays, func(s *site) {
		s.router.ExpectWorkers(2)
		s.router.Send([]scheduler.Command{hold("w1", 0)})
		time.Sleep(gatherTime / 2)
		s.c.Check(s.takeResults(), qt.HasLen, 0)
		p := s.connect("i1", nil)
		time.Sleep(gatherTime / 4)
		s.c.Check(s.takeResults(), qt.HasLen, 1)
		s.c.Check(p.count(), qt.Equals, 1)
		p.stream.close()
		time.Sleep(gatherTime)
		s.router.Send([]scheduler.Command{hold("w1", 0)})
		time.Sleep(100 * time.Millisecond)
		s.c.Check(s.takeResults(), qt.HasLen, 1)
		s.c.Check(s.own.count(), qt.Equals, 1)
	})
	inBubble(t, allOnRelays, func(s *site) {
		s.router.Send([]scheduler.Command{hold("w1", 0)})
		time.Sleep(gatherTime + 100*time.Millisecond)
		s.c.Check(s.takeResults(), qt.HasLen, 1)
		s.c.Check(s.own.count(), qt.Equals, 1)
	})
}
