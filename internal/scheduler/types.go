package scheduler

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Queue is a submission queue and the policy for its jobs.
type Queue struct {
	Name        string
	Host        string
	PathPrefix  string
	Service     string // pool of workers that runs the jobs
	Priority    int    // 0 first
	MaxAttempts int
	// A job is on time if it completes within Stretch times its critical path
	// plus this allowance.
	Stretch float64
	Target  time.Duration
	// Advice is set if the advice service decides which workers may run the
	// queue's jobs, nil if all workers of the pool may.
	Advice *AdvicePolicy
}

// AdvicePolicy describes how long the advice service takes to answer and how long
// its tickets are valid.
type AdvicePolicy struct {
	Decide   time.Duration
	Each     time.Duration // for each worker in the request
	ValidFor time.Duration
}

// Config is one version of the configuration.
type Config struct {
	Version int64
	Queues  []Queue
	// MaxBodyBytes bounds the body of a caller's request.
	MaxBodyBytes int64
}

// Queue returns a queue by name, nil if there is none.
func (c *Config) Queue(name string) *Queue {
	for i := range c.Queues {
		if c.Queues[i].Name == name {
			return &c.Queues[i]
		}
	}
	return nil
}

// Match returns the queue of a host with the longest path prefix that matches,
// nil if there is none.
func (c *Config) Match(host, path string) *Queue {
	var found *Queue
	for i := range c.Queues {
		q := &c.Queues[i]
		if q.Host == host && strings.HasPrefix(path, q.PathPrefix) && (found == nil || len(q.PathPrefix) > len(found.PathPrefix)) {
			found = q
		}
	}
	return found
}

// Size is an amount of the resources of a worker.
type Size struct {
	CPUMilli     int64
	MemoryMiB    int64
	Accelerators int64
}

// Add returns the sum of two amounts.
func (s Size) Add(o Size) Size {
	return Size{s.CPUMilli + o.CPUMilli, s.MemoryMiB + o.MemoryMiB, s.Accelerators + o.Accelerators}
}

// Sub returns the difference of two amounts.
func (s Size) Sub(o Size) Size {
	return Size{s.CPUMilli - o.CPUMilli, s.MemoryMiB - o.MemoryMiB, s.Accelerators - o.Accelerators}
}

// Fits reports whether s is at most o in each resource.
func (s Size) Fits(o Size) bool {
	return s.CPUMilli <= o.CPUMilli && s.MemoryMiB <= o.MemoryMiB && s.Accelerators <= o.Accelerators
}

// WorkerEntry is the entry under which a worker registers itself in the store.
type WorkerEntry struct {
	ID       string
	Service  string
	Address  string
	Zone     string
	Rack     string
	Labels   []string
	Capacity Size
	Draining bool
	// Born is the Unix time in milliseconds at which the worker process
	// started. It differs between restarts.
	Born int64
}

// Run identifies an attempt at a task.
type Run struct {
	Job   string
	Round int
	Step  int
	Task  int
	// Number counts the attempts at the task from 1.
	Number int
}

// TaskName returns the name of the task in commands to workers:
// JOB.ROUND.STEP.TASK.
func (r Run) TaskName() string {
	b := make([]byte, 0, len(r.Job)+12)
	b = append(b, r.Job...)
	for _, n := range [...]int{r.Round, r.Step, r.Task} {
		b = append(b, '.')
		b = strconv.AppendInt(b, int64(n), 10)
	}
	return string(b)
}

// String returns the form used in logs, the task name and the attempt's number.
func (r Run) String() string { return fmt.Sprintf("%s#%d", r.TaskName(), r.Number) }

// ParseRun is the inverse of TaskName. It fails if the name does not consist of a
// job id and three numbers.
func ParseRun(task string, number int) (Run, error) {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return Run{}, errors.Errorf("task name %q does not have 4 parts", task)
	}
	r := Run{Job: parts[0], Number: number}
	for i, field := range [...]*int{&r.Round, &r.Step, &r.Task} {
		n, err := strconv.Atoi(parts[i+1])
		if err != nil {
			return Run{}, errors.Wrapf(err, "task name %q", task)
		}
		*field = n
	}
	return r, nil
}

