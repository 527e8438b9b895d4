package crowdtest

import (
	"fmt"
	"net"
	"strings"
	"testing"
)

// distinctLines returns short header lines, none with the name of another.
func distinctLines(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "%c%c%c:\r\n", 'A'+i%26, 'a'+i/26%26, 'a'+i/676%26)
	}
	return b.String()
}

// Guards against headers of many short lines after a request that net/http answers itself.
func TestUnfinishedHeadersAfterGeneralOptions(t *testing.T) {
	data := []byte("OPTIONS * HTTP/1.1\r\nHost: a\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n" + distinctLines(3300))
	p := startProcess(t)
	(&clients{address: p.http, count: 600, complete: true, unserved: true, send: func(conn net.Conn, _ string) error { return write(data)(conn) }}).run(p)
}

// Guards against header lines that arrive with the end of the request before.
func TestUnfinishedHeadersOfPipelinedRequest(t *testing.T) {
	data := []byte("GET " + pathPrefix + " HTTP/1.1\r\nHost: " + queueHost + "\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n" + distinctLines(660))
	p := startProcess(t)
	(&clients{address: p.http, count: 600, complete: true, send: func(conn net.Conn, _ string) error { return write(data)(conn) }}).run(p)
}
