package daemon

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"gooseberryreel/internal/emulator"
	"gooseberryreel/internal/loopback"
)

// process is one scheduler process of the built binary.
type process struct {
	cmd      *exec.Cmd
	settings string
	address  string
	ready    string
	output   *processOutput
}

// processOutput is the output of a process with the time of each write.
type processOutput struct {
	mu     sync.Mutex
	writes []processWrite
}

type processWrite struct {
	at   time.Time
	text string
}

// Write implements io.Writer.
func (o *processOutput) Write(data []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.writes = append(o.writes, processWrite{time.Now(), string(data)})
	return len(data), nil
}

// String returns the whole output.
func (o *processOutput) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var text strings.Builder
	for _, w := range o.writes {
		text.WriteString(w.text)
	}
	return text.String()
}

// processDeployment runs scheduler processes against an emulated platform.
type processDeployment struct {
	*deployment
	binary    string
	processes []*process
}

func newProcessDeployment(t *testing.T, processes int, behaviour func(string, int) emulator.Behaviour) *processDeployment {
	t.Helper()
	dir := t.TempDir()
	p := &processDeployment{deployment: newDeployment(t, 0, 4, behaviour), binary: filepath.Join(dir, "gooseberry-scheduler")}
	out, err := exec.Command("go", "build", "-o", p.binary, "gooseberryreel/cmd/gooseberry-scheduler").CombinedOutput()
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", out))
	endpoint := p.store.Endpoint()
	for n := range processes {
		addresses, err := loopback.ReserveAddresses(4)
		qt.Assert(t, err, qt.IsNil)
		proc := &process{settings: filepath.Join(dir, fmt.Sprintf("%d.json", n)), address: addresses[0], ready: addresses[1]}
		data, err := json.Marshal(map[string]any{
			"instance": fmt.Sprintf("inst-%d", n), "region": "r", "failure_domain": "z", "cpu_share": 0.2, "memory_mib": 256,
			"http_address": proc.address, "ready_address": proc.ready, "metrics_address": addresses[2], "peer_address": addresses[3],
			"store":  map[string]any{"address": endpoint.Address()},
			"relay":  map[string]any{"owner_workers_per_core": 1, "relay_workers_per_core": 1000},
			"bounds": map[string]any{"grace_s": 4},
		})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, os.WriteFile(proc.settings, data, 0o600), qt.IsNil)
		p.processes = append(p.processes, proc)
		p.launch(proc)
	}
	t.Cleanup(func() { p.kill(p.processes...) })
	return p
}

func (p *processDeployment) launch(proc *process) {
	p.t.Helper()
	proc.cmd = exec.Command(p.binary, "--settings", proc.settings)
	proc.output = &processOutput{}
	proc.cmd.Stdout, proc.cmd.Stderr = proc.output, proc.output
	qt.Assert(p.t, proc.cmd.Start(), qt.IsNil)
}

// restart launches a process until it listens: its ports may be in use briefly by
// connections of this test.
func (p *processDeployment) restart(proc *process) {
	p.t.Helper()
	p.eventually("the process listens", func() bool {
		p.launch(proc)
		for range 100 {
			if conn, err := net.Dial("tcp", proc.address); err == nil {
				_ = conn.Close()
				return true
			}
			time.Sleep(20 * time.Millisecond)
		}
		p.kill(proc)
		p.t.Logf("process did not listen, starting it again: %s", proc.output)
		return false
	})
}

// kill ends processes without a shutdown, like a power loss.
func (p *processDeployment) kill(list ...*process) {
	for _, proc := range list {
		_ = proc.cmd.Process.Kill() // it may have exited already
	}
	for _, proc := range list {
		_ = proc.cmd.Wait() // reports the signal
	}
}

func (p *processDeployment) call(proc *process, method, path string, body any) (int, map[string]any) {
	return p.deployment.call(&testInstance{Instance: &Instance{listeners: listenersAt(proc.address)}}, method, path, body)
}

// fixedAddress is a listener that only has an address.
type fixedAddress struct {
	net.Listener
	addr net.Addr
}

func (f fixedAddress) Addr() net.Addr { return f.addr }

func listenersAt(address string) (l struct{ api, ready, metrics, peer net.Listener }) {
	addr, err := net.ResolveTCPAddr("tcp", address)
	if err == nil {
		l.api = fixedAddress{addr: addr}
	}
	return l
}

