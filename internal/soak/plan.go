// Package soak runs real scheduler processes against the emulated platform and
// injects faults from outside: signals; connections that stall, stall in one
// direction, are slow or are reset; a store that is unavailable or loses responses;
// workers that restart, leave or execute commands late; workers and owners that are lost
// in series; workers and a store that send a response twice. It checks what callers and workers see against the guarantees of the
// system. A seed always yields the same faults.
package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is the kind of a fault.
type Kind string

// Kinds of faults. The Target of a fault is the number of a worker for the kinds
// of which targetsWorkers is true, that of a failure domain for DomainEvacuated, unused
// for lossKinds, and the number of an instance for the others.
const (
	Kill                 Kind = "kill"
	KillAll              Kind = "kill all"
	Terminate            Kind = "terminate"
	Freeze               Kind = "freeze"
	HangUp               Kind = "hang up"
	StoreStalled         Kind = "store stalled"
	StoreStalledOneWay   Kind = "store stalled one way"
	StoreReset           Kind = "store connections reset"
	StoreDelay           Kind = "store delayed"
	StoreUnavailable     Kind = "store unavailable"
	StoreResponsesLost   Kind = "store responses lost"
	StoreAppendsDelayed  Kind = "store appends delayed"
	StorePartlyDown      Kind = "store partly down"
	StoreTrimmed         Kind = "store trimmed"
	CallersReset         Kind = "callers reset"
	WorkerStalled        Kind = "worker stalled"
	WorkerStalledOneWay  Kind = "worker stalled one way"
	WorkerRestart        Kind = "worker restart"
	WorkerLeaves         Kind = "worker leaves"
	CommandResponsesLost Kind = "command responses lost"
	CommandsDelayed      Kind = "commands delayed"
	ConfigChange         Kind = "configuration"
	WorkerCrash          Kind = "worker crash"
	WorkerResized        Kind = "worker resized"
	DomainEvacuated      Kind = "domain evacuated"
	WorkerRepeats        Kind = "worker repeats responses"
	StoreRepeats         Kind = "store repeats responses"
	WorkerLostResets     Kind = "worker lost resets"  // its connections are reset
	WorkerLostDark       Kind = "worker lost dark"    // its connections hang
	WorkerLostRefuses    Kind = "worker lost refuses" // its connections are refused
	OwnerLost            Kind = "owner lost"
	OwnerLostDark        Kind = "owner lost dark" // its connections hang
)

var kinds = []Kind{
	Kill, KillAll, Terminate, Freeze, HangUp, StoreStalled, StoreStalledOneWay, StoreReset, StoreDelay, StoreUnavailable, StoreResponsesLost, StoreAppendsDelayed,
	StorePartlyDown, StoreTrimmed, CallersReset, WorkerStalled, WorkerStalledOneWay, WorkerRestart, WorkerLeaves, CommandResponsesLost, CommandsDelayed, ConfigChange,
}

// workerKinds are drawn apart from the other kinds, so that the seeds of runs from
// before them keep their faults.
var workerKinds = []Kind{WorkerCrash, WorkerResized}

// repeatKinds are drawn apart for the same reason.
var repeatKinds = []Kind{WorkerRepeats, StoreRepeats}

// Fault is one fault of a plan.
type Fault struct {
	// At is the time of its start since the start of the plan, For its duration. A loss
	// without one lasts until the end of the run.
	At     time.Duration
	For    time.Duration
	Kind   Kind
	Target int
	// All applies the fault to all instances or all workers at once.
	All bool
}

// String returns the line used in reports.
func (f Fault) String() string {
	target := fmt.Sprint(f.Target)
	if f.All {
		target = "all"
	}
	return fmt.Sprintf("%6.2fs %-24s %-4s for %.2fs", f.At.Seconds(), f.Kind, target, f.For.Seconds())
}

