package jobs

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"
	"gooseberryreel/internal/control"
	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/remote"
)

var errNoAnswer = errors.New("no answer")

// fakeTask is an attempt on a fake worker.
type fakeTask struct {
	spec       remote.TaskSpec
	state      remote.TaskState
	leaseEnd   time.Time
	endsAt     time.Time
	usage      remote.Resources
	percent    int
	checkpoint string
}

// fakeWorker implements the worker protocol: starts are idempotent per task
// reference.
type fakeWorker struct {
	inst      remote.Instance
	boot      int
	silent    bool
	failsAll  bool
	destroyed bool
	tasks     map[remote.TaskRef]*fakeTask
}

// inFlight is a worker call in flight.
type inFlight struct {
	core    *Core
	res     CallResult
	applied bool // the worker has carried it out
}

// pendingRecord is a record whose append has not reached the stream yet.
type pendingRecord struct {
	core  *Core
	epoch int64
	job   *pb.Job
}

type streamEntry struct {
	epoch int64
	job   *pb.Job
}

// harness runs cores against fake workers and a fake control stream under a
// virtual clock. It records violations of the guarantees G1, G2 and G3.
type harness struct {
	now       time.Time
	config    *control.Config
	workers   map[string]*fakeWorker
	targets   []remote.Instance
	logDown   bool
	stream    []streamEntry
	appends   []pendingRecord
	calls     []*inFlight
	owner     *Core
	read      map[*Core]int
	epoch     int64
	disabled  disabledRules
	copies    map[string]*pb.Job // held by the other instances
	requests  map[string]SubmitRequest
	accepted  map[string]bool // ids of jobs whose record was read back
	confirmed map[string]bool // ids of jobs whose start was confirmed

	starts     map[remote.TaskRef]int // times an attempt began to run
	resumes    map[string]int         // times an attempt began from a checkpoint, by job and attempt
	done       map[string]int         // completed attempts by job
	violations []string
	usageOf    func(spec remote.TaskSpec) remote.Resources
	runFor     func(spec remote.TaskSpec) time.Duration
}

const testLease = 15 * time.Second

var testCapacity = remote.Resources{CPUMilli: 4000, MemoryMiB: 4000, Accelerators: 1}

func testDeclarations() *control.Config {
	batch := func(team string, cpu int64, urgent, checkpointable bool) *pb.BatchJob {
		return &pb.BatchJob{
			Team: team, Needs: &pb.Resources{CpuMilli: cpu, MemoryMib: cpu}, Urgent: urgent,
			Checkpointable: checkpointable, MaxAttempts: 3, Workload: "w",
		}
	}
	return &control.Config{
		Jobs: map[string]*pb.BatchJob{
			"small":  batch("a", 1000, false, true),
			"large":  batch("b", 3000, false, false),
			"alert":  batch("b", 2000, true, true),
			"giant":  batch("a", 90000, false, true),
			"capped": batch("q", 1000, false, true),
		},
		Teams: map[string]*pb.Team{
			"a": {}, "b": {}, "q": {Quota: &pb.Resources{CpuMilli: 2000, MemoryMib: 2000}},
		},
		Services: map[string]*pb.Service{"web": {PerTarget: &pb.Resources{CpuMilli: 500, MemoryMib: 500}}},
	}
}

func newHarness(workers int) *harness {
	s := &harness{
		now:       time.UnixMilli(1_700_000_000_000),
		config:    testDeclarations(),
		workers:   make(map[string]*fakeWorker),
		read:      make(map[*Core]int),
		copies:    make(map[string]*pb.Job),
		requests:  make(map[string]SubmitRequest),
		starts:    make(map[remote.TaskRef]int),
		resumes:   make(map[string]int),
		done:      make(map[string]int),
		accepted:  make(map[string]bool),
		confirmed: make(map[string]bool),
		usageOf:   func(spec remote.TaskSpec) remote.Resources { return spec.Needs },
		runFor:    func(remote.TaskSpec) time.Duration { return 20 * time.Second },
	}
	for i := range workers {
		s.addWorker(fmt.Sprintf("w%d", i))
	}
	return s
}

func (s *harness) addWorker(name string) *fakeWorker {
	w := &fakeWorker{
		inst:  remote.Instance{Name: name, Kind: remote.KindWorker, State: remote.StateLive, Address: "x", Capacity: testCapacity},
		tasks: make(map[remote.TaskRef]*fakeTask),
	}
	s.workers[name] = w
	s.targets = append(s.targets, remote.Instance{Name: "t-" + name, Kind: remote.KindTarget, Service: "web", Worker: name, Slots: 8})
	return w
}

func testOptions() CoreOptions {
	return CoreOptions{
		Settings: &pb.JobSettings{TaskLeaseMs: testLease.Milliseconds(), WorkerPollIntervalMs: 500, WorkerCallTimeoutMs: 500, QuarantineFailures: 3, QuarantineMs: 5000, MaxAttempts: 3},
		Policy:   &pb.PolicySettings{TailLatencyWeight: 1, ThroughputWeight: 1, EvictionWeight: 1, MaxEvictionsPerMinute: 60, ReportLagMs: 1000},
	}
}

