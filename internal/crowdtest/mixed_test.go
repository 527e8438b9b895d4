package crowdtest

import (
	"encoding/binary"
	"net"
	"strings"
	"testing"
)

// Guards against limits that hold each alone, but not together.
func TestCrowdsOnAllAddresses(t *testing.T) {
	p := startProcess(t)
	longLine := write([]byte("GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("a", 20_000)))
	body := paddedJob()
	part := post(len(body), write(body[:len(body)-1]))
	small := post(8000, write(body[:7999]))
	message := binary.AppendUvarint([]byte{1<<1 | 1, 1, 1}, 1<<20)
	large := write(append(append([]byte{}, message...), make([]byte, 1<<20-1)...))
	little := write(append(append([]byte{}, message...), make([]byte, 8000)...))
	crowds := []*clients{
		{address: p.peer, count: 206, send: func(conn net.Conn, id string) error {
			if id[15]%8 == 0 {
				return large(conn)
			}
			return little(conn)
		}},
		{address: p.ready, count: 64, first: 3000, send: func(conn net.Conn, _ string) error { return longLine(conn) }},
		{address: p.metrics, count: 64, first: 4000, send: func(conn net.Conn, _ string) error { return longLine(conn) }},
		{address: p.http, count: 60, first: 1000, send: part},
		{address: p.http, count: 500, first: 2000, send: func(conn net.Conn, id string) error {
			if id[15]%2 == 0 {
				return small(conn, id)
			}
			return longLine(conn)
		}},
	}
	for _, c := range crowds {
		c.start(p)
		defer c.close()
	}
	p.submitOrdinary("beside the crowds")
	p.checkLimits()
}
