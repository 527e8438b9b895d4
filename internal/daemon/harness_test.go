package daemon

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"gooseberryreel/internal/emulator"
	"gooseberryreel/internal/pb"
)

// deployment is an emulated platform with several scheduler instances in this process.
type deployment struct {
	t          *testing.T
	store      *emulator.Store
	attempts   *emulator.Cluster
	workers    []*emulator.Worker
	instances  []*testInstance
	partitions int32 // of the intake, zero for the default
	// statusS is how long the state of a finished job is kept, zero for the default.
	statusS float64
	// callBytes is the largest append of an instance, zero for the default.
	callBytes int64
}

type testInstance struct {
	*Instance
	endpoint *emulator.Endpoint
	stop     context.CancelFunc
	done     chan struct{}
	exited   chan struct{} // closed when a fault has ended the instance
}

const (
	queueHost = "pick.example"
	// callLimit and shutdownLimit only end a test that hangs.
	callLimit     = 30 * time.Second
	shutdownLimit = 30 * time.Second
)

var callerClient = &http.Client{Timeout: callLimit}

// newDeployment starts workers and instances and writes a configuration. behaviour
// returns what an attempt at a task does.
func newDeployment(t *testing.T, instances, workers int, behaviour func(task string, attempt int) emulator.Behaviour) *deployment {
	t.Helper()
	s := &deployment{t: t, store: emulator.NewStore(), attempts: emulator.NewCluster(behaviour)}
	s.configure(1)
	for n := range workers {
		w := emulator.NewWorker(fmt.Sprintf("i-%d", n), s.attempts)
		s.workers = append(s.workers, w)
		s.registerWorker(w, "ready")
	}
	for n := range instances {
		s.start(fmt.Sprintf("inst-%d", n))
	}
	t.Cleanup(s.close)
	return s
}

func (s *deployment) registerWorker(w *emulator.Worker, state string) {
	qt.Assert(s.t, s.store.PutJSON("keyed.servers", w.ID, w.StoreRecord("pool", "z", "r1-1", 8000, 16000, state)), qt.IsNil)
}

func (s *deployment) configure(version int, extra ...map[string]any) {
	s.configureLimits(version, 65536, extra...)
}

// configureLimits is configure with a limit for the bodies of requests.
func (s *deployment) configureLimits(version, maxBodyBytes int, extra ...map[string]any) {
	routes := append([]map[string]any{{
		"Name": "r1", "Host": queueHost, "PathPrefix": "/jobs/", "Service": "pool", "Priority": 0, "MaxAttempts": 3,
		"StretchFactor": 1.5, "TargetDurationMs": 250,
	}}, extra...)
	qt.Assert(s.t, s.store.PutJSON("keyed.op", "config", map[string]any{
		"Version": version, "Routes": routes, "Services": []map[string]any{{"Name": "pool"}},
		"Limits": map[string]any{"MaxBodyBytes": maxBodyBytes},
	}), qt.IsNil)
}

func (s *deployment) start(name string) *testInstance { return s.startOn(name, 0.2) }

// startOn starts an instance on a machine with a CPU share.
func (s *deployment) startOn(name string, cpuShare float64) *testInstance {
	s.t.Helper()
	endpoint := s.store.Endpoint()
	settings := &pb.SchedulerSettings{
		Instance: name, Region: "r", FailureDomain: "z", HttpAddress: "127.0.0.1:0", ReadyAddress: "127.0.0.1:0",
		MetricsAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0", CpuShare: cpuShare, MemoryMib: 256,
		Store: &pb.StoreSettings{Address: endpoint.Address(), Partitions: s.partitions, CallBytes: s.callBytes},
		// The owner has no room, so all commands go through relays if there are any.
		Relay:  &pb.RelaySettings{OwnerWorkersPerCore: 1, RelayWorkersPerCore: 1000},
		Bounds: &pb.SiteBounds{LeaseMs: 6000, HarmMs: 4000, StatusS: cmp.Or(s.statusS, 120), GraceS: 2},
	}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	ctx, stop := context.WithCancel(context.Background())
	exited := make(chan struct{})
	exit := sync.OnceFunc(func() { close(exited); stop() })
	i, err := New(Options{Settings: settings, Logger: logger.WithField("instance", name), Exit: exit})
	qt.Assert(s.t, err, qt.IsNil)
	ti := &testInstance{Instance: i, endpoint: endpoint, stop: stop, done: make(chan struct{}), exited: exited}
	go func() {
		defer close(ti.done)
		if err := i.Run(ctx); err != nil {
			s.t.Errorf("%s: %v", name, err)
		}
	}()
	s.instances = append(s.instances, ti)
	return ti
}

