package crowdtest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// sendLimit ends the sending of a client whose data the process doesn't read.
	sendLimit = 8 * time.Second
	// fillTime is how long unread answers fill the buffers of their connections.
	fillTime = 3 * time.Second
)

// clients is a crowd of clients, each with one connection.
type clients struct {
	// address is where they connect, count their number.
	address string
	count   int
	// first is the number of the first client's job.
	first int
	// send writes the request of a client with the job id. Nil sends nothing.
	send func(conn net.Conn, id string) error
	// last is sent by each client after all have sent the rest of their requests.
	last []byte
	// complete is set if the requests are, so that each is answered or its
	// connection closed. An incomplete request is never accepted.
	complete bool
	// valid is set if the requests are: an answer of 504 leaves open whether a valid
	// submission was stored.
	valid bool
	// unserved is set if one of the requests of a client has a method that is not served.
	unserved bool
	// deaf clients don't read answers.
	deaf bool

	p       *process
	conns   []net.Conn
	sending sync.WaitGroup
	reading sync.WaitGroup
	mu      sync.Mutex
	answers map[int]int    // number of answers by status
	status  map[string]int // status of the first answer by job id
	faults  []string
	answer  sync.WaitGroup // clients that wait for their first answer
}

func jobID(n int) string { return fmt.Sprintf("%016x", n) }

// start opens all connections, lets all clients send at once and waits until the
// process has read what they sent.
func (c *clients) start(p *process) {
	c.p, c.answers, c.status = p, make(map[int]int), make(map[string]int)
	for range c.count {
		conn, err := net.DialTimeout("tcp", c.address, attemptTimeout)
		if err != nil {
			break // the process takes no more
		}
		c.conns = append(c.conns, conn)
	}
	released := make(chan struct{})
	for n, conn := range c.conns {
		if c.deaf {
			_ = conn.(*net.TCPConn).SetReadBuffer(4096) // a larger buffer only weakens the test
		} else {
			c.answer.Add(1)
			c.reading.Go(func() { c.read(conn, jobID(c.first+n)) })
		}
		if c.send != nil {
			c.sending.Go(func() {
				<-released
				_ = conn.SetWriteDeadline(time.Now().Add(sendLimit))
				_ = c.send(conn, jobID(c.first+n)) // the process may close the connection
			})
		}
	}
	close(released)
	c.sending.Wait()
	if c.deaf {
		time.Sleep(fillTime)
	}
	for end := time.Now().Add(sendLimit); !c.deaf && !p.hasRead(c.address) && time.Now().Before(end); {
		time.Sleep(pollInterval)
	}
	for _, conn := range c.conns {
		_ = conn.SetWriteDeadline(time.Now().Add(sendLimit))
		_, _ = conn.Write(c.last) // the process may close the connection
	}
}

// read records the complete answers on a connection.
func (c *clients) read(conn net.Conn, id string) {
	answered := sync.OnceFunc(c.answer.Done)
	defer answered()
	for r := bufio.NewReaderSize(conn, 1024); ; answered() {
		response, err := http.ReadResponse(r, nil)
		if err != nil {
			return
		}
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if err != nil {
			return
		}
		c.record(response, id)
	}
}

func (c *clients) record(response *http.Response, id string) {
	status := response.StatusCode
	allowed := c.complete && status >= 200 && status < 300 || c.valid && status == 504 || c.unserved && (status == 404 || status == 405) || slices.Contains([]int{400, 408, 413, 429, 431, 503}, status)
	retryAfter, err := strconv.Atoi(response.Header.Get("Retry-After"))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers[status]++
	if _, found := c.status[id]; !found {
		c.status[id] = status
	}
	if !allowed {
		c.faults = append(c.faults, fmt.Sprintf("%s: status %d", id, status))
	}
	if (status == 429 || status == 503) && (err != nil || retryAfter < 1) {
		c.faults = append(c.faults, fmt.Sprintf("%s: status %d with Retry-After %q", id, status, response.Header.Get("Retry-After")))
	}
}

func (c *clients) close() {
	for _, conn := range c.conns {
		_ = conn.Close()
	}
	c.reading.Wait()
}

// run starts the clients, makes ordinary calls beside them and afterwards, and
// checks the limits of the process.
func (c *clients) run(p *process, others ...func()) {
	p.Helper()
	c.start(p)
	defer c.close()
	p.submitOrdinary("beside the crowd")
	for _, call := range others {
		call()
	}
	if c.complete {
		answered := make(chan struct{})
		go func() { c.answer.Wait(); close(answered) }()
		select {
		case <-answered:
		case <-time.After(hangLimit):
			p.Errorf("requests without an answer whose connections are open")
		}
	}
	c.close()
	p.submitOrdinary("after the crowd")
	for _, call := range others {
		call()
	}
	p.checkLimits()
	p.Logf("%d connections, answers by status: %v", len(c.conns), c.answers)
	p.Check(c.faults, qt.HasLen, 0)
	for _, start := range p.cluster.Starts() {
		id, _, _ := strings.Cut(start.Task, ".")
		status, found := c.status[id]
		n, err := strconv.ParseInt(id, 16, 64)
		p.Assert(err, qt.IsNil)
		if n < int64(c.first) || n >= int64(c.first+c.count) {
			continue // not of this crowd
		}
		p.Check(c.valid && (!found || status < 300 || status == 504), qt.IsTrue, qt.Commentf("%s runs, valid %v, status %d", start.Task, c.valid, status))
	}
	p.Check(p.cluster.Violations(), qt.HasLen, 0)
}
