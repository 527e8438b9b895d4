package jobs

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"gooseberryreel/internal/errs"
	"gooseberryreel/internal/pb"
)

// copyResendInterval is the interval at which an instance sends its copies to the
// owner until their records are read.
const copyResendInterval = time.Second

var errNoCopy = errors.New("no other instance holds a copy of the job; look it up by its id")

// copyAssignment sends a copy of an unrecorded assignment to the other instances,
// unless one is being sent already.
func (c *Core) copyAssignment(j *job) {
	if j.attempt.copying {
		return
	}
	j.attempt.copying, j.attempt.copied = true, true
	c.out.Copies = append(c.out.Copies, cloneJob(j.rec))
}

// CopyDone applies the outcome of sending a copy of an assignment: whether another
// instance holds it, or there is none that could become the owner.
func (c *Core) CopyDone(job *pb.Job, stored bool, now time.Time) {
	j := c.jobs[job.GetId()]
	if j == nil || !j.attempt.copying || j.rec.Attempt != job.GetAttempt() || j.rec.Worker != job.GetWorker() {
		return
	}
	a := &j.attempt
	a.copying, a.copyStored = false, stored
	if !stored {
		a.backOff(now)
	}
	c.toAdvance[j.rec.Id] = j
	c.advance(j, now)
	c.appendRecord(j)
}

// supersedes reports whether rec is at least as new as an earlier state of its job.
func supersedes(rec, earlier *pb.Job) bool {
	if terminal(rec.State) || rec.Attempt != earlier.Attempt {
		return terminal(rec.State) || rec.Attempt > earlier.Attempt
	}
	return rec.State != pb.JobState_JOB_STATE_STARTING || earlier.State == rec.State
}

// AddCopy stores a copy of a job or of an assignment that is not recorded yet. An
// owner adopts it at once, since the copy may arrive after the takeover.
func (c *Core) AddCopy(job *pb.Job, now time.Time) {
	id := job.GetId()
	if rec := c.recorded[id]; rec != nil && !newerAttempt(job, rec) || rec == nil && c.maybeDropped(id) {
		return
	}
	if old := c.copies[id]; old != nil && !supersedes(job, old) {
		return
	}
	c.copies[id] = job
	if c.active {
		c.adoptCopy(job, now)
	}
}

// newerAttempt reports whether a copy is of a later attempt than a state of its job.
func newerAttempt(copied, rec *pb.Job) bool {
	return copied.Attempt > rec.Attempt && !terminal(rec.State)
}

// adoptCopy adopts a job or an attempt of which only a copy exists. The attempt counts
// as running until its worker has sent a status, like that of a recorded job.
func (c *Core) adoptCopy(rec *pb.Job, now time.Time) {
	id := rec.GetId()
	old := c.jobs[id]
	switch {
	case old != nil:
		if !newerAttempt(rec, old.rec) || old.placed() && !old.predatesTakeover {
			return
		}
		// Earlier attempts of the job ended before this one was assigned.
		c.dequeue(old)
		c.release(old)
	case c.recorded[id] != nil || c.maybeDropped(id):
		return
	}
	j := newJob(cloneJob(rec))
	j.predatesTakeover = true
	if old != nil {
		j.recording = old.recording
		j.rec.CancelRequested = j.rec.CancelRequested || old.rec.CancelRequested
	}
	c.jobs[id] = j
	c.event(j.rec, "adopted", "from a copy of an unrecorded job")
	c.markDirty(j)
	if j.placed() {
		c.adoptRecorded(j, now)
	} else {
		c.enqueue(j, false)
	}
	c.appendRecord(j)
}

// maybeDropped reports whether the job of an id may have finished and its record
// have been dropped, judging by the time in the id.
func (c *Core) maybeDropped(id string) bool {
	_, issued, err := parseID(id)
	return err == nil && issued.UnixMilli() <= c.newestDroppedMS
}

// sendCopyOf copies an unrecorded assignment on a new goroutine, which posts the
// outcome to the control loop.
func (r *Runner) sendCopyOf(job *pb.Job) {
	go func() {
		failure := r.copyJob(context.Background(), job)
		r.o.Loop.Post(func(now time.Time) {
			r.core.CopyDone(job, failure == nil, now)
			r.applyOutput()
		})
	}()
}

// KeepJob stores a copy of an unrecorded job that another instance sent. It
// returns the error of ctx if that ends first.
func (r *Runner) KeepJob(ctx context.Context, job *pb.Job) error {
	stored := make(chan struct{})
	r.o.Loop.Post(func(now time.Time) {
		defer close(stored)
		if job.GetId() != "" {
			r.core.AddCopy(job, now)
			r.applyOutput()
		}
	})
	select {
	case <-stored:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// copyJob sends copies of an unrecorded job to the other instances of the domain.
// It fails if there are other instances and none of them has stored a copy.
func (r *Runner) copyJob(ctx context.Context, job *pb.Job) *errs.Error {
	v := r.o.Loop.View()
	var group sync.WaitGroup
	var mu sync.Mutex
	sent, stored := 0, 0
	for _, m := range v.Members {
		if m.Domain != v.Domain || m.Name == v.Instance || m.PeerAddress == "" {
			continue
		}
		sent++
		group.Add(1)
		go func() {
			defer group.Done()
			if err := r.sendCopy(ctx, m.PeerAddress, job); err == nil {
				mu.Lock()
				stored++
				mu.Unlock()
			}
		}()
	}
	group.Wait()
	if sent > 0 && stored == 0 {
		return errs.Wrap("copy job", "", pb.Outcome_OUTCOME_UNKNOWN, errNoCopy).WithRetry()
	}
	return nil
}

func (r *Runner) sendCopy(ctx context.Context, address string, job *pb.Job) error {
	ctx, cancel := context.WithTimeout(ctx, r.core.opts.callTimeout)
	defer cancel()
	err := r.o.Pool.Call(ctx, address, func(ctx context.Context, c pb.DRPCPeerClient) error {
		_, err := c.KeepJob(ctx, &pb.KeepJobRequest{Job: job})
		return err
	})
	if err != nil && r.o.Log != nil {
		r.o.Log.WithField("event", "job_not_copied").WithField("job", job.GetId()).WithField("peer", address).WithError(err).Warn("jobs")
	}
	return err
}

// sendCopiesToOwner sends the copies that this instance holds to the owner, which
// may not have received them itself.
func (r *Runner) sendCopiesToOwner(now time.Time) {
	p := jobPartition(r.o.Loop.View())
	if r.core.active || len(r.core.copies) == 0 || p == nil || p.OwnerAddress == "" || p.Own || now.Sub(r.copiesSentAt) < copyResendInterval {
		return
	}
	r.copiesSentAt = now
	for _, id := range sortedKeys(r.core.copies) {
		job := cloneJob(r.core.copies[id])
		go func() { _ = r.sendCopy(context.Background(), p.OwnerAddress, job) }() // logged by sendCopy, and retried
	}
}
