package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"
)

const (
	callTimeout = 3 * time.Second
	// maxRefusals is the number of refusals after which a caller abandons a job.
	maxRefusals = 4
	// cancelBound is the longest time until a cancellation takes effect,
	// visibleBound that until a job is visible at every instance. Both are three
	// times the bounds of the deployments, since faults cause delays.
	cancelBound  = 9 * time.Second
	visibleBound = 9 * time.Second
	// drainTimeout only ends a run that hangs.
	drainTimeout = 90 * time.Second
	// crashingJobs: one job of so many has a task that crashes its workers.
	crashingJobs = 12
	// longLivedTasks and longLivedCPUMilli let a worker run many long-lived tasks.
	longLivedTasks, longLivedCPUMilli = 4, 100
	// minCrashes is the number of workers that must have crashed under a task before
	// its job may be shown as failed.
	minCrashes = 2
)

// caller submits jobs over persistent connections and checks their states.
type caller struct {
	deployment *deployment
	number     int
	rng        *rand.Rand
	client     *http.Client
}

func newCaller(d *deployment, n int) *caller {
	return &caller{
		deployment: d, number: n, rng: rand.New(rand.NewPCG(d.opts.Seed, uint64(100+n))),
		client: &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 2}},
	}
}

// call sends a request to an instance and returns the HTTP status and the job
// state of the response. Status 0 means that no complete response arrived.
func (c *caller) call(instance int, method, id string, body any) (status int, state string) {
	status, a := c.ask(instance, method, id, body)
	if a.State != nil {
		state = *a.State
	}
	return status, state
}

// ask sends a request as call does and returns the checked body of a response with
// status 200.
func (c *caller) ask(instance int, method, id string, body any) (int, answer) {
	data, err := json.Marshal(body)
	if err != nil {
		c.deployment.addFinding("soak: encode request body: %v", err)
		return 0, answer{}
	}
	req, err := http.NewRequest(method, "http://"+c.deployment.processes[instance].callerProxy.Address+jobPathPrefix+id, bytes.NewReader(data))
	if err != nil {
		return 0, answer{}
	}
	req.Host = queueHost
	resp, err := c.client.Do(req)
	if err != nil {
		return 0, answer{}
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, answer{} // the connection was closed
	}
	if resp.StatusCode == http.StatusOK {
		return resp.StatusCode, c.checkAnswer(method, id, raw)
	}
	return resp.StatusCode, answer{}
}

// anyInstance returns a random instance that is not lost, as the platform leads callers
// away from those.
func (c *caller) anyInstance() int {
	n := c.rng.IntN(len(c.deployment.processes))
	for c.deployment.processes[n].isAway() {
		n = (n + 1) % len(c.deployment.processes)
	}
	return n
}

// sleepAbout sleeps for an exponentially distributed time.
func (c *caller) sleepAbout(mean time.Duration) {
	time.Sleep(time.Duration(c.rng.ExpFloat64() * float64(mean)))
}

// run submits jobs until the context ends. It repeats some submissions, cancels
// some jobs and checks the state of each once.
func (c *caller) run(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		j := c.newJob(n, false)
		c.submit(j)
		if c.rng.Float64() < 0.3 && !j.acceptedAt().IsZero() {
			// Real callers sometimes repeat a request seconds after its response.
			c.sleepAbout(300 * time.Millisecond)
			c.call(c.anyInstance(), http.MethodPost, j.id, j.body())
		}
		if j.longRunning || c.rng.Float64() < 0.15 {
			c.sleepAbout(time.Second)
			c.cancel(j)
		}
		c.checkState(j)
		c.checkOthers(n)
		c.sleepAbout(200 * time.Millisecond)
	}
}

func (c *caller) newJob(n int, longLived bool) *trackedJob {
	j := &trackedJob{id: fmt.Sprintf("%04x%012x", c.number, n+1), cpu: taskCPUMilli, longRunning: c.rng.Float64() < 0.1 || longLived}
	steps := 1 + c.rng.IntN(3)
	if j.longRunning {
		steps = 1
	}
	for range steps {
		j.tasks = append(j.tasks, 1+c.rng.IntN(4))
	}
	// Crashed workers would leave no calm time in a run with losses alone.
	onlyLosses := len(c.deployment.opts.Only) > 0 && !slices.ContainsFunc(c.deployment.opts.Only, func(k Kind) bool { return !k.isLoss() })
	if longLived {
		j.tasks, j.cpu = []int{longLivedTasks}, longLivedCPUMilli
	}
	j.crashing = n%crashingJobs == crashingJobs-1 && !longLived && !onlyLosses
	c.deployment.reportMu.Lock()
	defer c.deployment.reportMu.Unlock()
	c.deployment.jobs[j.id] = j
	return j
}

