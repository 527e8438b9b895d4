package soak

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"gooseberryreel/internal/emulator"
	"gooseberryreel/internal/loopback"
)

// Guards against checks that accept an answer that is not whole or not the caller's,
// or a number of pending jobs that leaves out jobs that wait.
func TestAnswersAreChecked(t *testing.T) {
	for _, test := range []struct {
		name, body string
		status     int
		findings   int
		check      func(c *caller)
	}{
		{"state", `{"State":"queued"}`, 200, 0, askState},
		{"unknown state", `{"State":"lost"}`, 200, 1, askState},
		{"state cut short", `{"State":"que`, 200, 1, askState},
		{"empty state", ``, 200, 1, askState},
		{"no state", `{}`, 200, 1, askState},
		{"pending for a state", `{"Pending":3}`, 200, 1, askState},
		{"state for a cancellation", `{"State":"queued"}`, 200, 1, func(c *caller) { c.call(0, http.MethodDelete, "1", nil) }},
		{"unknown job", `{"State":"queued"}`, 200, 1, func(c *caller) { c.checkUnknown(0, 1) }},
		{"unknown job refused", `{}`, 503, 0, func(c *caller) { c.checkUnknown(0, 1) }},
		{"unknown job without a route", `{}`, 404, 1, func(c *caller) { c.checkUnknown(0, 1) }},
		{"half of the pending", `{"Pending":1}`, 200, 0, func(c *caller) { c.checkPending(0) }},
		{"under half of the pending", `{"Pending":0}`, 200, 1, func(c *caller) { c.checkPending(0) }},
		{"no pending", `{}`, 200, 1, func(c *caller) { c.checkPending(0) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(test.status)
				_, _ = io.WriteString(w, test.body)
			}))
			defer server.Close()
			old := time.Now().Add(-2 * pendingBound)
			d := &deployment{cluster: emulator.NewCluster(nil), jobs: map[string]*trackedJob{
				"1": {id: "1", accepted: old}, "2": {id: "2", accepted: old}, "3": {id: "3", accepted: old, cancelSent: true},
				"4": {id: "4", accepted: time.Now()}, "5": {id: "5"},
			}}
			d.processes = []*process{{callerProxy: &loopback.Proxy{Address: server.Listener.Addr().String()}}}
			test.check(newCaller(d, 0))
			qt.Assert(t, d.findings, qt.HasLen, test.findings)
		})
	}
}

func askState(c *caller) { c.call(0, http.MethodGet, "1", nil) }
