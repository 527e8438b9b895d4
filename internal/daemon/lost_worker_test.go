package daemon

import (
	"bytes"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"gooseberryreel/internal/emulator"
	"gooseberryreel/internal/loopback"
	"gooseberryreel/internal/witness"
)

// calmBeforeGap and gapLimit add up to the time after the last disturbance by which a
// long-running task must run again: it may not be without a run for gapLimit if the time
// calmBeforeGap before that was calm too.
const (
	calmBeforeGap = 4 * time.Second
	gapLimit      = 3 * time.Second
)

// lostWorker is a deployment with long-running tasks, one of whose workers is lost.
type lostWorker struct {
	*processDeployment
	proxies map[string]*loopback.Proxy // in front of each worker
	holds   map[string]chan struct{}   // receives when a hold is sent to the worker
	id      string
	tasks   []string // that ran on the worker
	lostAt  time.Time
	// disturbedAt is when the worker or, later, an owner was lost.
	disturbedAt time.Time
}

// newLostWorker starts a deployment, waits until its long-running tasks run, and loses the
// worker with the most of them: its proxy passes through the modes, and its process ends.
func newLostWorker(t *testing.T, processes int, modes ...loopback.Mode) *lostWorker {
	t.Helper()
	const tasks = 12
	l := &lostWorker{proxies: make(map[string]*loopback.Proxy), holds: make(map[string]chan struct{})}
	l.processDeployment = newProcessDeployment(t, processes, func(string, int) emulator.Behaviour { return emulator.Behaviour{LongRunning: true} })
	for _, w := range l.workers {
		held := make(chan struct{}, 1)
		proxy, err := loopback.New(w.Address(), func(data []byte, toServer bool) []byte {
			if toServer && bytes.HasPrefix(data, []byte("POST /hold ")) {
				select {
				case held <- struct{}{}:
				default:
				}
			}
			return data
		})
		qt.Assert(t, err, qt.IsNil)
		t.Cleanup(proxy.Close)
		l.proxies[w.ID], l.holds[w.ID] = proxy, held
		record := w.StoreRecord("pool", "z", "r1-1", 8000, 16000, "ready")
		record["Address"] = proxy.Address
		qt.Assert(t, l.store.PutJSON("keyed.servers", w.ID, record), qt.IsNil)
	}
	l.submitLongRunning(l.processes[0], 1, tasks)
	l.eventually("the tasks run", func() bool { return len(l.attempts.Starts()) == tasks })
	time.Sleep(witnessRetryDelay + 2*witness.RenewInterval) // the owner has witnesses by then
	l.lose(modes)
	return l
}

func (l *lostWorker) submitLongRunning(proc *process, id, count int) {
	l.t.Helper()
	body := map[string]any{"Spec": "payload", "Phases": []map[string]any{{"Count": count, "Cpu": 1000, "MemMb": 256, "LongRunning": true}}}
	l.eventually("submission accepted", func() bool {
		status, _ := l.call(proc, http.MethodPost, path(id), body)
		return status == http.StatusOK
	})
}

func (l *lostWorker) lose(modes []loopback.Mode) {
	l.t.Helper()
	tasks := make(map[string][]string)
	for _, s := range l.attempts.Starts() {
		tasks[s.Worker] = append(tasks[s.Worker], s.Task)
		if len(tasks[s.Worker]) > len(l.tasks) {
			l.id, l.tasks = s.Worker, tasks[s.Worker]
		}
	}
	n := slices.IndexFunc(l.workers, func(w *emulator.Worker) bool { return w.ID == l.id })
	w := l.workers[n]
	l.workers = slices.Delete(l.workers, n, n+1)
	// Its lease has just been renewed, so that it ends as late as possible.
	<-l.holds[l.id]
	<-l.holds[l.id]
	l.lostAt = time.Now()
	l.disturbedAt = l.lostAt
	for _, mode := range modes {
		qt.Assert(l.t, l.proxies[l.id].SetMode(mode), qt.IsNil)
	}
	w.Close()
}

// killOwner kills the listed owner for good and returns it.
func (l *lostWorker) killOwner() *process {
	l.t.Helper()
	var owner *process
	l.eventually("an owner", func() bool {
		owner = l.listedOwner()
		return owner != nil
	})
	l.disturbedAt = time.Now()
	l.kill(owner)
	return owner
}

// otherThan returns a process that is not the given one.
func (l *lostWorker) otherThan(proc *process) *process {
	return l.processes[(slices.Index(l.processes, proc)+1)%len(l.processes)]
}

// startsOf returns the starts of a task.
func (l *lostWorker) startsOf(task string) []emulator.TaskStart {
	return slices.DeleteFunc(l.attempts.Starts(), func(s emulator.TaskStart) bool { return s.Task != task })
}

