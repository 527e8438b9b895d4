package soak

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"gooseberryreel/internal/emulator"
	"gooseberryreel/internal/loopback"
)

// process is one scheduler instance. It is restarted whenever it exits.
type process struct {
	name          string
	settings      string
	callerAddress string // its own HTTP address; callers use the proxy
	readyAddress  string
	endpoint      *emulator.Endpoint
	storeProxy    *loopback.Proxy
	callerProxy   *loopback.Proxy
	output        *os.File

	metricsAddress string
	disturb        func(format string, args ...any) (end func()) // see deployment

	mu              sync.Mutex
	cmd             *exec.Cmd
	frozen          bool
	closed          bool
	away            bool    // lost and not restarted
	unexpectedExits []error // exits that the soak did not cause
	stopRequested   bool    // the soak caused the exit of the current process
	done            chan struct{}
}

// restartDelay is the time between the exit of a process and its restart.
const restartDelay = 200 * time.Millisecond

func newProcess(d *deployment, number int, cpuShare float64) (*process, error) {
	o := d.opts
	name := fmt.Sprintf("inst-%d", number)
	addresses, err := loopback.ReserveAddresses(4)
	if err != nil {
		return nil, err
	}
	p := &process{name: name, settings: filepath.Join(o.Dir, name+".json"), callerAddress: addresses[0], readyAddress: addresses[1],
		metricsAddress: addresses[2], disturb: d.disturb, endpoint: d.store.Endpoint(), done: make(chan struct{})}
	if p.storeProxy, err = loopback.New(p.endpoint.Address(), nil); err != nil {
		return nil, err
	}
	if p.callerProxy, err = loopback.New(p.callerAddress, nil); err != nil {
		return nil, err
	}
	data, err := json.Marshal(map[string]any{
		"instance": name, "region": "r", "failure_domain": domainOf(number), "cpu_share": cpuShare, "memory_mib": 256,
		"http_address": addresses[0], "ready_address": addresses[1], "metrics_address": addresses[2], "peer_address": addresses[3],
		"relay": map[string]any{"owner_workers_per_core": 1, "relay_workers_per_core": 1000},
		"store": map[string]any{"address": p.storeProxy.Address}, "bounds": map[string]any{"grace_s": 4, "evacuate_ms": evacuationBound.Milliseconds()},
	})
	if err != nil {
		return nil, errors.Wrap(err, "encode settings")
	}
	if err := os.WriteFile(p.settings, data, 0o600); err != nil {
		return nil, errors.Wrap(err, "write settings")
	}
	if p.output, err = os.Create(filepath.Join(o.Dir, name+".log")); err != nil {
		return nil, errors.Wrap(err, "create log")
	}
	go p.keepRunning(o.Binary)
	return p, nil
}

// keepRunning starts the process and restarts it when it exits, until close.
func (p *process) keepRunning(binary string) {
	defer close(p.done)
	// Pdeathsig is sent when the thread that started the process exits, so this
	// goroutine keeps its thread.
	runtime.LockOSThread()
	for {
		cmd := exec.Command(binary, "--settings", p.settings)
		cmd.Stdout, cmd.Stderr = p.output, p.output
		// Ends the process with the soak, also if the soak crashes.
		cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		p.mu.Lock()
		if p.closed {
			p.mu.Unlock()
			return
		}
		err := cmd.Start()
		p.cmd, p.frozen, p.stopRequested = cmd, false, false
		p.mu.Unlock()
		p.disturb("%s started", p.name)()
		if err == nil {
			err = cmd.Wait()
		}
		p.mu.Lock()
		if !p.stopRequested && !p.closed {
			p.unexpectedExits = append(p.unexpectedExits, errors.Wrapf(err, "%s exited unexpectedly", p.name))
		}
		p.cmd = nil
		p.mu.Unlock()
		p.disturb("%s ended", p.name)()
		for time.Sleep(restartDelay); p.isAway(); time.Sleep(restartDelay / 10) {
		}
	}
}

// signal sends a signal to the running process unless it is lost. terminates states
// whether the process is expected to exit because of it.
func (p *process) signal(sig syscall.Signal, terminates bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.cmd.Process == nil || p.away {
		return
	}
	if terminates {
		p.stopRequested = true
	}
	switch sig {
	case syscall.SIGSTOP:
		p.frozen = true
	case syscall.SIGCONT:
		p.frozen = false
	}
	_ = p.cmd.Process.Signal(sig) // the process may have exited
}

// close kills the process without a restart and waits for its exit.
func (p *process) close() {
	p.mu.Lock()
	p.closed, p.away = true, false
	p.mu.Unlock()
	p.signal(syscall.SIGKILL, true)
	<-p.done
	p.storeProxy.Close()
	p.callerProxy.Close()
	_ = p.output.Close()
}

// isReady queries the readiness address, directly and not through a proxy.
func (p *process) isReady(client *http.Client) bool {
	resp, err := client.Get("http://" + p.readyAddress + "/readyz")
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode == http.StatusOK
}

// waitReady waits until all processes that are not lost are ready. It reports false
// if they are not within the limit.
func (d *deployment) waitReady(limit time.Duration) bool {
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, p := range d.processes {
			if p.isAway() || p.isReady(client) {
				ready++
			}
		}
		if ready == len(d.processes) {
			return true
		}
	}
	return false
}
