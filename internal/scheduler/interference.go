package scheduler

import (
	"slices"
	"time"

	"gooseberryreel/internal/interference"
)

const (
	// nearTarget is the latency relative to its target from which fillers are
	// throttled: the load can grow further until the next measurement.
	nearTarget = 0.95
	// harmfulRise is the rise in a service's utilization from which a filler is
	// throttled for it.
	harmfulPart = 0.04
	// almostDonePercent is the progress from which a filler completes sooner than a
	// stop would take effect.
	almostDone = 88
	// speedUpSlack is the slack that the services must have before a throttled
	// filler is sped up.
	paceMargin = 0.05
	// speedStepPercent is the granularity of speeds and minSpeedUpPercent the
	// smallest increase. Each change of a speed is a call to a worker.
	paceStep   = 10
	minSpeedUp = 20
	// settleTime is how long after its start a service's latency says nothing
	// about the fillers beside it.
	settleTime = time.Second
)

// load sums up the attempts on a worker.
type load struct {
	use     int64                // expected processor use in thousandths of a core
	fillers []interference.Share // share of the processors of each image at full speed
}

func loadOf(w *worker) load {
	var l load
	for _, a := range w.list {
		s := a.step()
		switch {
		case s.filler():
			l.use += s.size.CPUMilli * int64(a.pace) / 100
			l.addFiller(s.image, share(s.size.CPUMilli, w.entry.Capacity.CPUMilli))
		case s.last():
			l.use += int64(float64(s.size.CPUMilli) * serviceUse)
		default:
			l.use += s.size.CPUMilli
		}
	}
	return l
}

func (l *load) addFiller(image int, part float64) {
	for i := range l.fillers {
		if l.fillers[i].Filler == image {
			l.fillers[i].Share += part
			return
		}
	}
	l.fillers = append(l.fillers, interference.Share{Filler: image, Share: part})
}

// serving reports whether an attempt belongs to a service: a long-running task with
// a latency target.
func (a *attempt) serving() bool { return a.step().last() && a.step().spec.GetLatencyTargetMs() > 0 }

// relativeLatency returns the measured latency divided by the target.
func (a *attempt) relative() float64 {
	return float64(a.metered) / float64(a.step().spec.GetLatencyTargetMs())
}

// measureWindow is the time span that a latency measurement covers.
const measureWindow = 600 * time.Millisecond

// pastFiller is a filler that ended within the newest measurement window.
type pastFiller struct {
	image   int
	share   float64
	from    time.Time
	endedAt time.Time
}

