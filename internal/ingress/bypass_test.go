package ingress

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against header lines that are not counted after a request that net/http answers
// without the handler.
func TestHeaderLinesAfterGeneralOptions(t *testing.T) {
	s := newTestServer(t, 2<<20, 100)
	conn := s.dial()
	reader := bufio.NewReader(conn)
	for _, request := range []struct {
		text   string
		status int
	}{
		{"OPTIONS * HTTP/1.1\r\nHost: a\r\n\r\n", 200},
		{"GET / HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("A: b\r\n", 3000) + "\r\n", 400},
	} {
		_, err := io.WriteString(conn, request.text)
		s.c.Assert(err, qt.IsNil)
		resp, err := http.ReadResponse(reader, nil)
		s.c.Assert(err, qt.IsNil)
		_, err = io.Copy(io.Discard, resp.Body)
		s.c.Assert(err, qt.IsNil)
		s.c.Check(resp.StatusCode, qt.Equals, request.status, qt.Commentf("%.20s", request.text))
	}
}

// Guards against header lines that are not counted because they arrive with the end of
// the request before.
func TestHeaderLinesOfPipelinedRequest(t *testing.T) {
	s := newTestServer(t, 2<<20, 100)
	conn := s.dial()
	reader := bufio.NewReader(conn)
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n"+strings.Repeat("A:\r\n", 900)+"\r\n")
	s.c.Assert(err, qt.IsNil)
	for _, status := range []int{200, 400} {
		resp, err := http.ReadResponse(reader, nil)
		s.c.Assert(err, qt.IsNil)
		_, err = io.Copy(io.Discard, resp.Body)
		s.c.Assert(err, qt.IsNil)
		s.c.Check(resp.StatusCode, qt.Equals, status)
	}
}
