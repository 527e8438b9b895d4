package loopback

import (
	"net"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a Reset mode that closes connections without a reset, or refuses them.
func TestResetModeResetsConnections(t *testing.T) {
	c := qt.New(t)
	server, err := Listen()
	c.Assert(err, qt.IsNil)
	defer server.Close()
	p, err := New(server.Addr().String(), nil)
	c.Assert(err, qt.IsNil)
	defer p.Close()
	readFails := func(conn net.Conn) {
		defer conn.Close()
		c.Assert(conn.SetDeadline(time.Now().Add(10*time.Second)), qt.IsNil)
		_, err := conn.Read(make([]byte, 1))
		c.Check(err, qt.ErrorIs, syscall.ECONNRESET)
	}
	open, err := net.Dial("tcp", p.Address)
	c.Assert(err, qt.IsNil)
	upstream, err := server.Accept() // the proxy forwards the connection
	c.Assert(err, qt.IsNil)
	defer upstream.Close()
	c.Assert(p.SetMode(Reset), qt.IsNil)
	readFails(open)
	later, err := net.Dial("tcp", p.Address)
	if err != nil {
		c.Check(err, qt.ErrorIs, syscall.ECONNRESET) // it may come before the call returns
		return
	}
	readFails(later)
}
