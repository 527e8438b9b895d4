package jobs

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"gooseberryreel/internal/errs"
	"gooseberryreel/internal/pb"
)

// resendKept is how often an instance hands its copies to a new owner.
const resendKept = time.Second

var errNoCopy = errors.New("no other instance holds a copy of the job; look it up by its id")

// AddCopy holds a copy of a job that is not recorded yet. An owner takes it over at
// once, since the copy may arrive after the takeover.
func (c *Core) AddCopy(job *pb.Job, now time.Time) {
	if c.recorded[job.GetId()] != nil || c.forgotten(job.GetId()) {
		return
	}
	c.kept[job.GetId()] = job
	if c.active {
		c.adoptKept(job, now)
	}
}

// adoptKept takes over a job of which only a copy exists. It counts as running
// until its worker has answered, like a recorded one.
func (c *Core) adoptKept(rec *pb.Job, now time.Time) {
	id := rec.GetId()
	if c.jobs[id] != nil || c.recorded[id] != nil || c.forgotten(id) {
		return
	}
	j := newJob(cloneJob(rec))
	j.predates = true
	c.jobs[id] = j
	c.event(j.rec, "adopted", "from a copy of an unrecorded job")
	c.touch(j)
	if j.placed() {
		c.adoptRecorded(j, now)
	} else {
		c.enqueue(j, false)
	}
	c.flush(j)
}

// forgotten reports whether the job of an id had finished and its record was
// dropped.
func (c *Core) forgotten(id string) bool {
	_, issued, err := parseID(id)
	return err == nil && issued.UnixMilli() <= c.forgottenMS
}

// KeepJob takes a copy of another instance.
func (r *Runner) KeepJob(ctx context.Context, job *pb.Job) error {
	taken := make(chan struct{})
	r.o.Loop.Post(func(now time.Time) {
		defer close(taken)
		if job.GetId() != "" {
			r.core.AddCopy(job, now)
			r.flush()
		}
	})
	select {
	case <-taken:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// copyJob hands copies of an unrecorded job to the other instances of the
// domain. It fails if there are others and none of them has taken one.
func (r *Runner) copyJob(ctx context.Context, job *pb.Job) *errs.Error {
	v := r.o.Loop.View()
	var group sync.WaitGroup
	var mu sync.Mutex
	asked, taken := 0, 0
	for _, m := range v.Members {
		if m.Domain != v.Domain || m.Name == v.Instance || m.PeerAddress == "" {
			continue
		}
		asked++
		group.Add(1)
		go func() {
			defer group.Done()
			if err := r.sendCopy(ctx, m.PeerAddress, job); err == nil {
				mu.Lock()
				taken++
				mu.Unlock()
			}
		}()
	}
	group.Wait()
	if asked > 0 && taken == 0 {
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

// offerKept hands the copies that this instance holds to the owner, which may
// have received none itself.
func (r *Runner) offerKept(now time.Time) {
	p := jobPartition(r.o.Loop.View())
	if r.core.active || len(r.core.kept) == 0 || p == nil || p.OwnerAddress == "" || p.Own || now.Sub(r.offeredKept) < resendKept {
		return
	}
	r.offeredKept = now
	for _, id := range sortedKeys(r.core.kept) {
		job := cloneJob(r.core.kept[id])
		go func() { _ = r.sendCopy(context.Background(), p.OwnerAddress, job) }() // logged, and repeated
	}
}
