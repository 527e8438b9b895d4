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

// loadBalancerInterval is the interval at which the load balancer checks readiness. The
// notice of a leaving process is several times longer.
const loadBalancerInterval = 300 * time.Millisecond

// balanceToReady sends the traffic only to the processes that report ready, as the
// platform's load balancer does, until the traffic is stopped.
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

// startLeave sends SIGTERM to a process and records the start of its planned leave.
func (h *harness) startLeave(p *process) {
	now := time.Now().UnixNano()
	h.record(history.Operation{
		Client: "test", Kind: history.KindLeaving, ID: p.name, Target: p.http,
		Start: now, End: now, Outcome: history.OutcomeOK,
	})
	p.signal(syscall.SIGTERM)
}

// Guards G7 and G8 against a planned leave under load that interrupts a request, accepts
// new work after the grace period or fails a request that could be served: two of three
// processes leave one after the other.
func TestPlannedLeaveUnderLoad(t *testing.T) {
	t.Parallel()
	h := newHarness(t, standin.Site{Name: "leave", Seed: 45, Domains: []standin.Domain{newDomain("north", 2, 6, 40)}})
	h.publishService()
	a, b, c := h.start("a", "north", longNotice), h.start("b", "north", longNotice), h.start("c", "north")
	h.awaitOwners(a, b, c)
	var failed atomic.Int64
	load := h.startTraffic(16, func(p *process, idempotent bool, result load.CallResult) {
		// Non-idempotent requests with ids from before a takeover may get the
		// outcome unknown.
		if result.Status == 0 || idempotent && result.Status != http.StatusOK {
			failed.Add(1)
			t.Logf("at %s: status %d, %+v, %v", p.name, result.Status, result.Failure, result.Err)
		}
	}, a, b, c)
	load.balanceToReady(a, b, c)
	load.awaitAnswers(100)
	for _, leaving := range []*process{a, b} {
		h.startLeave(leaving)
		<-leaving.exited
		h.Check(leaving.cmd.ProcessState.ExitCode(), qt.Equals, 0)
		load.awaitAnswers(60)
	}
	h.awaitOwners(c)
	load.awaitAnswers(60)
	load.stop()
	h.Check(failed.Load(), qt.Equals, int64(0))
	h.checkCovering("G1", "G4", "G6", "G7", "G8")
}

// longNotice lets a leaving process accept work for the default notice period.
func longNotice(settings *pb.EntrySettings) { settings.Leave.BalancerNoticeMs = 2000 }

// Guards G7 against work that is sent to a leaving target while the instance list
// lags: the target's refusals must be enough for each process that becomes its owner.
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
	load := h.startTraffic(8, func(_ *process, idempotent bool, result load.CallResult) {
		if idempotent && result.Status != http.StatusOK {
			failed.Add(1)
			t.Logf("status %d, %+v, %v", result.Status, result.Failure, result.Err)
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

// startTargetLeave makes a target leave and records the start of the leave.
func (h *harness) startTargetLeave(name string) {
	now := time.Now().UnixNano()
	h.Assert(h.platform.SetLeaving(name, true), qt.IsNil)
	h.record(history.Operation{
		Client: "test", Kind: history.KindLeaving, ID: name, Start: now, End: now, Outcome: history.OutcomeOK,
	})
}

// countLateDispatches counts the requests that a target got later than the grace
// period after it began to leave.
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
