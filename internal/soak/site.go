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
	pool          = "pool"
	queueHost     = "pick.example"
	jobPathPrefix = "/jobs/"
)

// site is the emulated platform with the scheduler processes that run on it.
type site struct {
	opts      Options
	store     *emulator.Store
	cluster   *emulator.Cluster
	processes []*process

	mu       sync.Mutex
	workers  []*emulatedWorker
	jobs     map[string]*trackedJob
	version  int
	findings []string
}

// emulatedWorker is an emulated worker behind a proxy.
type emulatedWorker struct {
	*emulator.Worker
	proxy   *loopback.Proxy
	leaving bool
	// restarting is held while a new incarnation starts, so that only one starts
	// at a time.
	restarting sync.Mutex
}

// trackedJob is a submitted job with what its caller has seen of it.
type trackedJob struct {
	id          string
	tasks       []int // number of tasks by step; each step depends on the one before
	longRunning bool

	mu          sync.Mutex
	accepted    time.Time // zero until the job is accepted
	refused     bool      // every submission was refused, which means that the job never runs
	cancelledAt time.Time // when a cancellation was acknowledged
	cancelSent  bool      // a cancellation was sent
	completed   bool      // a caller saw the state "completed"
}

func newSite(o Options) (*site, error) {
	s := &site{opts: o, store: emulator.NewStore(), jobs: make(map[string]*trackedJob)}
	s.cluster = emulator.NewCluster(s.checkStart)
	s.publishConfig()
	for n := range o.Workers {
		s.workers = append(s.workers, &emulatedWorker{})
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
			w.proxy.Close()
			w.Close()
		}
	}
	s.store.Close()
}

// addFinding records a violated guarantee or a failure of the soak itself.
func (s *site) addFinding(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.findings = append(s.findings, fmt.Sprintf(format, args...))
}

// publishConfig appends a new version of the configuration to the store.
func (s *site) publishConfig() {
	s.mu.Lock()
	s.version += 3
	version := s.version
	s.mu.Unlock()
	route := map[string]any{
		"Name": "q", "Host": queueHost, "PathPrefix": jobPathPrefix, "Service": pool, "Priority": 0, "MaxAttempts": 3,
		"StretchFactor": 1.5, "TargetDurationMs": 250,
	}
	s.putRecord("keyed.op", "config", map[string]any{
		"Version": version, "Routes": []any{route}, "Services": []any{map[string]any{"Name": pool}}, "Limits": map[string]any{"MaxBodyBytes": 65536},
	})
}

func (s *site) putRecord(topic, key string, value any) {
	if err := s.store.PutJSON(topic, key, value); err != nil {
		s.addFinding("soak: encode %s: %v", key, err)
	}
}

