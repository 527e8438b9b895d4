package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	callTimeout = 3 * time.Second
	// refusedTries is how often a caller comes back after a refusal.
	refusedTries = 4
	// cancelBound and visibleBound are the bounds of the deployments for a
	// cancellation and for the first look at a job; disturbances stretch them,
	// so both are tripled here.
	cancelBound  = 9 * time.Second
	visibleBound = 9 * time.Second
	// drainLimit only ends a run that hangs.
	drainLimit = 90 * time.Second
)

// caller submits jobs over connections that it keeps open, and follows them.
type caller struct {
	site   *site
	number int
	rng    *rand.Rand
	client *http.Client
}

func newCaller(s *site, n int) *caller {
	return &caller{
		site: s, number: n, rng: rand.New(rand.NewPCG(s.opts.Seed, uint64(100+n))),
		client: &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 2}},
	}
}

// call makes a request at an instance; status 0 says that no answer arrived.
func (c *caller) call(instance int, method, id string, body any) (status int, state string) {
	data, err := json.Marshal(body)
	if err != nil {
		c.site.find("the soak can't encode a body: %v", err)
		return 0, ""
	}
	req, err := http.NewRequest(method, "http://"+c.site.processes[instance].callers.Address+prefix+id, bytes.NewReader(data))
	if err != nil {
		return 0, ""
	}
	req.Host = queueHost
	resp, err := c.client.Do(req)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	var out struct{ State string }
	raw, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode == http.StatusOK && json.Unmarshal(raw, &out) != nil {
		return 0, ""
	}
	return resp.StatusCode, out.State
}

func (c *caller) anyInstance() int { return c.rng.IntN(len(c.site.processes)) }

func (c *caller) pause(mean time.Duration) {
	time.Sleep(time.Duration(c.rng.ExpFloat64() * float64(mean)))
}

// run submits jobs until the context ends and follows each a little.
func (c *caller) run(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		j := c.newJob(n)
		c.submit(j)
		if c.rng.Float64() < 0.3 && !j.acceptedAt().IsZero() {
			// Clients repeat a request seconds after its answer at times.
			c.pause(300 * time.Millisecond)
			c.call(c.anyInstance(), http.MethodPost, j.id, j.body())
		}
		if j.lasting || c.rng.Float64() < 0.15 {
			c.pause(time.Second)
			c.cancel(j)
		}
		c.look(j)
		c.pause(200 * time.Millisecond)
	}
}

func (c *caller) newJob(n int) *soakJob {
	j := &soakJob{id: fmt.Sprintf("%04x%012x", c.number, n+1), lasting: c.rng.Float64() < 0.1}
	steps := 1 + c.rng.IntN(3)
	if j.lasting {
		steps = 1
	}
	for range steps {
		j.tasks = append(j.tasks, 1+c.rng.IntN(4))
	}
	c.site.mu.Lock()
	defer c.site.mu.Unlock()
	c.site.jobs[j.id] = j
	return j
}

func (j *soakJob) body() map[string]any {
	var steps []map[string]any
	for n, tasks := range j.tasks {
		step := map[string]any{"Count": tasks, "Cpu": 500, "MemMb": 256, "EstimateMs": 200}
		if j.lasting {
			step["LongRunning"] = true
		}
		if n > 0 {
			step["After"] = []int{n - 1}
		}
		steps = append(steps, step)
	}
	return map[string]any{"Spec": "payload", "Phases": steps}
}

func (j *soakJob) acceptedAt() time.Time {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.accepted
}

// submit hands a job in. It comes back a few times after a refusal, and until
// there is an answer otherwise, each time at another instance.
func (c *caller) submit(j *soakJob) {
	refused, unknown := 0, false
	for end := time.Now().Add(drainLimit); time.Now().Before(end); {
		status, _ := c.call(c.anyInstance(), http.MethodPost, j.id, j.body())
		switch status {
		case http.StatusOK:
			j.mu.Lock()
			j.accepted = time.Now()
			j.mu.Unlock()
			return
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
			if refused++; refused >= refusedTries && !unknown {
				j.mu.Lock()
				j.refused = true
				j.mu.Unlock()
				return
			}
		default:
			unknown = true
		}
		c.pause(150 * time.Millisecond)
	}
	c.site.find("job %s: no answer to its submission for %v", j.id, drainLimit)
}

// cancel cancels an accepted job and comes back until that is acknowledged.
func (c *caller) cancel(j *soakJob) {
	if j.acceptedAt().IsZero() {
		return
	}
	j.mu.Lock()
	j.cancels = true
	j.mu.Unlock()
	for end := time.Now().Add(drainLimit); time.Now().Before(end); c.pause(150 * time.Millisecond) {
		status, _ := c.call(c.anyInstance(), http.MethodDelete, j.id, nil)
		if status == http.StatusOK || status == http.StatusGone {
			j.mu.Lock()
			j.cancelled = time.Now()
			j.mu.Unlock()
			return
		}
	}
	c.site.find("job %s: no answer to its cancellation for %v", j.id, drainLimit)
}

// look asks for the state of a job once and checks it. It reports whether the
// job is at its end.
func (c *caller) look(j *soakJob) bool {
	accepted := j.acceptedAt()
	if accepted.IsZero() {
		return true
	}
	status, state := c.call(c.anyInstance(), http.MethodGet, j.id, nil)
	j.mu.Lock()
	defer j.mu.Unlock()
	switch {
	case status == http.StatusGone && time.Since(accepted) > visibleBound:
		c.site.find("job %s: unknown %v after its acknowledgement", j.id, time.Since(accepted))
	case status != http.StatusOK:
		return false
	case j.completed && state != "completed":
		c.site.find("job %s: shown as %s after it was shown as completed", j.id, state)
	case state == "failed", state == "aborted" && !j.cancels:
		c.site.find("job %s: shown as %s without cause", j.id, state)
		return true
	}
	if state == "completed" && !j.completed {
		j.completed = true
		c.checkDone(j)
	}
	return state == "completed" || state == "aborted"
}

// checkDone requires that all tasks of a job shown as completed have ended.
func (c *caller) checkDone(j *soakJob) {
	for step, tasks := range j.tasks {
		for n := range tasks {
			if name := fmt.Sprintf("%s.0.%d.%d", j.id, step, n); c.site.runs.Completions(name) == 0 {
				c.site.find("job %s: shown as completed, and %s has not ended", j.id, name)
			}
		}
	}
}
