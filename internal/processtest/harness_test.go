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
	// patience bounds every wait. Nothing is asserted on how long things take.
	patience = 60 * time.Second
	poll     = 20 * time.Millisecond

	leaseMS     = 1200
	heartbeatMS = 250
	skewMS      = 500
	maxTimeout  = 3 * time.Second
	// pastLease is a pause after which a lease has certainly lapsed.
	pastLease = 2 * leaseMS * time.Millisecond

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

// site is a platform stand-in with the entry processes of one test.
type site struct {
	*qt.C
	platform  *standin.RunningSite
	client    *load.Client
	addresses *addresses
	dir       string

	operations lockedBuffer
	out        *history.Writer
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

// copy returns what was written. A write of several lines may end within one,
// so the last line counts only with its end.
func (b *lockedBuffer) copy() []byte {
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
	log, list    *loopback.Proxy
	output       string
	ended        chan struct{}
}

func (p *process) entry() load.Entry { return load.Entry{Domain: p.domain, Address: p.http} }

func (p *process) hasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// signal sends a signal. A process that has ended ignores it.
func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// domainOf describes a domain with some workers and targets of service "echo".
func domainOf(name string, workers, targets int, serviceMS int64) standin.Domain {
	return standin.Domain{
		Name:    name,
		Workers: []standin.WorkerGroup{{Count: workers}},
		Targets: []standin.TargetGroup{{Service: "echo", Count: targets, ServiceTimeMS: serviceMS, ServiceJitterMS: serviceMS}},
	}
}

// newSite starts the stand-in in this process. The seed determines the ids and
// the stand-in's random choices.
func newSite(t *testing.T, described standin.Site) *site {
	t.Helper()
	c := qt.New(t)
	running, err := standin.Start(described)
	c.Assert(err, qt.IsNil)
	t.Cleanup(running.Close)
	s := &site{
		C: c, platform: running, addresses: newAddresses(), dir: t.TempDir(),
		rng: rand.New(rand.NewPCG(described.Seed, 7)),
	}
	t.Cleanup(s.addresses.closeAll)
	s.out = history.NewWriter(&s.operations)
	s.client = load.NewClient("caller", s.out)
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
func (s *site) start(name, domain string, change ...func(*pb.EntrySettings)) *process {
	s.Helper()
	p := &process{name: name, domain: domain, ended: make(chan struct{})}
	p.http, p.peer = s.freeAddress(), s.freeAddress()
	s.addresses.add(p)
	view := httptest.NewServer(&platformView{
		reader: p, addresses: s.addresses, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}},
		logURL: s.platform.LogURL(), listURL: s.platform.ListURL(),
	})
	s.Cleanup(view.Close)
	var err error
	p.log, err = loopback.New(strings.TrimPrefix(view.URL, "http://"), nil)
	s.Assert(err, qt.IsNil)
	s.Cleanup(p.log.Close)
	p.list, err = loopback.New(strings.TrimPrefix(view.URL, "http://"), nil)
	s.Assert(err, qt.IsNil)
	s.Cleanup(p.list.Close)
	s.platform.Register(name, domain, p.peer, remote.StateLive)
	s.launch(p, s.settingsOf(p, change))
	s.mu.Lock()
	s.processes = append(s.processes, p)
	s.mu.Unlock()
	return p
}

// taken holds the addresses that processes of this test run were given, so that
// tests that run at the same time never share one.
var taken sync.Map

func (s *site) freeAddress() string {
	for {
		listener, err := loopback.Listen(loopback.ProcessHost)
		s.Assert(err, qt.IsNil)
		defer listener.Close()
		address := listener.Addr().String()
		if _, again := taken.LoadOrStore(address, true); !again {
			return address
		}
	}
}

// settingsOf returns settings with short times, so that takeovers are quick.
func (s *site) settingsOf(p *process, change []func(*pb.EntrySettings)) *pb.EntrySettings {
	settings := &pb.EntrySettings{
		Instance: p.name, Region: "region", FailureDomain: p.domain,
		HttpAddress: p.http, PeerAddress: p.peer,
		LogUrl: "http://" + p.log.Address, ListUrl: "http://" + p.list.Address,
		Ownership: &pb.OwnershipSettings{RequestPartitions: 8, LeaseMs: leaseMS, HeartbeatIntervalMs: heartbeatMS},
		Requests: &pb.RequestSettings{
			DefaultTimeoutMs: 2000, MaxTimeoutMs: maxTimeout.Milliseconds(), ClockSkewMs: skewMS, ProgressTimeoutMs: 800,
		},
		Jobs:     &pb.JobSettings{WorkerPollIntervalMs: 200, WorkerCallTimeoutMs: 500, TaskLeaseMs: 2000},
		Leave:    &pb.LeaveSettings{BalancerNoticeMs: 1000, DrainTimeoutMs: 10_000},
		LogLevel: "warning",
	}
	for _, f := range change {
		f(settings)
	}
	return settings
}

