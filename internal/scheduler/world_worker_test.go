package scheduler

import (
	"slices"
	"time"
)

// take carries an order out.
func (sw *simWorker) take(o Command, answer func(CommandResult)) {
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
				sw.w.doneNoted[e.AttemptID.TaskName()] = true
			}
			return e.Number <= o.Cursor
		})
		if sw.hold != nil {
			sw.hold.until = sw.w.now
			sw.answerHold()
		}
		sw.hold = &heldHold{o, sw.w.now.Add(o.Wait), func(h HoldReply) { result.Hold = &h; answer(result) }}
		sw.answerHold()
	case CommandStart:
		switch {
		case sw.active[o.AttemptID] != nil:
		case o.Lease < sw.clock():
			refuse(RefusedDeadlinePassed)
			return
		case o.AttemptID.Number <= sw.highest[o.AttemptID.TaskName()]:
			sw.extend(o.Lease)
			refuse(RefusedStaleAttempt)
			return
		default:
			sw.extend(o.Lease)
			sw.active[o.AttemptID] = &simRun{run: o.AttemptID, begun: sw.w.now, does: sw.w.behave(o.AttemptID), pace: 100}
			sw.w.began(o.AttemptID, sw)
		}
		answer(result)
	case CommandStop:
		name := o.AttemptID.TaskName()
		sw.highest[name] = max(sw.highest[name], o.AttemptID.Number)
		if r := sw.active[o.AttemptID]; r != nil {
			sw.finish(r, EndStopped)
		}
		answer(result)
	case CommandThrottle:
		if r := sw.active[o.AttemptID]; r != nil {
			r.pace = o.Percent
		}
		answer(result)
	}
}

func (sw *simWorker) advance() {
	for _, r := range sw.list() {
		if !r.stuck {
			r.done += simStep * time.Duration(r.pace) / 100
		}
		switch {
		case sw.w.now.After(sw.lease):
			sw.finish(r, EndLeaseExpired)
		case !r.does.lasts && r.done >= r.does.work:
			how := EndDone
			if r.does.fail {
				how = EndFailed
			}
			sw.finish(r, how)
		}
	}
	sw.answerHold()
}

func (sw *simWorker) list() []*simRun {
	var list []*simRun
	for _, r := range sw.active {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *simRun) int { return int(a.begun.Sub(b.begun)) })
	return list
}

func (sw *simWorker) finish(r *simRun, how EndReason) {
	delete(sw.active, r.run)
	name := r.run.TaskName()
	sw.w.log("%s ends on %s: %s", r.run, sw.id, how)
	sw.highest[name] = max(sw.highest[name], r.run.Number)
	sw.next++
	sw.ended = append(sw.ended, EndedAttempt{Number: sw.next, AttemptID: r.run, Reason: how})
	sw.w.stopped(r.run, sw.id)
}

func (sw *simWorker) answerHold() {
	h := sw.hold
	if h == nil || len(sw.ended) == 0 && sw.w.now.Before(h.until) {
		return
	}
	sw.hold = nil
	reply := HoldReply{Clock: sw.clock(), Incarnation: sw.born, Ended: slices.Clone(sw.ended)}
	for _, r := range sw.list() {
		percent := 100
		if !r.does.lasts {
			percent = int(r.done * 100 / max(r.does.work, 1))
		}
		reply.Active = append(reply.Active, ActiveAttempt{AttemptID: r.run, Progress: percent, Measured: r.does.tail})
	}
	h.reply(reply)
}
