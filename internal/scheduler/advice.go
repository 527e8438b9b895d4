package scheduler

import (
	"time"
)

// AdviceRequest is a request to the advice service for the workers that may run a
// step.
type AdviceRequest struct {
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
	// ticketMargin is how long before its expiry a ticket is no longer used.
	ticketMargin = 500 * time.Millisecond
)

// advice is the state of a step's requests to the advice service.
type advice struct {
	inFlight    bool      // a request is in flight
	sentAt      time.Time // when the newest request was made
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
	if ad.inFlight {
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
	if ad.inFlight || p.now.Before(ad.nextRequest) {
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
	ad.inFlight, ad.sentAt = true, p.now
	p.core.out.AdviceRequests = append(p.core.out.AdviceRequests, AdviceRequest{
		Job: s.round.job.sub.GetId(), Round: s.round.number, Step: s.index, Workers: names,
	})
}

// AdviceDone handles the outcome of an advice request.
func (c *Core) AdviceDone(r AdviceResult, now time.Time) {
	j := c.jobs[r.AdviceRequest.Job]
	if j == nil {
		return
	}
	t := j.taskOf(AttemptID{Job: r.AdviceRequest.Job, Round: r.AdviceRequest.Round, Step: r.AdviceRequest.Step})
	if t == nil || t.step.advice == nil {
		c.addLogEntry("advice dropped", j.sub.GetRequestId(), "job", r.AdviceRequest.Job, "round", r.AdviceRequest.Round, "step", r.AdviceRequest.Step)
		return
	}
	ad := t.step.advice
	ad.inFlight = false
	if r.Err != nil {
		c.addLogEntry("advice failed", j.sub.GetRequestId(), "job", r.AdviceRequest.Job, "round", r.AdviceRequest.Round, "step", r.AdviceRequest.Step,
			"asked", len(r.AdviceRequest.Workers), "took_ms", now.Sub(ad.sentAt).Milliseconds(), "error", r.Err.Error())
		ad.nextRequest = now.Add(adviceRetry)
		for _, id := range r.AdviceRequest.Workers {
			delete(ad.requestedAt, id)
		}
		return
	}
	for id, text := range r.Tickets {
		ad.tickets[id] = ticket{text, now.Add(r.ValidFor)}
	}
	c.addLogEntry("advice", j.sub.GetRequestId(), "job", r.AdviceRequest.Job, "round", r.AdviceRequest.Round, "step", r.AdviceRequest.Step,
		"asked", len(r.AdviceRequest.Workers), "granted", len(r.Tickets), "took_ms", now.Sub(ad.sentAt).Milliseconds())
	c.planDue = true
}