// checkRestarts checks that each task of the lost worker runs again in time, and once.
func (l *lostWorker) checkRestarts() {
	l.t.Helper()
	l.eventually("the tasks run again", func() bool {
		return !slices.ContainsFunc(l.tasks, func(task string) bool { return len(l.startsOf(task)) < 2 })
	})
	time.Sleep(500 * time.Millisecond) // the processes write their logs, and further starts would show
	l.kill(l.processes...)
	l.logTakeovers()
	limit := l.lostAt.Add(restartLimit)
	if end := l.disturbedAt.Add(calmBeforeGap + gapLimit); end.After(limit) {
		limit = end
	}
	var again time.Time // the last task
	for _, task := range l.tasks {
		starts := l.startsOf(task)
		qt.Check(l.t, starts, qt.HasLen, 2)
		if starts[1].At.After(again) {
			again = starts[1].At
		}
	}
	result := fmt.Sprintf("%d tasks run again %.3f s after the loss of their worker and %.3f s after the last disturbance, limit %.3f s after the loss",
		len(l.tasks), again.Sub(l.lostAt).Seconds(), again.Sub(l.disturbedAt).Seconds(), limit.Sub(l.lostAt).Seconds())
	l.t.Log(result)
	qt.Check(l.t, again.Before(limit), qt.IsTrue, qt.Commentf("%s", result))
	qt.Check(l.t, l.attempts.Violations(), qt.HasLen, 0)
}

// logTakeovers logs what the processes wrote about owners and silent workers, by the time
// since the loss.
func (l *lostWorker) logTakeovers() {
	const maxLines = 60
	events := []string{"owner", "claim won", "took over", "no earlier owner", "witnesses", "worker silent", "worker adopted", "lease expired", "step placed"}
	var lines []string
	for _, proc := range l.processes {
		for _, w := range proc.output.writes {
			if w.at.Before(l.lostAt) {
				continue
			}
			for line := range strings.Lines(w.text) {
				if slices.ContainsFunc(events, func(event string) bool { return strings.Contains(line, fmt.Sprintf(`"event":%q`, event)) }) {
					lines = append(lines, fmt.Sprintf("+%06.3f %s", w.at.Sub(l.lostAt).Seconds(), strings.TrimSpace(line)))
				}
			}
		}
	}
	slices.Sort(lines)
	l.t.Log(strings.Join(lines[:min(len(lines), maxLines)], "\n"))
}

// Guards against an owner that is lost some seconds after a worker and after which the
// wait for the worker's lease begins again.
func TestOwnerLostAfterWorkerDelaysNoRestart(t *testing.T) {
	t.Parallel()
	l := newLostWorker(t, 4, loopback.Reset, loopback.Refuse)
	time.Sleep(time.Until(l.lostAt.Add(4 * time.Second)))
	l.killOwner()
	l.checkRestarts()
}

// Guards against a second lost owner after which the wait for the worker's lease begins
// again, although that owner never reached the worker.
func TestSecondLostOwnerDelaysNoRestart(t *testing.T) {
	t.Parallel()
	l := newLostWorker(t, 5, loopback.Reset, loopback.Refuse)
	first := l.killOwner()
	// A start of another job shows that the next owner has stored a batch.
	l.submitLongRunning(l.otherThan(first), 2, 1)
	l.eventually("the next owner starts a task", func() bool { return len(l.startsOf(fmt.Sprintf("%016x.0.0.0", 2))) == 1 })
	time.Sleep(time.Until(l.lostAt.Add(4500 * time.Millisecond)))
	second := l.killOwner()
	qt.Assert(t, second != first, qt.IsTrue)
	l.checkRestarts()
}

// Guards against an owner that is lost right after its claim, before it has named witnesses,
// and that is waited for as if it had renewed leases.
func TestOwnerLostAfterItsClaimDelaysNoRestart(t *testing.T) {
	t.Parallel()
	l := newLostWorker(t, 5, loopback.Reset, loopback.Refuse)
	first := l.killOwner()
	var second *process
	l.eventually("the next owner", func() bool {
		second = l.listedOwner()
		return second != nil && second != first
	})
	l.disturbedAt = time.Now()
	l.kill(second)
	l.checkRestarts()
}

// Guards against calls to a lost worker that are reset, not refused, and count as renewals
// of its lease for too long.
func TestResetCallsToLostWorkerDelayNoRestart(t *testing.T) {
	t.Parallel()
	for name, mode := range map[string]loopback.Mode{"at once": loopback.Reset, "after the request": loopback.ResetRequests} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			newLostWorker(t, 4, mode).checkRestarts()
		})
	}
}

// Guards against calls to a lost worker that never return and delay the expiry of its
// lease.
func TestHangingCallsToLostWorkerDelayNoRestart(t *testing.T) {
	t.Parallel()
	newLostWorker(t, 4, loopback.Stall).checkRestarts()
}
