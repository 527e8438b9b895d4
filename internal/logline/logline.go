// Package logline writes log lines without ever blocking the writer. Lines
// beyond the capacity are dropped and counted.
package logline

import (
	"bytes"
	"io"
	"sync"
	"time"
)

const (
	// maxBufferedBytes bounds the bytes that wait for the output.
	maxBufferedBytes = 1 << 20
	// maxWriteBytes bounds one write, as a pipe takes this much at once; lines are
	// not split.
	maxWriteBytes = 4 << 10
	// flushInterval lets lines share a write.
	flushInterval = 100 * time.Millisecond
	// maxLinesPerSecond is the number of lines a second beyond which lines are dropped.
	maxLinesPerSecond = 2000
)

// Writer is an io.Writer in front of a slow output.
type Writer struct {
	out     io.Writer
	dropped func(lines int)

	mu          sync.Mutex
	buffer      bytes.Buffer
	windowStart time.Time
	lines       int
	closed      chan struct{}
	done        chan struct{}
}

// New returns a writer; dropped is called with the number of lost lines.
func New(out io.Writer, dropped func(lines int)) *Writer {
	w := &Writer{out: out, dropped: dropped, closed: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It never fails.
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

// Close writes what waits.
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
