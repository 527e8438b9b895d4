package api

import (
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"gooseberryreel/internal/errs"
	"gooseberryreel/internal/pb"
)

// retryAfterSeconds is the Retry-After header of failures that may be temporary.
const retryAfterSeconds = "1"

// ErrorBody is the JSON body of every error response.
type ErrorBody struct {
	Outcome   string `json:"outcome"`
	Step      string `json:"step"`
	Peer      string `json:"peer"`
	Retry     bool   `json:"retry"`
	Error     string `json:"error"`
	RequestID string `json:"request_id"`
}

// newFailure returns the failure of a request that this package rejects, so
// nothing was run.
func newFailure(step string, status int, format string, args ...any) *pb.Failure {
	return errs.New(step, "", format, args...).WithStatus(status).Failure()
}

// writeError writes an error response. The request id is "" if it is unknown.
func (s *server) writeError(w http.ResponseWriter, id string, f *pb.Failure) {
	status := int(f.GetStatus())
	if status < http.StatusBadRequest {
		status = http.StatusServiceUnavailable
	}
	s.setEventClock(w, 0)
	if f.GetRetry() {
		w.Header().Set("Retry-After", retryAfterSeconds)
	}
	if id != "" {
		w.Header().Set(HeaderRequestID, id)
	}
	writeJSON(w, status, ErrorBody{
		Outcome: errs.OutcomeName(f.GetOutcome()), Step: f.GetStep(), Peer: f.GetPeer(),
		Retry: f.GetRetry(), Error: f.GetMessage(), RequestID: id,
	})
}

// setEventClock sets the event clock header to a reading, or to a new reading for
// zero. A header that is already set stays.
func (s *server) setEventClock(w http.ResponseWriter, hlc int64) {
	if w.Header().Get(HeaderEventClock) != "" {
		return
	}
	if hlc == 0 {
		hlc = s.opts.Events.Clock().Now()
	}
	w.Header().Set(HeaderEventClock, strconv.FormatInt(hlc, 10))
}

// maxClockAheadMs bounds how far a caller's reading may be ahead, so that a wrong
// reading can't move the clocks of all instances far into the future.
const maxClockAheadMs = 10_000

// clockLogicalBits is the number of low bits of a clock reading that hold its
// logical counter. The other bits hold milliseconds.
const clockLogicalBits = 16

// observeEventClock applies the event clock header of a caller.
func (s *server) observeEventClock(text string) error {
	if text == "" {
		return nil
	}
	hlc, err := strconv.ParseInt(text, 10, 64)
	if err != nil || hlc < 0 {
		return errors.Errorf("%s is not a clock reading", HeaderEventClock)
	}
	clock := s.opts.Events.Clock()
	if hlc>>clockLogicalBits > clock.Now()>>clockLogicalBits+maxClockAheadMs {
		return errors.Errorf("%s is more than %d ms ahead of this instance's clock", HeaderEventClock, maxClockAheadMs)
	}
	clock.Observe(hlc)
	return nil
}
