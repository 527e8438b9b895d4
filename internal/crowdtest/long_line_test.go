package crowdtest

import (
	"net"
	"strings"
	"testing"
)

// Guards against a header line just below the limit on as many connections as are allowed.
func TestUnfinishedLongLines(t *testing.T) {
	data := []byte("GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("a", 20_000))
	p := startProcess(t)
	(&clients{address: p.http, count: 600, complete: true, send: func(conn net.Conn, _ string) error { return write(data)(conn) }}).run(p)
}
