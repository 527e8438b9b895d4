package soak

import (
	"fmt"
	"hash/fnv"
	"strings"
	"sync"
	"sync/atomic"
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

	workerCPUMilli, workerMemoryMiB = 8000, 16000
	taskCPUMilli, taskMemoryMiB     = 500, 256

	// repeatShare is the fraction of a back end's responses that are repeated during
	// the fault, at most repeatMaxDelay later.
	repeatShare    = 0.3
	repeatMaxDelay = 2 * time.Second
)

// deployment is the emulated platform with the scheduler processes that run on it.
type deployment struct {
	opts      Options
	store     *emulator.Store
	cluster   *emulator.Cluster
	processes []*process

	mu      sync.Mutex
	workers []*emulatedWorker
	version int
	// reportMu guards jobs and findings. A worker holds its own lock when it calls
	// checkStart, and mu is held while workers are changed, so that checkStart must not
	// take mu.
	reportMu sync.Mutex
	jobs     map[string]*trackedJob
	findings []string
	// pendingAnswers counts the checked answers of pending jobs.
	pendingAnswers atomic.Int64
	crashes        sync.WaitGroup // workers that are down or come back
	// evacuations are all evacuations so far, the current ones without an end.
	evacuations []*evacuation

	began        time.Time     // of the injection of faults; guarded by reportMu
	disturbances []disturbance // guarded by reportMu
	restarts     int           // of long-running tasks
}

// emulatedWorker is an emulated worker behind a proxy.
type emulatedWorker struct {
	*emulator.Worker // nil while it is lost

	proxy   *loopback.Proxy
	domain  string // failure domain
	leaving bool
	cpu     int64 // capacity, which may shrink
	lives   int   // crashes after which it came back under another id
	// restarting is held while a new incarnation starts, so that only one starts
	// at a time.
	restarting sync.Mutex
}

// trackedJob is a submitted job with what its caller has observed.
type trackedJob struct {
	id          string
	tasks       []int // number of tasks by step; each step depends on the one before
	longRunning bool
	crashing    bool // its first task crashes the workers that start it

	mu          sync.Mutex
	accepted    time.Time // zero until the job is accepted
	refused     bool      // every submission was refused, which means that the job never runs
	cancelledAt time.Time // when a cancellation was acknowledged
	cancelSent  bool      // a cancellation was sent
	completed   bool      // a caller saw the state "completed"
	lost        bool      // a caller was told too late that it is not found

	cancelSentAt time.Time
	cpu          int64 // of a task
}

func newDeployment(o Options) (*deployment, error) {
	d := &deployment{opts: o, began: time.Now(), store: emulator.NewStore(), jobs: make(map[string]*trackedJob)}
	d.cluster = emulator.NewCluster(d.checkStart)
	d.publishConfig()
	for n := range o.Workers {
		d.workers = append(d.workers, &emulatedWorker{cpu: workerCPUMilli, domain: domainOf(n)})
		if err := d.startWorker(n); err != nil {
			return d, err
		}
	}
	for n := range o.Instances {
		share := 0.1
		if n < 2 {
			share = 0.8
		}
		p, err := newProcess(d, n, share)
		if err != nil {
			return d, err
		}
		d.processes = append(d.processes, p)
	}
	return d, nil
}

func (d *deployment) close() {
	d.crashes.Wait()
	for _, p := range d.processes {
		p.close()
	}
	for _, w := range d.workers {
		if w.proxy != nil {
			w.proxy.Close()
		}
		if w.Worker != nil {
			w.Close()
		}
	}
	d.store.Close()
}

// addFinding records a violated guarantee or a failure of the soak itself.
func (d *deployment) addFinding(format string, args ...any) {
	d.reportMu.Lock()
	defer d.reportMu.Unlock()
	d.findings = append(d.findings, fmt.Sprintf(format, args...))
}

