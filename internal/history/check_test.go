package history

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/remote"
)

const searchBound = 10 * time.Second

var testLimits = Limits{
	Workers: map[string]remote.Resources{"w1": {CPUMilli: 4000, MemoryMiB: 8192}},
	Targets: map[string]TargetLimits{"t1": {Slots: 1, Connections: 2, Service: "pickbook", Worker: "w1"}},
}

func request(id, outcome string, start, end int64) Operation {
	return Operation{Client: "c", Kind: KindRequest, ID: id, Start: start, End: end, Outcome: outcome}
}

func dispatch(id string, start, end int64) Operation {
	return Operation{Kind: KindDispatch, ID: id, Target: "t1", Start: start, End: end, Outcome: OutcomeOK}
}

func attempt(id string, number int, start, end int64, outcome string) Operation {
	return Operation{Kind: KindAttempt, ID: id, Attempt: number, Worker: "w1", Start: start, End: end, Outcome: outcome, CPUMilli: 3000}
}

func configRead(instance string, version, at int64) Operation {
	return Operation{Kind: KindConfigRead, ID: instance, Version: version, Start: at, End: at, Outcome: OutcomeOK}
}

func answer(body, want string) Operation {
	op := request("a", OutcomeOK, 1, 2)
	op.Body, op.Want = body, want
	return op
}

func callAt(entry string, status int, start, end int64) Operation {
	op := request("a", OutcomeOK, start, end)
	op.Client, op.Status = "c@"+entry, status
	return op
}

// Guards against checks that pass a history with a violation, and against checks
// that report a violation in a history that keeps the guarantee.
func TestChecks(t *testing.T) {
	second := int64(time.Second)
	leavingEntry := Operation{Kind: KindLeaving, ID: "e1", Target: "127.0.0.1:1", Start: 10 * second, End: 10 * second}
	leavingTarget := Operation{Kind: KindLeaving, ID: "t1", Start: 10 * second, End: 10 * second}
	published := Operation{Kind: KindPublish, ID: "p1", Version: 5, Start: 1, End: second, Outcome: OutcomeOK}
	atMostOnce := func(ops []Operation) Result { return CheckAtMostOnce(ops, searchBound) }
	exclusive := func(ops []Operation) Result { return CheckExclusive(ops, searchBound) }
	monotonic := func(ops []Operation) Result { return CheckMonotonicVersions(ops, searchBound) }
	capacity := func(ops []Operation) Result { return CheckCapacity(ops, testLimits) }
	slots := func(ops []Operation) Result { return CheckSlots(ops, testLimits) }
	leaving := func(ops []Operation) Result { return CheckLeaving(ops, 3*time.Second) }
	inForce := func(ops []Operation) Result { return CheckInForce(ops, 9*time.Second) }
	for _, test := range []struct {
		name      string
		check     func([]Operation) Result
		good, bad []Operation
	}{
		{"two runs of one id", atMostOnce,
			[]Operation{request("a", OutcomeOK, 1, 9), request("a", OutcomeUnknown, 2, 9), dispatch("a", 3, 4)},
			[]Operation{request("a", OutcomeOK, 1, 9), dispatch("a", 3, 4), dispatch("a", 5, 6)}},
		{"not_run after the run", atMostOnce,
			[]Operation{request("a", OutcomeNotRun, 1, 2), request("a", OutcomeOK, 3, 9), dispatch("a", 4, 5)},
			[]Operation{request("a", OutcomeOK, 1, 5), dispatch("a", 2, 4), request("a", OutcomeNotRun, 6, 7)}},
		{"answer without a run", atMostOnce,
			[]Operation{request("a", OutcomeOK, 1, 9), dispatch("a", 3, 4)},
			[]Operation{request("a", OutcomeOK, 1, 2), dispatch("a", 3, 4)}},
		{"attempts overlap", exclusive,
			[]Operation{attempt("j", 1, 1, 5, OutcomeRan), attempt("j", 2, 6, 8, OutcomeOK), attempt("k", 1, 2, 0, "")},
			[]Operation{attempt("j", 1, 1, 5, OutcomeRan), attempt("j", 2, 4, 8, OutcomeOK)}},
		{"attempt never ended", exclusive,
			[]Operation{attempt("j", 1, 1, 0, "")},
			[]Operation{attempt("j", 1, 1, 0, ""), attempt("j", 2, 4, 8, OutcomeOK)}},
		{"attempt number repeats", exclusive,
			[]Operation{attempt("j", 1, 1, 2, OutcomeRan), attempt("j", 3, 4, 8, OutcomeOK)},
			[]Operation{attempt("j", 2, 1, 2, OutcomeRan), attempt("j", 2, 4, 8, OutcomeOK)}},
		{"version decreases", monotonic,
			[]Operation{configRead("e1", 4, 1), configRead("e1", 4, 2), configRead("e2", 3, 3), configRead("e1", 5, 4)},
			[]Operation{configRead("e1", 5, 1), configRead("e1", 4, 2)}},
		{"worker over capacity", capacity,
			[]Operation{attempt("j", 1, 1, 5, OutcomeOK), attempt("k", 1, 5, 8, OutcomeOK)},
			[]Operation{attempt("j", 1, 1, 5, OutcomeOK), attempt("k", 1, 4, 8, OutcomeOK)}},
		{"target over its slots", slots,
			[]Operation{dispatch("a", 1, 5), dispatch("b", 5, 8)},
			[]Operation{dispatch("a", 1, 5), dispatch("b", 4, 8)}},
		{"request refused by a full target", slots,
			[]Operation{dispatch("a", 1, 5), {Kind: KindDispatch, ID: "b", Target: "t1", Start: 6, End: 6, Outcome: OutcomeNotRun}},
			[]Operation{dispatch("a", 1, 5), {Kind: KindDispatch, ID: "b", Target: "t1", Start: 4, End: 4, Outcome: OutcomeNotRun}}},
		{"answer of another request", CheckAnswers,
			[]Operation{answer("x", "x")},
			[]Operation{answer("x", "y")}},
		{"not_run although it ran", CheckNotRun,
			[]Operation{request("a", OutcomeNotRun, 1, 2), request("b", OutcomeNotRun, 1, 2), request("b", OutcomeUnknown, 3, 9), dispatch("b", 4, 5)},
			[]Operation{request("a", OutcomeNotRun, 1, 9), dispatch("a", 3, 4)}},
		{"new work after leaving", leaving,
			[]Operation{leavingTarget, dispatch("a", 12*second, 14*second), callAt("127.0.0.1:1", 200, 99*second, 99*second)},
			[]Operation{leavingTarget, dispatch("a", 14*second, 14*second)}},
		{"new call at a leaving entry instance", leaving,
			[]Operation{leavingEntry, callAt("127.0.0.1:1", 200, 12*second, 12*second)},
			[]Operation{leavingEntry, callAt("127.0.0.1:1", 200, 14*second, 14*second)}},
		{"request interrupted by a planned leave", CheckInterrupted,
			[]Operation{leavingEntry, callAt("127.0.0.1:1", 200, 9*second, 11*second), callAt("127.0.0.1:2", 0, 9*second, 11*second)},
			[]Operation{leavingEntry, callAt("127.0.0.1:1", 0, 9*second, 11*second)}},
		{"done twice", CheckCompletion,
			[]Operation{attempt("j", 1, 1, 5, OutcomeRan), attempt("j", 2, 6, 8, OutcomeOK)},
			[]Operation{attempt("j", 1, 1, 5, OutcomeOK), attempt("j", 2, 6, 8, OutcomeOK)}},
		{"reported done without an end", CheckCompletion,
			[]Operation{attempt("j", 1, 1, 5, OutcomeOK), {Kind: KindJob, ID: "j", Start: 1, End: 9, Outcome: OutcomeOK}},
			[]Operation{attempt("j", 1, 1, 5, OutcomeRan), {Kind: KindJob, ID: "j", Start: 1, End: 9, Outcome: OutcomeOK}}},
		{"accepted configuration not in force", inForce,
			[]Operation{published, configRead("e1", 4, 9*second), configRead("e1", 5, 11*second)},
			[]Operation{published, configRead("e1", 4, 11*second)}},
		{"one version for two publishes", inForce,
			[]Operation{published, published},
			[]Operation{published, {Kind: KindPublish, ID: "p2", Version: 5, Start: 1, End: 2, Outcome: OutcomeOK}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			good := test.check(test.good)
			c.Assert(good.Violations, qt.HasLen, 0)
			c.Assert(good.Undecided, qt.HasLen, 0)
			c.Assert(test.check(test.bad).Violations, qt.Not(qt.HasLen), 0)
		})
	}
}

