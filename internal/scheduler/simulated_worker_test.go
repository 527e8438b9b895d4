package scheduler

import (
	"slices"
	"time"
)

// execute carries out a command.
func (sw *simWorker) execute(o Command, answer func(CommandResult)) {
	sw.advance()
	result := CommandResult{Command: o, Clock: sw.clock()}
	refuse := func(r Refusal) {
		result.Refused = r
		answer(result)
	}
	if o.Token < sw.token {
		refuse(RefusedFenced)
		return
	}
	sw.token = o.Token
	switch o.Kind {
	case CommandHold:
		if o.Lease > 0 {
			sw.extend(o.Lease)
		}
		sw.ended = slices.DeleteFunc(sw.ended, func(e EndedAttempt) bool {
			if e.Number <= o.Cursor && e.Reason == EndDone {
				sw.w.log("%s forgets the end of %s: cursor %d, token %d, sent at %v", sw.id, e.AttemptID, o.Cursor, o.Token, o.SentAt.Sub(time.UnixMilli(1_700_000_000_000)))
				sw.w.forgottenDone[e.AttemptID.TaskName()] = true
			}
			return e.Number <= o.Cursor
		})
		if sw.pendingHold != nil {
			sw.pendingHold.until = sw.w.now
			sw.answerHold()
		}
		sw.pendingHold = &openHold{o, sw.w.now.Add(o.Wait), func(h HoldReply) { result.Hold = &h; answer(result) }}
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
			sw.active[o.AttemptID] = &simRun{attemptID: o.AttemptID, startedAt: sw.w.now, task: sw.w.taskFor(o.AttemptID), speed: 100}
			sw.w.checkStart(o.AttemptID, sw)
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

func (sw *simWorker) advance() {
	for _, r := range sw.runs() {
		if !r.stuck {
			r.worked += simStep * time.Duration(r.speed) / 100
		}
		switch {
		case sw.w.now.After(sw.lease):
			sw.finish(r, EndLeaseExpired)
		case !r.task.longRunning && r.worked >= r.task.work:
			how := EndDone
			if r.task.fail {
				how = EndFailed
			}
			sw.finish(r, how)
		}
	}
	sw.answerHold()
}

func (sw *simWorker) runs() []*simRun {
	var runs []*simRun
	for _, r := range sw.active {
		runs = append(runs, r)
	}
	slices.SortFunc(runs, func(a, b *simRun) int { return int(a.startedAt.Sub(b.startedAt)) })
	return runs
}

func (sw *simWorker) finish(r *simRun, how EndReason) {
	delete(sw.active, r.attemptID)
	name := r.attemptID.TaskName()
	sw.w.log("%s ends on %s: %s", r.attemptID, sw.id, how)
	sw.newestAttempt[name] = max(sw.newestAttempt[name], r.attemptID.Number)
	sw.next++
	sw.ended = append(sw.ended, EndedAttempt{Number: sw.next, AttemptID: r.attemptID, Reason: how})
	sw.w.attemptEnded(r.attemptID, sw.id)
}

func (sw *simWorker) answerHold() {
	h := sw.pendingHold
	if h == nil || len(sw.ended) == 0 && sw.w.now.Before(h.until) {
		return
	}
	sw.pendingHold = nil
	reply := HoldReply{Clock: sw.clock(), Incarnation: sw.incarnation, Ended: slices.Clone(sw.ended)}
	for _, r := range sw.runs() {
		percent := 100
		if !r.task.longRunning {
			percent = int(r.worked * 100 / max(r.task.work, 1))
		}
		reply.Active = append(reply.Active, ActiveAttempt{AttemptID: r.attemptID, Progress: percent, Measured: r.task.latencyMS})
	}
	h.reply(reply)
}
