package ingress

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	maxBody = 256 << 10
	// testLimit only ends a test that hangs.
	testLimit = 20 * time.Second
)

// testServer reads the bodies of requests, and holds those to /hold until release.
type testServer struct {
	c        *qt.C
	address  string
	budget   *Budget
	listener *Listener
	held     sync.WaitGroup
	release  chan struct{}
	largest  atomic.Int64 // largest use of the budget seen
}

func newTestServer(t *testing.T, memory int64, maxConnections int) *testServer {
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	s := &testServer{c: c, address: l.Addr().String(), budget: NewBudget(memory, nil), release: make(chan struct{})}
	s.listener = NewListener(l.(*net.TCPListener), ListenerOptions{MaxConnections: maxConnections})
	server := &http.Server{Handler: Handler(http.HandlerFunc(s.serve)), ConnContext: ConnContext, ReadHeaderTimeout: testLimit, DisableGeneralOptionsHandler: true}
	go func() { _ = server.Serve(s.listener) }()
	c.Cleanup(func() { _ = server.Close() })
	return s
}

func (s *testServer) serve(w http.ResponseWriter, r *http.Request) {
	status, length := http.StatusOK, 0
	if r.Body != http.NoBody {
		body := s.budget.Open(w, r, testLimit)
		defer body.Release()
		data, err := body.ReadAll(maxBody)
		length = len(data)
		if err != nil {
			status = http.StatusServiceUnavailable
		}
		body.Finish(w.Header())
	}
	for used := s.budget.Used(); ; {
		if largest := s.largest.Load(); used <= largest || s.largest.CompareAndSwap(largest, used) {
			break
		}
	}
	if r.URL.Path == "/hold" {
		s.held.Done()
		<-s.release
	}
	w.WriteHeader(status)
	_, _ = fmt.Fprintf(w, "%d", length)
}

func (s *testServer) dial() net.Conn {
	conn, err := net.Dial("tcp", s.address)
	s.c.Assert(err, qt.IsNil)
	s.c.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(testLimit))
	return conn
}

// send sends a request whose body lacks its last bytes.
func (s *testServer) send(path string, length, missing int) net.Conn {
	conn := s.dial()
	_, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", path, length, strings.Repeat("x", length-missing))
	s.c.Assert(err, qt.IsNil)
	return conn
}

// response returns the status and the body of a response, 0 if it does not arrive whole.
func response(conn net.Conn) (int, string) {
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(body)
}

func (s *testServer) eventually(what string, cond func() bool) {
	s.c.Helper()
	for end := time.Now().Add(testLimit); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if cond() {
			return
		}
	}
	s.c.Fatalf("condition not met within the time limit: %s", what)
}
