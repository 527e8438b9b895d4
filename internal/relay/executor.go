package relay

import (
	"context"
	"sync"
	"time"

	"gooseberryreel/internal/errs"
	"gooseberryreel/internal/scheduler"
)

// WorkerClient makes calls to workers.
type WorkerClient interface {
	Do(ctx context.Context, c scheduler.Command) scheduler.CommandResult
}

// Executor carries out commands: holds at once, and all other commands to a worker
// one after the other, so that two connections to a worker are enough.
type Executor struct {
	// Client makes the calls.
	Client WorkerClient
	// Observe, if not nil, is called with each call's result and duration.
	Observe func(scheduler.CommandResult, time.Duration)

	mu      sync.Mutex
	pending map[string][]execution // by worker, while a command to it is in flight
}

// execution is a command to carry out.
type execution struct {
	ctx     context.Context
	command scheduler.Command
	// allowed is called right before the call. If it returns false the call is not
	// made.
	allowed func() bool
	done    func(scheduler.CommandResult)
}

// Add carries out a command and calls done with its result, from another goroutine.
func (x *Executor) Add(ctx context.Context, c scheduler.Command, allowed func() bool, done func(scheduler.CommandResult)) {
	e := execution{ctx, c, allowed, done}
	if c.Kind == scheduler.CommandHold {
		go x.execute(e)
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.pending == nil {
		x.pending = make(map[string][]execution)
	}
	queued, busy := x.pending[c.Worker]
	if busy {
		x.pending[c.Worker] = append(queued, e)
		return
	}
	x.pending[c.Worker] = nil
	go x.executeAll(e)
}

// executeAll carries out a command, then the commands to the same worker that were
// added in the meantime.
func (x *Executor) executeAll(e execution) {
	for {
		x.execute(e)
		x.mu.Lock()
		queued := x.pending[e.command.Worker]
		if len(queued) == 0 {
			delete(x.pending, e.command.Worker)
			x.mu.Unlock()
			return
		}
		e, x.pending[e.command.Worker] = queued[0], queued[1:]
		x.mu.Unlock()
	}
}

func (x *Executor) execute(e execution) {
	result := scheduler.CommandResult{Command: e.command, NotSent: true}
	if e.ctx.Err() == nil && e.allowed() {
		start := time.Now()
		result = x.Client.Do(e.ctx, e.command)
		if x.Observe != nil {
			x.Observe(result, time.Since(start))
		}
	} else {
		result.Err = errs.New(e.command.Kind.String(), e.command.Worker, "the command is no longer valid")
	}
	e.done(result)
}
