package entry

import (
	"time"

	"gooseberryreel/internal/control"
	"gooseberryreel/internal/membership"
	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/remote"
)

// maxRecentIDs bounds the number of stored job record ids. A record is repeated
// within seconds, long before this many others are appended.
const maxRecentIDs = 1 << 16

// recentIDs is a set of the newest ids.
type recentIDs struct {
	ids  map[string]bool
	ring []string
	next int
}

func newRecentIDs() *recentIDs {
	return &recentIDs{ids: make(map[string]bool), ring: make([]string, maxRecentIDs)}
}

// add adds an id and reports whether it was new.
func (r *recentIDs) add(id string) bool {
	if r.ids[id] {
		return false
	}
	delete(r.ids, r.ring[r.next])
	r.ids[id] = true
	r.ring[r.next] = id
	r.next = (r.next + 1) % len(r.ring)
	return true
}

// applyControl applies the records of one read of the control stream.
func (i *Instance) applyControl(now time.Time, records []streamRecord, next int64, batch remote.Batch) {
	s := &i.state
	for _, r := range records {
		i.events.Clock().Observe(r.rec.GetHlc())
		i.applyRecord(now, r)
	}
	s.core.UpdateReadPosition(now, next, batch.Next)
	s.controlSnapshots.setPosition(next, batch)
	s.readsFailingSince = time.Time{}
	if s.core.CaughtUp() {
		s.controlCaughtUp = true
	}
	if s.core.Superseded() {
		i.fail(ErrSuperseded)
		return
	}
	if len(records) > 0 {
		i.publishView(now)
	}
}

func (i *Instance) applyRecord(now time.Time, r streamRecord) {
	s := &i.state
	switch body := r.rec.GetBody().(type) {
	case *pb.StreamRecord_Job:
		i.applyJob(now, r, body.Job)
	case *pb.StreamRecord_ControlSnapshot:
		if part := body.ControlSnapshot; part.GetPart() == part.GetParts()-1 {
			s.controlSnapshots.seen(r.offset, r.at)
		}
	case *pb.StreamRecord_Heartbeat:
		s.members.ApplyAnnouncement(now, membership.Announcement{
			Name: r.rec.GetAuthor(), Incarnation: r.rec.GetIncarnation(), Domain: i.settings.GetFailureDomain(),
			PeerAddress: body.Heartbeat.GetPeerAddress(), Leaving: body.Heartbeat.GetLeaving(),
		})
	}
	if r.rec.GetAuthor() == i.id.Name {
		i.controlAppender.markReadBack(r.rec.GetId())
	}
	s.core.ApplyRecord(now, r.offset, r.rec)
}

// applyJob passes a job record to the modules, unless it is a duplicate or its
// author had been replaced as the owner of the job partition.
func (i *Instance) applyJob(now time.Time, r streamRecord, job *pb.JobRecord) {
	s := &i.state
	switch {
	case !s.seen.add(r.rec.GetId()):
		i.metrics.droppedRecords.WithLabelValues("duplicate").Inc()
	case job.GetEpoch() != s.core.Epoch(s.core.Partitions()-1):
		i.metrics.droppedRecords.WithLabelValues("stale_epoch").Inc()
	default:
		for _, m := range s.modules {
			m.ApplyRecord(control.LogRecord{Offset: r.offset, Record: r.rec}, now)
		}
	}
}
