// Package api implements the HTTP API of an entry instance for callers and
// operators.
package api

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/gorilla/mux"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"gooseberryreel/internal/control"
	"gooseberryreel/internal/events"
	"gooseberryreel/internal/pb"
)

// Dispatcher runs requests; dispatch.Dispatcher implements it.
type Dispatcher interface {
	Do(ctx context.Context, req *pb.ForwardRequest) *pb.ForwardReply
	Find(ctx context.Context, id string) *pb.ForwardReply
}

// Runner runs jobs; jobs.Runner implements it.
type Runner interface {
	Submit(ctx context.Context, req *pb.SubmitJobRequest) *pb.JobReply
	Cancel(ctx context.Context, req *pb.JobIdRequest) *pb.JobReply
	Get(ctx context.Context, req *pb.JobIdRequest) *pb.JobReply
}

// Options configures the handler. Gatherer and Ready may be nil.
type Options struct {
	Dispatcher Dispatcher
	Runner     Runner
	// Views returns the newest view, nil before the first.
	Views    func() *control.View
	Events   *events.Recorder
	Gatherer prometheus.Gatherer
	Settings *pb.RequestSettings
	// Ready returns nil if the instance accepts requests, and otherwise an error
	// that gives the reason.
	Ready func() error
}

// Names of request and response headers.
const (
	HeaderRequestID  = "Request-Id"
	HeaderTimeout    = "Request-Timeout" // milliseconds
	HeaderIdempotent = "Idempotent"
	HeaderTeam       = "Team"
	HeaderEventClock = "Event-Clock" // hybrid logical clock
	headerTarget     = "Target"
	contentJSON      = "application/json"
)

type server struct{ opts Options }

// New returns the handler of all paths. The http.Server should also limit headers
// to Settings.MaxHeaderBytes, since it reads them before the handler runs.
func New(o Options) http.Handler {
	s := &server{opts: o}
	r := mux.NewRouter()
	r.Use(s.checkHeaders)
	r.HandleFunc("/v1/services/{service}/requests", s.postRequest).Methods(http.MethodPost)
	r.HandleFunc("/v1/requests/{id}", s.getRequest).Methods(http.MethodGet)
	r.HandleFunc("/v1/jobs", s.postJob).Methods(http.MethodPost)
	r.HandleFunc("/v1/jobs/{id}", s.getJob).Methods(http.MethodGet)
	r.HandleFunc("/v1/jobs/{id}", s.deleteJob).Methods(http.MethodDelete)
	r.HandleFunc("/v1/status", s.getStatus).Methods(http.MethodGet)
	r.HandleFunc("/events", s.getEvents).Methods(http.MethodGet)
	r.HandleFunc("/healthz", s.getHealth).Methods(http.MethodGet)
	r.HandleFunc("/readyz", s.getReady).Methods(http.MethodGet)
	if o.Gatherer != nil {
		r.Handle("/metrics", promhttp.HandlerFor(o.Gatherer, promhttp.HandlerOpts{})).Methods(http.MethodGet)
	}
	r.NotFoundHandler = http.HandlerFunc(s.notFound)
	r.MethodNotAllowedHandler = http.HandlerFunc(s.methodNotAllowed)
	return r
}

// checkHeaders rejects requests whose headers are too large and applies the
// sender's clock reading.
func (s *server) checkHeaders(next http.Handler) http.Handler {
	limit := s.opts.Settings.GetMaxHeaderBytes()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if limit > 0 && headerSize(r.Header) > limit {
			s.writeError(w, "", newFailure("headers", http.StatusRequestHeaderFieldsTooLarge, "headers are larger than %d bytes", limit))
			return
		}
		if err := s.observeEventClock(r.Header.Get(HeaderEventClock)); err != nil {
			s.writeError(w, "", newFailure("headers", http.StatusBadRequest, "%v", err))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// headerSize returns the total size of the header names and values in bytes.
func headerSize(h http.Header) int64 {
	var n int
	for name, values := range h {
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	return int64(n)
}

func (s *server) notFound(w http.ResponseWriter, _ *http.Request) {
	s.writeError(w, "", newFailure("path", http.StatusNotFound, "unknown path"))
}

func (s *server) methodNotAllowed(w http.ResponseWriter, _ *http.Request) {
	s.writeError(w, "", newFailure("method", http.StatusMethodNotAllowed, "method is not allowed for this path"))
}

func (s *server) getHealth(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, healthBody{Status: "ok"})
}

func (s *server) getReady(w http.ResponseWriter, _ *http.Request) {
	if s.opts.Ready != nil {
		if err := s.opts.Ready(); err != nil {
			s.writeError(w, "", newFailure("ready", http.StatusServiceUnavailable, "%v", err))
			return
		}
	}
	writeJSON(w, http.StatusOK, healthBody{Status: "ready"})
}

type healthBody struct {
	Status string `json:"status"`
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", contentJSON)
	w.WriteHeader(status)
	// A write error means that the client has disconnected, so the error can't be
	// reported to it.
	_ = json.NewEncoder(w).Encode(body)
}
