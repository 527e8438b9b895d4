package standin

import (
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Faults is the faults of one server. The zero value is no fault.
type Faults struct {
	// Down closes the listener and all connections, so that new connections
	// are refused.
	Down bool `json:"down,omitempty"`
	// SlowMS delays each call before it takes effect.
	SlowMS int64 `json:"slow_ms,omitempty"`
	// LoseAnswer closes the connection without a response after a call took
	// effect.
	LoseAnswer bool `json:"lose_answer,omitempty"`
	// Freeze holds back all input and output, like a suspended process. Calls take
	// effect once the fault ends.
	Freeze bool `json:"freeze,omitempty"`
	// SilentOpen discards all traffic of the connections that are open when the
	// fault is set, also after it ends. New connections work.
	SilentOpen bool `json:"silent_open,omitempty"`
	// LateMS delays the response to a call that took effect.
	LateMS int64 `json:"late_ms,omitempty"`
	// Half truncates responses in the middle of the body and closes the
	// connection.
	Half bool `json:"half,omitempty"`
	// Twice sends each response twice on the connection.
	Twice bool `json:"twice,omitempty"`
	// TwiceLateMS is the longest delay of the second response of Twice, of which a
	// part is sent at times. 0 sends both at once.
	TwiceLateMS int64 `json:"twice_late_ms,omitempty"`
	// WrongID makes targets respond with another request id.
	WrongID bool `json:"wrong_id,omitempty"`
	// FailStarted makes a worker fail each task that it starts, and a target
	// respond to each request with status 500.
	FailStarted bool `json:"fail_started,omitempty"`
	// Percent is the percentage of calls that lose_answer, late_ms, half, twice
	// and wrong_id apply to; 0 means all.
	Percent int `json:"percent,omitempty"`
}

// FaultRequest is the body of POST /faults. It replaces all faults of the server;
// an empty object clears them.
type FaultRequest struct {
	Faults
	// Leaving makes a worker or target reject new work and be listed as leaving.
	Leaving bool `json:"leaving,omitempty"`
	// Restart ends all tasks of a worker and gives it a new boot id.
	Restart bool `json:"restart,omitempty"`
}

func (f Faults) validate() error {
	if f.SlowMS < 0 || f.LateMS < 0 || f.TwiceLateMS < 0 || f.Percent < 0 || f.Percent > 100 {
		return errors.New("faults: delays must not be negative and percent must be 0 to 100")
	}
	return nil
}

// response is the response to a call before faults are applied to it.
type response struct {
	status    int
	header    http.Header
	body      []byte
	closeConn bool // sends the header Connection: close
}

func newResponse(status int, body []byte) *response {
	return &response{status: status, header: make(http.Header), body: body}
}

// sleep waits for d unless the server closes first.
func (s *server) sleep(d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.closed:
	}
}