// measuredShares returns the average processor shares of the filler images over the
// time span that a measurement taken now covers.
func (w *worker) measuredShares(now time.Time) []interference.Share {
	var l load
	w.past = slices.DeleteFunc(w.past, func(p pastFiller) bool { return now.Sub(p.endedAt) >= measureWindow })
	for _, p := range w.past {
		l.addFiller(p.image, p.share*overlap(p.from, p.endedAt, now))
	}
	for _, a := range w.list {
		if s := a.step(); s.filler() && !a.seenAt.IsZero() {
			cpu := s.size.CPUMilli * int64(a.paceSent) / 100
			l.addFiller(s.image, share(cpu, w.entry.Capacity.CPUMilli)*overlap(a.seenAt, now, now))
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
	if !c.faults.ignoreHarm {
		c.paceFillers(w, now)
	}
}

func (c *Core) learn(w *worker, now time.Time) {
	shares := w.measuredShares(now)
	for _, a := range w.list {
		if !a.serving() || a.meteredAt != now || a.metered <= 0 || now.Sub(a.seenAt) < settleTime || a.percent < 100 {
			continue
		}
		ratio := a.relative()
		c.pairs.Observe(a.step().image, &a.load, shares, ratio)
		switch {
		case ratio <= 1:
			a.overAt = time.Time{}
		case a.overAt.IsZero():
			a.overAt = now
		}
	}
}

// adjustFillers throttles or evicts fillers that keep a service from meeting its
// target, and speeds throttled ones up if all services have slack.
func (c *Core) paceFillers(w *worker, now time.Time) {
	var tight *attempt
	least := 0.0
	for _, a := range w.list {
		if !a.serving() || a.stopWhy != "" || a.seenAt.IsZero() {
			continue
		}
		slack := c.slack(w, a)
		if a.meteredAt == now && a.relative() > nearTarget {
			slack = min(slack, 1-a.relative())
		}
		if tight == nil || slack < least {
			tight, least = a, slack
		}
		if !a.overAt.IsZero() && now.Sub(a.overAt) >= c.opts.HarmLimit/2 {
			c.clear(w, a, now)
		}
	}
	switch {
	case tight != nil && least < 0:
		c.relieve(w, tight, least, now)
	case tight == nil || least > paceMargin:
		c.speedUp(w, tight, least, now)
	}
}

// slack returns how much further the utilization of a service may rise before it is
// expected to miss its target.
func (c *Core) slack(w *worker, service *attempt) float64 {
	left := c.pairs.UtilizationAtTarget(service.step().image) - service.load.Mean
	for _, f := range w.list {
		if f.step().filler() {
			left -= c.part(w, service, f)
		}
	}
	return left
}

// rise returns by how much a filler at its wanted speed raises the utilization of a
// service.
func (c *Core) part(w *worker, service, filler *attempt) float64 {
	cpu := filler.step().size.CPUMilli * int64(filler.pace) / 100
	return c.pairs.Weight(service.step().image, filler.step().image) * share(cpu, w.entry.Capacity.CPUMilli)
}

// relieve evicts the filler that raises a service's utilization most. If the filler
// would lose its progress, it is throttled instead, to the speed at which the
// service meets its target.
func (c *Core) relieve(w *worker, over *attempt, slack float64, now time.Time) {
	var worst *attempt
	most := harmfulPart
	for _, f := range w.list {
		if !f.step().filler() || f.stopWhy != "" || f.pacing || f.startedAt.IsZero() && f.seenAt.IsZero() || f.percent >= almostDone {
			continue
		}
		if part := c.part(w, over, f); part > most {
			worst, most = f, part
		}
	}
	if worst == nil {
		return
	}
	percent := 0
	if !worst.mayMove() {
		percent = int(float64(worst.pace)*(1+slack/most)) / paceStep * paceStep
		percent = max(min(percent, worst.pace-paceStep), 0)
	}
	c.note("filler slowed", worst.job().sub.GetRequestId(), "run", worst.run.String(), "worker", w.id, "percent", percent,
		"moved", worst.mayMove(), "service", over.run.String(), "latency_ms", over.metered, "target_ms", over.step().spec.GetLatencyTargetMs(),
		"own_load", over.load.Mean, "part", most, "measured_ms_ago", now.Sub(over.meteredAt).Milliseconds())
	// The filler is throttled even if it is evicted: it would slow the service
	// down until the stop takes effect.
	c.pace(worst, percent, now)
	if worst.mayMove() {
		worst.task.moves++
		worst.task.avoid = w.id
		c.stop(worst, "it slows a service down", now)
	}
}

// evictFillers stops all fillers beside a service that has missed its target for
// half of HarmLimit: the model does not know the cause.
func (c *Core) clear(w *worker, over *attempt, now time.Time) {
	for _, f := range w.list {
		if !f.step().filler() || f.stopWhy != "" {
			continue
		}
		c.note("filler cleared", f.job().sub.GetRequestId(), "run", f.run.String(), "worker", w.id, "service", over.run.String(),
			"latency_ms", over.metered, "target_ms", over.step().spec.GetLatencyTargetMs(), "over_ms", now.Sub(over.overAt).Milliseconds())
		c.pace(f, 0, now)
		f.task.avoid = w.id
		c.stop(f, "a service on its worker misses its target", now)
	}
}

// speedUp raises the speed of one throttled filler as far as the slack of the
// tightest service allows.
func (c *Core) speedUp(w *worker, tight *attempt, slack float64, now time.Time) {
	for _, f := range w.list {
		if !f.step().filler() || f.pace == 100 || f.pacing || f.stopWhy != "" {
			continue
		}
		percent := 100
		if tight != nil {
			full := c.pairs.Weight(tight.step().image, f.step().image) * share(f.step().size.CPUMilli, w.entry.Capacity.CPUMilli)
			if full > harmlessPart {
				percent = min(f.pace+int((slack-paceMargin)/full*100)/paceStep*paceStep, 100)
			}
		}
		if percent >= f.pace+minSpeedUp || percent == 100 {
			c.pace(f, percent, now)
			return
		}
	}
}

// setSpeed sends a new speed for a filler unless the worker has confirmed that
// speed or has not yet answered the previous change.
func (c *Core) pace(a *attempt, percent int, now time.Time) {
	w := a.worker
	if a.pacing || percent == a.paceSent || w.entry.Address == "" {
		return
	}
	a.pace, a.pacedAt, a.pacing, a.whole = percent, now, true, false
	w.orderQueue++
	c.out.Commands = append(c.out.Commands, Command{
		Kind: CommandThrottle, Worker: w.id, Address: w.entry.Address, Token: c.opts.Epoch, AttemptID: a.run, Percent: percent, SentAt: now,
	})
}
