// Package logline buffers log lines, so that a slow output never blocks the code
// that logs. Lines that exceed the buffer or the rate limit are dropped and
// counted.
package logline

import (
	"bytes"
	"io"
	"sync"
	"time"
)

const (
	// maxBufferedBytes bounds the size of the lines that wait for the output.
	maxBufferedBytes = 1 << 20
	// maxWriteBytes bounds one write to what a pipe accepts at once. Lines are
	// not split, so a longer line makes a longer write.
	maxWriteBytes = 4 << 10
	// flushInterval is how long lines are collected, to write several at once.
	flushInterval = 100 * time.Millisecond
	// maxLinesPerSecond is the rate above which lines are dropped.
	maxLinesPerSecond = 2000
)

// Writer is an io.Writer that buffers lines for an output that may be slow.
type Writer struct {
	out     io.Writer
	dropped func(lines int)

	mu     sync.Mutex
	buffer bytes.Buffer
	// lines counts the lines of the second that began at windowStart.
	windowStart time.Time
	lines       int
	closed      chan struct{}
	done        chan struct{}
}

// New returns a Writer to out. It calls dropped with the number of lines each
// time it drops some.
func New(out io.Writer, dropped func(lines int)) *Writer {
	w := &Writer{out: out, dropped: dropped, closed: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It expects one line per call and never returns an
// error.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now := time.Now(); now.Sub(w.windowStart) >= time.Second {
		w.windowStart, w.lines = now, 0
	}
	w.lines++
	if w.lines > maxLinesPerSecond || w.buffer.Len()+len(line) > maxBufferedBytes {
		w.dropped(1)
		return len(line), nil
	}
	return w.buffer.Write(line)
}

// Close writes the buffered lines and stops the writer's goroutine.
func (w *Writer) Close() {
	close(w.closed)
	<-w.done
}

func (w *Writer) run() {
	defer close(w.done)
	for {
		select {
		case <-w.closed:
			w.flush()
			return
		case <-time.After(flushInterval):
			w.flush()
		}
	}
}

func (w *Writer) flush() {
	w.mu.Lock()
	data := bytes.Clone(w.buffer.Bytes())
	w.buffer.Reset()
	w.mu.Unlock()
	for len(data) > 0 {
		part := data
		if len(part) > maxWriteBytes {
			if end := bytes.LastIndexByte(part[:maxWriteBytes], '\n'); end >= 0 {
				part = part[:end+1]
			}
		}
		data = data[len(part):]
		if _, err := w.out.Write(part); err != nil {
			w.dropped(bytes.Count(part, []byte("\n")))
		}
	}
}