// takeOver replaces the owner with a new core that has read the whole stream and holds
// the copies that the old owner sent. The calls of the old owner stay in flight.
func (s *harness) takeOver() { s.takeOverWith() }

// takeOverWith is takeOver by an instance that holds further copies.
func (s *harness) takeOverWith(copies ...*pb.Job) {
	if s.owner != nil {
		s.owner.SetView(CoreView{}, s.now)
	}
	s.appends = nil // readers drop records of an earlier epoch
	s.advance(time.Second)
	s.epoch++
	s.owner = NewCore(testOptions())
	s.owner.disabled = s.disabled
	s.readStream()
	for _, id := range sortedKeys(s.copies) {
		s.owner.AddCopy(cloneJob(s.copies[id]), s.now)
	}
	for _, job := range copies {
		s.owner.AddCopy(job, s.now)
	}
	s.updateView(true)
}

func (s *harness) readStream() {
	for _, e := range s.stream[s.read[s.owner]:] {
		s.owner.ApplyRecord(e.epoch, cloneJob(e.job), s.now)
	}
	s.read[s.owner] = len(s.stream)
	s.collectOutput()
}

func (s *harness) updateView(mayAct bool) {
	view := CoreView{Own: true, Epoch: s.epoch, MayAct: mayAct, LogReadable: !s.logDown, Config: s.config, Targets: s.targets}
	for _, name := range sortedKeys(s.workers) {
		if !s.workers[name].destroyed {
			view.Workers = append(view.Workers, s.workers[name].inst)
		}
	}
	s.owner.SetView(view, s.now)
	s.collectOutput()
}

// collectOutput adds the owner's pending output to the calls and appends in
// flight.
func (s *harness) collectOutput() {
	out := s.owner.TakeOutput()
	for _, job := range out.Records {
		s.appends = append(s.appends, pendingRecord{s.owner, s.epoch, job})
	}
	for _, call := range out.Calls {
		s.calls = append(s.calls, &inFlight{core: s.owner, res: CallResult{Call: call}})
	}
	for _, u := range out.Updates {
		s.accepted[u.Job.Id] = s.accepted[u.Job.Id] || u.Durable
		s.confirmed[u.Job.Id] = s.confirmed[u.Job.Id] || u.Confirmed
	}
	for _, job := range out.Copies {
		s.copies[job.Id] = job
		s.owner.CopyDone(job, true, s.now)
	}
	if len(out.Copies) > 0 {
		s.collectOutput()
	}
}

func (s *harness) tick() {
	s.owner.Tick(s.now)
	s.collectOutput()
}

// advance moves the clock, and ends tasks whose run time or lease is over.
func (s *harness) advance(d time.Duration) {
	s.now = s.now.Add(d)
	for _, name := range sortedKeys(s.workers) {
		for _, t := range s.workers[name].tasks {
			switch {
			case t.state != remote.TaskRunning:
			case s.now.After(t.leaseEnd):
				t.state = remote.TaskExpired
			case s.now.After(t.endsAt):
				t.state = remote.TaskDone
				s.done[t.spec.Ref.Job]++
			}
		}
	}
}

// append moves the oldest pending record into the stream, or drops it if its epoch
// is stale. It does nothing while the log is down.
func (s *harness) append() {
	if s.logDown || len(s.appends) == 0 {
		return
	}
	r := s.appends[0]
	s.appends = s.appends[1:]
	if r.epoch == s.epoch {
		s.stream = append(s.stream, streamEntry{r.epoch, cloneJob(r.job)})
	}
}

// apply carries out a call on its worker and sets its result.
func (s *harness) apply(f *inFlight) {
	w := s.workers[f.res.Call.Worker]
	f.applied = true
	if w == nil || w.silent || w.destroyed {
		f.res.Err = errNoAnswer
		return
	}
	call := f.res.Call
	t := w.tasks[call.Ref]
	refuse := &remote.RefusedError{Peer: w.inst.Name, Reason: "no such task"}
	switch call.Kind {
	case CallStatus:
		f.res.Status = w.status()
	case CallStart:
		s.start(w, call.Spec)
	case CallRenew:
		for _, ref := range call.Refs {
			if t := w.tasks[ref]; t != nil {
				t.leaseEnd = s.now.Add(testLease)
			}
		}
	default:
		if t == nil || (t.state != remote.TaskRunning && call.Kind != CallStop) {
			f.res.Err = refuse
			return
		}
		s.applyTask(t, f)
	}
}

func (s *harness) applyTask(t *fakeTask, f *inFlight) {
	switch f.res.Call.Kind {
	case CallStop:
		if t.state == remote.TaskRunning {
			t.state = remote.TaskStopped
		}
	case CallCheckpoint:
		t.checkpoint = t.spec.Ref.String()
		f.res.Checkpoint = t.checkpoint
	case CallThrottle:
		t.percent = f.res.Call.Percent
	}
}

