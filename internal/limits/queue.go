package limits

import (
	"container/heap"
	"time"
)

// Refusal is the reason why a queue did not accept a request.
type Refusal int

// Results of Queue.Push.
const (
	Accepted Refusal = iota
	// RefusedFull means that the team's queue for the service is full.
	RefusedFull
	// RefusedTeam means that the team has reached its own limit of waiting
	// requests.
	RefusedTeam
	// RefusedDeadline means that the request can't be answered by its deadline.
	RefusedDeadline
)

// String returns the refusal as text for error messages.
func (r Refusal) String() string {
	switch r {
	case Accepted:
		return "accepted"
	case RefusedFull:
		return "queue full"
	case RefusedTeam:
		return "team over its limit of waiting requests"
	case RefusedDeadline:
		return "deadline cannot be met"
	default:
		return "unknown refusal"
	}
}

// Waiter is a request in a Queue.
type Waiter struct {
	Team     string
	Deadline time.Time
	// Result is a channel for the code that uses the queue, which sends the acquired
	// slot or a Refusal on it. The queue does not use it.
	Result chan any

	index    int    // in the heap, -1 once removed
	sequence uint64 // in the order of arrival, for equal deadlines
}

// QueueLimits are the limits that apply to one Push.
type QueueLimits struct {
	// Length is the service's limit of waiting requests per team.
	Length int
	// Team is the team's own limit of waiting requests in this service, zero for
	// none.
	Team int
	// Servers is the number of slots that serve the queue.
	Servers int
	// ServiceTime is the observed time for which a request occupies a slot.
	ServiceTime time.Duration
}

// Queue holds the waiting requests of one service, with one queue per team.
// Within a team, requests are served by earliest deadline first. Teams are served
// round-robin, so that a team with many early deadlines can't starve another. It
// is not safe for concurrent use.
type Queue struct {
	teams    map[string]*deadlineHeap
	rotation []string // teams with waiting requests in the order of service
	count    int
	sequence uint64 // of the newest request
	// NoEarlyRefusal turns off the deadline checks of Push and Pop, for benchmarks
	// that compare both.
	NoEarlyRefusal bool
}

// NewQueue returns an empty queue.
func NewQueue() *Queue { return &Queue{teams: make(map[string]*deadlineHeap)} }

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.count }

// Push adds a request, or returns the reason why it is refused. The waiting time
// is estimated from the number of requests served before it and the observed
// service time.
func (q *Queue) Push(w *Waiter, now time.Time, l QueueLimits) Refusal {
	team := q.teams[w.Team]
	queued := 0
	if team != nil {
		queued = team.Len()
	}
	switch {
	case queued >= l.Length:
		return RefusedFull
	case l.Team > 0 && queued >= l.Team:
		return RefusedTeam
	case !q.NoEarlyRefusal && q.missesDeadline(w, now, l):
		return RefusedDeadline
	}
	if team == nil {
		team = &deadlineHeap{}
		q.teams[w.Team] = team
	}
	if team.Len() == 0 {
		q.rotation = append(q.rotation, w.Team)
	}
	q.sequence++
	w.sequence = q.sequence
	heap.Push(team, w)
	q.count++
	return Accepted
}

// missesDeadline reports whether the request is expected to miss its deadline.
func (q *Queue) missesDeadline(w *Waiter, now time.Time, l QueueLimits) bool {
	ahead := q.ahead(w)
	wait := time.Duration(float64(l.ServiceTime) * float64(ahead) / float64(max(l.Servers, 1)))
	return now.Add(wait + l.ServiceTime).After(w.Deadline)
}

// ahead estimates the number of requests served before w: those of its own team
// with earlier or equal deadlines, and those that each other team gets served
// meanwhile in round-robin order.
func (q *Queue) ahead(w *Waiter) int {
	own := 0
	if team := q.teams[w.Team]; team != nil {
		for _, other := range *team {
			if !other.Deadline.After(w.Deadline) {
				own++
			}
		}
	}
	total := own
	for _, name := range q.rotation {
		if name != w.Team {
			total += min(q.teams[name].Len(), own+1)
		}
	}
	return total
}

// Pop removes and returns the next request that can still be answered by its
// deadline, nil if there is none. It also removes and returns the requests before
// it that can't be, since earliest deadline first would otherwise spend the slots
// on them.
func (q *Queue) Pop(now time.Time, serviceTime time.Duration) (next *Waiter, missed []*Waiter) {
	for {
		w := q.popNext()
		if w == nil || q.NoEarlyRefusal || !now.Add(serviceTime).After(w.Deadline) {
			return w, missed
		}
		missed = append(missed, w)
	}
}

func (q *Queue) popNext() *Waiter {
	if len(q.rotation) == 0 {
		return nil
	}
	name := q.rotation[0]
	q.rotation = q.rotation[1:]
	team := q.teams[name]
	w := heap.Pop(team).(*Waiter)
	q.count--
	if team.Len() > 0 {
		q.rotation = append(q.rotation, name)
	} else {
		delete(q.teams, name)
	}
	return w
}

// Remove removes a waiting request. It returns false if the request was already
// removed.
func (q *Queue) Remove(w *Waiter) bool {
	team := q.teams[w.Team]
	if team == nil || w.index < 0 || w.index >= team.Len() || (*team)[w.index] != w {
		return false
	}
	heap.Remove(team, w.index)
	q.count--
	if team.Len() == 0 {
		delete(q.teams, w.Team)
		q.rotation = removeName(q.rotation, w.Team)
	}
	return true
}

func removeName(names []string, name string) []string {
	kept := make([]string, 0, len(names))
	for _, n := range names {
		if n != name {
			kept = append(kept, n)
		}
	}
	return kept
}

type deadlineHeap []*Waiter

func (h deadlineHeap) Len() int { return len(h) }

func (h deadlineHeap) Less(i, j int) bool {
	if h[i].Deadline.Equal(h[j].Deadline) {
		return h[i].sequence < h[j].sequence
	}
	return h[i].Deadline.Before(h[j].Deadline)
}

func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *deadlineHeap) Push(x any) {
	w := x.(*Waiter)
	w.index = len(*h)
	*h = append(*h, w)
}

func (h *deadlineHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	w.index = -1
	return w
}
