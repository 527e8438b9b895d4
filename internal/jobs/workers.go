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
	inst     remote.Instance
	listed   bool
	answered bool // a status asked for by this owner has arrived
	// poll is the sequence number of the status call in flight, 0 for none.
	poll     uint64
	nextPoll time.Time
	lastOK   time.Time
	boot     string
	// jobs are the attempts that may be running there, by job id.
	jobs map[string]*job
	// ghosts are running attempts that belong to no live attempt of this owner;
	// they count against capacity until they have been stopped.
	ghosts map[remote.TaskRef]*ghost

	renew     uint64
	nextRenew time.Time
	// leaseUntil is a bound on the leases of all attempts there.
	leaseUntil time.Time

	failures         map[string]bool // jobs that failed in a row
	quarantines      int
	quarantinedUntil time.Time
}

type ghost struct {
	usage remote.Resources
	stop  uint64
}

// peak is the learned peak use of a batch job.
type peak struct {
	use remote.Resources
	at  time.Time
}

// usable reports whether the worker may get new work.
func (w *worker) usable(now time.Time, o config) bool {
	return w.listed && w.answered && w.inst.State == remote.StateLive && !w.silent(now, o) && !now.Before(w.quarantinedUntil)
}

// silent reports whether the worker has not answered lately.
func (w *worker) silent(now time.Time, o config) bool {
	return now.Sub(w.lastOK) > silentPolls*o.poll+o.callTimeout
}

// probation says that the worker was in quarantine and has not yet completed a
// task since.
func (w *worker) probation() bool { return w.quarantines > 0 }

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

// gone reports whether nothing can run on the worker any more: the platform
// does not list it and every lease has certainly lapsed.
func (w *worker) gone(now time.Time) bool {
	return !w.listed && w.renew == 0 && now.After(w.leaseUntil.Add(leaseMargin))
}

// listWorkers takes the platform's list.
func (c *Core) listWorkers(now time.Time) {
	listed := make(map[string]bool, len(c.sit.Workers))
	for _, inst := range c.sit.Workers {
		listed[inst.Name] = true
		w := c.workerNamed(inst.Name, now)
		if w.inst.State != inst.State {
			c.planDue = true
		}
		w.inst, w.listed = inst, true
	}
	for name, w := range c.workers {
		w.listed = listed[name]
	}
}

// workerNamed returns a worker, which is new and unanswered if it was unknown.
func (c *Core) workerNamed(name string, now time.Time) *worker {
	w := c.workers[name]
	if w == nil {
		w = &worker{
			inst:       remote.Instance{Name: name},
			jobs:       make(map[string]*job),
			ghosts:     make(map[remote.TaskRef]*ghost),
			failures:   make(map[string]bool),
			leaseUntil: now.Add(c.opts.lease),
		}
		c.workers[name] = w
		c.workerOrder = nil
		c.unanswered[name] = true
	}
	return w
}

// workerNames returns the names of all workers in a fixed order.
func (c *Core) workerNames() []string {
	if c.workerOrder == nil {
		c.workerOrder = sortedKeys(c.workers)
	}
	return c.workerOrder
}

