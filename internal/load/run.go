package load

import (
	"bytes"
	"context"
	"maps"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"

	"gooseberryreel/internal/history"
)

const (
	// readyInterval is the time between readiness checks of the instances, as made
	// by a load balancer. It is shorter than the time for which a leaving instance
	// keeps accepting calls.
	readyInterval   = time.Second
	lookUpInterval  = 200 * time.Millisecond
	maxLookUps      = 20
	maxJobsInFlight = 500
)

// runner is one load in progress.
type runner struct {
	opts     Options
	client   *Client
	collect  *collector
	inFlight *semaphore.Weighted
	jobSlots *semaphore.Weighted
	ready    atomic.Pointer[[]bool]
	calls    sync.WaitGroup
}

// Run sends the load and returns its report when all calls have ended or the
// context has.
func Run(ctx context.Context, opts Options, client *Client) Report {
	r := &runner{
		opts: opts, client: client, collect: newCollector(opts.Seed),
		inFlight: semaphore.NewWeighted(int64(opts.MaxInFlight)), jobSlots: semaphore.NewWeighted(maxJobsInFlight),
	}
	r.pollReady(ctx)
	pollCtx, stop := context.WithCancel(ctx)
	var polling sync.WaitGroup
	polling.Go(func() { r.keepPolling(pollCtx) })

	start := time.Now()
	jobCtx, cancelJobs := context.WithDeadline(ctx, start.Add(opts.Duration+opts.JobWait))
	defer cancelJobs()
	var arrivals sync.WaitGroup
	arrivals.Go(func() { r.startArrivals(ctx, start, planRequests(opts), r.inFlight, r.sendPlanned) })
	arrivals.Go(func() {
		r.startArrivals(ctx, start, planJobs(opts), r.jobSlots, func(_ context.Context, p plannedArrival, due time.Time) { r.runJob(jobCtx, p, due) })
	})
	arrivals.Wait()
	r.calls.Wait()
	stop()
	polling.Wait()
	report := r.collect.finalReport()
	report.Wrong += client.wrongJobs.Load()
	return report
}

// startArrivals starts each planned arrival at its time, whether or not earlier ones
// have returned. An arrival without a free slot is dropped.
func (r *runner) startArrivals(ctx context.Context, start time.Time, plan []plannedArrival, slots *semaphore.Weighted, do func(context.Context, plannedArrival, time.Time)) {
	for _, p := range plan {
		due := start.Add(p.at)
		if !sleepUntil(ctx, due) {
			return
		}
		lag := time.Since(due).Microseconds()
		r.collect.update(func(report *Report) { report.MaxSendLagUS = max(report.MaxSendLagUS, lag) })
		if !slots.TryAcquire(1) {
			r.collect.update(func(report *Report) { report.Dropped++ })
			continue
		}
		r.calls.Go(func() {
			defer slots.Release(1)
			do(ctx, p, due)
		})
	}
}

// sleepUntil reports false if the context ends before the given time.
func sleepUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// pickEntry returns the preferred instance if it is ready, or else the next ready one.
// It reports false if none is ready.
func (r *runner) pickEntry(preferred int) (Entry, bool) {
	ready := *r.ready.Load()
	for n := range r.opts.Entries {
		i := (preferred + n) % len(r.opts.Entries)
		if ready[i] {
			return r.opts.Entries[i], true
		}
	}
	return Entry{}, false
}

func (r *runner) pollReady(ctx context.Context) {
	ready := make([]bool, len(r.opts.Entries))
	var checks sync.WaitGroup
	for i, entry := range r.opts.Entries {
		checks.Go(func() { ready[i] = r.client.Ready(ctx, entry) })
	}
	checks.Wait()
	r.ready.Store(&ready)
}

func (r *runner) keepPolling(ctx context.Context) {
	for sleepUntil(ctx, time.Now().Add(readyInterval)) {
		r.pollReady(ctx)
	}
}

