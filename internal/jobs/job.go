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

// job is the owner's state of a job that has not ended, or whose end is not yet
// recorded.
type job struct {
	rec *pb.Job
	// recording says that a record of the job was appended and not yet read
	// back. There is at most one, so that records can't change places. dirty
	// says that rec changed since.
	recording bool
	dirty     bool
	// predates says that an earlier owner may have started the job.
	predates bool
	elem     *list.Element // place in a queue, nil if not queued
	from     *list.List

	attempt attemptState
}

// attemptState is what the owner knows of the newest attempt.
type attemptState struct {
	// call is the sequence number of the task call in flight, 0 for none.
	call    uint64
	retryAt time.Time
	delay   time.Duration
	// sent says that the attempt may be running; unknown says that a start ended
	// without an answer.
	sent    bool
	unknown bool
	// refused says that the worker refused the newest start.
	refused bool
	// confirmed is the number of the newest call made when the worker confirmed
	// the start; statuses asked for later must show the attempt.
	confirmed uint64
	startedAt time.Time
	// evict is the reason of an eviction under way.
	evict       string
	checkpoints int
	saved       bool // the checkpoint was taken, or given up
	// stopped is the number of the newest call made when a stop was answered;
	// statuses asked for later must not show the attempt running.
	stopped uint64
	percent int // share of processor time granted
	want    int // share of processor time decided
	peak    remote.Resources
}

func newJob(rec *pb.Job) *job { return &job{rec: rec, attempt: freshAttempt()} }

func freshAttempt() attemptState { return attemptState{percent: 100, want: 100} }

func (j *job) ref() remote.TaskRef {
	return remote.TaskRef{Job: j.rec.Id, Attempt: int(j.rec.Attempt)}
}

// placed reports whether the job's attempt counts against its worker.
func (j *job) placed() bool {
	switch j.rec.State {
	case pb.JobState_JOB_STATE_STARTING, pb.JobState_JOB_STATE_RUNNING, pb.JobState_JOB_STATE_CHECKPOINTING:
		return true
	}
	return false
}

// stopping reports whether the attempt is to end early.
func (j *job) stopping() bool { return j.rec.CancelRequested || j.attempt.evict != "" }

// terminal reports whether a state is final.
func terminal(s pb.JobState) bool {
	switch s {
	case pb.JobState_JOB_STATE_DONE, pb.JobState_JOB_STATE_FAILED, pb.JobState_JOB_STATE_CANCELLED, pb.JobState_JOB_STATE_UNSCHEDULABLE:
		return true
	}
	return false
}

func cloneJob(j *pb.Job) *pb.Job { return proto.Clone(j).(*pb.Job) }

// setState changes the recorded state and reports it on the time line.
func (c *Core) setState(j *job, s pb.JobState, detail string) {
	j.rec.State = s
	c.event(j.rec, stateName(s), detail)
	c.touch(j)
}

// touch marks a job as changed, so that its record is appended.
func (c *Core) touch(j *job) {
	j.dirty = true
	c.hot[j.rec.Id] = j
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

// enqueue puts a job into its queue; evicted and failed jobs go to the front.
func (c *Core) enqueue(j *job, front bool) {
	c.dequeue(j)
	j.from = c.batch
	if j.rec.Urgent {
		j.from = c.urgent
	}
	if front {
		j.elem = j.from.PushFront(j)
	} else {
		j.elem = j.from.PushBack(j)
	}
	c.teamQueued[j.rec.Team]++
	c.planDue = true
}

// dequeue takes a job out of its queue in constant time.
func (c *Core) dequeue(j *job) {
	if j.elem == nil {
		return
	}
	j.from.Remove(j.elem)
	j.elem = nil
	c.teamQueued[j.rec.Team]--
}

// end moves a job to a final state.
func (c *Core) end(j *job, s pb.JobState, reason string, now time.Time) {
	c.dequeue(j)
	j.rec.Reason = reason
	j.rec.EndedMs = now.UnixMilli()
	c.setState(j, s, reason)
}

// flush appends the record of a changed job unless an earlier one is under way.
func (c *Core) flush(j *job) {
	if !j.dirty || j.recording {
		return
	}
	j.dirty, j.recording = false, true
	c.out.Records = append(c.out.Records, cloneJob(j.rec))
}

// Record takes a job record that was read back from the control stream. The
// stream holds at most one unread record of a job by one owner, so a record of
// the present epoch is the one under way.
func (c *Core) Record(epoch int64, rec *pb.Job, now time.Time) {
	c.remember(rec)
	if !c.active || epoch != c.sit.Epoch {
		return
	}
	j := c.jobs[rec.Id]
	if j == nil || !j.recording {
		return
	}
	j.recording = false
	c.hot[rec.Id] = j
	c.out.Updates = append(c.out.Updates, JobUpdate{Job: cloneJob(rec), Durable: true})
	if terminal(rec.State) && !j.dirty {
		c.forget(j)
		return
	}
	if rec.State == pb.JobState_JOB_STATE_QUEUED {
		c.planDue = true
	}
	c.drive(j, now)
	c.flush(j)
}

// remember keeps a recorded job and bounds the finished ones.
func (c *Core) remember(rec *pb.Job) {
	old := c.recorded[rec.Id]
	c.recorded[rec.Id] = rec
	delete(c.kept, rec.Id)
	if !terminal(rec.State) || (old != nil && terminal(old.State)) {
		return
	}
	c.ended = append(c.ended, rec.Id)
	for len(c.ended) > c.opts.maxFinished {
		id := c.ended[0]
		c.ended = c.ended[1:]
		c.forgottenMS = max(c.forgottenMS, c.recorded[id].GetSubmittedMs())
		delete(c.recorded, id)
	}
}

// forget drops the owner's state of a job whose end is recorded.
func (c *Core) forget(j *job) {
	c.dequeue(j)
	delete(c.jobs, j.rec.Id)
	delete(c.hot, j.rec.Id)
}

// assigned reports whether the stream holds the assignment of the attempt.
func (c *Core) assigned(j *job) bool {
	r := c.recorded[j.rec.Id]
	return r != nil && r.Attempt == j.rec.Attempt && r.Worker == j.rec.Worker
}
