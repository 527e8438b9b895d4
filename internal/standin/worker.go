package standin

import (
	"cmp"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"

	"gooseberryreel/internal/remote"
	"gooseberryreel/internal/remote/wire"
)

// sampleInterval is how often workers measure usage.
const sampleInterval = 50 * time.Millisecond

// Limits of a worker.
const (
	maxTasks   = 10_000
	maxLeaseMS = 24 * 3600 * 1000
)

// worker emulates a worker, which runs tasks under leases. It doesn't enforce the
// declared resources.
type worker struct {
	instance  wire.Instance
	server    *server
	usageLag  time.Duration
	retention time.Duration
	site      *siteState

	mu      sync.Mutex
	bootID  string
	leaving bool
	tasks   map[wire.TaskRef]*task
	samples []usageSample // oldest first
}

// usageSample is the usage of a worker and its tasks at one time.
type usageSample struct {
	at    time.Time
	total wire.Resources
	tasks map[wire.TaskRef]wire.Resources
}

func newWorker(srv *server, instance wire.Instance, site *siteState) *worker {
	w := &worker{
		instance:  instance,
		server:    srv,
		usageLag:  time.Duration(site.settings.UsageLagMS) * time.Millisecond,
		retention: time.Duration(site.settings.EndedTaskKeepMS) * time.Millisecond,
		site:      site,
		bootID:    uuid.NewString(),
		tasks:     make(map[wire.TaskRef]*task),
	}
	srv.handle(http.MethodGet, "/v1/status", w.handleStatus)
	srv.handle(http.MethodPost, "/v1/tasks/start", w.handleStart)
	srv.handle(http.MethodPost, "/v1/tasks/stop", w.handleStop)
	srv.handle(http.MethodPost, "/v1/tasks/checkpoint", w.handleCheckpoint)
	srv.handle(http.MethodPost, "/v1/tasks/throttle", w.handleThrottle)
	srv.handle(http.MethodPost, "/v1/tasks/renew", w.handleRenew)
	return w
}

// advance updates all tasks to now and removes those that ended longer ago than the
// retention. The caller holds mu, and reads now while it does: an earlier time would
// move the clock of the tasks back.
func (w *worker) advance(now time.Time) {
	for ref, t := range w.tasks {
		w.advanceTask(t, now)
		if t.state != remote.TaskRunning && now.Sub(t.ended) > w.retention {
			delete(w.tasks, ref)
		}
	}
}

// advanceTask updates a task to now and records the attempt in the history if it
// has just ended.
func (w *worker) advanceTask(t *task, now time.Time) {
	if t.state != remote.TaskRunning {
		return
	}
	t.advance(now)
	w.recordEnd(t)
}

func (w *worker) recordEnd(t *task) {
	if t.state != remote.TaskRunning {
		w.site.history.add(t.operation(w.instance.Name))
	}
}

// sample records the present usage.
func (w *worker) sample() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now() // not before the time of the newest advance
	w.advance(now)
	s := usageSample{at: now, tasks: make(map[wire.TaskRef]wire.Resources)}
	for ref, t := range w.tasks {
		if t.state != remote.TaskRunning {
			continue
		}
		usage := t.currentUsage()
		s.tasks[ref] = usage
		s.total = wire.Resources(remote.Resources(s.total).Add(remote.Resources(usage)))
	}
	w.samples = append(w.samples, s)
	for len(w.samples) > 1 && !w.samples[1].at.After(now.Add(-w.usageLag)) {
		w.samples = w.samples[1:]
	}
}

// reportedUsage returns the newest sample that is at least as old as the usage lag.
func (w *worker) reportedUsage(now time.Time) usageSample {
	var found usageSample
	for _, s := range w.samples {
		if s.at.After(now.Add(-w.usageLag)) {
			break
		}
		found = s
	}
	if found.at.IsZero() {
		found.at = now.Add(-w.usageLag)
	}
	return found
}

func (w *worker) handleStatus(*http.Request, Faults) *response {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.advance(now)
	usage := w.reportedUsage(now)
	status := wire.WorkerStatus{
		Worker:    w.instance.Name,
		Boot:      w.bootID,
		UsageAtMS: usage.at.UnixMilli(),
		Usage:     usage.total,
		Tasks:     []wire.TaskStatus{},
	}
	for ref, t := range w.tasks {
		status.Tasks = append(status.Tasks, wire.TaskStatus{
			TaskRef:         ref,
			State:           string(t.state),
			Usage:           usage.tasks[ref],
			ThrottlePercent: t.throttlePercent,
			Checkpoint:      t.checkpoint,
			LeaseLeftMS:     max(t.leaseEnd.Sub(now).Milliseconds(), 0),
			Reason:          t.reason,
		})
	}
	slices.SortFunc(status.Tasks, func(a, b wire.TaskStatus) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Attempt, b.Attempt))
	})
	return jsonResponse(http.StatusOK, status)
}

