package remote

import (
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a write after abort has reported that the call wrote nothing, and
// against writes of one call that count for the next.
func TestAbortBlocksWrites(t *testing.T) {
	c := qt.New(t)
	local, peer := net.Pipe()
	defer func() { _ = peer.Close() }()
	conn := &trackedConn{Conn: local, progressTimeout: time.Minute}
	go func() { _, _ = peer.Read(make([]byte, 1)) }()
	first := conn.begin(conn.progressTimeout)
	_, err := conn.Write([]byte{1})
	c.Assert(err, qt.IsNil)
	conn.end(first)

	second := conn.begin(conn.progressTimeout)
	c.Assert(conn.abort(second), qt.IsFalse)
	_, err = conn.Write([]byte{2})
	c.Assert(err, qt.ErrorIs, errConnAborted)
	c.Assert(conn.abort(first), qt.IsTrue)
}
