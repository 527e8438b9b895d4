package history

// Kinds of operations. All times in a history come from one machine's wall
// clock, so that operations of different processes can be ordered.
const (
	KindRequest    = "request"
	KindJob        = "job"
	KindPublish    = "publish"
	KindConfigRead = "config_read"
	KindDispatch   = "dispatch"
	KindAttempt    = "attempt"
	// KindConnection is one connection at a target, from accept to close.
	KindConnection = "connection"
	// KindLeaving records that the instance named by the id started its planned
	// leave at the start time. For an entry instance the target is its HTTP
	// address.
	KindLeaving = "leaving"
)

// Outcomes of operations.
const (
	OutcomeOK      = "ok"
	OutcomeNotRun  = "not_run"
	OutcomeUnknown = "unknown"
	OutcomeRan     = "ran"
	OutcomeRefused = "refused"
)

// ran reports whether a dispatch or an attempt took effect at the target or
// worker that recorded it.
func (op *Operation) ran() bool {
	return op.Outcome != OutcomeNotRun && op.Outcome != OutcomeRefused
}

// entryAddress returns the address of the entry instance that a client called.
// Clients record it after the last "@" in their name.
func (op *Operation) entryAddress() string {
	for i := len(op.Client) - 1; i >= 0; i-- {
		if op.Client[i] == '@' {
			return op.Client[i+1:]
		}
	}
	return ""
}

// endOr returns the end of an operation, or openEnd if it has not ended.
func (op *Operation) endOr(openEnd int64) int64 {
	if op.End == 0 {
		return openEnd
	}
	return op.End
}