// sendPlanned sends a planned request with its duplicates, and looks up its answer
// if it was not answered before a short timeout.
func (r *runner) sendPlanned(ctx context.Context, p plannedArrival, due time.Time) {
	entry, ok := r.pickEntry(p.entry)
	if !ok {
		r.collect.update(func(report *Report) { report.Dropped++ })
		return
	}
	req := Request{
		ID: makeID(entry.Domain, time.Now(), p.idRandom), Service: r.opts.Service, Team: p.team,
		Idempotent: !p.nonIdempotent, Timeout: r.opts.Timeout, Body: makeBody(r.opts.BodyBytes, p.bodySeed),
	}
	class := classIdempotent
	if p.nonIdempotent {
		class = classAtMostOnce
	}
	if p.lookUpLate {
		req.Timeout, class = r.opts.ShortTimeout, classShortTimeout
	}
	var duplicates sync.WaitGroup
	if p.duplicate {
		for n, other := range p.others {
			duplicates.Go(func() { r.sendDuplicate(ctx, req, other, time.Duration(n)*maxDuplicateDelay) })
		}
	}
	result := r.send(ctx, class, entry, req, due)
	duplicates.Wait()
	if p.lookUpLate && result.Status == http.StatusGatewayTimeout && result.Outcome == history.OutcomeUnknown {
		r.lookUp(ctx, p, req)
	}
}

func (r *runner) send(ctx context.Context, class string, entry Entry, req Request, due time.Time) CallResult {
	result := r.client.Send(ctx, entry, req)
	wrong := result.Outcome == history.OutcomeOK && !bytes.Equal(result.Body, req.ExpectedBody())
	r.collect.addCall(class, entry, result, wrong, time.Since(due))
	return result
}

func (r *runner) sendDuplicate(ctx context.Context, req Request, entry int, delay time.Duration) {
	due := time.Now().Add(delay)
	other, ok := r.pickEntry(entry)
	if ok && sleepUntil(ctx, due) {
		r.send(ctx, classDuplicate, other, req, due)
	}
}

// lookUp polls for the late answer to a request, at most maxLookUps times.
func (r *runner) lookUp(ctx context.Context, p plannedArrival, req Request) {
	r.collect.update(func(report *Report) { report.LookUps++ })
	for n := range maxLookUps {
		if !sleepUntil(ctx, time.Now().Add(lookUpInterval)) {
			return
		}
		entry, ok := r.pickEntry(p.others[n%len(p.others)])
		if !ok {
			continue
		}
		result := r.client.LookUp(ctx, entry, req)
		if result.Outcome == history.OutcomeOK {
			wrong := !bytes.Equal(result.Body, req.ExpectedBody())
			r.collect.update(func(report *Report) {
				report.Found++
				if wrong {
					report.Wrong++
				}
			})
			return
		}
	}
}

// runJob submits a job, cancels it if planned, and waits for its end.
func (r *runner) runJob(ctx context.Context, p plannedArrival, _ time.Time) {
	r.collect.update(func(report *Report) { report.Jobs++ })
	entry, ok := r.pickEntry(p.entry)
	if !ok {
		r.collect.update(func(report *Report) { report.Dropped++ })
		return
	}
	start := time.Now()
	id := makeID(entry.Domain, start, p.idRandom)
	status, result := r.client.SubmitJob(ctx, entry, Job{Name: p.job, ID: id, Urgent: p.urgent})
	if result.Outcome != history.OutcomeOK {
		r.client.RecordJob(entry, id, start, result.Outcome)
		r.collect.update(func(report *Report) { report.JobStates["submit_"+result.Outcome]++ })
		return
	}
	if status.Ended() {
		r.client.RecordJob(entry, id, start, JobOutcome(status, true))
		r.collect.update(func(report *Report) { report.JobStates[status.State]++ })
		return
	}
	r.collect.update(func(report *Report) { report.Accepted++ })
	if p.cancelAfter > 0 && sleepUntil(ctx, time.Now().Add(p.cancelAfter)) {
		r.client.CancelJob(ctx, entry, id)
	}
	next := func() Entry {
		picked, ok := r.pickEntry(p.others[0])
		if !ok {
			return entry
		}
		return picked
	}
	last, ended := r.client.WaitJob(ctx, next, id, func(JobStatus) bool { return false })
	if last.State != "" {
		status = last
	}
	r.client.RecordJob(entry, id, start, JobOutcome(status, ended))
	r.collect.update(func(report *Report) { report.JobStates[status.State]++ })
}

func sorted[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
