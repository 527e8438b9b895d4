package daemon

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"gooseberryreel/internal/emulator"
	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/scheduler"
)

// Guards against a task whose worker is gone and that waits anew at each takeover until an
// earlier owner, whose machine is gone as well, can no longer have renewed its lease.
func TestWaitForEarlierOwnersGoesOnOverTakeovers(t *testing.T) {
	t.Parallel()
	p := newProcessDeployment(t, 2, func(string, int) emulator.Behaviour { return emulator.Behaviour{RunTime: time.Minute} })
	p.submitTo(p.processes[0], 1, 1)
	p.eventually("the task runs", func() bool { return len(p.attempts.Starts()) == 1 })
	for n, w := range p.workers {
		if w.ID == p.attempts.Starts()[0].Worker {
			w.Close() // its address stays free
			p.workers = slices.Delete(p.workers, n, n+1)
			break
		}
	}
	first := p.listedOwner()
	second := p.processes[0]
	if second == first {
		second = p.processes[1]
	}
	p.kill(first) // for good
	p.eventually("the second process owns", func() bool { return p.listedOwner() == second })
	time.Sleep(6 * time.Second)
	p.kill(second)
	p.restart(second)
	p.eventually("the second process is gone", func() bool { return p.listedOwner() == nil })
	p.eventually("it owns again", func() bool { return p.listedOwner() == second })
	took := time.Now()
	p.eventually("the task runs again", func() bool { return len(p.attempts.Starts()) == 2 })
	// Anew, the wait would be the grace of an owner and a lease: over 14 s.
	qt.Check(t, time.Since(took) < 11*time.Second, qt.IsTrue, qt.Commentf("after %v", time.Since(took)))
	p.processes = []*process{second}
}

// Guards against an owner that still acts when its successor no longer waits for it: its
// renewals succeed, but it can't see that it has been replaced.
func TestOwnerEndsWithoutLookups(t *testing.T) {
	t.Parallel()
	s := newDeployment(t, 1, 1, shortTask)
	term := s.owner().currentTerm()
	s.submit(s.instances[0], 1, 1)
	s.waitState(s.instances[0], 1, "completed") // later appends would confirm the term
	s.instances[0].endpoint.Inject(func(path string) emulator.Fault {
		if path == "/log-owners" {
			return emulator.FaultUnavailable
		}
		return emulator.FaultNone
	})
	start := time.Now()
	s.eventually("the term may not act", func() bool { return !term.mayAct() })
	// A check may have been in flight, and the condition is polled.
	qt.Check(t, time.Since(start) < scheduler.OwnerGrace+time.Second, qt.IsTrue, qt.Commentf("after %v", time.Since(start)))
	s.eventually("the term ends", func() bool { return term.ctx.Err() != nil })
}

// listedOwner returns the process that the store lists as the owner, nil if there is none.
func (p *processDeployment) listedOwner() *process {
	p.t.Helper()
	resp, err := http.Get("http://" + p.store.Endpoint().Address() + "/log-owners?group=owner")
	qt.Assert(p.t, err, qt.IsNil)
	defer func() { _ = resp.Body.Close() }()
	var out struct {
		Parts [][]any `json:"parts"`
	}
	qt.Assert(p.t, json.NewDecoder(resp.Body).Decode(&out), qt.IsNil)
	for _, row := range out.Parts {
		var m member
		if name, _ := row[2].(string); json.Unmarshal([]byte(name), &m) == nil && m.Epoch > 0 {
			for n, proc := range p.processes {
				if m.Instance == fmt.Sprintf("inst-%d", n) {
					return proc
				}
			}
		}
	}
	return nil
}

// Guards against an earlier owner that counts as ended although it may still act.
func TestReplacedTimeIsCarriedOver(t *testing.T) {
	c := qt.New(t)
	first := &pb.OwnerRecord{Epoch: 1, Instance: "a"}
	second := &pb.OwnerRecord{Epoch: 2, Instance: "b", Earlier: earlierOwners(first)}
	second.Earlier = stillEarlier(second.GetEarlier(), 3*time.Second)
	second.Earlier = stillEarlier(second.GetEarlier(), 0)
	c.Check(second.GetEarlier()[0].GetReplacedMs(), qt.Equals, int64(3000))
	third := &pb.OwnerRecord{Epoch: 3, Instance: "c", Earlier: earlierOwners(second)}
	c.Assert(third.GetEarlier(), qt.HasLen, 2)
	c.Check(replacedFor(third.GetEarlier()[0], 4*time.Second) < scheduler.OwnerGrace, qt.IsTrue)
	c.Check(replacedFor(third.GetEarlier()[0], 5*time.Second) >= scheduler.OwnerGrace, qt.IsTrue)
	c.Check(replacedFor(third.GetEarlier()[1], 5*time.Second) < scheduler.OwnerGrace, qt.IsTrue)
}

// Guards against owners of very short terms, which have granted no lease, that are waited
// for like others: each of them would let the wait for a lost worker begin anew.
func TestIdleOwnersAreNotWaitedFor(t *testing.T) {
	t.Parallel()
	s := newDeployment(t, 1, 1, shortTask)
	term := s.owner().currentTerm()
	idle := &earlierOwner{record: &pb.OwnerRecord{Epoch: 2, PeerAddress: "127.0.0.1:1", Idle: true}}
	term.askEarlierOwner(idle, 0)
	qt.Check(t, idle.known && idle.stoppedAt == 0, qt.IsTrue)
	other := &earlierOwner{record: &pb.OwnerRecord{Epoch: 2, PeerAddress: "127.0.0.1:1"}}
	term.askEarlierOwner(other, 0)
	qt.Check(t, other.known, qt.IsFalse)

	// The record of a term that has granted leases says so.
	s.submit(s.instances[0], 1, 1)
	s.waitState(s.instances[0], 1, "completed")
	state, err := s.instances[0].readJobs(t.Context())
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, state.owner.GetIdle(), qt.IsFalse)
}
