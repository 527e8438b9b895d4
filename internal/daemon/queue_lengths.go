package daemon

import (
	"context"
	"sync"
	"time"

	"gooseberryreel/internal/errs"
	"gooseberryreel/internal/scheduler"
)

// queueLengthAge is the age up to which queue lengths answer further queries. They are
// counted over all jobs, and callers ask many times a second.
const queueLengthAge = 250 * time.Millisecond

// maxIntakeAge is the age of the newest read of the intake up to which the owner counts
// waiting jobs. It is longer than readWait.
const maxIntakeAge = 3 * time.Second

// queueLengths are the numbers of waiting jobs by queue, as last counted. It is safe for
// concurrent use.
type queueLengths struct {
	mu      sync.Mutex
	at      time.Time
	waiting map[string]int64
}

// queueLength returns the number of waiting jobs of a queue. It fails if the core may lack
// jobs that were accepted longer than maxIntakeAge ago.
func (o *ownerTerm) queueLength(ctx context.Context, queue string) (int64, error) {
	age := o.intakeAge()
	o.instance.metrics.intakeAge.Observe(age.Seconds())
	if age > maxIntakeAge {
		return 0, errs.New("queue length", "", "the owner of epoch %d has not read the intake for %d ms", o.epoch, age.Milliseconds())
	}
	q := &o.queueLengths
	q.mu.Lock()
	fresh, n := time.Since(q.at) < queueLengthAge, q.waiting[queue]
	q.mu.Unlock()
	if fresh {
		return n, nil
	}
	err := o.postAndWait(ctx, workQueries, func(c *scheduler.Core) {
		q.mu.Lock()
		defer q.mu.Unlock()
		if time.Since(q.at) >= queueLengthAge {
			q.at, q.waiting = time.Now(), c.Waiting()
		}
		n = q.waiting[queue]
	})
	if err != nil {
		return 0, err // the count may still run
	}
	return n, nil
}
