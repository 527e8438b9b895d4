package ingress

import (
	"io"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"
)

const (
	// freeBytes is the part of each body that is not charged to the budget: the limit of
	// connections bounds it. Small bodies are therefore never refused for want of memory.
	freeBytes = 8 << 10
	// decodedFactor is the memory of a body until its request has been served, with what
	// is decoded from it, as a multiple of its buffer.
	decodedFactor = 3
	// initialBytes is the first buffer of a body of unknown length.
	initialBytes = 1 << 10
	// progressBytes is how much of a body must arrive to count as progress.
	progressBytes = 16 << 10
	// maxBodyTime limits the time in which a body must arrive, however long its caller
	// is willing to wait.
	maxBodyTime = 30 * time.Second
	// discardTime limits the wait for the rest of a body that is not used.
	discardTime = 50 * time.Millisecond
	// discardBytes limits the rest of a body that is read to keep its connection.
	discardBytes = 64 << 10
)

// Errors of bodies, beside ErrExhausted.
var (
	ErrTooLarge = errors.New("the request body is too large")
	ErrTimeout  = errors.New("the request body has not arrived in time")
)

// expired is a deadline that ends reads at once.
var expired = time.Unix(1, 0)

// MemoryOf returns the memory that a body of a number of bytes is charged for.
func MemoryOf(bytes int64) int64 { return decodedFactor * max(bytes-freeBytes, 0) }

// Body is the body of a request. All its methods must be called from the goroutine that
// serves the request.
type Body struct {
	io.ReadCloser
	account account
	tracked bool  // account is in use
	conn    *conn // nil if the connection was not accepted by a Listener
	control *http.ResponseController
	length  int64 // as announced, -1 if unknown
	arrived int64 // bytes since the last progress
	sawEOF  bool
}

// Open returns the body of a request, which must arrive within a time limit. The caller
// must call Release when the request has been served.
func (b *Budget) Open(w http.ResponseWriter, r *http.Request, limit time.Duration) *Body {
	body := &Body{ReadCloser: r.Body, conn: connOf(r.Context()), control: http.NewResponseController(w), length: r.ContentLength}
	body.account.budget, body.account.stop = b, body.stopReads
	_ = body.control.SetReadDeadline(time.Now().Add(min(limit, maxBodyTime))) // fails only without a connection
	return body
}

// stopReads ends the reads of an incomplete body. net/http sets another deadline only
// once a body has been read to its end.
func (b *Body) stopReads() { _ = b.control.SetReadDeadline(expired) }

// Read implements io.Reader.
func (b *Body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.sawEOF = true
	}
	return n, err
}

// ReadAll reads the whole body, of at most limit bytes.
func (b *Body) ReadAll(limit int64) ([]byte, error) {
	data, err := b.readAll(limit)
	if err == nil {
		b.conn.protect()
		return data, nil
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err = ErrTimeout
	}
	if b.tracked && b.account.wasEvicted() {
		err = ErrExhausted
	}
	switch err {
	case ErrExhausted:
		b.account.budget.refused("memory")
	case ErrTimeout:
		b.account.budget.refused("time")
	case ErrTooLarge:
		b.account.budget.refused("size")
	}
	b.Release()
	return nil, err
}

func (b *Body) readAll(limit int64) ([]byte, error) {
	if b.length > limit {
		return nil, ErrTooLarge
	}
	size := int64(initialBytes)
	if b.length >= 0 {
		size = min(b.length, freeBytes)
	}
	data := make([]byte, 0, size)
	for {
		if len(data) == cap(data) {
			next := b.nextSize(int64(cap(data)), limit)
			if err := b.charge(MemoryOf(next) - MemoryOf(int64(cap(data)))); err != nil {
				return nil, err
			}
			data = append(make([]byte, 0, next), data...)
		}
		n, err := b.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case int64(len(data)) > limit:
			return nil, ErrTooLarge
		case err == io.EOF:
			if b.tracked && !b.account.completed() {
				return nil, ErrExhausted
			}
			return data, nil
		case err != nil:
			return nil, err
		}
		b.progress(int64(n))
	}
}

// nextSize returns the size of the buffer after one that is full.
func (b *Body) nextSize(size, limit int64) int64 {
	next := min(max(2*size, initialBytes), limit+1)
	if size < b.length {
		next = min(next, b.length)
	}
	return next
}

func (b *Body) charge(n int64) error {
	if n <= 0 {
		return nil
	}
	b.tracked = true
	return b.account.charge(n)
}

// progress counts bytes that have arrived.
func (b *Body) progress(n int64) {
	if b.arrived += n; b.arrived < progressBytes {
		return
	}
	b.arrived = 0
	if b.tracked {
		b.account.progress()
	}
	b.conn.progress()
}

// Finish prepares the response to a request whose body may not have been read. If the
// rest does not arrive at once, the response closes the connection, and the close waits
// for the client to read the response.
func (b *Body) Finish(header http.Header) {
	if b.sawEOF || b.discard() {
		return
	}
	header.Set("Connection", "close")
	b.stopReads() // net/http would wait for the rest of the body
	b.conn.closeGracefully()
}

// discard reads the rest of the body and reports whether it has reached the end.
func (b *Body) discard() bool {
	if b.length > discardBytes || b.tracked || b.control.SetReadDeadline(time.Now().Add(discardTime)) != nil {
		return false
	}
	_, err := io.CopyN(io.Discard, b, discardBytes)
	return err == io.EOF
}

// Release returns the memory of the body to the budget.
func (b *Body) Release() {
	if b.tracked {
		b.account.release()
	}
}
