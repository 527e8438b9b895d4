package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"gooseberryreel/internal/config"
	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/remote"
	"gooseberryreel/internal/settings"
	"gooseberryreel/internal/standin"
)

// waitTimeout bounds every wait. No test asserts the duration of a step.
const waitTimeout = 90 * time.Second

// testInstance is an instance that runs in the test process.
type testInstance struct {
	*Instance
	stop context.CancelFunc
	// done is closed once Run has returned err.
	done chan struct{}
	err  error
}

// harness is a test with a platform stand-in for one failure domain and a client
// of its log.
type harness struct {
	*qt.C
	platform *standin.RunningSite
	log      remote.Log
}

func newHarness(t *testing.T) *harness {
	c := qt.New(t)
	p, err := standin.Start(standin.Site{Name: "test", Domains: []standin.Domain{{
		Name:    "north",
		Workers: []standin.WorkerGroup{{Count: 2}},
		Targets: []standin.TargetGroup{{Service: "echo", Count: 6}},
	}}, Workloads: []standin.Workload{{Name: "short", RunMS: 50}}})
	c.Assert(err, qt.IsNil)
	t.Cleanup(p.Close)
	return &harness{C: c, platform: p, log: remote.NewHTTPLog(p.LogURL())}
}

func (s *harness) start(name string) *testInstance {
	loaded, err := settings.ParseEntry(name, []byte(fmt.Sprintf(`{"instance":%q,"region":"r","failure_domain":"north",
		"http_address":"127.0.0.1:1","peer_address":"127.0.0.1:2","log_url":%q,"list_url":%q,
		"ownership":{"request_partitions":8,"lease_ms":900,"heartbeat_interval_ms":200},
		"leave":{"balancer_notice_ms":400}}`, name, s.platform.LogURL(), s.platform.ListURL())))
	s.Assert(err, qt.IsNil)
	loaded.HttpAddress, loaded.PeerAddress = "127.0.0.1:0", "127.0.0.1:0"
	discardLogger := logrus.New()
	discardLogger.SetOutput(io.Discard)
	instance, err := New(Options{Settings: loaded, Logger: discardLogger})
	s.Assert(err, qt.IsNil)
	s.platform.Register(name, "north", instance.PeerAddress(), remote.StateLive)
	ctx, stop := context.WithCancel(context.Background())
	r := &testInstance{Instance: instance, stop: stop, done: make(chan struct{})}
	go func() {
		defer close(r.done)
		r.err = instance.Run(ctx)
	}()
	s.Cleanup(r.kill)
	s.Cleanup(stop)
	return r
}

var errKilled = errors.New("killed")

// kill stops an instance without a planned leave.
func (r *testInstance) kill() {
	r.fail(errKilled)
	select {
	case <-r.done:
	case <-time.After(waitTimeout):
	}
}

func (s *harness) publish(decl *pb.Declaration) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	_, err := config.Publish(ctx, s.log, decl, "publish-"+decl.GetName())
	s.Assert(err, qt.IsNil)
}

func (s *harness) publishAll() {
	s.publish(&pb.Declaration{Name: "crew", Body: &pb.Declaration_Team{Team: &pb.Team{
		Quota: &pb.Resources{CpuMilli: 16000, MemoryMib: 16000}, MaxQueuedJobs: 100, MaxQueuedRequests: 100,
	}}})
	s.publish(&pb.Declaration{Name: "echo", Body: &pb.Declaration_Service{Service: &pb.Service{
		Team: "crew", LatencyTargetMs: 100, DefaultTimeoutMs: 5000, QueueLength: 100,
		PerTarget: &pb.Resources{CpuMilli: 100, MemoryMib: 100},
	}}})
	s.publish(&pb.Declaration{Name: "render", Body: &pb.Declaration_BatchJob{BatchJob: &pb.BatchJob{
		Team: "crew", Needs: &pb.Resources{CpuMilli: 100, MemoryMib: 100}, ExpectedRunMs: 100, MaxAttempts: 3, Workload: "short",
	}}})
}