// Options of a run.
type Options struct {
	Seed      uint64
	Duration  time.Duration // of the plan, with faultFreeTail
	Instances int
	Workers   int
	Callers   int
	// LongLived is the number of long-running jobs that run until the end. Without them
	// nothing is lost for long.
	LongLived int
	// Only leaves out all other kinds of faults; none means all kinds.
	Only []Kind
	// Binary is the scheduler program.
	Binary string
	// Dir receives settings and the output of the processes.
	Dir string
	// Print receives a line for each fault; nil discards them.
	Print func(format string, args ...any)
}

const (
	// meanGap is the mean time between the starts of faults. Faults last longer,
	// so several overlap.
	meanGap = 700 * time.Millisecond
	// faultFreeTail is the time at the end of a plan without new faults.
	faultFreeTail = 3 * time.Second
	// allTargetsShare is the fraction of faults that apply to all instances or
	// workers at once.
	allTargetsShare = 0.1
	// followUpShare is the fraction of faults that a second fault on the same
	// target follows after a quarter of the time to the next one.
	followUpShare = 0.3
	// workerKindsGap is the mean time between the starts of faults of workerKinds, and
	// of repeatKinds.
	workerKindsGap = 1500 * time.Millisecond
)

// Plan returns the faults of a seed in the order of their start times.
func Plan(o Options) []Fault {
	rng := rand.New(rand.NewPCG(o.Seed, 1))
	var faults []Fault
	for at := time.Second; at < o.Duration-faultFreeTail; {
		f := Fault{
			At: at, For: time.Duration(float64(3*time.Second) * (0.1 + rng.Float64())),
			Kind: kinds[rng.IntN(len(kinds))], All: rng.Float64() < allTargetsShare,
		}
		f.Target = rng.IntN(o.Instances)
		if f.Kind.targetsWorkers() {
			f.Target = rng.IntN(o.Workers)
		}
		faults = append(faults, f)
		gap := time.Duration(rng.ExpFloat64() * float64(meanGap))
		if rng.Float64() < followUpShare {
			f.At, f.Kind = at+gap/4, kinds[rng.IntN(len(kinds))]
			f.Target %= min(o.Instances, o.Workers)
			faults = append(faults, f)
		}
		at += gap
	}
	faults = append(faults, planApart(o, 2, workerKinds)...)
	faults = append(faults, planApart(o, 4, repeatKinds)...)
	faults = append(faults, planEvacuations(o)...)
	if o.LongLived > 0 {
		faults = append(faults, planLosses(o)...)
	}
	if len(o.Only) > 0 {
		faults = slices.DeleteFunc(faults, func(f Fault) bool { return !slices.Contains(o.Only, f.Kind) })
	}
	slices.SortStableFunc(faults, func(a, b Fault) int { return int(a.At - b.At) })
	return faults
}

// planApart returns the faults of some kinds, drawn with a random stream of their own.
func planApart(o Options, stream uint64, kinds []Kind) []Fault {
	rng := rand.New(rand.NewPCG(o.Seed, stream))
	var faults []Fault
	for at := time.Second; at < o.Duration-faultFreeTail; at += time.Duration(rng.ExpFloat64() * float64(workerKindsGap)) {
		f := Fault{
			At: at, For: time.Duration(float64(3*time.Second) * (0.1 + rng.Float64())),
			Kind: kinds[rng.IntN(len(kinds))], Target: rng.IntN(o.Workers), All: rng.Float64() < allTargetsShare/2,
		}
		if !f.Kind.targetsWorkers() {
			f.Target %= o.Instances
		}
		faults = append(faults, f)
	}
	return faults
}

func (k Kind) targetsWorkers() bool {
	switch k {
	case WorkerStalled, WorkerStalledOneWay, WorkerRestart, WorkerLeaves, CommandResponsesLost, CommandsDelayed, WorkerCrash, WorkerResized, WorkerRepeats:
		return true
	}
	return false
}
