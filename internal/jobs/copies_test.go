package jobs

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"gooseberryreel/internal/pb"
)

// Guards against losing a confirmed urgent job together with its owner, whether
// its copy arrives before or after the takeover.
func TestCopiedJobsSurviveOwnerLoss(t *testing.T) {
	for name, late := range map[string]bool{"before the takeover": false, "after it": true} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s := newHarness(2)
			copied := &pb.Job{
				Id: "urgent", Name: "small", Urgent: true, Attempt: 1, Worker: "w0", State: pb.JobState_JOB_STATE_RUNNING,
				Needs: testDeclarations().Jobs["small"].Needs,
			}
			if late {
				s.takeOver()
				s.owner.AddCopy(copied, s.now)
			} else {
				s.takeOverWith(copied)
			}
			s.runFaultFree(30 * time.Second)
			c.Assert(s.state("urgent"), qt.Equals, pb.JobState_JOB_STATE_DONE)
			c.Assert(s.owner.copies, qt.HasLen, 0)
		})
	}
}

// Guards against running a job again because of a copy that arrives after the end
// of the job was recorded.
func TestCopyOfRecordedJob(t *testing.T) {
	c := qt.New(t)
	core := NewCore(testOptions())
	done := &pb.Job{Id: "urgent", State: pb.JobState_JOB_STATE_DONE}
	core.AddCopy(&pb.Job{Id: "urgent", State: pb.JobState_JOB_STATE_RUNNING}, time.Time{})
	core.ApplyRecord(1, done, time.Time{})
	c.Assert(core.copies, qt.HasLen, 0)
	core.AddCopy(&pb.Job{Id: "urgent", State: pb.JobState_JOB_STATE_RUNNING}, time.Time{})
	c.Assert(core.copies, qt.HasLen, 0)
}
