package settings

import (
	"fmt"
	"unicode/utf8"

	"google.golang.org/protobuf/reflect/protoreflect"
)

// Limits of all lists and strings, and units and limits that several rules use.
const (
	maxListItems    = 1000
	maxStringLength = 1024
	secondMS        = 1000
	minuteMS        = 60 * secondMS
	hourMS          = 60 * minuteMS
	dayMS           = 24 * hourMS
	kib             = 1 << 10
	mib             = 1 << 20
	gib             = 1 << 30
	maxCount        = 1_000_000
)

// rule defines the default and the valid values of a field.
type rule struct {
	required bool
	// defaultValue is the value of a missing field: an int, string or bool, or
	// nil for no default.
	defaultValue any
	// low and high are the smallest and largest valid number.
	low, high int64
	// checkText returns why a string is invalid, or "" if it is valid.
	checkText func(string) string
}

// optionalNumber returns the rule of a number that has a default.
func optionalNumber(defaultValue int, low, high int64) rule {
	return rule{defaultValue: defaultValue, low: low, high: high}
}

// requiredNumber returns the rule of a number that every file must set.
func requiredNumber(low, high int64) rule { return rule{required: true, low: low, high: high} }

func requiredText(checkText func(string) string) rule {
	return rule{required: true, checkText: checkText}
}

