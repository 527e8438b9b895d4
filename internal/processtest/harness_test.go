// Package processtest runs the real programs on loopback, injects faults and checks
// the guarantees of package history on what callers, targets and workers recorded.
package processtest

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"gooseberryreel/internal/api"
	"gooseberryreel/internal/config"
	"gooseberryreel/internal/history"
	"gooseberryreel/internal/load"
	"gooseberryreel/internal/loopback"
	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/remote"
	"gooseberryreel/internal/standin"
)

const (
	// waitTimeout bounds every wait. Tests don't assert the duration of a step.
	waitTimeout  = 60 * time.Second
	pollInterval = 20 * time.Millisecond

	leaseMS     = 1200
	heartbeatMS = 250
	skewMS      = 500
	maxTimeout  = 3 * time.Second
	// leaseExpiryWait is a pause after which every partition lease has expired.
	leaseExpiryWait = 2 * leaseMS * time.Millisecond

	searchLimit  = 20 * time.Second
	leavingGrace = 3 * time.Second
	inForceBound = 9 * time.Second
)

// binDir is the directory of the programs, which are built once per test run.
var binDir string

// spawn starts programs on one thread that lives as long as the test run: the
// parent-death signal is sent when the thread that forked ends.
var spawn = make(chan func())

func TestMain(m *testing.M) { os.Exit(runTests(m)) }

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "gooseberry-processtest-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	build := exec.Command("go", "build", "-o", dir+string(filepath.Separator), "gooseberryreel/cmd/...")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build programs: %v\n%s", err, out)
		return 1
	}
	binDir = dir
	go func() {
		runtime.LockOSThread()
		for f := range spawn {
			f()
		}
	}()
	return m.Run()
}

// harness runs a platform stand-in and the entry processes of one test.
type harness struct {
	*qt.C
	platform    *standin.RunningSite
	client      *load.Client
	addressBook *addressBook
	dir         string

	operations    lockedBuffer // JSON lines of callers, operators and the test
	historyWriter *history.Writer
	rngMu         sync.Mutex
	rng           *rand.Rand

	mu        sync.Mutex
	processes []*process
}

// lockedBuffer is a buffer that can be read while operations are still written.
type lockedBuffer struct {
	mu   sync.Mutex
	data bytes.Buffer
}

// Write implements io.Writer.
func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.Write(p)
}

// completeLines returns the lines written so far. A write may end within a line, so
// a last line without a line break is left out.
func (b *lockedBuffer) completeLines() []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	whole := bytes.LastIndexByte(b.data.Bytes(), '\n') + 1
	return bytes.Clone(b.data.Bytes()[:whole])
}

// process is one gooseberry-entry process. http and peer are its listen addresses.
type process struct {
	name, domain        string
	http, peer          string
	cmd                 *exec.Cmd
	logProxy, listProxy *loopback.Proxy
	output              string
	exited              chan struct{}
}

func (p *process) entry() load.Entry { return load.Entry{Domain: p.domain, Address: p.http} }

func (p *process) hasExited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// signal sends a signal. It does nothing if the process has exited.
func (p *process) signal(sig syscall.Signal) { _ = p.cmd.Process.Signal(sig) }

// newDomain returns a failure domain with workers and targets of service "echo".
func newDomain(name string, workers, targets int, serviceMS int64) standin.Domain {
	return standin.Domain{
		Name:    name,
		Workers: []standin.WorkerGroup{{Count: workers}},
		Targets: []standin.TargetGroup{{Service: "echo", Count: targets, ServiceTimeMS: serviceMS, ServiceJitterMS: serviceMS}},
	}
}

// newHarness starts the stand-in in the test process. The seed determines the
// random part of ids and the stand-in's random choices.
func newHarness(t *testing.T, settings standin.Site) *harness {
	t.Helper()
	c := qt.New(t)
	running, err := standin.Start(settings)
	c.Assert(err, qt.IsNil)
	t.Cleanup(running.Close)
	h := &harness{
		C: c, platform: running, addressBook: newAddressBook(), dir: t.TempDir(),
		rng: rand.New(rand.NewPCG(settings.Seed, 7)),
	}
	t.Cleanup(h.addressBook.closeAll)
	h.historyWriter = history.NewWriter(&h.operations)
	h.client = load.NewClient("caller", h.historyWriter)
	t.Cleanup(func() { _ = h.client.Close() })
	t.Cleanup(func() {
		if t.Failed() {
			h.logOutput()
		}
	})
	return h
}

