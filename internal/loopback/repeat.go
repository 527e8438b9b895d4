package loopback

import (
	"bufio"
	"bytes"
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Repetition sends an HTTP response a second time on its connection, where a client
// that has sent its next request meanwhile may take it for the response to that.
type Repetition struct {
	// After is the time between the two.
	After time.Duration
	// Part is the fraction of the second response that is sent, from its first byte.
	Part float64
	// Fresh asks the server for a second response with its state of that time.
	Fresh bool
	// Rewrite returns the body of the second response; nil copies the first.
	Rewrite func(body []byte) []byte
}

// Repeater draws repetitions.
type Repeater struct {
	share    float64
	maxDelay time.Duration

	mu  sync.Mutex
	rng *rand.Rand
}

const (
	// shortDelay limits the delay of half of the repetitions, so that they arrive while
	// the next call is on its way.
	shortDelay = 5 * time.Millisecond
	// partShare is the fraction of repetitions that are sent in part.
	partShare = 0.2
)

// NewRepeater returns a Repeater for a share of the calls, with delays of up to
// maxDelay.
func NewRepeater(seed uint64, share float64, maxDelay time.Duration) *Repeater {
	return &Repeater{share: share, maxDelay: maxDelay, rng: rand.New(rand.NewPCG(seed, 0))}
}

// Draw returns the repetition of a call's response, or nil for none. A nil Repeater
// repeats nothing.
func (r *Repeater) Draw() *Repetition {
	if r == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.rng.Float64() >= r.share {
		return nil
	}
	limit := r.maxDelay
	if r.rng.IntN(2) == 0 {
		limit = min(limit, shortDelay)
	}
	repetition := &Repetition{After: time.Duration(r.rng.Float64() * float64(limit)), Part: 1, Fresh: r.rng.IntN(2) == 0}
	if r.rng.Float64() < partShare {
		repetition.Part = r.rng.Float64()
	}
	return repetition
}

// connKey is the context key of a call's serverConn.
type connKey struct{}

// serverConn is a connection of a server; mu keeps its responses apart.
type serverConn struct {
	net.Conn
	mu sync.Mutex
}

// ConnContext is the ConnContext of an http.Server that calls Serve.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, &serverConn{Conn: conn})
}

// Serve sends the response of a handler, and once more if repetition isn't nil.
func Serve(w http.ResponseWriter, r *http.Request, handler http.Handler, repetition *Repetition) {
	buffered := &bufferedResponse{ResponseWriter: w, status: http.StatusOK}
	handler.ServeHTTP(buffered, r)
	conn, ok := r.Context().Value(connKey{}).(*serverConn)
	if buffered.hijacked || !ok {
		return
	}
	body := buffered.body.Bytes()
	setServerHeader(w.Header(), body)
	header := w.Header().Clone()
	conn.mu.Lock()
	defer conn.mu.Unlock()
	w.WriteHeader(buffered.status)
	_, _ = w.Write(body) // the client may have disconnected
	_ = http.NewResponseController(w).Flush()
	if repetition == nil {
		return
	}
	time.AfterFunc(repetition.After, func() {
		if repetition.Rewrite != nil {
			body = repetition.Rewrite(body)
		}
		raw := rawResponse(buffered.status, header, body)
		conn.mu.Lock()
		defer conn.mu.Unlock()
		_, _ = conn.Write(raw[:int(repetition.Part*float64(len(raw)))])
	})
}

// setServerHeader sets the fields that a server adds otherwise, so that copies have them.
func setServerHeader(header http.Header, body []byte) {
	header.Set("Content-Length", strconv.Itoa(len(body)))
	header.Set("Date", time.Now().UTC().Format(http.TimeFormat))
	if header.Get("Content-Type") == "" && len(body) > 0 {
		header.Set("Content-Type", http.DetectContentType(body))
	}
}

// rawResponse returns a response as it is sent over a connection.
func rawResponse(status int, header http.Header, body []byte) []byte {
	var raw bytes.Buffer
	raw.WriteString("HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\n")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	_ = header.Write(&raw) // writes to a bytes.Buffer don't fail
	raw.WriteString("\r\n")
	raw.Write(body)
	return raw.Bytes()
}

// bufferedResponse holds back a response until its handler has returned.
type bufferedResponse struct {
	http.ResponseWriter
	status   int
	body     bytes.Buffer
	hijacked bool
}

// WriteHeader implements http.ResponseWriter.
func (b *bufferedResponse) WriteHeader(status int) { b.status = status }

// Write implements http.ResponseWriter.
func (b *bufferedResponse) Write(data []byte) (int, error) { return b.body.Write(data) }

// Hijack implements http.Hijacker.
func (b *bufferedResponse) Hijack() (net.Conn, *bufio.ReadWriter, error) {
	b.hijacked = true
	conn, rw, err := http.NewResponseController(b.ResponseWriter).Hijack()
	return conn, rw, errors.Wrap(err, "hijack")
}
