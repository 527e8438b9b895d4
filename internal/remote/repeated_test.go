package remote

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"gooseberryreel/internal/remote/wire"
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
			response := respond(r)
			_, _ = io.Copy(io.Discard, r.Body)
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
			body := `{"first_offset":` + name + `}`
			return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
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

// Guards against a refusal that a target sends twice, the second of which is taken for the
// response to the next attempt at the request: it runs, is reported as not run and may be
// run again.
func TestRepeatedRefusalIsNotTakenForTheNextAttempt(t *testing.T) {
	for _, body := range []string{"", "leaving"} {
		var mu sync.Mutex
		attempts := make(map[string]int)
		address := serveTwice(t, 2*time.Millisecond, func(r *http.Request) string {
			id := r.Header.Get(wire.HeaderRequestID)
			mu.Lock()
			attempts[id]++
			attempt := attempts[id]
			mu.Unlock()
			head := "Request-Id: " + id + "\r\n"
			if attempt == 1 {
				return fmt.Sprintf("HTTP/1.1 503 Busy\r\n%s%s: true\r\nContent-Length: %d\r\n\r\n%s", head, wire.HeaderNotRun, len(body), body)
			}
			time.Sleep(5 * time.Millisecond) // the request runs
			return "HTTP/1.1 200 OK\r\n" + head + "Content-Length: 3\r\n\r\nran"
		})
		target := NewHTTPTarget("t", address, 4, 1000)
		wrong, answered := 0, 0
		var calls sync.WaitGroup
		for n := range 400 {
			calls.Go(func() {
				time.Sleep(time.Duration(n) * 500 * time.Microsecond)
				request := TargetRequest{ID: strconv.Itoa(n), Service: "s", Body: []byte("b"), Timeout: 10 * time.Second}
				invoke := func() (notRun, ok bool) {
					_, err := target.Invoke(context.Background(), request)
					var failure *InvokeError
					return errors.As(err, &failure) && failure.NotRun, err == nil
				}
				if notRun, _ := invoke(); !notRun {
					return // the connection had the surplus response to another request
				}
				notRun, ok := invoke()
				mu.Lock()
				defer mu.Unlock()
				if notRun { // the target refuses only first attempts
					wrong++
				}
				if ok {
					answered++
				}
			})
		}
		calls.Wait()
		target.Close()
		qt.Check(t, wrong, qt.Equals, 0, qt.Commentf("body %q", body))
		qt.Check(t, answered > 0, qt.IsTrue)
		t.Logf("body %q: %d requests answered at the second attempt, %d reported as not run although sent and run", body, answered, wrong)
	}
}