// Guards against a connection check that uses the number of slots, and against
// targets without a known limit that count as checked.
func TestConnectionsAndUnknownLimits(t *testing.T) {
	c := qt.New(t)
	connection := func(target string) Operation {
		return Operation{Kind: KindConnection, Target: target, Start: 1, End: 9}
	}
	two := []Operation{connection("t1"), connection("t1")}
	c.Assert(CheckConnections(two, testLimits).Violations, qt.HasLen, 0)
	c.Assert(CheckConnections(append(two, connection("t1")), testLimits).Violations, qt.HasLen, 1)
	refused := connection("t1")
	refused.Outcome = OutcomeRefused
	c.Assert(CheckConnections([]Operation{refused}, testLimits).Violations, qt.HasLen, 1)
	unknown := CheckConnections([]Operation{connection("t9")}, testLimits)
	c.Assert(unknown.Checked, qt.Equals, 0)
	c.Assert(unknown.Notes, qt.HasLen, 1)
}

// Guards against batch tasks that get the capacity reserved for a service.
func TestReservedCapacityIsNotFree(t *testing.T) {
	c := qt.New(t)
	limits := Limits{Workers: map[string]remote.Resources{"w1": {CPUMilli: 4000}}, Targets: testLimits.Targets}
	ops := []Operation{attempt("j", 1, 1, 5, OutcomeOK)}
	c.Assert(CheckCapacity(ops, limits).Violations, qt.HasLen, 0)
	limits.Reserve("pickbook", &pb.Service{PerTarget: &pb.Resources{CpuMilli: 2000}})
	c.Assert(CheckCapacity(ops, limits).Violations, qt.HasLen, 1)
}

// Guards against a guarantee that is missing from the report.
func TestCheckCoversAllGuarantees(t *testing.T) {
	c := qt.New(t)
	all := Check(nil, Limits{}, Bounds{})
	c.Assert(all, qt.HasLen, 9)
	c.Assert(all[8].Name, qt.Equals, "G9")
}
