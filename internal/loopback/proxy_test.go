package loopback

import (
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against modes that close connections without a reset, or refuse them, and against
// a reset before the request of a connection has arrived.
func TestResetModes(t *testing.T) {
	for name, mode := range map[string]Mode{"at once": Reset, "after the request": ResetRequests} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			server, err := Listen()
			c.Assert(err, qt.IsNil)
			defer server.Close()
			p, err := New(server.Addr().String(), nil)
			c.Assert(err, qt.IsNil)
			defer p.Close()
			isReset := func(conn net.Conn) {
				c.Assert(conn.SetDeadline(time.Now().Add(10*time.Second)), qt.IsNil)
				_, err := conn.Read(make([]byte, 1))
				c.Check(err, qt.ErrorIs, syscall.ECONNRESET)
			}
			open, err := net.Dial("tcp", p.Address)
			c.Assert(err, qt.IsNil)
			defer open.Close()
			upstream, err := server.Accept() // the proxy forwards the connection
			c.Assert(err, qt.IsNil)
			defer upstream.Close()
			c.Assert(p.SetMode(mode), qt.IsNil)
			isReset(open)
			later, err := net.Dial("tcp", p.Address)
			if mode == Reset && err != nil {
				c.Check(err, qt.ErrorIs, syscall.ECONNRESET) // it may come before the call returns
				return
			}
			c.Assert(err, qt.IsNil)
			defer later.Close()
			if mode == ResetRequests {
				c.Assert(later.SetReadDeadline(time.Now().Add(50*time.Millisecond)), qt.IsNil)
				_, err = later.Read(make([]byte, 1))
				c.Check(err, qt.ErrorIs, os.ErrDeadlineExceeded)
				_, err = later.Write([]byte("request"))
				c.Assert(err, qt.IsNil)
			}
			isReset(later)
		})
	}
}
