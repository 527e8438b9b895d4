package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"time"

	"gooseberryreel/internal/emulator"
	"gooseberryreel/internal/loopback"
)

const (
	host   = "nony24.example"
	prefix = "/lohu930/"
)

// deployment is the stand-in platform with the scheduler processes on it.
type deployment struct {
	dir     string
	store   *emulator.Store
	log     *runLog
	record  *os.File
	began   time.Time
	runners []*runner
	proxies map[string]*loopback.Proxy // in front of each runner

	mu        sync.Mutex
	instances []*instance
	version   int
}

// instance is one scheduler process.
type instance struct {
	name, caller, ready string
	endpoint            *emulator.Endpoint
	settings            string
	output              *os.File
	cmd                 *exec.Cmd
	done                chan struct{} // closed when the process has ended
	endedAt             time.Time
}

func newDeployment(record string) (*deployment, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	d := &deployment{dir: dir, store: emulator.NewStore(), log: &runLog{}, record: f, began: time.Now(), proxies: make(map[string]*loopback.Proxy)}
	d.store.SetLatency(4 * time.Millisecond)
	return d, nil
}

func (d *deployment) note(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	fmt.Fprintf(d.record, "%8.3f  %s\n", time.Since(d.began).Seconds(), fmt.Sprintf(format, args...))
}

func (d *deployment) close() {
	for _, i := range d.instances {
		_ = i.cmd.Process.Kill()
		<-i.done
	}
	for _, w := range d.runners {
		w.close()
	}
	for _, p := range d.proxies {
		p.Close()
	}
	d.store.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	}
	_ = d.record.Close()
}

// publishConfig writes the next version of the config.
func (d *deployment) publishConfig(routes ...map[string]any) error {
	d.version += 3
	return d.store.PutJSON("keyed.op", "config", map[string]any{
		"Version": d.version, "Routes": routes, "Services": []any{map[string]any{"Name": "pickbook", "EnforcesCapacity": false}},
		"Limits": map[string]any{"MaxBodyBytes": 262144},
	})
}

func route() map[string]any {
	return map[string]any{
		"Name": "group-roster", "Host": host, "PathPrefix": prefix, "Service": "pickbook", "Priority": 2, "MaxAttempts": 4,
		"StretchFactor": 1.5, "TargetDurationMs": 1000, "TimeoutMs": 3000,
	}
}

// addRunner starts a runner behind a proxy and keeps its entry in the store.
func (d *deployment) addRunner(id, zone, rack string, length func(string, int) (time.Duration, bool)) error {
	w, err := newRunner(id, zone, rack, 32000, 125000, d.log, length)
	if err != nil {
		return err
	}
	p, err := loopback.New(w.address, nil)
	if err != nil {
		return err
	}
	d.runners, d.proxies[id] = append(d.runners, w), p
	d.keepEntry(w, p.Address)
	return nil
}

// keepEntry writes the entry of a runner until its life ends.
func (d *deployment) keepEntry(w *runner, address string) {
	go func() {
		for {
			w.mu.Lock()
			closed := w.closed
			w.mu.Unlock()
			if closed {
				return
			}
			_ = d.store.PutJSON("keyed.servers", w.id, w.entry(address))
			time.Sleep(heartbeat)
		}
	}()
}

