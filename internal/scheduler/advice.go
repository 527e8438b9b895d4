package scheduler

import (
	"time"

	"github.com/pkg/errors"
)

var errAdviceOverdue = errors.New("the request has no result in time")

// AdviceRequest is a request to the advice service for the workers that may run a
// step.
type AdviceRequest struct {
	// Number identifies the request among those of the owner.
	Number      int64
	Job         string
	Round, Step int
	Workers     []string
}

// AdviceResult is the outcome of an advice request. Each worker that may run the
// step has a ticket, which a start on that worker carries.
type AdviceResult struct {
	AdviceRequest AdviceRequest
	Err           error // no answer or an error; the other fields are not set
	ValidFor      time.Duration
	Tickets       map[string]string // by worker id
}

const (
	// adviceMaxWorkers bounds the workers in one request: the service takes time
	// for each.
	adviceMaxWorkers = 30
	// adviceRetry is the pause after a request that failed.
	adviceRetry = 300 * time.Millisecond
	// adviceOverdue is how long a request may stay without a result until another one is
	// made. It is longer than the timeout of the call.
	adviceOverdue = 8 * time.Second
	// ticketMargin is how long before its expiry a ticket is no longer used.
	ticketMargin = 500 * time.Millisecond
)

// advice is the state of a step's requests to the advice service.
type advice struct {
	inFlight    *AdviceRequest // nil if there is none
	sentAt      time.Time      // when the newest request was made
	nextRequest time.Time
	workers     map[string]*workerAdvice // by worker id
}

// workerAdvice is the advice on a worker in one life: its ticket is valid for no other.
type workerAdvice struct {
	incarnation int64
	requestedAt time.Time // when it was last part of a request
	ticket      string    // empty if it was not granted, or there is no result yet
	until       time.Time // expiry of the ticket
}

// adviceOn returns the advice on a worker in its present life, nil if there is none.
func (s *step) adviceOn(w *worker) *workerAdvice {
	if s.advice == nil {
		return nil
	}
	if wa := s.advice.workers[w.id]; wa != nil && wa.incarnation == w.incarnation {
		return wa
	}
	return nil
}

func (s *step) hasTicket(w *worker, now time.Time) bool {
	return s.ticketFor(w, now.Add(ticketMargin)) != ""
}

// adviceFields returns the state of the step's newest request, for the log.
func (s *step) adviceFields(now time.Time) []any {
	ad := s.advice
	if ad == nil {
		return nil
	}
	inFlight := int64(-1)
	if ad.inFlight != nil {
		inFlight = now.Sub(ad.sentAt).Milliseconds()
	}
	return []any{"advice_in_flight_ms", inFlight, "advice_ms_ago", now.Sub(ad.sentAt).Milliseconds()}
}

// ticketFor returns the ticket for a worker that is valid at a time, empty if there is none.
func (s *step) ticketFor(w *worker, at time.Time) string {
	if wa := s.adviceOn(w); wa != nil && at.Before(wa.until) {
		return wa.ticket
	}
	return ""
}

// dropTicket drops a ticket that a worker has refused.
func (s *step) dropTicket(w *worker, ticket string) {
	if wa := s.adviceOn(w); wa != nil && wa.ticket == ticket {
		delete(s.advice.workers, w.id)
	}
}

// mayRequest reports whether a worker without a ticket may be part of a request. A worker
// that was not granted is not asked for again within the validity of a ticket.
func (s *step) mayRequest(w *worker, validFor time.Duration, now time.Time) bool {
	wa := s.adviceOn(w)
	return wa == nil || wa.ticket != "" || now.Sub(wa.requestedAt) > validFor
}

// requestAdvice requests tickets for a step that has tasks left to place.
func (p *pass) requestAdvice(s *step, candidates []*candidate, q *Queue) {
	if s.advice == nil {
		s.advice = &advice{workers: make(map[string]*workerAdvice)}
	}
	ad := s.advice
	if ad.inFlight != nil && p.now.Sub(ad.sentAt) >= adviceOverdue {
		p.core.adviceFailed(s, errAdviceOverdue, p.now)
	}
	if ad.inFlight != nil || p.now.Before(ad.nextRequest) {
		return
	}
	var names []string
	for _, cand := range candidates {
		w := cand.worker
		if len(names) < adviceMaxWorkers && !s.hasTicket(w, p.now) && s.mayRequest(w, q.Advice.ValidFor, p.now) && s.size.FitsIn(w.entry.Capacity) {
			names = append(names, w.id)
			ad.workers[w.id] = &workerAdvice{incarnation: w.incarnation, requestedAt: p.now}
		}
	}
	if len(names) == 0 {
		return
	}
	p.core.adviceRequests++
	request := AdviceRequest{Number: p.core.adviceRequests, Job: s.round.job.sub.GetId(), Round: s.round.number, Step: s.index, Workers: names}
	ad.inFlight, ad.sentAt = &request, p.now
	p.core.out.AdviceRequests = append(p.core.out.AdviceRequests, request)
}

// AdviceDone handles the outcome of an advice request. It is matched by the number of the
// request: the step's tasks, the step itself or its job may be over by then, and the
// request may have been given up.
func (c *Core) AdviceDone(r AdviceResult, now time.Time) {
	request := r.AdviceRequest
	j := c.jobs[request.Job]
	if j == nil {
		return
	}
	s := j.stepByNumber(request.Round, request.Step)
	if s == nil || s.advice == nil || s.advice.inFlight == nil || s.advice.inFlight.Number != request.Number {
		c.addLogEntry("advice dropped", j.sub.GetRequestId(), "job", request.Job, "round", request.Round, "step", request.Step)
		return
	}
	if r.Err != nil {
		c.adviceFailed(s, r.Err, now)
		return
	}
	ad := s.advice
	ad.inFlight = nil
	for _, id := range request.Workers {
		if wa := ad.workers[id]; wa != nil {
			wa.ticket, wa.until = r.Tickets[id], now.Add(r.ValidFor)
		}
	}
	c.addLogEntry("advice", j.sub.GetRequestId(), "job", request.Job, "round", request.Round, "step", request.Step,
		"asked", len(request.Workers), "granted", len(r.Tickets), "took_ms", now.Sub(ad.sentAt).Milliseconds())
	c.planDue = true
}

// adviceFailed ends a step's request that has no usable result. Its workers may be part of
// the next one.
func (c *Core) adviceFailed(s *step, err error, now time.Time) {
	ad, request := s.advice, s.advice.inFlight
	c.addLogEntry("advice failed", s.round.job.sub.GetRequestId(), "job", request.Job, "round", request.Round, "step", request.Step,
		"asked", len(request.Workers), "took_ms", now.Sub(ad.sentAt).Milliseconds(), "error", err.Error())
	ad.inFlight, ad.nextRequest = nil, now.Add(adviceRetry)
	for _, id := range request.Workers {
		delete(ad.workers, id)
	}
}
