package remote

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"gooseberryreel/internal/errs"
	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/remote/wire"
)

type httpWorker struct {
	name   string
	client *client
}

// NewHTTPWorker returns a client of the named worker at an IP address and port.
func NewHTTPWorker(name, address string) Worker {
	return &httpWorker{name: name, client: newClient(name, "http://"+address, maxWorkerResponseBytes)}
}

// Status implements Worker.
func (w *httpWorker) Status(ctx context.Context) (WorkerStatus, error) {
	const step = "read worker status"
	var response wire.WorkerStatus
	if err := w.client.do(ctx, step, http.MethodGet, "/v1/status", 0, nil, &response); err != nil {
		return WorkerStatus{}, err
	}
	status, err := w.statusFrom(response)
	if err != nil {
		return WorkerStatus{}, errs.Wrap(step, w.name, pb.Outcome_OUTCOME_NOT_RUN, err).WithRetry()
	}
	return status, nil
}

// statusFrom converts a report. It rejects a report of another worker or with an
// unknown state, since callers conclude from reports that attempts have ended.
func (w *httpWorker) statusFrom(response wire.WorkerStatus) (WorkerStatus, error) {
	if response.Worker != w.name {
		return WorkerStatus{}, errors.Errorf("response is from worker %.100q", response.Worker)
	}
	if response.Boot == "" {
		return WorkerStatus{}, errors.New("response has no boot id")
	}
	status := WorkerStatus{
		Worker:  response.Worker,
		Boot:    response.Boot,
		UsageAt: time.UnixMilli(response.UsageAtMS),
		Usage:   Resources(response.Usage),
	}
	for _, task := range response.Tasks {
		state := TaskState(task.State)
		switch state {
		case TaskRunning, TaskDone, TaskFailed, TaskStopped, TaskExpired:
		default:
			return WorkerStatus{}, errors.Errorf("task %s has unknown state %.100q", TaskRef(task.TaskRef), task.State)
		}
		status.Tasks = append(status.Tasks, TaskStatus{
			Ref:             TaskRef(task.TaskRef),
			State:           state,
			Usage:           Resources(task.Usage),
			ThrottlePercent: task.ThrottlePercent,
			Checkpoint:      task.Checkpoint,
			LeaseLeft:       time.Duration(task.LeaseLeftMS) * time.Millisecond,
			Reason:          task.Reason,
		})
	}
	return status, nil
}

// Start implements Worker.
func (w *httpWorker) Start(ctx context.Context, spec TaskSpec) error {
	return w.post(ctx, "start task", "start", wire.StartRequest{
		TaskRef:    wire.TaskRef(spec.Ref),
		Resources:  wire.Resources(spec.Needs),
		Workload:   spec.Workload,
		Checkpoint: spec.Checkpoint,
		LeaseMS:    spec.Lease.Milliseconds(),
		Epoch:      spec.Epoch,
	}, nil)
}

// Stop implements Worker.
func (w *httpWorker) Stop(ctx context.Context, ref TaskRef) error {
	return w.post(ctx, "stop task", "stop", wire.TaskRef(ref), nil)
}

// Checkpoint implements Worker.
func (w *httpWorker) Checkpoint(ctx context.Context, ref TaskRef) (string, error) {
	const step = "checkpoint task"
	var response wire.CheckpointResponse
	if err := w.post(ctx, step, "checkpoint", wire.TaskRef(ref), &response); err != nil {
		return "", err
	}
	if response.Checkpoint == "" {
		return "", errs.Wrap(step, w.name, pb.Outcome_OUTCOME_UNKNOWN, errors.New("response has no checkpoint"))
	}
	return response.Checkpoint, nil
}

// Throttle implements Worker.
func (w *httpWorker) Throttle(ctx context.Context, ref TaskRef, percent int) error {
	return w.post(ctx, "throttle task", "throttle", wire.ThrottleRequest{TaskRef: wire.TaskRef(ref), Percent: percent}, nil)
}

// Renew implements Worker.
func (w *httpWorker) Renew(ctx context.Context, refs []TaskRef, lease time.Duration) error {
	request := wire.RenewRequest{LeaseMS: lease.Milliseconds()}
	for _, ref := range refs {
		request.Tasks = append(request.Tasks, wire.TaskRef(ref))
	}
	return w.post(ctx, "renew leases", "renew", request, nil)
}

func (w *httpWorker) post(ctx context.Context, step, action string, in, out any) error {
	return w.client.do(ctx, step, http.MethodPost, "/v1/tasks/"+action, 0, in, out)
}
