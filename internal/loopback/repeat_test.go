package loopback

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a fault that repeats no response, changes the copy, or mixes it with
// the next response.
func TestRepeatedResponseReachesConnection(t *testing.T) {
	c := qt.New(t)
	repetitions := make(chan *Repetition, 3)
	repetitions <- &Repetition{Part: 1, After: 5 * time.Millisecond}
	repetitions <- &Repetition{Part: 1, Rewrite: func(body []byte) []byte { return append([]byte("again "), body...) }}
	repetitions <- &Repetition{Part: 0.5}
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(50 * time.Millisecond) // the second response to the call before arrives meanwhile
			_, _ = io.WriteString(w, r.URL.Path)
		})
		Serve(w, r, handler, <-repetitions)
	}))
	server.Config.ConnContext = ConnContext
	server.Start()
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	c.Assert(conn.SetDeadline(time.Now().Add(time.Second)), qt.IsNil)
	for n := range 3 {
		_, err = fmt.Fprintf(conn, "GET /%d HTTP/1.1\r\nHost: a\r\n\r\n", n+1)
		c.Assert(err, qt.IsNil)
	}
	reader := bufio.NewReader(conn)
	var header http.Header
	for n, want := range []string{"/1", "/1", "/2", "again /2", "/3"} {
		resp, err := http.ReadResponse(reader, nil)
		c.Assert(err, qt.IsNil)
		body, err := io.ReadAll(resp.Body)
		c.Assert(err, qt.IsNil)
		c.Check(string(body), qt.Equals, want)
		if n == 1 {
			c.Check(resp.Header, qt.DeepEquals, header)
		}
		header = resp.Header
	}
	part, _ := io.ReadAll(reader) // ends with the deadline
	c.Check(string(part), qt.Matches, `(?s)HTTP/1\.1 200 OK\r\n.*`)
	c.Check(bytes.Contains(part, []byte("/3")), qt.IsFalse)
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
