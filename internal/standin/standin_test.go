package standin_test

import (
	"bytes"
	"context"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"gooseberryreel/internal/remote"
	"gooseberryreel/internal/standin"
)

const (
	workerName = "north-w01"
	targetName = "pickbook-north-01"
	lease      = time.Hour
)

func startSite(t *testing.T, change func(*standin.Site)) *standin.RunningSite {
	t.Helper()
	site := standin.Site{
		Domains: []standin.Domain{{
			Name:    "north",
			Workers: []standin.WorkerGroup{{Count: 1}},
			Targets: []standin.TargetGroup{{Service: "pickbook", Count: 1, Slots: 1, ServiceTimeMS: 1}},
		}},
		Workloads: []standin.Workload{{Name: "long", RunMS: 3_600_000}, {Name: "short", RunMS: 1}},
		Seed:      1,
	}
	if change != nil {
		change(&site)
	}
	running, err := standin.Start(site)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(running.Close)
	return running
}

func worker(site *standin.RunningSite) remote.Worker {
	return remote.NewHTTPWorker(workerName, site.Addresses().Workers[workerName])
}

func spec(job string, attempt int, workload string) remote.TaskSpec {
	return remote.TaskSpec{
		Ref:      remote.TaskRef{Job: job, Attempt: attempt},
		Workload: workload,
		Needs:    remote.Resources{CPUMilli: 500, MemoryMiB: 64},
		Lease:    lease,
	}
}

