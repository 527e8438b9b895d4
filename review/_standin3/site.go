package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"gooseberryreel/internal/emulator"
	"gooseberryreel/internal/loopback"
)

// Bounds of the small deployment, as the system page gives them for PickBook WA.
const (
	holdMax        = 6 * time.Second
	stopTime       = 100 * time.Millisecond // at most StopMs, 900 ms
	gangTime       = 3 * time.Second        // GangMs
	checkpointTime = 500 * time.Millisecond // CheckpointS
	heartbeat      = 1500 * time.Millisecond
	lastingStartup = 400 * time.Millisecond
	clientWait     = 3 * time.Second // the clients' time limit
	queueHost      = "pick.example"
)

// site is a small deployment: the store, the runners and the processes of the system.
type site struct {
	binary, dir string
	rec         *record
	store       *emulator.Store
	endpoints   []*emulator.Endpoint
	processes   []*process
	version     int
	// restartDelay is how long the platform takes to start a process again.
	restartDelay time.Duration

	mu      sync.Mutex
	runners []*runner
	jobs    map[string]*submission
	gangs   map[string]*gang
	runs    map[string]*taskRuns
	starts  []start
	// behaviour returns what a run does. It is called with mu held.
	behaviour func(t taskID, run int) behaviour
	// onStart is called after each start, with mu held; nil for none.
	onStart func(st start, r *runner, a *active, o order)
}

func newSite(binary, dir string, rec *record) *site {
	return &site{
		restartDelay: 300 * time.Millisecond, binary: binary, dir: dir, rec: rec, store: emulator.NewStore(),
		jobs: make(map[string]*submission), gangs: make(map[string]*gang), runs: make(map[string]*taskRuns),
	}
}

func (s *site) close() {
	for _, p := range s.processes {
		p.close()
	}
	s.mu.Lock()
	runners := s.runners
	s.mu.Unlock()
	for _, r := range runners {
		r.close()
	}
	s.store.Close()
}

// route is a queue of the configuration.
type route struct {
	Name, Host, PathPrefix, Service string
	Priority, MaxAttempts           int
	StretchFactor, TargetDurationMs float64
}

// queue returns a route with the figures of a queue of PickBook WA.
func queue(name, service string, priority, attempts int) route {
	return route{Name: name, Host: queueHost, PathPrefix: "/" + name + "/", Service: service, Priority: priority, MaxAttempts: attempts, StretchFactor: 2, TargetDurationMs: 1000}
}

// publish writes the next version of the configuration.
func (s *site) publish(routes []route, services ...string) error {
	s.version += 3
	var list []any
	for _, name := range services {
		list = append(list, map[string]any{"Name": name, "EnforcesCapacity": false})
	}
	names := make([]string, 0, len(routes))
	for _, r := range routes {
		names = append(names, r.Name+" to "+r.Service)
	}
	s.rec.add("operator: config version %d, routes %v", s.version, names)
	return s.store.PutJSON("keyed.op", "config", map[string]any{
		"Version": s.version, "Routes": routes, "Services": list, "Limits": map[string]any{"MaxBodyBytes": 262144},
	})
}

// process is a process of the system.
type process struct {
	name, api, ready string
	endpoint         *emulator.Endpoint
	cmd              *exec.Cmd
	log              *os.File
}

// startProcesses starts n processes and waits until they are ready.
func (s *site) startProcesses(n int) error {
	for i := range n {
		p, err := s.startProcess(i)
		if err != nil {
			return err
		}
		s.processes = append(s.processes, p)
	}
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, p := range s.processes {
			if resp, err := client.Get("http://" + p.ready + "/readyz"); err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == n {
			s.rec.add("system: %d processes are ready", n)
			return nil
		}
	}
	return fmt.Errorf("the processes were not ready in time")
}

func (s *site) startProcess(n int) (*process, error) {
	addresses, err := loopback.ReserveAddresses(4)
	if err != nil {
		return nil, err
	}
	p := &process{name: fmt.Sprintf("edge-%d", n), api: addresses[0], ready: addresses[1], endpoint: s.store.Endpoint()}
	s.endpoints = append(s.endpoints, p.endpoint)
	settings, err := json.Marshal(map[string]any{
		"instance": p.name, "region": "wa-south", "failure_domain": fmt.Sprintf("zone-%d", n%3), "cpu_share": 0.16, "memory_mib": 284,
		"http_address": addresses[0], "ready_address": addresses[1], "metrics_address": addresses[2], "peer_address": addresses[3],
		"store":  map[string]any{"address": p.endpoint.Address(), "min_group_ttl_ms": 1000, "partitions": 16, "record_bytes": 262144, "call_bytes": 2097152},
		"bounds": map[string]any{"lease_ms": holdMax.Milliseconds(), "grace_s": 6, "status_s": 120, "harm_ms": 4000, "remote_factor": 2, "stop_ms": 900, "restore_ms": 100},
	})
	if err != nil {
		return nil, err
	}
	file := filepath.Join(s.dir, p.name+".json")
	if err := os.WriteFile(file, settings, 0o600); err != nil {
		return nil, err
	}
	if p.log, err = os.Create(filepath.Join(s.dir, p.name+".log")); err != nil {
		return nil, err
	}
	p.cmd = s.command()
	p.cmd.Env = append(os.Environ(), "GOOSEBERRYREEL_NODE_FILE="+file)
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	s.rec.add("system: %s started, process %d", p.name, p.cmd.Process.Pid)
	return p, nil
}

