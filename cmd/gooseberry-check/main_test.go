package main

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
)

const (
	goodHistory = `{"client":"c","kind":"request","id":"a","start_ns":1,"end_ns":9,"outcome":"ok","body":"x","want":"x"}
{"client":"t","kind":"dispatch","id":"a","start_ns":2,"end_ns":3,"outcome":"ran","target":"t1"}
`
	secondDispatch = `{"client":"t","kind":"dispatch","id":"a","start_ns":4,"end_ns":5,"outcome":"ran","target":"t2"}
`
	instanceList = `{"as_of_ms":1,"instances":[{"name":"w1","kind":"worker","cpu_milli":4000,"memory_mib":8192},
{"name":"t1","kind":"target","service":"s","worker":"w1","slots":1,"connections":2}]}`
	serviceDeclaration = `{"name":"s","service":{"team":"t","latency_target_ms":10,"per_target":{"cpu_milli":2000,"memory_mib":10}}}`
	attemptOf3Cores    = `{"client":"w1","kind":"attempt","id":"j","start_ns":2,"end_ns":3,"outcome":"ok","worker":"w1","attempt":1,"cpu_milli":3000}
`
)

func write(t *testing.T, content string) string {
	file := filepath.Join(t.TempDir(), "file")
	qt.Assert(t, os.WriteFile(file, []byte(content), 0o600), qt.IsNil)
	return file
}

// Guards against exit code 0 after a violation or after an input that could not
// be checked.
func TestExitCodes(t *testing.T) {
	good, bad := write(t, goodHistory), write(t, goodHistory+secondDispatch)
	list, declaration := write(t, instanceList), write(t, serviceDeclaration)
	events := write(t, `{"hlc":1,"time":"1970-01-01T00:00:00.000Z","instance":"t1","kind":"instance_leaving"}`)
	reverted := write(t, `{"hlc":1,"time":"2026-01-01T00:00:00.000Z","instance":"e1","kind":"config_in_force","detail":"version 5"}
{"hlc":2,"time":"2026-01-01T00:00:01.000Z","instance":"e1","kind":"config_in_force","detail":"version 4"}`)
	// The event time is exact to 1 ms only, so a read within the same millisecond
	// may precede the event.
	config := write(t, `{"hlc":1,"time":"1970-01-01T00:00:01.000Z","instance":"e1","kind":"config_in_force","detail":"version 5"}`)
	sameMillisecond := write(t, `{"client":"c","kind":"config_read","id":"e1","start_ns":1000200000,"end_ns":1000500000,"outcome":"ok","version":4}`+"\n")
	nextMillisecond := write(t, `{"client":"c","kind":"config_read","id":"e1","start_ns":1001000000,"end_ns":1001500000,"outcome":"ok","version":4}`+"\n")
	for name, test := range map[string]struct {
		args []string
		code int
		want string
	}{
		"held":                {[]string{good, "--instances", list}, exitOK, "G6 HELD       checked=2 violations=0"},
		"violated":            {[]string{bad}, exitViolation, "G6 VIOLATED"},
		"reserved capacity":   {[]string{write(t, attemptOf3Cores), "--instances", list, "--declarations", declaration}, exitViolation, "G1 VIOLATED"},
		"without reservation": {[]string{write(t, attemptOf3Cores), "--instances", list}, exitOK, "G1 HELD"},
		"unreadable":          {[]string{write(t, "{")}, exitInput, ""},
		"no operations":       {[]string{good, "--require", "G9"}, exitUnchecked, "G9 UNCHECKED"},
		"leaving in events":   {[]string{good, "--events", events, "--require", "G7"}, exitOK, "G7 HELD       checked=1"},
		"reverted in events":  {[]string{good, "--events", reverted}, exitViolation, "G9 VIOLATED"},
		"read before event":   {[]string{sameMillisecond, "--events", config}, exitOK, "G9 HELD"},
		"read after event":    {[]string{nextMillisecond, "--events", config}, exitViolation, "G9 VIOLATED"},
		"usage":               {[]string{"--colour"}, exitUsage, ""},
		"json":                {[]string{bad, "--format", "json"}, exitViolation, `"name": "G6"`},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var stdout, stderr bytes.Buffer
			c.Check(run(test.args, &stdout, &stderr), qt.Equals, test.code, qt.Commentf("%s%s", &stdout, &stderr))
			c.Check(stdout.String(), qt.Contains, test.want)
		})
	}
}
