package relay

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"gooseberryreel/internal/errs"
	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/scheduler"
)

// WorkerClient makes calls to workers.
type WorkerClient interface {
	Do(ctx context.Context, c scheduler.Command) scheduler.CommandResult
}

const (
	// maxCommandsInFlight is the number of commands to one worker that are carried out
	// at the same time, without holds. Commands without an answer then delay the others
	// only if there are as many of them.
	maxCommandsInFlight = 8
	// maxQueueTime is how long a command may wait for its turn. What the core has decided
	// is outdated by then: the lease of a start is computed when it is queued.
	maxQueueTime = time.Second
)

var errOutdated = errors.New("the command is no longer valid")

// Executor carries out commands: holds at once, and the other commands to a worker in
// parallel, but those about the same task one after the other.
type Executor struct {
	// Client makes the calls.
	Client WorkerClient
	// Observe, if not nil, is called with each call's result and duration.
	Observe func(scheduler.CommandResult, time.Duration)

	mu     sync.Mutex
	queues map[string]*commandQueue // by worker, while a command to it waits or is in flight
}

// commandQueue holds the commands to one worker.
type commandQueue struct {
	waiting  []execution
	inFlight map[scheduler.AttemptID]bool // by task: the attempt's number is 0
}

// execution is a command to carry out.
type execution struct {
	ctx      context.Context
	command  scheduler.Command
	queuedAt time.Time
	// allowed is called right before the call. If it returns false the call is not
	// made.
	allowed func() bool
	done    func(scheduler.CommandResult)
}

// task returns the id of the task that the command is about.
func (e *execution) task() scheduler.AttemptID {
	id := e.command.AttemptID
	id.Number = 0
	return id
}

// Add carries out a command and calls done with its result, from another goroutine.
func (x *Executor) Add(ctx context.Context, c scheduler.Command, allowed func() bool, done func(scheduler.CommandResult)) {
	e := execution{ctx, c, time.Now(), allowed, done}
	if c.Kind == scheduler.CommandHold {
		go x.execute(e)
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.queues == nil {
		x.queues = make(map[string]*commandQueue)
	}
	q := x.queues[c.Worker]
	if q == nil {
		q = &commandQueue{inFlight: make(map[scheduler.AttemptID]bool)}
		x.queues[c.Worker] = q
	}
	if c.Kind == scheduler.CommandStop {
		q.dropStart(c.AttemptID)
	}
	q.waiting = append(q.waiting, e)
	x.executeWaiting(c.Worker, q)
}

// dropStart takes the start of an attempt that is to be stopped out of the queue.
func (q *commandQueue) dropStart(id scheduler.AttemptID) {
	q.waiting = slices.DeleteFunc(q.waiting, func(e execution) bool {
		drop := e.command.Kind == scheduler.CommandStart && e.command.AttemptID == id
		if drop {
			go e.notSent()
		}
		return drop
	})
}

// executeWaiting begins the commands whose turn has come. The caller holds x.mu.
func (x *Executor) executeWaiting(worker string, q *commandQueue) {
	q.waiting = slices.DeleteFunc(q.waiting, func(e execution) bool {
		task := e.task()
		if len(q.inFlight) >= maxCommandsInFlight || q.inFlight[task] {
			return false
		}
		q.inFlight[task] = true
		go func() {
			x.execute(e)
			x.mu.Lock()
			defer x.mu.Unlock()
			delete(q.inFlight, task)
			x.executeWaiting(worker, q)
		}()
		return true
	})
	if len(q.inFlight) == 0 {
		delete(x.queues, worker)
	}
}

func (x *Executor) execute(e execution) {
	if e.ctx.Err() != nil || time.Since(e.queuedAt) > maxQueueTime || !e.allowed() {
		e.notSent()
		return
	}
	start := time.Now()
	result := x.Client.Do(e.ctx, e.command)
	if x.Observe != nil {
		x.Observe(result, time.Since(start))
	}
	e.done(result)
}

// notSent reports that the command was not carried out.
func (e *execution) notSent() {
	e.done(scheduler.CommandResult{
		Command: e.command, NotSent: true, Err: errs.Wrap(e.command.Kind.String(), e.command.Worker, pb.Outcome_OUTCOME_NOT_RUN, errOutdated),
	})
}
