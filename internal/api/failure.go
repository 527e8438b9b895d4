package api

import (
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"gooseberryreel/internal/errs"
	"gooseberryreel/internal/pb"
)

// retryAfterSeconds is sent with failures that may pass.
const retryAfterSeconds = "1"

// ErrorBody is the body of every error.
type ErrorBody struct {
	Outcome   string `json:"outcome"`
	Step      string `json:"step"`
	Peer      string `json:"peer"`
	Retry     bool   `json:"retry"`
	Error     string `json:"error"`
	RequestID string `json:"request_id"`
}

// newFailure describes a call that was refused here, so nothing ran.
func newFailure(step string, status int, format string, args ...any) *pb.Failure {
	return errs.New(step, "", format, args...).WithStatus(status).Failure()
}

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

// setEventClock sends the event clock: the given reading, or a new one for zero.
func (s *server) setEventClock(w http.ResponseWriter, hlc int64) {
	if w.Header().Get(HeaderEventClock) != "" {
		return
	}
	if hlc == 0 {
		hlc = s.opts.Events.Clock().Now()
	}
	w.Header().Set(HeaderEventClock, strconv.FormatInt(hlc, 10))
}

// maxClockAheadMs bounds a reading from a caller, so that a wrong one can't move
// the clocks of all instances far into the future.
const maxClockAheadMs = 10_000

// clockCounterBits is the number of counter bits in a clock reading.
const clockCounterBits = 16

func (s *server) observeEventClock(text string) error {
	if text == "" {
		return nil
	}
	hlc, err := strconv.ParseInt(text, 10, 64)
	if err != nil || hlc < 0 {
		return errors.Errorf("%s is not a clock reading", HeaderEventClock)
	}
	clock := s.opts.Events.Clock()
	if hlc>>clockCounterBits > clock.Now()>>clockCounterBits+maxClockAheadMs {
		return errors.Errorf("%s is ahead by more than %d ms", HeaderEventClock, maxClockAheadMs)
	}
	clock.Observe(hlc)
	return nil
}