// rules maps "Message.field" to the rule of the field. Fields without an entry are
// messages, whose own fields have the defaults, and bools that default to false.
var rules = map[protoreflect.FullName]rule{
	"EntrySettings.instance":       requiredText(checkName),
	"EntrySettings.region":         requiredText(checkName),
	"EntrySettings.failure_domain": requiredText(checkName),
	"EntrySettings.http_address":   requiredText(checkListenAddress),
	"EntrySettings.peer_address":   requiredText(checkPeerListenAddress),
	"EntrySettings.log_url":        requiredText(checkURL),
	"EntrySettings.list_url":       requiredText(checkURL),
	"EntrySettings.seed_peers":     {checkText: checkDialAddress},
	"EntrySettings.event_capacity": optionalNumber(10_000, 1, maxCount),
	"EntrySettings.log_level":      {defaultValue: "info", checkText: checkLogLevel},

	"OwnershipSettings.request_partitions":      optionalNumber(24, 1, 1024),
	"OwnershipSettings.lease_ms":                optionalNumber(3*secondMS, 100, hourMS),
	"OwnershipSettings.heartbeat_interval_ms":   optionalNumber(secondMS, 10, hourMS),
	"OwnershipSettings.unlisted_owner_grace_ms": optionalNumber(minuteMS, secondMS, dayMS),
	"OwnershipSettings.refused_proves_gone":     {defaultValue: true},

	"RequestSettings.max_body_bytes":       optionalNumber(mib, 1, gib),
	"RequestSettings.max_answer_bytes":     optionalNumber(4*mib, 1, gib),
	"RequestSettings.max_header_bytes":     optionalNumber(16*kib, kib, 16*mib),
	"RequestSettings.default_timeout_ms":   optionalNumber(10*secondMS, 1, hourMS),
	"RequestSettings.max_timeout_ms":       optionalNumber(30*secondMS, 1, hourMS),
	"RequestSettings.clock_skew_ms":        optionalNumber(2*secondMS, 1, hourMS),
	"RequestSettings.retention_ms":         optionalNumber(10*minuteMS, secondMS, dayMS),
	"RequestSettings.max_stored_answers":   optionalNumber(20_000, 1, 10*maxCount),
	"RequestSettings.max_stored_bytes":     optionalNumber(32*mib, kib, 64*gib),
	"RequestSettings.queue_length":         optionalNumber(256, 1, maxCount),
	"RequestSettings.retry_budget_percent": optionalNumber(10, 1, 100),
	"RequestSettings.max_attempts":         optionalNumber(3, 1, 100),
	"RequestSettings.progress_timeout_ms":  optionalNumber(5*secondMS, 10, hourMS),
	"RequestSettings.read_timeout_ms":      optionalNumber(10*secondMS, 10, hourMS),
	"RequestSettings.idle_timeout_ms":      optionalNumber(minuteMS, 10, dayMS),

	"JobSettings.task_lease_ms":           optionalNumber(30*secondMS, secondMS, dayMS),
	"JobSettings.worker_poll_interval_ms": optionalNumber(secondMS, 10, hourMS),
	"JobSettings.worker_call_timeout_ms":  optionalNumber(2*secondMS, 10, hourMS),
	"JobSettings.max_queued_jobs":         optionalNumber(10_000, 1, maxCount),
	"JobSettings.max_finished_jobs":       optionalNumber(10_000, 1, maxCount),
	"JobSettings.max_attempts":            optionalNumber(5, 1, 1000),
	"JobSettings.quarantine_failures":     optionalNumber(3, 1, 1000),
	"JobSettings.quarantine_ms":           optionalNumber(minuteMS, 1, dayMS),
	"JobSettings.snapshot_interval_ms":    optionalNumber(5*minuteMS, secondMS, dayMS),

	"PolicySettings.tail_latency_weight":      optionalNumber(1, 1, 1000),
	"PolicySettings.throughput_weight":        optionalNumber(1, 1, 1000),
	"PolicySettings.eviction_weight":          optionalNumber(1, 1, 1000),
	"PolicySettings.max_evictions_per_minute": optionalNumber(6, 1, maxCount),
	"PolicySettings.report_lag_ms":            optionalNumber(5*secondMS, 1, hourMS),

	"LeaveSettings.balancer_notice_ms": optionalNumber(2*secondMS, 1, hourMS),
	"LeaveSettings.drain_timeout_ms":   optionalNumber(35*secondMS, 1, dayMS),

	"PeerSettings.max_connections": optionalNumber(64, 1, 10_000),
	"PeerSettings.dial_timeout_ms": optionalNumber(500, 1, minuteMS),
	"PeerSettings.call_timeout_ms": optionalNumber(2*secondMS, 1, hourMS),

	"SchedulerSettings.instance":         requiredText(checkName),
	"SchedulerSettings.region":           requiredText(checkName),
	"SchedulerSettings.failure_domain":   requiredText(checkName),
	"SchedulerSettings.http_address":     requiredText(checkListenAddress),
	"SchedulerSettings.ready_address":    requiredText(checkListenAddress),
	"SchedulerSettings.metrics_address":  requiredText(checkListenAddress),
	"SchedulerSettings.peer_address":     requiredText(checkPeerListenAddress),
	"SchedulerSettings.log_level":        {defaultValue: "info", checkText: checkLogLevel},
	"SchedulerSettings.cpu_share":        requiredNumber(0, 1024),
	"SchedulerSettings.memory_mib":       requiredNumber(1, maxCount),
	"SchedulerSettings.advice_address":   {checkText: checkOptionalAddress},
	"SchedulerSettings.max_fds":          optionalNumber(4096, 256, maxCount),
	"SchedulerSettings.max_header_bytes": optionalNumber(16*kib, 4*kib, mib),

	"RelaySettings.owner_workers_per_core": optionalNumber(300, 1, maxCount),
	"RelaySettings.relay_workers_per_core": optionalNumber(150, 1, maxCount),

	"StoreSettings.address":          requiredText(checkDialAddress),
	"StoreSettings.min_group_ttl_ms": optionalNumber(secondMS, 1, hourMS),
	"StoreSettings.partitions":       optionalNumber(16, 1, 1024),
	"StoreSettings.record_bytes":     optionalNumber(256*kib, kib, gib),
	"StoreSettings.call_bytes":       optionalNumber(2*mib, kib, gib),

	"SiteBounds.lease_ms":      optionalNumber(6*secondMS, secondMS, hourMS),
	"SiteBounds.grace_s":       optionalNumber(6, 1, 3600),
	"SiteBounds.status_s":      optionalNumber(120, 1, 10*maxCount),
	"SiteBounds.harm_ms":       optionalNumber(4*secondMS, 1, hourMS),
	"SiteBounds.evacuate_ms":   optionalNumber(0, 0, hourMS),
	"SiteBounds.remote_factor": optionalNumber(0, 0, 100),
	"SiteBounds.stop_ms":       optionalNumber(secondMS, 1, hourMS),
	"SiteBounds.restore_ms":    optionalNumber(secondMS, 0, hourMS),

	"Declaration.name": requiredText(checkName),

	"Resources.cpu_milli":    requiredNumber(1, 100_000_000),
	"Resources.memory_mib":   requiredNumber(1, 1_000_000_000),
	"Resources.accelerators": optionalNumber(0, 0, maxCount),

	"Service.team":               requiredText(checkName),
	"Service.latency_target_ms":  requiredNumber(1, hourMS),
	"Service.default_timeout_ms": optionalNumber(10*secondMS, 1, hourMS),
	"Service.queue_length":       optionalNumber(256, 1, maxCount),
	"Service.per_target":         {required: true},

	"BatchJob.team":            requiredText(checkName),
	"BatchJob.needs":           {required: true},
	"BatchJob.expected_run_ms": requiredNumber(1, 30*dayMS),
	"BatchJob.max_attempts":    optionalNumber(5, 1, 1000),
	"BatchJob.workload":        requiredText(checkNotEmpty),

	"Team.quota":               {required: true},
	"Team.max_queued_jobs":     optionalNumber(1000, 1, maxCount),
	"Team.max_queued_requests": optionalNumber(1000, 1, maxCount),
}

