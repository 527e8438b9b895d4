// Package locality decides whether a task waits for free capacity near its data, or
// near the rest of its gang, or starts at once elsewhere, where it takes longer. It
// knows nothing of the scheduler, does no I/O and reads no clock: times are durations
// from the moment of the decision.
package locality

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Amount is an amount of the resources of a worker.
type Amount struct {
	CPUMilli     int64
	MemoryMiB    int64
	Accelerators int64
}

func (a Amount) plus(b Amount) Amount {
	return Amount{a.CPUMilli + b.CPUMilli, a.MemoryMiB + b.MemoryMiB, a.Accelerators + b.Accelerators}
}

func (a Amount) negated() Amount { return Amount{-a.CPUMilli, -a.MemoryMiB, -a.Accelerators} }

func (a Amount) fitsIn(b Amount) bool {
	return a.CPUMilli <= b.CPUMilli && a.MemoryMiB <= b.MemoryMiB && a.Accelerators <= b.Accelerators
}

// Running is a short attempt on a worker. Attempts that don't end are left out: they
// never free their resources.
type Running struct {
	Size    Amount
	Elapsed time.Duration
	// Expected is the expected duration of the whole attempt where it runs, and Spread
	// the standard deviation of its logarithm.
	Expected time.Duration
	Spread   float64
	// Progress is the part done when ProgressAfter of the attempt had elapsed, zero if
	// none was reported.
	Progress      float64
	ProgressAfter time.Duration
}

// Worker is a worker that may receive new work.
type Worker struct {
	Free    Amount
	Running []Running
	// Ready is when the worker counts: one that is still cold would run the task slowly.
	Ready time.Duration
}

// Forecast is the expected free capacity of the workers of one rack over time.
type Forecast struct{ profiles [][]change }

// change is a change in the free capacity of a worker. The first of a profile holds
// what is free at the beginning.
type change struct {
	at     time.Duration
	amount Amount
}

// progressTrust is the reported progress at which it counts as much as the estimate.
// Progress is close to linear, so a small part tells more than the estimate.
const progressTrust = 0.05

// NewForecast returns the forecast for a set of workers.
func NewForecast(workers []Worker) *Forecast {
	f := &Forecast{profiles: make([][]change, len(workers))}
	type end struct {
		worker   int
		running  *Running
		expected time.Duration
	}
	var ends []end
	for n := range workers {
		w := &workers[n]
		f.profiles[n] = append(f.profiles[n], change{w.Ready, w.Free})
		for i := range w.Running {
			r := &w.Running[i]
			ends = append(ends, end{n, r, r.remaining(0.5)})
		}
	}
	slices.SortStableFunc(ends, func(a, b end) int { return cmp.Compare(a.expected, b.expected) })
	for i, e := range ends {
		// The first of many attempts to end is the one that is shorter than expected, so
		// each gets the quantile of its place in the order of the ends.
		at := e.running.remaining((float64(i) + 0.5) / float64(len(ends)))
		f.add(e.worker, change{at, e.running.Size})
	}
	return f
}

// add inserts a change into the profile of a worker.
func (f *Forecast) add(worker int, c change) {
	p := f.profiles[worker]
	c.at = max(c.at, p[0].at)
	n := len(p)
	for n > 1 && p[n-1].at > c.at {
		n--
	}
	f.profiles[worker] = slices.Insert(p, n, c)
}

// remaining returns a quantile of the time until an attempt ends, given that it has not
// ended yet. Its duration is taken as log-normal.
func (r *Running) remaining(quantile float64) time.Duration {
	expected, spread := math.Log(max(float64(r.Expected), float64(time.Millisecond))), max(r.Spread, 0.05)
	if r.Progress > 0 && r.ProgressAfter > 0 {
		trust := r.Progress / (r.Progress + progressTrust)
		expected += trust * (math.Log(float64(r.ProgressAfter)/r.Progress) - expected)
		spread = max(spread*(1-trust), 0.05)
	}
	survived := 1.0
	if r.Elapsed > 0 {
		survived = 1 - normal((math.Log(float64(r.Elapsed))-expected)/spread)
	}
	if survived < 1e-6 {
		// Far beyond what was expected, the age is the best guess of the rest.
		return time.Duration(float64(r.Elapsed) * quantile)
	}
	total := math.Exp(expected + spread*normalQuantile(1-(1-quantile)*survived))
	return max(time.Duration(total)-r.Elapsed, 0)
}

