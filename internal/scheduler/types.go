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
	Pool        string // pool of workers that runs the jobs
	Priority    int    // lower values are placed first
	MaxAttempts int
	// A job is on time if it completes within Stretch times its critical path
	// plus this allowance.
	Stretch   float64
	Allowance time.Duration
	// Advice is set if the advice service decides which workers may run the
	// queue's jobs, nil if all workers of the pool may.
	Advice *AdvicePolicy
}

// AdvicePolicy describes how long the advice service takes to answer and how long
// its tickets are valid.
type AdvicePolicy struct {
	DecisionTime  time.Duration
	TimePerWorker time.Duration // for each worker in the request
	ValidFor      time.Duration
}

// Config is one version of the configuration.
type Config struct {
	Version int64
	Queues  []Queue
	// Pools are the names of all pools of workers, empty if they are not known.
	Pools []string
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

// Resources is an amount of the resources of a worker.
type Resources struct {
	CPUMilli     int64
	MemoryMiB    int64
	Accelerators int64
}

// Add returns the sum of two amounts.
func (s Resources) Add(o Resources) Resources {
	return Resources{s.CPUMilli + o.CPUMilli, s.MemoryMiB + o.MemoryMiB, s.Accelerators + o.Accelerators}
}

// Sub returns the difference of two amounts.
func (s Resources) Sub(o Resources) Resources {
	return Resources{s.CPUMilli - o.CPUMilli, s.MemoryMiB - o.MemoryMiB, s.Accelerators - o.Accelerators}
}

// FitsIn reports whether s is at most o in each resource.
func (s Resources) FitsIn(o Resources) bool {
	return s.CPUMilli <= o.CPUMilli && s.MemoryMiB <= o.MemoryMiB && s.Accelerators <= o.Accelerators
}

// WorkerEntry is the entry under which a worker registers itself in the store.
type WorkerEntry struct {
	ID       string
	Pool     string
	Address  string
	Zone     string
	Rack     string
	Labels   []string
	Capacity Resources
	Draining bool
	// Incarnation is the Unix time in milliseconds at which the worker process
	// started. It differs between restarts.
	Incarnation int64
	// ColdFor is how much longer the worker says that it is slow after it came back,
	// zero if it is not.
	ColdFor time.Duration
}

// AttemptID identifies an attempt at a task.
type AttemptID struct {
	Job   string
	Round int
	Step  int
	Task  int
	// Number counts the attempts at the task from 1.
	Number int
}

// TaskName returns the name of the task in commands to workers:
// JOB.ROUND.STEP.TASK.
func (r AttemptID) TaskName() string {
	b := make([]byte, 0, len(r.Job)+12)
	b = append(b, r.Job...)
	for _, n := range [...]int{r.Round, r.Step, r.Task} {
		b = append(b, '.')
		b = strconv.AppendInt(b, int64(n), 10)
	}
	return string(b)
}

// String returns the form used in logs, the task name and the attempt's number.
func (r AttemptID) String() string { return fmt.Sprintf("%s#%d", r.TaskName(), r.Number) }

// ParseAttemptID is the inverse of TaskName. It fails if the name does not consist
// of a job id and three numbers.
func ParseAttemptID(task string, number int) (AttemptID, error) {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return AttemptID{}, errors.Errorf("task name %q does not have 4 parts", task)
	}
	r := AttemptID{Job: parts[0], Number: number}
	for i, field := range [...]*int{&r.Round, &r.Step, &r.Task} {
		n, err := strconv.Atoi(parts[i+1])
		if err != nil {
			return AttemptID{}, errors.Wrapf(err, "task name %q", task)
		}
		*field = n
	}
	return r, nil
}

// EndReason is the reason why an attempt ended.
type EndReason int

// Reasons for the end of an attempt.
const (
	EndUnknown EndReason = iota
	EndDone
	EndFailed
	EndStopped
	EndLeaseExpired
	EndGangMemberEnded // another task of the gang ended
	EndGangIncomplete  // the other tasks of the gang did not start in time
	EndLost            // the worker restarted, was silent beyond its lease or no longer lists the attempt
)

// String returns the name used in logs and metrics.
func (k EndReason) String() string {
	return [...]string{"unknown", "done", "failed", "stopped", "lease_expired", "gang_broken", "gang_alone", "lost"}[k]
}

// ActiveAttempt is an attempt that a worker lists as active.
type ActiveAttempt struct {
	AttemptID  AttemptID
	Checkpoint string
	// Progress is in percent. A long-running task reports 100 while it serves.
	Progress int
	// Measured is the tail latency in milliseconds of a service, and the
	// CPU use in thousandths of a core of any other task.
	Measured int64
}

// EndedAttempt is an attempt that a worker lists as ended.
type EndedAttempt struct {
	Number     int64 // counts the ends since the worker started
	AttemptID  AttemptID
	Reason     EndReason
	Checkpoint string
}

// HoldReply is a worker's answer to a hold.
type HoldReply struct {
	Clock       time.Duration // reading of the worker's own clock
	Incarnation int64
	Active      []ActiveAttempt
	Ended       []EndedAttempt
}

// Refusal is the reason why a worker refused a command. A refused command had no effect.
type Refusal int

// Reasons for a refusal.
const (
	RefusedNone           Refusal = iota
	RefusedFenced                 // the worker has seen a newer fencing token
	RefusedStaleAttempt           // the worker has already seen an attempt with this or a higher number
	RefusedDeadlinePassed         // the lease that the start carries had expired
	RefusedNoCapacity             // the task would exceed the worker's capacity
	RefusedTicket                 // the ticket is missing or no longer valid
	RefusedUnhealthy              // the worker reports that it is unhealthy
	RefusedWrongWorker            // the worker at the address is not the one named
	RefusedInvalid                // the worker rejected the command as malformed
)

// String returns the name used in logs and metrics.
func (r Refusal) String() string {
	return [...]string{"none", "fenced", "old", "late", "room", "ticket", "unhealthy", "other_life", "invalid"}[r]
}

// CommandKind is the kind of a command.
type CommandKind int

// Kinds of commands.
const (
	CommandHold CommandKind = iota // renews the lease and returns the active and ended attempts
	CommandStart
	CommandStop
	CommandThrottle // sets the speed of a filler
)

// String returns the name used in logs and metrics.
func (k CommandKind) String() string { return [...]string{"hold", "start", "stop", "pace"}[k] }

// Command is one call to a worker.
type Command struct {
	Kind      CommandKind
	Worker    string
	Address   string
	Domain    string // failure domain of the worker
	Token     int64  // fencing token
	AttemptID AttemptID
	// Lease is the time on the worker's clock until which everything there may
	// run, zero to leave the lease as it is.
	Lease time.Duration

	// Cursor and Wait belong to a hold: the worker discards the ends up to number
	// Cursor, and waits for an end for at most Wait before it answers.
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

// CommandResult is the outcome of a command.
type CommandResult struct {
	Command Command
	Refused Refusal
	// Err is set if no answer arrived: the command may have been carried out, or
	// may still be, unless NotSent is set.
	Err     error
	NotSent bool
	// Clock is the worker's clock in the answer, zero without an answer.
	Clock time.Duration
	Hold  *HoldReply
}