// start runs an entry process and registers it in the instance list. A second
// process of the same name replaces the first there.
func (h *harness) start(name, domain string, overrides ...func(*pb.EntrySettings)) *process {
	h.Helper()
	p := &process{name: name, domain: domain, exited: make(chan struct{})}
	addresses, err := loopback.ReserveAddresses(2)
	h.Assert(err, qt.IsNil)
	p.http, p.peer = addresses[0], addresses[1]
	h.addressBook.add(p)
	platformServer := httptest.NewServer(&platformProxy{
		reader: p, addressBook: h.addressBook, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}},
		logURL: h.platform.LogURL(), listURL: h.platform.ListURL(),
	})
	h.Cleanup(platformServer.Close)
	p.logProxy, err = loopback.New(strings.TrimPrefix(platformServer.URL, "http://"), nil)
	h.Assert(err, qt.IsNil)
	h.Cleanup(p.logProxy.Close)
	p.listProxy, err = loopback.New(strings.TrimPrefix(platformServer.URL, "http://"), nil)
	h.Assert(err, qt.IsNil)
	h.Cleanup(p.listProxy.Close)
	h.platform.Register(name, domain, p.peer, remote.StateLive)
	h.launch(p, h.newSettings(p, overrides))
	h.mu.Lock()
	h.processes = append(h.processes, p)
	h.mu.Unlock()
	return p
}

// newSettings returns settings with short leases, so that takeovers are quick.
func (h *harness) newSettings(p *process, overrides []func(*pb.EntrySettings)) *pb.EntrySettings {
	settings := &pb.EntrySettings{
		Instance: p.name, Region: "region", FailureDomain: p.domain,
		HttpAddress: p.http, PeerAddress: p.peer,
		LogUrl: "http://" + p.logProxy.Address, ListUrl: "http://" + p.listProxy.Address,
		Ownership: &pb.OwnershipSettings{RequestPartitions: 8, LeaseMs: leaseMS, HeartbeatIntervalMs: heartbeatMS},
		Requests: &pb.RequestSettings{
			DefaultTimeoutMs: 2000, MaxTimeoutMs: maxTimeout.Milliseconds(), ClockSkewMs: skewMS, ProgressTimeoutMs: 800,
		},
		Jobs:     &pb.JobSettings{WorkerPollIntervalMs: 200, WorkerCallTimeoutMs: 500, TaskLeaseMs: 2000},
		Leave:    &pb.LeaveSettings{BalancerNoticeMs: 1000, DrainTimeoutMs: 10_000},
		LogLevel: "warning",
	}
	for _, override := range overrides {
		override(settings)
	}
	return settings
}

func (h *harness) launch(p *process, settings *pb.EntrySettings) {
	// protojson writes 64-bit numbers as strings, which settings files don't accept.
	data, err := json.Marshal(settings)
	h.Assert(err, qt.IsNil)
	file := filepath.Join(h.dir, fmt.Sprintf("%s-%s.json", p.name, strings.ReplaceAll(p.http, ":", "-")))
	h.Assert(os.WriteFile(file, data, 0o600), qt.IsNil)
	p.output = file + ".log"
	out, err := os.Create(p.output)
	h.Assert(err, qt.IsNil)
	defer out.Close()
	p.cmd = exec.Command(filepath.Join(binDir, "gooseberry-entry"), "--settings", file)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	spawn <- func() { started <- p.cmd.Start() }
	h.Assert(<-started, qt.IsNil)
	go func() {
		_ = p.cmd.Wait()
		close(p.exited)
		h.addressBook.exited(p)
	}()
	h.Cleanup(func() {
		p.signal(syscall.SIGKILL)
		<-p.exited
	})
}

func (h *harness) logOutput() {
	for _, p := range h.processes {
		data, err := os.ReadFile(p.output)
		if err == nil && len(data) > 0 {
			h.Logf("output of %s:\n%s", p.name, data[max(0, len(data)-4000):])
		}
	}
}

// kill sends SIGKILL to a process and waits until it has exited.
func (h *harness) kill(p *process) {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// setPeerMode sets the mode of the proxies between two processes, both ways.
func (h *harness) setPeerMode(mode loopback.Mode, a, b *process) {
	h.Helper()
	h.Assert(h.addressBook.proxy(a, b).SetMode(mode), qt.IsNil)
	h.Assert(h.addressBook.proxy(b, a).SetMode(mode), qt.IsNil)
}

func (h *harness) setLogMode(mode loopback.Mode, p *process) {
	h.Helper()
	h.Assert(p.logProxy.SetMode(mode), qt.IsNil)
}

func (h *harness) publish(decl *pb.Declaration) {
	h.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	_, err := config.Publish(ctx, remote.NewHTTPLog(h.platform.LogURL()), decl, "publish-"+decl.GetName())
	h.Assert(err, qt.IsNil)
}

// publishService publishes the team "crew" and its service "echo".
func (h *harness) publishService() {
	h.Helper()
	h.publish(&pb.Declaration{Name: "crew", Body: &pb.Declaration_Team{Team: &pb.Team{
		Quota: &pb.Resources{CpuMilli: 64000, MemoryMib: 64000}, MaxQueuedJobs: 500, MaxQueuedRequests: 500,
	}}})
	h.publish(&pb.Declaration{Name: "echo", Body: &pb.Declaration_Service{Service: &pb.Service{
		Team: "crew", LatencyTargetMs: 100, DefaultTimeoutMs: 2000, QueueLength: 200,
		PerTarget: &pb.Resources{CpuMilli: 100, MemoryMib: 100},
	}}})
}

// await polls until ok returns true and fails the test after waitTimeout.
func (h *harness) await(condition string, ok func() bool) {
	h.Helper()
	for deadline := time.Now().Add(waitTimeout); !ok(); time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			h.Fatalf("timed out waiting for %s after %v", condition, waitTimeout)
		}
	}
}

