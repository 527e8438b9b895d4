package main

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"gooseberryreel/internal/emulator"
	"gooseberryreel/internal/loopback"
)

const (
	pool       = "pickbook"
	queueHost  = "queue.example"
	queuePath  = "/jobs/"
	partitions = 16

	// These are the limits of the store in the settings of the deployments.
	recordBytes = 262144
	callBytes   = 2097152
)

// bounds are those of pickbook-wa, unless a case sets another one and says so.
func bounds() map[string]any {
	return map[string]any{
		"lease_ms": 6000, "grace_s": 6, "status_s": 120, "harm_ms": 4000, "remote_factor": 2, "stop_ms": 900, "restore_ms": 100,
	}
}

// recorder writes record.txt.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func (r *recorder) event(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// taskState is what the runners have seen of a task.
type taskState struct {
	running map[int]string // worker by run
	starts  int
	done    bool // a run has ended as done
	noted   bool // and the end was taken note of
}

// site is a small deployment: the store, the workers and the scheduler processes.
type site struct {
	rec       *recorder
	dir       string
	store     *emulator.Store
	endpoint  *emulator.Endpoint
	front     *httptest.Server
	processes []*process
	workers   []*worker
	ended_    atomic.Bool
	client    *http.Client
	version   int

	mu        sync.Mutex
	tasks     map[string]*taskState
	durations map[string]time.Duration // by job, the default is 300 ms
	completed map[string]time.Time     // by job: first shown as completed
	findings  []string
}

func newSite(rec *recorder) (*site, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	s := &site{
		rec: rec, dir: dir, store: emulator.NewStore(), tasks: make(map[string]*taskState), durations: make(map[string]time.Duration),
		completed: make(map[string]time.Time), client: &http.Client{Timeout: 4 * time.Second},
	}
	s.endpoint = s.store.Endpoint()
	upstream, err := url.Parse("http://" + s.endpoint.Address())
	if err != nil {
		return nil, err
	}
	proxy := httputil.NewSingleHostReverseProxy(upstream)
	proxy.ErrorHandler = func(rw http.ResponseWriter, _ *http.Request, _ error) { rw.WriteHeader(http.StatusBadGateway) }
	s.front = httptest.NewServer(limitRecords(s, proxy))
	return s, nil
}

// limitRecords rejects appends beyond the limits of the store.
func limitRecords(s *site, next http.Handler) http.Handler {
	var rejected atomic.Int64
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/log-append" {
			next.ServeHTTP(rw, r)
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		total, largest := 0, 0
		for rest := body; len(rest) >= 4; {
			n := int(binary.BigEndian.Uint32(rest))
			if n > len(rest)-4 {
				rw.WriteHeader(http.StatusBadRequest)
				return
			}
			total, largest, rest = total+n, max(largest, n), rest[4+n:]
		}
		if largest > recordBytes || total > callBytes {
			if n := rejected.Add(1); n <= 3 || n%100 == 0 {
				s.rec.event("the store rejects an append to %s with 400: its largest record has %d bytes (RecordBytes %d), all have %d (CallBytes %d); rejected so far: %d",
					r.URL.Query().Get("Topic"), largest, recordBytes, total, callBytes, n)
			}
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		next.ServeHTTP(rw, r)
	})
}

func (s *site) over() bool { return s.ended_.Load() }

// close ends all processes.
func (s *site) close() {
	s.ended_.Store(true)
	for _, p := range s.processes {
		p.kill()
	}
	for _, w := range s.workers {
		_ = w.server.Close()
	}
	s.front.CloseClientConnections()
	s.front.Close()
	s.store.Close()
	_ = os.RemoveAll(s.dir)
}

func (s *site) put(topic, key string, value any) {
	if err := s.store.PutJSON(topic, key, value); err != nil {
		s.rec.event("encode %s: %v", key, err)
	}
}

// publishConfig writes a configuration with the given queues.
func (s *site) publishConfig(queues ...map[string]any) {
	s.version += 3
	s.put("keyed.op", "config", map[string]any{
		"Version": s.version, "Routes": queues, "Services": []any{map[string]any{"Name": pool, "EnforcesCapacity": false}},
		"Limits": map[string]any{"MaxBodyBytes": 262144},
	})
	s.rec.event("the operator sends configuration %d with %d queues", s.version, len(queues))
}

func queue(name, path string) map[string]any {
	return map[string]any{
		"Name": name, "Host": queueHost, "PathPrefix": path, "Service": pool, "Kind": "non_idempotent", "TimeoutMs": 3000, "Priority": 0,
		"MaxAttempts": 3, "StretchFactor": 1.5, "TargetDurationMs": 250,
	}
}

