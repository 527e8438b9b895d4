package scheduler

import (
	"cmp"
	"slices"
	"time"
)

// refusal is the reason why a worker does not receive a task in a placement pass.
type refusal int

const (
	accepted          refusal = iota
	refusedUnusable           // it is silent, quarantined, draining, not adopted or evacuated
	refusedRoom               // other tasks have requested its resources
	refusedLabel              // it lacks the label
	refusedTicket             // the step has no valid ticket for it
	refusedSpread             // it runs as many tasks of the step as it may
	refusedReserved           // it is reserved for a starving or suspect task, or held for a gang
	refusedGuarded            // a suspect task is on trial there, or its failure domain is being refilled
	refusedUse                // a filler would use more than its CPUs
	refusedOverTarget         // a service there misses its target
	refusedRise               // a filler is expected to make a service miss its target
	refusals
)

// String returns the name of the log field.
func (r refusal) String() string {
	return [...]string{"accepted", "unusable", "room", "label", "ticket", "spread", "reserved", "guarded", "use", "over_target", "rise"}[r]
}

// WorkClass is a kind of work whose waits are observed apart.
type WorkClass int

// The classes of work.
const (
	ShortWork WorkClass = iota
	LongRunningWork
	FillerWork
	WorkClasses
)

// String returns the name used in logs and metrics.
func (c WorkClass) String() string { return [...]string{"short", "long_running", "filler"}[c] }

func (s *step) class() WorkClass {
	switch {
	case s.longRunning():
		return LongRunningWork
	case s.filler():
		return FillerWork
	default:
		return ShortWork
	}
}

const (
	// waitsInterval is the time between two observations of the waits.
	waitsInterval = time.Second
	// explainedWait is the wait of a task from which it is logged why its step is not
	// placed, explainInterval the time between two such entries of one step, and
	// maxExplained the number of entries in one observation.
	explainedWait   = 5 * time.Second
	explainInterval = 5 * time.Second
	maxExplained    = 8
)

// waits holds the longest waits of ready tasks, as last observed.
type waits struct {
	at      time.Time
	longest [WorkClasses]time.Duration
	idle    time.Duration // of a job of fillers
}

// LongestWaits returns for how long the tasks that wait longest have been ready to start,
// by class of work, as of the newest second.
func (c *Core) LongestWaits() [WorkClasses]time.Duration { return c.waits.longest }

// LongestIdle returns for how long the job of fillers that waits longest has had nothing
// running although a task could start, as of the newest second.
func (c *Core) LongestIdle() time.Duration { return c.waits.idle }

// longestWait returns for how long the tasks of a step have waited at most: each since the
// step became ready, its newest attempt ended or it may be retried.
func (s *step) longestWait(now time.Time) time.Duration {
	longest := time.Duration(0)
	for _, t := range s.tasks {
		if t.done || t.assigned() {
			continue
		}
		since := s.readyAt
		for _, other := range []time.Time{t.endedAt, t.notBefore} {
			if other.After(since) {
				since = other
			}
		}
		longest = max(longest, now.Sub(since))
	}
	return longest
}

// waitingStep is a step with a task that has waited for long.
type waitingStep struct {
	rank
	wait  time.Duration
	ahead int // steps before it in the order of the pass
}

// observeWaits measures the longest waits after a pass, and logs for the steps that wait
// longest why they are not placed.
func (p *pass) observeWaits(ranks []rank) {
	w := &p.core.waits
	if p.now.Sub(w.at) < waitsInterval {
		return
	}
	w.at, w.longest, w.idle = p.now, [WorkClasses]time.Duration{}, 0
	var long []waitingStep
	for n, r := range ranks {
		s := r.step
		if s.waiting == 0 || r.starving {
			continue // a starving step has a second rank
		}
		wait := s.longestWait(p.now)
		w.longest[s.class()] = max(w.longest[s.class()], wait)
		if s.filler() {
			w.idle = max(w.idle, s.idleFor(p.now))
		}
		if wait >= explainedWait && p.now.Sub(s.explainedAt) >= explainInterval {
			long = append(long, waitingStep{r, wait, n})
		}
	}
	slices.SortStableFunc(long, func(a, b waitingStep) int { return cmp.Compare(b.wait, a.wait) })
	for _, s := range long[:min(len(long), maxExplained)] {
		p.explain(s)
	}
}

// explain logs why a step is not placed: how many workers refuse its tasks for which
// reason.
func (p *pass) explain(w waitingStep) {
	s := w.step
	s.explainedAt = p.now
	j := s.round.job
	fields := []any{"job", j.sub.GetId(), "round", s.round.number, "step", s.index, "class", s.class().String(), "wait_ms", w.wait.Milliseconds(),
		"idle_ms", s.idleFor(p.now).Milliseconds(), "running", j.attempts,
		"waiting", s.waiting, "unfinished", s.unfinished, "standing", w.standing.String(), "ahead", w.ahead, "cpu_milli", s.size.CPUMilli, "memory_mib", s.size.MemoryMiB,
		"gang", s.spec.GetGang(), "left_out", p.leftOut[s], "held_back", s.heldBack}
	fields = append(fields, s.adviceFields(p.now)...)
	q := p.core.queue(j)
	if q == nil {
		p.core.addLogEntry("step waits", j.sub.GetRequestId(), append(fields, "no_queue", true)...)
		return
	}
	p.prepare(s)
	counts := [refusals]int{}
	usable := p.pool(q.Pool)
	for _, other := range p.core.workerList {
		if other.entry.Pool == q.Pool {
			counts[refusedUnusable]++
		}
	}
	counts[refusedUnusable] -= len(usable)
	t := &task{step: s}
	for _, cand := range usable {
		_, why := p.costIfFits(t, cand, q)
		counts[why]++
	}
	for why, n := range counts {
		if n > 0 {
			fields = append(fields, refusal(why).String(), n)
		}
	}
	p.core.addLogEntry("step waits", j.sub.GetRequestId(), fields...)
}
