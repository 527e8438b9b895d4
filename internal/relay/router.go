package relay

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"gooseberryreel/internal/scheduler"
)

const (
	// gatherTime is how long after a takeover commands wait for relays while the
	// owner has no room for their workers. Instances connect within one poll of the
	// owner's group.
	gatherTime = 800 * time.Millisecond
	// workerIdleTime is how long a worker without commands stays assigned.
	workerIdleTime = 15 * time.Second
)

// RouterOptions configures a Router.
type RouterOptions struct {
	// Token is the owner's fencing token.
	Token  int64
	Limits Limits
	// CPUMilli is the CPU share of the owner's machine.
	CPUMilli int64
	// Executor carries out the commands to the workers that the owner serves itself.
	Executor *Executor
	// MayAct reports whether the owner may still send commands.
	MayAct func() bool
	// Deliver receives the results of commands.
	Deliver func([]scheduler.CommandResult)
	Log     *logrus.Entry
}

// Router passes the owner's commands on to relays for one term of the owner.
type Router struct {
	opts RouterOptions
	ctx  context.Context

	mu         sync.Mutex
	assignment *Assignment
	links      map[string]*link // by instance
	expected   int              // workers of the site
	gatherEnd  time.Time
	waiting    []scheduler.Command
	lastUsed   map[string]time.Time // newest command by worker
}

// NewRouter returns a router without relays. ctx ends with the term.
func NewRouter(ctx context.Context, o RouterOptions) *Router {
	r := &Router{
		opts: o, ctx: ctx, assignment: NewAssignment(o.Limits, o.CPUMilli), links: make(map[string]*link),
		gatherEnd: time.Now().Add(gatherTime), lastUsed: make(map[string]time.Time),
	}
	time.AfterFunc(gatherTime, r.sendWaiting)
	return r
}

// ExpectWorkers sets the number of workers of the site.
func (r *Router) ExpectWorkers(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expected = n
}

// Send passes on commands. Their results arrive through Deliver.
func (r *Router) Send(commands []scheduler.Command) {
	if len(commands) == 0 {
		return
	}
	var own, notSent []scheduler.Command
	mayAct := r.opts.MayAct()
	r.mu.Lock()
	now := time.Now() // read under the lock: nothing may wait after the last sendWaiting
	for _, c := range commands {
		if !mayAct {
			notSent = append(notSent, c)
			continue
		}
		r.lastUsed[c.Worker] = now
		relay, ok := r.assignment.Assign(c.Worker, c.Domain, r.expected, now)
		switch {
		case !ok && now.Before(r.gatherEnd):
			r.waiting = append(r.waiting, c)
		case !ok:
			r.assignment.AssignToOwner(c.Worker, c.Domain)
			own = append(own, c)
		case relay == "":
			own = append(own, c)
		default:
			r.links[relay].enqueue(c)
		}
	}
	r.mu.Unlock()
	for _, c := range own {
		r.opts.Executor.Add(r.ctx, c, r.opts.MayAct, func(result scheduler.CommandResult) {
			r.opts.Deliver([]scheduler.CommandResult{result})
		})
	}
	if len(notSent) > 0 {
		go r.opts.Deliver(lostResults(notSent, true, errNotAllowed)) // the caller may be the receiver
	}
}

// sendWaiting sends the commands that wait for relays.
func (r *Router) sendWaiting() {
	r.mu.Lock()
	waiting := r.waiting
	r.waiting = nil
	r.mu.Unlock()
	r.Send(waiting)
}

// add registers a relay, in place of an earlier connection of the same instance.
func (r *Router) add(l *link) {
	r.mu.Lock()
	earlier := r.links[l.offer.Instance]
	r.links[l.offer.Instance] = l
	r.assignment.AddRelay(l.offer)
	r.mu.Unlock()
	if earlier != nil {
		earlier.close()
	}
	r.sendWaiting()
}

// remove removes a relay. Its workers are assigned anew with their next commands.
func (r *Router) remove(l *link, reason string) {
	r.mu.Lock()
	workers := 0
	if r.links[l.offer.Instance] == l {
		delete(r.links, l.offer.Instance)
		workers = r.assignment.RemoveRelay(l.offer.Instance)
	}
	r.mu.Unlock()
	if workers > 0 {
		r.opts.Log.WithFields(logrus.Fields{"event": "relay lost", "relay": l.offer.Instance, "workers": workers, "commands": l.inFlightCount(),
			"silent_ms": time.Since(l.reportedAt()).Milliseconds(), "why": reason}).Warn("relay")
	}
}

// workerFailed reports that a worker did not answer a hold through a relay.
func (r *Router) workerFailed(worker, relay string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.assignment.Failed(worker, relay, time.Now())
}

// Stats are the numbers of relays and of the workers that the owner serves itself.
type Stats struct{ Relays, Used, OwnWorkers int }

// Maintain moves workers to relays that suit them better, and forgets workers that
// have left. It is called about once a second.
func (r *Router) Maintain() Stats {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for worker, at := range r.lastUsed {
		if now.Sub(at) > workerIdleTime {
			delete(r.lastUsed, worker)
			r.assignment.Forget(worker)
		}
	}
	if moved := r.assignment.Rebalance(now); moved > 0 {
		r.opts.Log.WithFields(logrus.Fields{"event": "workers moved between relays", "workers": moved}).Info("relay")
	}
	s := Stats{OwnWorkers: r.assignment.Own()}
	s.Relays, s.Used = r.assignment.Relays()
	return s
}