// start starts workers and scheduler processes, and waits until all processes are ready.
func (s *site) start(workers int, cpuMilli, memMiB int64, processes int, limits map[string]any) error {
	for n := range workers {
		w, err := newWorker(s, fmt.Sprintf("i-%04d", n), "127.0.0.1:0", cpuMilli, memMiB, "a", fmt.Sprintf("r%d", n/8+1))
		if err != nil {
			return err
		}
		s.workers = append(s.workers, w)
	}
	for n := range processes {
		p, err := s.newProcess(n, limits)
		if err != nil {
			return err
		}
		s.processes = append(s.processes, p)
		if err := p.launch(); err != nil {
			return err
		}
	}
	for _, p := range s.processes {
		if !p.waitReady(15 * time.Second) {
			return fmt.Errorf("%s does not get ready", p.name)
		}
	}
	// The first owner needs some seconds.
	deadline := time.Now().Add(15 * time.Second)
	for s.ownerCount() == 0 {
		if time.Now().After(deadline) {
			return fmt.Errorf("no process owns the jobs")
		}
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(time.Second)
	s.rec.event("%d workers and %d scheduler processes are ready", workers, processes)
	return nil
}

// ownerCount returns how many processes have logged that they own the jobs.
func (s *site) ownerCount() int {
	n := 0
	for _, p := range s.processes {
		if p.isOwner() {
			n++
		}
	}
	return n
}

// process is one process of the deployed program.
type process struct {
	site     *site
	name     string
	settings string
	front    string
	ready    string
	mu       sync.Mutex
	cmd      *exec.Cmd
	done     chan struct{}
	log      string
}

func (s *site) newProcess(n int, limits map[string]any) (*process, error) {
	addresses, err := loopback.ReserveAddresses(4)
	if err != nil {
		return nil, err
	}
	name := fmt.Sprintf("edge-%d", n+1)
	data, err := json.MarshalIndent(map[string]any{
		"instance": name, "region": "region-a", "failure_domain": "zone-a", "http_address": addresses[0], "ready_address": addresses[1],
		"metrics_address": addresses[2], "peer_address": addresses[3], "cpu_share": 0.16, "memory_mib": 284, "advice_address": "",
		"store":  map[string]any{"address": strings.TrimPrefix(s.front.URL, "http://"), "min_group_ttl_ms": 1000, "partitions": partitions},
		"bounds": limits,
	}, "", "  ")
	if err != nil {
		return nil, err
	}
	p := &process{site: s, name: name, settings: filepath.Join(s.dir, name+".json"), front: addresses[0], ready: addresses[1], log: filepath.Join(s.dir, name+".log")}
	return p, os.WriteFile(p.settings, data, 0o600)
}

// launch starts the process with the command of the deploy file.
func (p *process) launch() error {
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/gooseberry-scheduler")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "GOOSEBERRYREEL_NODE_FILE=" + p.settings}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.done = cmd, done
	p.mu.Unlock()
	go func() {
		_ = cmd.Wait() // reports the signal
		_ = log.Close()
		close(done)
	}()
	p.site.rec.event("%s starts", p.name)
	return nil
}

func (p *process) kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Kill() // it may have exited already
		<-p.done
	}
}

// restart stops the process with SIGTERM, with SIGKILL after the grace time, and starts it again.
func (p *process) restart(grace time.Duration) error {
	p.site.rec.event("%s gets SIGTERM (owner: %v)", p.name, p.isOwner())
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(grace):
		p.kill()
	}
	for range 50 {
		if err := p.launch(); err != nil {
			return err
		}
		if p.waitReady(3 * time.Second) {
			return nil
		}
		p.kill() // a port may have been in use for a moment
	}
	return fmt.Errorf("%s does not start again", p.name)
}

func (p *process) waitReady(limit time.Duration) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		select {
		case <-p.done:
			return false
		default:
		}
		r, err := p.site.client.Get("http://" + p.ready + "/readyz")
		if err == nil {
			_ = r.Body.Close()
			if r.StatusCode == http.StatusOK {
				return true
			}
		}
	}
	return false
}

// isOwner reports whether the newest log line about the ownership says that the process has it.
func (p *process) isOwner() bool {
	data, err := os.ReadFile(p.log)
	if err != nil {
		return false
	}
	won, lost := bytes.LastIndex(data, []byte(`"claim won"`)), bytes.LastIndex(data, []byte(`"ownership ends"`))
	return won > lost
}

// call makes one call of a client and returns the status, 0 for no answer.
func (s *site) call(p *process, method, path string, body any) (int, map[string]any) {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body) // maps of plain values
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+p.front+path, bytes.NewReader(data))
	if err != nil {
		return 0, nil
	}
	req.Host = queueHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Gooseberryreel-Deadline-Ms", "3000")
	r, err := s.client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = r.Body.Close() }()
	var out map[string]any
	if json.NewDecoder(r.Body).Decode(&out) != nil {
		return r.StatusCode, nil
	}
	return r.StatusCode, out
}

