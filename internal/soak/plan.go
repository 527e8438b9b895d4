// Package soak runs real scheduler processes against the emulated platform and
// disturbs them from outside: signals, links that are silent, cut one way, slow
// or reset, a store that refuses or loses answers, workers that restart, leave or
// carry orders out late. It checks what callers and workers see against the
// promises of the system. A seed gives the same disturbances each time.
package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of disturbance.
type Kind string

// Kinds of disturbances. Those of processes concern the instance Target, those of
// workers the worker Target.
const (
	Kill             Kind = "kill"
	KillAll          Kind = "kill all"
	Terminate        Kind = "terminate"
	Freeze           Kind = "freeze"
	HangUp           Kind = "hang up"
	StoreSilent      Kind = "store silent"
	StoreOneWay      Kind = "store cut one way"
	StoreReset       Kind = "store connections reset"
	StoreDelay       Kind = "store delayed"
	StoreRefuses     Kind = "store refuses"
	StoreAnswersLost Kind = "store loses answers"
	StoreAppendsLate Kind = "store late"
	StorePartlyDown  Kind = "store partly down"
	StoreTrimmed     Kind = "store forgets"
	CallersReset     Kind = "callers reset"
	WorkerSilent     Kind = "worker silent"
	WorkerOneWay     Kind = "worker cut one way"
	WorkerRestart    Kind = "worker restart"
	WorkerLeaves     Kind = "worker leaves"
	CommandsLost     Kind = "orders lost"
	CommandsLate     Kind = "orders late"
	ConfigChange     Kind = "configuration"
)

var kinds = []Kind{
	Kill, KillAll, Terminate, Freeze, HangUp, StoreSilent, StoreOneWay, StoreReset, StoreDelay, StoreRefuses, StoreAnswersLost, StoreAppendsLate,
	StorePartlyDown, StoreTrimmed, CallersReset, WorkerSilent, WorkerOneWay, WorkerRestart, WorkerLeaves, CommandsLost, CommandsLate, ConfigChange,
}

// Fault is one disturbance.
type Fault struct {
	At     time.Duration
	For    time.Duration
	Kind   Kind
	Target int
	// All disturbs all instances or workers at once.
	All bool
}

// String returns the line used in reports.
func (e Fault) String() string {
	target := fmt.Sprint(e.Target)
	if e.All {
		target = "all"
	}
	return fmt.Sprintf("%6.2fs %-24s %-4s for %.2fs", e.At.Seconds(), e.Kind, target, e.For.Seconds())
}

// Options of a run.
type Options struct {
	Seed      uint64
	Duration  time.Duration // of the disturbances
	Instances int
	Workers   int
	Callers   int
	// Binary is the scheduler program.
	Binary string
	// Dir receives settings and the output of the processes.
	Dir string
	// Print receives a line for each disturbance and finding, nil for none.
	Print func(format string, args ...any)
}

const (
	// meanGap is the mean time between disturbances. They last longer, so several
	// overlap.
	meanGap = 700 * time.Millisecond
	// quietTail is the time at the end without new disturbances.
	quietTail = 3 * time.Second
	// everyone is the share of disturbances that concern all at once.
	everyone = 0.1
	// series is the share of events that follow the one before on the same target
	// within a short time.
	series = 0.3
)

// Plan returns the disturbances of a seed in the order of their times.
func Plan(o Options) []Fault {
	rng := rand.New(rand.NewPCG(o.Seed, 1))
	var events []Fault
	for at := time.Second; at < o.Duration-quietTail; {
		e := Fault{
			At: at, For: time.Duration(float64(3*time.Second) * (0.1 + rng.Float64())),
			Kind: kinds[rng.IntN(len(kinds))], All: rng.Float64() < everyone,
		}
		e.Target = rng.IntN(o.Instances)
		if e.Kind.ofWorkers() {
			e.Target = rng.IntN(o.Workers)
		}
		events = append(events, e)
		gap := time.Duration(rng.ExpFloat64() * float64(meanGap))
		if rng.Float64() < series {
			e.At, e.Kind = at+gap/4, kinds[rng.IntN(len(kinds))]
			e.Target %= min(o.Instances, o.Workers)
			events = append(events, e)
		}
		at += gap
	}
	slices.SortStableFunc(events, func(a, b Fault) int { return int(a.At - b.At) })
	return events
}

func (k Kind) ofWorkers() bool {
	switch k {
	case WorkerSilent, WorkerOneWay, WorkerRestart, WorkerLeaves, CommandsLost, CommandsLate:
		return true
	}
	return false
}
