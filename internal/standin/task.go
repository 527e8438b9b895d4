package standin

import (
	"time"

	"gooseberryreel/internal/history"
	"gooseberryreel/internal/remote"
	"gooseberryreel/internal/remote/wire"
)

// unthrottledPercent is the throttle percentage of a task that is not throttled.
const unthrottledPercent = 100

// task is one attempt of a job on a worker.
type task struct {
	ref             wire.TaskRef
	workload        string
	needs           wire.Resources
	usage           wire.Resources // while it runs unthrottled
	runTime         time.Duration  // unthrottled time from the start of the job to its end
	fails           bool
	state           remote.TaskState
	reason          string
	checkpoint      string
	throttlePercent int

	started    time.Time
	ended      time.Time
	leaseEnd   time.Time
	advancedAt time.Time     // time up to which workDone was computed
	workDone   time.Duration // in unthrottled time; earlier attempts up to the checkpoint included
}

// advance updates the task to now. A task ends when its work is done or its lease
// expires, whichever is first. The recorded end is that time, not the time of the
// update.
func (t *task) advance(now time.Time) {
	if t.state != remote.TaskRunning {
		return
	}
	end := t.workEnd()
	switch {
	case !t.leaseEnd.After(now) && t.leaseEnd.Before(end):
		t.workDone += t.progress(t.leaseEnd)
		t.finish(remote.TaskExpired, t.leaseEnd, "lease expired")
	case !end.After(now):
		t.workDone = t.runTime
		if t.fails {
			t.finish(remote.TaskFailed, end, "workload failed")
		} else {
			t.finish(remote.TaskDone, end, "")
		}
	default:
		t.workDone += t.progress(now)
		t.advancedAt = now
	}
}

// workEnd returns when the work is done at the present throttle.
func (t *task) workEnd() time.Time {
	left := t.runTime - t.workDone
	return t.advancedAt.Add(left * unthrottledPercent / time.Duration(t.throttlePercent))
}

// progress returns the work done between advancedAt and a time.
func (t *task) progress(until time.Time) time.Duration {
	if until.Before(t.advancedAt) {
		return 0
	}
	return until.Sub(t.advancedAt) * time.Duration(t.throttlePercent) / unthrottledPercent
}

func (t *task) finish(state remote.TaskState, at time.Time, reason string) {
	t.state = state
	t.ended = at
	t.reason = reason
}

// currentUsage returns the resource usage at the present throttle.
func (t *task) currentUsage() wire.Resources {
	if t.state != remote.TaskRunning {
		return wire.Resources{}
	}
	usage := t.usage
	usage.CPUMilli = usage.CPUMilli * int64(t.throttlePercent) / unthrottledPercent
	return usage
}

// operation returns the attempt as an operation of the history. End is 0 while it
// runs.
func (t *task) operation(worker string) history.Operation {
	op := history.Operation{
		Client:       worker,
		Kind:         "attempt",
		ID:           t.ref.Job,
		Start:        t.started.UnixNano(),
		Outcome:      "ran",
		Worker:       worker,
		Attempt:      t.ref.Attempt,
		CPUMilli:     t.needs.CPUMilli,
		MemoryMiB:    t.needs.MemoryMiB,
		Accelerators: t.needs.Accelerators,
	}
	if t.state != remote.TaskRunning {
		op.End = t.ended.UnixNano()
	}
	if t.state == remote.TaskDone {
		op.Outcome = "ok"
	}
	return op
}
