package remote

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"gooseberryreel/internal/remote/wire"
)

// Guards guarantee G4 against incomplete answers and answers to another request:
// Invoke returns an error for both. With the checks disabled it returns them, which
// shows that the test would notice missing checks.
func TestAnswerChecks(t *testing.T) {
	for _, test := range []struct {
		name   string
		answer func(w http.ResponseWriter, id string)
	}{
		{"half", func(w http.ResponseWriter, id string) {
			w.Header().Set(wire.HeaderRequestID, id)
			w.Header().Set("Content-Length", "100")
			_, _ = fmt.Fprint(w, "half")
		}},
		{"another request", func(w http.ResponseWriter, id string) {
			w.Header().Set(wire.HeaderRequestID, "other-"+id)
			_, _ = fmt.Fprint(w, "answer to another request")
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				test.answer(w, r.Header.Get(wire.HeaderRequestID))
			}))
			defer server.Close()
			target := NewHTTPTarget("t", strings.TrimPrefix(server.URL, "http://"), 1, 1000).(*httpTarget)
			defer target.Close()
			request := TargetRequest{ID: "r1", Service: "echo", Body: []byte("x"), Timeout: 30 * time.Second}
			answer, err := target.Invoke(context.Background(), request)
			qt.Assert(t, err, qt.IsNotNil)
			qt.Assert(t, answer.Body, qt.HasLen, 0)
			target.checksDisabled = true
			answer, err = target.Invoke(context.Background(), request)
			qt.Assert(t, err, qt.IsNil, qt.Commentf("the test does not detect that the checks are disabled"))
			qt.Assert(t, len(answer.Body) > 0, qt.IsTrue)
		})
	}
}
