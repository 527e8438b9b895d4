package api

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"gooseberryreel/internal/control"
	"gooseberryreel/internal/errs"
	"gooseberryreel/internal/events"
	"gooseberryreel/internal/pb"
)

const testID = "perth-hills.0193b8a0-7c00-7abc-8def-0123456789ab"

type fakeDispatcher struct{ got *pb.ForwardRequest }

func (f *fakeDispatcher) Do(_ context.Context, req *pb.ForwardRequest) *pb.ForwardReply {
	f.got = req
	if req.GetRequestId() == "" {
		req.RequestId = testID
	}
	return &pb.ForwardReply{Status: 201, Body: []byte("done"), ContentType: "text/plain", Target: "t1", Hlc: 77}
}

func (f *fakeDispatcher) Find(_ context.Context, _ string) *pb.ForwardReply {
	return &pb.ForwardReply{Failure: errs.New("look-up", "entry-2", "unknown id").WithStatus(http.StatusNotFound).Failure()}
}

type fakeRunner struct{}

func (fakeRunner) Submit(_ context.Context, r *pb.SubmitJobRequest) *pb.JobReply {
	return &pb.JobReply{Job: &pb.Job{Id: testID, Name: r.GetName(), State: pb.JobState_JOB_STATE_QUEUED}}
}

func (fakeRunner) Cancel(context.Context, *pb.JobIdRequest) *pb.JobReply {
	return &pb.JobReply{Failure: errs.New("log", "", "down").WithRetry().Failure()}
}

func (fakeRunner) Get(_ context.Context, r *pb.JobIdRequest) *pb.JobReply {
	return &pb.JobReply{Job: &pb.Job{Id: r.GetId(), State: pb.JobState_JOB_STATE_RUNNING, Attempt: 2}}
}

func newHandler() (http.Handler, *fakeDispatcher, *events.Recorder) {
	d := &fakeDispatcher{}
	recorder := events.NewRecorder("entry-1", 10, events.NewClock(time.Now))
	view := &control.View{Instance: "entry-1", Domain: "perth-hills", Partitions: make([]control.Partition, 3)}
	return New(Options{
		Dispatcher: d, Runner: fakeRunner{}, Views: func() *control.View { return view }, Events: recorder,
		Gatherer: prometheus.NewRegistry(), Settings: &pb.RequestSettings{MaxBodyBytes: 16, MaxHeaderBytes: 400},
		Ready: func() error { return errors.New("no configuration yet") },
	}), d, recorder
}

func call(h http.Handler, method, path, body string, headers ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w
}

// Guards against request or response headers that are not passed on.
func TestRequest(t *testing.T) {
	c := qt.New(t)
	h, d, _ := newHandler()
	w := call(h, "POST", "/v1/services/pickbook/requests", "body",
		"Request-Timeout", "250", "Idempotent", "true", "Team", "bookings", "Content-Type", "text/x")
	c.Assert(w.Code, qt.Equals, 201)
	c.Assert(w.Body.String(), qt.Equals, "done")
	c.Assert(w.Header().Get("Request-Id"), qt.Equals, testID)
	c.Assert(w.Header().Get("Event-Clock"), qt.Equals, "77")
	c.Assert(w.Header().Get("Content-Length"), qt.Equals, "4")
	c.Assert(d.got.GetService(), qt.Equals, "pickbook")
	c.Assert(d.got.GetTimeoutMs(), qt.Equals, int64(250))
	c.Assert(d.got.GetIdempotent(), qt.IsTrue)
	c.Assert(d.got.GetTeam(), qt.Equals, "bookings")
	c.Assert(string(d.got.GetBody()), qt.Equals, "body")
}

// Guards against error responses without the documented body, and against the
// outcome not_run for an id that an earlier call may have run.
func TestErrors(t *testing.T) {
	const requests = "/v1/services/pickbook/requests"
	for _, test := range []struct {
		name, method, path, body string
		headers                  []string
		status                   int
		outcome                  string
	}{
		{"body", "POST", requests, strings.Repeat("x", 17), nil, 413, "not_run"},
		{"body with id", "POST", requests, strings.Repeat("x", 17), []string{"Request-Id", testID}, 413, "unknown"},
		{"idempotent body with id", "POST", requests, strings.Repeat("x", 17), []string{"Request-Id", testID, "Idempotent", "true"}, 413, "not_run"},
		{"id", "POST", requests, "", []string{"Request-Id", "x"}, 400, "not_run"},
		{"timeout", "POST", requests, "", []string{"Request-Timeout", "-1"}, 400, "not_run"},
		{"timeout with id", "POST", requests, "", []string{"Request-Timeout", "1s", "Request-Id", testID}, 400, "unknown"},
		{"idempotent", "POST", requests, "", []string{"Idempotent", "yes"}, 400, "not_run"},
		{"clock", "POST", requests, "", []string{"Event-Clock", "9223372036854775807"}, 400, "not_run"},
		{"headers", "POST", requests, "", []string{"X", strings.Repeat("x", 400)}, 431, "not_run"},
		{"look-up", "GET", "/v1/requests/" + testID, "", nil, 404, "not_run"},
		{"look-up of no id", "GET", "/v1/requests/x", "", nil, 400, "unknown"},
		{"path", "GET", "/nowhere", "", nil, 404, "not_run"},
		{"method", "PUT", requests, "", nil, 405, "not_run"},
		{"job field", "POST", "/v1/jobs", `{"jobb":1}`, nil, 400, "not_run"},
		{"job name", "POST", "/v1/jobs", `{}`, nil, 400, "not_run"},
		{"job cancel", "DELETE", "/v1/jobs/" + testID, "", nil, 503, "not_run"},
		{"ready", "GET", "/readyz", "", nil, 503, "not_run"},
		{"event filter", "GET", "/events?ident=1", "", nil, 400, "not_run"},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			h, _, _ := newHandler()
			w := call(h, test.method, test.path, test.body, test.headers...)
			c.Assert(w.Code, qt.Equals, test.status)
			var body ErrorBody
			decoder := json.NewDecoder(w.Body)
			decoder.DisallowUnknownFields()
			c.Assert(decoder.Decode(&body), qt.IsNil)
			c.Assert(body.Outcome, qt.Equals, test.outcome)
			c.Assert(body.Step, qt.Not(qt.Equals), "")
			c.Assert(body.Error, qt.Not(qt.Equals), "")
			c.Assert(w.Header().Get("Event-Clock"), qt.Not(qt.Equals), "")
		})
	}
}

