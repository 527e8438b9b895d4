package daemon

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/scheduler"
)

// Guards against bounds that were taken after the moment from which a later owner counts
// them: an owner without permission to act records none.
func TestOwnerWithoutPermissionRecordsNoLeaseBounds(t *testing.T) {
	for _, mayAct := range []bool{true, false} {
		ctx, end := context.WithCancel(context.Background())
		defer end()
		o := &ownerTerm{ctx: ctx, record: &pb.OwnerRecord{LeaseBounds: []*pb.StoredLeaseBound{{Worker: "before", LeftMs: 1}}}}
		o.confirmed.advance(bootTime())
		if !mayAct {
			end()
		}
		o.recordLeaseBounds(silentBatch())
		qt.Check(t, o.recordQueued, qt.HasLen, 1)
		left := decodeLeaseBounds(o.record.GetLeaseBounds())
		if !mayAct {
			qt.Check(t, left, qt.HasLen, 0)
			continue
		}
		qt.Assert(t, left, qt.HasLen, 1)
		qt.Check(t, left["silent"] > 0, qt.IsTrue)
	}
}

// silentBatch returns the batch of a core with a task on a worker that doesn't answer.
func silentBatch() *scheduler.Batch {
	now := time.Now()
	core := scheduler.New(scheduler.Options{Epoch: 2, Lease: 6 * time.Second, Retention: time.Hour}, now)
	sub := &pb.Submission{Id: "j", Queue: "q", Service: "p", MaxAttempts: 3, Steps: []*pb.StepSpec{{Tasks: 1, CpuMilli: 1000, MemoryMib: 100, Lasting: true}}}
	core.Restore(sub, &scheduler.JobRecord{State: &pb.StoredJob{Id: "j", Phase: pb.JobPhase_JOB_PHASE_ACTIVE, Begun: true, NextRound: 1, Rounds: []*pb.StoredRound{{
		Steps: []*pb.StoredStep{{Tasks: []*pb.StoredTask{{Run: 1, Attempts: []*pb.StoredAttempt{{Run: 1, Worker: "silent", Address: "silent", Incarnation: 1}}}}}},
	}}}}, now)
	core.Start(now)
	for n := 0; ; n++ {
		if b := core.TakeBatch(now.Add(time.Duration(n) * time.Second)); b.LeaseBoundsTaken() {
			return b
		}
	}
}

// Guards against a later owner that takes the bounds of one of two earlier owners for those
// of both, or waits for one that has granted nothing.
func TestOnlyGrantingOwnersBoundLeases(t *testing.T) {
	c := qt.New(t)
	list := grantingOwners([]*pb.OwnerRecord{
		{Epoch: 1, LeaseBounds: encodeLeaseBounds([]scheduler.LeaseBound{{Worker: "w", Left: time.Second}})},
		{Epoch: 2, Idle: true},
		{Epoch: 3},
	})
	c.Assert(list, qt.HasLen, 2)
	c.Check(list[0].Left["w"] >= time.Second, qt.IsTrue)
	c.Check(list[1].Left, qt.HasLen, 0)
}
