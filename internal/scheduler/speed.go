package scheduler

import (
	"math"
	"time"

	"gooseberryreel/internal/workerspeed"
)

const (
	// slowCost is the cost of a worker for an urgent task for each e-fold by which the
	// worker is slow. At 3 times slow it costs more than another rack than that of the
	// task's data, on which the task takes 1.5 to 3 times as long.
	slowCost = 10
	// slowFillerCost replaces slowCost for a filler: it may run on a slow worker, but
	// not instead of an idle worker of normal speed.
	slowFillerCost = 0.2
	// coldServiceCost puts cold workers behind all others for long-running tasks,
	// whichever services run there.
	coldServiceCost = 50
	// minReadingTime and minReadingPercent are the shortest time and the least expected
	// progress between two readings of a task: progress is rounded to percent.
	minReadingTime    = 200 * time.Millisecond
	minReadingPercent = 4
	// maxReadingTime is the time after which an end may have been reported late. The
	// worker answers a hold as soon as a task ends, unless it was silent.
	maxReadingTime = 2500 * time.Millisecond
)

// speedState is what is known about the speed of one worker.
type speedState struct {
	belief    workerspeed.Worker
	updatedAt time.Time
	coldUntil time.Time // as the worker says
	value     float64   // 1 if normal, 0 before the first update
	ends      []workerspeed.Reading
}

// progressReading is the newest reading of an attempt's progress.
type progressReading struct {
	belief  workerspeed.Task
	state   readingState
	rated   bool          // a rate was taken before
	clock   time.Duration // of the worker
	at      time.Time
	percent int
}

// readingState is what the next reading of an attempt can be compared to.
type readingState int

const (
	readingNone  readingState = iota // there is no reading
	readingWaits                     // the attempt has not shown any progress since the reading
	readingTaken                     // the rate counts from the reading on
)

// workerSpeed returns the expected speed of short tasks on a worker relative to a
// worker of the pool that runs as usual: 1 if it is not known to be slow, 0.2 if tasks
// there take five times as long as elsewhere.
func (c *Core) workerSpeed(w *worker, _ time.Time) float64 {
	if c.disabled.ignoreSpeeds || w.speed.value == 0 {
		return 1
	}
	return w.speed.value
}

// cold reports whether a worker says that it is slow since it came back, and what ran
// there does not disprove it.
func (c *Core) cold(w *worker, now time.Time) bool {
	return now.Before(w.speed.coldUntil) && c.workerSpeed(w, now) < 1
}

// noteCold applies how much longer a worker says that it is slow.
func (c *Core) noteCold(w *worker, coldFor time.Duration, now time.Time) {
	s := &w.speed
	wasCold := now.Before(s.coldUntil)
	s.coldUntil = now.Add(coldFor)
	if coldFor > 0 && !wasCold {
		s.belief.Update(0, true, nil)
		c.coldChanged = true
		c.setSpeedOf(w, now)
	}
}

// forgetSpeed forgets what was learned about a worker that has restarted.
func (c *Core) forgetSpeed(w *worker, now time.Time) {
	w.speed.belief.Reset(now.Before(w.speed.coldUntil))
	w.speed.ends = nil
	c.setSpeedOf(w, now)
}

// learnSpeed updates the belief about the speed of a worker from its answer to a hold.
func (c *Core) learnSpeed(w *worker, now time.Time) {
	s := &w.speed
	readings := s.ends
	s.ends = nil
	for _, a := range w.list {
		if a.measuredAt != now {
			continue // not listed in this answer
		}
		if r, ok := c.readProgress(a, a.progress, now); ok {
			readings = append(readings, r)
		}
	}
	elapsed := now.Sub(s.updatedAt)
	if s.updatedAt.IsZero() {
		elapsed = 0
	}
	s.updatedAt = now
	s.belief.Update(elapsed, now.Before(s.coldUntil), readings)
	c.setSpeedOf(w, now)
}

// setSpeedOf takes the speed of a worker over from the belief about it.
func (c *Core) setSpeedOf(w *worker, now time.Time) {
	before := c.workerSpeed(w, now)
	w.speed.value = w.speed.belief.Speed()
	if after := c.workerSpeed(w, now); (before < 1) != (after < 1) {
		event := "worker slow"
		if after == 1 {
			event = "worker speed normal"
		}
		c.addLogEntry(event, "", "worker", w.id, "zone", w.entry.Zone, "speed", after, "probability", w.speed.belief.Slow(), "cold", now.Before(w.speed.coldUntil))
	}
}