// status waits until a task has the wanted state and returns its status.
func status(t *testing.T, w remote.Worker, ref remote.TaskRef, want remote.TaskState) remote.TaskStatus {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	for {
		report, err := w.Status(ctx)
		qt.Assert(t, err, qt.IsNil)
		for _, task := range report.Tasks {
			if task.Ref == ref && task.State == want {
				return task
			}
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against offsets that change, waiting reads that miss an append, and trimmed
// records that a read doesn't report.
func TestLogOffsetsAndRetention(t *testing.T) {
	c := qt.New(t)
	site := startSite(t, nil)
	log := remote.NewHTTPLog(site.LogURL())
	ctx := context.Background()
	read := make(chan remote.Batch, 1)
	go func() {
		batch, _ := log.Read(ctx, "s", 0, 10, 20*time.Second)
		read <- batch
	}()
	for want := range int64(3) {
		offset, err := log.Append(ctx, "s", [][]byte{{byte(want)}})
		c.Assert(err, qt.IsNil)
		c.Assert(offset, qt.Equals, want)
	}
	c.Assert(len((<-read).Records) > 0, qt.IsTrue)
	site.TrimLog("s", 2)
	batch, err := log.Read(ctx, "s", 0, 10, 0)
	c.Assert(err, qt.IsNil)
	c.Assert(batch.FirstRetained, qt.Equals, int64(2))
	c.Assert(batch.Next, qt.Equals, int64(3))
	c.Assert(batch.Records, qt.HasLen, 1)
}

// Guards against a stand-in log that doesn't limit the append rate, as the real one
// does.
func TestLogBoundsAppends(t *testing.T) {
	c := qt.New(t)
	site := startSite(t, func(s *standin.Site) { s.Log.AppendsPerSecond = 1 })
	log := remote.NewHTTPLog(site.LogURL())
	var refused *remote.RefusedError
	for range 100 {
		if _, err := log.Append(context.Background(), "s", [][]byte{{1}}); errors.As(err, &refused) {
			break
		}
	}
	c.Assert(refused, qt.IsNotNil)
	c.Assert(refused.Status, qt.Equals, http.StatusTooManyRequests)
}

// Guards against an attempt that runs twice, a lost checkpoint, and an end that no
// status report shows.
func TestWorkerTasks(t *testing.T) {
	c := qt.New(t)
	site := startSite(t, nil)
	w := worker(site)
	ctx := context.Background()
	first := spec("job", 1, "long")
	c.Assert(w.Start(ctx, first), qt.IsNil)
	c.Assert(w.Start(ctx, first), qt.IsNil)
	c.Assert(w.Throttle(ctx, first.Ref, 50), qt.IsNil)
	checkpoint, err := w.Checkpoint(ctx, first.Ref)
	c.Assert(err, qt.IsNil)
	c.Assert(w.Stop(ctx, first.Ref), qt.IsNil)
	ended := status(t, w, first.Ref, remote.TaskStopped)
	c.Assert(ended.Checkpoint, qt.Equals, checkpoint)
	c.Assert(ended.ThrottlePercent, qt.Equals, 50)
	c.Assert(w.Start(ctx, first), qt.IsNil)
	status(t, w, first.Ref, remote.TaskStopped)

	second := spec("job", 2, "short")
	second.Checkpoint = checkpoint
	c.Assert(w.Start(ctx, second), qt.IsNil)
	status(t, w, second.Ref, remote.TaskDone)
	operations, dropped := site.History()
	c.Assert(dropped, qt.Equals, int64(0))
	c.Assert(operations, qt.HasLen, 2)
	c.Assert(operations[0].End <= operations[1].Start, qt.IsTrue)

	var refused *remote.RefusedError
	c.Assert(errors.As(w.Stop(ctx, remote.TaskRef{Job: "none", Attempt: 1}), &refused), qt.IsTrue)
}

// Guards against tasks that outlive their lease, and against a worker restart that
// doesn't change the boot id or keeps tasks.
func TestWorkerLeaseAndRestart(t *testing.T) {
	c := qt.New(t)
	site := startSite(t, nil)
	w := worker(site)
	ctx := context.Background()
	expiring := spec("lapses", 1, "long")
	expiring.Lease = time.Millisecond
	c.Assert(w.Start(ctx, expiring), qt.IsNil)
	status(t, w, expiring.Ref, remote.TaskExpired)

	c.Assert(w.Start(ctx, spec("restarted", 1, "long")), qt.IsNil)
	before, err := w.Status(ctx)
	c.Assert(err, qt.IsNil)
	c.Assert(site.RestartWorker(workerName), qt.IsNil)
	after, err := w.Status(ctx)
	c.Assert(err, qt.IsNil)
	c.Assert(after.Boot, qt.Not(qt.Equals), before.Boot)
	c.Assert(after.Tasks, qt.HasLen, 0)

	c.Assert(site.SetFaults(workerName, standin.Faults{FailStarted: true}), qt.IsNil)
	fails := spec("fails", 1, "long")
	c.Assert(w.Start(ctx, fails), qt.IsNil)
	status(t, w, fails.Ref, remote.TaskFailed)
}

// Guards against usage that is reported without the configured lag.
func TestWorkerUsageLags(t *testing.T) {
	c := qt.New(t)
	site := startSite(t, func(s *standin.Site) { s.UsageLagMS = 3_600_000 })
	w := worker(site)
	ctx := context.Background()
	task := spec("job", 1, "long")
	c.Assert(w.Start(ctx, task), qt.IsNil)
	report, err := w.Status(ctx)
	c.Assert(err, qt.IsNil)
	c.Assert(report.Usage, qt.Equals, remote.Resources{})

	shortLag := startSite(t, func(s *standin.Site) { s.UsageLagMS = 1 })
	w = worker(shortLag)
	c.Assert(w.Start(ctx, task), qt.IsNil)
	for report.Usage.CPUMilli != task.Needs.CPUMilli {
		report, err = w.Status(ctx)
		c.Assert(err, qt.IsNil)
	}
}

// Guards against a registration or a leaving state that the list shows before its
// lag or never.
func TestListLag(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	lagging := startSite(t, func(s *standin.Site) { s.List.LagMS = 3_600_000 })
	lagging.Register("entry-1", "north", "127.0.0.1:1", remote.StateLive)
	listing, err := remote.NewHTTPInstanceList(lagging.ListURL()).List(ctx)
	c.Assert(err, qt.IsNil)
	c.Assert(listing.Instances, qt.HasLen, 2)

	noLag := startSite(t, nil)
	list := remote.NewHTTPInstanceList(noLag.ListURL())
	body := `{"name":"entry-1","kind":"entry","domain":"north","address":"127.0.0.1:1","state":"live"}`
	resp, err := http.Post(noLag.ListURL()+"/v1/instances", "application/json", bytes.NewBufferString(body))
	c.Assert(err, qt.IsNil)
	c.Assert(resp.Body.Close(), qt.IsNil)
	c.Assert(noLag.SetLeaving(targetName, true), qt.IsNil)
	listing, err = list.List(ctx)
	c.Assert(err, qt.IsNil)
	states := map[string]remote.State{}
	for _, instance := range listing.Instances {
		states[instance.Name] = instance.State
	}
	c.Assert(states, qt.DeepEquals, map[string]remote.State{
		"entry-1":  remote.StateLive,
		workerName: remote.StateLive,
		targetName: remote.StateLeaving,
	})
}

// Guards against a change that a conditional request for the list misses, and
// against a list whose as-of time doesn't advance while nothing changes.
func TestListUnchanged(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	site := startSite(t, nil)
	list := remote.NewHTTPInstanceList(site.ListURL())
	first, err := list.List(ctx)
	c.Assert(err, qt.IsNil)
	var second remote.Listing
	for second.AsOf.Compare(first.AsOf) <= 0 {
		second, err = list.List(ctx)
		c.Assert(err, qt.IsNil)
	}
	c.Assert(second.Instances, qt.DeepEquals, first.Instances)
	site.Register("entry-1", "north", "127.0.0.1:1", remote.StateLive)
	third, err := list.List(ctx)
	c.Assert(err, qt.IsNil)
	c.Assert(third.Instances, qt.HasLen, len(first.Instances)+1)

	req, err := http.NewRequest(http.MethodGet, site.ListURL()+"/v1/instances", nil)
	c.Assert(err, qt.IsNil)
	resp, err := http.DefaultClient.Do(req)
	c.Assert(err, qt.IsNil)
	c.Assert(resp.Body.Close(), qt.IsNil)
	req.Header.Set("If-None-Match", resp.Header.Get("ETag"))
	resp, err = http.DefaultClient.Do(req)
	c.Assert(err, qt.IsNil)
	c.Assert(resp.Body.Close(), qt.IsNil)
	c.Assert(resp.StatusCode, qt.Equals, http.StatusNotModified)
}

// Guards against a target that runs more requests than it has slots, or that batch
// tasks don't slow down. The slowdown makes the first request occupy the only slot
// for far longer than the test needs for the second.
func TestTargetSlotsAndSlowdown(t *testing.T) {
	c := qt.New(t)
	site := startSite(t, func(s *standin.Site) {
		s.Slowdowns = []standin.Slowdown{{Workload: "long", Service: "pickbook", IdlePercent: 0, FullPercent: 100_000_000}}
	})
	ctx, cancel := context.WithCancel(context.Background())
	target := remote.NewHTTPTarget(targetName, site.Addresses().Targets[targetName], 8, 1<<16)
	_, err := target.Invoke(ctx, remote.TargetRequest{ID: "before", Service: "pickbook"})
	c.Assert(err, qt.IsNil)
	c.Assert(worker(site).Start(ctx, spec("job", 1, "long")), qt.IsNil)
	slow := make(chan error, 1)
	go func() {
		_, err := target.Invoke(ctx, remote.TargetRequest{ID: "slow", Service: "pickbook"})
		slow <- err
	}()
	var invokeErr *remote.InvokeError
	for {
		_, err := target.Invoke(ctx, remote.TargetRequest{ID: "second", Service: "pickbook", Timeout: 50 * time.Millisecond})
		c.Assert(errors.As(err, &invokeErr), qt.IsTrue)
		if invokeErr.NotRun {
			break
		}
	}
	c.Assert(invokeErr.Leaving, qt.IsFalse)
	cancel()
	c.Assert(<-slow, qt.IsNotNil)
}

// Guards against faults that can't be cleared while their server is down or frozen.
func TestFaultsOverHTTP(t *testing.T) {
	c := qt.New(t)
	site := startSite(t, nil)
	post := func(url, body string) int {
		resp, err := http.Post(url, "application/json", bytes.NewBufferString(body))
		c.Assert(err, qt.IsNil)
		c.Assert(resp.Body.Close(), qt.IsNil)
		return resp.StatusCode
	}
	w := worker(site)
	admin := site.Addresses().AdminURL + "/faults/" + workerName
	for _, fault := range []string{`{"down":true}`, `{"freeze":true}`} {
		c.Assert(post(admin, fault), qt.Equals, http.StatusOK)
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		_, err := w.Status(ctx)
		cancel()
		c.Assert(err, qt.IsNotNil)
		c.Assert(post(admin, `{}`), qt.Equals, http.StatusOK)
		_, err = w.Status(context.Background())
		c.Assert(err, qt.IsNil)
	}
	c.Assert(post(admin, `{"downn":true}`), qt.Equals, http.StatusBadRequest)
	c.Assert(post(site.LogURL()+"/faults", `{"percent":101}`), qt.Equals, http.StatusBadRequest)
}

// Guards against invalid or unknown settings that are accepted.
func TestLoadSite(t *testing.T) {
	c := qt.New(t)
	file := filepath.Join(t.TempDir(), "site.json")
	for content, message := range map[string]string{
		`{"domains":[{"name":"a"}]}`:                          "",
		`{"domains":[{"name":"a"},{"name":"a"}]}`:             `.*duplicate name "a"`,
		`{"domain":[]}`:                                       `.*unknown field "domain"`,
		`{"domains":[{"name":"a","workers":[{"count":-1}]}]}`: `.*count must be 1 to 1000`,
		`{"log":{"retention_ms":-1}}`:                         `.*negative limit`,
		`{"host":"example.com"}`:                              `.*"example.com" is not an IP address`,
		`{} {}`:                                               `.*data after the settings`,
	} {
		c.Assert(os.WriteFile(file, []byte(content), 0o600), qt.IsNil)
		_, err := standin.LoadSite(file)
		if message == "" {
			c.Assert(err, qt.IsNil)
			continue
		}
		c.Assert(err, qt.ErrorMatches, message)
	}
}
