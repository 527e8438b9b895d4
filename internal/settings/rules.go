package settings

import (
	"fmt"
	"unicode/utf8"

	"google.golang.org/protobuf/reflect/protoreflect"
)

// Bounds shared by several fields.
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

// rule says what a field may hold.
type rule struct {
	required bool
	// fallback is the value of an absent field: an int, a string or a bool.
	fallback any
	// low and high bound numbers.
	low, high int64
	// text returns what is wrong with a string, or "".
	text func(string) string
}

// number bounds a field with a default.
func number(fallback int, low, high int64) rule {
	return rule{fallback: fallback, low: low, high: high}
}

// needed bounds a field without a default.
func needed(low, high int64) rule { return rule{required: true, low: low, high: high} }

func neededText(text func(string) string) rule { return rule{required: true, text: text} }

// rules holds the rule of each field by its message and name. A field that is
// not here must be a message that defaults field by field, or a bool.
var rules = map[protoreflect.FullName]rule{
	"EntrySettings.instance":       neededText(checkName),
	"EntrySettings.region":         neededText(checkName),
	"EntrySettings.failure_domain": neededText(checkName),
	"EntrySettings.http_address":   neededText(checkListenAddress),
	"EntrySettings.peer_address":   neededText(checkPeerListenAddress),
	"EntrySettings.log_url":        neededText(checkURL),
	"EntrySettings.list_url":       neededText(checkURL),
	"EntrySettings.seed_peers":     {text: checkDialAddress},
	"EntrySettings.event_capacity": number(10_000, 1, maxCount),
	"EntrySettings.log_level":      {fallback: "info", text: checkLogLevel},

	"OwnershipSettings.request_partitions":      number(24, 1, 1024),
	"OwnershipSettings.lease_ms":                number(3*secondMS, 100, hourMS),
	"OwnershipSettings.heartbeat_interval_ms":   number(secondMS, 10, hourMS),
	"OwnershipSettings.unlisted_owner_grace_ms": number(minuteMS, secondMS, dayMS),
	"OwnershipSettings.refused_proves_gone":     {fallback: true},

	"RequestSettings.max_body_bytes":       number(mib, 1, gib),
	"RequestSettings.max_answer_bytes":     number(4*mib, 1, gib),
	"RequestSettings.max_header_bytes":     number(16*kib, kib, 16*mib),
	"RequestSettings.default_timeout_ms":   number(10*secondMS, 1, hourMS),
	"RequestSettings.max_timeout_ms":       number(30*secondMS, 1, hourMS),
	"RequestSettings.clock_skew_ms":        number(2*secondMS, 1, hourMS),
	"RequestSettings.retention_ms":         number(10*minuteMS, secondMS, dayMS),
	"RequestSettings.max_stored_answers":   number(20_000, 1, 10*maxCount),
	"RequestSettings.max_stored_bytes":     number(32*mib, kib, 64*gib),
	"RequestSettings.queue_length":         number(256, 1, maxCount),
	"RequestSettings.retry_budget_percent": number(10, 1, 100),
	"RequestSettings.max_attempts":         number(3, 1, 100),
	"RequestSettings.progress_timeout_ms":  number(5*secondMS, 10, hourMS),
	"RequestSettings.read_timeout_ms":      number(10*secondMS, 10, hourMS),
	"RequestSettings.idle_timeout_ms":      number(minuteMS, 10, dayMS),

	"JobSettings.task_lease_ms":           number(30*secondMS, secondMS, dayMS),
	"JobSettings.worker_poll_interval_ms": number(secondMS, 10, hourMS),
	"JobSettings.worker_call_timeout_ms":  number(2*secondMS, 10, hourMS),
	"JobSettings.max_queued_jobs":         number(10_000, 1, maxCount),
	"JobSettings.max_finished_jobs":       number(10_000, 1, maxCount),
	"JobSettings.max_attempts":            number(5, 1, 1000),
	"JobSettings.quarantine_failures":     number(3, 1, 1000),
	"JobSettings.quarantine_ms":           number(minuteMS, 1, dayMS),
	"JobSettings.snapshot_interval_ms":    number(5*minuteMS, secondMS, dayMS),

	"PolicySettings.tail_latency_weight":      number(1, 1, 1000),
	"PolicySettings.throughput_weight":        number(1, 1, 1000),
	"PolicySettings.eviction_weight":          number(1, 1, 1000),
	"PolicySettings.max_evictions_per_minute": number(6, 1, maxCount),
	"PolicySettings.report_lag_ms":            number(5*secondMS, 1, hourMS),

	"LeaveSettings.balancer_notice_ms": number(2*secondMS, 1, hourMS),
	"LeaveSettings.drain_timeout_ms":   number(35*secondMS, 1, dayMS),

	"PeerSettings.max_connections": number(64, 1, 10_000),
	"PeerSettings.dial_timeout_ms": number(500, 1, minuteMS),
	"PeerSettings.call_timeout_ms": number(2*secondMS, 1, hourMS),

	"SchedulerSettings.instance":        neededText(checkName),
	"SchedulerSettings.region":          neededText(checkName),
	"SchedulerSettings.failure_domain":  neededText(checkName),
	"SchedulerSettings.http_address":    neededText(checkListenAddress),
	"SchedulerSettings.ready_address":   neededText(checkListenAddress),
	"SchedulerSettings.metrics_address": neededText(checkListenAddress),
	"SchedulerSettings.peer_address":    neededText(checkPeerListenAddress),
	"SchedulerSettings.log_level":       {fallback: "info", text: checkLogLevel},
	"SchedulerSettings.cpu_share":       needed(0, 1024),
	"SchedulerSettings.memory_mib":      needed(1, maxCount),
	"SchedulerSettings.advice_address":  {text: checkOptionalAddress},

	"StoreSettings.address":          neededText(checkDialAddress),
	"StoreSettings.min_group_ttl_ms": number(secondMS, 1, hourMS),
	"StoreSettings.partitions":       number(16, 1, 1024),

	"SiteBounds.lease_ms": number(6*secondMS, secondMS, hourMS),
	"SiteBounds.grace_s":  number(6, 1, 3600),
	"SiteBounds.status_s": number(120, 1, 10*maxCount),
	"SiteBounds.harm_ms":  number(4*secondMS, 1, hourMS),

	"Declaration.name": neededText(checkName),

	"Resources.cpu_milli":    needed(1, 100_000_000),
	"Resources.memory_mib":   needed(1, 1_000_000_000),
	"Resources.accelerators": number(0, 0, maxCount),

	"Service.team":               neededText(checkName),
	"Service.latency_target_ms":  needed(1, hourMS),
	"Service.default_timeout_ms": number(10*secondMS, 1, hourMS),
	"Service.queue_length":       number(256, 1, maxCount),
	"Service.per_target":         {required: true},

	"BatchJob.team":            neededText(checkName),
	"BatchJob.needs":           {required: true},
	"BatchJob.expected_run_ms": needed(1, 30*dayMS),
	"BatchJob.max_attempts":    number(5, 1, 1000),
	"BatchJob.workload":        neededText(checkText),

	"Team.quota":               {required: true},
	"Team.max_queued_jobs":     number(1000, 1, maxCount),
	"Team.max_queued_requests": number(1000, 1, maxCount),
}

func ruleOf(fd protoreflect.FieldDescriptor) rule {
	return rules[protoreflect.FullName(fd.Parent().Name())+"."+protoreflect.FullName(fd.Name())]
}

// check returns what is wrong with a value, or "".
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
		return fmt.Sprintf("value out of range: %d characters, at most %d", length, maxStringLength)
	}
	if r.text == nil {
		return ""
	}
	return r.text(s)
}

// fallbackValue returns the default in the field's type.
func (r rule) fallbackValue(fd protoreflect.FieldDescriptor) protoreflect.Value {
	n, isNumber := r.fallback.(int)
	if !isNumber {
		return protoreflect.ValueOf(r.fallback)
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
