package api

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/gorilla/mux"

	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/requestid"
)

// maxJobBytes bounds the body of a job submission.
const maxJobBytes = 4 << 10

// JobRequest is the body of a job submission.
type JobRequest struct {
	Job    string `json:"job"`
	ID     string `json:"id,omitempty"`
	Urgent bool   `json:"urgent,omitempty"`
}

// JobBody is the response body for the state of a job.
type JobBody struct {
	ID          string `json:"id"`
	Job         string `json:"job"`
	Team        string `json:"team"`
	State       string `json:"state"`
	Urgent      bool   `json:"urgent"`
	Attempt     int32  `json:"attempt"`
	Worker      string `json:"worker,omitempty"`
	Checkpoint  string `json:"checkpoint,omitempty"`
	Reason      string `json:"reason,omitempty"`
	SubmittedMs int64  `json:"submitted_ms"`
	EndedMs     int64  `json:"ended_ms,omitempty"`
	Evictions   int32  `json:"evictions"`
}

func (s *server) postJob(w http.ResponseWriter, r *http.Request) {
	body, f := readBody(w, r, maxJobBytes)
	if f != nil {
		s.writeError(w, "", f)
		return
	}
	var job JobRequest
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&job); err != nil {
		s.writeError(w, "", newFailure("body", http.StatusBadRequest, "job: %v", err))
		return
	}
	if _, err := decoder.Token(); err != io.EOF {
		s.writeError(w, "", newFailure("body", http.StatusBadRequest, "job: data after the JSON object"))
		return
	}
	if job.Job == "" || len(job.Job) > maxNameBytes {
		s.writeError(w, "", newFailure("body", http.StatusBadRequest, "job: name has %d bytes, want 1 to %d", len(job.Job), maxNameBytes))
		return
	}
	if job.ID != "" {
		if _, err := requestid.Parse(job.ID); err != nil {
			s.writeError(w, printableID(job.ID), newFailure("body", http.StatusBadRequest, "id: %v", err))
			return
		}
	}
	reply := s.opts.Runner.Submit(r.Context(), &pb.SubmitJobRequest{
		Id: job.ID, Name: job.Job, Urgent: job.Urgent, Hlc: s.opts.Events.Clock().Now(),
	})
	s.writeJobReply(w, job.ID, http.StatusAccepted, reply)
}

func (s *server) getJob(w http.ResponseWriter, r *http.Request) {
	if req := s.parseJobID(w, r); req != nil {
		s.writeJobReply(w, req.GetId(), http.StatusOK, s.opts.Runner.Get(r.Context(), req))
	}
}

func (s *server) deleteJob(w http.ResponseWriter, r *http.Request) {
	if req := s.parseJobID(w, r); req != nil {
		s.writeJobReply(w, req.GetId(), http.StatusOK, s.opts.Runner.Cancel(r.Context(), req))
	}
}

// parseJobID returns a request with the job id from the path. If the id is
// invalid, it writes an error response and returns nil.
func (s *server) parseJobID(w http.ResponseWriter, r *http.Request) *pb.JobIdRequest {
	id := mux.Vars(r)["id"]
	if _, err := requestid.Parse(id); err != nil {
		s.writeError(w, printableID(id), newFailure("job id", http.StatusBadRequest, "%v", err))
		return nil
	}
	return &pb.JobIdRequest{Id: id, Hlc: s.opts.Events.Clock().Now()}
}

func (s *server) writeJobReply(w http.ResponseWriter, id string, status int, reply *pb.JobReply) {
	s.setEventClock(w, reply.GetHlc())
	if f := reply.GetFailure(); f != nil {
		if job := reply.GetJob(); job != nil {
			id = job.GetId()
		}
		s.writeError(w, id, f)
		return
	}
	job := reply.GetJob()
	writeJSON(w, status, JobBody{
		ID: job.GetId(), Job: job.GetName(), Team: job.GetTeam(), State: stateName(job.GetState()),
		Urgent: job.GetUrgent(), Attempt: job.GetAttempt(), Worker: job.GetWorker(),
		Checkpoint: job.GetCheckpoint(), Reason: job.GetReason(),
		SubmittedMs: job.GetSubmittedMs(), EndedMs: job.GetEndedMs(), Evictions: job.GetEvictions(),
	})
}

func stateName(s pb.JobState) string {
	return strings.ToLower(strings.TrimPrefix(s.String(), "JOB_STATE_"))
}