// submit hands a submission in, with up to limit tries at the processes in turn.
func (s *site) submit(id, path string, body map[string]any, limit int) bool {
	for try := range limit {
		p := s.processes[(int(id[15])+try)%len(s.processes)]
		status, _ := s.call(p, http.MethodPost, path+id, body)
		s.rec.event("client: POST %s%s at %s -> %d", path, id, p.name, status)
		if status >= 200 && status < 300 {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// state asks for the state of a submission, "" if there is no answer with a state.
func (s *site) state(id, path string) (string, int) {
	status := 0
	for try := range 6 {
		p := s.processes[(int(id[15])+try)%len(s.processes)]
		var out map[string]any
		if status, out = s.call(p, http.MethodGet, path+id, nil); status == http.StatusOK {
			state, _ := out["State"].(string)
			if state == "completed" {
				s.mu.Lock()
				if s.completed[id].IsZero() {
					s.completed[id] = time.Now()
				}
				s.mu.Unlock()
			}
			return state, status
		}
		if status == http.StatusGone || status == http.StatusNotFound {
			return "", status
		}
		time.Sleep(200 * time.Millisecond)
	}
	return "", status
}

// waitCompleted waits until all submissions are shown as completed, and returns those that are not.
func (s *site) waitCompleted(ids []string, path string, limit time.Duration) []string {
	missing := ids
	for deadline := time.Now().Add(limit); len(missing) > 0 && time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		var left []string
		for _, id := range missing {
			if state, _ := s.state(id, path); state != "completed" {
				left = append(left, id)
			} else {
				s.rec.event("client: %s is shown as completed", id)
			}
		}
		missing = left
	}
	return missing
}

func (s *site) finding(format string, args ...any) {
	s.mu.Lock()
	s.findings = append(s.findings, fmt.Sprintf(format, args...))
	s.mu.Unlock()
	s.rec.event("BROKEN "+format, args...)
}

func (s *site) task(name string) *taskState {
	t := s.tasks[name]
	if t == nil {
		t = &taskState{running: make(map[int]string)}
		s.tasks[name] = t
	}
	return t
}

// started records a start and checks the rule TWICE.
func (s *site) started(task string, number int, worker string) {
	s.mu.Lock()
	t := s.task(task)
	t.starts++
	elsewhere := len(t.running)
	t.running[number] = worker
	done, noted := t.done, t.noted
	shown := s.completed[jobOf(task)]
	s.mu.Unlock()
	if s.quiet(task) {
		return
	}
	s.rec.event("worker %s: starts %s run %d", worker, task, number)
	switch {
	case elsewhere > 0:
		s.finding("TWICE: %s run %d starts on %s while another run is at work", task, number, worker)
	case done && noted:
		s.finding("TWICE: %s run %d starts on %s after a run has ended done and the end was taken note of", task, number, worker)
	case !shown.IsZero() && time.Since(shown) > time.Second:
		s.finding("TWICE: %s run %d starts on %s, %.1f s after its submission was shown as completed", task, number, worker, time.Since(shown).Seconds())
	}
}

func (s *site) ended(task string, number int, how string) {
	s.mu.Lock()
	t := s.task(task)
	delete(t.running, number)
	t.done = t.done || how == "done"
	s.mu.Unlock()
	if !s.quiet(task) {
		s.rec.event("worker: %s run %d ends: %s", task, number, how)
	}
}

func (s *site) noted(task string, _ int, how string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if how == "done" {
		s.task(task).noted = true
	}
}

// startsOf returns how many starts the tasks of a submission had.
func (s *site) startsOf(job string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for name, t := range s.tasks {
		if jobOf(name) == job {
			n += t.starts
		}
	}
	return n
}

// quiet reports whether a task is one of so many that they are not recorded one by one.
func (s *site) quiet(task string) bool { return strings.HasPrefix(task, "feed") }

func (s *site) duration(task string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if d, found := s.durations[jobOf(task)]; found {
		return d
	}
	return 300 * time.Millisecond
}

func jobOf(task string) string {
	job, _, _ := strings.Cut(task, ".")
	return job
}

// jobID returns the id of submission n of a series; prefix has 4 hexadecimal digits.
func jobID(prefix string, n int) string { return fmt.Sprintf("%s%012x", prefix, n*7919+17) }

// runningRuns returns how many runs of the tasks of a submission are at work.
func (s *site) runningRuns(job string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for name, t := range s.tasks {
		if jobOf(name) == job {
			n += len(t.running)
		}
	}
	return n
}
