package jobs

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"gooseberryreel/internal/events"
	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/remote"
)

// worker is the owner's state of one worker.
type worker struct {
	inst           remote.Instance
	listed         bool
	statusReceived bool // this owner has received a status from it
	// poll is the sequence number of the status call in flight, 0 if there is none.
	poll         uint64
	nextPoll     time.Time
	lastStatusAt time.Time
	boot         string // changes when the worker restarts
	// jobs holds the jobs whose newest attempt may be running there, by job id.
	jobs map[string]*job
	// orphans holds running attempts that this owner does not want there. They use
	// capacity until they have been stopped.
	orphans map[remote.TaskRef]*orphan

	// renew is the sequence number of the renewal call in flight, 0 if there is
	// none.
	renew     uint64
	nextRenew time.Time
	// leaseUntil is an upper bound on the lease end of all attempts there.
	leaseUntil time.Time

	failures         map[string]bool // jobs that failed since the last completed task
	quarantines      int             // since the last completed task
	quarantinedUntil time.Time
}

// orphan is a running attempt that has to be stopped.
type orphan struct {
	usage remote.Resources
	stop  uint64 // sequence number of the stop call in flight, 0 if there is none
}

// peak is the learned peak usage of the tasks of a job declaration.
type peak struct {
	usage remote.Resources
	at    time.Time
}

// schedulable reports whether the worker may get new work.
func (w *worker) schedulable(now time.Time, o coreConfig) bool {
	return w.listed && w.statusReceived && w.inst.State == remote.StateLive && !w.silent(now, o) && !now.Before(w.quarantinedUntil)
}

// silent reports whether the newest status is older than silentPolls poll
// intervals and a call timeout.
func (w *worker) silent(now time.Time, o coreConfig) bool {
	return now.Sub(w.lastStatusAt) > silentPolls*o.poll+o.callTimeout
}

// probation reports whether the worker has completed no task since its last
// quarantine.
func (w *worker) probation() bool { return w.quarantines > 0 }

// extendLease raises the upper bound on the leases of the worker's attempts.
func (w *worker) extendLease(until time.Time) {
	if until.After(w.leaseUntil) {
		w.leaseUntil = until
	}
}

func (w *worker) pollNow(now time.Time) {
	if now.Before(w.nextPoll) {
		w.nextPoll = now
	}
}

// gone reports whether no attempt can be running on the worker any more, because
// the platform does not list it and every lease has certainly expired.
func (w *worker) gone(now time.Time) bool {
	return !w.listed && w.renew == 0 && now.After(w.leaseUntil.Add(leaseMargin))
}

// updateWorkers applies the platform's list of workers.
func (c *Core) updateWorkers(now time.Time) {
	listed := make(map[string]bool, len(c.view.Workers))
	for _, inst := range c.view.Workers {
		listed[inst.Name] = true
		w := c.ensureWorker(inst.Name, now)
		if w.inst.State != inst.State {
			c.planDue = true
		}
		w.inst, w.listed = inst, true
	}
	for name, w := range c.workers {
		w.listed = listed[name]
	}
}

// ensureWorker returns the worker of a name. An unknown one is added and awaits
// its first status. Its leases are assumed to be fresh, since an earlier owner may
// just have renewed them.
func (c *Core) ensureWorker(name string, now time.Time) *worker {
	w := c.workers[name]
	if w == nil {
		w = &worker{
			inst:       remote.Instance{Name: name},
			jobs:       make(map[string]*job),
			orphans:    make(map[remote.TaskRef]*orphan),
			failures:   make(map[string]bool),
			leaseUntil: now.Add(c.opts.lease),
		}
		c.workers[name] = w
		c.workerOrder = nil
		c.awaitingStatus[name] = true
	}
	return w
}

// workerNames returns the sorted names of all workers.
func (c *Core) workerNames() []string {
	if c.workerOrder == nil {
		c.workerOrder = sortedKeys(c.workers)
	}
	return c.workerOrder
}

