package relay

import (
	"time"

	"gooseberryreel/internal/pb"
)

// backlogReport is a report of the owner and when it was computed.
type backlogReport struct {
	queues []*pb.QueueBacklog
	at     time.Time
}

// message returns the report as it is sent now, nil for none.
func (r *backlogReport) message(now time.Time) *pb.BacklogReport {
	if r == nil {
		return nil
	}
	return &pb.BacklogReport{AgeMs: now.Sub(r.at).Milliseconds(), Queues: r.queues}
}

// PublishBacklog sends a report that was computed at a time to all relays. Only the
// newest report is sent over a link that is slow.
func (r *Router) PublishBacklog(queues []*pb.QueueBacklog, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.links {
		l.mu.Lock()
		l.backlog = &backlogReport{queues, at}
		l.mu.Unlock()
		l.wakeSender()
	}
}

// passBacklog passes on the report in a batch. The batch may have been on its way for
// as long as the time since the echoed clock reading, apart from the interval at which
// an idle relay reports.
func (s *Session) passBacklog(batch *pb.RelayBatch) {
	if batch.GetBacklog() == nil || s.Backlog == nil {
		return
	}
	age := milliseconds(batch.GetBacklog().GetAgeMs())
	age += max(0, s.Clock()-milliseconds(batch.GetEchoedClockMs())-idleReportInterval)
	s.Backlog(batch.GetBacklog(), age)
}