func (p *processDeployment) submitTo(proc *process, id int, tasks ...int) {
	p.t.Helper()
	p.eventually("submission accepted", func() bool {
		status, _ := p.call(proc, http.MethodPost, path(id), job(tasks...))
		return status == http.StatusOK
	})
}

func (p *processDeployment) waitCompleted(proc *process, id int) {
	p.t.Helper()
	p.eventually(fmt.Sprintf("job %d completed", id), func() bool {
		_, out := p.call(proc, http.MethodGet, path(id), nil)
		return out != nil && out["State"] == "completed"
	})
}

// Guards against accepted jobs that are lost, or tasks that run twice, when all
// processes lose power right after an acknowledgement.
func TestPowerLossOfEverything(t *testing.T) {
	p := newProcessDeployment(t, 3, func(string, int) emulator.Behaviour { return emulator.Behaviour{RunTime: 300 * time.Millisecond} })
	for n := range 5 {
		p.submitTo(p.processes[n%3], n+1, 3, 2)
	}
	p.kill(p.processes...)
	for _, proc := range p.processes {
		p.restart(proc)
	}
	p.submitTo(p.processes[0], 6, 1)
	for n := range 6 {
		p.waitCompleted(p.processes[n%3], n+1)
	}
	for n := range 5 {
		p.checkRanOnce(n+1, 3, 2)
	}
}

// Guards against jobs that stall or run twice when one process after another, and
// so the owner, is killed or stopped.
func TestOwnersKilledInTurn(t *testing.T) {
	t.Parallel()
	p := newProcessDeployment(t, 3, func(string, int) emulator.Behaviour { return emulator.Behaviour{RunTime: 400 * time.Millisecond} })
	for n := range 6 {
		p.submitTo(p.processes[(n+1)%3], n+1, 3, 3)
		proc := p.processes[n%3]
		if n%2 == 0 {
			p.kill(proc)
		} else {
			_ = proc.cmd.Process.Signal(syscall.SIGTERM)
			_ = proc.cmd.Wait() // a requested stop has no error to report
		}
		p.restart(proc)
	}
	for n := range 6 {
		p.waitCompleted(p.processes[n%3], n+1)
		p.checkRanOnce(n+1, 3, 3)
	}
}

// Guards against an owner that was frozen with SIGSTOP and still sends its commands
// when it resumes.
func TestFrozenOwner(t *testing.T) {
	t.Parallel()
	p := newProcessDeployment(t, 2, func(string, int) emulator.Behaviour { return emulator.Behaviour{RunTime: 500 * time.Millisecond} })
	p.submitTo(p.processes[0], 1, 6, 6, 6)
	for n := range 4 {
		proc := p.processes[n%2]
		qt.Assert(t, proc.cmd.Process.Signal(syscall.SIGSTOP), qt.IsNil)
		p.submitTo(p.processes[(n+1)%2], n+2, 3)
		p.waitCompleted(p.processes[(n+1)%2], n+2)
		qt.Assert(t, proc.cmd.Process.Signal(syscall.SIGCONT), qt.IsNil)
	}
	p.waitCompleted(p.processes[0], 1)
	p.checkRanOnce(1, 6, 6, 6)
}

// Guards against a process that exits on SIGHUP, and against errors about invalid
// settings that don't name the file, the field and the reason.
func TestHangupSignalAndInvalidSettings(t *testing.T) {
	p := newProcessDeployment(t, 1, shortTask)
	p.submitTo(p.processes[0], 1, 1)
	qt.Assert(t, p.processes[0].cmd.Process.Signal(syscall.SIGHUP), qt.IsNil)
	p.submitTo(p.processes[0], 2, 1)
	p.waitCompleted(p.processes[0], 2)
	bad := filepath.Join(t.TempDir(), "bad.json")
	qt.Assert(t, os.WriteFile(bad, []byte(`{"instance": "a", "cpu_share": "x"}`), 0o600), qt.IsNil)
	out, err := exec.Command(p.binary, "--settings", bad, "--check-config").CombinedOutput()
	qt.Assert(t, err, qt.IsNotNil)
	qt.Assert(t, string(out), qt.Contains, "bad.json: cpu_share: wrong type")
	qt.Assert(t, string(out), qt.Contains, "http_address: missing required field")
}