func (s *deployment) close() {
	for _, i := range s.instances {
		i.stop()
	}
	for _, i := range s.instances {
		select {
		case <-i.done:
		case <-time.After(shutdownLimit):
			s.t.Errorf("%s has not ended %v after it was stopped", i.settings.GetInstance(), shutdownLimit)
		}
	}
	for _, w := range s.workers {
		w.Close()
	}
	s.store.Close()
}

// call sends a caller's request and returns the status and the decoded body, 0 for
// the status if there was no response.
func (s *deployment) call(i *testInstance, method, path string, body any) (int, map[string]any) {
	data, err := json.Marshal(body)
	qt.Assert(s.t, err, qt.IsNil)
	req, err := http.NewRequest(method, "http://"+i.HTTPAddress()+path, bytes.NewReader(data))
	qt.Assert(s.t, err, qt.IsNil)
	req.Host = queueHost
	resp, err := callerClient.Do(req)
	if os.IsTimeout(err) {
		s.t.Errorf("%s has not answered %s %s within %v", i.settings.GetInstance(), method, path, callLimit)
	}
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	var out map[string]any
	if err := json.NewDecoder(resp.Body).Decode(&out); err != nil && err != io.EOF {
		return resp.StatusCode, nil
	}
	return resp.StatusCode, out
}

// eventually waits for a condition. Its time limit only ends a test that hangs.
func (s *deployment) eventually(what string, cond func() bool) {
	s.t.Helper()
	s.eventuallyWithin(30*time.Second, what, cond)
}

// eventuallyWithin is eventually with another time limit.
func (s *deployment) eventuallyWithin(limit time.Duration, what string, cond func() bool) {
	s.t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if cond() {
			return
		}
	}
	s.t.Fatalf("condition not met within the time limit: %s", what)
}

func (s *deployment) submit(i *testInstance, id int, tasks ...int) {
	s.t.Helper()
	s.eventually("submission accepted", func() bool {
		status, _ := s.call(i, http.MethodPost, path(id), job(tasks...))
		return status == http.StatusOK
	})
}

func (s *deployment) waitState(i *testInstance, id int, want string) {
	s.t.Helper()
	s.eventually(fmt.Sprintf("job %d is %s", id, want), func() bool {
		_, out := s.call(i, http.MethodGet, path(id), nil)
		return out != nil && out["State"] == want
	})
}

func (s *deployment) owner() *testInstance {
	var found *testInstance
	s.eventually("an owner", func() bool {
		for _, i := range s.instances {
			if i.currentTerm() != nil {
				found = i
			}
		}
		return found != nil
	})
	return found
}

func shortTask(string, int) emulator.Behaviour {
	return emulator.Behaviour{RunTime: 50 * time.Millisecond}
}

// checkRanOnce checks that every task of a job was done exactly once.
func (s *deployment) checkRanOnce(id int, tasks ...int) {
	s.t.Helper()
	for step, count := range tasks {
		for n := range count {
			name := fmt.Sprintf("%016x.0.%d.%d", id, step, n)
			qt.Check(s.t, s.attempts.Completions(name), qt.Equals, 1, qt.Commentf("%s", name))
		}
	}
	qt.Check(s.t, s.attempts.Violations(), qt.HasLen, 0)
}
