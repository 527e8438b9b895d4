// Package processtest runs the real programs on loopback, injects faults and
// checks the histories of callers, targets and workers.
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
	// waitTimeout bounds every wait. Nothing is asserted on how long things take.
	waitTimeout = 60 * time.Second
	pollInterval     = 20 * time.Millisecond

	leaseMS     = 1200
	heartbeatMS = 250
	skewMS      = 500
	maxTimeout  = 3 * time.Second
	// leaseExpiryWait is a pause after which a lease has certainly lapsed.
	leaseExpiryWait = 2 * leaseMS * time.Millisecond

	searchLimit  = 20 * time.Second
	leavingGrace = 3 * time.Second
	inForceBound = 9 * time.Second
)

// binDir holds the programs, which are built once per test run.
var binDir string

// spawn starts programs on one thread that lives as long as the test run: the
// parent-death signal is bound to the thread that forked.
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

// harness is a platform stand-in with the entry processes of one test.
type harness struct {
	*qt.C
	platform  *standin.RunningSite
	client    *load.Client
	addressBook *addressBook
	dir       string

	operations lockedBuffer
	historyWriter        *history.Writer
	rngMu      sync.Mutex
	rng        *rand.Rand

	mu        sync.Mutex
	processes []*process
}

// lockedBuffer can be read while operations are still written.
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

// completeLines returns what was written. A write of several lines may end within one,
// so the last line counts only with its end.
func (b *lockedBuffer) completeLines() []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	whole := bytes.LastIndexByte(b.data.Bytes(), '\n') + 1
	return bytes.Clone(b.data.Bytes()[:whole])
}

// process is one gooseberry-entry process.
type process struct {
	name, domain string
	http, peer   string
	cmd          *exec.Cmd
	logProxy, listProxy    *loopback.Proxy
	output       string
	exited        chan struct{}
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

// signal sends a signal. A process that has ended ignores it.
func (p *process) signal(sig syscall.Signal) { _ = p.cmd.Process.Signal(sig) }

// newDomain describes a domain with some workers and targets of service "echo".
func newDomain(name string, workers, targets int, serviceMS int64) standin.Domain {
	return standin.Domain{
		Name:    name,
		Workers: []standin.WorkerGroup{{Count: workers}},
		Targets: []standin.TargetGroup{{Service: "echo", Count: targets, ServiceTimeMS: serviceMS, ServiceJitterMS: serviceMS}},
	}
}

// newHarness starts the stand-in in this process. The seed determines the ids and
// the stand-in's random choices.
func newHarness(t *testing.T, spec standin.Site) *harness {
	t.Helper()
	c := qt.New(t)
	running, err := standin.Start(spec)
	c.Assert(err, qt.IsNil)
	t.Cleanup(running.Close)
	s := &harness{
		C: c, platform: running, addressBook: newAddressBook(), dir: t.TempDir(),
		rng: rand.New(rand.NewPCG(spec.Seed, 7)),
	}
	t.Cleanup(s.addressBook.closeAll)
	s.historyWriter = history.NewWriter(&s.operations)
	s.client = load.NewClient("caller", s.historyWriter)
	t.Cleanup(func() { _ = s.client.Close() })
	t.Cleanup(func() {
		if t.Failed() {
			s.logOutput()
		}
	})
	return s
}

// start runs an entry process and registers it on the platform's list. A second
// process of the same name replaces the first there.
func (s *harness) start(name, domain string, overrides ...func(*pb.EntrySettings)) *process {
	s.Helper()
	p := &process{name: name, domain: domain, exited: make(chan struct{})}
	p.http, p.peer = s.freeAddress(), s.freeAddress()
	s.addressBook.add(p)
	platformServer := httptest.NewServer(&platformProxy{
		reader: p, addressBook: s.addressBook, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}},
		logURL: s.platform.LogURL(), listURL: s.platform.ListURL(),
	})
	s.Cleanup(platformServer.Close)
	var err error
	p.logProxy, err = loopback.New(strings.TrimPrefix(platformServer.URL, "http://"), nil)
	s.Assert(err, qt.IsNil)
	s.Cleanup(p.logProxy.Close)
	p.listProxy, err = loopback.New(strings.TrimPrefix(platformServer.URL, "http://"), nil)
	s.Assert(err, qt.IsNil)
	s.Cleanup(p.listProxy.Close)
	s.platform.Register(name, domain, p.peer, remote.StateLive)
	s.launch(p, s.newSettings(p, overrides))
	s.mu.Lock()
	s.processes = append(s.processes, p)
	s.mu.Unlock()
	return p
}

