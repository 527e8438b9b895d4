package load

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"gooseberryreel/internal/history"
)

const (
	jobCallTimeout  = 8 * time.Second
	jobPollInterval = 250 * time.Millisecond
)

// Job is a job to submit.
type Job struct {
	Name   string `json:"job"`
	ID     string `json:"id,omitempty"`
	Urgent bool   `json:"urgent,omitempty"`
}

// JobStatus is the state of a job as reported by an entry instance.
type JobStatus struct {
	ID        string `json:"id"`
	State     string `json:"state"`
	Attempt   int    `json:"attempt"`
	Worker    string `json:"worker"`
	Reason    string `json:"reason"`
	Evictions int    `json:"evictions"`
}

// Ended reports whether the state is final.
func (s JobStatus) Ended() bool {
	switch s.State {
	case "done", "failed", "cancelled", "unschedulable":
		return true
	}
	return false
}

// SubmitJob submits a job and returns its state.
func (c *Client) SubmitJob(ctx context.Context, entry Entry, job Job) (JobStatus, CallResult) {
	body, err := json.Marshal(job)
	if err != nil {
		return JobStatus{}, CallResult{Outcome: history.OutcomeNotRun, Err: err}
	}
	return c.jobCall(ctx, http.MethodPost, "http://"+entry.Address+"/v1/jobs", job.ID, body)
}

// CancelJob requests the cancellation of a job and returns its state.
func (c *Client) CancelJob(ctx context.Context, entry Entry, id string) (JobStatus, CallResult) {
	return c.jobCall(ctx, http.MethodDelete, "http://"+entry.Address+"/v1/jobs/"+id, id, nil)
}

// GetJob returns the state of a job.
func (c *Client) GetJob(ctx context.Context, entry Entry, id string) (JobStatus, CallResult) {
	return c.jobCall(ctx, http.MethodGet, "http://"+entry.Address+"/v1/jobs/"+id, id, nil)
}

// jobCall makes a call that returns the state of a job; id may be empty if it is unknown.
func (c *Client) jobCall(ctx context.Context, method, url, id string, body []byte) (JobStatus, CallResult) {
	ctx, cancel := context.WithTimeout(ctx, jobCallTimeout)
	defer cancel()
	call, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return JobStatus{}, CallResult{Outcome: history.OutcomeNotRun, Err: err}
	}
	call.Header.Set("Content-Type", "application/json")
	result := c.do(call)
	if result.Outcome != history.OutcomeOK {
		return JobStatus{}, result
	}
	status, err := parseJob(result.Body)
	if err == nil && id != "" && status.ID != id {
		err = errors.Errorf("the answer is about job %.100q, want %s", status.ID, id)
		c.wrongJobs.Add(1)
	}
	if err != nil {
		result.Outcome, result.Err = history.OutcomeUnknown, err
		return JobStatus{}, result
	}
	return status, result
}

func parseJob(body []byte) (JobStatus, error) {
	var status JobStatus
	err := json.Unmarshal(body, &status)
	return status, errors.Wrap(err, "decode job")
}

// WaitJob polls a job until it ends or done returns true for it, and reports false
// if the context ends before. Failed polls are repeated; next returns the entry
// instance for each poll.
func (c *Client) WaitJob(ctx context.Context, next func() Entry, id string, done func(JobStatus) bool) (JobStatus, bool) {
	var last JobStatus
	for {
		status, result := c.GetJob(ctx, next(), id)
		if result.Outcome == history.OutcomeOK {
			last = status
			if status.Ended() || done(status) {
				return status, true
			}
		}
		select {
		case <-ctx.Done():
			return last, false
		case <-time.After(jobPollInterval):
		}
	}
}

// RecordJob writes the operation of a job, from its submission at start until now,
// to the history.
func (c *Client) RecordJob(entry Entry, id string, start time.Time, outcome string) {
	c.record(history.Operation{
		Client:  c.name + "@" + entry.Address,
		Kind:    history.KindJob,
		ID:      id,
		Start:   start.UnixNano(),
		End:     time.Now().UnixNano(),
		Outcome: outcome,
	})
}

// JobOutcome returns the outcome of an accepted job for the history.
func JobOutcome(status JobStatus, ended bool) string {
	switch {
	case !ended:
		return history.OutcomeUnknown
	case status.State == "done":
		return history.OutcomeOK
	case status.State == "unschedulable":
		return history.OutcomeNotRun
	}
	return history.OutcomeRefused
}
