package history

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"os"
	"sync"

	"github.com/pkg/errors"
)

// MaxLineBytes bounds a line of a history, so that a damaged file can't exhaust
// the memory.
const MaxLineBytes = 64 << 10

// Writer writes operations as JSON lines. It is safe for concurrent use.
type Writer struct {
	mu  sync.Mutex
	out *bufio.Writer
}

// NewWriter returns a buffered writer to w. Flush writes its buffer.
func NewWriter(w io.Writer) *Writer { return &Writer{out: bufio.NewWriter(w)} }

// Write writes one operation to the buffer.
func (w *Writer) Write(op Operation) error {
	line, err := json.Marshal(op)
	if err != nil {
		return errors.Wrap(err, "encode operation")
	}
	if len(line) > MaxLineBytes {
		return errors.Errorf("operation %s has %d bytes, limit %d", op.ID, len(line), MaxLineBytes)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	_, err = w.out.Write(append(line, '\n'))
	return errors.Wrap(err, "write operation")
}

// Flush writes the buffered operations to the underlying writer.
func (w *Writer) Flush() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return errors.Wrap(w.out.Flush(), "flush history")
}

// Read reads all operations from r. Errors name the file and the line.
func Read(file string, r io.Reader) ([]Operation, error) {
	var ops []Operation
	err := ReadLines(file, r, func(line []byte) error {
		var op Operation
		if err := decodeStrict(line, &op); err != nil {
			return err
		}
		if err := op.validate(); err != nil {
			return err
		}
		ops = append(ops, op)
		return nil
	})
	return ops, err
}

// ReadFile reads the operations of one file.
func ReadFile(file string) ([]Operation, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, errors.Wrap(err, "open history")
	}
	defer f.Close()
	return Read(file, f)
}

// ReadLines calls f with each line that is not blank. Errors name the file and
// the line.
func ReadLines(file string, r io.Reader, f func(line []byte) error) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 4096), MaxLineBytes)
	number := 0
	for scanner.Scan() {
		number++
		line := bytes.TrimSpace(scanner.Bytes())
		if len(line) == 0 {
			continue
		}
		if err := f(line); err != nil {
			return errors.Wrapf(err, "%s:%d", file, number)
		}
	}
	if errors.Is(scanner.Err(), bufio.ErrTooLong) {
		return errors.Errorf("%s:%d: line is longer than %d bytes", file, number+1, MaxLineBytes)
	}
	return errors.Wrapf(scanner.Err(), "%s:%d", file, number+1)
}

func decodeStrict(line []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(line))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return errors.Wrap(err, "decode")
	}
	if decoder.More() {
		return errors.New("more than one value on the line")
	}
	return nil
}

func (op *Operation) validate() error {
	switch op.Kind {
	case KindRequest, KindJob, KindPublish, KindConfigRead, KindDispatch, KindAttempt, KindConnection, KindLeaving:
	default:
		return errors.Errorf("kind: unknown kind %q", op.Kind)
	}
	if op.Start <= 0 {
		return errors.New("start_ns: not positive")
	}
	if op.End != 0 && op.End < op.Start {
		return errors.New("end_ns: before start_ns")
	}
	return nil
}
