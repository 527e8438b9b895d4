package loopback

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a fault that repeats no response, or mixes it with the next one.
func TestRepeatedResponseReachesConnection(t *testing.T) {
	c := qt.New(t)
	calls := 0
	repetition := &Repetition{Part: 1, After: 5 * time.Millisecond, Rewrite: func(body []byte) []byte { return append([]byte("again "), body...) }}
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.URL.Path) })
		if calls++; calls == 2 {
			time.Sleep(50 * time.Millisecond) // the second response to call 1 arrives before the response to call 2
			repetition = &Repetition{Part: 0.5}
		}
		Serve(w, r, handler, repetition)
	}))
	server.Config.ConnContext = ConnContext
	server.Start()
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	c.Assert(conn.SetDeadline(time.Now().Add(500*time.Millisecond)), qt.IsNil)
	_, err = io.WriteString(conn, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n")
	c.Assert(err, qt.IsNil)
	data, _ := io.ReadAll(conn) // ends with the deadline
	var bodies []string
	for part := range bytes.SplitSeq(data, []byte("HTTP/1.1 200 OK\r\n")) {
		_, body, _ := bytes.Cut(part, []byte("\r\n\r\n"))
		bodies = append(bodies, string(body))
	}
	c.Assert(bodies, qt.DeepEquals, []string{"", "/1", "again /1", "/2", ""}, qt.Commentf("%s", data))
}

// Guards against repetitions that are not drawn, or drawn with one delay only.
func TestRepeaterDraws(t *testing.T) {
	c := qt.New(t)
	r := NewRepeater(1, 0.5, time.Second)
	drawn, short, parts, fresh := 0, 0, 0, 0
	for range 1000 {
		repetition := r.Draw()
		if repetition == nil {
			continue
		}
		drawn++
		if repetition.After <= shortDelay {
			short++
		}
		if repetition.Part < 1 {
			parts++
		}
		if repetition.Fresh {
			fresh++
		}
	}
	for _, n := range []int{1000 - drawn, drawn, short, drawn - short, parts, fresh, drawn - fresh} {
		c.Check(n > 50, qt.IsTrue, qt.Commentf("%d", n))
	}
}
