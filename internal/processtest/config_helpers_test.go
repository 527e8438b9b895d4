package processtest

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"gooseberryreel/internal/config"
	"gooseberryreel/internal/history"
	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/remote"
)

// Exit codes of gooseberryctl publish.
const (
	ctlExitAccepted = 0
	ctlExitConflict = 3
	ctlExitUnknown  = 5
)

// operatorLogProxy is an HTTP proxy between operators and the log service that
// injects faults into appends.
type operatorLogProxy struct {
	*httptest.Server
	upstreamURL string

	mu   sync.Mutex
	down bool
	// beforeAppend is called before an append is forwarded; nil for none.
	beforeAppend func()
	// loseResponse is called after an append took effect. If it returns true, the
	// connection is closed without a response and all later calls fail.
	loseResponse func() bool
}

func (h *harness) newOperatorLogProxy() *operatorLogProxy {
	o := &operatorLogProxy{upstreamURL: h.platform.LogURL()}
	o.Server = httptest.NewServer(o)
	h.Cleanup(o.Close)
	return o
}

func (o *operatorLogProxy) update(f func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	f()
}

// ServeHTTP implements http.Handler.
func (o *operatorLogProxy) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	o.mu.Lock()
	down, beforeAppend, loseResponse := o.down, o.beforeAppend, o.loseResponse
	o.mu.Unlock()
	body, err := io.ReadAll(r.Body)
	if err != nil || down {
		panic(http.ErrAbortHandler)
	}
	isAppend := r.Method == http.MethodPost
	if isAppend && beforeAppend != nil {
		beforeAppend()
	}
	request, err := http.NewRequest(r.Method, o.upstreamURL+r.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	request.Header = r.Header.Clone()
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer response.Body.Close()
	if isAppend && loseResponse != nil && loseResponse() {
		o.update(func() { o.down = true })
		panic(http.ErrAbortHandler)
	}
	out.Header().Set("Content-Type", response.Header.Get("Content-Type"))
	out.WriteHeader(response.StatusCode)
	_, _ = io.Copy(out, response.Body)
}

// barrier returns a function that blocks until it has been called count times; later
// calls return at once. The call that completes the count runs beforeRelease first.
func barrier(count int, beforeRelease func()) func() {
	var mu sync.Mutex
	arrived, released := 0, make(chan struct{})
	return func() {
		mu.Lock()
		arrived++
		if arrived == count {
			beforeRelease()
			close(released)
		}
		mu.Unlock()
		<-released
	}
}

// publishResult is the exit code and output of one gooseberryctl publish.
type publishResult struct {
	code    int
	version int64 // version of the accepted declaration, -1 if none was accepted
	id      string
	output  string
}

var (
	acceptedPattern  = regexp.MustCompile(`(?m)^accepted \S+ version (\d+)$`)
	publishIDPattern = regexp.MustCompile(`(?m)^publish id (\S+)$`)
)

// runPublish runs gooseberryctl publish for a team with the given CPU quota, and
// records an accepted publish in the history.
func (h *harness) runPublish(logURL, team string, cpuMilli int64, args ...string) publishResult {
	declaration := map[string]any{"name": team, "team": map[string]any{
		"quota": map[string]any{"cpu_milli": cpuMilli, "memory_mib": 1000},
	}}
	data, err := json.Marshal(declaration)
	h.Check(err, qt.IsNil)
	dir, err := os.MkdirTemp(h.dir, "operator-")
	h.Check(err, qt.IsNil)
	file := filepath.Join(dir, "team.json")
	h.Check(os.WriteFile(file, data, 0o600), qt.IsNil)
	args = append([]string{"publish", "--log-url", logURL, file}, args...)
	var out bytes.Buffer
	cmd := exec.Command(filepath.Join(binDir, "gooseberryctl"), args...)
	cmd.Stdout, cmd.Stderr = &out, &out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	begin := time.Now()
	started := make(chan error)
	spawn <- func() { started <- cmd.Start() }
	h.Check(<-started, qt.IsNil)
	_ = cmd.Wait()
	result := publishResult{code: cmd.ProcessState.ExitCode(), version: -1, output: out.String()}
	if found := publishIDPattern.FindStringSubmatch(result.output); found != nil {
		result.id = found[1]
	}
	if found := acceptedPattern.FindStringSubmatch(result.output); found != nil {
		result.version, _ = strconv.ParseInt(found[1], 10, 64) // the pattern allows digits only
		h.record(history.Operation{
			Client: "operator", Kind: history.KindPublish, ID: result.id + "." + team, Start: begin.UnixNano(),
			End: time.Now().UnixNano(), Outcome: history.OutcomeOK, Version: result.version,
		})
	}
	return result
}