// startWorker starts a worker, or a new incarnation of a worker after closing the
// current one.
func (s *site) startWorker(n int) error {
	restarting := &s.workers[n].restarting
	restarting.Lock()
	defer restarting.Unlock()
	id := fmt.Sprintf("i-%d", n)
	worker := emulator.NewWorker(id, s.cluster)
	proxy, err := loopback.New(worker.Address(), nil)
	if err != nil {
		worker.Close()
		return err
	}
	s.mu.Lock()
	w := s.workers[n]
	old, oldProxy := w.Worker, w.proxy
	s.mu.Unlock()
	if old != nil {
		// Closed without the lock: Close waits for commands in flight, and each
		// start command calls checkStart, which takes the lock.
		oldProxy.Close()
		old.Close()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Worker, w.proxy, w.leaving = worker, proxy, false
	s.publishWorker(w, "ready")
	return nil
}

// publishWorker writes the worker's record to the store. The caller holds s.mu.
func (s *site) publishWorker(w *emulatedWorker, state string) {
	record := w.StoreRecord(pool, "z", "r1-1", 8000, 16000, state)
	record["Address"] = w.proxy.Address
	if err := s.store.PutJSON("keyed.servers", w.ID, record); err != nil {
		s.findings = append(s.findings, err.Error())
	}
}

// checkStart is called for each attempt that a worker starts. It checks that the
// start is allowed and returns what the task does. That depends on the task alone,
// except that only the first attempt can fail.
func (s *site) checkStart(task string, number int) emulator.Behaviour {
	attempt, err := scheduler.ParseAttemptID(task, number)
	if err != nil {
		s.addFinding("start of %s: %v", task, err)
		return emulator.Behaviour{}
	}
	s.mu.Lock()
	j := s.jobs[attempt.Job]
	s.mu.Unlock()
	if j == nil || attempt.Step >= len(j.tasks) || attempt.Task >= j.tasks[attempt.Step] {
		s.addFinding("%s was started but never submitted", task)
		return emulator.Behaviour{}
	}
	j.mu.Lock()
	cancelledAt := j.cancelledAt
	j.mu.Unlock()
	if !cancelledAt.IsZero() && time.Since(cancelledAt) > cancelBound {
		s.addFinding("%s was started %v after its cancellation", task, time.Since(cancelledAt))
	}
	if attempt.Step > 0 {
		for n := range j.tasks[attempt.Step-1] {
			earlier := fmt.Sprintf("%s.%d.%d.%d", attempt.Job, attempt.Round, attempt.Step-1, n)
			if s.cluster.Completions(earlier) == 0 {
				s.addFinding("%s was started before %s had ended", task, earlier)
			}
		}
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(task)) // never fails
	runTime := time.Duration(50+h.Sum32()%500) * time.Millisecond
	return emulator.Behaviour{RunTime: runTime, LongRunning: j.longRunning, TailLatencyMS: 5, Fail: !j.longRunning && h.Sum32()%50 == 0 && number == 1}
}

// inject starts a fault and returns the function that ends it.
func (s *site) inject(f Fault) (end func()) {
	if f.Kind.targetsWorkers() {
		var ends []func()
		for n := range s.workers {
			if f.All || n == f.Target {
				ends = append(ends, s.injectWorkerFault(n, f))
			}
		}
		return callAll(ends)
	}
	var ends []func()
	for n, p := range s.processes {
		if f.All || n == f.Target || f.Kind == KillAll {
			ends = append(ends, s.injectProcessFault(p, f))
		}
	}
	return callAll(ends)
}

// callAll returns a function that calls all ends.
func callAll(ends []func()) func() {
	return func() {
		for _, end := range ends {
			end()
		}
	}
}

func (s *site) injectProcessFault(p *process, f Fault) func() {
	inject := func(pathPrefix string, fault emulator.Fault, every int) func() {
		n := 0
		var mu sync.Mutex
		p.endpoint.Inject(func(path string) emulator.Fault {
			mu.Lock()
			defer mu.Unlock()
			if n++; strings.HasPrefix(path, pathPrefix) && n%every == 0 {
				return fault
			}
			return emulator.FaultNone
		})
		return func() { p.endpoint.Inject(nil) }
	}
	setStoreMode := func(mode loopback.Mode) func() {
		s.setProxyMode(p.storeProxy, mode)
		return func() { s.setProxyMode(p.storeProxy, loopback.Forward) }
	}
	switch f.Kind {
	case Kill, KillAll:
		p.signal(syscall.SIGKILL, true)
	case Terminate:
		p.signal(syscall.SIGTERM, true)
	case HangUp:
		p.signal(syscall.SIGHUP, false)
	case Freeze:
		p.signal(syscall.SIGSTOP, false)
		return func() { p.signal(syscall.SIGCONT, false) }
	case StoreStalled:
		return setStoreMode(loopback.Stall)
	case StoreStalledOneWay:
		return setStoreMode(loopback.StallToClient)
	case StoreReset:
		p.storeProxy.CloseConnections()
	case CallersReset:
		p.callerProxy.CloseConnections()
	case StoreDelay:
		p.storeProxy.SetDelay(120 * time.Millisecond)
		return func() { p.storeProxy.SetDelay(0) }
	case StoreUnavailable:
		return inject("/", emulator.FaultUnavailable, 1)
	case StoreResponsesLost:
		return inject("/log-append", emulator.FaultLoseResponse, 3)
	case StoreAppendsDelayed:
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
		s.publishConfig()
	}
	return func() {}
}

func (s *site) setProxyMode(proxy *loopback.Proxy, mode loopback.Mode) {
	if err := proxy.SetMode(mode); err != nil {
		s.addFinding("soak: set proxy mode: %v", err)
	}
}

func (s *site) injectWorkerFault(n int, f Fault) func() {
	s.mu.Lock()
	w := s.workers[n]
	worker, proxy := w.Worker, w.proxy
	s.mu.Unlock()
	injectCalls := func(fault emulator.CommandFault) func() {
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
	switch f.Kind {
	case WorkerStalled:
		s.setProxyMode(proxy, loopback.Stall)
		return func() { s.setProxyMode(proxy, loopback.Forward) }
	case WorkerStalledOneWay:
		s.setProxyMode(proxy, loopback.StallToClient)
		return func() { s.setProxyMode(proxy, loopback.Forward) }
	case WorkerRestart:
		if err := s.startWorker(n); err != nil {
			s.addFinding("soak: start worker: %v", err)
		}
	case WorkerLeaves:
		s.mu.Lock()
		if !w.leaving {
			w.leaving = true
			s.publishWorker(w, "draining")
		}
		s.mu.Unlock()
		return func() {
			if err := s.startWorker(n); err != nil {
				s.addFinding("soak: start worker: %v", err)
			}
		}
	case CommandResponsesLost:
		return injectCalls(emulator.CommandLoseResponse)
	case CommandsDelayed:
		return injectCalls(emulator.CommandDelayed)
	}
	return func() {}
}

// waitReady waits until all processes are ready. It reports false if they are not
// within the limit.
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
