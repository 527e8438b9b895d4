package processtest

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"gooseberryreel/internal/loopback"
	"gooseberryreel/internal/remote"
)

// Exit codes of gooseberry-entry.
const (
	entryExitOK     = 0
	entryExitInvalidSettings    = 2
	entryExitListenFailed      = 3
	entryExitSuperseded  = 4
	entryExitRecordsTrimmed = 5
)

func (p *process) exitCode() int {
	<-p.exited
	return p.cmd.ProcessState.ExitCode()
}

// runEntry runs gooseberry-entry to its end.
func (s *harness) runEntry(args ...string) (code int, output string) {
	var out bytes.Buffer
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	cmd := exec.CommandContext(ctx, filepath.Join(binDir, "gooseberry-entry"), args...)
	cmd.Stdout, cmd.Stderr = &out, &out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	spawn <- func() { started <- cmd.Start() }
	s.Assert(<-started, qt.IsNil)
	_ = cmd.Wait() // the exit code is what is asked for
	return cmd.ProcessState.ExitCode(), out.String()
}

func (s *harness) awaitExit(p *process) {
	s.Helper()
	s.await("end of "+p.name, p.hasExited)
}

// Guards against a supervisor that can't tell invalid settings, an address in
// use, a replaced process and lost records apart by the exit code.
func TestEntryExitCodes(t *testing.T) {
	t.Parallel()
	s := newConfigHarness(t, 210)
	s.publish(teamOf("crew", 1))
	first := s.start("a", "north")
	s.awaitOwners(first)
	valid := first.cmd.Args[len(first.cmd.Args)-1]

	invalid := filepath.Join(s.dir, "bad.json")
	s.Assert(os.WriteFile(invalid, []byte(`{"instance":"A b","lease_ms":0}`), 0o600), qt.IsNil)
	for _, args := range [][]string{{"--settings", invalid}, {"--settings", invalid, "--check-config"}} {
		code, output := s.runEntry(args...)
		s.Check(code, qt.Equals, entryExitInvalidSettings)
		s.Check(output, qt.Contains, "bad.json: instance: ")
		s.Check(output, qt.Contains, "bad.json: lease_ms: unknown field")
		s.Check(output, qt.Contains, "bad.json: log_url: missing required field")
	}
	code, output := s.runEntry("--settings", valid, "--check-config")
	s.Check(code, qt.Equals, entryExitOK, qt.Commentf("%s", output))
	addressInUse := filepath.Join(s.dir, "taken.json")
	data, err := json.Marshal(s.newSettings(first, nil))
	s.Assert(err, qt.IsNil)
	s.Assert(os.WriteFile(addressInUse, data, 0o600), qt.IsNil)
	code, output = s.runEntry("--settings", addressInUse)
	s.Check(code, qt.Equals, entryExitListenFailed, qt.Commentf("%s", output))

	second := s.start("a", "north")
	s.awaitExit(first)
	s.Check(first.exitCode(), qt.Equals, entryExitSuperseded)
	s.awaitOwners(second)

	// The log drops records while the instance can't read them.
	s.setLogMode(loopback.Refuse, second)
	s.await("log lost", func() bool {
		status, err := s.status(second)
		return err == nil && !status.LogReadable
	})
	stream := "control." + second.domain
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	_, err = remote.NewHTTPLog(s.platform.LogURL()).Append(ctx, stream, [][]byte{[]byte("one"), []byte("two")})
	s.Assert(err, qt.IsNil)
	s.trimStream(stream)
	s.setLogMode(loopback.Forward, second)
	s.awaitExit(second)
	s.Check(second.exitCode(), qt.Equals, entryExitRecordsTrimmed)

	third := s.start("b", "south")
	s.await("ready", func() bool { return s.client.Ready(t.Context(), third.entry()) })
	third.signal(syscall.SIGTERM)
	s.awaitExit(third)
	s.Check(third.exitCode(), qt.Equals, entryExitOK)
}

// Guards against an instance that acts on an empty state although the log has
// dropped the records: an owner that is cut from the log may still act. It says
// what it misses, takes no work and appends nothing.
func TestTrimmedLogWithoutSnapshot(t *testing.T) {
	t.Parallel()
	s := newConfigHarness(t, 211)
	s.publish(teamOf("crew", 1))
	first := s.start("a", "north")
	s.awaitOwners(first)
	s.kill(first)
	const control = "control.north"
	s.trimStream(control)
	s.trimStream("config")
	end := s.readStream(control).Next
	late := s.start("b", "north")
	for _, stream := range []string{control, "config"} {
		s.await("alarm for "+stream, func() bool {
			return s.metricValue(late, `log_snapshot_missing{stream="`+stream+`"}`) == "1"
		})
	}
	s.await("several ticks", func() bool {
		return s.hasEvent(late, "control_snapshot_missing") && s.hasEvent(late, "config_snapshot_missing")
	})
	time.Sleep(10 * heartbeatMS * time.Millisecond) // heartbeats would be appended now
	s.Check(s.client.Ready(t.Context(), late.entry()), qt.IsFalse)
	s.Check(s.readStream(control).Next, qt.Equals, end)
}