var statusClient = &http.Client{Timeout: time.Second}

// status returns the status page of a process, or an error if it doesn't respond.
func (h *harness) status(p *process) (status api.Status, err error) {
	response, err := statusClient.Get("http://" + p.http + "/v1/status")
	if err != nil {
		return status, err
	}
	defer response.Body.Close()
	return status, json.NewDecoder(response.Body).Decode(&status)
}

// owned returns the partitions for which a process has permission to act, with the
// time from which it may act for each; none if the process doesn't respond.
func (h *harness) owned(p *process) map[int]time.Time {
	partitions := make(map[int]time.Time)
	status, err := h.status(p)
	if err != nil {
		return partitions
	}
	for _, q := range status.Partitions {
		if q.Own && q.MayAct {
			partitions[q.Partition] = q.EffectiveAt
		}
	}
	return partitions
}

// awaitOwners waits until the given processes are ready and may act for all partitions
// of their domain, each for at least one and long enough that new ids are accepted.
func (h *harness) awaitOwners(processes ...*process) {
	h.Helper()
	h.await("owners of all partitions", func() bool {
		total := 0
		for _, p := range processes {
			if p.hasExited() {
				h.Fatalf("process %s has exited: %v", p.name, p.cmd.ProcessState)
			}
			partitions := h.owned(p)
			for _, at := range partitions {
				if time.Since(at) < 2*skewMS*time.Millisecond {
					return false
				}
			}
			if len(partitions) == 0 || !h.client.Ready(context.Background(), p.entry()) {
				return false
			}
			total += len(partitions)
		}
		return total == 9
	})
}

// newID returns a new request or job id of a domain.
func (h *harness) newID(domain string) string {
	h.rngMu.Lock()
	defer h.rngMu.Unlock()
	return load.NewID(domain, h.rng)
}

// send sends a request to service "echo" with a timeout of 2 s and records it.
func (h *harness) send(p *process, id string, idempotent bool) load.CallResult {
	return h.sendWithTimeout(p, id, idempotent, 2*time.Second)
}

func (h *harness) sendWithTimeout(p *process, id string, idempotent bool, timeout time.Duration) load.CallResult {
	return h.client.Send(context.Background(), p.entry(), load.Request{
		ID: id, Service: "echo", Idempotent: idempotent, Timeout: timeout, Body: []byte("body of " + id),
	})
}

// lookUp gets the stored answer to an earlier request of send.
func (h *harness) lookUp(p *process, id string) load.CallResult {
	return h.client.LookUp(context.Background(), p.entry(), load.Request{
		ID: id, Service: "echo", Timeout: 2 * time.Second, Body: []byte("body of " + id),
	})
}

// record adds an operation of the test to the history.
func (h *harness) record(op history.Operation) { h.Assert(h.historyWriter.Write(op), qt.IsNil) }

// history returns the recorded operations, also those of targets and workers.
func (h *harness) history() []history.Operation {
	h.Assert(h.historyWriter.Flush(), qt.IsNil)
	operations, err := history.Read("callers", bytes.NewReader(h.operations.completeLines()))
	h.Assert(err, qt.IsNil)
	recorded, dropped := h.platform.History()
	h.Assert(dropped, qt.Equals, int64(0))
	return append(operations, recorded...)
}

// limits reads the limits of workers and targets from the instance list.
func (h *harness) limits() history.Limits {
	response, err := http.Get(h.platform.ListURL() + "/v1/instances")
	h.Assert(err, qt.IsNil)
	defer response.Body.Close()
	var list bytes.Buffer
	_, err = list.ReadFrom(response.Body)
	h.Assert(err, qt.IsNil)
	file := filepath.Join(h.dir, "list.json")
	h.Assert(os.WriteFile(file, list.Bytes(), 0o600), qt.IsNil)
	limits, err := history.ReadLimits(file)
	h.Assert(err, qt.IsNil)
	return limits
}

// check checks all guarantees on the history and returns the number of operations
// checked per guarantee. Calls must have returned.
func (h *harness) check() map[string]int {
	h.Helper()
	operations := h.history()
	checked := make(map[string]int)
	bounds := history.Bounds{LeavingGrace: leavingGrace, InForce: inForceBound, Search: searchLimit}
	var summary []string
	for _, g := range history.Check(operations, h.limits(), bounds) {
		checked[g.Name] = g.Checked
		summary = append(summary, fmt.Sprintf("%s %d", g.Name, g.Checked))
		for _, v := range append(g.Violations, g.Undecided...) {
			h.Errorf("%s (%s): %s", g.Name, g.Text, v)
		}
	}
	h.Logf("operations checked per guarantee, of %d: %s", len(operations), strings.Join(summary, ", "))
	return checked
}
