package scheduler

import "time"

const (
	// lateOrderBound is how late an order without an answer may still be carried out.
	lateOrderBound = 12 * time.Second
	// speedRepeat is the time between repetitions of a speed that the worker has
	// confirmed while an earlier order may still be carried out.
	speedRepeat = 2 * time.Second
)

// setSpeed sends a new speed for a filler unless the worker has confirmed that
// speed or has not yet answered the previous change.
func (c *Core) setSpeed(a *attempt, percent int, now time.Time) {
	if a.speedPending || percent == a.confirmedSpeed && !a.speedUnknown || a.worker.entry.Address == "" {
		return
	}
	a.worker.changed = true
	a.speed, a.durationUsable = percent, false
	c.sendSpeed(a, now)
}

func (c *Core) sendSpeed(a *attempt, now time.Time) {
	w := a.worker
	a.speedSetAt, a.speedPending = now, true
	w.commandsInFlight++
	c.out.Commands = append(c.out.Commands, Command{
		Kind: CommandThrottle, Worker: w.id, Address: w.entry.Address, Domain: w.entry.Zone, Token: c.opts.Epoch, AttemptID: a.attemptID, Percent: a.speed, SentAt: now,
	})
}

// speedDone handles the outcome of a throttle command.
func (a *attempt) speedDone(r CommandResult, repeat bool) {
	a.speedPending = false
	switch {
	case r.Err != nil && !r.NotSent:
		// The worker runs the filler at the earlier or at the new speed.
		a.speedUnknown = repeat
		a.lateUntil = r.Command.SentAt.Add(lateOrderBound)
	case r.Err != nil, r.Refused == RefusedUnhealthy:
		a.speedUnknown = repeat
	case r.Refused != RefusedNone:
		if repeat {
			a.speed = a.confirmedSpeed
			a.worker.changed = true
		}
	default:
		a.confirmedSpeed, a.speedUnknown = r.Command.Percent, false
	}
}

// repeatSpeed repeats the wanted speed of a filler if the worker may run it at
// another one: the newest order was not answered, or an earlier one may still be
// carried out.
func (c *Core) repeatSpeed(a *attempt, now time.Time) {
	w := a.worker
	if a.speedPending || a.stopReason != "" || w.entry.Address == "" || !w.silentSince.IsZero() || !w.adopted {
		return
	}
	age := now.Sub(a.speedSetAt)
	if a.speedUnknown && age > stopRetry || !c.disabled.trustSpeeds && now.Before(a.lateUntil) && age > speedRepeat {
		c.sendSpeed(a, now)
	}
}
