package main

import (
	"bytes"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against request tables that return an error or lack a row after a change
// of the request path.
func TestRequestTables(t *testing.T) {
	requestScale = 0.02
	var out bytes.Buffer
	qt.Assert(t, requestTables(&out), qt.IsNil)
	for _, row := range []string{"entry plus owner", "owner-local", "round robin", "budget of 10 %", "early refusal (in use)"} {
		qt.Check(t, out.String(), qt.Contains, row)
	}
}
