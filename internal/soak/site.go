package soak

import (
	"fmt"
	"hash/fnv"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"gooseberryreel/internal/emulator"
	"gooseberryreel/internal/loopback"
	"gooseberryreel/internal/scheduler"
)

const (
	pool      = "pool"
	queueHost = "pick.example"
	prefix    = "/jobs/"
)

// site is the emulated platform with running processes and callers.
type site struct {
	opts      Options
	store     *emulator.Store
	runs      *emulator.Cluster
	processes []*process

	mu       sync.Mutex
	workers  []*soakWorker
	jobs     map[string]*soakJob
	version  int
	findings []string
}

// soakWorker is an emulated worker behind a link.
type soakWorker struct {
	*emulator.Worker
	link    *loopback.Proxy
	leaving bool
	// restarting lets one new life begin at a time.
	restarting sync.Mutex
}

// soakJob is what a caller knows of its job.
type soakJob struct {
	id      string
	tasks   []int // of each step; a step waits for the one before
	lasting bool

	mu        sync.Mutex
	accepted  time.Time // zero until a 2xx
	refused   bool      // every try was refused as not run
	cancelled time.Time // a cancellation was acknowledged
	cancels   bool      // one was sent
	completed bool      // seen
}

func newSite(o Options) (*site, error) {
	s := &site{opts: o, store: emulator.NewStore(), jobs: make(map[string]*soakJob)}
	s.runs = emulator.NewCluster(s.work)
	s.configure()
	for n := range o.Workers {
		s.workers = append(s.workers, &soakWorker{})
		if err := s.startWorker(n); err != nil {
			return s, err
		}
	}
	for n := range o.Instances {
		share := 0.1
		if n < 2 {
			share = 0.8
		}
		p, err := newProcess(o, n, share, s.store)
		if err != nil {
			return s, err
		}
		s.processes = append(s.processes, p)
	}
	return s, nil
}

func (s *site) close() {
	for _, p := range s.processes {
		p.close()
	}
	for _, w := range s.workers {
		if w.Worker != nil {
			w.link.Close()
			w.Close()
		}
	}
	s.store.Close()
}

// find records a broken promise.
func (s *site) find(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.findings = append(s.findings, fmt.Sprintf(format, args...))
}

func (s *site) configure() {
	s.mu.Lock()
	s.version += 3
	version := s.version
	s.mu.Unlock()
	route := map[string]any{
		"Name": "q", "Host": queueHost, "PathPrefix": prefix, "Service": pool, "Priority": 0, "MaxAttempts": 3,
		"StretchFactor": 1.5, "TargetDurationMs": 250,
	}
	s.put("keyed.op", "config", map[string]any{
		"Version": version, "Routes": []any{route}, "Services": []any{map[string]any{"Name": pool}}, "Limits": map[string]any{"MaxBodyBytes": 65536},
	})
}

func (s *site) put(topic, key string, value any) {
	if err := s.store.PutJSON(topic, key, value); err != nil {
		s.find("the soak can't encode %s: %v", key, err)
	}
}

