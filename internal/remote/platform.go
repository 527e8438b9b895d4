// Package remote defines what the system needs of the platform below it, and
// holds the only code that speaks the platform's protocols.
//
// Every call takes a context and may block on the network, so none is made on
// the control goroutine.
package remote

import (
	"context"
	"fmt"
	"time"

	"gooseberryreel/internal/pb"
)

// Record is one record of a stream.
type Record struct {
	Offset int64
	Time   time.Time
	Data   []byte
}

// Batch is the result of one read.
type Batch struct {
	// FirstRetained is the oldest offset that the log still holds. A reader
	// whose position is older has missed records.
	FirstRetained int64
	// Next is the offset that the next appended record will get.
	Next    int64
	Records []Record
}

// Log is the append-only log service. An append that returns an error may have
// taken effect.
type Log interface {
	// Append adds records in order and returns the offset of the first.
	Append(ctx context.Context, stream string, records [][]byte) (int64, error)
	// Read returns at most max records from an offset on. With no record there
	// it waits up to wait for one.
	Read(ctx context.Context, stream string, from int64, max int, wait time.Duration) (Batch, error)
}

// Kind is the role of a listed instance.
type Kind string

// Kinds of listed instances.
const (
	KindEntry  Kind = "entry"
	KindWorker Kind = "worker"
	KindTarget Kind = "target"
)

// State is the platform's view of a listed instance.
type State string

// States of listed instances.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Instance is one row of the platform's list.
type Instance struct {
	Name    string
	Kind    Kind
	Domain  string
	Address string // IP and port
	Rack    string
	State   State
	// Service and Worker are set for targets: what it serves and the worker
	// that it runs on.
	Service string
	Worker  string
	// Slots and Connections are the limits of a target.
	Slots       int
	Connections int
	// Capacity is set for workers.
	Capacity Resources
}

// Listing is the platform's list at a time. It lags behind the truth.
type Listing struct {
	AsOf      time.Time
	Instances []Instance
}

// InstanceList reads the platform's list.
type InstanceList interface {
	List(ctx context.Context) (Listing, error)
}

// Resources is an amount of processor, memory and accelerators.
type Resources struct {
	CPUMilli     int64
	MemoryMiB    int64
	Accelerators int64
}

// ResourcesFrom converts the schema's form.
func ResourcesFrom(r *pb.Resources) Resources {
	return Resources{CPUMilli: r.GetCpuMilli(), MemoryMiB: r.GetMemoryMib(), Accelerators: int64(r.GetAccelerators())}
}

// Add returns r + o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.CPUMilli + o.CPUMilli, r.MemoryMiB + o.MemoryMiB, r.Accelerators + o.Accelerators}
}

// Sub returns r - o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.CPUMilli - o.CPUMilli, r.MemoryMiB - o.MemoryMiB, r.Accelerators - o.Accelerators}
}

// Max returns the larger of r and o, each resource by itself.
func (r Resources) Max(o Resources) Resources {
	return Resources{max(r.CPUMilli, o.CPUMilli), max(r.MemoryMiB, o.MemoryMiB), max(r.Accelerators, o.Accelerators)}
}

// Fits reports whether r is at most o in every resource.
func (r Resources) Fits(o Resources) bool {
	return r.CPUMilli <= o.CPUMilli && r.MemoryMiB <= o.MemoryMiB && r.Accelerators <= o.Accelerators
}

// TaskRef names one attempt of a job.
type TaskRef struct {
	Job     string
	Attempt int
}

// String returns the reference in the form used in logs and events.
func (t TaskRef) String() string { return fmt.Sprintf("%s/%d", t.Job, t.Attempt) }

// TaskSpec is what a worker needs to start an attempt. Starting the same
// reference twice has the effect of starting it once.
type TaskSpec struct {
	Ref        TaskRef
	Workload   string
	Needs      Resources
	Checkpoint string
	Lease      time.Duration
	// Epoch of the scheduler's ownership, for workers that can fence by it.
	Epoch int64
}

// TaskState is a worker's view of an attempt.
type TaskState string

// States of an attempt on its worker.
const (
	TaskRunning TaskState = "running"
	TaskDone    TaskState = "done"
	TaskFailed  TaskState = "failed"
	// TaskStopped means stopped on request.
	TaskStopped TaskState = "stopped"
	// TaskExpired means ended by the worker since the lease lapsed.
	TaskExpired TaskState = "expired"
)

// TaskStatus is what a worker reports of an attempt. Ended attempts stay in
// the report for a time.
type TaskStatus struct {
	Ref             TaskRef
	State           TaskState
	Usage           Resources
	ThrottlePercent int // share of the processor time left to the task, 100 if not throttled
	Checkpoint      string
	LeaseLeft       time.Duration
	Reason          string
}

// WorkerStatus is a worker's report. Usage lags; states do not.
type WorkerStatus struct {
	Worker string
	// Boot changes when the worker restarted; attempts of an earlier boot have
	// ended.
	Boot    string
	UsageAt time.Time
	Usage   Resources
	Tasks   []TaskStatus
}

// Worker controls the tasks of one worker. A call that returns an error may
// have taken effect, unless the error is a *RefusedError.
type Worker interface {
	Status(ctx context.Context) (WorkerStatus, error)
	Start(ctx context.Context, spec TaskSpec) error
	Stop(ctx context.Context, ref TaskRef) error
	// Checkpoint saves the progress of a running attempt and returns its name.
	Checkpoint(ctx context.Context, ref TaskRef) (string, error)
	Throttle(ctx context.Context, ref TaskRef, percent int) error
	Renew(ctx context.Context, refs []TaskRef, lease time.Duration) error
}

// TargetRequest is a request on its way to a target.
type TargetRequest struct {
	ID          string
	Service     string
	Body        []byte
	ContentType string
	Timeout     time.Duration
	// FirstByteTimeout is how long the target may work before the first byte of its
	// answer. Zero leaves that to the client's limit on silent connections.
	FirstByteTimeout time.Duration
}

// TargetAnswer is a complete answer that carries the request's own id.
type TargetAnswer struct {
	Status      int
	Body        []byte
	ContentType string
	// Closing says that the target takes no further work (Connection: close).
	Closing bool
}

// Target sends requests to one target.
type Target interface {
	// Invoke returns a whole answer, or an *InvokeError.
	Invoke(ctx context.Context, req TargetRequest) (TargetAnswer, error)
	// Close ends idle connections.
	Close()
}

// InvokeError is a failed request to a target.
type InvokeError struct {
	Target string
	// Sent says that a byte of the request may have reached the target.
	Sent bool
	// NotRun says that the target stated that it did not run the request.
	NotRun bool
	// Leaving says that the target stated that it is leaving.
	Leaving bool
	Cause   error
}

// Error implements error.
func (e *InvokeError) Error() string { return fmt.Sprintf("invoke target %s: %v", e.Target, e.Cause) }

// Unwrap returns the cause.
func (e *InvokeError) Unwrap() error { return e.Cause }

// RefusedError is a worker's or the log's statement that a call had no effect.
type RefusedError struct {
	Peer   string
	Reason string
	// Status is the HTTP status; 429 means that the same call can succeed later.
	Status int
}

// Error implements error.
func (e *RefusedError) Error() string { return fmt.Sprintf("refused by %s: %s", e.Peer, e.Reason) }
