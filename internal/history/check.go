package history

import (
	"fmt"
	"time"
)

// Result is the outcome of one check.
type Result struct {
	// Checked is the number of operations that the check covered.
	Checked    int      `json:"checked"`
	Violations []string `json:"violations,omitempty"`
	// Undecided lists the ids whose search did not end within the bound.
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

// Guarantee is the result for one of the guarantees G1 to G9.
type Guarantee struct {
	Name string `json:"name"`
	Text string `json:"text"`
	Result
}

// Bounds are the time bounds of the guarantees and of the search.
type Bounds struct {
	// LeavingGrace is how long a leaving instance may still get new work.
	LeavingGrace time.Duration
	// InForce bounds the time until an accepted configuration is in force
	// everywhere.
	InForce time.Duration
	// Search bounds the search for a legal order of the operations of one id.
	Search time.Duration
}

// Check checks all guarantees over a history and returns their results in order.
func Check(ops []Operation, limits Limits, bounds Bounds) []Guarantee {
	return []Guarantee{
		{"G1", "no instance has more work than its capacity allows",
			merge(CheckCapacity(ops, limits), CheckSlots(ops, limits), CheckConnections(ops, limits))},
		{"G2", "a task never runs in two places at once", CheckExclusive(ops, bounds.Search)},
		{"G3", "evicted work resumes exactly once", CheckCompletion(ops)},
		{"G4", "each answer is complete and belongs to its request", CheckAnswers(ops)},
		{"G5", "not_run means not run", CheckNotRun(ops)},
		{"G6", "a non-idempotent request runs at most once", CheckAtMostOnce(ops, bounds.Search)},
		{"G7", "a leaving instance gets no new work", CheckLeaving(ops, bounds.LeavingGrace)},
		{"G8", "a planned leave interrupts no request", CheckInterrupted(ops)},
		{"G9", "an accepted configuration is in force and never reverts",
			merge(CheckMonotonicVersions(ops, bounds.Search), CheckInForce(ops, bounds.InForce))},
	}
}

// CheckAtMostOnce checks that each non-idempotent id ran at most once, with an
// at-most-once register for each id.
func CheckAtMostOnce(ops []Operation, search time.Duration) Result {
	v, checked := atMostOnceVerdict(ops, search)
	return v.result(checked, "its runs and answers have no legal order with at most one run")
}

// CheckExclusive checks that the attempts of each task neither overlap nor repeat a
// number, with an exclusive lock for each task.
func CheckExclusive(ops []Operation, search time.Duration) Result {
	v, checked := lockVerdict(ops, search)
	return v.result(checked, "attempts overlap or repeat")
}

// CheckMonotonicVersions checks that no instance reports an older configuration
// version after a newer one.
func CheckMonotonicVersions(ops []Operation, search time.Duration) Result {
	v, checked := versionVerdict(ops, search)
	return v.result(checked, "configuration version decreased")
}

func (v verdict) result(checked int, reason string) Result {
	return Result{Checked: checked, Violations: describe(reason, v.illegal), Undecided: v.undecided}
}

func merge(results ...Result) Result {
	var all Result
	for _, r := range results {
		all.add(r)
	}
	return all
}
