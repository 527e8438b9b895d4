package ingress

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against bodies that stop just short of their end and keep out a caller whose
// body arrives, or take more memory than the budget.
func TestStalledBodiesDoNotKeepOutOthers(t *testing.T) {
	const memory = 6 << 20
	s := newTestServer(t, memory, 1000)
	var stalled []net.Conn
	for range 40 {
		stalled = append(stalled, s.send("/", maxBody, 1))
	}
	for range 3 {
		status, body := response(s.send("/", maxBody, 0))
		s.c.Assert(status, qt.Equals, 200, qt.Commentf("%s", body))
		s.c.Assert(body, qt.Equals, fmt.Sprint(maxBody))
	}
	s.c.Check(s.largest.Load() <= memory, qt.IsTrue, qt.Commentf("%d bytes in use", s.largest.Load()))
	for _, conn := range stalled[:20] {
		status, body := response(conn)
		s.c.Check(status, qt.Equals, 503, qt.Commentf("%s", body))
	}
	for _, conn := range stalled {
		_ = conn.Close()
	}
	s.eventually("all memory is released", func() bool { return s.budget.Used() == 0 })
}

// Guards against memory that is charged for a length that is only announced, and against
// small bodies that are refused because large ones hold the budget.
func TestSmallBodiesBesideExhaustedBudget(t *testing.T) {
	memory := MemoryOf(maxBody)
	s := newTestServer(t, memory, 1000)
	for range 20 {
		s.send("/", maxBody, maxBody)
	}
	s.held.Add(1)
	holder := s.send("/hold", maxBody, 0)
	s.held.Wait()
	s.c.Assert(s.budget.Used(), qt.Equals, memory)
	status, _ := response(s.send("/", maxBody, 0))
	s.c.Check(status, qt.Equals, 503)
	status, _ = response(s.send("/", freeBytes, 0))
	s.c.Check(status, qt.Equals, 200)
	close(s.release)
	status, body := response(holder)
	s.c.Check(status, qt.Equals, 200)
	s.c.Check(body, qt.Equals, fmt.Sprint(maxBody), qt.Commentf("a body that has arrived was evicted"))
}

// Guards against bodies in chunks of one byte that count as progress or that are charged
// without an end.
func TestTinyChunksAreEvictedFirst(t *testing.T) {
	s := newTestServer(t, 6*maxBody, 1000)
	var trickles []net.Conn
	for range 8 {
		conn := s.dial()
		_, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"+strings.Repeat("1\r\nx\r\n", 70_000))
		s.c.Assert(err, qt.IsNil)
		trickles = append(trickles, conn)
	}
	stop := make(chan struct{})
	var writers sync.WaitGroup
	for _, conn := range trickles {
		writers.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Millisecond):
					_, _ = io.WriteString(conn, "1\r\nx\r\n") // fails once the body is refused
				}
			}
		})
	}
	status, body := response(s.send("/", maxBody, 0))
	s.c.Check(status, qt.Equals, 200, qt.Commentf("%s", body))
	close(stop)
	writers.Wait()
}

// Guards against a refusal that is lost to a reset because the client still sends, or
// that waits for the rest of the body.
func TestRefusalArrivesWhileClientSends(t *testing.T) {
	for name, request := range map[string]string{
		"stops short": fmt.Sprintf("Content-Length: %d\r\n\r\n%s", maxBody, strings.Repeat("x", maxBody-1)),
		"too large":   fmt.Sprintf("Content-Length: %d\r\n\r\n%s", 2*maxBody, strings.Repeat("x", 2*maxBody)),
		"chunked":     fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s", maxBody, strings.Repeat("x", maxBody-1)),
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestServer(t, maxBody, 1000)
			conn := s.dial()
			sent := make(chan struct{})
			go func() {
				defer close(sent)
				for n, part := 0, "POST / HTTP/1.1\r\nHost: a\r\n"+request; n < len(part); n += 4 << 10 {
					if _, err := io.WriteString(conn, part[n:min(n+4<<10, len(part))]); err != nil {
						return
					}
					time.Sleep(100 * time.Microsecond)
				}
			}()
			<-sent // the client reads only after it has sent all
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			s.c.Assert(err, qt.IsNil)
			body, err := io.ReadAll(resp.Body)
			s.c.Assert(err, qt.IsNil)
			s.c.Check(resp.StatusCode, qt.Equals, 503)
			s.c.Check(string(body), qt.Equals, "0")
			s.c.Check(resp.Close, qt.IsTrue)
			s.eventually("all memory is released", func() bool { return s.budget.Used() == 0 })
		})
	}
}
