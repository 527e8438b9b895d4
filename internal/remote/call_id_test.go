package remote

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"gooseberryreel/internal/errs"
	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/remote/wire"
)

// serveRaw serves HTTP with responses that a function writes, and returns the address and
// a function that counts the connections.
func serveRaw(t *testing.T, respond func(conn io.Writer, call int, r *http.Request)) (address string, connections func() int) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = listener.Close() })
	var mu sync.Mutex
	calls, accepted := 0, 0
	serve := func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		for in := bufio.NewReader(conn); ; {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			mu.Lock()
			calls++
			call := calls
			mu.Unlock()
			respond(conn, call, r)
		}
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			accepted++
			mu.Unlock()
			go serve(conn)
		}
	}()
	return listener.Addr().String(), func() int {
		mu.Lock()
		defer mu.Unlock()
		return accepted
	}
}

// response returns a response that has the id of a request.
func response(r *http.Request, status, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", status, wire.HeaderCallID, r.Header.Get(wire.HeaderCallID), len(body), body)
}

// Guards against a new connection for each call to a peer that echoes the ids of calls.
func TestConnectionOfIdentifiedResponsesIsKept(t *testing.T) {
	address, connections := serveRaw(t, func(conn io.Writer, call int, r *http.Request) {
		status := "200 OK"
		if call%3 == 0 {
			status = "409 Conflict"
		}
		_, _ = io.WriteString(conn, response(r, status, "{}"))
	})
	worker := NewHTTPWorker("w", address)
	for n := 1; n <= 30; n++ {
		err := worker.Stop(context.Background(), TaskRef{Job: "j", Attempt: n})
		qt.Assert(t, err != nil, qt.Equals, n%3 == 0)
	}
	qt.Assert(t, connections(), qt.Equals, 1)
}

// Guards against a command to a worker that is decided by what the worker sent of an
// earlier response, whole or in part: the second call ran and must not count as refused.
func TestEarlierResponseDoesNotDecideNextCall(t *testing.T) {
	const withoutID = "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n"
	refusal := strings.Replace(withoutID, "\r\n", "\r\nCall-Id: earlier-1\r\nDate: Sun, 06 Dec 2026 02:00:00 GMT\r\n", 1)
	head := strings.Index(refusal, "\r\n\r\n")
	test := func(name, surplus string) {
		t.Run(name, func(t *testing.T) {
			address, connections := serveRaw(t, func(conn io.Writer, call int, r *http.Request) {
				if call == 2 {
					_, _ = io.WriteString(conn, surplus)
				}
				_, _ = io.WriteString(conn, response(r, "200 OK", ""))
			})
			worker := NewHTTPWorker("w", address)
			stop := func() error { return worker.Stop(context.Background(), TaskRef{Job: "j", Attempt: 1}) }
			qt.Assert(t, stop(), qt.IsNil)
			err := stop()
			var failure *errs.Error
			qt.Assert(t, errors.As(err, &failure), qt.IsTrue, qt.Commentf("%v", err))
			qt.Check(t, failure.Outcome, qt.Equals, pb.Outcome_OUTCOME_UNKNOWN, qt.Commentf("%v", err))
			qt.Check(t, stop(), qt.IsNil)
			qt.Check(t, connections(), qt.Equals, 2)
		})
	}
	test("without an id", withoutID)
	test("whole", refusal)
	for cut := 1; cut < head; cut++ {
		test(fmt.Sprintf("cut after %d bytes", cut), refusal[:cut])
	}
}