func (s *harness) start(w *fakeWorker, spec remote.TaskSpec) {
	if w.tasks[spec.Ref] != nil {
		return
	}
	t := &fakeTask{spec: spec, state: remote.TaskRunning, leaseEnd: s.now.Add(spec.Lease), endsAt: s.now.Add(s.runFor(spec)), usage: s.usageOf(spec), percent: 100}
	w.tasks[spec.Ref] = t
	s.starts[spec.Ref]++
	s.checkStart(w, spec)
	if w.failsAll {
		t.state = remote.TaskFailed
	}
}

// checkStart records violations by an attempt that begins to run: G1 bounds the
// declared sizes on a worker by its capacity, G2 forbids two running attempts of a
// job, and G3 forbids running an attempt twice or resuming it twice.
func (s *harness) checkStart(w *fakeWorker, spec remote.TaskSpec) {
	for _, name := range sortedKeys(s.workers) {
		for ref, t := range s.workers[name].tasks {
			same := name == w.inst.Name && ref == spec.Ref
			if ref.Job == spec.Ref.Job && !same && t.state == remote.TaskRunning {
				s.violation("G2: %s starts on %s while %s runs on %s", spec.Ref, w.inst.Name, ref, name)
			}
		}
	}
	if s.starts[spec.Ref] > 1 {
		s.violation("G3: %s began to run %d times", spec.Ref, s.starts[spec.Ref])
	}
	if spec.Checkpoint != "" {
		key := fmt.Sprintf("%s attempt %d", spec.Ref.Job, spec.Ref.Attempt)
		if s.resumes[key]++; s.resumes[key] > 1 {
			s.violation("G3: %s resumed twice", key)
		}
	}
	used := remote.Resources{CPUMilli: 500, MemoryMiB: 500}
	for _, t := range w.tasks {
		if t.state == remote.TaskRunning {
			used = used.Add(t.spec.Needs)
		}
	}
	if !used.Fits(w.inst.Capacity) {
		s.violation("G1: %s holds %+v", w.inst.Name, used)
	}
}

func (s *harness) violation(format string, args ...any) {
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

func (w *fakeWorker) status() remote.WorkerStatus {
	out := remote.WorkerStatus{Worker: w.inst.Name, Boot: fmt.Sprint(w.boot)}
	for ref, t := range w.tasks {
		out.Tasks = append(out.Tasks, remote.TaskStatus{
			Ref: ref, State: t.state, Usage: t.usage, ThrottlePercent: t.percent, Checkpoint: t.checkpoint,
		})
	}
	slices.SortFunc(out.Tasks, func(a, b remote.TaskStatus) int {
		return cmp.Or(cmp.Compare(a.Ref.Job, b.Ref.Job), cmp.Compare(a.Ref.Attempt, b.Ref.Attempt))
	})
	return out
}

// deliver ends a call. The worker carries it out unless it already has. Its result
// reaches the core, twice if duplicate; lose replaces the result with an error.
func (s *harness) deliver(i int, lose, duplicate bool) {
	f := s.calls[i]
	s.calls = slices.Delete(s.calls, i, i+1)
	if !f.applied {
		s.apply(f)
	}
	if f.core != s.owner {
		return
	}
	if lose {
		f.res = CallResult{Call: f.res.Call, Err: errNoAnswer}
	}
	s.owner.CallDone(f.res, s.now)
	if duplicate {
		s.owner.CallDone(f.res, s.now)
	}
	s.collectOutput()
}

// loseAnswer reports an error to the core for a call that the worker may still
// carry out later.
func (s *harness) loseAnswer(i int) {
	f := s.calls[i]
	if f.core != s.owner || f.res.Call.Kind == CallStatus {
		return
	}
	s.owner.CallDone(CallResult{Call: f.res.Call, Err: errNoAnswer}, s.now)
	f.core = nil
	s.collectOutput()
}

// runFaultFree runs the harness for d, with the log up and without losing calls.
func (s *harness) runFaultFree(d time.Duration) {
	s.logDown = false
	for end := s.now.Add(d); s.now.Before(end); {
		s.step()
	}
}

// runUntilEnded is runFaultFree until all jobs have ended, but for at most 15
// minutes, after which the remaining jobs count as stuck.
func (s *harness) runUntilEnded() {
	s.logDown = false
	for end := s.now.Add(15 * time.Minute); s.now.Before(end); {
		s.step()
		if len(s.owner.jobs) == 0 {
			return
		}
	}
}

// step runs one interval in which all calls and appends succeed.
func (s *harness) step() {
	s.advance(250 * time.Millisecond)
	s.updateView(true)
	s.tick()
	for len(s.calls) > 0 {
		s.deliver(0, false, false)
	}
	for !s.logDown && len(s.appends) > 0 {
		s.append()
	}
	s.readStream()
}

// submit submits a job, or submits it again if its id is known.
func (s *harness) submit(id, name string) Reply {
	request, known := s.requests[id]
	if !known {
		request = SubmitRequest{ID: id, Name: name, IssuedMS: s.now.UnixMilli()}
		s.requests[id] = request
	}
	r := s.owner.Submit(request, s.now)
	s.collectOutput()
	return r
}

func (s *harness) state(id string) pb.JobState { return s.owner.Get(id).Job.GetState() }
