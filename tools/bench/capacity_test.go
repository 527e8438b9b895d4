package main

import (
	"bytes"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against state and message tables that return an error or lack a row after a
// change of the encoded messages.
func TestStateAndMessageTables(t *testing.T) {
	var out bytes.Buffer
	qt.Assert(t, stateTables(&out), qt.IsNil)
	qt.Assert(t, messageTables(&out), qt.IsNil)
	for _, row := range []string{"snapshot bytes = ", "steady bytes/s = ", "answer bytes/s = ", "status bytes/s = "} {
		qt.Check(t, out.String(), qt.Contains, row)
	}
}

// Guards against a watermark read that returns before the local copy has a write
// that was confirmed earlier.
func TestWatermarkTable(t *testing.T) {
	var out bytes.Buffer
	qt.Assert(t, watermarkTable(&out), qt.IsNil)
	qt.Check(t, out.String(), qt.Contains, "watermark read misses it in 0 ")
}
