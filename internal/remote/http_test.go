package remote_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"gooseberryreel/internal/errs"
	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/remote"
	"gooseberryreel/internal/standin"
)

const (
	workerName = "north-w01"
	targetName = "pickbook-north-01"
	maxAnswer  = 1 << 16
)

func startSite(t *testing.T, modify func(*standin.Site)) *standin.RunningSite {
	t.Helper()
	site := standin.Site{
		Domains: []standin.Domain{{
			Name:    "north",
			Workers: []standin.WorkerGroup{{Count: 1}},
			Targets: []standin.TargetGroup{{Service: "pickbook", Count: 1, ServiceTimeMS: 1}},
		}},
		Workloads: []standin.Workload{{Name: "long", RunMS: 3_600_000}, {Name: "short", RunMS: 1}},
		Seed:      1,
	}
	if modify != nil {
		modify(&site)
	}
	running, err := standin.Start(site)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(running.Close)
	return running
}

func newTarget(t *testing.T, address string, options ...remote.TargetOption) remote.Target {
	t.Helper()
	target := remote.NewHTTPTarget(targetName, address, 8, maxAnswer, options...)
	t.Cleanup(target.Close)
	return target
}

func request(id string) remote.TargetRequest {
	return remote.TargetRequest{ID: id, Service: "pickbook", Body: []byte("tree 7"), Timeout: 10 * time.Second}
}

func invokeError(t *testing.T, err error) *remote.InvokeError {
	t.Helper()
	var e *remote.InvokeError
	qt.Assert(t, errors.As(err, &e), qt.IsTrue, qt.Commentf("%v", err))
	qt.Assert(t, e.Target, qt.Equals, targetName)
	return e
}

// Guards against an incomplete answer, or the answer to another request, that is
// returned as the answer.
func TestTargetRefusesWrongAnswers(t *testing.T) {
	site := startSite(t, nil)
	address := site.Addresses().Targets[targetName]
	for _, test := range []struct {
		name    string
		faults  standin.Faults
		timeout time.Duration
		cause   error
	}{
		{"half", standin.Faults{Half: true}, 10 * time.Second, remote.ErrAnswerIncomplete},
		{"wrong id", standin.Faults{WrongID: true}, 10 * time.Second, remote.ErrWrongRequestID},
		{"lost", standin.Faults{LoseAnswer: true}, 10 * time.Second, io.EOF},
		{"late", standin.Faults{LateMS: 3_600_000}, 100 * time.Millisecond, context.DeadlineExceeded},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			target := newTarget(t, address)
			c.Assert(site.SetFaults(targetName, test.faults), qt.IsNil)
			req := request("r1")
			req.Timeout = test.timeout
			_, err := target.Invoke(context.Background(), req)
			c.Assert(err, qt.ErrorIs, test.cause)
			c.Assert(invokeError(t, err).Sent, qt.IsTrue)
			c.Assert(invokeError(t, err).NotRun, qt.IsFalse)
			c.Assert(site.ClearFaults(targetName), qt.IsNil)
			answer, err := target.Invoke(context.Background(), request("r2"))
			c.Assert(err, qt.IsNil)
			c.Assert(string(answer.Body), qt.Equals, string(standin.ResponseBody("r2", []byte("tree 7"))))
		})
	}
}

// Guards against a duplicate answer that is returned as the answer to the next
// request on the connection.
func TestTargetAnswersTwice(t *testing.T) {
	for _, faults := range []standin.Faults{{Twice: true}, {Twice: true, TwiceLateMS: 5}} {
		t.Run(fmt.Sprintf("second up to %d ms late", faults.TwiceLateMS), func(t *testing.T) {
			c := qt.New(t)
			site := startSite(t, nil)
			target := newTarget(t, site.Addresses().Targets[targetName])
			c.Assert(site.SetFaults(targetName, faults), qt.IsNil)
			answered := 0
			for n := range 100 {
				id := fmt.Sprintf("r%d", n)
				answer, err := target.Invoke(context.Background(), request(id))
				if err != nil {
					continue
				}
				answered++
				c.Assert(string(answer.Body), qt.Equals, string(standin.ResponseBody(id, []byte("tree 7"))))
			}
			c.Assert(answered > 0, qt.IsTrue)
		})
	}
}

