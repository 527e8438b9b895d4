package history

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"gooseberryreel/internal/remote"
)

// interval is the use of an amount of resources from start to end, in ns.
type interval struct {
	start, end int64
	id         string
	amount     remote.Resources
}

// peakViolation sweeps over the starts and ends of intervals and describes the
// first time at which the sum of their amounts exceeds the limit. It reports false
// if there is none. At equal times, ends come before starts.
func peakViolation(intervals []interval, limit remote.Resources) (string, bool) {
	type edge struct {
		at    int64
		start bool
		use   interval
	}
	edges := make([]edge, 0, 2*len(intervals))
	for _, use := range intervals {
		edges = append(edges, edge{at: use.start, start: true, use: use}, edge{at: max(use.end, use.start+1), use: use})
	}
	slices.SortStableFunc(edges, func(a, b edge) int {
		if a.at != b.at {
			return cmp.Compare(a.at, b.at)
		}
		if a.start == b.start {
			return 0
		}
		if b.start {
			return -1
		}
		return 1
	})
	var sum remote.Resources
	for _, e := range edges {
		if !e.start {
			sum = sum.Sub(e.use.amount)
			continue
		}
		sum = sum.Add(e.use.amount)
		if !sum.Fits(limit) {
			return fmt.Sprintf("%+v in use, limit %+v, when %s started at %d", sum, limit, e.use.id, e.at), true
		}
	}
	return "", false
}

// groupIntervals returns the intervals of operations, grouped by key. Operations
// for which key returns false are left out.
func groupIntervals(ops []Operation, key func(*Operation) (string, bool), amount func(*Operation) remote.Resources) map[string][]interval {
	groups := make(map[string][]interval)
	for n := range ops {
		op := &ops[n]
		if k, ok := key(op); ok {
			groups[k] = append(groups[k], interval{start: op.Start, end: op.endOr(math.MaxInt64), id: op.ID, amount: amount(op)})
		}
	}
	return groups
}

// CheckCapacity checks that the attempts on each worker together never declared
// more than its capacity for batch tasks.
func CheckCapacity(ops []Operation, limits Limits) Result {
	groups := groupIntervals(ops,
		func(op *Operation) (string, bool) { return op.Worker, op.Kind == KindAttempt && op.ran() },
		func(op *Operation) remote.Resources {
			return remote.Resources{CPUMilli: op.CPUMilli, MemoryMiB: op.MemoryMiB, Accelerators: op.Accelerators}
		})
	var r Result
	for _, worker := range sortedKeys(groups) {
		capacity, known := limits.Workers[worker]
		r.checkPeak("worker "+worker, groups[worker], capacity, known)
	}
	return r
}

// CheckSlots checks that no target had more concurrent requests than slots. A
// request that a full target refused counts too, because it was sent there.
func CheckSlots(ops []Operation, limits Limits) Result {
	return checkTargets(ops, limits, KindDispatch, func(t TargetLimits) int { return t.Slots })
}

// CheckConnections checks that no target had more connections than its limit, and
// that no connection was refused because of the limit.
func CheckConnections(ops []Operation, limits Limits) Result {
	r := checkTargets(ops, limits, KindConnection, func(t TargetLimits) int { return t.Connections })
	for _, op := range ops {
		if op.Kind == KindConnection && op.Outcome == OutcomeRefused {
			r.violate("target %s: refused a connection beyond its limit at %d", op.Target, op.Start)
		}
	}
	return r
}

func checkTargets(ops []Operation, limits Limits, kind string, limitOf func(TargetLimits) int) Result {
	groups := groupIntervals(ops,
		func(op *Operation) (string, bool) { return op.Target, op.Kind == kind },
		func(*Operation) remote.Resources { return remote.Resources{CPUMilli: 1} })
	var r Result
	for _, target := range sortedKeys(groups) {
		t, known := limits.Targets[target]
		r.checkPeak(kind+" at target "+target, groups[target], remote.Resources{CPUMilli: int64(limitOf(t))}, known)
	}
	return r
}

// checkPeak checks one group of intervals and adds the outcome to the result. A group
// without a known limit gets a note and does not count as checked.
func (r *Result) checkPeak(name string, intervals []interval, limit remote.Resources, known bool) {
	if !known {
		r.Notes = append(r.Notes, name+": limit unknown, not checked")
		return
	}
	r.Checked += len(intervals)
	if reason, exceeded := peakViolation(intervals, limit); exceeded {
		r.Violations = append(r.Violations, name+": "+reason)
	}
}

// CheckAnswers checks that each answer belongs to its request and is complete: its
// digest must equal the one that the client computed from its own request.
func CheckAnswers(ops []Operation) Result {
	var r Result
	for _, op := range ops {
		if op.Kind != KindRequest || op.Outcome != OutcomeOK || op.Want == "" {
			continue
		}
		r.Checked++
		if op.Body != op.Want {
			r.violate("%s: answer digest %s, expected %s", op.ID, op.Body, op.Want)
		}
	}
	return r
}

