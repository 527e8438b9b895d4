package ingress

import (
	"io"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against silent, unfinished or idle connections that keep out a new caller, and
// against connections that are still counted after their end.
func TestSilentConnectionsDoNotKeepOutCallers(t *testing.T) {
	const limit = 8
	s := newTestServer(t, 2<<20, limit)
	s.held.Add(1)
	busy := s.send("/hold", 10, 0)
	s.held.Wait()
	for n := range 5 * limit {
		switch conn := s.dial(); n % 3 {
		case 1:
			_, _ = io.WriteString(conn, "POST / HTTP/1.1\r\nX: ")
		case 2:
			_, _ = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\nx")
		}
	}
	status, _ := response(s.send("/", 10, 0))
	s.c.Check(status, qt.Equals, 200)
	s.c.Check(s.listener.Connections() <= limit, qt.IsTrue)
	close(s.release)
	status, _ = response(busy)
	s.c.Check(status, qt.Equals, 200, qt.Commentf("a connection with a request in work was closed"))
}

// Guards against an accept that waits, or connections beyond the limit, while all
// connections have requests in work.
func TestConnectionsBeyondRequestsInWork(t *testing.T) {
	const limit = 4
	s := newTestServer(t, 2<<20, limit)
	s.held.Add(limit)
	var busy []net.Conn
	for range limit {
		busy = append(busy, s.send("/hold", 10, 0))
	}
	s.held.Wait()
	_, err := s.dial().Read(make([]byte, 1))
	s.c.Check(err, qt.IsNotNil)
	s.c.Check(s.listener.Connections(), qt.Equals, limit)
	close(s.release)
	for _, conn := range busy {
		status, _ := response(conn)
		s.c.Check(status, qt.Equals, 200)
		_ = conn.Close()
	}
	s.eventually("the connections are closed", func() bool { return s.listener.Connections() == 0 })
}
