package history

import (
	"fmt"
	"time"
)

// Result is the outcome of one check.
type Result struct {
	// Checked is the number of operations that the check looked at.
	Checked    int      `json:"checked"`
	Violations []string `json:"violations,omitempty"`
	// Undecided names ids whose search did not end in time.
	Undecided []string `json:"undecided,omitempty"`
	Notes     []string `json:"notes,omitempty"`
}

func (r *Result) violate(format string, args ...any) {
	r.Violations = append(r.Violations, fmt.Sprintf(format, args...))
}

func (r *Result) add(o Result) {
	r.Checked += o.Checked
	r.Violations = append(r.Violations, o.Violations...)
	r.Undecided = append(r.Undecided, o.Undecided...)
	r.Notes = append(r.Notes, o.Notes...)
}

// Guarantee is the result for one of G1 to G9.
type Guarantee struct {
	Name string `json:"name"`
	Text string `json:"text"`
	Result
}

// Bounds are the times that guarantees name.
type Bounds struct {
	// LeavingGrace is how long an instance that leaves may still get new work.
	LeavingGrace time.Duration
	// InForce is how long an accepted configuration may take to be in force
	// everywhere.
	InForce time.Duration
	// Search bounds the search for an order, for each id.
	Search time.Duration
}

// Check checks all guarantees over a history.
func Check(ops []Operation, limits Limits, bounds Bounds) []Guarantee {
	return []Guarantee{
		{"G1", "no instance has more work than it can hold",
			join(CheckCapacity(ops, limits), CheckSlots(ops, limits), CheckConnections(ops, limits))},
		{"G2", "a task never runs in two places at once", CheckExclusive(ops, bounds.Search)},
		{"G3", "evicted work resumes exactly once", CheckCompletion(ops)},
		{"G4", "each answer is complete and belongs to its request", CheckAnswers(ops)},
		{"G5", "not_run means not run", CheckNotRun(ops)},
		{"G6", "a non-idempotent request runs at most once", CheckAtMostOnce(ops, bounds.Search)},
		{"G7", "a leaving instance gets no new work", CheckLeaving(ops, bounds.LeavingGrace)},
		{"G8", "a planned stop cuts no request", CheckInterrupted(ops)},
		{"G9", "an accepted configuration is in force and never reverts",
			join(CheckMonotonicVersions(ops, bounds.Search), CheckInForce(ops, bounds.InForce))},
	}
}

// CheckAtMostOnce checks non-idempotent ids against an at-most-once register.
func CheckAtMostOnce(ops []Operation, search time.Duration) Result {
	v, checked := checkOnce(ops, search)
	return v.result(checked, "runs and answers fit no order in which it ran at most once")
}

// CheckExclusive checks the attempts of each task against an exclusive lock.
func CheckExclusive(ops []Operation, search time.Duration) Result {
	v, checked := checkLocks(ops, search)
	return v.result(checked, "attempts overlap or repeat")
}

// CheckMonotonicVersions checks that no instance reports an older version later.
func CheckMonotonicVersions(ops []Operation, search time.Duration) Result {
	v, checked := checkVersions(ops, search)
	return v.result(checked, "configuration version went back")
}

func (v verdict) result(checked int, reason string) Result {
	return Result{Checked: checked, Violations: describe(reason, v.bad), Undecided: v.undecided}
}

func join(results ...Result) Result {
	var all Result
	for _, r := range results {
		all.add(r)
	}
	return all
}
