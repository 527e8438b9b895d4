package processtest

import (
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"gooseberryreel/internal/history"
	"gooseberryreel/internal/load"
	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/standin"
)

// loadBalancerInterval is how often the balancer looks; the notice of a leaving
// process is several times longer.
const loadBalancerInterval = 300 * time.Millisecond

// balanceToReady keeps the traffic on the processes that report ready, as the
// platform's balancer does, until the test ends.
func (t *traffic) balanceToReady(processes ...*process) {
	t.callers.Go(func() {
		for !t.stopped() {
			if ready := t.harness.ready(processes...); len(ready) > 0 {
				t.setEntries(ready...)
			}
			time.Sleep(loadBalancerInterval)
		}
	})
}

// startLeave sends SIGTERM and records the start of the leave.
func (h *harness) startLeave(p *process) {
	now := time.Now().UnixNano()
	h.record(history.Operation{
		Client: "test", Kind: history.KindLeaving, ID: p.name, Target: p.http,
		Start: now, End: now, Outcome: history.OutcomeOK,
	})
	p.signal(syscall.SIGTERM)
}

// Guards G7 and G8 against a planned stop under load that cuts a request, takes
// new work after the grace or fails a request that could be served: two of
// three processes leave one after the other.
func TestPlannedLeaveUnderLoad(t *testing.T) {
	t.Parallel()
	h := newHarness(t, standin.Site{Name: "leave", Seed: 45, Domains: []standin.Domain{newDomain("north", 2, 6, 40)}})
	h.publishService()
	a, b, c := h.start("a", "north", longNotice), h.start("b", "north", longNotice), h.start("c", "north")
	h.awaitOwners(a, b, c)
	var failed atomic.Int64
	load := h.startTraffic(16, func(p *process, idempotent bool, answer load.Answer) {
		// Ids from before a takeover get unknown if they are not idempotent.
		if answer.Status == 0 || idempotent && answer.Status != http.StatusOK {
			failed.Add(1)
			t.Logf("at %s: status %d, %+v, %v", p.name, answer.Status, answer.Failure, answer.Err)
		}
	}, a, b, c)
	load.balanceToReady(a, b, c)
	load.awaitAnswers(100)
	for _, p := range []*process{a, b} {
		h.startLeave(p)
		<-p.exited
		h.Check(p.cmd.ProcessState.ExitCode(), qt.Equals, 0)
		load.awaitAnswers(60)
	}
	h.awaitOwners(c)
	load.awaitAnswers(60)
	load.stop()
	h.Check(failed.Load(), qt.Equals, int64(0))
	h.checkCovering("G1", "G4", "G6", "G7", "G8")
}

// longNotice keeps a leaving process accepting for the default time.
func longNotice(settings *pb.EntrySettings) { settings.Leave.BalancerNoticeMs = 2000 }

// Guards G7 against work for a target that leaves while the platform's list
// lags: its refusals have to be enough for every owner that it gets.
func TestTargetLeavesWhileListLags(t *testing.T) {
	t.Parallel()
	h := newHarness(t, standin.Site{
		Name: "lag", Seed: 46, List: standin.List{LagMS: 60_000},
		Domains: []standin.Domain{newDomain("north", 2, 4, 10)},
	})
	h.publishService()
	a, b, c := h.start("a", "north"), h.start("b", "north"), h.start("c", "north")
	h.awaitOwners(a, b, c)
	var failed atomic.Int64
	load := h.startTraffic(8, func(_ *process, idempotent bool, answer load.Answer) {
		if idempotent && answer.Status != http.StatusOK {
			failed.Add(1)
			t.Logf("status %d, %+v, %v", answer.Status, answer.Failure, answer.Err)
		}
	}, a, b, c)
	load.awaitAnswers(100)
	const leavingTarget = "echo-north-02"
	h.startTargetLeave(leavingTarget)
	time.Sleep(leavingGrace)
	load.awaitAnswers(200)
	load.stop()
	h.Check(failed.Load(), qt.Equals, int64(0))
	h.checkCovering("G1", "G4", "G6")
	h.Check(h.countLateDispatches(leavingTarget), qt.Equals, 0)
}

// startTargetLeave makes a target leave and records it.
func (h *harness) startTargetLeave(name string) {
	now := time.Now().UnixNano()
	h.Assert(h.platform.SetLeaving(name, true), qt.IsNil)
	h.record(history.Operation{
		Client: "test", Kind: history.KindLeaving, ID: name, Start: now, End: now, Outcome: history.OutcomeOK,
	})
}

// countLateDispatches counts the requests that a target got after the grace.
func (h *harness) countLateDispatches(target string) int {
	operations := h.history()
	var leftAt int64
	for _, op := range operations {
		if op.Kind == history.KindLeaving && op.ID == target {
			leftAt = op.Start
		}
	}
	late := 0
	for _, op := range operations {
		if op.Kind == history.KindDispatch && op.Target == target && op.Start > leftAt+leavingGrace.Nanoseconds() {
			late++
		}
	}
	return late
}