// Guards against waiting forever on a connection that went silent, and against the
// next attempt using another connection that was open at that time.
func TestTargetClosesSilentConnections(t *testing.T) {
	c := qt.New(t)
	site := startSite(t, nil)
	target := newTarget(t, site.Addresses().Targets[targetName], remote.WithProgressTimeout(200*time.Millisecond))
	var calls sync.WaitGroup
	for range 8 {
		calls.Go(func() { _, _ = target.Invoke(context.Background(), request("before")) })
	}
	calls.Wait()
	c.Assert(site.SetFaults(targetName, standin.Faults{SilentOpen: true}), qt.IsNil)
	silent := request("silent")
	silent.Timeout = 0 // only the progress deadline can end the call
	_, err := target.Invoke(context.Background(), silent)
	c.Assert(invokeError(t, err).Sent, qt.IsTrue)
	var netErr net.Error
	c.Assert(errors.As(err, &netErr) && netErr.Timeout(), qt.IsTrue, qt.Commentf("%v", err))
	_, err = target.Invoke(context.Background(), request("after"))
	c.Assert(err, qt.IsNil)
}

// Guards against the loss of a slow answer: the connection is silent for longer
// than the progress timeout while the target works.
func TestTargetFirstByteTimeout(t *testing.T) {
	c := qt.New(t)
	site := startSite(t, nil)
	target := newTarget(t, site.Addresses().Targets[targetName], remote.WithProgressTimeout(100*time.Millisecond))
	c.Assert(site.SetFaults(targetName, standin.Faults{LateMS: 400}), qt.IsNil)
	_, err := target.Invoke(context.Background(), request("cut"))
	c.Assert(invokeError(t, err).Sent, qt.IsTrue)
	late := request("late")
	late.FirstByteTimeout = late.Timeout
	answer, err := target.Invoke(context.Background(), late)
	c.Assert(err, qt.IsNil)
	c.Assert(string(answer.Body), qt.Equals, string(standin.ResponseBody("late", []byte("tree 7"))))
}

// Guards against an error that is wrong about whether the request may have been
// sent or run.
func TestTargetStatesWhetherSent(t *testing.T) {
	c := qt.New(t)
	site := startSite(t, nil)
	target := newTarget(t, site.Addresses().Targets[targetName])

	c.Assert(site.SetLeaving(targetName, true), qt.IsNil)
	_, err := target.Invoke(context.Background(), request("leaving"))
	c.Assert(err, qt.ErrorIs, remote.ErrNotRun)
	c.Assert(invokeError(t, err).NotRun, qt.IsTrue)
	c.Assert(invokeError(t, err).Leaving, qt.IsTrue)

	c.Assert(site.SetFaults(targetName, standin.Faults{Down: true}), qt.IsNil)
	_, err = target.Invoke(context.Background(), request("down"))
	c.Assert(invokeError(t, err).Sent, qt.IsFalse)
	c.Assert(invokeError(t, err).NotRun, qt.IsFalse)
}

// Guards against a retry by net/http after a reused connection broke: the server
// reads each request on a reused connection and closes it without an answer.
func TestTargetNeverSendsTwice(t *testing.T) {
	for _, body := range []string{"", "tree 7"} {
		t.Run("body "+body, func(t *testing.T) {
			c := qt.New(t)
			var failedRequests, warmRequests atomic.Int64
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
				if r.Header.Get("Request-Id") == "warm" {
					warmRequests.Add(1)
					return
				}
				failedRequests.Add(1)
				panic(http.ErrAbortHandler)
			}))
			defer server.Close()
			target := newTarget(t, server.Listener.Addr().String())
			const requests = 20
			for range requests {
				_, err := target.Invoke(context.Background(), request("warm"))
				c.Assert(err, qt.IsNil)
				req := request("once")
				req.Body = []byte(body)
				_, err = target.Invoke(context.Background(), req)
				c.Assert(invokeError(t, err).Sent, qt.IsTrue)
			}
			c.Assert(warmRequests.Load(), qt.Equals, int64(requests))
			c.Assert(failedRequests.Load(), qt.Equals, int64(requests))
		})
	}
}

