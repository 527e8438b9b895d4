package soak

import (
	"fmt"
	"slices"
	"time"

	"gooseberryreel/internal/emulator"
)

const (
	// restartBound, idleBound and calmBefore are the bounds on the restart of a
	// long-running task: from restartBound after the end of its last run it may not lack
	// a run for idleBound if this time and calmBefore before it are calm.
	restartBound = 6 * time.Second
	idleBound    = 3 * time.Second
	calmBefore   = 4 * time.Second
	// calmEnd is the time without faults at the end of a run. A run may end with its
	// lease, 6 s after the last fault.
	calmEnd = 6*time.Second + restartBound + idleBound
)

// disturbance is the time in which a fault is injected, in force or ends. Of what is lost
// for long, only the loss and the return are disturbances.
type disturbance struct {
	from time.Time
	to   time.Time // zero while it lasts
}

// disturb prints and records the begin of a disturbance and returns the function that
// records its end.
func (d *deployment) disturb(format string, args ...any) (end func()) {
	d.reportMu.Lock()
	defer d.reportMu.Unlock()
	n := len(d.disturbances)
	d.disturbances = append(d.disturbances, disturbance{from: time.Now()})
	d.opts.Print("%.2fs "+format, append([]any{time.Since(d.began).Seconds()}, args...)...)
	return func() {
		d.reportMu.Lock()
		defer d.reportMu.Unlock()
		d.disturbances[n].to = time.Now()
	}
}

// longTask is a task that has to run all the time.
type longTask struct {
	name  string
	from  time.Time // when its job was accepted
	until time.Time // when a caller asked to cancel its job, or when the history ends
}

// history is what happened in a run.
type history struct {
	began        time.Time
	tasks        []longTask
	starts       []emulator.TaskStart
	disturbances []disturbance
	// mayUse is the CPU that may be in use while tasks wait for a restart, so that their
	// room is free twice over. In calm times two thirds of the workers are up at least.
	mayUse int64
}

// history returns the history until now. Jobs with a task that crashes its workers are
// left out, as the starts of such a task are limited.
func (d *deployment) history() history {
	h := history{starts: d.cluster.Starts()}
	d.reportMu.Lock()
	defer d.reportMu.Unlock()
	h.began, h.disturbances = d.began, slices.Clone(d.disturbances)
	h.mayUse = int64(len(d.workers)-len(d.workers)/3) * workerCPUMilli
	for id, j := range d.jobs {
		j.mu.Lock()
		if j.longRunning && !j.crashing && !j.accepted.IsZero() {
			until := time.Now()
			if j.cancelSent {
				until = j.cancelSentAt
			} else {
				h.mayUse -= 2 * j.cpu * int64(j.tasks[0])
			}
			for n := range j.tasks[0] {
				h.tasks = append(h.tasks, longTask{fmt.Sprintf("%s.0.0.%d", id, n), j.accepted, until})
			}
		}
		j.mu.Unlock()
	}
	return h
}

// lost returns a finding for each time without a run that breaks the bounds, and the
// number of restarts.
func (h history) lost() (findings []string, restarts int) {
	for _, t := range h.tasks {
		end, last := t.from, "acceptance"
		check := func(to time.Time) {
			if calmFrom, broken := h.broken(end, to); broken {
				findings = append(findings, fmt.Sprintf("%s: no run from %.2fs to %.2fs after %s, calm with room from %.2fs on",
					t.name, end.Sub(h.began).Seconds(), to.Sub(h.began).Seconds(), last, calmFrom.Sub(h.began).Seconds()))
			}
		}
		for _, s := range h.starts { // in the order of time
			if s.Task != t.name || !s.At.Before(t.until) {
				continue
			}
			if check(s.At); last != "acceptance" {
				restarts++
			}
			if last = fmt.Sprintf("attempt %d on %s", s.Attempt, s.Worker); s.Ended.IsZero() {
				end = t.until
			} else if s.Ended.After(end) {
				end = s.Ended
			}
		}
		check(t.until)
	}
	return findings, restarts
}

// broken reports whether a time without a run breaks the bounds, and from when on it was
// calm before.
func (h history) broken(from, to time.Time) (calmFrom time.Time, broken bool) {
	first := from.Add(restartBound - calmBefore)
	candidates := []time.Time{first}
	for _, d := range h.disturbances {
		candidates = append(candidates, d.to)
	}
	for _, s := range h.starts {
		candidates = append(candidates, s.Ended) // capacity becomes free
	}
	slices.SortFunc(candidates, time.Time.Compare)
	for _, c := range candidates {
		end := c.Add(calmBefore + idleBound)
		if !c.Before(first) && !end.After(to) && h.calm(c, end) && h.hasRoom(c, end) {
			return c, true
		}
	}
	return time.Time{}, false
}

// calm reports whether a time is without disturbances.
func (h history) calm(from, to time.Time) bool {
	return !slices.ContainsFunc(h.disturbances, func(d disturbance) bool {
		return d.from.Before(to) && (d.to.IsZero() || d.to.After(from))
	})
}

// hasRoom reports whether no more than mayUse is in use in a time.
func (h history) hasRoom(from, to time.Time) bool {
	fits := func(at time.Time) bool {
		used := int64(0)
		for _, s := range h.starts {
			if !s.At.After(at) && (s.Ended.IsZero() || s.Ended.After(at)) {
				used += s.CPUMilli
			}
		}
		return used <= h.mayUse
	}
	return fits(from) && !slices.ContainsFunc(h.starts, func(s emulator.TaskStart) bool {
		return s.At.After(from) && s.At.Before(to) && !fits(s.At)
	})
}

// checkRestarts waits, if jobs run on, for the end of the calm time after the last fault,
// and checks the restarts of the long-running tasks.
func (d *deployment) checkRestarts() {
	h := d.history()
	for end := time.Now().Add(drainTimeout); d.opts.LongLived > 0 && !h.calm(time.Now().Add(-calmEnd), time.Now()); h = d.history() {
		if time.Now().After(end) {
			d.addFinding("soak: not calm %v after the last fault", drainTimeout)
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	findings, restarts := h.lost()
	d.findings, d.restarts = append(d.findings, findings...), restarts
}
