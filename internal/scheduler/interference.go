package scheduler

import (
	"cmp"
	"slices"
	"time"

	"gooseberryreel/internal/interference"
)

const (
	// nearTarget is the latency relative to its target from which fillers are
	// throttled: the load can grow further until the next measurement.
	nearTarget = 0.95
	// minThrottleRise is the rise in a service's utilization above which a filler
	// is throttled for it.
	minThrottleRise = 0.04
	// almostDonePercent is the progress from which a filler completes sooner than a
	// stop would take effect.
	almostDonePercent = 88
	// speedUpSlack is the slack that the services must have before a throttled
	// filler is sped up.
	speedUpSlack = 0.05
	// speedStepPercent is the granularity of speeds and minSpeedUpPercent the
	// smallest increase. Each change of a speed is a call to a worker.
	speedStepPercent  = 10
	minSpeedUpPercent = 20
	// settleTime is how long after the start of a service its latency does not
	// show the effect of the fillers on its worker.
	settleTime = time.Second
)

// load sums up the attempts on a worker.
type load struct {
	use     int64                // expected CPU use in thousandths of a core
	fillers []interference.Share // CPU share of each image at full speed
	short   Resources            // requested by short tasks apart from fillers
}

// loadOf returns the load of a worker. It reuses the memory of fillers.
func loadOf(w *worker, fillers []interference.Share) load {
	l := load{fillers: fillers[:0]}
	for _, a := range w.list {
		s := a.step()
		switch {
		case s.filler():
			l.use += s.size.CPUMilli * int64(a.speed) / 100
			l.addFiller(s.role.filler, share(s.size.CPUMilli, w.entry.Capacity.CPUMilli))
		case s.longRunning():
			l.use += int64(float64(s.size.CPUMilli) * longRunningUse)
		default:
			l.use += s.size.CPUMilli
			l.short = l.short.Add(s.size)
		}
	}
	return l
}

func (l *load) addFiller(image interference.Filler, part float64) {
	for i := range l.fillers {
		if l.fillers[i].Filler == image {
			l.fillers[i].Share += part
			return
		}
	}
	l.fillers = append(l.fillers, interference.Share{Filler: image, Share: part})
}

// relativeLatency returns the measured latency divided by the target.
func (a *attempt) relativeLatency() float64 {
	return float64(a.measured) / float64(a.step().role.targetMs)
}

// measureWindow is the time span that a latency measurement covers.
const measureWindow = 600 * time.Millisecond

// pastFiller is a filler that ended within the newest measurement window.
type pastFiller struct {
	image   interference.Filler
	share   float64
	from    time.Time
	endedAt time.Time
}

// measuredShares returns the average CPU shares of the filler images over the
// time span that a measurement taken now covers.
func (w *worker) measuredShares(now time.Time) []interference.Share {
	var l load
	w.pastFillers = slices.DeleteFunc(w.pastFillers, func(p pastFiller) bool { return now.Sub(p.endedAt) >= measureWindow })
	for _, p := range w.pastFillers {
		l.addFiller(p.image, p.share*overlap(p.from, p.endedAt, now))
	}
	for _, a := range w.list {
		if s := a.step(); s.filler() && !a.seenAt.IsZero() {
			cpu := s.size.CPUMilli * int64(a.confirmedSpeed) / 100
			l.addFiller(s.role.filler, share(cpu, w.entry.Capacity.CPUMilli)*overlap(a.seenAt, now, now))
		}
	}
	return l.fillers
}

// overlap returns the fraction of the newest measurement window that a time span
// covers.
func overlap(from, to, now time.Time) float64 {
	begin := now.Add(-measureWindow)
	if from.Before(begin) {
		from = begin
	}
	return max(float64(to.Sub(from))/float64(measureWindow), 0)
}

