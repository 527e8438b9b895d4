package remote

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Limits of the connections to the platform and to targets.
const (
	dialTimeout            = 2 * time.Second
	idleConnTimeout        = 30 * time.Second
	keepAliveIdle          = 2 * time.Second
	keepAliveInterval      = time.Second
	keepAliveCount         = 3
	maxResponseHeaderBytes = 64 << 10
	// deadlineSlackDivisor allows a silent connection to be closed early by the
	// timeout divided by this.
	deadlineSlackDivisor = 16
)

var errConnAborted = errors.New("connection closed after a failed call")

// trackedConn is a connection that records whether the newest call wrote to it
// and that fails if a call makes no progress in time.
type trackedConn struct {
	net.Conn
	progressTimeout time.Duration

	mu             sync.Mutex
	silenceTimeout time.Duration // for the next byte of the newest call
	// deadline is the current read and write deadline, zero for none.
	deadline   time.Time
	callNumber int // of the newest call
	active     bool
	written    bool // by the newest call
	aborted    bool
	retired    bool // no later call may use the connection
}

// begin starts a call and returns its number. The first byte of the response must
// arrive within firstByteTimeout, and each later one within the progress timeout.
func (c *trackedConn) begin(firstByteTimeout time.Duration) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.callNumber++
	c.aborted = c.aborted || c.retired
	c.active = true
	c.written = false
	c.silenceTimeout = firstByteTimeout
	c.extendDeadline()
	return c.callNumber
}

// end finishes a call. If the connection already serves the next call, that one
// keeps its deadline.
func (c *trackedConn) end(callNumber int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.callNumber != callNumber {
		return
	}
	c.active = false
	c.setDeadline(time.Time{})
	if c.retired {
		_ = c.Close()
	}
}

// retire finishes a call and keeps later calls off the connection. If it already serves
// the next call, that one is completed.
func (c *trackedConn) retire(callNumber int) {
	c.mu.Lock()
	c.retired = true
	c.mu.Unlock()
	c.end(callNumber)
}

// abort closes the connection and reports whether the call may have written a
// byte. After abort has returned false, the call writes no byte.
func (c *trackedConn) abort(callNumber int) bool {
	c.mu.Lock()
	written := c.written || c.callNumber != callNumber
	c.aborted = true
	c.mu.Unlock()
	_ = c.Close()
	return written
}

// extendDeadline postpones the deadline, unless the current one is nearly as late:
// each change resets two runtime timers. The caller holds mu.
func (c *trackedConn) extendDeadline() {
	if c.progressTimeout <= 0 || !c.active {
		return
	}
	wanted := time.Now().Add(c.silenceTimeout)
	if gain := wanted.Sub(c.deadline); gain < 0 || gain > c.silenceTimeout/deadlineSlackDivisor {
		c.setDeadline(wanted)
	}
}

// setDeadline sets the read and write deadline. It ignores the error of a closed
// connection, whose reads and writes fail anyway.
func (c *trackedConn) setDeadline(t time.Time) {
	c.deadline = t
	_ = c.SetDeadline(t)
}

// Read implements net.Conn.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.mu.Lock()
		c.silenceTimeout = c.progressTimeout
		c.extendDeadline()
		c.mu.Unlock()
	}
	return n, err
}

// Write implements net.Conn.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.aborted {
		c.mu.Unlock()
		return 0, errConnAborted
	}
	c.written = true
	c.extendDeadline()
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// newTransport returns a transport for one peer. It uses no proxy, follows no
// redirects and limits connections and header sizes. A progressTimeout of zero
// disables the deadlines for progress.
func newTransport(maxConnections int, progressTimeout time.Duration) *http.Transport {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
	}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &trackedConn{Conn: conn, progressTimeout: progressTimeout}, nil
		},
		DisableCompression:     true,
		MaxConnsPerHost:        maxConnections,
		MaxIdleConnsPerHost:    maxConnections,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
}
