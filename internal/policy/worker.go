package policy

import (
	"cmp"
	"slices"
	"time"

	"gooseberryreel/internal/jobs"
	"gooseberryreel/internal/remote"
)

// call carries out a call of the core to a worker and returns its result.
func (m *model) call(call jobs.Call) jobs.CallResult {
	r := jobs.CallResult{Call: call}
	w := m.byName[call.Worker]
	switch call.Kind {
	case jobs.CallStatus:
		r.Status = w.status()
	case jobs.CallStart:
		m.start(w, call.Spec)
	case jobs.CallRenew:
	default:
		t := w.tasks[call.Ref]
		if t == nil || t.state != remote.TaskRunning {
			r.Err = &remote.RefusedError{Peer: call.Worker, Reason: "not running"}
			return r
		}
		m.change(t, call, &r)
	}
	return r
}

// change carries out a call that changes a running task.
func (m *model) change(t *task, call jobs.Call, r *jobs.CallResult) {
	switch call.Kind {
	case jobs.CallThrottle:
		t.percent = call.Percent
	case jobs.CallCheckpoint:
		t.saved = t.total - t.left
		r.Checkpoint = call.Ref.String()
	case jobs.CallStop:
		t.state = remote.TaskStopped
		kept := max(t.saved-checkpointCost, 0)
		m.addLost(t, max(t.total-t.left-kept, 0))
		m.progress[t.ref.Job] = kept
	}
}

// start adds a task with the progress that the job has saved. On a failing worker
// the task fails after 20 s of run time.
func (m *model) start(w *worker, spec remote.TaskSpec) {
	if w.tasks[spec.Ref] != nil {
		return
	}
	total := m.total[spec.Ref.Job]
	t := &task{ref: spec.Ref, kind: m.kinds[spec.Workload], total: total, percent: 100, state: remote.TaskRunning}
	t.left = total - m.progress[spec.Ref.Job]
	if w.failing {
		t.failsAt = 20 * time.Second
	}
	w.tasks[spec.Ref] = t
}

// status returns the present states of the tasks and their resource usage of one
// reporting lag ago. It drops the attempts that have ended.
func (w *worker) status() remote.WorkerStatus {
	out := remote.WorkerStatus{Worker: w.inst.Name, Boot: "1"}
	for ref, t := range w.tasks {
		s := remote.TaskStatus{Ref: ref, State: t.state, ThrottlePercent: t.percent}
		if i := len(t.usage) - int(reportLag/step); i > 0 {
			s.Usage = t.usage[i-1]
		}
		if t.saved > 0 {
			s.Checkpoint = ref.String()
		}
		out.Tasks = append(out.Tasks, s)
		if t.state != remote.TaskRunning {
			delete(w.tasks, ref)
		}
	}
	slices.SortFunc(out.Tasks, func(a, b remote.TaskStatus) int {
		return cmp.Or(cmp.Compare(a.Ref.Job, b.Ref.Job), cmp.Compare(a.Ref.Attempt, b.Ref.Attempt))
	})
	return out
}
