package api

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"

	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/requestid"
)

const (
	maxNameBytes        = 128
	maxContentTypeBytes = 256
	// firstReadBytes is the size up to which the buffer of a body is allocated at once.
	firstReadBytes = 4 << 10
)

func (s *server) postRequest(w http.ResponseWriter, r *http.Request) {
	req, err := requestFromHeaders(r.Header)
	if err != nil {
		s.rejectRequest(w, r, newFailure("headers", http.StatusBadRequest, "%v", err))
		return
	}
	req.Service = mux.Vars(r)["service"]
	if len(req.Service) > maxNameBytes {
		s.rejectRequest(w, r, newFailure("service", http.StatusBadRequest, "service name is longer than %d bytes", maxNameBytes))
		return
	}
	body, f := readBody(w, r, s.opts.Settings.GetMaxBodyBytes())
	if f != nil {
		s.rejectRequest(w, r, f)
		return
	}
	req.Body = body
	reply := s.opts.Dispatcher.Do(r.Context(), req)
	s.writeReply(w, req.GetRequestId(), reply)
}

// rejectRequest writes the error response of a request that is not dispatched. A
// request with an id from the caller may have been run by an earlier call, so its
// outcome is unknown, unless it is idempotent: its outcome is that of this call.
func (s *server) rejectRequest(w http.ResponseWriter, r *http.Request, f *pb.Failure) {
	id := r.Header.Get(HeaderRequestID)
	if _, err := requestid.Parse(id); err == nil && r.Header.Get(HeaderIdempotent) != "true" {
		f.Outcome = pb.Outcome_OUTCOME_UNKNOWN
	}
	s.writeError(w, printableID(id), f)
}

// requestFromHeaders returns the request that the headers describe, without its
// service and body.
func requestFromHeaders(h http.Header) (*pb.ForwardRequest, error) {
	req := &pb.ForwardRequest{RequestId: h.Get(HeaderRequestID), Team: h.Get(HeaderTeam), ContentType: h.Get("Content-Type")}
	if req.RequestId != "" {
		if _, err := requestid.Parse(req.RequestId); err != nil {
			return nil, errors.Wrap(err, HeaderRequestID)
		}
	}
	switch h.Get(HeaderIdempotent) {
	case "", "false":
	case "true":
		req.Idempotent = true
	default:
		return nil, errors.Errorf("%s is neither true nor false", HeaderIdempotent)
	}
	if text := h.Get(HeaderTimeout); text != "" {
		ms, err := strconv.ParseInt(text, 10, 32)
		if err != nil || ms <= 0 {
			return nil, errors.Errorf("%s is not a positive number of milliseconds", HeaderTimeout)
		}
		req.TimeoutMs = ms
	}
	if len(req.Team) > maxNameBytes {
		return nil, errors.Errorf("%s is longer than %d bytes", HeaderTeam, maxNameBytes)
	}
	if len(req.ContentType) > maxContentTypeBytes {
		return nil, errors.Errorf("Content-Type is longer than %d bytes", maxContentTypeBytes)
	}
	return req, nil
}

func (s *server) getRequest(w http.ResponseWriter, r *http.Request) {
	id := mux.Vars(r)["id"]
	if _, err := requestid.Parse(id); err != nil {
		f := newFailure("request id", http.StatusBadRequest, "%v", err)
		f.Outcome = pb.Outcome_OUTCOME_UNKNOWN
		s.writeError(w, printableID(id), f)
		return
	}
	s.writeReply(w, id, s.opts.Dispatcher.Find(r.Context(), id))
}

func (s *server) writeReply(w http.ResponseWriter, id string, reply *pb.ForwardReply) {
	s.setEventClock(w, reply.GetHlc())
	if f := reply.GetFailure(); f != nil {
		s.writeError(w, id, f)
		return
	}
	h := w.Header()
	h.Set(HeaderRequestID, id)
	if reply.GetTarget() != "" {
		h.Set(headerTarget, reply.GetTarget())
	}
	if reply.GetContentType() != "" {
		h.Set("Content-Type", reply.GetContentType())
	}
	h.Set("Content-Length", strconv.Itoa(len(reply.GetBody())))
	w.WriteHeader(int(reply.GetStatus()))
	// A write error means that the client has disconnected; it can fetch the
	// answer by id.
	_, _ = w.Write(reply.GetBody())
}

// readBody reads a whole request body of at most limit bytes.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *pb.Failure) {
	if r.ContentLength > limit {
		return nil, newFailure("body", http.StatusRequestEntityTooLarge, "body is larger than %d bytes", limit)
	}
	// The client may never send what the header announces, so the buffer grows with what
	// arrives.
	first := min(max(r.ContentLength, 0), firstReadBytes)
	body := bytes.NewBuffer(make([]byte, 0, first+bytes.MinRead))
	_, err := body.ReadFrom(http.MaxBytesReader(w, r.Body, limit))
	if err == nil && int64(body.Len()) < r.ContentLength {
		err = io.ErrUnexpectedEOF
	}
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return body.Bytes(), nil
	case errors.As(err, &tooLarge):
		return nil, newFailure("body", http.StatusRequestEntityTooLarge, "body is larger than %d bytes", limit)
	default:
		return nil, newFailure("body", http.StatusBadRequest, "read body: %v", err)
	}
}

// printableID returns an id that may be invalid in a form for an error body:
// truncated, and with '?' for each character that is not printable ASCII.
func printableID(id string) string {
	if len(id) > requestid.MaxBytes {
		id = id[:requestid.MaxBytes]
	}
	return strings.Map(func(r rune) rune {
		if r < ' ' || r > '~' {
			return '?'
		}
		return r
	}, id)
}
