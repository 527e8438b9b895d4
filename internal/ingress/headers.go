package ingress

import (
	"bytes"
	"sync/atomic"

	"github.com/pkg/errors"
)

// maxHeaderLines limits the lines of the headers of a request. The memory of a parsed
// line is many times that of a short one.
const maxHeaderLines = 128

var errTooManyLines = errors.Errorf("the headers of the request have more than %d lines", maxHeaderLines)

// States of headerLines.lines, beside a number of lines.
const (
	headersExpected = -1
	headersRead     = -2
)

// headerLines counts the lines of the headers of a request as they arrive, since net/http
// limits their bytes only.
type headerLines struct {
	lines atomic.Int32
	// length is that of the newest line so far. It is used by the reader only.
	length int
}

// expect begins the headers of the next request.
func (h *headerLines) expect() { h.lines.Store(headersExpected) }

// end ends the headers of a request.
func (h *headerLines) end() { h.lines.Store(headersRead) }

// exceeded reports whether there are too many lines.
func (h *headerLines) exceeded() bool { return h.lines.Load() > maxHeaderLines }

// arrived counts the lines in data that has arrived.
func (h *headerLines) arrived(p []byte) {
	lines := h.lines.Load()
	switch lines {
	case headersRead:
		return
	case headersExpected:
		lines, h.length = 0, 0
	}
	for len(p) > 0 && lines <= maxHeaderLines {
		end := bytes.IndexByte(p, '\n')
		if end < 0 {
			h.length += lineLength(p)
			break
		}
		h.length += lineLength(p[:end])
		empty := h.length == 0
		h.length, p = 0, p[end+1:]
		switch {
		case empty && lines == 0: // net/http ignores it
		case empty:
			h.end()
			return
		default:
			lines++
		}
	}
	h.lines.Store(lines)
}

// lineLength is the length of a part of a line. The line may be divided before its
// line feed, so carriage returns don't count.
func lineLength(p []byte) int { return len(p) - bytes.Count(p, []byte("\r")) }