func ruleOf(fd protoreflect.FieldDescriptor) rule {
	return rules[protoreflect.FullName(fd.Parent().Name())+"."+protoreflect.FullName(fd.Name())]
}

// check returns why a value is invalid, or "" if it is valid.
func (r rule) check(value protoreflect.Value) string {
	switch v := value.Interface().(type) {
	case int64:
		return r.checkNumber(v)
	case int32:
		return r.checkNumber(int64(v))
	case float64:
		return r.checkFloat(v)
	case string:
		return r.checkString(v)
	default:
		return ""
	}
}

func (r rule) checkNumber(v int64) string {
	switch {
	case v >= r.low && v <= r.high:
		return ""
	case v <= 0 && r.low > 0:
		return fmt.Sprintf("must be positive, got %d", v)
	default:
		return fmt.Sprintf("value out of range: must be %d to %d, got %d", r.low, r.high, v)
	}
}

func (r rule) checkFloat(v float64) string {
	if v < float64(r.low) || v > float64(r.high) {
		return fmt.Sprintf("value out of range: must be %d to %d, got %v", r.low, r.high, v)
	}
	return ""
}

func (r rule) checkString(s string) string {
	if length := utf8.RuneCountInString(s); length > maxStringLength {
		return fmt.Sprintf("value out of range: %d characters, at most %d allowed", length, maxStringLength)
	}
	if r.checkText == nil {
		return ""
	}
	return r.checkText(s)
}

// typedDefault returns the default as a value of the field's type.
func (r rule) typedDefault(fd protoreflect.FieldDescriptor) protoreflect.Value {
	n, isNumber := r.defaultValue.(int)
	if !isNumber {
		return protoreflect.ValueOf(r.defaultValue)
	}
	switch fd.Kind() {
	case protoreflect.Int32Kind:
		return protoreflect.ValueOfInt32(int32(n))
	case protoreflect.DoubleKind:
		return protoreflect.ValueOfFloat64(float64(n))
	default:
		return protoreflect.ValueOfInt64(int64(n))
	}
}