// CheckNotRun checks that every run at a target or worker is explained by a call
// that did not end as "not_run" and that started before the run.
func CheckNotRun(ops []Operation) Result {
	calls := make(map[string][]Operation)
	for _, op := range ops {
		if (op.Kind == KindRequest || op.Kind == KindJob) && op.ID != "" {
			calls[op.ID] = append(calls[op.ID], op)
		}
	}
	var r Result
	for _, group := range calls {
		for _, call := range group {
			if call.Outcome == OutcomeNotRun {
				r.Checked++
			}
		}
	}
	for _, op := range ops {
		isRun := (op.Kind == KindDispatch || op.Kind == KindAttempt) && op.ran()
		if !isRun || len(calls[op.ID]) == 0 {
			continue
		}
		explained := slices.ContainsFunc(calls[op.ID], func(call Operation) bool {
			return call.Outcome != OutcomeNotRun && call.Start <= op.Start
		})
		if !explained {
			r.violate("%s: %s ran it at %d, but every call that could have caused the run got not_run", op.ID, op.Client, op.Start)
		}
	}
	return r
}

// CheckLeaving checks that an instance gets no new work later than grace after it
// started to leave: no dispatch at a target, no attempt on a worker, no call at an
// entry instance.
func CheckLeaving(ops []Operation, grace time.Duration) Result {
	leaving := make(map[string]int64)
	for _, op := range ops {
		if op.Kind != KindLeaving {
			continue
		}
		for _, name := range []string{op.ID, op.Target} {
			if at, ok := leaving[name]; name != "" && (!ok || op.Start < at) {
				leaving[name] = op.Start
			}
		}
	}
	var r Result
	for _, op := range ops {
		location := op.workLocation()
		at, ok := leaving[location]
		if location == "" || !ok || op.Start < at {
			continue
		}
		r.Checked++
		if late := time.Duration(op.Start - at); late > grace {
			r.violate("%s: new %s at %s %v after it started to leave", op.ID, op.Kind, location, late)
		}
	}
	return r
}

// workLocation returns the name or address of the instance at which an operation
// started new work, or "" if it started none.
func (op *Operation) workLocation() string {
	switch op.Kind {
	case KindDispatch:
		return op.Target
	case KindAttempt:
		return op.Worker
	case KindRequest:
		return op.entryAddress()
	}
	return ""
}

// CheckInterrupted checks that a leaving entry instance gives an HTTP answer to the
// calls in flight when it started to leave and to the calls that it still accepts.
func CheckInterrupted(ops []Operation) Result {
	leaving := make(map[string]int64)
	for _, op := range ops {
		if op.Kind == KindLeaving && op.Target != "" {
			leaving[op.Target] = op.Start
		}
	}
	var r Result
	for _, op := range ops {
		at, ok := leaving[op.entryAddress()]
		if op.Kind != KindRequest || !ok || op.endOr(math.MaxInt64) < at {
			continue
		}
		r.Checked++
		if op.Status == 0 {
			r.violate("%s: no answer from %s, which was leaving", op.ID, op.entryAddress())
		}
	}
	return r
}

// CheckCompletion checks that each job ended as done at most once, that no attempt
// ran twice, and that each job that a client saw as done ended as done on a worker.
// The last check is left out if the history has no attempts.
func CheckCompletion(ops []Operation) Result {
	done, attempts := make(map[string]int), make(map[string]map[int]int)
	for _, op := range ops {
		if op.Kind != KindAttempt || !op.ran() {
			continue
		}
		if attempts[op.ID] == nil {
			attempts[op.ID] = make(map[int]int)
		}
		attempts[op.ID][op.Attempt]++
		if op.Outcome == OutcomeOK {
			done[op.ID]++
		}
	}
	var r Result
	for _, id := range sortedKeys(attempts) {
		r.Checked++
		if done[id] > 1 {
			r.violate("job %s: %d attempts ended as done", id, done[id])
		}
		for attempt, runs := range attempts[id] {
			if runs > 1 {
				r.violate("job %s: attempt %d ran %d times", id, attempt, runs)
			}
		}
	}
	for _, op := range ops {
		if op.Kind == KindJob && op.Outcome == OutcomeOK && len(attempts) > 0 && done[op.ID] == 0 {
			r.violate("job %s: reported as done, but no attempt ended as done", op.ID)
		}
	}
	return r
}

// CheckInForce checks that no instance reports a version older than one whose
// publication a client saw accepted more than bound before. It also checks that no
// two publications were accepted as the same version.
func CheckInForce(ops []Operation, bound time.Duration) Result {
	var r Result
	byVersion := make(map[int64]string)
	var accepted []Operation
	for _, op := range ops {
		if op.Kind != KindPublish || op.Outcome != OutcomeOK {
			continue
		}
		accepted = append(accepted, op)
		if other, found := byVersion[op.Version]; found && other != op.ID {
			r.violate("publications %s and %s were both accepted as version %d", other, op.ID, op.Version)
		}
		byVersion[op.Version] = op.ID
	}
	for _, read := range ops {
		if read.Kind != KindConfigRead || read.Outcome != OutcomeOK {
			continue
		}
		r.Checked++
		for _, p := range accepted {
			if read.Start-p.End > int64(bound) && read.Version < p.Version {
				r.violate("instance %s: reports version %d, but version %d was accepted %v before", read.ID, read.Version, p.Version, time.Duration(read.Start-p.End))
				break
			}
		}
	}
	return r
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
