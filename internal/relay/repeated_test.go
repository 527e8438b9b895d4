package relay

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/scheduler"
)

// reportTwice is a relay that sends each report twice, the second time after a delay.
type reportTwice struct {
	relayEnd
	delay time.Duration
}

func (r reportTwice) Send(m *pb.RelayReport) error {
	time.AfterFunc(r.delay, func() { _ = r.relayEnd.Send(m) })
	return r.relayEnd.Send(m)
}

// Guards against an outcome that a relay reports twice or late and that is taken for that
// of a later command, or delivered twice.
func TestRepeatedOutcomesAreIgnored(t *testing.T) {
	for _, delay := range []time.Duration{time.Millisecond, 10 * time.Millisecond, time.Second} {
		inBubble(t, allOnRelays, func(s *site) {
			s.connectOver("i1", nil, func(end relayEnd) RelayStream { return reportTwice{end, delay} })
			time.Sleep(100 * time.Millisecond)
			for n := range 50 {
				c := start("w")
				c.AttemptID.Number = n
				s.router.Send([]scheduler.Command{c, hold("w", 0)})
				time.Sleep(time.Duration(n%7) * 5 * time.Millisecond)
			}
			time.Sleep(3 * time.Second)
			starts := make(map[int]int)
			results := s.takeResults()
			s.c.Check(results, qt.HasLen, 100)
			for _, r := range results {
				s.c.Check(r.Err, qt.IsNil)
				s.c.Check(r.Hold != nil, qt.Equals, r.Command.Kind == scheduler.CommandHold)
				if r.Command.Kind == scheduler.CommandStart {
					starts[r.Command.AttemptID.Number]++
				}
			}
			s.c.Check(starts, qt.HasLen, 50)
		})
	}
}

// Guards against the outcome of a command from before an instance connected again that is
// taken for that of the command with the same number on the new connection.
func TestOutcomeOfAnEarlierSession(t *testing.T) {
	inBubble(t, allOnRelays, func(s *site) {
		executor := &Executor{Client: &workerCalls{}} // an instance has one for all its sessions
		share := func(session *Session) { session.Executor = executor }
		first := s.connect("i1", share)
		time.Sleep(100 * time.Millisecond)
		s.router.Send([]scheduler.Command{hold("w", 500*time.Millisecond)}) // number 1, answered after 505 ms
		time.Sleep(100 * time.Millisecond)
		first.stream.close()
		s.connect("i1", share)
		time.Sleep(100 * time.Millisecond)
		lost := s.takeResults()
		s.c.Assert(lost, qt.HasLen, 1)
		s.c.Check(lost[0].Err, qt.ErrorIs, errRelayLost)

		s.router.Send([]scheduler.Command{hold("v", 700*time.Millisecond)}) // number 1 again
		time.Sleep(500 * time.Millisecond)
		s.c.Check(s.takeResults(), qt.HasLen, 0)
		time.Sleep(500 * time.Millisecond)
		results := s.takeResults()
		s.c.Assert(results, qt.HasLen, 1)
		s.c.Check(results[0].Command.Worker, qt.Equals, "v")
		s.c.Check(results[0].Err, qt.IsNil)
	})
}