// tickWorkers polls workers, renews leases and drops workers that are gone.
func (c *Core) tickWorkers(now time.Time) {
	for _, name := range c.workerNames() {
		w := c.workers[name]
		if w.gone(now) || (c.faults.restartSilent && w.silent(now, c.opts)) {
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
		if j := w.jobs[id]; j.attempt.confirmed != 0 {
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

// workerGone ends all attempts of a worker that is certainly gone.
func (c *Core) workerGone(name string, w *worker, now time.Time) {
	for _, id := range sortedKeys(w.jobs) {
		j := w.jobs[id]
		c.attemptEnded(j, remote.TaskStatus{State: remote.TaskExpired, Reason: "worker is gone"}, now)
	}
	delete(c.workers, name)
	c.workerOrder = nil
	c.answered(name, now)
	c.workerEvent(name, "worker_gone", "not listed and all leases lapsed")
}

func (c *Core) workerEvent(name, kind, detail string) {
	c.out.Events = append(c.out.Events, events.Event{Kind: kind, Worker: name, Detail: detail})
}

// statusDone takes a worker's report.
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
	w.lastOK = now
	seen := make(map[remote.TaskRef]*remote.TaskStatus, len(r.Status.Tasks))
	for i := range r.Status.Tasks {
		seen[r.Status.Tasks[i].Ref] = &r.Status.Tasks[i]
	}
	rebooted := w.boot != "" && w.boot != r.Status.Boot
	w.boot = r.Status.Boot
	for _, id := range sortedKeys(w.jobs) {
		c.compare(w.jobs[id], seen[w.jobs[id].ref()], r.Call.Seq, rebooted, now)
	}
	c.adoptUnknown(w, seen, now)
	w.answered = true
	c.answered(r.Call.Worker, now)
}

// answered notes that a worker hides no unknown attempts.
func (c *Core) answered(name string, now time.Time) {
	if !c.unanswered[name] {
		return
	}
	delete(c.unanswered, name)
	if len(c.unanswered) == 0 {
		for id, j := range c.jobs {
			j.predates = false
			c.hot[id] = j
		}
		for _, id := range sortedKeys(c.endedUnknown) {
			c.recordEnded(id, now)
		}
	}
	c.planDue = true
}

// compare takes what a report, asked for by call poll, says of an attempt. Nil
// means that the report lacks it.
func (c *Core) compare(j *job, s *remote.TaskStatus, poll uint64, rebooted bool, now time.Time) {
	a := &j.attempt
	switch {
	case s == nil && a.confirmed != 0 && (rebooted || poll > a.confirmed):
		c.attemptEnded(j, remote.TaskStatus{State: remote.TaskExpired, Reason: "unknown to its worker"}, now)
	case s == nil && a.stopped != 0 && poll > a.stopped:
		c.attemptEnded(j, remote.TaskStatus{State: remote.TaskStopped}, now)
	case s == nil:
		return
	case s.State == remote.TaskRunning:
		c.confirm(j, now)
		c.learn(j, s, now)
	case s.State == remote.TaskStopped && !j.stopping():
		s.Reason = "stopped by the platform"
		c.attemptEnded(j, *s, now)
	default:
		c.attemptEnded(j, *s, now)
	}
}

// learn takes the reported use of a running attempt.
func (c *Core) learn(j *job, s *remote.TaskStatus, now time.Time) {
	if s.ThrottlePercent > 0 {
		j.attempt.percent = s.ThrottlePercent
		if j.attempt.call == 0 && j.attempt.percent != j.attempt.want {
			c.hot[j.rec.Id] = j
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
	p.use = before.Max(s.Usage)
	p.at = now
	if p.use != before {
		c.planDue = true
	}
}

// value returns the learned peak, which decays so that a job that became
// smaller is noticed.
func (p *peak) value(now time.Time) remote.Resources {
	f := math.Exp2(-float64(now.Sub(p.at)) / float64(peakHalfLife))
	return remote.Resources{
		CPUMilli:     int64(math.Ceil(float64(p.use.CPUMilli) * f)),
		MemoryMiB:    int64(math.Ceil(float64(p.use.MemoryMiB) * f)),
		Accelerators: int64(math.Ceil(float64(p.use.Accelerators) * f)),
	}
}

// needs returns the larger of the declared size and the learned peak.
func (c *Core) needs(j *job, now time.Time) remote.Resources {
	if c.opts.tuning.FirstFit {
		return remote.ResourcesFrom(j.rec.Needs)
	}
	n := remote.ResourcesFrom(j.rec.Needs).Max(j.attempt.peak)
	if p := c.peaks[j.rec.Name]; p != nil && j.rec.Name != "" {
		n = n.Max(p.value(now))
	}
	return n
}

// workerFailed counts a failed attempt and quarantines the worker after several
// different jobs failed in a row. The quarantine doubles each time.
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

// succeeded ends the probation and the row of failures.
func (w *worker) succeeded() {
	clear(w.failures)
	w.quarantines = 0
}

// absolve takes the failures of a job that failed everywhere off the workers.
func (c *Core) absolve(rec *pb.Job) {
	for _, name := range rec.FailedWorkers {
		if w := c.workers[name]; w != nil {
			delete(w.failures, rec.Id)
		}
	}
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