// startInstance starts a scheduler process with settings as the template of the deploy
// file makes them.
func (d *deployment) startInstance(name, zone string) (*instance, error) {
	addresses, err := loopback.ReserveAddresses(4)
	if err != nil {
		return nil, err
	}
	i := &instance{name: name, caller: addresses[0], ready: addresses[1], endpoint: d.store.Endpoint()}
	data, err := json.Marshal(map[string]any{
		"instance": name, "region": "wa-south", "failure_domain": zone, "cpu_share": 0.16, "memory_mib": 284,
		"http_address": addresses[0], "ready_address": addresses[1], "metrics_address": addresses[2], "peer_address": addresses[3],
		"store": map[string]any{"address": i.endpoint.Address(), "min_group_ttl_ms": 1000, "partitions": 16, "record_bytes": 262144, "call_bytes": 2097152},
		"bounds": map[string]any{
			"lease_ms": 6000, "grace_s": 6, "status_s": 120, "harm_ms": 4000, "remote_factor": 2, "stop_ms": 900, "restore_ms": 100,
		},
	})
	if err != nil {
		return nil, err
	}
	settings := filepath.Join(d.dir, name+".json")
	if err := os.WriteFile(settings, data, 0o600); err != nil {
		return nil, err
	}
	out, err := os.Create(filepath.Join(d.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	i.settings, i.output = settings, out
	if err := d.run(i); err != nil {
		return nil, err
	}
	d.instances = append(d.instances, i)
	return i, nil
}

// start publishes the config and starts a number of instances in the zones of a small
// deployment. It returns once all of them are ready and an owner has settled.
func (d *deployment) start(instances int) bool {
	if d.publishConfig(route()) != nil {
		return false
	}
	zones := []string{"perth-hills", "donnybrook", "margaret-river"}
	for n := range instances {
		if _, err := d.startInstance(fmt.Sprintf("edge-%d", n+1), zones[n%len(zones)]); err != nil {
			return false
		}
	}
	if !d.waitReady(10 * time.Second) {
		return false
	}
	time.Sleep(6 * time.Second)
	return true
}

// alive reports whether the process of an instance runs.
func alive(i *instance) bool {
	select {
	case <-i.done:
		return false
	default:
		return true
	}
}

// run starts the process of an instance with the command of the deploy file.
func (d *deployment) run(i *instance) error {
	started, done := make(chan error, 1), make(chan struct{})
	i.done = done
	go func() {
		runtime.LockOSThread() // the process ends with the thread that started it
		defer close(done)
		cmd := exec.Command("target/gooseberry-scheduler")
		cmd.Env = append(os.Environ(), "GOOSEBERRYREEL_NODE_FILE="+i.settings)
		cmd.Stdout, cmd.Stderr = i.output, i.output
		cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		err := cmd.Start()
		i.cmd = cmd
		started <- err
		if err == nil {
			_ = cmd.Wait()
		}
	}()
	return <-started
}

// waitReady waits until all instances are ready.
func (d *deployment) waitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, i := range d.instances {
			if status, _, err := call(http.MethodGet, "http://"+i.ready+"/readyz", nil, time.Second); err == nil && status == http.StatusOK {
				ready++
			}
		}
		if ready == len(d.instances) {
			return true
		}
	}
	return false
}

// call makes one call of a client. An error means that no answer came.
func call(method, url string, body any, limit time.Duration) (int, []byte, error) {
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return 0, nil, err
		}
		reader = bytes.NewReader(data)
	}
	req, err := http.NewRequest(method, url, reader)
	if err != nil {
		return 0, nil, err
	}
	req.Host = host
	req.Close = true
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Gooseberryreel-Deadline-Ms", fmt.Sprint(limit.Milliseconds()))
	client := &http.Client{Timeout: limit}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, data, err
}

// submit hands a submission in, again with the same id after no answer.
func (d *deployment) submit(i *instance, id string, body any) bool {
	for range 4 {
		if d.submitOnce(i, id, body) {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

func (d *deployment) submitOnce(i *instance, id string, body any) bool {
	status, _, err := call(http.MethodPost, "http://"+i.caller+prefix+id, body, 3*time.Second)
	d.note("POST %s at %s: %d %v", id, i.name, status, err)
	return err == nil && status/100 == 2
}

// state asks for the state of a submission.
func (d *deployment) state(i *instance, id string) string {
	status, data, err := call(http.MethodGet, "http://"+i.caller+prefix+id, nil, 3*time.Second)
	if err != nil {
		return "no answer: " + err.Error()
	}
	if status == http.StatusOK {
		var out struct{ State string }
		_ = json.Unmarshal(data, &out)
		return out.State
	}
	return fmt.Sprint(status)
}
