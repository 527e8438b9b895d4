package jobs

import (
	"container/list"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"gooseberryreel/internal/events"
	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/remote"
)

// job is the owner's state of a job that has not ended, or whose final state is
// not recorded yet.
type job struct {
	rec *pb.Job
	// recording reports that a record of the job was appended and not yet read
	// back. There is at most one such record, so that records can't be reordered.
	// dirty reports that rec has changed since the last append.
	recording bool
	dirty     bool
	// predatesTakeover reports that an earlier owner may have started the job.
	predatesTakeover bool
	elem             *list.Element // position in queue, nil if not queued
	queue            *list.List

	attempt attemptState
}

// attemptState is what the owner knows about the newest attempt of a job.
type attemptState struct {
	// call is the sequence number of the task call in flight, 0 if there is none.
	call    uint64
	retryAt time.Time
	delay   time.Duration
	// sent reports that the attempt may be running. startUnknown reports that a
	// start call ended without an answer.
	sent         bool
	startUnknown bool
	// copying reports that a copy of the unrecorded assignment is being sent to the
	// other instances, copied that one of them may hold it, and copyStored that one
	// does or that there are no others.
	copying, copied, copyStored bool
	// refused reports that the worker refused the newest start, although an
	// earlier start of the attempt may have taken effect.
	refused bool
	// confirmSeq is the newest sequence number at the time at which the worker
	// confirmed the start, 0 before that. The result of a status call with a
	// higher number must list the attempt.
	confirmSeq uint64
	startedAt  time.Time
	// evict is the reason for an eviction in progress, empty if there is none.
	evict          string
	checkpoints    int  // checkpoint calls of the eviction
	checkpointOver bool // no further checkpoint call is to be made
	// stopSeq is the newest sequence number at the time at which the worker
	// answered a stop, 0 before that. If the result of a status call with a
	// higher number lacks the attempt, it has ended.
	stopSeq     uint64
	percent     int // share of CPU time granted by the worker
	wantPercent int // share of CPU time that the attempt is to get
	peak        remote.Resources
}

func newJob(rec *pb.Job) *job { return &job{rec: rec, attempt: newAttempt()} }

func newAttempt() attemptState { return attemptState{percent: 100, wantPercent: 100} }

func (j *job) ref() remote.TaskRef {
	return remote.TaskRef{Job: j.rec.Id, Attempt: int(j.rec.Attempt)}
}

// placed reports whether the job has an attempt that uses capacity of its worker.
func (j *job) placed() bool {
	switch j.rec.State {
	case pb.JobState_JOB_STATE_STARTING, pb.JobState_JOB_STATE_RUNNING, pb.JobState_JOB_STATE_CHECKPOINTING:
		return true
	}
	return false
}

// stopping reports whether the attempt is being cancelled or evicted.
func (j *job) stopping() bool { return j.rec.CancelRequested || j.attempt.evict != "" }

// terminal reports whether a job in the given state has ended.
func terminal(s pb.JobState) bool {
	switch s {
	case pb.JobState_JOB_STATE_DONE, pb.JobState_JOB_STATE_FAILED, pb.JobState_JOB_STATE_CANCELLED, pb.JobState_JOB_STATE_UNSCHEDULABLE:
		return true
	}
	return false
}

func cloneJob(j *pb.Job) *pb.Job { return proto.Clone(j).(*pb.Job) }

// setState changes the state of a job and adds an event to the timeline.
func (c *Core) setState(j *job, s pb.JobState, detail string) {
	j.rec.State = s
	c.event(j.rec, stateName(s), detail)
	c.markDirty(j)
}

// markDirty schedules a changed job for the next append of its record.
func (c *Core) markDirty(j *job) {
	j.dirty = true
	c.toAdvance[j.rec.Id] = j
}

func (c *Core) event(j *pb.Job, kind, detail string) {
	if j.Attempt > 0 {
		detail = fmt.Sprintf("attempt %d: %s", j.Attempt, detail)
	}
	c.out.Events = append(c.out.Events, events.Event{Kind: "job_" + kind, ID: j.Id, Worker: j.Worker, Team: j.Team, Detail: detail})
}

