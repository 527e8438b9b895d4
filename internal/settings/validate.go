package settings

import (
	"fmt"

	"google.golang.org/protobuf/reflect/protoreflect"

	"gooseberryreel/internal/pb"
)

// checkEntry checks the fields of entry settings against each other. Fields that
// have already been reported are unset, so the checks skip them.
func checkEntry(r *report, s *pb.EntrySettings) {
	if s.GetHttpAddress() != "" && s.GetHttpAddress() == s.GetPeerAddress() && !hasPortZero(s.GetPeerAddress()) {
		r.add("peer_address", "same address as http_address")
	}
	// Two heartbeats can be lost before a lease expires only if the lease spans
	// more than two heartbeat intervals.
	ownership := s.GetOwnership()
	checkAtMost(r, "ownership.heartbeat_interval_ms", 2*ownership.GetHeartbeatIntervalMs(), "half of ownership.lease_ms", ownership.GetLeaseMs())

	requests := s.GetRequests()
	checkAtMost(r, "requests.default_timeout_ms", requests.GetDefaultTimeoutMs(), "requests.max_timeout_ms", requests.GetMaxTimeoutMs())
	checkAtMost(r, "requests.max_timeout_ms", requests.GetMaxTimeoutMs(), "requests.retention_ms", requests.GetRetentionMs())
	checkAtMost(r, "requests.max_answer_bytes", requests.GetMaxAnswerBytes(), "requests.max_stored_bytes", requests.GetMaxStoredBytes())
	// A planned leave interrupts no request only if it may wait for the longest one.
	checkAtMost(r, "requests.max_timeout_ms", requests.GetMaxTimeoutMs(), "leave.drain_timeout_ms", s.GetLeave().GetDrainTimeoutMs())

	jobs := s.GetJobs()
	checkAtMost(r, "jobs.worker_poll_interval_ms", 2*jobs.GetWorkerPollIntervalMs(), "half of jobs.task_lease_ms", jobs.GetTaskLeaseMs())
	checkAtMost(r, "jobs.worker_call_timeout_ms", jobs.GetWorkerCallTimeoutMs(), "jobs.task_lease_ms", jobs.GetTaskLeaseMs())
}

// checkDeclaration checks the fields of a declaration against each other.
func checkDeclaration(r *report, d *pb.Declaration) {
	switch body := d.GetBody().(type) {
	case nil:
		r.add("", "one of service, batch_job and team is required")
	case *pb.Declaration_Service:
		s := body.Service
		checkAtMost(r, "service.latency_target_ms", s.GetLatencyTargetMs(), "service.default_timeout_ms", s.GetDefaultTimeoutMs())
	}
}

// checkAtMost reports a field whose value is above the limit that another field
// sets. A value or limit of zero has already been reported and is skipped.
func checkAtMost(r *report, field string, value int64, other string, limit int64) {
	if value > 0 && limit > 0 && value > limit {
		r.add(field, "must not be larger than %s", other)
	}
}

func hasPortZero(address string) bool {
	_, port, reason := splitAddress(address)
	return reason == "" && port == 0
}

// checkMessage checks the fields of a message that was not read from a file.
func checkMessage(r *report, m protoreflect.Message, path string) {
	fields := m.Descriptor().Fields()
	for i := range fields.Len() {
		fd := fields.Get(i)
		fieldPath := joinPath(path, string(fd.Name()))
		switch {
		case fd.IsList():
			list := m.Get(fd).List()
			for j := range list.Len() {
				checkScalar(r, list.Get(j), fd, fmt.Sprintf("%s[%d]", fieldPath, j))
			}
		case fd.Message() == nil:
			checkScalar(r, m.Get(fd), fd, fieldPath)
		case m.Has(fd):
			checkMessage(r, m.Get(fd).Message(), fieldPath)
		case ruleOf(fd).required:
			r.add(fieldPath, "missing required field")
		}
	}
}

func checkScalar(r *report, value protoreflect.Value, fd protoreflect.FieldDescriptor, path string) {
	if reason := ruleOf(fd).check(value); reason != "" {
		r.add(path, "%s", reason)
	}
}
