package main

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// stopGrace is how long the processes may take to exit after SIGTERM in the final
// clean-up before they are killed.
const stopGrace = 2 * time.Second

// process is one program that this driver started.
type process struct {
	name  string
	cmd   *exec.Cmd
	ended chan struct{}
	err   error // result of Wait, valid after ended is closed
}

// processes starts programs and stops only those that it started.
type processes struct {
	binDir string
	logDir string
	spawn  chan func()

	mu      sync.Mutex
	running map[*process]bool
	closed  bool
}

func newProcesses(binDir, logDir string) *processes {
	p := &processes{binDir: binDir, logDir: logDir, spawn: make(chan func()), running: make(map[*process]bool)}
	// The parent-death signal is sent when the thread that forked ends, so one
	// thread that lives as long as the driver starts all programs.
	go func() {
		runtime.LockOSThread()
		for f := range p.spawn {
			f()
		}
	}()
	return p
}

// start runs a program with its output in a file of the log directory.
func (p *processes) start(name, program string, args ...string) (*process, error) {
	out, err := os.Create(filepath.Join(p.logDir, name+".log"))
	if err != nil {
		return nil, errors.Wrap(err, "create log of "+name)
	}
	defer out.Close()
	cmd := exec.Command(filepath.Join(p.binDir, program), args...)
	cmd.Stdout, cmd.Stderr = out, out
	// A process group of its own keeps the SIGINT of a Ctrl-C in the terminal from
	// reaching the program before the driver stops it.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	proc := &process{name: name, cmd: cmd, ended: make(chan struct{})}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, errors.Errorf("start %s: the driver is stopping", name)
	}
	started := make(chan error, 1)
	p.spawn <- func() { started <- cmd.Start() }
	if err := <-started; err != nil {
		return nil, errors.Wrap(err, "start "+name)
	}
	p.running[proc] = true
	go p.reap(proc)
	return proc, nil
}

func (p *processes) reap(proc *process) {
	proc.err = proc.cmd.Wait()
	p.mu.Lock()
	delete(p.running, proc)
	p.mu.Unlock()
	close(proc.ended)
}

// run starts a program, waits for its end and returns its exit code.
func (p *processes) run(ctx context.Context, name, program string, args ...string) (int, error) {
	proc, err := p.start(name, program, args...)
	if err != nil {
		return -1, err
	}
	select {
	case <-proc.ended:
		return proc.cmd.ProcessState.ExitCode(), nil
	case <-ctx.Done():
		return -1, errors.Wrap(ctx.Err(), name)
	}
}

// output returns what a program has printed, or the text of the error of reading
// it.
func (p *processes) output(name string) string {
	data, err := os.ReadFile(filepath.Join(p.logDir, name+".log"))
	if err != nil {
		return err.Error()
	}
	return string(data)
}

// stopAll stops every program that still runs and waits for all of them. No
// program can be started afterwards.
func (p *processes) stopAll() {
	p.mu.Lock()
	p.closed = true
	var remaining []*process
	for proc := range p.running {
		remaining = append(remaining, proc)
	}
	p.mu.Unlock()
	for _, proc := range remaining {
		proc.signal(syscall.SIGTERM)
	}
	deadline := time.After(stopGrace)
	for _, proc := range remaining {
		select {
		case <-proc.ended:
		case <-deadline:
			deadline = time.After(0)
			proc.signal(syscall.SIGKILL)
			<-proc.ended
		}
	}
}

// signal sends a signal. The error for a process that has already ended is
// ignored.
func (proc *process) signal(s syscall.Signal) { _ = proc.cmd.Process.Signal(s) }
