package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	stdlog "log"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"

	"gooseberryreel/internal/loopback"
	"gooseberryreel/internal/remote/wire"
)

const (
	maxBodyBytes      = 16 << 20
	readHeaderTimeout = 10 * time.Second
	relistenInterval  = 10 * time.Millisecond
	relistenAttempts  = 500
)

// connKey is the context key of the connection of a call.
type connKey struct{}

// server is an HTTP server on one listener. Handlers registered with handle are
// subject to its faults.
type server struct {
	name    string
	address string
	router  *mux.Router
	http    *http.Server
	connSet *connSet
	closed  chan struct{}
	serving sync.WaitGroup
	calls   sync.WaitGroup

	mu       sync.Mutex
	listener net.Listener
	faults   Faults
	repeater *loopback.Repeater // draws the second responses of Twice; nil if they are not delayed
	rng      *rand.Rand
	closing  bool
}

func newServer(name, address string, maxConnections int, seed uint64) (*server, error) {
	s := &server{
		name:    name,
		router:  mux.NewRouter(),
		connSet: &connSet{conns: make(map[*faultConn]bool), limit: maxConnections, onOverLimit: func() {}},
		closed:  make(chan struct{}),
		rng:     rand.New(rand.NewPCG(seed, 0)),
	}
	s.http = &http.Server{
		Handler:           http.HandlerFunc(s.serveHTTP),
		ReadHeaderTimeout: readHeaderTimeout,
		ErrorLog:          stdlog.New(io.Discard, "", 0),
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return loopback.ConnContext(context.WithValue(ctx, connKey{}, conn), conn)
		},
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for %s", name)
	}
	s.listener = listener
	s.address = listener.Addr().String()
	return s, nil
}

// serve starts to accept connections. It is called after all handlers have been
// registered.
func (s *server) serve() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serveLocked()
}

func (s *server) serveLocked() {
	listener := &faultListener{Listener: s.listener, connSet: s.connSet}
	s.serving.Add(1)
	go func() {
		defer s.serving.Done()
		// Serve fails only because the listener is closed.
		_ = s.http.Serve(listener)
	}()
}

func (s *server) close() {
	s.mu.Lock()
	if s.closing {
		s.mu.Unlock()
		return
	}
	s.closing = true
	s.mu.Unlock()
	close(s.closed)
	s.connSet.freeze(false)
	_ = s.http.Close()
	_ = s.listener.Close()
	s.connSet.closeAll()
	s.serving.Wait()
	s.calls.Wait()
}

// serveHTTP counts the calls in flight, so that close can wait for them.
func (s *server) serveHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	if s.closing {
		s.mu.Unlock()
		return
	}
	s.calls.Add(1)
	s.mu.Unlock()
	defer s.calls.Done()
	s.router.ServeHTTP(w, r)
}

// setFaults replaces all faults and applies those of connections.
func (s *server) setFaults(f Faults) error {
	if err := f.validate(); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing {
		return errors.Errorf("%s is closed", s.name)
	}
	wasDown := s.faults.Down
	s.faults, s.repeater = f, nil
	if f.Twice && f.TwiceLateMS > 0 {
		s.repeater = loopback.NewRepeater(s.rng.Uint64(), 1, time.Duration(f.TwiceLateMS)*time.Millisecond)
	}
	s.connSet.freeze(f.Freeze)
	if f.SilentOpen {
		s.connSet.silence()
	}
	switch {
	case f.Down && !wasDown:
		_ = s.listener.Close()
		s.connSet.closeAll()
	case !f.Down && wasDown:
		return s.relisten()
	}
	return nil
}

// relisten listens on the previous address again. It retries, since the port can
// briefly be in use as the local port of another process's connection.
func (s *server) relisten() error {
	var err error
	for range relistenAttempts {
		var listener net.Listener
		listener, err = net.Listen("tcp", s.address)
		if err == nil {
			s.listener = listener
			s.serveLocked()
			return nil
		}
		time.Sleep(relistenInterval)
	}
	return errors.Wrapf(err, "listen again for %s", s.name)
}

// drawFaults returns the faults of one call and its delayed second response, if any.
// It draws at random whether those that Percent limits apply.
func (s *server) drawFaults() (Faults, *loopback.Repetition) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.faults
	if f.Percent > 0 && s.rng.IntN(100) >= f.Percent {
		f.LoseAnswer, f.Half, f.Twice, f.WrongID, f.LateMS = false, false, false, false, 0
	}
	if !f.Twice || s.repeater == nil {
		return f, nil
	}
	f.Twice = false
	return f, s.repeater.Draw()
}

// handle registers a handler whose calls are subject to the faults.
func (s *server) handle(method, path string, call func(r *http.Request, f Faults) *response) {
	s.router.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) {
		f, repetition := s.drawFaults()
		if conn, ok := r.Context().Value(connKey{}).(*faultConn); ok {
			conn.setDuplicateWrites(f.Twice)
		}
		s.sleep(time.Duration(f.SlowMS) * time.Millisecond)
		resp := call(r, f)
		if id := r.Header.Get(wire.HeaderCallID); id != "" {
			resp.header.Set(wire.HeaderCallID, id)
		}
		s.sleep(time.Duration(f.LateMS) * time.Millisecond)
		loopback.Serve(w, r, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { s.send(w, resp, f) }), repetition)
	}).Methods(method)
}

// handleControl registers a handler for control calls. Faults that change calls or
// responses don't apply to them; faults of connections do.
func (s *server) handleControl(method, path string, call func(r *http.Request) *response) {
	s.router.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) {
		s.send(w, call(r), Faults{})
	}).Methods(method)
}

// send writes a response with the faults applied.
func (s *server) send(w http.ResponseWriter, resp *response, f Faults) {
	if !f.LoseAnswer && !f.Half {
		for name, values := range resp.header {
			w.Header()[name] = values
		}
		if resp.closeConn {
			w.Header().Set("Connection", "close")
		}
		w.Header().Set("Content-Length", strconv.Itoa(len(resp.body)))
		w.WriteHeader(resp.status)
		_, _ = w.Write(resp.body) // the client may have disconnected
		return
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	raw := resp.raw()
	if f.Half && !f.LoseAnswer {
		_, _ = conn.Write(raw[:len(raw)-len(resp.body)/2-1])
	}
}

// raw returns the response as sent over the connection.
func (resp *response) raw() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n", resp.status, http.StatusText(resp.status), len(resp.body))
	_ = resp.header.Write(&b) // writes to a bytes.Buffer don't fail
	b.WriteString("\r\n")
	b.Write(resp.body)
	return b.Bytes()
}

// jsonResponse returns a response with a wire type as its JSON body.
func jsonResponse(status int, body any) *response {
	data, err := json.Marshal(body)
	if err != nil {
		return newResponse(http.StatusInternalServerError, nil)
	}
	resp := newResponse(status, data)
	resp.header.Set("Content-Type", "application/json")
	return resp
}

// errorResponse returns a response with an error message.
func errorResponse(status int, format string, args ...any) *response {
	return jsonResponse(status, wire.ErrorResponse{Error: fmt.Sprintf(format, args...)})
}

// decode decodes a JSON body of up to maxBodyBytes. It returns an error response if
// that fails, and nil otherwise.
func decode(r *http.Request, into any) *response {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes+1))
	if err != nil {
		return errorResponse(http.StatusBadRequest, "read body: %v", err)
	}
	if len(body) > maxBodyBytes {
		return errorResponse(http.StatusRequestEntityTooLarge, "body is larger than %d bytes", maxBodyBytes)
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return errorResponse(http.StatusBadRequest, "decode body: %v", err)
	}
	return nil
}