// publishConfig appends a new version of the configuration to the store.
func (d *deployment) publishConfig() {
	d.mu.Lock()
	d.version += 3
	version := d.version
	d.mu.Unlock()
	route := map[string]any{
		"Name": "q", "Host": queueHost, "PathPrefix": jobPathPrefix, "Service": pool, "Priority": 0, "MaxAttempts": 3,
		"StretchFactor": 1.5, "TargetDurationMs": 250,
	}
	d.putRecord("keyed.op", "config", map[string]any{
		"Version": version, "Routes": []any{route}, "Services": []any{map[string]any{"Name": pool}}, "Limits": map[string]any{"MaxBodyBytes": 65536},
	})
}

func (d *deployment) putRecord(topic, key string, value any) {
	if err := d.store.PutJSON(topic, key, value); err != nil {
		d.addFinding("soak: encode %s: %v", key, err)
	}
}

// startWorker starts a worker, or a new incarnation of a worker after closing the
// current one.
func (d *deployment) startWorker(n int) error {
	restarting := &d.workers[n].restarting
	restarting.Lock()
	defer restarting.Unlock()
	d.mu.Lock()
	id := d.workers[n].id(n)
	d.mu.Unlock()
	worker := emulator.NewWorker(id, d.cluster)
	proxy, err := loopback.New(worker.Address(), nil)
	if err != nil {
		worker.Close()
		return err
	}
	d.mu.Lock()
	w := d.workers[n]
	old, oldProxy := w.Worker, w.proxy
	d.mu.Unlock()
	defer d.disturb("%s started", id)()
	if oldProxy != nil {
		oldProxy.Close()
	}
	if old != nil {
		// Closed without the lock: Close waits for commands in flight, and each
		// start command calls checkStart, which acquires the lock.
		old.Close()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	w.Worker, w.proxy, w.leaving = worker, proxy, false
	d.watchCrashes(n)
	d.publishWorker(w, "ready")
	return nil
}

// publishWorker writes the worker's record to the store unless it is lost. The
// caller holds d.mu.
func (d *deployment) publishWorker(w *emulatedWorker, state string) {
	if w.Worker == nil {
		return
	}
	w.SetCapacity(w.cpu, workerMemoryMiB)
	record := w.StoreRecord(pool, w.domain, "r1-1", w.cpu, workerMemoryMiB, state)
	record["Address"] = w.proxy.Address
	if err := d.store.PutJSON("keyed.servers", w.ID, record); err != nil {
		d.addFinding("%v", err)
	}
}

// checkStart is called for each attempt that a worker starts. It checks that the
// start is allowed and returns what the task does. That depends on the task alone,
// except that only the first attempt can fail.
func (d *deployment) checkStart(task string, number int) emulator.Behaviour {
	attempt, err := scheduler.ParseAttemptID(task, number)
	if err != nil {
		d.addFinding("start of %s: %v", task, err)
		return emulator.Behaviour{}
	}
	d.reportMu.Lock()
	j := d.jobs[attempt.Job]
	d.reportMu.Unlock()
	if j == nil || attempt.Step >= len(j.tasks) || attempt.Task >= j.tasks[attempt.Step] {
		d.addFinding("%s was started but never submitted", task)
		return emulator.Behaviour{}
	}
	j.mu.Lock()
	cancelledAt := j.cancelledAt
	j.mu.Unlock()
	if !cancelledAt.IsZero() && time.Since(cancelledAt) > cancelBound {
		d.addFinding("%s was started %v after its cancellation", task, time.Since(cancelledAt))
	}
	if attempt.Step > 0 {
		for n := range j.tasks[attempt.Step-1] {
			earlier := fmt.Sprintf("%s.%d.%d.%d", attempt.Job, attempt.Round, attempt.Step-1, n)
			if d.cluster.Completions(earlier) == 0 {
				d.addFinding("%s was started before %s had ended", task, earlier)
			}
		}
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(task)) // never fails
	runTime := time.Duration(50+h.Sum32()%500) * time.Millisecond
	b := emulator.Behaviour{
		RunTime: runTime, LongRunning: j.longRunning, TailLatencyMS: 5, Fail: !j.longRunning && h.Sum32()%50 == 0 && number == 1,
		CPUMilli: j.cpu, MemoryMiB: taskMemoryMiB,
	}
	if j.crashing && attempt.Step == 0 && attempt.Task == 0 {
		b.Fail, b.CrashAfter = false, time.Duration(5+h.Sum32()%40)*time.Millisecond
		b.RunTime += b.CrashAfter
	}
	return b
}

// inject starts a fault and returns the function that ends it.
func (d *deployment) inject(f Fault) (end func()) {
	if f.Kind == DomainEvacuated {
		return d.evacuateDomain(f)
	}
	if f.Kind.isLoss() {
		return d.lose(f)
	}
	if f.Kind.targetsWorkers() {
		var ends []func()
		for n := range d.workers {
			if f.All || n == f.Target {
				ends = append(ends, d.injectWorkerFault(n, f))
			}
		}
		return callAll(ends)
	}
	var ends []func()
	for n, p := range d.processes {
		if f.All || n == f.Target || f.Kind == KillAll {
			ends = append(ends, d.injectProcessFault(p, f))
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

func (d *deployment) injectProcessFault(p *process, f Fault) func() {
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
		d.setProxyMode(p.storeProxy, mode)
		return func() { d.setProxyMode(p.storeProxy, loopback.Forward) }
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
	case StoreRepeats:
		p.endpoint.Repeat(d.newRepeater(f))
		return func() { p.endpoint.Repeat(nil) }
	case StorePartlyDown:
		p.endpoint.InjectPartitions(func(topic string, part int) emulator.Fault {
			if part%3 == 1 {
				return emulator.FaultUnavailable
			}
			return emulator.FaultNone
		})
		return func() { p.endpoint.InjectPartitions(nil) }
	case StoreTrimmed:
		d.store.TrimTopic("keyed.op")
		d.store.TrimTopic("keyed.servers")
	case ConfigChange:
		d.publishConfig()
	}
	return func() {}
}

// newRepeater returns what draws the repeated responses of a fault.
func (d *deployment) newRepeater(f Fault) *loopback.Repeater {
	return loopback.NewRepeater(d.opts.Seed^uint64(f.At), repeatShare, repeatMaxDelay)
}

func (d *deployment) setProxyMode(proxy *loopback.Proxy, mode loopback.Mode) {
	if err := proxy.SetMode(mode); err != nil {
		d.addFinding("soak: set proxy mode: %v", err)
	}
}

func (d *deployment) injectWorkerFault(n int, f Fault) func() {
	d.mu.Lock()
	w := d.workers[n]
	worker, proxy := w.Worker, w.proxy
	d.mu.Unlock()
	if worker == nil {
		return func() {}
	}
	forward := func() {
		if !d.isLost(n) {
			d.setProxyMode(proxy, loopback.Forward)
		}
	}
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
		d.setProxyMode(proxy, loopback.Stall)
		return forward
	case WorkerStalledOneWay:
		d.setProxyMode(proxy, loopback.StallToClient)
		return forward
	case WorkerRestart:
		if err := d.startWorker(n); err != nil {
			d.addFinding("soak: start worker: %v", err)
		}
	case WorkerLeaves:
		d.mu.Lock()
		if !w.leaving {
			w.leaving = true
			d.publishWorker(w, "draining")
		}
		d.mu.Unlock()
		return func() {
			if d.isLost(n) {
				return
			}
			if err := d.startWorker(n); err != nil {
				d.addFinding("soak: start worker: %v", err)
			}
		}
	case WorkerCrash:
		d.crashWorker(n, worker, f.For, n%2 == 0)
	case WorkerRepeats:
		worker.Repeat(d.newRepeater(f))
		return func() { worker.Repeat(nil) }
	case WorkerResized:
		d.resizeWorker(w, workerCPUMilli/4)
		return func() { d.resizeWorker(w, workerCPUMilli) }
	case CommandResponsesLost:
		return injectCalls(emulator.CommandLoseResponse)
	case CommandsDelayed:
		return injectCalls(emulator.CommandDelayed)
	}
	return func() {}
}
