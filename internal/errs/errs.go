// Package errs defines the error type that the processes of the system return to
// each other and to callers. It names the step that failed and the peer involved,
// and states the outcome of the work.
package errs

import (
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"gooseberryreel/internal/pb"
)

// Error is a failed step, with the outcome of the work that the call requested.
type Error struct {
	Step string
	// Peer is the process that the step called, "" if none was involved.
	Peer    string
	Outcome pb.Outcome
	// Retry reports whether the same call can succeed later.
	Retry bool
	// Status is the HTTP status of the response to the caller; zero means 503.
	Status int
	// RetryAfter is when the caller should repeat a call that was not run; zero means
	// the default.
	RetryAfter time.Duration
	Cause      error
}

// New returns an Error for work that was not run, with a formatted cause.
func New(step, peer, format string, args ...any) *Error {
	return &Error{Step: step, Peer: peer, Outcome: pb.Outcome_OUTCOME_NOT_RUN, Cause: errors.Errorf(format, args...)}
}

// Wrap returns an Error with the given outcome and cause.
func Wrap(step, peer string, outcome pb.Outcome, cause error) *Error {
	return &Error{Step: step, Peer: peer, Outcome: outcome, Cause: cause}
}

// WithRetry marks the error as temporary: the same call can succeed later.
func (e *Error) WithRetry() *Error {
	e.Retry = true
	return e
}

// WithStatus sets the HTTP status of the response to the caller.
func (e *Error) WithStatus(status int) *Error {
	e.Status = status
	return e
}

// Error implements error.
func (e *Error) Error() string {
	if e.Peer == "" {
		return fmt.Sprintf("%s: %v", e.Step, e.Cause)
	}
	return fmt.Sprintf("%s (peer %s): %v", e.Step, e.Peer, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Failure converts the error to its protobuf message.
func (e *Error) Failure() *pb.Failure {
	status := e.Status
	if status == 0 {
		status = http.StatusServiceUnavailable
	}
	return &pb.Failure{
		Outcome: e.Outcome,
		Step:    e.Step,
		Peer:    e.Peer,
		Retry:   e.Retry,
		Message: e.Cause.Error(),
		Status:  int32(status),
	}
}

// FromFailure converts a protobuf message to an Error.
func FromFailure(f *pb.Failure) *Error {
	return &Error{
		Step:    f.GetStep(),
		Peer:    f.GetPeer(),
		Outcome: f.GetOutcome(),
		Retry:   f.GetRetry(),
		Status:  int(f.GetStatus()),
		Cause:   errors.New(f.GetMessage()),
	}
}

// From returns the Error that err wraps, or wraps err in a new one with the given
// step and peer and an unknown outcome.
func From(step, peer string, err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(step, peer, pb.Outcome_OUTCOME_UNKNOWN, err)
}

// OutcomeName returns the name of an outcome for error bodies.
func OutcomeName(o pb.Outcome) string {
	switch o {
	case pb.Outcome_OUTCOME_NOT_RUN:
		return "not_run"
	case pb.Outcome_OUTCOME_RAN:
		return "ran"
	default:
		return "unknown"
	}
}
