package remote

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"gooseberryreel/internal/remote/wire"
)

// DefaultProgressTimeout is how long a target may send no byte while a request
// is open on a connection, unless WithProgressTimeout sets another value.
const DefaultProgressTimeout = 5 * time.Second

// Causes of an InvokeError that concern an answer. After ErrAnswerTooLarge the
// target has run the request, after ErrNotRun it has not, and after the others it
// may have.
var (
	ErrAnswerTooLarge   = errors.New("answer is larger than the limit")
	ErrAnswerIncomplete = errors.New("answer is incomplete")
	ErrWrongRequestID   = errors.New("answer carries another request id")
	// ErrNoContentLength means that the client cannot check whether the answer is
	// complete.
	ErrNoContentLength = errors.New("answer has no Content-Length")
	// ErrNotRun means that the target stated that it did not run the request.
	ErrNotRun = errors.New("target did not run the request")
)

// TargetOption configures a target client.
type TargetOption func(*httpTarget)

// WithProgressTimeout sets how long a connection with an open request may be
// silent before it is closed.
func WithProgressTimeout(d time.Duration) TargetOption {
	return func(t *httpTarget) { t.progressTimeout = d }
}

type httpTarget struct {
	name             string
	address          string
	answerLimitBytes int64
	progressTimeout  time.Duration
	transport        *http.Transport
	// checksDisabled returns answers without checking their request id and
	// completeness. Tests set it to show what the checks prevent.
	checksDisabled bool
}

// NewHTTPTarget returns a client of the target at an IP address and port. It
// never retries a request.
func NewHTTPTarget(name, address string, maxConnections int, maxAnswerBytes int64, options ...TargetOption) Target {
	t := &httpTarget{name: name, address: address, answerLimitBytes: maxAnswerBytes, progressTimeout: DefaultProgressTimeout}
	for _, option := range options {
		option(t)
	}
	t.transport = newTransport(maxConnections, t.progressTimeout)
	return t
}

// Close implements Target.
func (t *httpTarget) Close() { t.transport.CloseIdleConnections() }

// Invoke implements Target.
func (t *httpTarget) Invoke(ctx context.Context, req TargetRequest) (TargetAnswer, error) {
	if deadline, ok := ctx.Deadline(); req.Timeout > 0 && (!ok || time.Until(deadline) > req.Timeout) {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, req.Timeout)
		defer cancel()
	}
	call := &trackedCall{firstByteTimeout: max(req.FirstByteTimeout, t.progressTimeout)}
	answer, err := t.exchange(call.trace(ctx), req)
	if err == nil {
		call.end()
		return answer, nil
	}
	var invokeErr *InvokeError
	if !errors.As(err, &invokeErr) {
		invokeErr = &InvokeError{Cause: err}
	}
	invokeErr.Target = t.name
	if invokeErr.NotRun {
		invokeErr.Sent = true
		// The next attempt has the same id: on this connection, a repetition of the
		// refusal would be taken for its response.
		call.retire()
		return TargetAnswer{}, invokeErr
	}
	invokeErr.Sent = call.abort()
	// After a silent or broken connection the idle ones may be dead as well, so
	// the next attempt dials.
	t.transport.CloseIdleConnections()
	return TargetAnswer{}, invokeErr
}

// exchange makes one HTTP exchange and checks the answer.
func (t *httpTarget) exchange(ctx context.Context, req TargetRequest) (TargetAnswer, error) {
	httpReq, err := t.newRequest(ctx, req)
	if err != nil {
		return TargetAnswer{}, err
	}
	resp, err := t.transport.RoundTrip(httpReq)
	if err != nil {
		return TargetAnswer{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	if got := resp.Header.Get(wire.HeaderRequestID); got != req.ID && !t.checksDisabled {
		return TargetAnswer{}, errors.Wrapf(ErrWrongRequestID, "got %.100q, want %q", got, req.ID)
	}
	if resp.ContentLength < 0 {
		return TargetAnswer{}, ErrNoContentLength
	}
	if resp.ContentLength > t.answerLimitBytes {
		return TargetAnswer{}, errors.Wrapf(ErrAnswerTooLarge, "%d bytes, limit %d", resp.ContentLength, t.answerLimitBytes)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, t.answerLimitBytes+1))
	if err != nil && !t.checksDisabled {
		return TargetAnswer{}, fmt.Errorf("%w: %w", ErrAnswerIncomplete, err)
	}
	if int64(len(body)) != resp.ContentLength && !t.checksDisabled {
		return TargetAnswer{}, errors.Wrapf(ErrAnswerIncomplete, "%d of %d bytes", len(body), resp.ContentLength)
	}
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(wire.HeaderNotRun) == "true" {
		return TargetAnswer{}, &InvokeError{NotRun: true, Leaving: resp.Close, Cause: ErrNotRun}
	}
	return TargetAnswer{
		Status:      resp.StatusCode,
		Body:        body,
		ContentType: resp.Header.Get("Content-Type"),
		Closing:     resp.Close,
	}, nil
}

// newRequest builds a POST that net/http does not retry: it has no GetBody and no
// Idempotency-Key.
func (t *httpTarget) newRequest(ctx context.Context, req TargetRequest) (*http.Request, error) {
	endpoint := "http://" + t.address + "/v1/invoke/" + url.PathEscape(req.Service)
	httpReq, err := http.NewRequestWithContext(ctx, http.MethodPost, endpoint, nil)
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	if len(req.Body) > 0 {
		httpReq.Body = io.NopCloser(bytes.NewReader(req.Body))
		httpReq.ContentLength = int64(len(req.Body))
	}
	httpReq.Header.Set(wire.HeaderRequestID, req.ID)
	if req.ContentType != "" {
		httpReq.Header.Set("Content-Type", req.ContentType)
	}
	if deadline, ok := ctx.Deadline(); ok {
		left := max(time.Until(deadline).Milliseconds(), 1)
		httpReq.Header.Set(wire.HeaderRequestTimeout, strconv.FormatInt(left, 10))
	}
	return httpReq, nil
}

// trackedCall tracks one HTTP exchange on its connection.
type trackedCall struct {
	mu         sync.Mutex
	conn       *trackedConn
	callNumber int
	// firstByteTimeout bounds the time until the first byte of the response.
	firstByteTimeout time.Duration
	// untracked is set if the connection was not created by newTransport's dialer.
	untracked bool
	// aborted prevents the use of a connection that is assigned after the failure.
	aborted bool
}

// trace returns a context that reports the connection of the exchange.
func (c *trackedCall) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { c.gotConn(info.Conn) },
	})
}

func (c *trackedCall) gotConn(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	tracked, ok := conn.(*trackedConn)
	if !ok {
		c.untracked = true
		return
	}
	c.conn = tracked
	c.callNumber = tracked.begin(c.firstByteTimeout)
	if c.aborted {
		tracked.abort(c.callNumber)
	}
}

func (c *trackedCall) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		c.conn.end(c.callNumber)
	}
}

func (c *trackedCall) retire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		c.conn.retire(c.callNumber)
	}
}

// first reports whether the call is the first on its connection.
func (c *trackedCall) first() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.conn != nil && c.callNumber == 1
}

// abort closes the call's connection and reports whether a byte of the request
// may have been sent.
func (c *trackedCall) abort() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.aborted = true
	if c.conn == nil {
		return c.untracked
	}
	return c.conn.abort(c.callNumber)
}
