package scheduler

import (
	"slices"
	"time"
)

// defaultTicketValidity applies to jobs of a removed queue that an earlier version
// accepted, which did not store how long their tickets are valid.
const defaultTicketValidity = 5 * time.Second

// SetConfig replaces the configuration.
func (c *Core) SetConfig(config *Config) {
	c.config = config
	for _, pool := range config.Pools {
		c.pools[pool] = true
	}
	for _, j := range c.jobs {
		c.followQueue(j)
	}
	c.planDue = true
	if c.started {
		c.logRemovedQueues()
	}
}

// queue returns the policy of a job's queue: that of the newest configuration or, if it
// no longer has the queue, that under which the job was accepted. It returns nil if no
// configuration is known yet.
func (c *Core) queue(j *job) *Queue {
	if c.config == nil {
		return nil
	}
	if q := c.config.Queue(j.sub.GetQueue()); q != nil {
		return q
	}
	if j.accepted == nil {
		j.accepted = acceptedQueue(j)
	}
	return j.accepted
}

// followQueue notes the pool of a job's queue, in which the job continues if the queue is
// removed: the workers of the pool under which it was accepted may have left.
func (c *Core) followQueue(j *job) {
	if c.config == nil || !j.active() {
		return
	}
	if q := c.config.Queue(j.sub.GetQueue()); q != nil && q.Pool != j.pool {
		j.pool, j.accepted = q.Pool, nil
		c.markChanged(j)
	}
}

// acceptedQueue returns the policy that was stored with a job.
func acceptedQueue(j *job) *Queue {
	s := j.sub
	q := &Queue{
		Name: s.GetQueue(), Pool: j.pool, Priority: int(s.GetPriority()), MaxAttempts: int(s.GetMaxAttempts()),
		Stretch: s.GetStretch(), Allowance: time.Duration(s.GetTargetMs()) * time.Millisecond,
	}
	if s.GetNeedsTicket() {
		q.Advice = &AdvicePolicy{ValidFor: time.Duration(s.GetTicketValidMs()) * time.Millisecond}
		if q.Advice.ValidFor <= 0 {
			q.Advice.ValidFor = defaultTicketValidity
		}
	}
	return q
}

// knowsPool reports whether a configuration names a pool, or a job was accepted for it. An
// entry of another pool comes from another writer. Without a list of pools any may exist.
func (c *Core) knowsPool(pool string) bool {
	return c.config == nil || len(c.config.Pools) == 0 || c.pools[pool]
}

// logRemovedQueues logs the queues with active jobs that the configuration no longer
// has, once each.
func (c *Core) logRemovedQueues() {
	if c.config == nil {
		return
	}
	type removed struct {
		jobs int
		pool string
	}
	found := make(map[string]*removed)
	for _, j := range c.jobs {
		if name := j.sub.GetQueue(); j.active() && c.config.Queue(name) == nil {
			if found[name] == nil {
				found[name] = &removed{pool: j.sub.GetService()}
			}
			found[name].jobs++
		}
	}
	logged := c.removedQueues
	c.removedQueues = make(map[string]bool, len(found))
	names := make([]string, 0, len(found))
	for name := range found {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		c.removedQueues[name] = true
		if !logged[name] {
			c.addLogEntry("queue removed", "", "queue", name, "jobs", found[name].jobs, "pool", found[name].pool, "config", c.config.Version)
		}
	}
}