func (s *harness) await(what string, ok func() bool) {
	s.Helper()
	for deadline := time.Now().Add(waitTimeout); !ok(); {
		if time.Now().After(deadline) {
			s.Fatalf("timed out waiting for: %s", what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// actingCounts returns the number of partitions that each instance may act for
// and their sum. It fails the test if two instances may act for one partition.
func (s *harness) actingCounts(instances ...*testInstance) (counts []int, total int) {
	actingInstance := make(map[int]string)
	for _, r := range instances {
		count := 0
		if view := r.View(); view != nil {
			now := time.Now()
			for n := range view.Partitions {
				if view.Partitions[n].MayAct(now) {
					s.Assert(actingInstance[n], qt.Equals, "", qt.Commentf("partition %d of %s", n, r.id.Name))
					actingInstance[n] = r.id.Name
					count++
				}
			}
		}
		counts = append(counts, count)
		total += count
	}
	return counts, total
}

// awaitPartitions waits until each partition has an owner that may act, and each
// instance is ready and owns a partition.
func (s *harness) awaitPartitions(instances ...*testInstance) {
	s.Helper()
	s.await("owner for each partition", func() bool {
		counts, total := s.actingCounts(instances...)
		for n, r := range instances {
			if counts[n] == 0 || r.Ready() != nil {
				return false
			}
		}
		return total == 9
	})
}

func post(r *testInstance, path, body string) (int, string, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+r.HTTPAddress()+path, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, string(data), err
}

// awaitService waits until a request succeeds at each instance.
func (s *harness) awaitService(instances ...*testInstance) {
	s.Helper()
	s.awaitPartitions(instances...)
	for _, r := range instances {
		s.await("service at "+r.id.Name, func() bool {
			status, _, err := post(r, "/v1/services/echo/requests", "hello")
			return err == nil && status == http.StatusOK
		})
	}
}

func (s *harness) request(r *testInstance) {
	s.Helper()
	status, body, err := post(r, "/v1/services/echo/requests", "hello")
	s.Assert(err, qt.IsNil)
	s.Assert(status, qt.Equals, http.StatusOK, qt.Commentf("%s", body))
}

// Guards against a failure domain whose instances don't share the partitions,
// don't all serve requests and jobs, or don't recover after one is killed.
func TestThreeInstancesOneStopped(t *testing.T) {
	s := newHarness(t)
	a, b, c := s.start("a"), s.start("b"), s.start("c")
	s.Assert(a.Ready(), qt.IsNotNil)
	s.publishAll()
	s.awaitService(a, b, c)
	for _, r := range []*testInstance{a, b, c} {
		s.request(r)
		s.runJob(r)
	}
	a.kill()
	s.awaitService(b, c)
	s.request(b)
	s.runJob(c)
}

func (s *harness) runJob(r *testInstance) {
	s.Helper()
	var job struct{ ID, State string }
	status, body, err := post(r, "/v1/jobs", `{"job":"render"}`)
	s.Assert(err, qt.IsNil)
	s.Assert(status/100, qt.Equals, 2, qt.Commentf("%s", body))
	s.Assert(json.Unmarshal([]byte(body), &job), qt.IsNil)
	s.await("end of job "+body, func() bool {
		response, err := http.Get("http://" + r.HTTPAddress() + "/v1/jobs/" + job.ID)
		if err != nil {
			return false
		}
		defer func() { _ = response.Body.Close() }()
		return json.NewDecoder(response.Body).Decode(&job) == nil && job.State == "done"
	})
}

// Guards against a planned leave that interrupts requests or doesn't release its
// partitions.
func TestPlannedLeaveInterruptsNoRequest(t *testing.T) {
	s := newHarness(t)
	a, b := s.start("a"), s.start("b")
	s.publishAll()
	s.awaitService(a, b)
	var leaving atomic.Bool
	var sent, failed atomic.Int64
	var callers sync.WaitGroup
	stop := make(chan struct{})
	for n := range 4 {
		callers.Add(1)
		go func() {
			defer callers.Done()
			for {
				select {
				case <-stop:
					return
				default:
				}
				r := a
				if n%2 == 1 || leaving.Load() {
					r = b
				}
				status, body, err := post(r, "/v1/services/echo/requests", "hello")
				sent.Add(1)
				if err != nil || status != http.StatusOK {
					failed.Add(1)
					t.Logf("at %s: status %d %s %v", r.id.Name, status, body, err)
				}
			}
		}()
	}
	s.await("traffic", func() bool { return sent.Load() > 100 })
	a.stop()
	s.await("not ready", func() bool { return a.Ready() != nil })
	leaving.Store(true)
	<-a.done
	s.Assert(a.err, qt.IsNil)
	s.awaitPartitions(b)
	close(stop)
	callers.Wait()
	s.Assert(failed.Load(), qt.Equals, int64(0), qt.Commentf("of %d requests", sent.Load()))
}

// Guards against owners that stop serving while the log is down, and against a
// new instance that doesn't become ready although a peer has the configuration.
func TestLogDown(t *testing.T) {
	s := newHarness(t)
	a, b := s.start("a"), s.start("b")
	s.publishAll()
	s.awaitService(a, b)
	s.Assert(s.platform.SetFaults("log", standin.Faults{Down: true}), qt.IsNil)
	s.await("log down", func() bool { return !a.View().LogReadable && !b.View().LogReadable })
	s.awaitPartitions(a, b)
	s.request(a)
	s.request(b)
	late := s.start("late")
	s.await("ready", func() bool { return late.Ready() == nil })
	s.Assert(late.View().Config.Version, qt.Equals, a.View().Config.Version)
	s.Assert(s.platform.ClearFaults("log"), qt.IsNil)
	s.awaitPartitions(a, b, late)
}

// Guards against losing ownership, jobs or the configuration when the log trims
// the records that hold them.
func TestRetentionKeepsState(t *testing.T) {
	s := newHarness(t)
	a := s.start("a")
	s.publishAll()
	s.awaitPartitions(a)
	s.runJob(a)
	jobs := func(r *testInstance) (n int) {
		_ = r.runOnLoop(context.Background(), func(time.Time) { n = len(r.runner.SnapshotJobs()) })
		return n
	}
	for _, stream := range []string{"control.north", config.Stream} {
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		batch, err := s.log.Read(ctx, stream, 0, 1, 0)
		cancel()
		s.Assert(err, qt.IsNil)
		s.platform.TrimLog(stream, batch.Next)
	}
	b := s.start("b")
	s.awaitPartitions(a, b)
	s.Assert(jobs(b), qt.Equals, jobs(a))
	s.Assert(jobs(b), qt.Equals, 1)
	s.Assert(b.View().Config.Version, qt.Equals, a.View().Config.Version)
}
