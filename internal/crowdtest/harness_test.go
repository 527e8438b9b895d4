package crowdtest

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"gooseberryreel/internal/emulator"
	"gooseberryreel/internal/loopback"
)

const (
	// memoryMiB and maxDescriptors are the limits of the machine of the process.
	memoryMiB      = 96
	maxDescriptors = 1024
	maxBodyBytes   = 262_144
	// killMiB protects the machine that runs the tests.
	killMiB = 1536
	// hangLimit only ends a test that hangs.
	hangLimit      = 60 * time.Second
	attemptTimeout = 5 * time.Second
	pollInterval   = 20 * time.Millisecond

	queueHost  = "pick.example"
	pathPrefix = "/jobs/"
)

var schedulerBinary string

// spawn starts programs on one thread that lives as long as the test run: the
// parent-death signal is sent when the thread that forked ends.
var spawn = make(chan func())

func TestMain(m *testing.M) { os.Exit(runTests(m)) }

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "gooseberry-crowdtest-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	schedulerBinary = filepath.Join(dir, "gooseberry-scheduler")
	if out, err := exec.Command("go", "build", "-o", schedulerBinary, "gooseberryreel/cmd/gooseberry-scheduler").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build the scheduler: %v\n%s", err, out)
		return 1
	}
	go func() {
		runtime.LockOSThread()
		for f := range spawn {
			f()
		}
	}()
	return m.Run()
}

// process is one scheduler process beside an emulated platform.
type process struct {
	*qt.C
	cluster                     *emulator.Cluster
	http, ready, metrics, peer  string
	cmd                         *exec.Cmd
	output                      string
	exited                      chan struct{}
	peakKiB, descriptors, jobID atomic.Int64
}

func startProcess(t *testing.T) *process {
	t.Helper()
	c := qt.New(t)
	dir := t.TempDir()
	p := &process{C: c, output: filepath.Join(dir, "log"), exited: make(chan struct{}), cluster: emulator.NewCluster(func(string, int) emulator.Behaviour {
		return emulator.Behaviour{RunTime: 50 * time.Millisecond}
	})}
	p.jobID.Store(1 << 40)
	store := emulator.NewStore()
	c.Cleanup(store.Close)
	c.Assert(store.PutJSON("keyed.op", "config", map[string]any{
		"Version": 1, "Services": []map[string]any{{"Name": "pool"}}, "Limits": map[string]any{"MaxBodyBytes": maxBodyBytes},
		"Routes": []map[string]any{{
			"Name": "r1", "Host": queueHost, "PathPrefix": pathPrefix, "Service": "pool", "Priority": 0, "MaxAttempts": 3,
			"StretchFactor": 1.5, "TargetDurationMs": 250,
		}},
	}), qt.IsNil)
	for n := range 3 {
		w := emulator.NewWorker(fmt.Sprintf("i-%d", n), p.cluster)
		c.Cleanup(w.Close)
		c.Assert(store.PutJSON("keyed.servers", w.ID, w.StoreRecord("pool", "z", "r1-1", 8000, 16000, "ready")), qt.IsNil)
	}
	addresses, err := loopback.ReserveAddresses(4)
	c.Assert(err, qt.IsNil)
	p.http, p.ready, p.metrics, p.peer = addresses[0], addresses[1], addresses[2], addresses[3]
	settings := map[string]any{
		"instance": "inst-0", "region": "r", "failure_domain": "z", "cpu_share": 0.2, "memory_mib": memoryMiB, "max_fds": maxDescriptors,
		"http_address": p.http, "ready_address": p.ready, "metrics_address": p.metrics, "peer_address": p.peer,
		"store": map[string]any{"address": store.Endpoint().Address()}, "bounds": map[string]any{"grace_s": 4},
		"relay": map[string]any{"owner_workers_per_core": 1000, "relay_workers_per_core": 1000},
	}
	file := filepath.Join(dir, "settings.json")
	data, err := json.Marshal(settings)
	c.Assert(err, qt.IsNil)
	c.Assert(os.WriteFile(file, data, 0o600), qt.IsNil)
	out, err := os.Create(p.output)
	c.Assert(err, qt.IsNil)
	defer out.Close()
	p.cmd = exec.Command(schedulerBinary, "--settings", file)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	spawn <- func() { started <- p.cmd.Start() }
	c.Assert(<-started, qt.IsNil)
	monitored := make(chan struct{})
	go func() { defer close(p.exited); _ = p.cmd.Wait() }() // the log has the reason of an exit
	go func() { defer close(monitored); p.monitor() }()
	c.Cleanup(func() {
		_ = p.cmd.Process.Kill() // it may have exited already
		<-p.exited
		<-monitored
		if data, _ := os.ReadFile(p.output); c.Failed() && len(data) > 0 {
			c.Logf("log of the process:\n%s", data[max(0, len(data)-2000):])
		}
	})
	p.submitOrdinary("in calm")
	return p
}

// monitor records the largest memory and number of descriptors of the process, and
// kills it when it endangers the machine that runs the tests.
func (p *process) monitor() {
	dir := fmt.Sprintf("/proc/%d", p.cmd.Process.Pid)
	for !p.hasExited() {
		status, _ := os.ReadFile(dir + "/status") // empty once the process has exited
		p.peakKiB.Store(max(p.peakKiB.Load(), statusKiB(string(status), "VmHWM:")))
		descriptors, _ := os.ReadDir(dir + "/fd")
		p.descriptors.Store(max(p.descriptors.Load(), int64(len(descriptors))))
		if statusKiB(string(status), "VmRSS:") > killMiB<<10 {
			_ = p.cmd.Process.Kill()
		}
		time.Sleep(pollInterval)
	}
}