func (j *trackedJob) body() map[string]any {
	var steps []map[string]any
	for n, tasks := range j.tasks {
		step := map[string]any{"Count": tasks, "Cpu": j.cpu, "MemMb": taskMemoryMiB, "EstimateMs": 200}
		if j.longRunning {
			step["LongRunning"] = true
		}
		if n > 0 {
			step["After"] = []int{n - 1}
		}
		steps = append(steps, step)
	}
	return map[string]any{"Spec": "payload", "Phases": steps}
}

func (j *trackedJob) acceptedAt() time.Time {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.accepted
}

// submit submits a job and retries after a refusal or an unknown outcome, each time
// at a random instance. It abandons the job after maxRefusals refusals. Once an
// outcome was unknown, it retries until the job is accepted or drainTimeout has
// passed.
func (c *caller) submit(j *trackedJob) {
	refused, unknown := 0, false
	for end := time.Now().Add(drainTimeout); time.Now().Before(end); {
		status, _ := c.call(c.anyInstance(), http.MethodPost, j.id, j.body())
		switch status {
		case http.StatusOK:
			j.mu.Lock()
			j.accepted = time.Now()
			j.mu.Unlock()
			return
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
			if refused++; refused >= maxRefusals && !unknown {
				j.mu.Lock()
				j.refused = true
				j.mu.Unlock()
				return
			}
		default:
			unknown = true
		}
		c.sleepAbout(150 * time.Millisecond)
	}
	c.deployment.addFinding("job %s: no response to its submission for %v", j.id, drainTimeout)
}

// cancel cancels an accepted job and retries until the cancellation is
// acknowledged or drainTimeout has passed.
func (c *caller) cancel(j *trackedJob) {
	if j.acceptedAt().IsZero() {
		return
	}
	j.mu.Lock()
	j.cancelSent, j.cancelSentAt = true, time.Now()
	j.mu.Unlock()
	for end := time.Now().Add(drainTimeout); time.Now().Before(end); c.sleepAbout(150 * time.Millisecond) {
		status, _ := c.call(c.anyInstance(), http.MethodDelete, j.id, nil)
		if status == http.StatusOK || status == http.StatusGone {
			j.mu.Lock()
			j.cancelledAt = time.Now()
			j.mu.Unlock()
			return
		}
	}
	c.deployment.addFinding("job %s: no response to its cancellation for %v", j.id, drainTimeout)
}

// checkState fetches the state of a job once and checks it. It reports whether
// there is nothing left to wait for: the job has ended or was not accepted.
func (c *caller) checkState(j *trackedJob) bool {
	accepted := j.acceptedAt()
	if accepted.IsZero() {
		return true
	}
	status, state := c.call(c.anyInstance(), http.MethodGet, j.id, nil)
	j.mu.Lock()
	defer j.mu.Unlock()
	switch {
	case status == http.StatusGone && time.Since(accepted) > visibleBound:
		if !j.lost {
			c.deployment.addFinding("job %s: not found %v after its acknowledgement at %s", j.id, time.Since(accepted), accepted.UTC().Format(time.RFC3339Nano))
		}
		j.lost = true
		return true
	case status != http.StatusOK:
		return false
	case j.completed && state != "completed":
		c.deployment.addFinding("job %s: reported as %s after it was reported as completed", j.id, state)
	case state == "failed" && j.crashing && c.deployment.cluster.Crashes(j.id+".0.0.0") >= minCrashes:
		return true
	case state == "completed" && j.crashing:
		c.deployment.addFinding("job %s: reported as completed although its task crashes its workers", j.id)
		return true
	case state == "failed", state == "aborted" && !j.cancelSent:
		c.deployment.addFinding("job %s: reported as %s without cause", j.id, state)
		return true
	}
	if state == "completed" && !j.completed {
		j.completed = true
		c.checkCompleted(j)
	}
	return state == "completed" || state == "aborted"
}

// checkCompleted requires that all tasks of a job that was reported as completed
// have ended.
func (c *caller) checkCompleted(j *trackedJob) {
	for step, tasks := range j.tasks {
		for n := range tasks {
			if name := fmt.Sprintf("%s.0.%d.%d", j.id, step, n); c.deployment.cluster.Completions(name) == 0 {
				c.deployment.addFinding("job %s: reported as completed, but %s has not ended", j.id, name)
			}
		}
	}
}