// observe learns from the new measurements of a worker and adjusts its fillers.
func (c *Core) observe(w *worker, now time.Time) {
	if w.services > 0 {
		c.learn(w, now)
	}
	if !c.disabled.ignoreInterference {
		c.adjustFillers(w, now)
	}
}

// learn updates the model and the overruns from the new measurements of a worker.
func (c *Core) learn(w *worker, now time.Time) {
	shares := w.measuredShares(now)
	if now.Sub(w.fillersWorkedAt(now)) >= measureWindow {
		w.refusesFillers = false
	}
	for _, a := range w.list {
		if !a.serving() || a.measuredAt != now || a.measured <= 0 || a.progress < 100 {
			continue
		}
		c.working = a.job()
		settled := now.Sub(a.seenAt) >= settleTime
		if settled {
			own := share(a.step().size.CPUMilli*int64(a.confirmedSpeed)/100, w.entry.Capacity.CPUMilli) * overlap(a.seenAt, now, now)
			c.model.Observe(a.step().role.service, &a.load, a.sharesBeside(shares, own), a.relativeLatency())
		}
		if c.disabled.clearOverruns && a.relativeLatency() <= 1 {
			a.overrun = interference.Overrun{}
		}
		if settled || a.restored && !c.disabled.countFromMeasurement {
			a.overrun.Observe(a.measured, a.step().role.targetMs, c.sharedSince(a), now)
			c.learnAlone(a, now)
		}
	}
}

// fillersWorkedAt returns when a filler on the worker last worked, as far as it is known:
// now, unless there is none or all are at a standstill.
func (w *worker) fillersWorkedAt(now time.Time) time.Time {
	latest := w.fillersEndedAt
	for _, a := range w.list {
		switch {
		case !a.step().filler() || a.step().size.CPUMilli == 0:
		case a.speed > 0 || a.confirmedSpeed > 0:
			return now
		case a.speedSetAt.After(latest):
			latest = a.speedSetAt
		}
	}
	return latest
}

// learnAlone notes whether a service misses its target although no filler ran beside it
// in the time span of its newest measurement.
func (c *Core) learnAlone(a *attempt, now time.Time) {
	alone := a.worker.fillersEndedAt
	if alone.Before(c.startedAt) {
		alone = c.startedAt // fillers of an earlier owner may have ended just before
	}
	switch {
	case !a.overrun.Missing():
		a.overAlone = false
	case !a.fillersBeside() && now.Sub(alone) >= measureWindow:
		a.overAlone = true
	}
}

// sharedSince returns since when a service has served beside fillers.
func (c *Core) sharedSince(a *attempt) time.Time {
	since := a.progressAt
	if c.disabled.countFromMeasurement {
		return a.measuredAt
	}
	if a.restored {
		// It may have missed its target for as long before the takeover as the
		// earlier owner would have waited.
		since = c.startedAt.Add(-c.opts.HarmLimit / 2)
	}
	if a.worker.fillersSince.After(since) {
		return a.worker.fillersSince
	}
	return since
}

// adjustFillers throttles or evicts fillers that keep a service from meeting its
// target, and speeds throttled ones up if all services have slack.
func (c *Core) adjustFillers(w *worker, now time.Time) {
	fillers, services := c.adjusting.fillers[:0], c.adjusting.services[:0]
	for _, a := range w.list {
		if a.serving() && a.overrun.EvictionDue(c.opts.HarmLimit, now) {
			c.evictFillers(w, a, now)
		}
	}
	if w.fillerCPU == 0 {
		return
	}
	for _, f := range w.list {
		if f.step().filler() {
			cpu := f.step().size.CPUMilli * int64(f.speed) / 100
			fillers = append(fillers, interference.Share{Filler: f.step().role.filler, Share: share(cpu, w.entry.Capacity.CPUMilli)})
		}
	}
	for _, a := range w.list {
		if !a.serving() || a.stopReason != "" || a.seenAt.IsZero() || a.overAlone {
			continue // slower fillers would not relieve a service that is over its target by itself
		}
		slack := c.slack(a, fillers)
		if a.measuredAt == now && a.relativeLatency() > nearTarget {
			slack = min(slack, 1-a.relativeLatency())
		}
		services = append(services, tightService{a, slack})
	}
	c.adjusting = adjusting{fillers, services}
	slices.SortStableFunc(services, func(a, b tightService) int { return cmp.Compare(a.slack, b.slack) })
	switch {
	case len(services) == 0:
		c.speedUp(w, nil, 0, now)
	case services[0].slack > speedUpSlack:
		c.speedUp(w, services[0].attempt, services[0].slack, now)
	}
	// The tightest service may suffer from its own load, while a filler slows down
	// another one.
	for n, s := range services {
		if s.slack >= 0 || n > 0 && c.disabled.relieveTightest || c.relieve(w, s.attempt, s.slack, now) {
			return
		}
	}
}