// tickWorkers polls workers, renews task leases and removes workers that are gone.
func (c *Core) tickWorkers(now time.Time) {
	for _, name := range c.workerNames() {
		w := c.workers[name]
		if w.gone(now) || (c.disabled.restartSilent && w.silent(now, c.opts)) {
			c.workerGone(name, w, now)
			continue
		}
		if w.poll == 0 && !now.Before(w.nextPoll) {
			w.nextPoll = now.Add(c.opts.poll)
			w.poll = c.nextSeq()
			c.out.Calls = append(c.out.Calls, Call{Seq: w.poll, Kind: CallStatus, Worker: name})
		}
		c.renewLeases(name, w, now)
	}
}

func (c *Core) renewLeases(name string, w *worker, now time.Time) {
	if w.renew != 0 || now.Before(w.nextRenew) || (!w.listed && w.silent(now, c.opts)) {
		return
	}
	var refs []remote.TaskRef
	for _, id := range sortedKeys(w.jobs) {
		if j := w.jobs[id]; j.attempt.confirmSeq != 0 {
			refs = append(refs, j.ref())
		}
	}
	if len(refs) == 0 {
		return
	}
	w.nextRenew = now.Add(c.opts.lease / renewsPerLease)
	w.renew = c.nextSeq()
	c.out.Calls = append(c.out.Calls, Call{Seq: w.renew, Kind: CallRenew, Worker: name, Refs: refs})
}

func (c *Core) renewDone(r CallResult, now time.Time) {
	w := c.workers[r.Call.Worker]
	if w == nil || w.renew != r.Call.Seq {
		return
	}
	w.renew = 0
	// A renewal without an answer may have taken effect.
	w.extendLease(now.Add(c.opts.lease))
	if r.Err != nil {
		w.nextRenew = now.Add(retryDelay)
	}
}

// workerGone removes a worker that is certainly gone and ends all its attempts.
func (c *Core) workerGone(name string, w *worker, now time.Time) {
	for _, id := range sortedKeys(w.jobs) {
		j := w.jobs[id]
		c.attemptEnded(j, remote.TaskStatus{State: remote.TaskExpired, Reason: "worker is gone"}, now)
	}
	delete(c.workers, name)
	c.workerOrder = nil
	c.statusReceived(name, now)
	c.workerEvent(name, "worker_gone", "not listed and all leases expired")
}

func (c *Core) workerEvent(name, kind, detail string) {
	c.out.Events = append(c.out.Events, events.Event{Kind: kind, Worker: name, Detail: detail})
}

// statusDone applies the result of a status call.
func (c *Core) statusDone(r CallResult, now time.Time) {
	w := c.workers[r.Call.Worker]
	if w == nil || w.poll != r.Call.Seq {
		return
	}
	w.poll = 0
	if r.Err != nil {
		return
	}
	if w.silent(now, c.opts) {
		c.planDue = true
	}
	w.lastStatusAt = now
	seen := make(map[remote.TaskRef]*remote.TaskStatus, len(r.Status.Tasks))
	for i := range r.Status.Tasks {
		seen[r.Status.Tasks[i].Ref] = &r.Status.Tasks[i]
	}
	rebooted := w.boot != "" && w.boot != r.Status.Boot
	w.boot = r.Status.Boot
	for _, id := range sortedKeys(w.jobs) {
		c.applyTaskStatus(w.jobs[id], seen[w.jobs[id].ref()], r.Call.Seq, rebooted, now)
	}
	c.adoptUnknown(w, seen, now)
	w.statusReceived = true
	c.statusReceived(r.Call.Worker, now)
}

// statusReceived records that a worker has no attempts that are unknown to this
// owner, because its status arrived or it is gone. After the last such worker,
// jobs that predate the takeover may be started.
func (c *Core) statusReceived(name string, now time.Time) {
	if !c.awaitingStatus[name] {
		return
	}
	delete(c.awaitingStatus, name)
	if len(c.awaitingStatus) == 0 {
		for id, j := range c.jobs {
			j.predatesTakeover = false
			c.toAdvance[id] = j
		}
		for _, id := range sortedKeys(c.unrecordedEnds) {
			c.recordEnd(id, now)
		}
	}
	c.planDue = true
}