// recordVersions records the configuration versions of all processes in the history
// until the returned function is called.
func (h *harness) recordVersions() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			h.mu.Lock()
			processes := append([]*process(nil), h.processes...)
			h.mu.Unlock()
			for _, p := range processes {
				h.recordVersion(p)
			}
			time.Sleep(pollInterval)
		}
	}()
	stop = sync.OnceFunc(func() { cancel(); <-done })
	h.Cleanup(stop)
	return stop
}

func (h *harness) recordVersion(p *process) {
	if p.hasExited() {
		return
	}
	begin := time.Now()
	status, err := h.status(p)
	if err != nil || status.ConfigVersion < 0 {
		return
	}
	h.record(history.Operation{
		Client: "observer", Kind: history.KindConfigRead, ID: p.name, Start: begin.UnixNano(),
		End: time.Now().UnixNano(), Outcome: history.OutcomeOK, Version: status.ConfigVersion,
	})
}

// version returns the configuration version of a process, -1 if it doesn't respond.
func (h *harness) version(p *process) int64 {
	status, err := h.status(p)
	if err != nil {
		return -1
	}
	return status.ConfigVersion
}

// awaitVersion waits until each process reports exactly the given configuration
// version.
func (h *harness) awaitVersion(version int64, processes ...*process) {
	h.Helper()
	for _, p := range processes {
		h.await("configuration version "+strconv.FormatInt(version, 10)+" at "+p.name, func() bool { return h.version(p) == version })
	}
}

// trimStream trims all records that a stream holds now.
func (h *harness) trimStream(stream string) {
	h.platform.TrimLog(stream, h.readStream(stream).Next)
}

func (h *harness) readStream(stream string) remote.Batch {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	batch, err := remote.NewHTTPLog(h.platform.LogURL()).Read(ctx, stream, 0, 10_000, 0)
	h.Assert(err, qt.IsNil)
	return batch
}

// countConfigRecords returns the number of records with the given publish id in the
// configuration stream.
func (h *harness) countConfigRecords(publishID string) (count int) {
	for _, raw := range h.readStream(config.Stream).Records {
		var rec pb.StreamRecord
		h.Assert(proto.Unmarshal(raw.Data, &rec), qt.IsNil)
		if rec.GetConfig().GetPublishId() == publishID {
			count++
		}
	}
	return count
}

// fetch returns the body of an HTTP page of a process, empty if it doesn't respond.
func (h *harness) fetch(p *process, path string) string {
	response, err := statusClient.Get("http://" + p.http + path)
	if err != nil {
		return ""
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return ""
	}
	return string(body)
}

// metricValue returns the value of a metric series, empty if there is none.
func (h *harness) metricValue(p *process, series string) string {
	found := regexp.MustCompile(`(?m)^` + regexp.QuoteMeta(series) + ` (\S+)$`).FindStringSubmatch(h.fetch(p, "/metrics"))
	if found == nil {
		return ""
	}
	return found[1]
}

// hasEvent reports whether a process lists an event of a kind.
func (h *harness) hasEvent(p *process, kind string) bool {
	return strings.Contains(h.fetch(p, "/events"), `"`+kind+`"`)
}
