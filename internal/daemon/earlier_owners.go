package daemon

import (
	"context"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/scheduler"
	"gooseberryreel/internal/witness"
)

const (
	// earlierOwnerPollInterval is the interval at which earlier owners are queried
	// whether they still own the job state.
	earlierOwnerPollInterval = 300 * time.Millisecond
	// earlierOwnerRecordInterval is how often the owner records for how long the earlier
	// owners have been replaced.
	earlierOwnerRecordInterval = time.Second
	// maxEarlierLeaseBounds limits the lease bounds of earlier owners in a claim, so that
	// the store takes it.
	maxEarlierLeaseBounds = 2000
	// clockTolerance is by how much, relative to a time span, the clocks of two machines
	// may differ.
	clockTolerance = 0.02
)

// earlierOwners returns the owners that may still send commands when a claim
// replaces a recorded owner: that owner and its own earlier owners.
func earlierOwners(previous *pb.OwnerRecord) []*pb.OwnerRecord {
	if previous == nil {
		return nil
	}
	last := proto.CloneOf(previous)
	last.Earlier = nil
	list := append(previous.GetEarlier(), last)
	bounds := 0
	for _, e := range slices.Backward(list) {
		if bounds += len(e.GetLeaseBounds()); bounds > maxEarlierLeaseBounds {
			e.LeaseBounds = nil // whole leases are waited for
		}
	}
	return list
}

// earlierOwner is what a newer owner knows of an earlier one.
type earlierOwner struct {
	record     *pb.OwnerRecord
	revocation *witness.Revocation
	// stoppedAt is the boot time at which it stopped acting at the latest, as far as known.
	stoppedAt time.Duration
	known     bool
	// permittedAt is the boot time after which it was not granted permission any more, by
	// which it counted its leases. permitted is set if that is known.
	permittedAt time.Duration
	permitted   bool
}

// stopped records that the owner stopped acting at a boot time at the latest.
func (e *earlierOwner) stopped(at time.Duration) {
	if !e.known || at < e.stoppedAt {
		e.known, e.stoppedAt = true, at
	}
}

// forCore returns what the core needs of it.
func (e *earlierOwner) forCore(now time.Time) scheduler.EarlierOwner {
	boot := bootTime()
	out := scheduler.EarlierOwner{StoppedAt: now.Add(e.stoppedAt - boot), Left: decodeLeaseBounds(e.record.GetLeaseBounds())}
	if e.permitted {
		out.PermittedAt = now.Add(e.permittedAt - boot)
	}
	return out
}

// waitForEarlierOwners finds out when the earlier owners stopped acting: each replies that
// it no longer owns the jobs and since when, its witnesses tell when they last let it act,
// or it has been replaced for so long that its term must have ended. A refused connection
// proves nothing, since a network partition may also refuse connections. Meanwhile it
// records for how long they have been replaced, so that the next owner does not wait for
// all of that time again.
func (o *ownerTerm) waitForEarlierOwners(self *pb.OwnerRecord) {
	var remaining []*earlierOwner
	for _, r := range self.GetEarlier() {
		remaining = append(remaining, &earlierOwner{record: r, revocation: witness.NewRevocation(len(r.GetWitnesses()))})
	}
	start := time.Now()
	recorded := start
	var stopped []*earlierOwner
	for o.ctx.Err() == nil {
		var group sync.WaitGroup
		for _, e := range remaining {
			group.Go(func() { o.revoke(e) })
			group.Go(func() { o.askEarlierOwner(e, time.Since(start)) })
		}
		group.Wait()
		remaining = slices.DeleteFunc(remaining, func(e *earlierOwner) bool {
			if at, ok := e.revocation.EndedAt(); ok {
				e.stopped(at)
				e.permittedAt, e.permitted = at-witness.GrantTime, e.record.GetLeasesFromGrants()
			}
			if e.known && !e.record.GetIdle() {
				stopped = append(stopped, e)
			}
			return e.known
		})
		if len(remaining) == 0 {
			break
		}
		if time.Since(recorded) >= earlierOwnerRecordInterval {
			recorded = time.Now()
			elapsed := recorded.Sub(start)
			var records []*pb.OwnerRecord
			for _, e := range remaining {
				records = append(records, e.record)
			}
			o.updateRecord(func(r *pb.OwnerRecord) { r.Earlier = stillEarlier(records, elapsed) })
		}
		sleep(o.ctx, earlierOwnerPollInterval)
	}
	if o.ctx.Err() != nil {
		return
	}
	o.updateRecord(func(r *pb.OwnerRecord) { r.Earlier = nil })
	o.post(workConfig, func(c *scheduler.Core, now time.Time) {
		var list []scheduler.EarlierOwner
		for _, e := range stopped {
			list = append(list, e.forCore(now))
		}
		c.ConfirmNoEarlierOwner(list, now)
	})
}

// askEarlierOwner asks an earlier owner whether and since when it doesn't own the jobs,
// unless its term must have ended anyhow.
func (o *ownerTerm) askEarlierOwner(e *earlierOwner, elapsed time.Duration) {
	i := o.instance
	if e.record.GetIdle() {
		e.stopped(0) // it has granted nothing that could be waited for
		return
	}
	if e.record.GetPeerAddress() == i.peerAddress() {
		e.stopped(o.notOwnerSince) // an earlier term of this process or of an earlier process at its address
		return
	}
	if over := replacedFor(e.record, elapsed) - scheduler.OwnerGrace; over >= 0 {
		e.stopped(bootTime() - over)
		return
	}
	var reply *pb.JobStateReply
	err := i.callOwner(o.ctx, e.record.GetPeerAddress(), func(ctx context.Context, c pb.DRPCJobsClient) (err error) {
		reply, err = c.JobState(ctx, &pb.JobStateRequest{})
		return err
	})
	if err == nil && !reply.GetOwner() {
		ago := time.Duration(reply.GetNotOwnerMs()) * time.Millisecond
		e.stopped(bootTime() - time.Duration(float64(ago)*(1-clockTolerance)))
	}
}

// replacedFor returns for how long an earlier owner has been replaced at least, after the
// given time of a term.
func replacedFor(earlier *pb.OwnerRecord, elapsed time.Duration) time.Duration {
	return time.Duration(earlier.GetReplacedMs())*time.Millisecond + elapsed
}

// stillEarlier returns the records of earlier owners after the given time of a term.
func stillEarlier(earlier []*pb.OwnerRecord, elapsed time.Duration) []*pb.OwnerRecord {
	var list []*pb.OwnerRecord
	for _, e := range earlier {
		e = proto.CloneOf(e)
		e.ReplacedMs = replacedFor(e, elapsed).Milliseconds()
		list = append(list, e)
	}
	return list
}
