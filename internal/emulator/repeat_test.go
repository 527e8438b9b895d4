package emulator

import (
	"bufio"
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"gooseberryreel/internal/loopback"
)

// Guards against a worker that repeats no response, or never with its state of that time.
func TestWorkerRepeatsResponses(t *testing.T) {
	c := qt.New(t)
	w := NewWorker("i-1", NewCluster(func(string, int) Behaviour { return Behaviour{} }))
	defer w.Close()
	w.Repeat(loopback.NewRepeater(1, 1, 5*time.Millisecond))
	fresh, copies := 0, 0
	for range 40 {
		conn, err := net.Dial("tcp", w.Address())
		c.Assert(err, qt.IsNil)
		c.Assert(conn.SetDeadline(time.Now().Add(200*time.Millisecond)), qt.IsNil)
		req, err := http.NewRequest(http.MethodPost, "http://"+w.Address()+"/hold", strings.NewReader(`{"FencingToken":1}`))
		c.Assert(err, qt.IsNil)
		c.Assert(req.Write(conn), qt.IsNil)
		reader := bufio.NewReader(conn)
		var clocks []int64
		for range 2 {
			var out struct {
				ClockMs int64
				Active  *[][]any
			}
			resp, err := http.ReadResponse(reader, nil)
			if err != nil || json.NewDecoder(resp.Body).Decode(&out) != nil {
				break // a part of the second response
			}
			c.Assert(out.Active, qt.IsNotNil)
			clocks = append(clocks, out.ClockMs)
		}
		c.Assert(conn.Close(), qt.IsNil)
		switch {
		case len(clocks) == 2 && clocks[1] > clocks[0]:
			fresh++
		case len(clocks) == 2:
			copies++
		}
	}
	c.Check(fresh > 5, qt.IsTrue, qt.Commentf("%d", fresh))
	c.Check(copies > 5, qt.IsTrue, qt.Commentf("%d", copies))
}
