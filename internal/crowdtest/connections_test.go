package crowdtest

import (
	"encoding/binary"
	"fmt"
	"net"
	"strings"
	"testing"
)

// headerBytes is just under the default limit of net/http.
const headerBytes = 1_000_000

// header returns the start of a request whose header doesn't end.
func header(line string) func(net.Conn, string) error {
	data := []byte("GET / HTTP/1.1\r\nHost: " + queueHost + "\r\n" + strings.Repeat(line, headerBytes/len(line)))
	return func(conn net.Conn, _ string) error { return write(data)(conn) }
}

var longLine = "X-Long: " + strings.Repeat("a", 8000) + "\r\n"

// Guards against memory for headers that don't end, beyond any limit for bodies.
func TestUnfinishedHeaders(t *testing.T) {
	p := startProcess(t)
	(&clients{address: p.http, count: 300, send: header(longLine)}).run(p)
}

// Guards against header fields that take more memory than they have bytes.
func TestUnfinishedHeadersOfShortLines(t *testing.T) {
	p := startProcess(t)
	(&clients{address: p.http, count: 300, send: header("A: b\r\n")}).run(p)
}

// Guards against limits for headers that only the address of callers has.
func TestUnfinishedHeadersOnReadinessAddress(t *testing.T) {
	p := startProcess(t)
	(&clients{address: p.ready, count: 300, send: header(longLine)}).run(p, func() { p.getOrdinary(p.ready, "/readyz") })
}

// Guards against limits for headers that the metrics address doesn't have.
func TestUnfinishedHeadersOnMetricsAddress(t *testing.T) {
	p := startProcess(t)
	(&clients{address: p.metrics, count: 300, send: header(longLine)}).run(p, func() { p.getOrdinary(p.metrics, "/metrics") })
}

// Guards against memory for messages of peers that stop before their last byte.
func TestUnfinishedMessagesOnPeerAddress(t *testing.T) {
	const messageBytes, invoke = 1 << 20, 1 << 1
	frame := binary.AppendUvarint([]byte{invoke, 1, 1}, messageBytes)
	frame = append(frame, make([]byte, messageBytes-1)...)
	p := startProcess(t)
	(&clients{address: p.peer, count: 300, send: func(conn net.Conn, _ string) error { return write(frame)(conn) }}).run(p)
}

// silentClients is more than the descriptors of the process.
const silentClients = 2500

// Guards against connections that send nothing and take all descriptors.
func TestSilentConnections(t *testing.T) {
	p := startProcess(t)
	(&clients{address: p.http, count: silentClients}).run(p)
}

// Guards against descriptors that are only limited on the address of callers.
func TestSilentConnectionsOnReadinessAddress(t *testing.T) {
	p := startProcess(t)
	(&clients{address: p.ready, count: silentClients}).run(p, func() { p.getOrdinary(p.ready, "/readyz") })
}

// Guards against descriptors that are not limited on the metrics address.
func TestSilentConnectionsOnMetricsAddress(t *testing.T) {
	p := startProcess(t)
	(&clients{address: p.metrics, count: silentClients}).run(p, func() { p.getOrdinary(p.metrics, "/metrics") })
}

// Guards against descriptors that are not limited on the peer address.
func TestSilentConnectionsOnPeerAddress(t *testing.T) {
	p := startProcess(t)
	(&clients{address: p.peer, count: silentClients}).run(p)
}

// pipelined returns many requests in one write.
func pipelined(path string) func(net.Conn, string) error {
	data := []byte(strings.Repeat(fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", path, queueHost), 1000))
	return func(conn net.Conn, _ string) error { return write(data)(conn) }
}

// Guards against answers that pile up because clients don't read them.
func TestUnreadAnswers(t *testing.T) {
	p := startProcess(t)
	(&clients{address: p.http, count: 400, deaf: true, send: pipelined(pathPrefix)}).run(p)
}

// Guards against metrics that pile up because clients don't read them.
func TestUnreadMetrics(t *testing.T) {
	p := startProcess(t)
	(&clients{address: p.metrics, count: 400, deaf: true, send: pipelined("/metrics")}).run(p, func() { p.getOrdinary(p.metrics, "/metrics") })
}