// startWorker starts a worker, or a new life of one.
func (s *site) startWorker(n int) error {
	restarting := &s.workers[n].restarting
	restarting.Lock()
	defer restarting.Unlock()
	id := fmt.Sprintf("i-%d", n)
	worker := emulator.NewWorker(id, s.runs)
	link, err := loopback.New(worker.Address(), nil)
	if err != nil {
		worker.Close()
		return err
	}
	s.mu.Lock()
	w := s.workers[n]
	old, oldLink := w.Worker, w.link
	s.mu.Unlock()
	if old != nil {
		// Without the lock: closing waits for orders under way, and each start
		// asks the site what its task does.
		oldLink.Close()
		old.Close()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Worker, w.link, w.leaving = worker, link, false
	s.list(w, "ready")
	return nil
}

func (s *site) list(w *soakWorker, state string) {
	entry := w.StoreRecord(pool, "z", "r1-1", 8000, 16000, state)
	entry["Address"] = w.link.Address
	if err := s.store.PutJSON("keyed.servers", w.ID, entry); err != nil {
		s.findings = append(s.findings, err.Error())
	}
}

// work is called for each start that a worker begins. It checks the start and
// says what the task does, the same for each run of a task.
func (s *site) work(task string, number int) emulator.Behaviour {
	run, err := scheduler.ParseAttemptID(task, number)
	if err != nil {
		s.find("start of %s: %v", task, err)
		return emulator.Behaviour{}
	}
	s.mu.Lock()
	j := s.jobs[run.Job]
	s.mu.Unlock()
	if j == nil || run.Step >= len(j.tasks) || run.Task >= j.tasks[run.Step] {
		s.find("%s was started and nobody submitted it", task)
		return emulator.Behaviour{}
	}
	j.mu.Lock()
	cancelled := j.cancelled
	j.mu.Unlock()
	if !cancelled.IsZero() && time.Since(cancelled) > cancelBound {
		s.find("%s was started %v after its cancellation", task, time.Since(cancelled))
	}
	if run.Step > 0 {
		for n := range j.tasks[run.Step-1] {
			earlier := fmt.Sprintf("%s.%d.%d.%d", run.Job, run.Round, run.Step-1, n)
			if s.runs.Completions(earlier) == 0 {
				s.find("%s was started before %s had ended", task, earlier)
			}
		}
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(task)) // never fails
	work := time.Duration(50+h.Sum32()%500) * time.Millisecond
	return emulator.Behaviour{RunTime: work, LongRunning: j.lasting, TailLatencyMS: 5, Fail: !j.lasting && h.Sum32()%50 == 0 && number == 1}
}

// apply begins a disturbance and returns what ends it.
func (s *site) apply(e Fault) (end func()) {
	if e.Kind.ofWorkers() {
		var ends []func()
		for n := range s.workers {
			if e.All || n == e.Target {
				ends = append(ends, s.disturbWorker(n, e))
			}
		}
		return all(ends)
	}
	var ends []func()
	for n, p := range s.processes {
		if e.All || n == e.Target || e.Kind == KillAll {
			ends = append(ends, s.disturbProcess(p, e))
		}
	}
	return all(ends)
}

func all(ends []func()) func() {
	return func() {
		for _, end := range ends {
			end()
		}
	}
}

func (s *site) disturbProcess(p *process, e Fault) func() {
	inject := func(match string, fault emulator.Fault, every int) func() {
		n := 0
		var mu sync.Mutex
		p.endpoint.Inject(func(path string) emulator.Fault {
			mu.Lock()
			defer mu.Unlock()
			if n++; strings.HasPrefix(path, match) && n%every == 0 {
				return fault
			}
			return emulator.FaultNone
		})
		return func() { p.endpoint.Inject(nil) }
	}
	link := func(m loopback.Mode) func() {
		s.setLink(p.store, m)
		return func() { s.setLink(p.store, loopback.Forward) }
	}
	switch e.Kind {
	case Kill, KillAll:
		p.signal(syscall.SIGKILL, true)
	case Terminate:
		p.signal(syscall.SIGTERM, true)
	case HangUp:
		p.signal(syscall.SIGHUP, false)
	case Freeze:
		p.signal(syscall.SIGSTOP, false)
		return func() { p.signal(syscall.SIGCONT, false) }
	case StoreSilent:
		return link(loopback.Stall)
	case StoreOneWay:
		return link(loopback.StallToClient)
	case StoreReset:
		p.store.CloseConnections()
	case CallersReset:
		p.callers.CloseConnections()
	case StoreDelay:
		p.store.SetDelay(120 * time.Millisecond)
		return func() { p.store.SetDelay(0) }
	case StoreRefuses:
		return inject("/", emulator.FaultUnavailable, 1)
	case StoreAnswersLost:
		return inject("/log-append", emulator.FaultLoseResponse, 3)
	case StoreAppendsLate:
		return inject("/log-append", emulator.FaultDelayed, 3)
	case StorePartlyDown:
		p.endpoint.InjectPartitions(func(topic string, part int) emulator.Fault {
			if part%3 == 1 {
				return emulator.FaultUnavailable
			}
			return emulator.FaultNone
		})
		return func() { p.endpoint.InjectPartitions(nil) }
	case StoreTrimmed:
		s.store.TrimTopic("keyed.op")
		s.store.TrimTopic("keyed.servers")
	case ConfigChange:
		s.configure()
	}
	return func() {}
}

func (s *site) setLink(l *loopback.Proxy, m loopback.Mode) {
	if err := l.SetMode(m); err != nil {
		s.find("the soak can't set a link: %v", err)
	}
}

func (s *site) disturbWorker(n int, e Fault) func() {
	s.mu.Lock()
	w := s.workers[n]
	worker, link := w.Worker, w.link
	s.mu.Unlock()
	every := func(fault emulator.CommandFault) func() {
		calls := 0
		var mu sync.Mutex
		worker.Inject(func(path string) emulator.CommandFault {
			mu.Lock()
			defer mu.Unlock()
			if calls++; path != "/hold" && calls%2 == 0 {
				return fault
			}
			return emulator.CommandOK
		})
		return func() { worker.Inject(nil) }
	}
	switch e.Kind {
	case WorkerSilent:
		s.setLink(link, loopback.Stall)
		return func() { s.setLink(link, loopback.Forward) }
	case WorkerOneWay:
		s.setLink(link, loopback.StallToClient)
		return func() { s.setLink(link, loopback.Forward) }
	case WorkerRestart:
		if err := s.startWorker(n); err != nil {
			s.find("the soak can't start a worker: %v", err)
		}
	case WorkerLeaves:
		s.mu.Lock()
		if !w.leaving {
			w.leaving = true
			s.list(w, "draining")
		}
		s.mu.Unlock()
		return func() {
			if err := s.startWorker(n); err != nil {
				s.find("the soak can't start a worker: %v", err)
			}
		}
	case CommandsLost:
		return every(emulator.CommandLoseResponse)
	case CommandsLate:
		return every(emulator.CommandDelayed)
	}
	return func() {}
}

// waitReady waits until all processes are ready.
func (s *site) waitReady(limit time.Duration) bool {
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, p := range s.processes {
			if p.isReady(client) {
				ready++
			}
		}
		if ready == len(s.processes) {
			return true
		}
	}
	return false
}
