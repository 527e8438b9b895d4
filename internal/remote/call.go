package remote

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
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
)

// errNotModified means that the resource still has the entity tag of the request.
var errNotModified = errors.New("not modified")

// client makes JSON calls to one peer.
type client struct {
	peer             string // name in error messages
	base             string // URL without a final slash
	maxResponseBytes int64
	transport        *http.Transport
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
	err := c.exchange(call.trace(ctx), method, path, in, out, cond)
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
func (c *client) exchange(ctx context.Context, method, path string, in, out any, cond *conditionalGet) error {
	req, err := c.newRequest(ctx, method, path, in)
	if err != nil {
		return err
	}
	if cond != nil && cond.etag != "" {
		req.Header.Set("If-None-Match", cond.etag)
	}
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
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
