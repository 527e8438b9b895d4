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
	entryExitOK              = 0
	entryExitInvalidSettings = 2
	entryExitListenFailed    = 3
	entryExitSuperseded      = 4
	entryExitRecordsTrimmed  = 5
)

func (p *process) exitCode() int {
	<-p.exited
	return p.cmd.ProcessState.ExitCode()
}

// runEntry runs gooseberry-entry until it exits, and returns its exit code and output.
func (h *harness) runEntry(args ...string) (code int, output string) {
	var out bytes.Buffer
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	cmd := exec.CommandContext(ctx, filepath.Join(binDir, "gooseberry-entry"), args...)
	cmd.Stdout, cmd.Stderr = &out, &out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	spawn <- func() { started <- cmd.Start() }
	h.Assert(<-started, qt.IsNil)
	_ = cmd.Wait() // tests check the exit code instead of this error
	return cmd.ProcessState.ExitCode(), out.String()
}

func (h *harness) awaitExit(p *process) {
	h.Helper()
	h.await("exit of "+p.name, p.hasExited)
}

// Guards against exit codes by which a supervisor can't distinguish invalid settings,
// an address in use, a superseded process, trimmed records and a planned leave.
func TestEntryExitCodes(t *testing.T) {
	t.Parallel()
	h := newConfigHarness(t, 210)
	h.publish(teamOf("crew", 1))
	first := h.start("a", "north")
	h.awaitOwners(first)
	valid := first.cmd.Args[len(first.cmd.Args)-1]

	invalid := filepath.Join(h.dir, "bad.json")
	h.Assert(os.WriteFile(invalid, []byte(`{"instance":"A b","lease_ms":0}`), 0o600), qt.IsNil)
	for _, args := range [][]string{{"--settings", invalid}, {"--settings", invalid, "--check-config"}} {
		code, output := h.runEntry(args...)
		h.Check(code, qt.Equals, entryExitInvalidSettings)
		h.Check(output, qt.Contains, "bad.json: instance: ")
		h.Check(output, qt.Contains, "bad.json: lease_ms: unknown field")
		h.Check(output, qt.Contains, "bad.json: log_url: missing required field")
	}
	code, output := h.runEntry("--settings", valid, "--check-config")
	h.Check(code, qt.Equals, entryExitOK, qt.Commentf("%s", output))
	addressInUse := filepath.Join(h.dir, "taken.json")
	data, err := json.Marshal(h.newSettings(first, nil))
	h.Assert(err, qt.IsNil)
	h.Assert(os.WriteFile(addressInUse, data, 0o600), qt.IsNil)
	code, output = h.runEntry("--settings", addressInUse)
	h.Check(code, qt.Equals, entryExitListenFailed, qt.Commentf("%s", output))

	second := h.start("a", "north")
	h.awaitExit(first)
	h.Check(first.exitCode(), qt.Equals, entryExitSuperseded)
	h.awaitOwners(second)

	// The log trims records that the instance can't read in the meantime.
	h.setLogMode(loopback.Refuse, second)
	h.await("unreadable log", func() bool {
		status, err := h.status(second)
		return err == nil && !status.LogReadable
	})
	stream := "control." + second.domain
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	_, err = remote.NewHTTPLog(h.platform.LogURL()).Append(ctx, stream, [][]byte{[]byte("one"), []byte("two")})
	h.Assert(err, qt.IsNil)
	h.trimStream(stream)
	h.setLogMode(loopback.Forward, second)
	h.awaitExit(second)
	h.Check(second.exitCode(), qt.Equals, entryExitRecordsTrimmed)

	third := h.start("b", "south")
	h.await("ready", func() bool { return h.client.Ready(t.Context(), third.entry()) })
	third.signal(syscall.SIGTERM)
	h.awaitExit(third)
	h.Check(third.exitCode(), qt.Equals, entryExitOK)
}

// Guards against an instance that starts with an empty state although the log has
// trimmed records: an owner that is cut off from the log might still act. The
// instance must report the missing snapshots, accept no work and append nothing.
func TestTrimmedLogWithoutSnapshot(t *testing.T) {
	t.Parallel()
	h := newConfigHarness(t, 211)
	h.publish(teamOf("crew", 1))
	first := h.start("a", "north")
	h.awaitOwners(first)
	h.kill(first)
	const control = "control.north"
	h.trimStream(control)
	h.trimStream("config")
	end := h.readStream(control).Next
	late := h.start("b", "north")
	for _, stream := range []string{control, "config"} {
		h.await("metric of the missing snapshot of "+stream, func() bool {
			return h.metricValue(late, `log_snapshot_missing{stream="`+stream+`"}`) == "1"
		})
	}
	h.await("events of the missing snapshots", func() bool {
		return h.hasEvent(late, "control_snapshot_missing") && h.hasEvent(late, "config_snapshot_missing")
	})
	time.Sleep(10 * heartbeatMS * time.Millisecond) // long enough for several heartbeats, if it appended any
	h.Check(h.client.Ready(t.Context(), late.entry()), qt.IsFalse)
	h.Check(h.readStream(control).Next, qt.Equals, end)
}
