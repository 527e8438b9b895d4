package emulator

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"

	"gooseberryreel/internal/loopback"
)

// startServer starts a server whose responses are repeated as drawn for each call.
func startServer(handler http.Handler, draw func() *loopback.Repetition) *httptest.Server {
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		loopback.Serve(w, r, handler, draw())
	}))
	server.Config.ConnContext = loopback.ConnContext
	server.Start()
	return server
}

// Repeat sets which responses of the endpoint are repeated, as copies; nil clears it.
func (e *Endpoint) Repeat(r *loopback.Repeater) { e.repeater.Store(r) }

// Repeat sets which responses of the worker are repeated, as copies or with its state
// of that time; nil clears it.
func (w *Worker) Repeat(r *loopback.Repeater) { w.repeater.Store(r) }

func (w *Worker) drawRepetition() *loopback.Repetition {
	repetition := w.repeater.Load().Draw()
	if repetition != nil && repetition.Fresh {
		repetition.Rewrite = w.freshBody
	}
	return repetition
}

// freshBody returns the body of a response with the worker's clock and attempts of now.
func (w *Worker) freshBody(body []byte) []byte {
	var fields map[string]any
	if json.Unmarshal(body, &fields) != nil {
		return body // a response without a body
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	fields["ClockMs"] = w.clock().Milliseconds()
	if _, isHold := fields["Active"]; isHold {
		fields["Active"], fields["Finished"] = w.lists()
	}
	fresh, err := json.Marshal(fields)
	if err != nil {
		return body
	}
	return fresh
}
