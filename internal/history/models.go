package history

import (
	"fmt"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"
)

// atMostOnceModel is the at-most-once register of a non-idempotent id: false until a
// target has run it. A second run is illegal, and so are a "not_run" after a run and
// an answer before a run.
var atMostOnceModel = porcupine.Model{
	Init: func() any { return false },
	Step: func(state, input, _ any) (bool, any) {
		ran := state.(bool)
		op := input.(Operation)
		if op.Kind == KindDispatch {
			return !ran, true
		}
		switch op.Outcome {
		case OutcomeNotRun:
			return !ran, ran
		case OutcomeOK, OutcomeRan:
			return ran, ran
		}
		return true, ran
	},
}

// versionModel is the configuration version that one instance reports: a register
// whose value never decreases.
var versionModel = porcupine.Model{
	Init: func() any { return int64(-1) },
	Step: func(state, input, _ any) (bool, any) {
		version := input.(Operation).Version
		return version >= state.(int64), max(version, state.(int64))
	},
}

// lockState is the state of the lock of one task. attempt is the number of the last
// attempt that held it; numbers increase.
type lockState struct {
	held    bool
	attempt int
}

// lockOperation acquires or releases the lock of a task.
type lockOperation struct {
	op      Operation
	release bool
}

// lockModel treats the attempts of one task as holders of an exclusive lock: an
// attempt acquires it at its start and releases it at its end.
var lockModel = porcupine.Model{
	Init: func() any { return lockState{} },
	Step: func(state, input, _ any) (bool, any) {
		s, lockOp := state.(lockState), input.(lockOperation)
		if lockOp.release {
			return s.held && s.attempt == lockOp.op.Attempt, lockState{attempt: s.attempt}
		}
		return !s.held && lockOp.op.Attempt > s.attempt, lockState{held: true, attempt: lockOp.op.Attempt}
	},
}

// groupByKey groups operations by key, in the order in which the keys first occur.
func groupByKey(all []porcupine.Operation, key func(porcupine.Operation) string) [][]porcupine.Operation {
	groups := make(map[string][]porcupine.Operation)
	var order []string
	for _, op := range all {
		k := key(op)
		if _, ok := groups[k]; !ok {
			order = append(order, k)
		}
		groups[k] = append(groups[k], op)
	}
	result := make([][]porcupine.Operation, 0, len(order))
	for _, k := range order {
		result = append(result, groups[k])
	}
	return result
}

// verdict is the result of one model over one history.
type verdict struct {
	illegal   []string // keys whose operations have no legal order
	undecided []string // keys whose search did not end in time
}

// runModel checks the operations of each key separately, so that the search stays
// small and a violation names its key.
func runModel(model porcupine.Model, ops []porcupine.Operation, key func(porcupine.Operation) string, timeout time.Duration) verdict {
	var v verdict
	for _, group := range groupByKey(ops, key) {
		switch porcupine.CheckOperationsTimeout(model, group, timeout) {
		case porcupine.Illegal:
			v.illegal = append(v.illegal, key(group[0]))
		case porcupine.Unknown:
			v.undecided = append(v.undecided, key(group[0]))
		}
	}
	return v
}

func operationKey(op porcupine.Operation) string { return op.Input.(Operation).ID }

func lockKey(op porcupine.Operation) string { return op.Input.(lockOperation).op.ID }

// atMostOnceVerdict checks the ids that clients sent as non-idempotent against
// atMostOnceModel. It also returns the number of operations checked.
func atMostOnceVerdict(ops []Operation, timeout time.Duration) (verdict, int) {
	nonIdempotent := make(map[string]bool)
	for _, op := range ops {
		if op.Kind == KindRequest && !op.Idempotent && op.ID != "" {
			nonIdempotent[op.ID] = true
		}
	}
	hasDispatches := hasKind(ops, KindDispatch)
	openEnd := lastTime(ops)
	var input []porcupine.Operation
	for i, op := range ops {
		isRun := op.Kind == KindDispatch && op.ran()
		isCall := op.Kind == KindRequest && (op.Outcome == OutcomeNotRun || hasDispatches)
		if nonIdempotent[op.ID] && (isRun || isCall) {
			input = append(input, porcupine.Operation{ClientId: i, Input: op, Call: op.Start, Return: op.endOr(openEnd)})
		}
	}
	return runModel(atMostOnceModel, input, operationKey, timeout), len(input)
}

// versionVerdict checks the versions that each instance reported against
// versionModel. It also returns the number of operations checked.
func versionVerdict(ops []Operation, timeout time.Duration) (verdict, int) {
	var input []porcupine.Operation
	for i, op := range ops {
		if op.Kind != KindConfigRead || op.Outcome != OutcomeOK {
			continue
		}
		input = append(input, porcupine.Operation{ClientId: i, Input: op, Call: op.Start, Return: op.endOr(op.Start)})
	}
	return runModel(versionModel, input, operationKey, timeout), len(input)
}

// lockVerdict checks the attempts of each task against lockModel. It also returns
// the number of attempts checked.
func lockVerdict(ops []Operation, timeout time.Duration) (verdict, int) {
	var input []porcupine.Operation
	attempts := 0
	for _, op := range ops {
		if op.Kind != KindAttempt || !op.ran() {
			continue
		}
		attempts++
		input = append(input, porcupine.Operation{ClientId: 2 * attempts, Input: lockOperation{op: op}, Call: op.Start, Return: op.Start})
		if op.End != 0 {
			input = append(input, porcupine.Operation{ClientId: 2*attempts + 1, Input: lockOperation{op: op, release: true}, Call: op.End, Return: op.End})
		}
	}
	return runModel(lockModel, input, lockKey, timeout), attempts
}

func hasKind(ops []Operation, kind string) bool {
	return slices.ContainsFunc(ops, func(op Operation) bool { return op.Kind == kind })
}

func lastTime(ops []Operation) int64 {
	last := int64(0)
	for _, op := range ops {
		last = max(last, op.Start, op.End)
	}
	return last
}

func describe(reason string, keys []string) []string {
	described := make([]string, 0, len(keys))
	for _, key := range keys {
		described = append(described, fmt.Sprintf("%s: %s", key, reason))
	}
	return described
}