// Guards against answers that exceed the limit or have no Content-Length, against
// following a redirect, and against a not-run statement for another request.
func TestTargetChecksHeaders(t *testing.T) {
	c := qt.New(t)
	var hits atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		hits.Add(1)
		id := r.Header.Get("Request-Id")
		w.Header().Set("Request-Id", id)
		switch id {
		case "large":
			w.Header().Set("Content-Length", strconv.Itoa(maxAnswer+1))
			_, _ = w.Write(make([]byte, maxAnswer+1))
		case "chunked":
			_ = http.NewResponseController(w).Flush()
			_, _ = w.Write([]byte("part"))
		case "redirect":
			w.Header().Set("Location", "/elsewhere")
			w.WriteHeader(http.StatusTemporaryRedirect)
		case "closing":
			w.Header().Set("Connection", "close")
		case "other":
			w.Header().Set("Request-Id", "x")
			w.Header().Set("Not-Run", "true")
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	defer server.Close()
	target := newTarget(t, server.Listener.Addr().String())
	for id, cause := range map[string]error{
		"large":   remote.ErrAnswerTooLarge,
		"chunked": remote.ErrNoContentLength,
		"other":   remote.ErrWrongRequestID,
	} {
		_, err := target.Invoke(context.Background(), request(id))
		c.Assert(err, qt.ErrorIs, cause)
		c.Assert(invokeError(t, err).NotRun, qt.IsFalse)
	}
	answer, err := target.Invoke(context.Background(), request("redirect"))
	c.Assert(err, qt.IsNil)
	c.Assert(answer.Status, qt.Equals, http.StatusTemporaryRedirect)
	c.Assert(answer.Closing, qt.IsFalse)
	answer, err = target.Invoke(context.Background(), request("closing"))
	c.Assert(err, qt.IsNil)
	c.Assert(answer.Closing, qt.IsTrue)
	c.Assert(hits.Load(), qt.Equals, int64(5))
}

// Guards against errors that don't name the step and the peer, and against a
// not-run outcome of an append that the log may have executed.
func TestLogErrors(t *testing.T) {
	c := qt.New(t)
	site := startSite(t, nil)
	log := remote.NewHTTPLog(site.LogURL())
	ctx := context.Background()
	c.Assert(site.SetFaults(standin.NameLog, standin.Faults{LoseAnswer: true}), qt.IsNil)
	_, err := log.Append(ctx, "config", [][]byte{[]byte("a")})
	var e *errs.Error
	c.Assert(errors.As(err, &e), qt.IsTrue)
	c.Assert(e.Outcome, qt.Equals, pb.Outcome_OUTCOME_UNKNOWN)
	c.Assert(e.Step, qt.Equals, "append to log")
	c.Assert(e.Peer, qt.Equals, "log "+site.LogURL())

	c.Assert(site.SetFaults(standin.NameLog, standin.Faults{Down: true}), qt.IsNil)
	_, err = log.Append(ctx, "config", [][]byte{[]byte("b")})
	c.Assert(errors.As(err, &e), qt.IsTrue)
	c.Assert(e.Outcome, qt.Equals, pb.Outcome_OUTCOME_NOT_RUN)

	c.Assert(site.ClearFaults(standin.NameLog), qt.IsNil)
	batch, err := log.Read(ctx, "config", 0, 10, 0)
	c.Assert(err, qt.IsNil)
	c.Assert(batch.Records, qt.HasLen, 1)
	c.Assert(string(batch.Records[0].Data), qt.Equals, "a")
}

// Guards against an append that returns the offset of another one, at a log that sends
// responses a second time, late or in part.
func TestAppendsAtLogThatRepeatsResponses(t *testing.T) {
	c := qt.New(t)
	const appends = 300
	site := startSite(t, nil)
	log := remote.NewHTTPLog(site.LogURL())
	ctx := context.Background()
	c.Assert(site.SetFaults(standin.NameLog, standin.Faults{Twice: true, TwiceLateMS: 5}), qt.IsNil)
	offsets := make(map[int64]string)
	notRun := make(map[string]bool)
	for n := range appends {
		record := strconv.Itoa(n)
		offset, err := log.Append(ctx, "config", [][]byte{[]byte(record)})
		if err == nil {
			offsets[offset] = record
			continue
		}
		var e *errs.Error
		c.Assert(errors.As(err, &e), qt.IsTrue)
		notRun[record] = e.Outcome == pb.Outcome_OUTCOME_NOT_RUN
	}
	t.Logf("%d of %d appends failed", len(notRun), appends)
	c.Assert(len(offsets) > appends*9/10, qt.IsTrue)
	c.Assert(site.ClearFaults(standin.NameLog), qt.IsNil)
	batch, err := remote.NewHTTPLog(site.LogURL()).Read(ctx, "config", 0, appends, 0)
	c.Assert(err, qt.IsNil)
	for offset, record := range offsets {
		c.Check(string(batch.Records[offset].Data), qt.Equals, record, qt.Commentf("offset %d", offset))
	}
	for _, record := range batch.Records {
		c.Check(notRun[string(record.Data)], qt.IsFalse, qt.Commentf("record %s", record.Data))
	}
}

// Guards against calls to the platform that reuse connections that went silent:
// several are open, and the first call after the failure must succeed.
func TestCallsCloseSilentConnections(t *testing.T) {
	c := qt.New(t)
	site := startSite(t, nil)
	list := remote.NewHTTPInstanceList(site.ListURL())
	var calls sync.WaitGroup
	for range 8 {
		calls.Go(func() { _, _ = list.List(context.Background()) })
	}
	calls.Wait()
	c.Assert(site.SetFaults(standin.NameList, standin.Faults{SilentOpen: true}), qt.IsNil)
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_, err := list.List(ctx)
	c.Assert(err, qt.ErrorIs, context.DeadlineExceeded)
	_, err = list.List(context.Background())
	c.Assert(err, qt.IsNil)
}

// Guards against accepting a malformed report, which would make running tasks look
// ended, listed instances look gone or records of the log look missing.
func TestMalformedReportsAreErrors(t *testing.T) {
	c := qt.New(t)
	var body string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, body)
	}))
	defer server.Close()
	ctx := context.Background()
	worker := remote.NewHTTPWorker("w", server.Listener.Addr().String())
	list := remote.NewHTTPInstanceList(server.URL)
	log := remote.NewHTTPLog(server.URL)
	for _, body = range []string{
		"", "{}", "{", `{"worker":"other","boot":"b"}`, `{"worker":"w"}`,
		`{"worker":"w","boot":"b","tasks":[{"job":"j","attempt":1,"state":"lost"}]}`,
	} {
		_, err := worker.Status(ctx)
		c.Assert(err, qt.ErrorMatches, `read worker status \(peer w\): .*`)
	}
	for _, body = range []string{
		"", "{", "{}", "[]", "5", `{"as_of_ms":1`, `{"as_of_ms":1}}`, `{"as_of_ms":0,"instances":[]}`, `{"as_of_ms":1e400,"instances":[]}`, `{"as_of_ms":1,"instances":{}}`, `{"as_of_ms":1,"instances":[`,
	} {
		_, err := list.List(ctx)
		c.Assert(err, qt.ErrorMatches, `read instance list \(peer instance list .*\): .*`)
	}
	for _, body = range []string{
		"{}", `{"first_retained":2,"next":1}`, `{"first_retained":0,"next":3,"records":[{"offset":1}]}`,
	} {
		_, err := log.Read(ctx, "s", 0, 10, 0)
		c.Assert(err, qt.ErrorMatches, `read log \(peer log .*\): .*`)
	}
}

