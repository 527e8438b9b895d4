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

// process is one instance of the scheduler, which is started again whenever it
// ends.
type process struct {
	name     string
	settings string
	front    string // its own address for callers
	ready    string
	endpoint *emulator.Endpoint
	store    *loopback.Proxy
	callers  *loopback.Proxy
	output   *os.File

	mu     sync.Mutex
	cmd    *exec.Cmd
	frozen bool
	closed bool
	exits  []error // ends that nobody asked for
	asked  bool    // the present end was asked for
	done   chan struct{}
}

// restartPause is the pause before an ended process is started again.
const restartPause = 200 * time.Millisecond

// freeAddresses returns addresses that nothing listens on. Each instance of each
// soak has a loopback address of its own, so that soaks side by side don't take
// each other's ports before the instance listens (seed 2011).
func freeAddresses(instance, n int) ([]string, error) {
	const hosts = 200
	host := fmt.Sprintf("127.%d.%d.2", 1+os.Getpid()%hosts, 1+instance%hosts)
	var list []string
	for range n {
		l, err := loopback.Listen(host)
		if err != nil {
			return nil, errors.Wrap(err, "find a free port")
		}
		defer func() { _ = l.Close() }()
		list = append(list, l.Addr().String())
	}
	return list, nil
}

func newProcess(o Options, number int, cpuShare float64, store *emulator.Store) (*process, error) {
	name := fmt.Sprintf("inst-%d", number)
	addresses, err := freeAddresses(number, 4)
	if err != nil {
		return nil, err
	}
	p := &process{name: name, settings: filepath.Join(o.Dir, name+".json"), front: addresses[0], ready: addresses[1], endpoint: store.Endpoint(), done: make(chan struct{})}
	if p.store, err = loopback.New(p.endpoint.Address(), nil); err != nil {
		return nil, err
	}
	if p.callers, err = loopback.New(p.front, nil); err != nil {
		return nil, err
	}
	data, err := json.Marshal(map[string]any{
		"instance": name, "region": "r", "failure_domain": "z", "cpu_share": cpuShare, "memory_mib": 256,
		"http_address": addresses[0], "ready_address": addresses[1], "metrics_address": addresses[2], "peer_address": addresses[3],
		"store": map[string]any{"address": p.store.Address}, "bounds": map[string]any{"grace_s": 4},
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

// keepRunning starts the process and starts it again when it ends.
func (p *process) keepRunning(binary string) {
	defer close(p.done)
	// The parent-death signal is bound to the thread that starts the process.
	runtime.LockOSThread()
	for {
		cmd := exec.Command(binary, "--settings", p.settings)
		cmd.Stdout, cmd.Stderr = p.output, p.output
		// The process ends with the soak, however that ends.
		cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		p.mu.Lock()
		if p.closed {
			p.mu.Unlock()
			return
		}
		err := cmd.Start()
		p.cmd, p.frozen, p.asked = cmd, false, false
		p.mu.Unlock()
		if err == nil {
			err = cmd.Wait()
		}
		p.mu.Lock()
		if !p.asked && !p.closed {
			p.exits = append(p.exits, errors.Wrapf(err, "%s ended by itself", p.name))
		}
		p.cmd = nil
		p.mu.Unlock()
		time.Sleep(restartPause)
	}
}

// signal sends a signal to the running process. ends says that the process is
// expected to end by it.
func (p *process) signal(s syscall.Signal, ends bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.cmd.Process == nil {
		return
	}
	if ends {
		p.asked = true
	}
	switch s {
	case syscall.SIGSTOP:
		p.frozen = true
	case syscall.SIGCONT:
		p.frozen = false
	}
	_ = p.cmd.Process.Signal(s) // the process may have ended
}

// close ends the process for good.
func (p *process) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.signal(syscall.SIGKILL, true)
	<-p.done
	p.store.Close()
	p.callers.Close()
	_ = p.output.Close()
}

// isReady asks the readiness address, without a link.
func (p *process) isReady(client *http.Client) bool {
	resp, err := client.Get("http://" + p.ready + "/readyz")
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode == http.StatusOK
}
