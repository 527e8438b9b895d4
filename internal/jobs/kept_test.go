package jobs

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"gooseberryreel/internal/pb"
)

// Guards against confirmed urgent jobs that are lost with their owner, whether
// their copy arrives before or after the takeover.
func TestCopiesOutliveTheOwner(t *testing.T) {
	for name, late := range map[string]bool{"before the takeover": false, "after it": true} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s := newFakeSite(2)
			held := &pb.Job{
				Id: "urgent", Name: "small", Urgent: true, Attempt: 1, Worker: "w0", State: pb.JobState_JOB_STATE_RUNNING,
				Needs: testDeclarations().Jobs["small"].Needs,
			}
			if late {
				s.takeOver()
				s.owner.AddCopy(held, s.now)
			} else {
				s.takeOverWith(held)
			}
			s.settle(30 * time.Second)
			c.Assert(s.state("urgent"), qt.Equals, pb.JobState_JOB_STATE_DONE)
			c.Assert(s.owner.kept, qt.HasLen, 0)
		})
	}
}

// Guards against a second run of a job whose record and end were seen, by a
// copy that arrives late.
func TestCopyOfRecordedJob(t *testing.T) {
	c := qt.New(t)
	core := NewCore(testOptions())
	done := &pb.Job{Id: "urgent", State: pb.JobState_JOB_STATE_DONE}
	core.AddCopy(&pb.Job{Id: "urgent", State: pb.JobState_JOB_STATE_RUNNING}, time.Time{})
	core.Record(1, done, time.Time{})
	c.Assert(core.kept, qt.HasLen, 0)
	core.AddCopy(&pb.Job{Id: "urgent", State: pb.JobState_JOB_STATE_RUNNING}, time.Time{})
	c.Assert(core.kept, qt.HasLen, 0)
}
