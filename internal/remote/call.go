package remote

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"gooseberryreel/internal/errs"
	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/remote/wire"
)

// Limits for calls to the platform.
const (
	defaultCallTimeout     = 5 * time.Second
	maxPlatformConnections = 16
	maxLogResponseBytes    = 32 << 20
	maxListResponseBytes   = 16 << 20
	maxWorkerResponseBytes = 8 << 20
	maxRefusalBytes        = 4 << 10 // of the body of a 4xx response
	maxReadRecords         = 10000
	// mismatchTimeout is how long calls have a connection each after a response to
	// another call.
	mismatchTimeout = time.Minute
)

// errNotModified means that the resource still has the entity tag of the request.
var errNotModified = errors.New("not modified")

// errOtherResponse means that a response may belong to another call.
var errOtherResponse = errors.New("response does not have the id of the call")

// client makes JSON calls to one peer. HTTP/1.1 matches responses to requests only by
// their order, so a response that the peer sends twice is read as that to the next call
// on the connection. Therefore a connection carries one call, or several if each
// response echoes the id of its call.
type client struct {
	peer             string // name in error messages
	base             string // URL without a final slash
	maxResponseBytes int64
	transport        *http.Transport
	idPrefix         string // of the ids of calls, differs between clients
	calls            atomic.Uint64
	// noIDs is set while the responses of the peer have no ids of calls.
	noIDs atomic.Bool
	// mismatchAt is when a response was last not that to its call, in Unix nanoseconds.
	mismatchAt atomic.Int64
}

// conditionalGet makes a GET conditional on the entity tag of an earlier response.
type conditionalGet struct {
	etag string
	// header is the header of the response.
	header http.Header
}

func newClient(peer, base string, maxResponseBytes int64) *client {
	return &client{
		peer:             peer,
		base:             strings.TrimRight(base, "/"),
		maxResponseBytes: maxResponseBytes,
		transport:        newTransport(maxPlatformConnections, 0),
		idPrefix:         strconv.FormatUint(rand.Uint64(), 16) + "-",
	}
}

// do makes one call with the default timeout extended by wait. A nil in sends no
// body; a nil out ignores the body of the response. The error is an *errs.Error
// whose cause is a *RefusedError if the peer stated that the call had no effect.
func (c *client) do(ctx context.Context, step, method, path string, wait time.Duration, in, out any) error {
	return c.doConditional(ctx, step, method, path, wait, in, out, nil)
}

// doConditional is do with a condition, nil for none. It returns errNotModified
// and leaves out unchanged if the resource still has the condition's entity tag.
func (c *client) doConditional(ctx context.Context, step, method, path string, wait time.Duration, in, out any, cond *conditionalGet) error {
	ctx, cancel := context.WithTimeout(ctx, wait+defaultCallTimeout)
	defer cancel()
	call := &trackedCall{}
	defer func() {
		if c.oneCallEach() {
			c.transport.CloseIdleConnections()
		}
	}()
	err := c.exchange(ctx, call, method, path, in, out, cond)
	if err == nil || errors.Is(err, errNotModified) {
		call.end()
		return err
	}
	var refused *RefusedError
	if errors.As(err, &refused) {
		call.end()
		failure := errs.Wrap(step, c.peer, pb.Outcome_OUTCOME_NOT_RUN, err)
		failure.Retry = refused.Status == http.StatusTooManyRequests
		return failure
	}
	outcome := pb.Outcome_OUTCOME_UNKNOWN
	if !call.abort() {
		outcome = pb.Outcome_OUTCOME_NOT_RUN
	}
	// Other idle connections may be dead as well.
	c.transport.CloseIdleConnections()
	return errs.Wrap(step, c.peer, outcome, err).WithRetry()
}

// exchange makes one HTTP exchange. A 4xx response becomes a *RefusedError.
func (c *client) exchange(ctx context.Context, call *trackedCall, method, path string, in, out any, cond *conditionalGet) error {
	req, err := c.newRequest(call.trace(ctx), method, path, in)
	if err != nil {
		return err
	}
	if cond != nil && cond.etag != "" {
		req.Header.Set("If-None-Match", cond.etag)
	}
	id := c.idPrefix + strconv.FormatUint(c.calls.Add(1), 10)
	req.Header.Set(wire.HeaderCallID, id)
	req.Close = c.oneCallEach()
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if err := c.checkResponse(resp, id, call); err != nil {
		return err
	}
	if cond != nil {
		cond.header = resp.Header
		if resp.StatusCode == http.StatusNotModified && cond.etag != "" {
			return errNotModified
		}
	}
	if resp.StatusCode >= 400 && resp.StatusCode < 500 {
		return &RefusedError{Peer: c.peer, Reason: refusalReason(resp), Status: resp.StatusCode}
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("response has status %d", resp.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, c.maxResponseBytes+1))
	if err != nil {
		return errors.Wrap(err, "read response")
	}
	if int64(len(body)) > c.maxResponseBytes {
		return errors.Wrapf(ErrAnswerTooLarge, "limit %d bytes", c.maxResponseBytes)
	}
	if out == nil {
		return nil
	}
	if raw, ok := out.(*json.RawMessage); ok {
		*raw = body // the caller decodes it
		return nil
	}
	return errors.Wrap(json.Unmarshal(body, out), "decode response")
}

// checkResponse returns an error if a response may be, or contain a part of, that to
// another call. The first response on a connection needs no id.
func (c *client) checkResponse(resp *http.Response, id string, call *trackedCall) error {
	ids := resp.Header.Values(wire.HeaderCallID)
	c.noIDs.Store(len(ids) == 0)
	echoed := len(ids) == 1 && ids[0] == id
	if call.first() && (echoed || len(ids) == 0) || echoed && !isSpliced(resp) {
		return nil
	}
	c.mismatchAt.Store(time.Now().UnixNano())
	return errOtherResponse
}

// oneCallEach reports whether calls have a connection each.
func (c *client) oneCallEach() bool {
	return c.noIDs.Load() || time.Since(time.Unix(0, c.mismatchAt.Load())) < mismatchTimeout
}

// isSpliced reports whether the head of a response contains the beginning of another
// one: the end of the earlier one is missing, so both are parsed as one.
func isSpliced(resp *http.Response) bool {
	const version = "HTTP/1."
	if strings.Contains(resp.Status, version) {
		return true
	}
	for _, values := range resp.Header {
		if slices.ContainsFunc(values, func(v string) bool { return strings.Contains(v, version) }) {
			return true
		}
	}
	return false
}

// newRequest builds a request with in as its JSON body. It sets no GetBody, so
// net/http does not retry a POST.
func (c *client) newRequest(ctx context.Context, method, path string, in any) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, nil)
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	if in == nil {
		return req, nil
	}
	body, err := json.Marshal(in)
	if err != nil {
		return nil, errors.Wrap(err, "encode request")
	}
	req.Body = io.NopCloser(bytes.NewReader(body))
	req.ContentLength = int64(len(body))
	req.Header.Set("Content-Type", "application/json")
	return req, nil
}

// refusalReason returns the error in the body of a refusal, or its status line.
func refusalReason(resp *http.Response) string {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxRefusalBytes))
	var response wire.ErrorResponse
	if err != nil || json.Unmarshal(body, &response) != nil || response.Error == "" {
		return resp.Status
	}
	return response.Error
}