// applyTaskStatus applies the status of a job's newest attempt, as returned by
// the status call with sequence number poll. s is nil if the worker does not know
// the attempt.
func (c *Core) applyTaskStatus(j *job, s *remote.TaskStatus, poll uint64, rebooted bool, now time.Time) {
	a := &j.attempt
	switch {
	case s == nil && a.confirmSeq != 0 && (rebooted || poll > a.confirmSeq):
		c.attemptEnded(j, remote.TaskStatus{State: remote.TaskExpired, Reason: "unknown to its worker"}, now)
	case s == nil && a.stopSeq != 0 && poll > a.stopSeq:
		c.attemptEnded(j, remote.TaskStatus{State: remote.TaskStopped}, now)
	case s == nil:
		return
	case s.State == remote.TaskRunning:
		c.confirmStart(j, now)
		c.learnUsage(j, s, now)
	case s.State == remote.TaskStopped && !j.stopping():
		s.Reason = "stopped by the platform"
		c.attemptEnded(j, *s, now)
	default:
		c.attemptEnded(j, *s, now)
	}
}

// learnUsage applies the throttle and the usage reported for a running attempt.
func (c *Core) learnUsage(j *job, s *remote.TaskStatus, now time.Time) {
	if s.ThrottlePercent > 0 {
		j.attempt.percent = s.ThrottlePercent
		if j.attempt.call == 0 && j.attempt.percent != j.attempt.wantPercent {
			c.toAdvance[j.rec.Id] = j
		}
	}
	j.attempt.peak = j.attempt.peak.Max(s.Usage)
	if j.rec.Name == "" {
		return
	}
	p := c.peaks[j.rec.Name]
	if p == nil {
		p = &peak{}
		c.peaks[j.rec.Name] = p
	}
	before := p.value(now)
	p.usage = before.Max(s.Usage)
	p.at = now
	if p.usage != before {
		c.planDue = true
	}
}

// value returns the learned peak at now. It decays, so that a job that has become
// smaller is given less capacity again.
func (p *peak) value(now time.Time) remote.Resources {
	f := math.Exp2(-float64(now.Sub(p.at)) / float64(peakHalfLife))
	return remote.Resources{
		CPUMilli:     int64(math.Ceil(float64(p.usage.CPUMilli) * f)),
		MemoryMiB:    int64(math.Ceil(float64(p.usage.MemoryMiB) * f)),
		Accelerators: int64(math.Ceil(float64(p.usage.Accelerators) * f)),
	}
}

// needs returns the larger of the declared size and the learned peak of a job.
func (c *Core) needs(j *job, now time.Time) remote.Resources {
	if c.opts.overrides.FirstFit {
		return remote.ResourcesFrom(j.rec.Needs)
	}
	n := remote.ResourcesFrom(j.rec.Needs).Max(j.attempt.peak)
	if p := c.peaks[j.rec.Name]; p != nil && j.rec.Name != "" {
		n = n.Max(p.value(now))
	}
	return n
}

// workerFailed counts a failed attempt against its worker, and quarantines the
// worker once quarantineFailures different jobs have failed there without a
// completed task between. On probation, one failure is enough. The length of the
// quarantine doubles each time, up to a bound.
func (c *Core) workerFailed(w *worker, rec *pb.Job, now time.Time) {
	w.failures[rec.Id] = true
	limit := c.opts.quarantineFailures
	if w.probation() {
		limit = 1
	}
	if len(w.failures) < limit {
		return
	}
	w.failures = make(map[string]bool)
	length := c.opts.quarantine << min(w.quarantines, maxQuarantineDoublings)
	w.quarantines++
	w.quarantinedUntil = now.Add(length)
	c.planDue = true
	c.workerEvent(w.inst.Name, "worker_quarantined", fmt.Sprintf("for %s after failed attempts", length))
}

// succeeded clears the failures and ends the probation.
func (w *worker) succeeded() {
	clear(w.failures)
	w.quarantines = 0
}

// clearFailures removes the failures of a job from the workers where it failed. A
// job that fails on several workers is probably at fault itself.
func (c *Core) clearFailures(rec *pb.Job) {
	for _, name := range rec.FailedWorkers {
		if w := c.workers[name]; w != nil {
			delete(w.failures, rec.Id)
		}
	}
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
