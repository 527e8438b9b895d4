package soak

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"
)

// pendingBound is the age from which a job without a start must be among the pending
// jobs of its queue: three times that of the deployments, since faults cause delays.
const pendingBound = 15 * time.Second

// stateNames are the states of a job that callers may see.
var stateNames = []string{"queued", "running", "completed", "failed", "aborted"}

// answer is the body of a response with status 200.
type answer struct {
	State   *string
	Pending *int64
}

// checkAnswer returns the body of a complete response to a call, which must be whole
// and the answer to a call of that kind.
func (c *caller) checkAnswer(method, id string, raw []byte) answer {
	var a answer
	err := json.Unmarshal(raw, &a)
	asksState, asksPending := method == http.MethodGet && id != "", method == http.MethodGet && id == ""
	whole := err == nil && (a.State != nil) == asksState && (a.Pending != nil) == asksPending &&
		(a.State == nil || slices.Contains(stateNames, *a.State)) && (a.Pending == nil || *a.Pending >= 0)
	if !whole {
		c.deployment.addFinding("%s %q: the answer is not whole or not the caller's: %.200q", method, id, raw)
		return answer{}
	}
	return a
}

// checkOthers sometimes asks for a job that nobody has submitted, and for the number
// of pending jobs. Its draws leave the caller's jobs as they are.
func (c *caller) checkOthers(n int) {
	rng := rand.New(rand.NewPCG(c.deployment.opts.Seed, uint64(c.number)<<32|uint64(n)))
	instance := rng.IntN(len(c.deployment.processes))
	if rng.IntN(5) == 0 {
		c.checkUnknown(instance, n)
	}
	if rng.IntN(3) == 0 {
		c.checkPending(instance)
	}
}

// checkUnknown requires that a job that nobody has submitted is not found, or that no
// answer is given.
func (c *caller) checkUnknown(instance, n int) {
	id := fmt.Sprintf("f%03x%012x", c.number, n+1)
	status, a := c.ask(instance, http.MethodGet, id, nil)
	switch status {
	case 0, http.StatusGone, http.StatusServiceUnavailable, http.StatusTooManyRequests:
	case http.StatusOK:
		if a.State != nil {
			c.deployment.addFinding("job %s: reported as %s although nobody has submitted it", id, *a.State)
		}
	default:
		c.deployment.addFinding("job %s: status %d, but nobody has submitted it", id, status)
	}
}

// checkPending requires that at least half of the jobs that have waited for over
// pendingBound are counted as pending.
func (c *caller) checkPending(instance int) {
	asked := time.Now()
	status, a := c.ask(instance, http.MethodGet, "", nil)
	if status != http.StatusOK || a.Pending == nil {
		return
	}
	waiting := c.deployment.jobsWithoutStart(asked.Add(-pendingBound))
	c.deployment.pendingAnswers.Add(1)
	if int(*a.Pending)*2 < len(waiting) {
		c.deployment.addFinding("instance %d reports %d pending jobs, but %d have waited for over %v: %s",
			instance, *a.Pending, len(waiting), pendingBound, strings.Join(waiting, " "))
	}
}

// jobsWithoutStart returns the jobs accepted before a time that are not cancelled and of
// which no task has started until now.
func (d *deployment) jobsWithoutStart(acceptedBefore time.Time) []string {
	started := make(map[string]bool)
	for _, start := range d.cluster.Starts() {
		id, _, _ := strings.Cut(start.Task, ".")
		started[id] = true
	}
	d.reportMu.Lock()
	jobs := slices.Collect(maps.Values(d.jobs))
	d.reportMu.Unlock()
	var waiting []string
	for _, j := range jobs {
		j.mu.Lock()
		if !j.accepted.IsZero() && j.accepted.Before(acceptedBefore) && !j.cancelSent && !started[j.id] {
			waiting = append(waiting, j.id)
		}
		j.mu.Unlock()
	}
	slices.Sort(waiting)
	return waiting
}
