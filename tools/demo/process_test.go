package main

import (
	"context"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// ignoreSIGTERMVariable makes the test program act as a process that ignores SIGTERM.
const ignoreSIGTERMVariable = "DEMO_TEST_STUBBORN"

func TestMain(m *testing.M) {
	if os.Getenv(ignoreSIGTERMVariable) != "" {
		signal.Ignore(syscall.SIGTERM)
		time.Sleep(time.Minute)
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// Guards against processes that outlive the driver: one that ignores SIGTERM,
// and one that is started while the driver stops.
func TestStopAllLeavesNoProcess(t *testing.T) {
	c := qt.New(t)
	t.Setenv(ignoreSIGTERMVariable, "1")
	program, err := os.Executable()
	c.Assert(err, qt.IsNil)
	procs := newProcesses(filepath.Dir(program), t.TempDir())
	ignoring, err := procs.start("stubborn", filepath.Base(program))
	c.Assert(err, qt.IsNil)
	procs.stopAll()
	<-ignoring.ended
	c.Assert(ignoring.cmd.ProcessState.Exited(), qt.IsFalse)
	_, err = procs.start("late", filepath.Base(program))
	c.Assert(err, qt.ErrorMatches, ".*is stopping")
}

// Guards against reporting a failed program as successful.
func TestRunReturnsExitCode(t *testing.T) {
	c := qt.New(t)
	program, err := os.Executable()
	c.Assert(err, qt.IsNil)
	procs := newProcesses(filepath.Dir(program), t.TempDir())
	defer procs.stopAll()
	code, err := procs.run(context.Background(), "usage", filepath.Base(program), "-no-such-flag")
	c.Assert(err, qt.IsNil)
	c.Assert(code, qt.Equals, exitUsage)
	c.Assert(procs.output("usage"), qt.Contains, "no-such-flag")
}

// Guards against a final result that ignores a failed check, and against success
// without any check.
func TestReportFails(t *testing.T) {
	c := qt.New(t)
	out, err := os.Create(filepath.Join(t.TempDir(), "out"))
	c.Assert(err, qt.IsNil)
	defer out.Close()
	r := &report{out: out, start: time.Now()}
	c.Assert(r.finish(), qt.IsFalse)
	r.check(true, "1", "fine")
	c.Assert(r.finish(), qt.IsTrue)
	r.check(false, "2", "not fine")
	c.Assert(r.finish(), qt.IsFalse)
}
