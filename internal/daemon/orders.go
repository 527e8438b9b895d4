package daemon

import (
	"sync"
	"time"

	"gooseberryreel/internal/scheduler"
)

// orderQueues carries out orders: holds of a worker at once, its other orders
// one after the other, so that a worker needs two connections.
type orderQueues struct {
	owner *ownership
	mu    sync.Mutex
	wait  map[string][]scheduler.Command // by worker, while one is under way
}

func newOrderQueues(o *ownership) *orderQueues {
	return &orderQueues{owner: o, wait: make(map[string][]scheduler.Command)}
}

func (q *orderQueues) add(order scheduler.Command) {
	if order.Kind == scheduler.CommandHold {
		go q.do(order)
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	list, busy := q.wait[order.Worker]
	if busy {
		q.wait[order.Worker] = append(list, order)
		return
	}
	q.wait[order.Worker] = nil
	go q.work(order)
}

// work carries out an order and those that come to wait behind it.
func (q *orderQueues) work(order scheduler.Command) {
	for {
		q.do(order)
		q.mu.Lock()
		list := q.wait[order.Worker]
		if len(list) == 0 {
			delete(q.wait, order.Worker)
			q.mu.Unlock()
			return
		}
		order, q.wait[order.Worker] = list[0], list[1:]
		q.mu.Unlock()
	}
}

// do makes one order, unless the rights of the owner are over.
func (q *orderQueues) do(order scheduler.Command) {
	o := q.owner
	i := o.instance
	result := scheduler.CommandResult{Command: order, NotSent: true, Err: errNotOwner}
	if o.ctx.Err() == nil && i.contact.age() < scheduler.OwnerGrace {
		begun := time.Now()
		result = i.workers.Do(o.ctx, order)
		i.metrics.orderSeconds.WithLabelValues(order.Kind.String()).Observe(time.Since(begun).Seconds())
	}
	i.metrics.orders.WithLabelValues(order.Kind.String(), resultName(result)).Inc()
	o.post(func(c *scheduler.Core, now time.Time) { c.CommandDone(result, now) })
}

func resultName(r scheduler.CommandResult) string {
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