func (p *process) close() {
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Signal(syscall.SIGKILL)
		_ = p.cmd.Wait()
	}
	_ = p.log.Close()
}

// command returns a command that ends with this process, however that ends.
func (s *site) command() *exec.Cmd {
	cmd := exec.Command(s.binary)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return cmd
}

// phase is a step of a submission.
type phase struct {
	Count, Cpu, MemMb, EstimateMs                                   int
	After                                                           []int  `json:",omitempty"`
	Checkpointing, Gang, Speculative, LongRunning, Fills, Colocated bool   `json:",omitempty"`
	Requires, Image, Affinity                                       string `json:",omitempty"`
	TargetMs, MayMiss, AntiAffinity                                 int    `json:",omitempty"`
}

// submission is a submission of a client.
type submission struct {
	id, queue string
	body      struct {
		Spec                         string
		Phases                       []phase
		Times, StartAtMs, IntervalMs int64 `json:",omitempty"`
	}
	accepted time.Time
}

var submitted int

// newSubmission returns a submission with a new id.
func newSubmission(queue string, phases ...phase) *submission {
	submitted++
	j := &submission{id: fmt.Sprintf("%08x%08x", uint32(time.Now().UnixNano()), submitted), queue: queue}
	j.body.Spec = "spec of " + j.id
	j.body.Phases = phases
	return j
}

// call makes one request of a client and records it with its answer.
func (s *site) call(p *process, method, queue, id string, body any) (status int, answer string) {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body) // a struct of plain fields
	}
	ctx, cancel := context.WithTimeout(context.Background(), clientWait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+p.api+"/"+queue+"/"+id, bytes.NewReader(data))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = queueHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Gooseberryreel-Deadline-Ms", fmt.Sprint(clientWait.Milliseconds()))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		s.rec.add("client: %s /%s/%s at %s: %v", method, queue, id, p.name, err)
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	text, _ := io.ReadAll(resp.Body) // a cut answer is recorded as it is
	s.rec.add("client: %s /%s/%s at %s %s -> %d %s", method, queue, id, p.name, data, resp.StatusCode, text)
	return resp.StatusCode, string(text)
}

// submit hands a submission in, at most five times at different processes.
func (s *site) submit(j *submission) error {
	s.mu.Lock()
	s.jobs[j.id] = j
	s.mu.Unlock()
	for n := range 5 {
		if status, _ := s.call(s.processes[n%len(s.processes)], http.MethodPost, j.queue, j.id, j.body); status/100 == 2 {
			j.accepted = time.Now()
			return nil
		}
		time.Sleep(500 * time.Millisecond)
	}
	return fmt.Errorf("submission %s was not accepted", j.id)
}

// submitAny is submit, beginning at a process.
func (s *site) submitAny(j *submission, first int) error {
	s.mu.Lock()
	s.jobs[j.id] = j
	s.mu.Unlock()
	for n := range 5 {
		status, _ := s.call(s.processes[(first+n)%len(s.processes)], http.MethodPost, j.queue, j.id, j.body)
		if status/100 == 2 {
			s.mu.Lock()
			j.accepted = time.Now()
			s.mu.Unlock()
			return nil
		}
		time.Sleep(500 * time.Millisecond)
	}
	return fmt.Errorf("submission %s was not accepted", j.id)
}

// restartProcess kills a process and starts it again with the same settings.
func (s *site) restartProcess(p *process) {
	s.rec.add("system: %s is killed", p.name)
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	_ = p.cmd.Wait()
	time.Sleep(s.restartDelay)
	cmd := s.command()
	cmd.Env, cmd.Stdout, cmd.Stderr = p.cmd.Env, p.log, p.log
	if err := cmd.Start(); err != nil {
		s.rec.add("system: %v", err)
		return
	}
	p.cmd = cmd
	s.rec.add("system: %s is started again", p.name)
}

// state asks for the state of a submission, at most five times.
func (s *site) state(j *submission) string {
	for n := range 5 {
		status, text := s.call(s.processes[n%len(s.processes)], http.MethodGet, j.queue, j.id, nil)
		if status == http.StatusOK {
			var out struct{ State string }
			_ = json.Unmarshal([]byte(text), &out)
			return out.State
		}
		if status == http.StatusGone {
			return "gone"
		}
		time.Sleep(300 * time.Millisecond)
	}
	return "no answer"
}

// waitFor waits until a condition holds, with mu held while it is checked.
func (s *site) waitFor(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); ; time.Sleep(10 * time.Millisecond) {
		s.mu.Lock()
		ok := condition()
		s.mu.Unlock()
		if ok || time.Now().After(end) {
			return ok
		}
	}
}