func (w *worker) handleStart(r *http.Request, f Faults) *response {
	var request wire.StartRequest
	if errResponse := decode(r, &request); errResponse != nil {
		return errResponse
	}
	if request.Job == "" || request.Attempt <= 0 || request.LeaseMS <= 0 || request.LeaseMS > maxLeaseMS {
		return errorResponse(http.StatusBadRequest, "job, a positive attempt and a positive lease_ms are required")
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.advance(now)
	if w.tasks[request.TaskRef] != nil {
		return jsonResponse(http.StatusOK, struct{}{})
	}
	if w.leaving {
		return errorResponse(http.StatusConflict, "worker is leaving")
	}
	if len(w.tasks) >= maxTasks {
		return errorResponse(http.StatusTooManyRequests, "more tasks than %d", maxTasks)
	}
	t := w.site.newTask(request, now)
	w.tasks[request.TaskRef] = t
	if f.FailStarted {
		t.finish(remote.TaskFailed, now, "the fail_started fault is set")
		w.recordEnd(t)
	}
	return jsonResponse(http.StatusOK, struct{}{})
}

// withTask calls f with a task, or returns status 404 if the worker doesn't have it.
// f runs with mu held.
func (w *worker) withTask(ref wire.TaskRef, f func(t *task, now time.Time) *response) *response {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.advance(now)
	t := w.tasks[ref]
	if t == nil {
		return errorResponse(http.StatusNotFound, "no task %s", remote.TaskRef(ref))
	}
	return f(t, now)
}

func (w *worker) handleStop(r *http.Request, _ Faults) *response {
	var ref wire.TaskRef
	if errResponse := decode(r, &ref); errResponse != nil {
		return errResponse
	}
	return w.withTask(ref, func(t *task, now time.Time) *response {
		if t.state == remote.TaskRunning {
			t.finish(remote.TaskStopped, now, "stopped on request")
			w.recordEnd(t)
		}
		return jsonResponse(http.StatusOK, struct{}{})
	})
}

func (w *worker) handleCheckpoint(r *http.Request, _ Faults) *response {
	var ref wire.TaskRef
	if errResponse := decode(r, &ref); errResponse != nil {
		return errResponse
	}
	return w.withTask(ref, func(t *task, _ time.Time) *response {
		if t.state != remote.TaskRunning {
			return errorResponse(http.StatusConflict, "task is %s", t.state)
		}
		t.checkpoint = w.site.saveCheckpoint(t)
		return jsonResponse(http.StatusOK, wire.CheckpointResponse{Checkpoint: t.checkpoint})
	})
}

func (w *worker) handleThrottle(r *http.Request, _ Faults) *response {
	var request wire.ThrottleRequest
	if errResponse := decode(r, &request); errResponse != nil {
		return errResponse
	}
	if request.Percent < 1 || request.Percent > unthrottledPercent {
		return errorResponse(http.StatusBadRequest, "percent must be 1 to %d", unthrottledPercent)
	}
	return w.withTask(request.TaskRef, func(t *task, _ time.Time) *response {
		if t.state != remote.TaskRunning {
			return errorResponse(http.StatusConflict, "task is %s", t.state)
		}
		t.throttlePercent = request.Percent
		return jsonResponse(http.StatusOK, struct{}{})
	})
}

// handleRenew skips attempts that are unknown or have ended, since the status report
// shows their state.
func (w *worker) handleRenew(r *http.Request, _ Faults) *response {
	var request wire.RenewRequest
	if errResponse := decode(r, &request); errResponse != nil {
		return errResponse
	}
	if request.LeaseMS <= 0 || request.LeaseMS > maxLeaseMS {
		return errorResponse(http.StatusBadRequest, "a positive lease_ms is required")
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.advance(now)
	leaseEnd := now.Add(time.Duration(request.LeaseMS) * time.Millisecond)
	for _, ref := range request.Tasks {
		if t := w.tasks[ref]; t != nil && t.state == remote.TaskRunning && leaseEnd.After(t.leaseEnd) {
			t.leaseEnd = leaseEnd
		}
	}
	return jsonResponse(http.StatusOK, struct{}{})
}

// restart fails the running tasks, removes all tasks and sets a new boot id, as a
// reboot does.
func (w *worker) restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.advance(now)
	for _, t := range w.tasks {
		if t.state == remote.TaskRunning {
			t.finish(remote.TaskFailed, now, "worker restarted")
			w.recordEnd(t)
		}
	}
	w.tasks = make(map[wire.TaskRef]*task)
	w.samples = nil
	w.bootID = uuid.NewString()
}

func (w *worker) setLeaving(leaving bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaving = leaving
}

func (w *worker) isLeaving() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.leaving
}

// slowdown returns the percentage that the running tasks add to the service time of
// a colocated target with a number of busy slots.
func (w *worker) slowdown(service string, busy, slots int) int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(time.Now())
	var percent int64
	for _, t := range w.tasks {
		if t.state == remote.TaskRunning {
			percent += w.site.slowdown(t.workload, service, busy, slots) * int64(t.throttlePercent) / unthrottledPercent
		}
	}
	return percent
}
