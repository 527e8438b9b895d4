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
	requestedAt map[string]time.Time // by worker id, when it was last part of a request
	tickets     map[string]ticket    // by worker id
}

type ticket struct {
	text  string
	until time.Time
}

func (s *step) hasTicket(w *worker, now time.Time) bool {
	return s.advice != nil && now.Add(ticketMargin).Before(s.advice.tickets[w.id].until)
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

func (s *step) ticketFor(w *worker) string {
	if s.advice == nil {
		return ""
	}
	return s.advice.tickets[w.id].text
}

// requestAdvice requests tickets for a step that has tasks left to place.
func (p *pass) requestAdvice(s *step, candidates []*candidate, q *Queue) {
	if s.advice == nil {
		s.advice = &advice{requestedAt: make(map[string]time.Time), tickets: make(map[string]ticket)}
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
		id := cand.worker.id
		again := p.now.Sub(ad.requestedAt[id]) > q.Advice.ValidFor
		if again && !s.hasTicket(cand.worker, p.now) && s.size.FitsIn(cand.worker.entry.Capacity) && len(names) < adviceMaxWorkers {
			names = append(names, id)
			ad.requestedAt[id] = p.now
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
	for id, text := range r.Tickets {
		ad.tickets[id] = ticket{text, now.Add(r.ValidFor)}
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
		delete(ad.requestedAt, id)
	}
}
