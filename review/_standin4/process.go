package main

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

	"gooseberryreel/internal/emulator"
	"gooseberryreel/internal/loopback"
)

// process is one scheduler instance. It is started again whenever it ends.
type process struct {
	p        *platform
	name     string
	zone     string
	settings string
	http     string
	ready    string
	endpoint *emulator.Endpoint
	proxy    *loopback.Proxy // to the store
	log      *os.File

	mu      sync.Mutex
	cmd     *exec.Cmd
	closed  bool
	done    chan struct{}
	expects bool // an exit is expected
	exits   int  // exits of its own
	down    time.Duration
}

func (p *platform) startProcess(dir, name, zone, advice string, statusS float64) *process {
	addresses, err := loopback.ReserveAddresses(4)
	if err != nil {
		fatal("addresses: %v", err)
	}
	i := &process{p: p, name: name, zone: zone, settings: filepath.Join(dir, name+".json"), http: addresses[0], ready: addresses[1], endpoint: p.store.Endpoint(), done: make(chan struct{}), down: 300 * time.Millisecond}
	upstream := i.endpoint.Address()
	if p.bounded {
		upstream = startFront(upstream)
	}
	if i.proxy, err = loopback.New(upstream, nil); err != nil {
		fatal("proxy: %v", err)
	}
	// As deploy/settings.json.tmpl renders it for the bounds of pickbook-wa.
	data, _ := json.Marshal(map[string]any{
		"instance": name, "region": "wa-south", "failure_domain": zone, "cpu_share": 0.16, "memory_mib": 284, "max_fds": 4100,
		"http_address": addresses[0], "ready_address": addresses[1], "metrics_address": addresses[2], "peer_address": addresses[3], "advice_address": advice,
		"store":  map[string]any{"address": i.proxy.Address, "min_group_ttl_ms": 1000, "partitions": 16, "record_bytes": 262144, "call_bytes": 2097152},
		"bounds": map[string]any{"lease_ms": 6000, "grace_s": 6, "status_s": statusS, "harm_ms": 4000, "remote_factor": 2, "stop_ms": 900, "restore_ms": 100},
	})
	if err := os.WriteFile(i.settings, data, 0o600); err != nil {
		fatal("settings: %v", err)
	}
	if i.log, err = os.Create(filepath.Join(dir, name+".log")); err != nil {
		fatal("log: %v", err)
	}
	go i.keepRunning()
	return i
}

func (i *process) keepRunning() {
	defer close(i.done)
	runtime.LockOSThread() // Pdeathsig follows the thread
	for {
		cmd := exec.Command("target/gooseberry-scheduler")
		cmd.Env = append(os.Environ(), "GOOSEBERRYREEL_NODE_FILE="+i.settings)
		cmd.Stdout, cmd.Stderr = i.log, i.log
		cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		i.mu.Lock()
		if i.closed {
			i.mu.Unlock()
			return
		}
		if err := cmd.Start(); err != nil {
			fatal("start: %v", err)
		}
		i.cmd, i.expects = cmd, false
		i.mu.Unlock()
		i.p.logf("process %s started", i.name)
		_ = cmd.Wait()
		i.mu.Lock()
		i.cmd = nil
		if !i.expects && !i.closed {
			i.exits++
			i.p.logf("process %s ended by itself", i.name)
		}
		closed, down := i.closed, i.down
		i.mu.Unlock()
		if closed {
			return
		}
		time.Sleep(down)
	}
}

func (i *process) signal(sig syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.cmd == nil {
		return
	}
	if sig == syscall.SIGKILL || sig == syscall.SIGTERM {
		i.expects = true
	}
	i.p.logf("signal %v to %s", sig, i.name)
	_ = i.cmd.Process.Signal(sig)
}

// kill kills the process because of its memory.
func (i *process) kill() { i.signal(syscall.SIGKILL) }

func (i *process) close() {
	i.mu.Lock()
	i.closed = true
	if i.cmd != nil {
		_ = i.cmd.Process.Kill()
	}
	i.mu.Unlock()
	<-i.done
}

func (i *process) isReady(c *http.Client) bool {
	resp, err := c.Get("http://" + i.ready + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func waitReady(list []*process) {
	c := &http.Client{Timeout: time.Second}
	for until := time.Now().Add(15 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		n := 0
		for _, i := range list {
			if i.isReady(c) {
				n++
			}
		}
		if n == len(list) {
			return
		}
	}
	fatal("the instances did not become ready")
}

func (i *process) String() string { return fmt.Sprintf("%s(%s)", i.name, i.zone) }