// noteEndForSpeed takes a reading at the end of a completed attempt. The next update of
// the worker uses it.
func (c *Core) noteEndForSpeed(a *attempt, reason EndReason, now time.Time) {
	if reason != EndDone {
		return
	}
	if r, ok := c.readProgress(a, 100, now); ok {
		a.worker.speed.ends = append(a.worker.speed.ends, r)
	}
}

// ratable reports whether the rate of an attempt depends only on its worker and on its
// task.
func (a *attempt) ratable() bool {
	s := a.step()
	rack := s.spec.GetDataRack()
	return !s.longRunning() && !s.spec.GetGang() && a.stopReason == "" && a.speed == 100 && a.confirmedSpeed == 100 && !a.speedPending &&
		(rack == "" || rack == a.worker.entry.Rack)
}

// readProgress returns the rate of an attempt since its previous reading, false if the
// rate says nothing about its worker.
func (c *Core) readProgress(a *attempt, percent int, now time.Time) (workerspeed.Reading, bool) {
	last, clock := a.reading, a.worker.clock
	if !a.ratable() {
		a.reading.state = readingNone
		return workerspeed.Reading{}, false
	}
	if last.state != readingNone && a.speedSetAt.After(last.at) {
		last.state = readingNone
	}
	if last.state == readingNone && a.durationUsable && !a.startedAt.IsZero() && !last.rated {
		// It had no progress when the start was answered.
		last.state, last.percent, last.at, last.clock = readingTaken, 0, a.startedAt, clock-now.Sub(a.startedAt)
	}
	a.reading.clock, a.reading.at, a.reading.percent = clock, now, percent
	switch {
	case last.state == readingNone, last.state == readingWaits && percent == last.percent:
		// Progress from a checkpoint begins late.
		a.reading.state = readingWaits
		return workerspeed.Reading{}, false
	case last.state == readingWaits:
		a.reading.state = readingTaken
		return workerspeed.Reading{}, false
	}
	fit := c.durations.of(a.job().sub.GetQueue())
	expected, took := fit.expect(a.step().spec.GetEstimateMs()), clock-last.clock
	switch {
	case expected <= 0 || took <= 0 || percent >= 100 && took > maxReadingTime && last.rated:
		a.reading.state = readingWaits
		return workerspeed.Reading{}, false
	case percent < 100 && (took < minReadingTime || float64(took)*100 < minReadingPercent*float64(expected)):
		a.reading = last
		return workerspeed.Reading{}, false
	}
	r := workerspeed.Reading{Task: &a.reading.belief, Usual: fit.rates}
	r.Rate, r.Variance = workerspeed.Rate(percent-last.percent, expected, took)
	if !last.rated {
		fit.rates.Observe(r.Rate, 1-a.worker.speed.belief.Slow())
	}
	a.reading.state, a.reading.rated = readingTaken, true
	return r, true
}

// speedCost returns what the speed of a worker adds to its cost for a task of a step.
// Urgent tasks run on slow workers only while no other has enough free capacity. A step
// that stays on time at the speed of the worker may run there.
func (p *pass) speedCost(s *step, w *worker) float64 {
	speed := p.core.workerSpeed(w, p.now)
	switch {
	case speed == 1:
		return 0
	case s.longRunning() && p.core.cold(w, p.now):
		return coldServiceCost
	case s.longRunning() || p.core.onTimeAt(s, speed, p.now):
		return 0
	case s.filler():
		return -math.Log(speed) * slowFillerCost
	default:
		return -math.Log(speed) * slowCost
	}
}

// onTimeAt reports whether the job of a step is expected to be on time if the step
// starts now on a worker of a certain speed.
func (c *Core) onTimeAt(s *step, speed float64, now time.Time) bool {
	schedule := c.scheduleOf(s, now)
	expected := c.durations.of(s.round.job.sub.GetQueue()).expect(s.spec.GetEstimateMs())
	slower := *schedule
	slower.remaining += time.Duration(float64(expected) * (1/speed - 1))
	return slower.standing(now) == onTime
}

// fastGroups returns the groups of workers to try for a gang: for an urgent one first
// each group without its slow workers, since the gang is as slow as the slowest of
// them.
func (p *pass) fastGroups(s *step, groups [][]*candidate) [][]*candidate {
	if s.longRunning() || s.filler() {
		return groups
	}
	var fast [][]*candidate
	slow := false
	for _, group := range groups {
		kept := make([]*candidate, 0, len(group))
		for _, cand := range group {
			if speed := p.core.workerSpeed(cand.worker, p.now); speed < 1 && !p.core.onTimeAt(s, speed, p.now) {
				slow = true
				continue
			}
			kept = append(kept, cand)
		}
		fast = append(fast, kept)
	}
	if !slow {
		return groups
	}
	return append(fast, groups...)
}
