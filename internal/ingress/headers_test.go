package ingress

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against many short header lines, which take far more memory than bytes, and
// against lines of bodies that are counted as lines of headers.
func TestHeaderLines(t *testing.T) {
	s := newTestServer(t, 2<<20, 100)
	lines := func(n int) string { return strings.Repeat("A: b\r\n", n) }
	post := func(lineCount int) string {
		return "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000\r\n" + lines(lineCount) + "\r\n" + strings.Repeat("\n", 1000)
	}
	conn := s.dial()
	reader := bufio.NewReader(conn)
	send := func(text string, step int, status int) {
		for len(text) > 0 {
			n := min(step, len(text))
			_, err := io.WriteString(conn, text[:n])
			s.c.Assert(err, qt.IsNil)
			text = text[n:]
			if step < 100 {
				time.Sleep(100 * time.Microsecond)
			}
		}
		resp, err := http.ReadResponse(reader, nil)
		s.c.Assert(err, qt.IsNil)
		_, err = io.Copy(io.Discard, resp.Body)
		s.c.Assert(err, qt.IsNil)
		s.c.Check(resp.StatusCode, qt.Equals, status)
	}
	send(post(maxHeaderLines-3), 1, 200)
	send("\r\n"+post(maxHeaderLines-3), 7, 200)
	send(post(maxHeaderLines-3), 1<<20, 200)
	send("GET / HTTP/1.1\r\n"+lines(maxHeaderLines), 1<<20, 400)
}