// checkOverruns stops the fillers beside a service that missed its target when it
// was last measured, if the next measurement is overdue.
func (c *Core) checkOverruns(w *worker, now time.Time) {
	if w.services == 0 || w.fillerCPU == 0 || c.disabled.ignoreInterference || c.disabled.ignoreOverdue {
		return
	}
	for _, a := range w.list {
		if a.serving() && a.overrun.Overdue(now) && a.overrun.EvictionDue(c.opts.HarmLimit, now) {
			c.evictFillers(w, a, now)
		}
	}
}

// tightService is a service with the slack of its utilization, negative if it is
// expected to miss its target.
type tightService struct {
	*attempt
	slack float64
}

// adjusting is memory that adjustFillers uses again: it is called for each answer of a
// worker.
type adjusting struct {
	fillers  []interference.Share
	services []tightService
}

// slack returns how much further the utilization of a service may rise before it is
// expected to miss its target beside the fillers on its worker.
func (c *Core) slack(service *attempt, fillers []interference.Share) float64 {
	c.working = service.job()
	image := service.step().role.service
	left := c.model.UtilizationAtTarget(image) - service.load.Mean +
		service.ownWeight(c.model, share(service.step().size.CPUMilli*int64(service.speed)/100, service.worker.entry.Capacity.CPUMilli))
	for _, f := range fillers {
		left -= c.model.Weight(image, f.Filler) * f.Share
	}
	return left
}

// spareSpeed returns by how many percent, at most a limit, a filler may be sped up so that
// the services on its worker keep speedUpSlack.
func (c *Core) spareSpeed(filler *attempt, limit int) int {
	w := filler.worker
	var fillers []interference.Share
	for _, f := range w.list {
		if f.step().filler() {
			fillers = append(fillers, interference.Share{Filler: f.step().role.filler, Share: share(f.step().size.CPUMilli*int64(f.speed)/100, w.entry.Capacity.CPUMilli)})
		}
	}
	for _, a := range w.list {
		if !a.serving() || a.stopReason != "" || a == filler {
			continue
		}
		full := c.model.Weight(a.step().role.service, filler.step().role.filler) * share(filler.step().size.CPUMilli, w.entry.Capacity.CPUMilli)
		if full > negligibleRise {
			limit = min(limit, int((c.slack(a, fillers)-speedUpSlack)/full*100))
		}
	}
	return max(limit, 0)
}

// rise returns by how much a filler at its wanted speed raises the utilization of a
// service.
func (c *Core) rise(w *worker, service, filler *attempt) float64 {
	cpu := filler.step().size.CPUMilli * int64(filler.speed) / 100
	return c.model.Weight(service.step().role.service, filler.step().role.filler) * share(cpu, w.entry.Capacity.CPUMilli)
}

