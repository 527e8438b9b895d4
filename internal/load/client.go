// Package load sends an open-loop load of requests and jobs to entry instances
// and records what the callers saw: each arrival is sent at its planned time,
// whether or not earlier ones have returned.
package load

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"gooseberryreel/internal/history"
)

const (
	dialTimeout = 2 * time.Second
	// responseGrace is how much longer than the request's timeout a caller waits
	// for a response.
	responseGrace    = 2 * time.Second
	maxResponseBytes = 8 << 20
	maxIdlePerEntry  = 256
)

// Entry is an entry instance: its failure domain and its HTTP address.
type Entry struct {
	Domain  string
	Address string
}

// Client sends calls to entry instances and writes them to a history.
type Client struct {
	name string
	http *http.Client
	out  *history.Writer
	// wrongJobs counts answers about another job than the one asked for.
	wrongJobs atomic.Int64

	mu       sync.Mutex
	writeErr error
}

// NewClient returns a client that writes to out, which may be nil.
func NewClient(name string, out *history.Writer) *Client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdlePerEntry,
	}
	return &Client{name: name, http: &http.Client{Transport: transport}, out: out}
}

// Close closes idle connections and returns the first error of a write to the
// history.
func (c *Client) Close() error {
	c.http.CloseIdleConnections()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writeErr
}

func (c *Client) record(op history.Operation) {
	if c.out == nil {
		return
	}
	if err := c.out.Write(op); err != nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.writeErr == nil {
			c.writeErr = err
		}
	}
}

// Request is one request to a service.
type Request struct {
	ID         string
	Service    string
	Team       string
	Idempotent bool
	Timeout    time.Duration
	Body       []byte
}

// ExpectedBody returns the body of the answer of a stand-in target: the id and the
// digest of the request's body.
func (r Request) ExpectedBody() []byte {
	digest := sha256.Sum256(r.Body)
	return fmt.Appendf(nil, "%s %s", r.ID, hex.EncodeToString(digest[:]))
}

// ErrorBody is the body of every error response.
type ErrorBody struct {
	Outcome   string `json:"outcome"`
	Step      string `json:"step"`
	Peer      string `json:"peer"`
	Retry     bool   `json:"retry"`
	Error     string `json:"error"`
	RequestID string `json:"request_id"`
}

// CallResult is the result of a call. Status is 0 if no complete HTTP response arrived.
type CallResult struct {
	Status  int
	Outcome string
	Body    []byte
	Failure ErrorBody
	Err     error
}

// Send sends a request to an entry instance and records it.
func (c *Client) Send(ctx context.Context, entry Entry, req Request) CallResult {
	ctx, cancel := context.WithTimeout(ctx, req.Timeout+responseGrace)
	defer cancel()
	start := time.Now()
	result := c.post(ctx, entry, req)
	c.record(c.operation(entry, req, result, start))
	return result
}

func (c *Client) post(ctx context.Context, entry Entry, req Request) CallResult {
	url := "http://" + entry.Address + "/v1/services/" + req.Service + "/requests"
	call, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(req.Body))
	if err != nil {
		return CallResult{Outcome: history.OutcomeNotRun, Err: err}
	}
	call.Header.Set("Content-Type", "application/octet-stream")
	call.Header.Set("Request-Timeout", strconv.FormatInt(req.Timeout.Milliseconds(), 10))
	call.Header.Set("Idempotent", strconv.FormatBool(req.Idempotent))
	if req.ID != "" {
		call.Header.Set("Request-Id", req.ID)
	}
	if req.Team != "" {
		call.Header.Set("Team", req.Team)
	}
	return c.do(call)
}

// LookUp fetches the stored answer to an earlier request from an entry instance.
// It records the call only if the answer was found.
func (c *Client) LookUp(ctx context.Context, entry Entry, req Request) CallResult {
	ctx, cancel := context.WithTimeout(ctx, req.Timeout+responseGrace)
	defer cancel()
	start := time.Now()
	result := c.get(ctx, entry, "/v1/requests/"+req.ID)
	if result.Outcome == history.OutcomeOK {
		c.record(c.operation(entry, req, result, start))
	}
	return result
}

func (c *Client) get(ctx context.Context, entry Entry, path string) CallResult {
	call, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry.Address+path, nil)
	if err != nil {
		return CallResult{Outcome: history.OutcomeNotRun, Err: err}
	}
	return c.do(call)
}

// Ready reports whether an entry instance accepts new work.
func (c *Client) Ready(ctx context.Context, entry Entry) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	return c.get(ctx, entry, "/readyz").Status == http.StatusOK
}

func (c *Client) do(call *http.Request) CallResult {
	resp, err := c.http.Do(call)
	if err != nil {
		return CallResult{Outcome: history.OutcomeUnknown, Err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return CallResult{Outcome: history.OutcomeUnknown, Err: errors.Wrap(err, "read response")}
	}
	result := CallResult{Status: resp.StatusCode, Body: body, Outcome: history.OutcomeOK}
	if resp.StatusCode < http.StatusBadRequest {
		return result
	}
	result.Outcome = history.OutcomeUnknown
	if json.Unmarshal(body, &result.Failure) == nil && result.Failure.Outcome != "" {
		result.Outcome = result.Failure.Outcome
	}
	return result
}

func (c *Client) operation(entry Entry, req Request, result CallResult, start time.Time) history.Operation {
	op := history.Operation{
		Client:     c.name + "@" + entry.Address,
		Kind:       history.KindRequest,
		ID:         req.ID,
		Start:      start.UnixNano(),
		End:        time.Now().UnixNano(),
		Outcome:    result.Outcome,
		Status:     result.Status,
		Idempotent: req.Idempotent,
	}
	if result.Outcome == history.OutcomeOK {
		op.Body, op.Want = digest(result.Body), digest(req.ExpectedBody())
	}
	return op
}

// digest returns a shortened digest of a body. Histories compare digests instead of
// bodies.
func digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:8])
}
