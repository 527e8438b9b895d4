package loopback

import (
	"net"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a process that can't listen on the address reserved for it,
// because another listener or an outgoing connection took its port in between.
func TestReservedAddressesStayFree(t *testing.T) {
	c := qt.New(t)
	reserved, err := ReserveAddresses(3)
	c.Assert(err, qt.IsNil)
	other, err := ReserveAddresses(3)
	c.Assert(err, qt.IsNil)
	for _, address := range reserved {
		c.Check(other, qt.Not(qt.Contains), address)
	}
	server, err := Listen()
	c.Assert(err, qt.IsNil)
	defer server.Close()
	for range 200 {
		conn, err := net.Dial("tcp", server.Addr().String())
		c.Assert(err, qt.IsNil)
		defer conn.Close()
		port := conn.LocalAddr().(*net.TCPAddr).Port
		c.Check(port < firstPort || port > lastPort, qt.IsTrue, qt.Commentf("local port %d", port))
	}
	for _, address := range reserved {
		l, err := net.Listen("tcp", address)
		c.Assert(err, qt.IsNil)
		defer l.Close()
	}
}