// relieve evicts the filler that raises a service's utilization most. If the filler
// is not evictable, it is throttled instead, to the speed at which the service is
// expected to meet its target. It returns false if no filler raises the utilization
// by more than minThrottleRise.
func (c *Core) relieve(w *worker, over *attempt, slack float64, now time.Time) bool {
	var worst *attempt
	most := minThrottleRise
	for _, f := range w.list {
		if !f.step().filler() || f == over || f.stopReason != "" || f.speedPending || f.startedAt.IsZero() && f.seenAt.IsZero() ||
			f.progress >= almostDonePercent && !f.step().longRunning() {
			continue
		}
		if f.speed <= speedStepPercent && !f.evictable() {
			continue // another filler may be slowed
		}
		if rise := c.rise(w, over, f); rise > most {
			worst, most = f, rise
		}
	}
	if worst == nil {
		return false
	}
	percent := 0
	if !worst.evictable() {
		percent = int(float64(worst.speed)*(1+slack/most)) / speedStepPercent * speedStepPercent
		// At a standstill it would never be done, nor show whether it is the cause.
		percent = max(min(percent, worst.speed-speedStepPercent), speedStepPercent)
	}
	c.addLogEntry("filler slowed", worst.job().sub.GetRequestId(), "run", worst.attemptID.String(), "worker", w.id, "percent", percent,
		"moved", worst.evictable(), "service", over.attemptID.String(), "latency_ms", over.measured, "target_ms", over.step().role.targetMs,
		"own_load", over.load.Mean, "part", most, "margin", c.margin(worst.step(), now), "measured_ms_ago", now.Sub(over.measuredAt).Milliseconds())
	// The filler is throttled even if it is evicted: it would slow the service
	// down until the stop takes effect.
	c.setSpeed(worst, percent, now)
	if worst.evictable() {
		worst.task.evictions++
		worst.task.avoid = w.id
		c.stop(worst, "it slows a service down", now)
	}
	return true
}

// evictFillers stops all fillers on the worker of a service that has missed its
// target for half of HarmLimit: the model does not know the cause.
func (c *Core) evictFillers(w *worker, over *attempt, now time.Time) {
	for _, f := range w.list {
		if !f.step().filler() || f == over || f.stopReason != "" {
			continue
		}
		if !f.mayBeStopped() {
			c.setSpeed(f, 0, now)
			continue
		}
		c.addLogEntry("filler evicted", f.job().sub.GetRequestId(), "run", f.attemptID.String(), "worker", w.id, "service", over.attemptID.String(),
			"latency_ms", over.measured, "target_ms", over.step().role.targetMs, "over_ms", over.overrun.Since(now).Milliseconds())
		c.setSpeed(f, 0, now)
		f.task.avoid = w.id
		c.stop(f, "a service on its worker misses its target", now)
	}
	over.overrun.Restart()
	w.refusesFillers, w.changed = over.fillersBeside() && !c.disabled.refillAfterEviction, true
	for _, a := range w.list {
		// With fillers to stop, it is open again whether they are the cause.
		a.overAlone = a.overAlone && !a.fillersBeside()
	}
}

// speedUp raises the speed of one throttled filler as far as the slack of the
// tightest service allows.
func (c *Core) speedUp(w *worker, tightest *attempt, slack float64, now time.Time) {
	for _, f := range w.list {
		if !f.step().filler() || f.speed == 100 || f.speedPending || f.stopReason != "" || f.overcommitted {
			continue // an overcommitted one is sped up when the turn of its step comes
		}
		percent := 100
		switch {
		case tightest == f:
			percent = f.speed + c.spareSpeed(f, 100-f.speed)/speedStepPercent*speedStepPercent
		case tightest != nil:
			full := c.model.Weight(tightest.step().role.service, f.step().role.filler) * share(f.step().size.CPUMilli, w.entry.Capacity.CPUMilli)
			if full > negligibleRise {
				percent = min(f.speed+int((slack-speedUpSlack)/full*100)/speedStepPercent*speedStepPercent, 100)
			}
		}
		if percent >= f.speed+minSpeedUpPercent || percent == 100 {
			c.setSpeed(f, percent, now)
			return
		}
	}
}