// Guards against memory that is taken for a body because its length was announced.
func TestAnnouncedBodyTakesNoMemory(t *testing.T) {
	c := qt.New(t)
	const limit = 64 << 20
	h := New(Options{Events: events.NewRecorder("entry-1", 10, events.NewClock(time.Now)), Settings: &pb.RequestSettings{MaxBodyBytes: limit}})
	r := httptest.NewRequest("POST", "/v1/services/pickbook/requests", strings.NewReader("only the beginning"))
	r.ContentLength = limit
	w := httptest.NewRecorder()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	h.ServeHTTP(w, r)
	runtime.ReadMemStats(&after)
	c.Assert(w.Code, qt.Equals, 400)
	c.Assert(after.TotalAlloc-before.TotalAlloc < limit/4, qt.IsTrue, qt.Commentf("%d bytes", after.TotalAlloc-before.TotalAlloc))
}

// Guards against event filters that are ignored.
func TestEventsFilter(t *testing.T) {
	c := qt.New(t)
	h, _, recorder := newHandler()
	recorder.Add(events.Event{Kind: "a", ID: testID, Team: "bookings"})
	recorder.Add(events.Event{Kind: "b", Worker: "w1", Team: "bookings"})
	lines := func(query string) int { return strings.Count(call(h, "GET", "/events"+query, "").Body.String(), "\n") }
	c.Assert(lines(""), qt.Equals, 2)
	c.Assert(lines("?id="+testID), qt.Equals, 1)
	c.Assert(lines("?team=bookings&worker=w1"), qt.Equals, 1)
	c.Assert(lines("?instance=entry-2"), qt.Equals, 0)
}

// Guards against job and status bodies that lose fields.
func TestJobsAndStatus(t *testing.T) {
	c := qt.New(t)
	h, _, _ := newHandler()
	w := call(h, "POST", "/v1/jobs", `{"job":"certificates"}`)
	c.Assert(w.Code, qt.Equals, 202)
	var job JobBody
	c.Assert(json.Unmarshal(w.Body.Bytes(), &job), qt.IsNil)
	c.Assert(job.State, qt.Equals, "queued")
	c.Assert(json.Unmarshal(call(h, "GET", "/v1/jobs/"+testID, "").Body.Bytes(), &job), qt.IsNil)
	c.Assert(job.Attempt, qt.Equals, int32(2))
	var status Status
	c.Assert(json.Unmarshal(call(h, "GET", "/v1/status", "").Body.Bytes(), &status), qt.IsNil)
	c.Assert(status.Partitions, qt.HasLen, 3)
	c.Assert(status.Partitions[2].Kind, qt.Equals, "jobs")
	c.Assert(call(h, "GET", "/healthz", "").Code, qt.Equals, 200)
	c.Assert(call(h, "GET", "/metrics", "").Code, qt.Equals, 200)
}

// Guards against headers that crash the parser or exceed its limits unnoticed.
func FuzzRequestHeaders(f *testing.F) {
	f.Add(testID, "100", "true", "bookings")
	f.Add("", "", "", "")
	f.Add("x.y", "-1", "TRUE", strings.Repeat("t", 200))
	f.Add(testID, "99999999999", "false", "\x00")
	f.Fuzz(func(t *testing.T, id, timeout, idempotent, team string) {
		h := http.Header{HeaderRequestID: {id}, HeaderTimeout: {timeout}, HeaderIdempotent: {idempotent}, HeaderTeam: {team}}
		req, err := requestFromHeaders(h)
		if err == nil && (req.GetTimeoutMs() < 0 || len(req.GetTeam()) > maxNameBytes) {
			t.Fatalf("accepted %v", req)
		}
	})
}