func statusKiB(status, field string) int64 {
	_, rest, _ := strings.Cut(status, field)
	var kib int64
	_, _ = fmt.Sscan(rest, &kib) // zero without the field
	return kib
}

// hasRead reports whether the process has read all that was sent to an address and
// has accepted all connections.
func (p *process) hasRead(address string) bool {
	a, err := net.ResolveTCPAddr("tcp", address)
	p.Assert(err, qt.IsNil)
	sockets, err := os.ReadFile("/proc/net/tcp")
	p.Assert(err, qt.IsNil)
	for line := range strings.Lines(string(sockets)) {
		fields := strings.Fields(line)
		if strings.HasSuffix(fields[1], fmt.Sprintf(":%04X", a.Port)) && !strings.HasSuffix(fields[4], ":00000000") {
			return false
		}
	}
	return true
}

func (p *process) hasExited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// checkLimits checks that the process lives and has stayed within its limits.
func (p *process) checkLimits() {
	p.Helper()
	time.Sleep(2 * pollInterval) // the monitor sees the last peak
	p.Logf("VmHWM %.1f MiB of %d, %d descriptors of %d, exited %v", float64(p.peakKiB.Load())/1024, memoryMiB, p.descriptors.Load(), maxDescriptors, p.hasExited())
	p.Check(p.hasExited(), qt.IsFalse, qt.Commentf("the process has ended"))
	p.Check(p.peakKiB.Load() < memoryMiB<<10, qt.IsTrue, qt.Commentf("VmHWM %d KiB, the machine has %d", p.peakKiB.Load(), memoryMiB<<10))
	p.Check(p.descriptors.Load() < maxDescriptors, qt.IsTrue, qt.Commentf("%d open descriptors of %d", p.descriptors.Load(), maxDescriptors))
}

// eventually repeats an ordinary call until it succeeds.
func (p *process) eventually(what string, call func() bool) {
	p.Helper()
	for end := time.Now().Add(hangLimit); !call(); time.Sleep(10 * pollInterval) {
		if p.hasExited() || time.Now().After(end) {
			p.checkLimits()
			p.Fatalf("no success: %s", what)
		}
	}
}

// request makes a call on a new connection and returns the status, 0 if there was
// no answer, and the body.
func (p *process) request(method, address, path, body string) (int, string) {
	client := &http.Client{Timeout: attemptTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	p.Assert(err, qt.IsNil)
	r.Host = queueHost
	response, err := client.Do(r)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(data)
}

// submitOrdinary submits a small job, as a caller that retries, and waits for its end.
func (p *process) submitOrdinary(when string) {
	p.Helper()
	path := fmt.Sprintf("%s%016x", pathPrefix, p.jobID.Add(1))
	p.eventually("an ordinary submission "+when, func() bool {
		status, _ := p.request(http.MethodPost, p.http, path, smallJob)
		return status == http.StatusOK
	})
	p.eventually("the job of an ordinary submission "+when, func() bool {
		_, body := p.request(http.MethodGet, p.http, path, "")
		return strings.Contains(body, `"completed"`)
	})
}

// getOrdinary makes a call to the readiness or metrics address.
func (p *process) getOrdinary(address, path string) {
	p.Helper()
	p.eventually("GET "+path, func() bool {
		status, _ := p.request(http.MethodGet, address, path, "")
		return status == http.StatusOK
	})
}

const smallJob = `{"Spec":"x","Phases":[{"Count":1,"Cpu":100,"MemMb":64,"EstimateMs":50}]}`

// invalidJob is refused after it was decoded.
const invalidJob = `{"Spec":"x","Phases":[]}`

// paddedJob returns a valid body of the largest size.
func paddedJob() []byte {
	return []byte(smallJob[:len(smallJob)-1] + strings.Repeat(" ", maxBodyBytes-len(smallJob)) + "}")
}

// filledBody returns a body of almost the largest size: head, item repeated, tail.
func filledBody(head, item, tail string) []byte {
	return []byte(head + strings.Repeat(item, (maxBodyBytes-1000-len(head)-len(tail))/len(item)) + tail)
}

// postHeader returns the header of a submission; size is negative if the body is chunked.
func postHeader(id string, size int) []byte {
	length := fmt.Sprintf("Content-Length: %d", size)
	if size < 0 {
		length = "Transfer-Encoding: chunked"
	}
	return fmt.Appendf(nil, "POST %s%s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\n%s\r\n\r\n", pathPrefix, id, queueHost, length)
}

// chunked returns a body in chunks of the given size, without the last chunk of size 0.
func chunked(body []byte, size int) []byte {
	var b bytes.Buffer
	for len(body) > 0 {
		n := min(size, len(body))
		fmt.Fprintf(&b, "%x\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	return b.Bytes()
}

// writePieces writes data 4 KiB at a time.
func writePieces(conn net.Conn, data []byte) error {
	for len(data) > 0 {
		n := min(4096, len(data))
		if _, err := conn.Write(data[:n]); err != nil {
			return err
		}
		data = data[n:]
		time.Sleep(10 * time.Millisecond)
	}
	return nil
}
