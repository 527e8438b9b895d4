package crowdtest

import (
	"encoding/binary"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against messages that no call takes: the reader of their connection doesn't read
// again, so that neither a close nor an eviction ends it.
func TestMessagesWithoutCallOnPeerAddress(t *testing.T) {
	const messageBytes, lastMessage = 8000, 2<<1 | 1
	frame := binary.AppendUvarint([]byte{lastMessage, 1, 1}, messageBytes)
	frame = append(frame, make([]byte, messageBytes)...)
	p := startProcess(t)
	for range 6000 {
		conn, err := net.DialTimeout("tcp", p.peer, attemptTimeout)
		p.Assert(err, qt.IsNil)
		_ = write(frame)(conn) // the process may close the connection
		_ = conn.Close()
	}
	p.submitOrdinary("after the crowd")
	p.checkLimits()
}
