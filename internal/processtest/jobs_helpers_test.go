package processtest

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"gooseberryreel/internal/history"
	"gooseberryreel/internal/load"
	"gooseberryreel/internal/loopback"
	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/remote"
	"gooseberryreel/internal/remote/wire"
	"gooseberryreel/internal/standin"
)

const (
	jobDomain = "north"
	// jobPartition is the number of the job partition. Partitions 0 to 7 are the
	// request partitions.
	jobPartition = 8
)

// workerCall is a call from an entry process that took effect at a worker.
type workerCall struct {
	worker string
	kind   string // last element of the URL path: start, stop, checkpoint, renew, status
	task   wire.TaskRef
	status wire.WorkerStatus // response of a status call
}

// workerProxy is an HTTP proxy between the entry processes and one worker. It lets
// a test inject a fault right after a certain call took effect.
type workerProxy struct {
	name, workerAddress string
	// endpoint represents the worker in the address book, so that each entry process
	// has its own TCP proxy to it.
	endpoint *process

	mu sync.Mutex
	// afterCall is called after a call took effect. If it returns false, the
	// connection is closed without a response.
	afterCall func(workerCall) bool
}

func (w *workerProxy) setAfterCall(afterCall func(workerCall) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.afterCall = afterCall
}

// ServeHTTP implements http.Handler.
func (w *workerProxy) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	// The request doesn't use the context of r: as on a real network, a call takes
	// effect even if the caller has disconnected.
	request, err := http.NewRequest(r.Method, "http://"+w.workerAddress+r.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	request.Header = r.Header.Clone()
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer response.Body.Close()
	responseBody, err := io.ReadAll(response.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	call := workerCall{worker: w.name, kind: r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:]}
	_ = json.Unmarshal(body, &call.task) // only calls that concern one task have it
	_ = json.Unmarshal(responseBody, &call.status)
	w.mu.Lock()
	afterCall := w.afterCall
	w.mu.Unlock()
	if afterCall != nil && response.StatusCode == http.StatusOK && !afterCall(call) {
		panic(http.ErrAbortHandler)
	}
	out.Header().Set("Content-Type", response.Header.Get("Content-Type"))
	out.Header()[wire.HeaderCallID] = response.Header.Values(wire.HeaderCallID)
	out.WriteHeader(response.StatusCode)
	_, _ = out.Write(responseBody)
}

// jobHarness is a harness with workers, without targets, and with three entry
// processes of one domain.
type jobHarness struct {
	*harness
	workers map[string]*workerProxy
	entries []*process

	mu          sync.Mutex
	submittedAt map[string]time.Time // by job id
}

// newJobHarness starts three entry processes and workers with cpuMilli milli-CPUs
// and as many MiB of memory each. Tests declare a job for each workload with
// declareJob.
func newJobHarness(t *testing.T, seed uint64, workers int, cpuMilli int64, workloads []standin.Workload, overrides ...func(*pb.EntrySettings)) *jobHarness {
	t.Helper()
	settings := standin.Site{Name: "jobs", Seed: seed, UsageLagMS: 200, Workloads: workloads, Domains: []standin.Domain{{
		Name:    jobDomain,
		Workers: []standin.WorkerGroup{{Count: workers, CPUMilli: cpuMilli, MemoryMiB: cpuMilli}},
	}}}
	j := &jobHarness{harness: newHarness(t, settings), workers: make(map[string]*workerProxy), submittedAt: make(map[string]time.Time)}
	for name, address := range j.platform.Addresses().Workers {
		j.addProxy(name, address)
	}
	j.publish(&pb.Declaration{Name: "crew", Body: &pb.Declaration_Team{Team: &pb.Team{
		Quota: &pb.Resources{CpuMilli: 1_000_000, MemoryMib: 1_000_000}, MaxQueuedJobs: 500, MaxQueuedRequests: 500,
	}}})
	for _, name := range []string{"a", "b", "c"} {
		j.entries = append(j.entries, j.start(name, jobDomain, overrides...))
	}
	return j
}

func (j *jobHarness) addProxy(name, address string) {
	w := &workerProxy{name: name, workerAddress: address}
	listener, err := loopback.Listen()
	j.Assert(err, qt.IsNil)
	server := httptest.NewUnstartedServer(w)
	_ = server.Listener.Close()
	server.Listener = listener
	server.Start()
	j.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	w.endpoint = &process{name: name, domain: jobDomain, peer: listener.Addr().String(), exited: make(chan struct{})}
	j.addressBook.mu.Lock()
	j.addressBook.destination[address] = w.endpoint
	j.addressBook.mu.Unlock()
	j.workers[name] = w
}

// afterEachCall sets the afterCall function of all workers.
func (j *jobHarness) afterEachCall(f func(workerCall) bool) {
	for _, w := range j.workers {
		w.setAfterCall(f)
	}
}

// setWorkerMode sets the mode of the proxies of all entry processes to a worker.
func (j *jobHarness) setWorkerMode(mode loopback.Mode, name string) {
	j.Helper()
	for _, p := range j.entries {
		j.Assert(j.addressBook.proxy(p, j.workers[name].endpoint).SetMode(mode), qt.IsNil)
	}
}

