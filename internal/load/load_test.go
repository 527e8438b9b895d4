package load

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"

	"gooseberryreel/internal/history"
)

// entryServer is a fake entry instance.
type entryServer struct {
	*httptest.Server
	mu       sync.Mutex
	notReady bool
	requests int
	invoke   func(id string, body []byte) (int, []byte)
	lookUp   func(id string) []byte
}

func newEntryServer(t *testing.T, invoke func(string, []byte) (int, []byte)) *entryServer {
	s := &entryServer{invoke: invoke}
	s.Server = httptest.NewServer(http.HandlerFunc(s.serve))
	t.Cleanup(s.Close)
	return s
}

func (s *entryServer) entry() Entry {
	return Entry{Domain: "perth-hills", Address: strings.TrimPrefix(s.URL, "http://")}
}

func (s *entryServer) serve(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	s.mu.Lock()
	notReady := s.notReady
	s.mu.Unlock()
	if r.URL.Path == "/readyz" {
		if notReady {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	if id, ok := strings.CutPrefix(r.URL.Path, "/v1/requests/"); ok {
		_, _ = w.Write(s.lookUp(id))
		return
	}
	s.mu.Lock()
	s.requests++
	s.mu.Unlock()
	status, answer := s.invoke(r.Header.Get("Request-Id"), body)
	w.WriteHeader(status)
	_, _ = w.Write(answer)
}

func goodAnswer(id string, body []byte) (int, []byte) {
	return http.StatusOK, Request{ID: id, Body: body}.ExpectedBody()
}

func testOptions(entries ...Entry) Options {
	return Options{
		Entries: entries, Seed: 7, Rate: 2000, Duration: 10 * time.Second, MaxCount: 40, MaxInFlight: 100,
		Service: "pickbook", Timeout: 30 * time.Second, ShortTimeout: 30 * time.Second, BodyBytes: 16, NonIdempotent: 0.5, Duplicates: 0.5,
	}
}

// Guards against plans that differ between runs with the same seed, and against
// plans that exceed MaxCount or Duration.
func TestPlanIsRepeatableAndBounded(t *testing.T) {
	c := qt.New(t)
	opts := testOptions(Entry{Domain: "a"}, Entry{Domain: "b"})
	plan := planRequests(opts)
	c.Assert(plan, qt.HasLen, 40)
	again := planRequests(opts)
	for i := range plan {
		c.Assert(plan[i], qt.Equals, again[i])
	}
	opts.Duration = 0
	c.Assert(planRequests(opts), qt.HasLen, 0)
}

// Guards against ids that entry instances reject.
func TestMakeID(t *testing.T) {
	c := qt.New(t)
	at := time.UnixMilli(1_700_000_000_123)
	domain, text, _ := strings.Cut(makeID("perth-hills", at, [10]byte{0xff, 0xff, 0xff, 0xff}), ".")
	c.Assert(domain, qt.Equals, "perth-hills")
	id, err := uuid.Parse(text)
	c.Assert(err, qt.IsNil)
	c.Assert(int(id.Version()), qt.Equals, 7)
	c.Assert(id.Variant(), qt.Equals, uuid.RFC4122)
	seconds, nanos := id.Time().UnixTime()
	c.Assert(time.Unix(seconds, nanos).UnixMilli(), qt.Equals, at.UnixMilli())
}

// Guards against a load that waits for a response before it sends the next
// request: the entry instance answers no request before all have arrived.
func TestArrivalsDoNotWaitForResponses(t *testing.T) {
	c := qt.New(t)
	opts := testOptions()
	opts.Duplicates = 0
	all := make(chan struct{})
	var mu sync.Mutex
	arrived := 0
	server := newEntryServer(t, func(id string, body []byte) (int, []byte) {
		mu.Lock()
		if arrived++; arrived == opts.MaxCount {
			close(all)
		}
		mu.Unlock()
		<-all
		return goodAnswer(id, body)
	})
	opts.Entries = []Entry{server.entry()}
	client := NewClient("c", nil)
	defer client.Close()
	report := Run(context.Background(), opts, client)
	c.Assert(report.Outcomes[history.OutcomeOK], qt.Equals, int64(opts.MaxCount))
	c.Assert(report.Latencies[classAll].Count, qt.Equals, int64(opts.MaxCount))
}

// Guards against calls that are missing from the history, and against calls to an
// instance that isn't ready.
func TestHistoryHasEveryCall(t *testing.T) {
	c := qt.New(t)
	ready, notReady := newEntryServer(t, goodAnswer), newEntryServer(t, goodAnswer)
	notReady.notReady = true
	var file bytes.Buffer
	out := history.NewWriter(&file)
	client := NewClient("c", out)
	report := Run(context.Background(), testOptions(ready.entry(), notReady.entry()), client)
	c.Assert(client.Close(), qt.IsNil)
	c.Assert(out.Flush(), qt.IsNil)
	ops, err := history.Read("h", &file)
	c.Assert(err, qt.IsNil)
	c.Assert(len(ops), qt.Equals, ready.requests)
	c.Assert(report.Requests, qt.Equals, int64(ready.requests))
	c.Assert(len(ops) > 40, qt.IsTrue, qt.Commentf("duplicates were sent"))
	c.Assert(notReady.requests, qt.Equals, 0)
	c.Assert(history.CheckAnswers(ops).Checked, qt.Equals, len(ops))
	c.Assert(history.CheckAnswers(ops).Violations, qt.HasLen, 0)
}

// Guards against answers to other requests that count as correct, and against
// outcomes that are not read from the error body.
func TestWrongAnswersAndFailures(t *testing.T) {
	c := qt.New(t)
	server := newEntryServer(t, func(id string, body []byte) (int, []byte) {
		if id[len(id)-1]%2 == 0 {
			return http.StatusOK, []byte("another answer")
		}
		failure, _ := json.Marshal(ErrorBody{Outcome: history.OutcomeNotRun, Step: "queue"})
		return http.StatusTooManyRequests, failure
	})
	opts := testOptions(server.entry())
	opts.Duplicates = 0
	client := NewClient("c", nil)
	defer client.Close()
	report := Run(context.Background(), opts, client)
	c.Assert(report.Wrong > 0, qt.IsTrue)
	c.Assert(report.Wrong, qt.Equals, report.Outcomes[history.OutcomeOK])
	c.Assert(report.Failures["not_run/queue/429"], qt.Equals, int64(opts.MaxCount)-report.Wrong)
	var text bytes.Buffer
	c.Assert(report.WriteText(&text), qt.IsNil)
	c.Assert(text.String(), qt.Contains, "not_run/queue/429")
}

// Guards against job statuses that are decoded wrongly, and against final states
// that map to the wrong outcome.
func TestParseJob(t *testing.T) {
	c := qt.New(t)
	status, err := parseJob([]byte(`{"id":"a","job":"report","state":"done","attempt":2,"evictions":1}`))
	c.Assert(err, qt.IsNil)
	c.Check(status, qt.Equals, JobStatus{ID: "a", State: "done", Attempt: 2, Evictions: 1})
	c.Check(status.Ended(), qt.IsTrue)
	c.Check(JobOutcome(status, true), qt.Equals, history.OutcomeOK)
	c.Check(JobOutcome(JobStatus{State: "running"}, false), qt.Equals, history.OutcomeUnknown)
	c.Check(JobOutcome(JobStatus{State: "cancelled"}, true), qt.Equals, history.OutcomeRefused)
	_, err = parseJob([]byte(`"done"`))
	c.Check(err, qt.ErrorMatches, "decode job: .*")
}

// Guards against late answers that are not looked up, and against look-ups of
// requests that were refused and have no answer.
func TestLateAnswersAreLookedUp(t *testing.T) {
	c := qt.New(t)
	late, refused := 0, 0
	var mu sync.Mutex
	answers := make(map[string][]byte)
	server := newEntryServer(t, func(id string, body []byte) (int, []byte) {
		mu.Lock()
		defer mu.Unlock()
		_, answers[id] = goodAnswer(id, body)
		failure := ErrorBody{Outcome: history.OutcomeUnknown, Step: "answer"}
		status := http.StatusGatewayTimeout
		if id[len(id)-1]%2 == 0 {
			failure.Step, status = "takeover", http.StatusServiceUnavailable
			refused++
		} else {
			late++
		}
		text, _ := json.Marshal(failure)
		return status, text
	})
	server.lookUp = func(id string) []byte {
		mu.Lock()
		defer mu.Unlock()
		return answers[id]
	}
	opts := testOptions(server.entry())
	opts.Duplicates, opts.NonIdempotent, opts.Late = 0, 1, 1
	client := NewClient("c", nil)
	defer client.Close()
	report := Run(context.Background(), opts, client)
	c.Assert(late > 0 && refused > 0, qt.IsTrue)
	c.Assert(report.LookUps, qt.Equals, int64(late))
	c.Assert(report.Found, qt.Equals, int64(late))
	c.Assert(report.Wrong, qt.Equals, int64(0))
}

// Guards against a report that counts the state of another job as an answer.
func TestAnswerAboutAnotherJobIsWrong(t *testing.T) {
	c := qt.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, `{"id":"a","job":"report","state":"done"}`)
	}))
	defer server.Close()
	entry := Entry{Domain: "perth-hills", Address: strings.TrimPrefix(server.URL, "http://")}
	client := NewClient("test", nil)
	_, result := client.GetJob(context.Background(), entry, "a")
	c.Check(result.Outcome, qt.Equals, history.OutcomeOK)
	_, result = client.GetJob(context.Background(), entry, "b")
	c.Check(result.Outcome, qt.Equals, history.OutcomeUnknown)

	opts := testOptions(entry)
	opts.MaxCount, opts.Jobs, opts.JobRate, opts.Duration, opts.JobWait = 3, []string{"report"}, 100, 100*time.Millisecond, 0
	opts.Rate = 0
	report := Run(context.Background(), opts, NewClient("test", nil))
	c.Check(report.Jobs > 0, qt.IsTrue)
	c.Check(report.Wrong, qt.Equals, report.Jobs)
}