// EndKind says how an attempt ended.
type EndKind int

// Reasons for the end of an attempt.
const (
	EndUnknown EndKind = iota
	EndDone
	EndFailed
	EndStopped
	EndLeaseExpired
	EndGangBroken // another task of the gang ended
	EndGangAlone  // the other tasks of the gang did not start in time
	EndLost       // the worker restarted, was silent beyond its lease or no longer lists the attempt
)

// String returns the name used in logs and metrics.
func (k EndKind) String() string {
	return [...]string{"unknown", "done", "failed", "stopped", "lease_expired", "gang_broken", "gang_alone", "lost"}[k]
}

// ActiveRun is an attempt that a worker lists as active.
type ActiveRun struct {
	Run        Run
	Checkpoint string
	// Percent is the progress of a task. A long-running task shows 100 while it
	// serves.
	Percent int
	// Metered is the tail latency in milliseconds of a service, and the
	// processor use in thousandths of a core of any other task.
	Metered int64
}

// EndedRun is an attempt that a worker lists as ended.
type EndedRun struct {
	Number     int64 // counts the ends since the worker started
	Run        Run
	How        EndKind
	Checkpoint string
}

// HoldReply is a worker's answer to a hold.
type HoldReply struct {
	Clock  time.Duration // reading of the worker's own clock
	Born   int64
	Active []ActiveRun
	Ended  []EndedRun
}

// Refusal says why a worker refused a command. A refused command had no effect.
type Refusal int

// Reasons for a refusal.
const (
	RefusedNone      Refusal = iota
	RefusedFenced            // the worker has seen a newer fencing token
	RefusedOld               // the worker has already seen an attempt with this or a higher number
	RefusedLate              // the lease that the start carries had expired
	RefusedRoom              // the task would exceed the worker's capacity
	RefusedTicket            // the ticket is missing or no longer valid
	RefusedUnhealthy         // the worker says that it is unhealthy
	RefusedOtherLife         // the worker at the address is not the one named
	RefusedInvalid           // the worker rejected the command as malformed
)

// String returns the name used in logs and metrics.
func (r Refusal) String() string {
	return [...]string{"none", "fenced", "old", "late", "room", "ticket", "unhealthy", "other_life", "invalid"}[r]
}

// OrderKind is the kind of a command.
type OrderKind int

// Kinds of commands.
const (
	OrderHold OrderKind = iota // renews the lease and returns the active and ended attempts
	OrderStart
	OrderStop
	OrderPace // sets the speed of a filler
)

// String returns the name used in logs and metrics.
func (k OrderKind) String() string { return [...]string{"hold", "start", "stop", "pace"}[k] }

// Order is one call to a worker.
type Order struct {
	Kind    OrderKind
	Worker  string
	Address string
	Token   int64 // fencing token
	Run     Run
	// Lease is the time on the worker's clock until which everything there may
	// run, zero to leave the lease as it is.
	Lease time.Duration

	// Cursor and Wait belong to a hold: the worker forgets the ends up to number
	// Cursor, and may wait that long for an end before it answers.
	Cursor int64
	Wait   time.Duration

	// Payload, Checkpoint and Ticket belong to a start.
	Payload    string
	Checkpoint string
	Ticket     string

	Percent int // of full speed, in a throttle command
	// SentAt is when the core returned the command.
	SentAt time.Time
}

// OrderResult is the outcome of a command.
type OrderResult struct {
	Order   Order
	Refused Refusal
	// Err is set if no answer arrived: the command may have been carried out, or
	// may still be, unless NotSent is set.
	Err     error
	NotSent bool
	// Clock is the worker's clock in the answer, zero without an answer.
	Clock time.Duration
	Hold  *HoldReply
}
