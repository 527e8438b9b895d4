package jobs

import (
	"net/http"
	"time"

	"gooseberryreel/internal/errs"
	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/placement"
	"gooseberryreel/internal/remote"
)

// SubmitRequest is the submission of a job under a syntactically valid id.
type SubmitRequest struct {
	ID     string
	Name   string
	Urgent bool
	// IssuedMS is the time in the id, in Unix milliseconds.
	IssuedMS int64
}

// Reply is the immediate result of a request, which may have to wait for a
// JobUpdate.
type Reply struct {
	Job     *pb.Job
	Failure *errs.Error
	// Wait reports that the request was accepted and that the caller must wait for
	// a JobUpdate.
	Wait bool
	// unrecorded reports that a worker confirmed the start of a job that is not in
	// the control stream, so that another instance must hold a copy of it.
	unrecorded bool
}

const stepSubmit = "submit job"

// Submit accepts a job into its queue, or returns the reason why not. A job that
// fits no worker ends as unschedulable. A known id returns the existing job.
func (c *Core) Submit(r SubmitRequest, now time.Time) Reply {
	if !c.active {
		return Reply{Failure: errs.New(stepSubmit, "", "this instance does not own the job partition").WithRetry()}
	}
	if reply, known := c.repeatedSubmit(r); known {
		return reply
	}
	if c.view.Config == nil {
		return Reply{Failure: errs.New(stepSubmit, "", "no configuration yet").WithRetry()}
	}
	decl := c.view.Config.Jobs[r.Name]
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
	if reason := c.unschedulableReason(decl, now); reason != "" {
		// The job is recorded, so that later look-ups find the reason.
		c.jobs[r.ID] = j
		c.end(j, pb.JobState_JOB_STATE_UNSCHEDULABLE, reason, now)
		c.appendRecord(j)
		return Reply{Job: cloneJob(j.rec), Wait: c.view.LogReadable}
	}
	// If the id was issued before the takeover, an earlier owner may have started
	// the job while the control stream could not be read.
	j.predatesTakeover = r.IssuedMS <= c.tookOverAt.Add(maxClockSkew).UnixMilli()
	c.jobs[r.ID] = j
	c.setState(j, pb.JobState_JOB_STATE_QUEUED, "submitted")
	c.enqueue(j, false)
	c.appendRecord(j)
	return Reply{Job: cloneJob(j.rec), Wait: true}
}

// repeatedSubmit returns the reply to a submission whose id is in use or may have
// been used by a dropped job. The second result is false for a new id.
func (c *Core) repeatedSubmit(r SubmitRequest) (Reply, bool) {
	j := c.jobs[r.ID]
	rec := c.recorded[r.ID]
	if j != nil {
		rec = j.rec
	}
	if rec == nil {
		if r.IssuedMS != 0 && r.IssuedMS <= c.newestDroppedMS-maxClockSkew.Milliseconds() {
			return Reply{Failure: errs.New(stepSubmit, "", "id %s is too old to determine whether its job ran", r.ID).WithStatus(http.StatusGone)}, true
		}
		return Reply{}, false
	}
	if rec.Name != r.Name && rec.Name != "" {
		return Reply{Failure: errs.New(stepSubmit, "", "id %s is in use for job %q", r.ID, rec.Name).WithStatus(http.StatusConflict)}, true
	}
	return Reply{Job: cloneJob(rec), Wait: c.recorded[r.ID] == nil}, true
}

// admit returns why a job can't be accepted now, nil if it can. Batch jobs are
// refused while the log can't be read, since they could not be recorded.
func (c *Core) admit(r SubmitRequest, decl *pb.BatchJob, urgent bool, now time.Time) *errs.Error {
	switch {
	case c.view.Leaving:
		return errs.New(stepSubmit, "", "this instance is leaving").WithRetry()
	case !c.view.MayAct:
		return errs.New(stepSubmit, "", "the owner has no permission to start work now").WithRetry()
	case !c.view.LogReadable && !urgent:
		return errs.New(stepSubmit, "", "the platform's log can't be read, so batch jobs can't be recorded").WithRetry()
	case r.IssuedMS > now.Add(maxClockSkew).UnixMilli():
		return errs.New(stepSubmit, "", "id %s is ahead of the clock", r.ID).WithStatus(http.StatusBadRequest)
	case c.urgent.Len()+c.batch.Len() >= c.opts.maxQueued:
		return errs.New(stepSubmit, "", "%d jobs are queued, which is the limit", c.opts.maxQueued).WithRetry().WithStatus(http.StatusTooManyRequests)
	}
	limit := int(c.view.Config.Teams[decl.Team].GetMaxQueuedJobs())
	if limit > 0 && c.teamQueued[decl.Team] >= limit {
		return errs.New(stepSubmit, "", "team %q has %d queued jobs, which is its limit", decl.Team, limit).WithRetry().WithStatus(http.StatusTooManyRequests)
	}
	return nil
}

// unschedulableReason returns why a job can never be placed, empty if it fits its
// team's quota and at least one empty worker. Without listed workers that is unknown,
// and it returns empty.
func (c *Core) unschedulableReason(decl *pb.BatchJob, now time.Time) string {
	needs := remote.ResourcesFrom(decl.Needs)
	if team := c.view.Config.Teams[decl.Team]; team.GetQuota() != nil && !needs.Fits(remote.ResourcesFrom(team.Quota)) {
		return "needs more than the quota of team " + decl.Team
	}
	reserved, _ := c.targetsByWorker(now)
	var all []placement.Worker
	for _, inst := range c.view.Workers {
		all = append(all, placement.Worker{Capacity: inst.Capacity, Reserved: reserved[inst.Name]})
	}
	if len(all) > 0 && !placement.FitsAny(all, needs) {
		return "needs more than any worker has"
	}
	return ""
}

// Cancel requests the cancellation of a job in constant time. The reply has Wait
// set if the change is not recorded yet.
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
		c.markDirty(j)
		j.attempt.retryAt = time.Time{}
		c.advance(j, now)
	}
	c.appendRecord(j)
	return Reply{Job: cloneJob(j.rec), Wait: true}
}

// Get returns the current state of a job, or a failure if the id is unknown.
func (c *Core) Get(id string) Reply {
	if j := c.jobs[id]; j != nil {
		return Reply{Job: cloneJob(j.rec)}
	}
	if rec := c.recorded[id]; rec != nil {
		return Reply{Job: cloneJob(rec)}
	}
	return Reply{Failure: errs.New("look up job", "", "no job has the id %s", id).WithStatus(http.StatusNotFound)}
}