// slowTasks slows the running tasks of a worker down, so that they don't complete
// within a lease, and returns their jobs. It reaches the worker in every mode.
func (j *jobHarness) slowTasks(name string) (slowed []string) {
	j.Helper()
	ctx := context.Background()
	worker := remote.NewHTTPWorker(name, j.workers[name].workerAddress)
	status, err := worker.Status(ctx)
	j.Assert(err, qt.IsNil)
	for _, task := range status.Tasks {
		if task.State == remote.TaskRunning {
			j.Assert(worker.Throttle(ctx, task.Ref, 1), qt.IsNil)
			slowed = append(slowed, task.Ref.Job)
		}
	}
	return slowed
}

// declareJob publishes a batch job that runs the workload of the same name. It is
// checkpointable unless it is urgent.
func (j *jobHarness) declareJob(name string, cpuMilli int64, urgent bool) {
	j.Helper()
	j.publish(&pb.Declaration{Name: name, Body: &pb.Declaration_BatchJob{BatchJob: &pb.BatchJob{
		Team: "crew", Needs: &pb.Resources{CpuMilli: cpuMilli, MemoryMib: cpuMilli}, ExpectedRunMs: 1000,
		Urgent: urgent, Checkpointable: !urgent, MaxAttempts: 5, Workload: name,
	}}})
}

// jobOwner returns the process that reports permission to act for the job
// partition, nil if none does.
func (j *jobHarness) jobOwner() *process {
	for _, p := range j.entries {
		if p.hasExited() {
			continue
		}
		if _, ok := j.owned(p)[jobPartition]; ok {
			return p
		}
	}
	return nil
}

func (j *jobHarness) awaitJobOwner() (owner *process) {
	j.Helper()
	j.await("owner of the job partition", func() bool {
		owner = j.jobOwner()
		return owner != nil
	})
	return owner
}

// submit submits a job under a new id and repeats the call with the same id until
// the job is accepted, through another process if p has exited. It may be called on
// any goroutine.
func (j *jobHarness) submit(p *process, name string) string {
	j.Helper()
	id := j.newID(jobDomain)
	j.mu.Lock()
	j.submittedAt[id] = time.Now()
	j.mu.Unlock()
	for deadline := time.Now().Add(waitTimeout); ; time.Sleep(pollInterval) {
		for n := 0; n < len(j.entries) && p.hasExited(); n++ {
			p = j.entries[n]
		}
		_, result := j.client.SubmitJob(context.Background(), p.entry(), load.Job{Name: name, ID: id})
		if result.Outcome == history.OutcomeOK {
			return id
		}
		if time.Now().After(deadline) {
			j.Errorf("job %s %s was not accepted: %+v", name, id, result.Failure)
			return id
		}
	}
}

// getJob returns the status of a job from the first process that reports it.
func (j *jobHarness) getJob(id string) (load.JobStatus, bool) {
	for _, p := range j.entries {
		if p.hasExited() {
			continue
		}
		if status, result := j.client.GetJob(context.Background(), p.entry(), id); result.Outcome == history.OutcomeOK {
			return status, true
		}
	}
	return load.JobStatus{}, false
}

func (j *jobHarness) awaitJob(id, condition string, ok func(load.JobStatus) bool) (last load.JobStatus) {
	j.Helper()
	defer func() {
		if j.Failed() {
			j.Logf("job %s: last status %+v", id, last)
		}
	}()
	j.await(condition+" of job "+id, func() bool {
		status, found := j.getJob(id)
		if found {
			last = status
		}
		return found && ok(status)
	})
	return last
}

func (j *jobHarness) awaitState(id, state string) load.JobStatus {
	j.Helper()
	return j.awaitJob(id, "state "+state, func(status load.JobStatus) bool { return status.State == state })
}

// awaitEnded waits until all jobs have ended, records their outcomes in the
// history and returns their last status by id.
func (j *jobHarness) awaitEnded(ids []string) map[string]load.JobStatus {
	j.Helper()
	ended := make(map[string]load.JobStatus)
	for _, id := range ids {
		ended[id] = j.awaitJob(id, "end", load.JobStatus.Ended)
		j.client.RecordJob(j.entries[0].entry(), id, j.submittedAt[id], load.JobOutcome(ended[id], true))
	}
	return ended
}

// awaitDone is awaitEnded and fails the test for each job that did not end as done.
func (j *jobHarness) awaitDone(ids []string) map[string]load.JobStatus {
	j.Helper()
	ended := j.awaitEnded(ids)
	for id, status := range ended {
		j.Check(status.State, qt.Equals, "done", qt.Commentf("%s %+v", id, status))
	}
	return ended
}

// attempts returns the attempts of a job that workers have recorded.
func (j *jobHarness) attempts(id string) (attempts []history.Operation) {
	served, _ := j.platform.History()
	for _, op := range served {
		if op.Kind == history.KindAttempt && op.ID == id {
			attempts = append(attempts, op)
		}
	}
	return attempts
}

// checkJobs checks all guarantees, and that G1 and G2 were checked on at least
// minAttempts operations each.
func (j *jobHarness) checkJobs(minAttempts int) {
	j.Helper()
	checked := j.check()
	j.Check(checked["G2"] >= minAttempts, qt.IsTrue, qt.Commentf("G2 was checked on %d attempts", checked["G2"]))
	j.Check(checked["G1"] >= minAttempts, qt.IsTrue, qt.Commentf("G1 was checked on %d operations", checked["G1"]))
}
