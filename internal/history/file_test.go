package history

import (
	"bytes"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against fields that are lost when an operation is written and read again.
func TestWriteAndRead(t *testing.T) {
	c := qt.New(t)
	op := Operation{Client: "c@127.0.0.1:1", Kind: KindRequest, ID: "a", Start: 1, End: 2, Outcome: OutcomeOK, Status: 200, Idempotent: true, Body: "x", Want: "x"}
	var file bytes.Buffer
	w := NewWriter(&file)
	c.Assert(w.Write(op), qt.IsNil)
	c.Assert(w.Flush(), qt.IsNil)
	ops, err := Read("h.jsonl", &file)
	c.Assert(err, qt.IsNil)
	c.Assert(ops, qt.DeepEquals, []Operation{op})
}

// Guards against damaged lines that are accepted as operations, and against errors
// that don't name the damaged line.
func TestReadErrorsNameFileAndLine(t *testing.T) {
	good := `{"client":"c","kind":"request","id":"a","start_ns":1,"end_ns":2,"outcome":"ok"}` + "\n"
	for name, test := range map[string]struct{ line, want string }{
		"half a line":   {`{"client":"c"`, "decode"},
		"unknown field": {`{"kind":"request","colour":1}`, "colour"},
		"unknown kind":  {`{"kind":"song","start_ns":1}`, "kind"},
		"no start":      {`{"kind":"request"}`, "start_ns"},
		"ends early":    {`{"kind":"request","start_ns":5,"end_ns":4}`, "end_ns"},
		"two values":    {`{"kind":"request","start_ns":5} {}`, "more than one"},
		"too long":      {strings.Repeat("x", MaxLineBytes+1), "longer than"},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			_, err := Read("h.jsonl", strings.NewReader(good+"\n"+test.line))
			c.Assert(err, qt.ErrorMatches, `h\.jsonl:3: .*`+test.want+`.*`)
		})
	}
}

// Guards against damaged files that crash the reader or the checks.
func FuzzRead(f *testing.F) {
	f.Add([]byte(`{"client":"c","kind":"request","id":"a","start_ns":1,"end_ns":2,"outcome":"ok"}`))
	f.Add([]byte("{\n\n}"))
	f.Fuzz(func(t *testing.T, data []byte) {
		ops, err := Read("h.jsonl", bytes.NewReader(data))
		if err == nil {
			Check(ops, Limits{}, Bounds{Search: 100 * time.Millisecond})
		}
	})
}
