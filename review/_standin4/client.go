package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// client calls instances, another one after each failure, as the load balancer would.
type client struct {
	p    *platform
	list []*process
	c    *http.Client
}

func newClient(p *platform, list []*process) *client {
	return &client{p, list, &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
}

func (c *client) call(i *process, method, path string, body []byte) (int, []byte) {
	req, err := http.NewRequest(method, "http://"+i.http+path, bytes.NewReader(body))
	if err != nil {
		fatal("request: %v", err)
	}
	req.Host = queueHost
	req.Header.Set("X-Gooseberryreel-Deadline-Ms", "3000")
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.c.Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, data
}

// submit hands a job in until it is accepted. It returns false if no attempt was accepted.
func (c *client) submit(j *job) bool {
	c.p.mu.Lock()
	c.p.jobs[j.id] = j
	c.p.mu.Unlock()
	in := map[string]any{"Spec": j.id, "Phases": j.steps}
	if j.times > 0 {
		in["Times"], in["StartAtMs"], in["IntervalMs"] = j.times, j.startAt, j.interval
	}
	body, err := json.Marshal(in)
	if err != nil {
		fatal("encode: %v", err)
	}
	for n := range 8 {
		i := c.list[rand.IntN(len(c.list))]
		status, data := c.call(i, http.MethodPost, j.prefix+j.id, body)
		c.p.logf("POST %s at %s, %d bytes: %d %s", j.id, i.name, len(body), status, strings.TrimSpace(string(data)))
		if status >= 200 && status < 300 {
			c.p.mu.Lock()
			j.acceptedAt = time.Now()
			c.p.mu.Unlock()
			return true
		}
		time.Sleep(time.Duration(200*(n+1)) * time.Millisecond)
	}
	return false
}

func (c *client) cancel(j *job) bool {
	c.p.mu.Lock()
	j.cancelSent = true
	c.p.mu.Unlock()
	for n := range 8 {
		i := c.list[rand.IntN(len(c.list))]
		status, _ := c.call(i, http.MethodDelete, j.prefix+j.id, nil)
		c.p.logf("DELETE %s at %s: %d", j.id, i.name, status)
		if status >= 200 && status < 300 || status == http.StatusGone {
			c.p.mu.Lock()
			j.cancelledAt = time.Now()
			c.p.mu.Unlock()
			return true
		}
		time.Sleep(time.Duration(200*(n+1)) * time.Millisecond)
	}
	return false
}

// state asks for the state of a job: "" without an answer, "unknown" after 410.
func (c *client) state(j *job) string {
	for range 4 {
		i := c.list[rand.IntN(len(c.list))]
		status, data := c.call(i, http.MethodGet, j.prefix+j.id, nil)
		var out struct{ State string }
		switch {
		case status == http.StatusGone:
			return "unknown"
		case status == http.StatusOK && json.Unmarshal(data, &out) == nil:
			c.p.mu.Lock()
			changed := j.state != out.State
			j.state, j.stateAt = out.State, time.Now()
			c.p.mu.Unlock()
			if changed {
				c.p.logf("GET %s at %s: %s", j.id, i.name, out.State)
			}
			return out.State
		}
		time.Sleep(100 * time.Millisecond)
	}
	return ""
}

func newID(r *rand.Rand) string { return fmt.Sprintf("%016x", r.Uint64()) }
