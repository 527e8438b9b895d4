package remote

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// serveTwice serves HTTP and sends each response twice, the second time after a delay.
func serveTwice(t *testing.T, delay time.Duration, respond func(*http.Request) string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = listener.Close() })
	serve := func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		for in := bufio.NewReader(conn); ; {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			body := respond(r)
			_ = r.Body.Close()
			response := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			if _, err := conn.Write([]byte(response)); err != nil {
				return
			}
			time.AfterFunc(delay, func() { _, _ = conn.Write([]byte(response)) })
		}
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return listener.Addr().String()
}

// Guards against a response that a service sends twice, the second of which is taken
// for the response to the next call.
func TestRepeatedResponseIsNotTakenForTheNext(t *testing.T) {
	for _, delay := range []time.Duration{0, time.Millisecond, 3 * time.Millisecond} {
		address := serveTwice(t, delay, func(r *http.Request) string {
			name := strings.Split(r.URL.Path, "/")[3] // the stream is the number of the call
			return `{"first_offset":` + name + `}`
		})
		log := NewHTTPLog("http://" + address)
		wrong, failed := 0, 0
		for n := range 200 {
			offset, err := log.Append(context.Background(), strconv.Itoa(n), nil)
			switch {
			case err != nil:
				failed++
			case offset != int64(n):
				wrong++
			}
			time.Sleep(time.Duration(n%4) * time.Millisecond)
		}
		qt.Check(t, wrong, qt.Equals, 0, qt.Commentf("second response after %v, %d calls failed", delay, failed))
		qt.Check(t, failed, qt.Equals, 0, qt.Commentf("second response after %v", delay))
	}
}