// usedAddresses holds the addresses that processes of this test run were given, so that
// tests that run at the same time never share one.
var usedAddresses sync.Map

func (s *harness) freeAddress() string {
	for {
		listener, err := loopback.Listen(loopback.ProcessHost)
		s.Assert(err, qt.IsNil)
		defer listener.Close()
		address := listener.Addr().String()
		if _, used := usedAddresses.LoadOrStore(address, true); !used {
			return address
		}
	}
}

// newSettings returns settings with short times, so that takeovers are quick.
func (s *harness) newSettings(p *process, overrides []func(*pb.EntrySettings)) *pb.EntrySettings {
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

func (s *harness) launch(p *process, settings *pb.EntrySettings) {
	// protojson writes 64-bit numbers as strings, which settings files don't have.
	data, err := json.Marshal(settings)
	s.Assert(err, qt.IsNil)
	file := filepath.Join(s.dir, fmt.Sprintf("%s-%s.json", p.name, strings.ReplaceAll(p.http, ":", "-")))
	s.Assert(os.WriteFile(file, data, 0o600), qt.IsNil)
	p.output = file + ".log"
	out, err := os.Create(p.output)
	s.Assert(err, qt.IsNil)
	defer out.Close()
	p.cmd = exec.Command(filepath.Join(binDir, "gooseberry-entry"), "--settings", file)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	spawn <- func() { started <- p.cmd.Start() }
	s.Assert(<-started, qt.IsNil)
	go func() {
		_ = p.cmd.Wait()
		close(p.exited)
		s.addressBook.exited(p)
	}()
	s.Cleanup(func() {
		p.signal(syscall.SIGKILL)
		<-p.exited
	})
}

func (s *harness) logOutput() {
	for _, p := range s.processes {
		data, err := os.ReadFile(p.output)
		if err == nil && len(data) > 0 {
			s.Logf("output of %s:\n%s", p.name, data[max(0, len(data)-4000):])
		}
	}
}

// kill ends a process with SIGKILL and waits until it has ended.
func (s *harness) kill(p *process) {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// setPeerMode sets the links between two processes in both directions.
func (s *harness) setPeerMode(mode loopback.Mode, a, b *process) {
	s.Helper()
	s.Assert(s.addressBook.proxy(a, b).SetMode(mode), qt.IsNil)
	s.Assert(s.addressBook.proxy(b, a).SetMode(mode), qt.IsNil)
}

func (s *harness) setLogMode(mode loopback.Mode, p *process) {
	s.Helper()
	s.Assert(p.logProxy.SetMode(mode), qt.IsNil)
}

func (s *harness) publish(decl *pb.Declaration) {
	s.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	_, err := config.Publish(ctx, remote.NewHTTPLog(s.platform.LogURL()), decl, "publish-"+decl.GetName())
	s.Assert(err, qt.IsNil)
}

// publishService publishes a team and the service "echo".
func (s *harness) publishService() {
	s.Helper()
	s.publish(&pb.Declaration{Name: "crew", Body: &pb.Declaration_Team{Team: &pb.Team{
		Quota: &pb.Resources{CpuMilli: 64000, MemoryMib: 64000}, MaxQueuedJobs: 500, MaxQueuedRequests: 500,
	}}})
	s.publish(&pb.Declaration{Name: "echo", Body: &pb.Declaration_Service{Service: &pb.Service{
		Team: "crew", LatencyTargetMs: 100, DefaultTimeoutMs: 2000, QueueLength: 200,
		PerTarget: &pb.Resources{CpuMilli: 100, MemoryMib: 100},
	}}})
}

// await polls until a condition holds.
func (s *harness) await(condition string, ok func() bool) {
	s.Helper()
	for deadline := time.Now().Add(waitTimeout); !ok(); time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			s.Fatalf("no %s within %v", condition, waitTimeout)
		}
	}
}

var statusClient = &http.Client{Timeout: time.Second}