func stateName(s pb.JobState) string {
	switch s {
	case pb.JobState_JOB_STATE_QUEUED:
		return "queued"
	case pb.JobState_JOB_STATE_STARTING:
		return "starting"
	case pb.JobState_JOB_STATE_RUNNING:
		return "running"
	case pb.JobState_JOB_STATE_CHECKPOINTING:
		return "checkpointing"
	case pb.JobState_JOB_STATE_STOPPED:
		return "stopped"
	case pb.JobState_JOB_STATE_DONE:
		return "done"
	case pb.JobState_JOB_STATE_FAILED:
		return "failed"
	case pb.JobState_JOB_STATE_CANCELLED:
		return "cancelled"
	case pb.JobState_JOB_STATE_UNSCHEDULABLE:
		return "unschedulable"
	}
	return "unspecified"
}

// enqueue adds a job to the front or the back of the queue of its class. Jobs that
// are queued again, for instance after an eviction or a failure, go to the front.
func (c *Core) enqueue(j *job, front bool) {
	c.dequeue(j)
	j.queue = c.batch
	if j.rec.Urgent {
		j.queue = c.urgent
	}
	if front {
		j.elem = j.queue.PushFront(j)
	} else {
		j.elem = j.queue.PushBack(j)
	}
	c.teamQueued[j.rec.Team]++
	c.planDue = true
}

// dequeue removes a job from its queue in constant time. It does nothing if the
// job is not queued.
func (c *Core) dequeue(j *job) {
	if j.elem == nil {
		return
	}
	j.queue.Remove(j.elem)
	j.elem = nil
	c.teamQueued[j.rec.Team]--
}

// end moves a job to a terminal state.
func (c *Core) end(j *job, s pb.JobState, reason string, now time.Time) {
	c.dequeue(j)
	j.rec.Reason = reason
	j.rec.EndedMs = now.UnixMilli()
	c.setState(j, s, reason)
}

// appendRecord appends the record of a changed job, unless an earlier record has
// not been read back yet.
func (c *Core) appendRecord(j *job) {
	if !j.dirty || j.recording {
		return
	}
	j.dirty, j.recording = false, true
	c.out.Records = append(c.out.Records, cloneJob(j.rec))
}

// ApplyRecord applies a job record that was read back from the control stream. An
// owner has at most one unread record per job in the stream, so a record of the
// current epoch is the one that this owner appended last.
func (c *Core) ApplyRecord(epoch int64, rec *pb.Job, now time.Time) {
	c.storeRecorded(rec)
	if !c.active || epoch != c.view.Epoch {
		return
	}
	j := c.jobs[rec.Id]
	if j == nil || !j.recording {
		return
	}
	j.recording = false
	c.forgetUnsent(rec)
	c.toAdvance[rec.Id] = j
	c.out.Updates = append(c.out.Updates, JobUpdate{Job: cloneJob(rec), Durable: true})
	if terminal(rec.State) && !j.dirty {
		c.dropJob(j)
		return
	}
	if rec.State == pb.JobState_JOB_STATE_QUEUED {
		c.planDue = true
	}
	c.advance(j, now)
	c.appendRecord(j)
}

// storeRecorded stores a recorded job. If there are more than maxFinished finished
// jobs, it drops the oldest of them.
func (c *Core) storeRecorded(rec *pb.Job) {
	old := c.recorded[rec.Id]
	c.recorded[rec.Id] = rec
	if copied := c.copies[rec.Id]; copied != nil && supersedes(rec, copied) {
		delete(c.copies, rec.Id)
	}
	if !terminal(rec.State) || (old != nil && terminal(old.State)) {
		return
	}
	c.ended = append(c.ended, rec.Id)
	for len(c.ended) > c.opts.maxFinished {
		id := c.ended[0]
		c.ended = c.ended[1:]
		c.newestDroppedMS = max(c.newestDroppedMS, c.recorded[id].GetSubmittedMs())
		delete(c.recorded, id)
	}
}

// dropJob removes the owner's state of a job whose final state is recorded.
func (c *Core) dropJob(j *job) {
	c.dequeue(j)
	delete(c.jobs, j.rec.Id)
	delete(c.toAdvance, j.rec.Id)
}

// assignmentRecorded reports whether the control stream contains the assignment of
// the job's newest attempt to its worker.
func (c *Core) assignmentRecorded(j *job) bool {
	r := c.recorded[j.rec.Id]
	return r != nil && r.Attempt == j.rec.Attempt && r.Worker == j.rec.Worker
}
