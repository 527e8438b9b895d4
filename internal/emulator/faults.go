package emulator

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"time"
)

// inject applies the fault that is chosen for each command.
func (w *Worker) inject(next http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if id := r.Header.Get("X-Gooseberryreel-Target-Instance"); id != "" && id != w.ID {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		w.mu.Lock()
		choose, dead := w.fault, w.dead
		w.mu.Unlock()
		if dead {
			closeWithoutResponse(rw)
			return
		}
		fault := CommandOK
		if choose != nil {
			fault = choose(r.URL.Path)
		}
		switch fault {
		case CommandOK:
			next.ServeHTTP(rw, r)
		case CommandLoseResponse:
			next.ServeHTTP(httptest.NewRecorder(), r)
			closeWithoutResponse(rw)
		case CommandDelayed:
			var body json.RawMessage
			_ = json.NewDecoder(r.Body).Decode(&body) // an incomplete body is a command that never arrived
			late := r.Clone(context.WithValue(r.Context(), delayedKey{}, true))
			time.AfterFunc(faultDelay, func() {
				late.Body = http.NoBody
				if len(body) > 0 {
					late.Body = readCloser{&sliceReader{body}}
				}
				next.ServeHTTP(httptest.NewRecorder(), late)
			})
			closeWithoutResponse(rw)
		case CommandDropped:
			closeWithoutResponse(rw)
		}
	})
}

// delayedKey marks the context of a command that is executed late. It may rely on a
// capacity that the worker no longer has.
type delayedKey struct{}

type readCloser struct{ *sliceReader }

func (readCloser) Close() error { return nil }