// status returns what a process knows, or an error if it doesn't answer.
func (s *harness) status(p *process) (status api.Status, err error) {
	response, err := statusClient.Get("http://" + p.http + "/v1/status")
	if err != nil {
		return status, err
	}
	defer response.Body.Close()
	return status, json.NewDecoder(response.Body).Decode(&status)
}

// owned returns the partitions for which a process may act.
func (s *harness) owned(p *process) map[int]time.Time {
	partitions := make(map[int]time.Time)
	status, err := s.status(p)
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

// awaitOwners waits until the given processes may act for all partitions of
// their domain, each for some, long enough ago that new ids are accepted.
func (s *harness) awaitOwners(processes ...*process) {
	s.Helper()
	s.await("owners of all partitions", func() bool {
		total := 0
		for _, p := range processes {
			if p.hasExited() {
				s.Fatalf("process %s has ended: %v", p.name, p.cmd.ProcessState)
			}
			partitions := s.owned(p)
			for _, at := range partitions {
				if time.Since(at) < 2*skewMS*time.Millisecond {
					return false
				}
			}
			if len(partitions) == 0 || !s.client.Ready(context.Background(), p.entry()) {
				return false
			}
			total += len(partitions)
		}
		return total == 9
	})
}

// newID returns a request id of a domain.
func (s *harness) newID(domain string) string {
	s.rngMu.Lock()
	defer s.rngMu.Unlock()
	return load.NewID(domain, s.rng)
}

// send sends a request to service "echo" and records it.
func (s *harness) send(p *process, id string, idempotent bool) load.Answer {
	return s.sendWithTimeout(p, id, idempotent, 2*time.Second)
}

func (s *harness) sendWithTimeout(p *process, id string, idempotent bool, timeout time.Duration) load.Answer {
	return s.client.Send(context.Background(), p.entry(), load.Request{
		ID: id, Service: "echo", Idempotent: idempotent, Timeout: timeout, Body: []byte("body of " + id),
	})
}

// lookUp asks for the answer of a request that send sent.
func (s *harness) lookUp(p *process, id string) load.Answer {
	return s.client.LookUp(context.Background(), p.entry(), load.Request{
		ID: id, Service: "echo", Timeout: 2 * time.Second, Body: []byte("body of " + id),
	})
}

// record adds an operation of the test to the history.
func (s *harness) record(op history.Operation) { s.Assert(s.historyWriter.Write(op), qt.IsNil) }

// history returns the operations of callers, targets and workers.
func (s *harness) history() []history.Operation {
	s.Assert(s.historyWriter.Flush(), qt.IsNil)
	operations, err := history.Read("callers", bytes.NewReader(s.operations.completeLines()))
	s.Assert(err, qt.IsNil)
	served, dropped := s.platform.History()
	s.Assert(dropped, qt.Equals, int64(0))
	return append(operations, served...)
}

// limits reads what workers and targets can take from the platform's list.
func (s *harness) limits() history.Limits {
	response, err := http.Get(s.platform.ListURL() + "/v1/instances")
	s.Assert(err, qt.IsNil)
	defer response.Body.Close()
	var list bytes.Buffer
	_, err = list.ReadFrom(response.Body)
	s.Assert(err, qt.IsNil)
	file := filepath.Join(s.dir, "list.json")
	s.Assert(os.WriteFile(file, list.Bytes(), 0o600), qt.IsNil)
	limits, err := history.ReadLimits(file)
	s.Assert(err, qt.IsNil)
	return limits
}

// check runs all checks over the history and prints how much each checked.
// Calls must have ended. It returns the number of operations per guarantee.
func (s *harness) check() map[string]int {
	s.Helper()
	operations := s.history()
	checked := make(map[string]int)
	bounds := history.Bounds{LeavingGrace: leavingGrace, InForce: inForceBound, Search: searchLimit}
	var summary []string
	for _, g := range history.Check(operations, s.limits(), bounds) {
		checked[g.Name] = g.Checked
		summary = append(summary, fmt.Sprintf("%s %d", g.Name, g.Checked))
		for _, v := range append(g.Violations, g.Undecided...) {
			s.Errorf("%s (%s): %s", g.Name, g.Text, v)
		}
	}
	s.Logf("checked of %d operations: %s", len(operations), strings.Join(summary, ", "))
	return checked
}
