// Package remote defines the interfaces of the platform services that the system
// uses, and implements their clients over HTTP.
//
// Every call takes a context and may block on the network, so the control
// goroutine makes none.
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
	// FirstRetained is the oldest offset that the log still holds. Records before
	// it were trimmed, so a reader at an older position misses some.
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
	// Read returns at most max records from an offset on. If there is none yet,
	// it waits for one for at most wait.
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

// State is the state that the platform lists for an instance.
type State string

// States of listed instances.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Instance is one row of the platform's instance list.
type Instance struct {
	Name    string
	Kind    Kind
	Domain  string // failure domain
	Address string // IP and port
	Rack    string
	State   State
	// Service and Worker are set for targets: the service that the target provides
	// and the worker that it runs on.
	Service string
	Worker  string
	// Slots and Connections limit the concurrent requests and the connections of
	// a target.
	Slots       int
	Connections int
	// Capacity is set for workers.
	Capacity Resources
}

// Listing is a snapshot of the platform's instance list. It may be out of date.
type Listing struct {
	AsOf      time.Time
	Instances []Instance
	// Unreadable holds the reasons why rows were left out, see DecodeListing.
	Unreadable []error
}

// InstanceList reads the platform's instance list.
type InstanceList interface {
	List(ctx context.Context) (Listing, error)
}

// Resources is an amount of CPU, memory and accelerators.
type Resources struct {
	CPUMilli     int64
	MemoryMiB    int64
	Accelerators int64
}

// ResourcesFrom converts an amount from its protobuf message.
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

// Max returns the larger of r and o for each resource.
func (r Resources) Max(o Resources) Resources {
	return Resources{max(r.CPUMilli, o.CPUMilli), max(r.MemoryMiB, o.MemoryMiB), max(r.Accelerators, o.Accelerators)}
}

// Fits reports whether r is at most o in every resource.
func (r Resources) Fits(o Resources) bool {
	return r.CPUMilli <= o.CPUMilli && r.MemoryMiB <= o.MemoryMiB && r.Accelerators <= o.Accelerators
}

// TaskRef identifies one attempt of a job.
type TaskRef struct {
	Job     string
	Attempt int
}

// String returns the reference in the form used in logs and events.
func (t TaskRef) String() string { return fmt.Sprintf("%s/%d", t.Job, t.Attempt) }

// TaskSpec describes an attempt to a worker that starts it. Starts are idempotent:
// a second start with the same reference has no effect.
type TaskSpec struct {
	Ref        TaskRef
	Workload   string
	Needs      Resources
	Checkpoint string
	Lease      time.Duration
	// Epoch is that of the scheduler's ownership. Workers may fence by it.
	Epoch int64
}

// TaskState is the state that a worker reports for an attempt.
type TaskState string

// States of an attempt on its worker.
const (
	TaskRunning TaskState = "running"
	TaskDone    TaskState = "done"
	TaskFailed  TaskState = "failed"
	// TaskStopped means stopped on request.
	TaskStopped TaskState = "stopped"
	// TaskExpired means stopped by the worker because the lease expired.
	TaskExpired TaskState = "expired"
)

// TaskStatus is a worker's report of one attempt. Ended attempts stay in the
// worker's report for some time.
type TaskStatus struct {
	Ref             TaskRef
	State           TaskState
	Usage           Resources
	ThrottlePercent int // CPU share that the task may use, 100 if not throttled
	Checkpoint      string
	LeaseLeft       time.Duration
	Reason          string
}

// WorkerStatus is a worker's report. Usage is measured at UsageAt; states are
// current.
type WorkerStatus struct {
	Worker string
	// Boot is an id that changes with each restart of the worker. Attempts of an
	// earlier boot have ended.
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
	// Checkpoint saves the progress of a running attempt and returns the name of
	// the checkpoint.
	Checkpoint(ctx context.Context, ref TaskRef) (string, error)
	// Throttle limits an attempt to a CPU share.
	Throttle(ctx context.Context, ref TaskRef, percent int) error
	// Renew extends the leases of running attempts to end lease from now.
	Renew(ctx context.Context, refs []TaskRef, lease time.Duration) error
}

// TargetRequest is a request to a target.
type TargetRequest struct {
	ID          string
	Service     string
	Body        []byte
	ContentType string
	Timeout     time.Duration
	// FirstByteTimeout bounds the time until the first byte of the target's
	// answer. The client's progress timeout applies if it is longer.
	FirstByteTimeout time.Duration
}

// TargetAnswer is a complete answer that carries the id of its request.
type TargetAnswer struct {
	Status      int
	Body        []byte
	ContentType string
	// Closing means that the target accepts no further requests: the answer has
	// the header Connection: close.
	Closing bool
}

// Target sends requests to one target.
type Target interface {
	// Invoke returns a complete answer or an *InvokeError.
	Invoke(ctx context.Context, req TargetRequest) (TargetAnswer, error)
	// Close closes idle connections.
	Close()
}

// InvokeError is a failed request to a target.
type InvokeError struct {
	Target string
	// Sent means that a byte of the request may have reached the target.
	Sent bool
	// NotRun means that the target stated that it did not run the request.
	NotRun bool
	// Leaving means that the target stated that it is leaving.
	Leaving bool
	Cause   error
}

// Error implements error.
func (e *InvokeError) Error() string { return fmt.Sprintf("invoke target %s: %v", e.Target, e.Cause) }

// Unwrap returns the cause.
func (e *InvokeError) Unwrap() error { return e.Cause }

// RefusedError means that the peer stated that a call had no effect.
type RefusedError struct {
	Peer   string
	Reason string
	// Status is the HTTP status; 429 means that the same call can succeed later.
	Status int
}

// Error implements error.
func (e *RefusedError) Error() string { return fmt.Sprintf("refused by %s: %s", e.Peer, e.Reason) }
