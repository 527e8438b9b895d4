package crowdtest

import (
	"net"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// post returns a send function for a body; size is as in postHeader.
func post(size int, write func(conn net.Conn) error) func(net.Conn, string) error {
	return func(conn net.Conn, id string) error {
		if _, err := conn.Write(postHeader(id, size)); err != nil {
			return err
		}
		return write(conn)
	}
}

func write(data []byte) func(net.Conn) error {
	return func(conn net.Conn) error { _, err := conn.Write(data); return err }
}

// Guards against memory that grows with the number of bodies that stop before their
// last byte.
func TestUnfinishedBodies(t *testing.T) {
	p := startProcess(t)
	body := paddedJob()
	(&clients{address: p.http, count: 600, send: post(len(body), write(body[:len(body)-1]))}).run(p)
}

// Guards against memory that grows with slow bodies, which look alive until they stop.
func TestUnfinishedBodiesInPieces(t *testing.T) {
	p := startProcess(t)
	body := paddedJob()
	(&clients{address: p.http, count: 600, send: post(len(body), func(conn net.Conn) error {
		return writePieces(conn, body[:len(body)-1])
	})}).run(p)
}

// Guards against a limit that only holds for bodies of announced length.
func TestUnfinishedBodiesInLargeChunks(t *testing.T) {
	p := startProcess(t)
	body := paddedJob()
	(&clients{address: p.http, count: 600, send: post(-1, write(chunked(body[:len(body)-1], 64<<10)))}).run(p)
}

// Guards against a limit that counts chunks or reads instead of memory.
func TestUnfinishedBodiesInTinyChunks(t *testing.T) {
	p := startProcess(t)
	body := paddedJob()
	(&clients{address: p.http, count: 400, send: post(-1, write(chunked(body[:len(body)-1], 1)))}).run(p)
}

// runComplete sends a complete body from each client. None is complete before the
// process has all of them but for the last byte.
func runComplete(t *testing.T, count int, valid bool, body []byte) {
	t.Helper()
	p := startProcess(t)
	p.Assert(len(body) <= maxBodyBytes, qt.IsTrue)
	n := len(body) - 1
	(&clients{address: p.http, count: count, complete: true, valid: valid, send: post(len(body), write(body[:n])), last: body[n:]}).run(p)
}

// Guards against a decoder that allocates far more than the body for elements that
// the validation then refuses.
func TestBodiesOfEmptySteps(t *testing.T) {
	runComplete(t, 48, false, filledBody(`{"Spec":"x","Phases":[{}`, `,{}`, `]}`))
}

// Guards against decoding more steps than a job may have.
func TestBodiesOfFilledSteps(t *testing.T) {
	const step = `{"Count":1,"Cpu":100,"MemMb":64,"EstimateMs":50}`
	runComplete(t, 200, false, filledBody(`{"Spec":"x","Phases":[`+step, ","+step, `]}`))
}

// Guards against lists of numbers that are decoded without a limit.
func TestBodiesOfLongAfterLists(t *testing.T) {
	runComplete(t, 300, false, filledBody(`{"Spec":"x","Phases":[{"Count":1,"After":[0`, `,0`, `]}]}`))
}

// Guards against memory or a stack that grows with the depth of a value that no
// field takes.
func TestBodiesOfNestedValues(t *testing.T) {
	nested := `,"U":` + strings.Repeat(`[`, 9000) + strings.Repeat(`]`, 9000)
	runComplete(t, 600, false, filledBody(invalidJob[:len(invalidJob)-1], nested, `}`))
}

// Guards against memory for each repetition of a field.
func TestBodiesOfRepeatedFields(t *testing.T) {
	runComplete(t, 600, false, filledBody(invalidJob[:len(invalidJob)-1], `,"Spec":"`+strings.Repeat("y", 4000)+`"`, `}`))
}

// Guards against memory for fields that the protocol doesn't have, and against jobs
// that run although they were refused.
func TestBodiesOfUnknownFields(t *testing.T) {
	runComplete(t, 600, true, filledBody(smallJob[:len(smallJob)-1], `,"Unknown":{"A":[1,{}]}`, `}`))
}

// Guards against a limit that refuses a single body of the largest size in calm.
func TestBodyOfLargestSizeIsServed(t *testing.T) {
	p := startProcess(t)
	body := paddedJob()
	p.Assert(body, qt.HasLen, maxBodyBytes)
	last := []byte("0\r\n\r\n")
	for n, send := range []func(net.Conn, string) error{
		post(len(body), write(body)),
		post(len(body), func(conn net.Conn) error { return writePieces(conn, body) }),
		post(-1, write(append(chunked(body, 64<<10), last...))),
		post(-1, write(append(chunked(body, 1), last...))),
		post(-1, func(conn net.Conn) error { return writePieces(conn, append(chunked(body, 1000), last...)) }),
	} {
		c := &clients{address: p.http, count: 1, first: n, complete: true, valid: true, send: send}
		c.run(p)
		p.Check(c.answers, qt.DeepEquals, map[int]int{http.StatusOK: 1}, qt.Commentf("form %d", n))
	}
}
