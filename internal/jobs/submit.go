package jobs

import (
	"net/http"
	"time"

	"gooseberryreel/internal/errs"
	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/placement"
	"gooseberryreel/internal/remote"
)

// SubmitRequest asks for a job under an id that passed the syntax checks.
type SubmitRequest struct {
	ID     string
	Name   string
	Urgent bool
	// IssuedMS is the time in the id.
	IssuedMS int64
}

// Reply answers a call at once, or says that an Answer will follow.
type Reply struct {
	Job     *pb.Job
	Failure *errs.Error
	// Wait says that the job was taken and the caller waits for an Answer.
	Wait bool
	// unrecorded says that a worker confirmed the start of a job that is not in
	// the stream, so that other instances must hold a copy of it.
	unrecorded bool
}

const stepSubmit = "submit job"

// Submit takes a job.
func (c *Core) Submit(r SubmitRequest, now time.Time) Reply {
	if !c.active {
		return Reply{Failure: errs.New(stepSubmit, "", "this instance does not own the job partition").WithRetry()}
	}
	if reply, known := c.repeated(r); known {
		return reply
	}
	if c.sit.Config == nil {
		return Reply{Failure: errs.New(stepSubmit, "", "no configuration yet").WithRetry()}
	}
	decl := c.sit.Config.Jobs[r.Name]
	if decl == nil {
		return Reply{Failure: errs.New(stepSubmit, "", "job %q is not declared", r.Name).WithStatus(http.StatusNotFound)}
	}
	urgent := r.Urgent || decl.Urgent
	if f := c.admit(r, decl, urgent, now); f != nil {
		return Reply{Failure: f}
	}
	j := newJob(&pb.Job{
		Id:          r.ID,
		Name:        r.Name,
		Team:        decl.Team,
		Urgent:      urgent,
		SubmittedMs: now.UnixMilli(),
		Needs:       decl.Needs,
		Workload:    decl.Workload,
	})
	if reason := c.impossible(decl, now); reason != "" {
		// Recorded, so that later look-ups find the reason.
		c.jobs[r.ID] = j
		c.end(j, pb.JobState_JOB_STATE_UNSCHEDULABLE, reason, now)
		c.flush(j)
		return Reply{Job: cloneJob(j.rec), Wait: c.sit.LogReadable}
	}
	// An earlier owner may have started a job of this id while the stream could
	// not be read.
	j.predates = r.IssuedMS <= c.tookOverAt.Add(clockSkew).UnixMilli()
	c.jobs[r.ID] = j
	c.setState(j, pb.JobState_JOB_STATE_QUEUED, "submitted")
	c.enqueue(j, false)
	c.flush(j)
	return Reply{Job: cloneJob(j.rec), Wait: true}
}

// repeated answers a submit whose id is known or was known.
func (c *Core) repeated(r SubmitRequest) (Reply, bool) {
	j := c.jobs[r.ID]
	rec := c.recorded[r.ID]
	if j != nil {
		rec = j.rec
	}
	if rec == nil {
		if r.IssuedMS != 0 && r.IssuedMS <= c.forgottenMS-clockSkew.Milliseconds() {
			return Reply{Failure: errs.New(stepSubmit, "", "id %s is too old to tell whether its job ran", r.ID).WithStatus(http.StatusGone)}, true
		}
		return Reply{}, false
	}
	if rec.Name != r.Name && rec.Name != "" {
		return Reply{Failure: errs.New(stepSubmit, "", "id %s is in use for job %q", r.ID, rec.Name).WithStatus(http.StatusConflict)}, true
	}
	return Reply{Job: cloneJob(rec), Wait: c.recorded[r.ID] == nil}, true
}

// admit applies the limits and the rule for an unreadable stream.
func (c *Core) admit(r SubmitRequest, decl *pb.BatchJob, urgent bool, now time.Time) *errs.Error {
	switch {
	case c.sit.Leaving:
		return errs.New(stepSubmit, "", "this instance is leaving").WithRetry()
	case !c.sit.MayAct:
		return errs.New(stepSubmit, "", "the owner has no permission to start work now").WithRetry()
	case !c.sit.LogReadable && !urgent:
		return errs.New(stepSubmit, "", "the platform's log can't be read, so batch jobs can't be recorded").WithRetry()
	case r.IssuedMS > now.Add(clockSkew).UnixMilli():
		return errs.New(stepSubmit, "", "id %s is ahead of the clock", r.ID).WithStatus(http.StatusBadRequest)
	case c.urgent.Len()+c.batch.Len() >= c.opts.maxQueued:
		return errs.New(stepSubmit, "", "%d jobs are queued, which is the limit", c.opts.maxQueued).WithRetry().WithStatus(http.StatusTooManyRequests)
	}
	limit := int(c.sit.Config.Teams[decl.Team].GetMaxQueuedJobs())
	if limit > 0 && c.teamQueued[decl.Team] >= limit {
		return errs.New(stepSubmit, "", "team %q has %d queued jobs, which is its limit", decl.Team, limit).WithRetry().WithStatus(http.StatusTooManyRequests)
	}
	return nil
}

// impossible returns why a job fits no worker, empty if one could hold it.
func (c *Core) impossible(decl *pb.BatchJob, now time.Time) string {
	needs := remote.ResourcesFrom(decl.Needs)
	if team := c.sit.Config.Teams[decl.Team]; team.GetQuota() != nil && !needs.Fits(remote.ResourcesFrom(team.Quota)) {
		return "needs more than the quota of team " + decl.Team
	}
	reserved, _ := c.targetsByWorker(now)
	var all []placement.Worker
	for _, inst := range c.sit.Workers {
		all = append(all, placement.Worker{Capacity: inst.Capacity, Reserved: reserved[inst.Name]})
	}
	if len(all) > 0 && !placement.FitsAny(all, needs) {
		return "needs more than any worker has"
	}
	return ""
}

// Cancel cancels a job in constant time. The reply says Wait if the caller
// waits for the recorded change.
func (c *Core) Cancel(id string, now time.Time) Reply {
	if !c.active {
		return Reply{Failure: errs.New("cancel job", "", "this instance does not own the job partition").WithRetry()}
	}
	j := c.jobs[id]
	if j == nil {
		return c.Get(id)
	}
	if terminal(j.rec.State) || j.rec.CancelRequested {
		return Reply{Job: cloneJob(j.rec), Wait: j.dirty || j.recording}
	}
	j.rec.CancelRequested = true
	if j.rec.State == pb.JobState_JOB_STATE_QUEUED {
		c.end(j, pb.JobState_JOB_STATE_CANCELLED, "cancelled by the caller", now)
	} else {
		c.event(j.rec, "cancel_requested", "")
		c.touch(j)
		j.attempt.retryAt = time.Time{}
		c.drive(j, now)
	}
	c.flush(j)
	return Reply{Job: cloneJob(j.rec), Wait: true}
}

// Get returns a job.
func (c *Core) Get(id string) Reply {
	if j := c.jobs[id]; j != nil {
		return Reply{Job: cloneJob(j.rec)}
	}
	if rec := c.recorded[id]; rec != nil {
		return Reply{Job: cloneJob(rec)}
	}
	return Reply{Failure: errs.New("look up job", "", "no job has the id %s", id).WithStatus(http.StatusNotFound)}
}