func (s *site) launch(p *process, settings *pb.EntrySettings) {
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
		close(p.ended)
		s.addresses.ended(p)
	}()
	s.Cleanup(func() {
		p.signal(syscall.SIGKILL)
		<-p.ended
	})
}

func (s *site) logOutput() {
	for _, p := range s.processes {
		data, err := os.ReadFile(p.output)
		if err == nil && len(data) > 0 {
			s.Logf("output of %s:\n%s", p.name, data[max(0, len(data)-4000):])
		}
	}
}

// kill ends a process with SIGKILL and waits until it has ended.
func (s *site) kill(p *process) {
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// cutPeers sets the links between two processes in both directions.
func (s *site) cutPeers(mode loopback.Mode, a, b *process) {
	s.Helper()
	s.Assert(s.addresses.link(a, b).SetMode(mode), qt.IsNil)
	s.Assert(s.addresses.link(b, a).SetMode(mode), qt.IsNil)
}

func (s *site) cutLog(mode loopback.Mode, p *process) {
	s.Helper()
	s.Assert(p.log.SetMode(mode), qt.IsNil)
}

func (s *site) publish(decl *pb.Declaration) {
	s.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	_, err := config.Publish(ctx, remote.NewHTTPLog(s.platform.LogURL()), decl, "publish-"+decl.GetName())
	s.Assert(err, qt.IsNil)
}

// publishService publishes a team and the service "echo".
func (s *site) publishService() {
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
func (s *site) await(what string, ok func() bool) {
	s.Helper()
	for deadline := time.Now().Add(patience); !ok(); time.Sleep(poll) {
		if time.Now().After(deadline) {
			s.Fatalf("no %s within %v", what, patience)
		}
	}
}

var statusClient = &http.Client{Timeout: time.Second}

// status returns what a process knows, or an error if it doesn't answer.
func (s *site) status(p *process) (status api.Status, err error) {
	answer, err := statusClient.Get("http://" + p.http + "/v1/status")
	if err != nil {
		return status, err
	}
	defer answer.Body.Close()
	return status, json.NewDecoder(answer.Body).Decode(&status)
}

// owned returns the partitions for which a process may act.
func (s *site) owned(p *process) map[int]time.Time {
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
func (s *site) awaitOwners(processes ...*process) {
	s.Helper()
	s.await("owners of all partitions", func() bool {
		total := 0
		for _, p := range processes {
			if p.hasEnded() {
				s.Fatalf("process %s has ended: %v", p.name, p.cmd.ProcessState)
			}
			own := s.owned(p)
			for _, at := range own {
				if time.Since(at) < 2*skewMS*time.Millisecond {
					return false
				}
			}
			if len(own) == 0 || !s.client.Ready(context.Background(), p.entry()) {
				return false
			}
			total += len(own)
		}
		return total == 9
	})
}

// newID returns a request id of a domain.
func (s *site) newID(domain string) string {
	s.rngMu.Lock()
	defer s.rngMu.Unlock()
	return load.NewID(domain, s.rng)
}

// send sends a request to service "echo" and records it.
func (s *site) send(p *process, id string, idempotent bool) load.Answer {
	return s.sendWithin(p, id, idempotent, 2*time.Second)
}

func (s *site) sendWithin(p *process, id string, idempotent bool, timeout time.Duration) load.Answer {
	return s.client.Send(context.Background(), p.entry(), load.Request{
		ID: id, Service: "echo", Idempotent: idempotent, Timeout: timeout, Body: []byte("body of " + id),
	})
}

// lookUp asks for the answer of a request that send sent.
func (s *site) lookUp(p *process, id string) load.Answer {
	return s.client.LookUp(context.Background(), p.entry(), load.Request{
		ID: id, Service: "echo", Timeout: 2 * time.Second, Body: []byte("body of " + id),
	})
}

// record adds an operation of the test to the history.
func (s *site) record(op history.Operation) { s.Assert(s.out.Write(op), qt.IsNil) }

// history returns the operations of callers, targets and workers.
func (s *site) history() []history.Operation {
	s.Assert(s.out.Flush(), qt.IsNil)
	operations, err := history.Read("callers", bytes.NewReader(s.operations.copy()))
	s.Assert(err, qt.IsNil)
	served, dropped := s.platform.History()
	s.Assert(dropped, qt.Equals, int64(0))
	return append(operations, served...)
}

// limits reads what workers and targets can take from the platform's list.
func (s *site) limits() history.Limits {
	answer, err := http.Get(s.platform.ListURL() + "/v1/instances")
	s.Assert(err, qt.IsNil)
	defer answer.Body.Close()
	var list bytes.Buffer
	_, err = list.ReadFrom(answer.Body)
	s.Assert(err, qt.IsNil)
	file := filepath.Join(s.dir, "list.json")
	s.Assert(os.WriteFile(file, list.Bytes(), 0o600), qt.IsNil)
	limits, err := history.ReadLimits(file)
	s.Assert(err, qt.IsNil)
	return limits
}

// check runs all checks over the history and prints how much each checked.
// Calls must have ended. It returns the number of operations per guarantee.
func (s *site) check() map[string]int {
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