// normal is the distribution function of the standard normal distribution.
func normal(x float64) float64 { return 0.5 * math.Erfc(-x/math.Sqrt2) }

func normalQuantile(p float64) float64 {
	return math.Sqrt2 * math.Erfinv(2*min(max(p, 1e-6), 1-1e-6)-1)
}

// Earliest returns the worker on which a request fits first for a duration, and after
// what time. It returns false if it is not expected to fit anywhere. The request may
// use the workers for which allowed is true.
func (f *Forecast) Earliest(size Amount, duration time.Duration, allowed func(worker int) bool) (worker int, wait time.Duration, ok bool) {
	for n, p := range f.profiles {
		if !allowed(n) {
			continue
		}
		if at, found := earliest(p, size, duration); found && (!ok || at < wait) {
			worker, wait, ok = n, at, true
		}
	}
	return worker, wait, ok
}

func earliest(profile []change, size Amount, duration time.Duration) (time.Duration, bool) {
	var free Amount
	var from time.Duration
	fits := false
	for n, c := range profile {
		free = free.plus(c.amount)
		if n+1 < len(profile) && profile[n+1].at == c.at {
			continue
		}
		switch {
		case !size.fitsIn(free):
			if fits && c.at >= from+duration {
				return from, true
			}
			fits = false
		case !fits:
			from, fits = c.at, true
		}
	}
	return from, fits
}

// Reserve charges a request to a worker from wait on for a duration: a task that goes
// first.
func (f *Forecast) Reserve(worker int, size Amount, wait, duration time.Duration) {
	f.add(worker, change{wait, size.negated()})
	f.add(worker, change{wait + duration, size})
}

// EarliestGang returns after what time all tasks of a gang fit at the same time, and how
// many of them on each worker. It returns nil if they are not expected to. limit is how
// many tasks one worker may run, zero for no limit.
func (f *Forecast) EarliestGang(tasks, limit int, size Amount, duration time.Duration, allowed func(worker int) bool) (time.Duration, map[int]int) {
	var times []time.Duration
	for n, p := range f.profiles {
		if allowed(n) {
			for _, c := range p {
				times = append(times, c.at)
			}
		}
	}
	slices.Sort(times)
	for _, at := range slices.Compact(times) {
		room := make([]int, len(f.profiles))
		total := 0
		for n, p := range f.profiles {
			if !allowed(n) {
				continue
			}
			room[n] = fitting(leastFree(p, at, duration), size)
			if limit > 0 {
				room[n] = min(room[n], limit)
			}
			total += room[n]
		}
		if total >= tasks {
			return at, fewest(room, tasks)
		}
	}
	return 0, nil
}

// fewest distributes tasks over the workers with the most room, so that few are used.
func fewest(room []int, tasks int) map[int]int {
	used := make(map[int]int)
	for tasks > 0 {
		most := -1
		for n := range room {
			if used[n] == 0 && (most < 0 || room[n] > room[most]) {
				most = n
			}
		}
		used[most] = min(room[most], tasks)
		tasks -= used[most]
	}
	return used
}

// leastFree returns the least that is free on a worker in a time span.
func leastFree(profile []change, from, duration time.Duration) Amount {
	var free Amount
	n := 0
	for ; n < len(profile) && profile[n].at <= from; n++ {
		free = free.plus(profile[n].amount)
	}
	least := free
	for n < len(profile) && profile[n].at < from+duration {
		for at := profile[n].at; n < len(profile) && profile[n].at == at; n++ {
			free = free.plus(profile[n].amount)
		}
		least = Amount{min(least.CPUMilli, free.CPUMilli), min(least.MemoryMiB, free.MemoryMiB), min(least.Accelerators, free.Accelerators)}
	}
	return least
}

// fitting returns how many requests of a size fit.
func fitting(free, size Amount) int {
	n := int64(math.MaxInt32)
	for _, x := range [...][2]int64{{free.CPUMilli, size.CPUMilli}, {free.MemoryMiB, size.MemoryMiB}, {free.Accelerators, size.Accelerators}} {
		if x[1] > 0 {
			n = min(n, max(x[0], 0)/x[1])
		}
	}
	return int(n)
}