// Guards against a row of another writer that hides the other rows of a list, which would
// then be followed no more, and against one that is taken for an instance.
func TestOddRowsLeaveTheOthersTheirEffect(t *testing.T) {
	const valid = `{"name":"odd","kind":"worker","domain":"d","address":"1.2.3.4:5","rack":"r","state":"live","service":"s","worker":"w","slots":1,"connections":2,"cpu_milli":3,"memory_mib":4,"accelerators":5}`
	first, last := strings.Replace(valid, "odd", "first", 1), strings.Replace(valid, "odd", "last", 1)
	nested := strings.Repeat("[", 200_000) + strings.Repeat("]", 200_000)
	odd := map[string][]string{
		`"1.2.3.4:5"`: {`"1.2.3.4:99999"`, `"1.2.3.4:-1"`, `"1.2.3.4:0"`, `"nonsense"`, `""`},
		`"live"`:      {`"gone"`, `""`}, `"worker",`: {`"other",`, `"",`}, `"odd"`: {`""`, `"first"`},
	}
	for _, field := range []string{`"odd"`, `"d"`, `"1.2.3.4:5"`, `"r"`, `"live"`, `"s"`, `"w"`} {
		odd[field] = append(odd[field], nested, "5", `{"a":["]"]}`)
	}
	for _, field := range []string{`:1,`, `:2,`, `:3,`, `:4,`, `:5}`} {
		end := field[2:]
		for _, value := range []string{nested, "1e300", "1e400", "9223372036854775808", "1125899906842624", "-1", `"1"`} {
			odd[field] = append(odd[field], ":"+value+end)
		}
	}
	rows := []string{nested, "5", "null", "{}", `"a"`, `{"name":"odd","extra":` + nested + "}"}
	for field, values := range odd {
		qt.Assert(t, strings.Count(valid, field), qt.Equals, 1, qt.Commentf("%s", field))
		for _, value := range values {
			rows = append(rows, strings.Replace(valid, field, value, 1))
		}
	}
	for _, row := range rows {
		listing, err := remote.DecodeListing([]byte(` { "instances" : [` + first + ", " + row + "\n," + last + `], "other":[{"]":"\""}], "as_of_ms":7 } `))
		qt.Assert(t, err, qt.IsNil, qt.Commentf("%.60s", row))
		qt.Check(t, len(listing.Instances), qt.Equals, 2, qt.Commentf("%.200s", row))
		qt.Check(t, len(listing.Unreadable), qt.Equals, 1, qt.Commentf("%.200s", row))
		qt.Check(t, listing.Instances[0].Name+listing.Instances[len(listing.Instances)-1].Name, qt.Equals, "firstlast")
	}
	listing, err := remote.DecodeListing([]byte(`{"as_of_ms":7,"instances":[` + first + "," + valid + `]}`))
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, listing.Unreadable, qt.HasLen, 0)
	qt.Check(t, listing.Instances[1].Capacity, qt.Equals, remote.Resources{CPUMilli: 3, MemoryMiB: 4, Accelerators: 5})
}
