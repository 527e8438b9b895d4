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
	entryStopped     = 0
	entrySettings    = 2
	entryListen      = 3
	entrySuperseded  = 4
	entryRecordsLost = 5
)

func (p *process) exitCode() int {
	<-p.ended
	return p.cmd.ProcessState.ExitCode()
}

// runEntry runs gooseberry-entry to its end.
func (s *site) runEntry(args ...string) (code int, output string) {
	var out bytes.Buffer
	ctx, cancel := context.WithTimeout(context.Background(), patience)
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

func (s *site) awaitEnd(p *process) {
	s.Helper()
	s.await("end of "+p.name, p.hasEnded)
}

// Guards against a supervisor that can't tell invalid settings, an address in
// use, a replaced process and lost records apart by the exit code.
func TestEntryExitCodes(t *testing.T) {
	t.Parallel()
	s := newConfigSite(t, 210)
	s.publish(teamOf("crew", 1))
	first := s.start("a", "north")
	s.awaitOwners(first)
	valid := first.cmd.Args[len(first.cmd.Args)-1]

	bad := filepath.Join(s.dir, "bad.json")
	s.Assert(os.WriteFile(bad, []byte(`{"instance":"A b","lease_ms":0}`), 0o600), qt.IsNil)
	for _, args := range [][]string{{"--settings", bad}, {"--settings", bad, "--check-config"}} {
		code, output := s.runEntry(args...)
		s.Check(code, qt.Equals, entrySettings)
		s.Check(output, qt.Contains, "bad.json: instance: ")
		s.Check(output, qt.Contains, "bad.json: lease_ms: unknown field")
		s.Check(output, qt.Contains, "bad.json: log_url: missing required field")
	}
	code, output := s.runEntry("--settings", valid, "--check-config")
	s.Check(code, qt.Equals, entryStopped, qt.Commentf("%s", output))
	taken := filepath.Join(s.dir, "taken.json")
	data, err := json.Marshal(s.settingsOf(first, nil))
	s.Assert(err, qt.IsNil)
	s.Assert(os.WriteFile(taken, data, 0o600), qt.IsNil)
	code, output = s.runEntry("--settings", taken)
	s.Check(code, qt.Equals, entryListen, qt.Commentf("%s", output))

	second := s.start("a", "north")
	s.awaitEnd(first)
	s.Check(first.exitCode(), qt.Equals, entrySuperseded)
	s.awaitOwners(second)

	// The log drops records while the instance can't read them.
	s.cutLog(loopback.Refuse, second)
	s.await("log lost", func() bool {
		status, err := s.status(second)
		return err == nil && !status.LogReadable
	})
	stream := "control." + second.domain
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	_, err = remote.NewHTTPLog(s.platform.LogURL()).Append(ctx, stream, [][]byte{[]byte("one"), []byte("two")})
	s.Assert(err, qt.IsNil)
	s.trimAll(stream)
	s.cutLog(loopback.Forward, second)
	s.awaitEnd(second)
	s.Check(second.exitCode(), qt.Equals, entryRecordsLost)

	third := s.start("b", "south")
	s.await("ready", func() bool { return s.client.Ready(t.Context(), third.entry()) })
	third.signal(syscall.SIGTERM)
	s.awaitEnd(third)
	s.Check(third.exitCode(), qt.Equals, entryStopped)
}

// Guards against an instance that acts on an empty state although the log has
// dropped the records: an owner that is cut from the log may still act. It says
// what it misses, takes no work and appends nothing.
func TestNoSnapshotIsLeft(t *testing.T) {
	t.Parallel()
	s := newConfigSite(t, 211)
	s.publish(teamOf("crew", 1))
	first := s.start("a", "north")
	s.awaitOwners(first)
	s.kill(first)
	const control = "control.north"
	s.trimAll(control)
	s.trimAll("config")
	end := s.readStream(control).Next
	late := s.start("b", "north")
	for _, stream := range []string{control, "config"} {
		s.await("alarm for "+stream, func() bool {
			return s.metric(late, `log_snapshot_missing{stream="`+stream+`"}`) == "1"
		})
	}
	s.await("several ticks", func() bool {
		return s.events(late, "control_snapshot_missing") && s.events(late, "config_snapshot_missing")
	})
	time.Sleep(10 * heartbeatMS * time.Millisecond) // heartbeats would be appended now
	s.Check(s.client.Ready(t.Context(), late.entry()), qt.IsFalse)
	s.Check(s.readStream(control).Next, qt.Equals, end)
}
