package limits

import (
	"flag"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// A fixed seed makes each run draw the same cases.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

var start = time.Unix(1_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// Guards against more requests in flight at a target than its slots and
// connections allow, less the slots that an earlier owner may still use.
func TestSlotsNeverExceedLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := NewSlots(8, rapid.IntRange(1, 20).Draw(rt, "connections"))
		now, held := 0, 0
		reserved, until := 0, 0
		for range 100 {
			now += rapid.IntRange(0, 20).Draw(rt, "step")
			switch rapid.IntRange(0, 3).Draw(rt, "action") {
			case 0, 1:
				if s.TryAcquire(at(now)) {
					held++
					if now < until && held+reserved > s.Limit() {
						rt.Fatalf("%d held and %d reserved of %d", held, reserved, s.Limit())
					}
				}
			case 2:
				if held > 0 {
					s.Release()
					held--
				}
			case 3:
				reserved, until = rapid.IntRange(0, 8).Draw(rt, "reserve"), now+50
				s.Reserve(reserved, at(until))
			}
			if held > s.Limit() {
				rt.Fatalf("%d held of %d", held, s.Limit())
			}
		}
	})
}

func push(q *Queue, team string, deadlineMs int, l QueueLimits) (*Waiter, Refusal) {
	w := &Waiter{Team: team, Deadline: at(deadlineMs)}
	return w, q.Push(w, start, l)
}

// Guards against serving a late deadline before an early one of the same team,
// and against a team that starves another.
func TestQueueOrder(t *testing.T) {
	c := qt.New(t)
	q := NewQueue()
	l := QueueLimits{Length: 10, Servers: 1}
	a1, _ := push(q, "a", 300, l)
	a2, _ := push(q, "a", 100, l)
	a3, _ := push(q, "a", 200, l)
	b1, _ := push(q, "b", 900, l)
	c.Assert(q.Remove(a3), qt.IsTrue)
	c.Assert(q.Remove(a3), qt.IsFalse)
	for _, want := range []*Waiter{a2, b1, a1, nil} {
		got, _ := q.Pop(start, 0)
		c.Assert(got, qt.Equals, want)
	}
	c.Assert(q.Len(), qt.Equals, 0)
}

// Guards against unbounded queues and against queueing requests that can't be
// answered by their deadlines.
func TestQueueRefusals(t *testing.T) {
	c := qt.New(t)
	q := NewQueue()
	l := QueueLimits{Length: 3, Team: 2, Servers: 2, ServiceTime: 20 * time.Millisecond}
	_, r := push(q, "a", 19, l)
	c.Assert(r, qt.Equals, RefusedDeadline)
	push(q, "a", 20, l)
	push(q, "a", 30, l)
	_, r = push(q, "a", 1000, l)
	c.Assert(r, qt.Equals, RefusedTeam)
	_, r = push(q, "b", 39, l) // one request of team a is served first: a wait of 10 ms
	c.Assert(r, qt.Equals, Accepted)
	l.Team, l.Length = 0, 2
	_, r = push(q, "a", 1000, l)
	c.Assert(r, qt.Equals, RefusedFull)
	next, missed := q.Pop(at(5), l.ServiceTime)
	c.Assert(next.Deadline, qt.Equals, at(39))
	c.Assert(missed, qt.HasLen, 1)
}

// Guards against retries that multiply the load on a failing service.
func TestBudget(t *testing.T) {
	b := NewRetryBudget(10)
	retries := 0
	for range 1000 {
		b.AddAnswer()
		for range 3 {
			if b.TryRetry() {
				retries++
			}
		}
	}
	qt.Assert(t, retries <= 100+budgetInitial, qt.IsTrue, qt.Commentf("%d retries", retries))
	qt.Assert(t, retries >= 90, qt.IsTrue, qt.Commentf("%d retries", retries))
}
