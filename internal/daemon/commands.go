package daemon

import (
	"sync"
	"time"

	"gooseberryreel/internal/scheduler"
)

// commandQueues sends commands to workers: holds at once, all other commands of a
// worker one after the other, so that two connections to a worker are enough.
type commandQueues struct {
	owner   *ownerTerm
	mu      sync.Mutex
	pending map[string][]scheduler.Command // by worker, while a command to it is in flight
}

func newCommandQueues(o *ownerTerm) *commandQueues {
	return &commandQueues{owner: o, pending: make(map[string][]scheduler.Command)}
}

func (q *commandQueues) add(command scheduler.Command) {
	if command.Kind == scheduler.CommandHold {
		go q.send(command)
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	queued, busy := q.pending[command.Worker]
	if busy {
		q.pending[command.Worker] = append(queued, command)
		return
	}
	q.pending[command.Worker] = nil
	go q.sendAll(command)
}

// sendAll sends a command, then the commands to the same worker that were queued
// in the meantime.
func (q *commandQueues) sendAll(command scheduler.Command) {
	for {
		q.send(command)
		q.mu.Lock()
		queued := q.pending[command.Worker]
		if len(queued) == 0 {
			delete(q.pending, command.Worker)
			q.mu.Unlock()
			return
		}
		command, q.pending[command.Worker] = queued[0], queued[1:]
		q.mu.Unlock()
	}
}

// send sends one command and posts its result to the core. It sends nothing if
// the owner may no longer act: its term is over, or its last contact with the store
// is too old.
func (q *commandQueues) send(command scheduler.Command) {
	o := q.owner
	i := o.instance
	result := scheduler.CommandResult{Command: command, NotSent: true, Err: errNotOwner}
	if o.ctx.Err() == nil && i.storeContact.age() < scheduler.OwnerGrace {
		start := time.Now()
		result = i.workers.Do(o.ctx, command)
		i.metrics.commandSeconds.WithLabelValues(command.Kind.String()).Observe(time.Since(start).Seconds())
	}
	i.metrics.commands.WithLabelValues(command.Kind.String(), resultLabel(result)).Inc()
	o.post(func(c *scheduler.Core, now time.Time) { c.CommandDone(result, now) })
}

// resultLabel returns the value of the metrics' result label.
func resultLabel(r scheduler.CommandResult) string {
	switch {
	case r.NotSent:
		return "not_sent"
	case r.Err != nil:
		return "unknown"
	case r.Refused != scheduler.RefusedNone:
		return r.Refused.String()
	default:
		return "ok"
	}
}
