package scheduler

import (
	"fmt"
	"slices"
	"time"
)

// restart restarts a worker: its attempts, ends and token are lost.
func (sw *simWorker) restart() {
	sw.sim.log("%s restarts", sw.id)
	for _, r := range sw.active {
		sw.sim.attemptEnded(r.attemptID, sw.id, EndUnknown)
	}
	sw.incarnation, sw.startedAt, sw.token = sw.incarnation+1+sw.sim.now.UnixMilli(), sw.sim.now, 0
	sw.active, sw.newestAttempt, sw.ended, sw.next = make(map[AttemptID]*simAttempt), make(map[string]int), nil, 0
	sw.endedAt = make(map[int64]time.Time)
	if h := sw.pendingHold; h != nil {
		core := sw.sim.core
		sw.sim.after(simStep, func() {
			if core == sw.sim.core {
				core.CommandDone(CommandResult{Command: h.command, Err: fmt.Errorf("connection reset")}, sw.sim.now)
			}
		})
	}
	sw.pendingHold, sw.lease = nil, sw.sim.now
}

func (sw *simWorker) clock() time.Duration {
	return time.Duration(float64(sw.sim.now.Sub(sw.startedAt)) * sw.clockRate).Truncate(time.Millisecond)
}

func (sw *simWorker) extend(lease time.Duration) {
	left := min(lease-sw.clock(), 6*time.Second)
	until := sw.sim.now.Add(time.Duration(float64(left) / sw.clockRate))
	if until.After(sw.lease) {
		sw.lease = until
	}
}

// execute carries out a command.
func (sw *simWorker) execute(o Command, answer func(CommandResult)) {
	sw.advance()
	result := CommandResult{Command: o, Clock: sw.clock()}
	if sw.sim.now.Before(sw.downUntil) {
		result.Err, result.NotSent = fmt.Errorf("connection refused"), true
		answer(result)
		return
	}
	refuse := func(r Refusal) {
		result.Refused = r
		answer(result)
	}
	if o.Token < sw.token {
		refuse(RefusedFenced)
		return
	}
	if o.Worker != sw.id {
		refuse(RefusedWrongWorker)
		return
	}
	sw.token = o.Token
	if sw.sim.refuse != nil {
		if r := sw.sim.refuse(o); r != RefusedNone {
			refuse(r)
			return
		}
	}
	switch o.Kind {
	case CommandHold:
		if o.Lease > 0 {
			sw.extend(o.Lease)
		}
		sw.ended = slices.DeleteFunc(sw.ended, func(e EndedAttempt) bool {
			if e.Number <= o.Cursor && e.Reason == EndDone {
				sw.sim.log("%s discards the end of %s: cursor %d, token %d, sent at %v", sw.id, e.AttemptID, o.Cursor, o.Token, o.SentAt.Sub(time.UnixMilli(1_700_000_000_000)))
				sw.sim.discardedDone[e.AttemptID.TaskName()] = true
			}
			if e.Number <= o.Cursor && sw.sim.onNoted != nil && !sw.expiredAt.After(sw.endedAt[e.Number]) {
				sw.sim.onNoted(e.AttemptID, e.Reason, sw.endedAt[e.Number])
			}
			return e.Number <= o.Cursor
		})
		if sw.pendingHold != nil {
			sw.pendingHold.until = sw.sim.now
			sw.answerHold()
		}
		sw.pendingHold = &openHold{o, sw.sim.now.Add(o.Wait), func(h HoldReply) { result.Hold = &h; answer(result) }}
		sw.answerHold()
	case CommandStart:
		switch {
		case sw.active[o.AttemptID] != nil:
		case o.Lease < sw.clock():
			refuse(RefusedDeadlinePassed)
			return
		case o.AttemptID.Number <= sw.newestAttempt[o.AttemptID.TaskName()]:
			sw.extend(o.Lease)
			refuse(RefusedStaleAttempt)
			return
		default:
			sw.extend(o.Lease)
			sw.active[o.AttemptID] = &simAttempt{attemptID: o.AttemptID, startedAt: sw.sim.now, task: sw.sim.taskFor(o.AttemptID), speed: 100}
			sw.sim.checkStart(o.AttemptID, sw)
			sw.crashUnder(sw.active[o.AttemptID])
		}
		answer(result)
	case CommandStop:
		name := o.AttemptID.TaskName()
		sw.newestAttempt[name] = max(sw.newestAttempt[name], o.AttemptID.Number)
		if r := sw.active[o.AttemptID]; r != nil {
			sw.finish(r, EndStopped)
		}
		answer(result)
	case CommandThrottle:
		if r := sw.active[o.AttemptID]; r != nil {
			r.speed = o.Percent
		}
		answer(result)
	}
}

// executeLate lets a worker carry out a command after a delay, without an answer.
func (sim *simulation) executeLate(sw *simWorker, o Command, delay time.Duration) {
	incarnation := sw.incarnation // a restart also loses commands that have arrived
	sim.after(delay, func() {
		if sw.incarnation == incarnation {
			sw.execute(o, func(CommandResult) {})
		}
	})
}

func (sw *simWorker) advance() {
	if sw.sim.now.After(sw.lease) {
		sw.expiredAt = sw.sim.now
	}
	for _, r := range sw.activeAttempts() {
		if !r.stuck {
			r.worked += time.Duration(float64(simStep) * float64(r.speed) / 100 / sw.sim.slowdown(r, sw) / max(sw.slowdown, sw.slow, 1))
		}
		switch {
		case sw.sim.now.After(sw.lease):
			sw.finish(r, EndLeaseExpired)
		case !r.task.longRunning && r.worked >= r.task.work:
			how := EndDone
			if r.task.fail || sw.slow > 1 && (r.attemptID.Task+r.attemptID.Number)%2 == 0 {
				how = EndFailed
			}
			sw.finish(r, how)
		}
	}
	sw.answerHold()
}

func (sw *simWorker) activeAttempts() []*simAttempt {
	var attempts []*simAttempt
	for _, r := range sw.active {
		attempts = append(attempts, r)
	}
	slices.SortFunc(attempts, func(a, b *simAttempt) int { return int(a.startedAt.Sub(b.startedAt)) })
	return attempts
}

func (sw *simWorker) finish(r *simAttempt, how EndReason) {
	delete(sw.active, r.attemptID)
	name := r.attemptID.TaskName()
	sw.sim.log("%s ends on %s: %s", r.attemptID, sw.id, how)
	sw.newestAttempt[name] = max(sw.newestAttempt[name], r.attemptID.Number)
	sw.next++
	sw.endedAt[sw.next] = sw.sim.now
	sw.ended = append(sw.ended, EndedAttempt{Number: sw.next, AttemptID: r.attemptID, Reason: how})
	sw.sim.attemptEnded(r.attemptID, sw.id, how)
}

func (sw *simWorker) answerHold() {
	h := sw.pendingHold
	if h == nil || len(sw.ended) == 0 && sw.sim.now.Before(h.until) {
		return
	}
	sw.pendingHold = nil
	reply := HoldReply{Clock: sw.clock(), Incarnation: sw.incarnation, Ended: slices.Clone(sw.ended[:min(len(sw.ended), maxListedEnds)])}
	for _, r := range sw.activeAttempts() {
		percent := 100
		if !r.task.longRunning {
			percent = int(r.worked * 100 / max(r.task.work, 1))
		}
		reply.Active = append(reply.Active, ActiveAttempt{AttemptID: r.attemptID, Progress: percent, Measured: r.task.latencyMS})
	}
	h.reply(reply)
}
