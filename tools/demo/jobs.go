package main

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"gooseberryreel/internal/history"
	"gooseberryreel/internal/load"
)

const (
	batchJobs = 36
	batchWait = 20 * time.Second
	// noisyJobs would fill all workers of a domain, each of which has a target
	// of the service. The first runs alone: the router leaves the one slowed
	// target few requests, so that interference is hard to see. The others come
	// once it is known and wait for the end of the load.
	noisyJobs = 4
	aloneTime = 8 * time.Second
	noisyWait = 30 * time.Second
	// noisyDelay leaves the time to learn how fast the service is by itself.
	noisyDelay = 4 * time.Second
	// harmlessJobs fill the workers of a domain that have one target each, one
	// of which is late by itself.
	harmlessJobs  = 3
	harmlessStart = 2 * time.Second
	fillers       = 4
	fillerStart   = 4 * time.Second
	urgentLimit   = 5600 * time.Millisecond
	quotaJobs     = 6
	quotaAtOnce   = 2
	submitTries   = 40
	submitPause   = 250 * time.Millisecond
	cancelWait    = 5 * time.Second
	doneState     = "done"
	runningState  = "running"
)

// jobRun is one job that was run to its end.
type jobRun struct {
	id     string
	status load.JobStatus
	err    error
}

// jobPoints shows point 3. Each scenario has a domain, so that they don't take
// each other's workers.
func (d *demo) jobPoints(ctx context.Context) {
	var scenarios sync.WaitGroup
	for _, scenario := range []func(context.Context){
		d.batchPoint, d.noisyPoint, d.harmlessPoint, d.unschedulablePoint, d.cancelPoint, d.preemptPoint, d.quotaPoint,
	} {
		scenarios.Go(func() { scenario(ctx) })
	}
	scenarios.Wait()
}

// submit submits a job. A caller that is told that the job was not run and to
// retry does so, except where the answer itself is the point.
func (d *demo) submit(ctx context.Context, entry load.Entry, job load.Job) (load.JobStatus, load.CallResult) {
	start := time.Now()
	status, answer := d.client.SubmitJob(ctx, entry, job)
	if answer.Outcome != history.OutcomeOK {
		d.client.RecordJob(entry, job.ID, start, answer.Outcome)
	}
	return status, answer
}

// runJob submits a job until it is accepted and waits for its end.
func (d *demo) runJob(ctx context.Context, domain string, job load.Job, wait time.Duration) (load.JobStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	start := time.Now()
	if job.ID == "" {
		job.ID = d.newID(domain)
	}
	entry, status, err := d.accept(ctx, domain, job)
	if err != nil {
		return status, err
	}
	next := func() load.Entry { return d.anyEntry(domain) }
	last, ended := d.client.WaitJob(ctx, next, job.ID, func(load.JobStatus) bool { return false })
	d.client.RecordJob(entry, job.ID, start, load.JobOutcome(last, ended))
	if !ended {
		return last, errors.Errorf("job %s was %s (%s) after %v", job.ID, last.State, last.Reason, wait)
	}
	return last, nil
}

func (d *demo) accept(ctx context.Context, domain string, job load.Job) (load.Entry, load.JobStatus, error) {
	var answer load.CallResult
	for range submitTries {
		entry := d.anyEntry(domain)
		var status load.JobStatus
		status, answer = d.submit(ctx, entry, job)
		if answer.Outcome == history.OutcomeOK || !answer.Failure.Retry && answer.Status != 0 {
			return entry, status, submitError(answer)
		}
		pause(ctx, submitPause)
		if ctx.Err() != nil {
			return entry, status, errors.Wrap(submitError(answer), "submit job")
		}
	}
	return load.Entry{}, load.JobStatus{}, submitError(answer)
}

func submitError(answer load.CallResult) error {
	if answer.Outcome == history.OutcomeOK {
		return nil
	}
	if answer.Err != nil {
		return errors.Wrap(answer.Err, "submit job")
	}
	return errors.Errorf("submit job: %s at %s, status %d: %s", answer.Outcome, answer.Failure.Step, answer.Status, answer.Failure.Error)
}

// runJobs runs several jobs at once.
func (d *demo) runJobs(ctx context.Context, domain, name string, count int, wait time.Duration) []jobRun {
	runs := make([]jobRun, count)
	var jobs sync.WaitGroup
	for n := range runs {
		in := domain
		if in == "" {
			in = domains[n%len(domains)]
		}
		id := d.newID(in)
		jobs.Go(func() {
			status, err := d.runJob(ctx, in, load.Job{Name: name, ID: id}, wait)
			runs[n] = jobRun{id: id, status: status, err: err}
		})
	}
	jobs.Wait()
	return runs
}

// sumUp counts the jobs that are done and returns the first failure.
func sumUp(runs []jobRun) (done int, problem string) {
	for _, r := range runs {
		switch {
		case r.err == nil && r.status.State == doneState:
			done++
		case problem != "":
		case r.err != nil:
			problem = "; " + r.err.Error()
		default:
			problem = "; job " + r.id + " ended as " + r.status.State + ": " + r.status.Reason
		}
	}
	return done, problem
}

func (d *demo) batchPoint(ctx context.Context) {
	start := time.Now()
	done, problem := sumUp(d.runJobs(ctx, "", "booking-reconciliation", batchJobs, batchWait))
	d.report.check(done == batchJobs, "3 batch jobs", "%d of %d done after %.1f s%s", done, batchJobs, time.Since(start).Seconds(), problem)
}

// noisyPoint runs jobs that slow a service down.
func (d *demo) noisyPoint(ctx context.Context) {
	pause(ctx, noisyDelay)
	var first, others []jobRun
	var alone sync.WaitGroup
	alone.Go(func() { first = d.runJobs(ctx, domains[2], "noisy-report", 1, noisyWait) })
	pause(ctx, aloneTime)
	others = d.runJobs(ctx, domains[2], "noisy-report", noisyJobs-1, noisyWait)
	alone.Wait()
	throttled := d.eventKinds(domains[2], first[0].id)["job_throttled"]
	runs := append(first, others...)
	done, problem := sumUp(runs)
	attempts, err := d.attemptsOf(runs)
	stopped := 0
	for _, at := range attempts {
		if at.Outcome == history.OutcomeRan {
			stopped++
		}
	}
	resumed := len(attempts) - noisyJobs
	d.report.check(err == nil && done == noisyJobs && throttled > 0 && resumed == stopped, "3 job that hurts a service",
		"%d of %d done, the first throttled %d times; by the workers' history %d attempts were stopped and %d resumed%s", done, noisyJobs, throttled, stopped, resumed, problem)
}

// harmlessPoint runs jobs beside targets of which one is late by itself.
func (d *demo) harmlessPoint(ctx context.Context) {
	pause(ctx, harmlessStart)
	start := time.Now()
	runs := d.runJobs(ctx, domains[0], "filler", harmlessJobs, batchWait)
	took := time.Since(start)
	done, problem := sumUp(runs)
	throttled, evictions := 0, 0
	for _, r := range runs {
		throttled += d.eventKinds(domains[0], r.id)["job_throttled"]
		evictions += int(r.status.Evictions)
	}
	d.report.check(done == harmlessJobs && evictions == 0, "3 jobs beside a slow target",
		"%d of %d done after %.1f s, throttled %d times, %d evicted%s", done, harmlessJobs, took.Seconds(), throttled, evictions, problem)
}

func (d *demo) unschedulablePoint(ctx context.Context) {
	id := d.newID(domains[0])
	status, answer := d.client.SubmitJob(ctx, d.anyEntry(domains[0]), load.Job{Name: "too-large", ID: id})
	told := status.State == "unschedulable" || answer.Failure.Outcome == history.OutcomeNotRun && !answer.Failure.Retry
	d.report.check(told, "3 job that fits nowhere", "status %d, state %q, outcome %s: %s%s", answer.Status, status.State, answer.Outcome, status.Reason, answer.Failure.Error)
}

func (d *demo) cancelPoint(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, cancelWait)
	defer cancel()
	start := time.Now()
	job := load.Job{Name: "season-report", ID: d.newID(domains[0])}
	entry, _, err := d.accept(ctx, domains[0], job)
	var last load.JobStatus
	if err == nil {
		d.client.CancelJob(ctx, entry, job.ID)
		last, _ = d.client.WaitJob(ctx, func() load.Entry { return d.anyEntry(domains[0]) }, job.ID, func(load.JobStatus) bool { return false })
		d.client.RecordJob(entry, job.ID, start, load.JobOutcome(last, last.Ended()))
	}
	d.report.check(err == nil && last.State == "cancelled", "3 cancelled job", "%s %.1f s after it was submitted (%s)", last.State, time.Since(start).Seconds(), errText(err))
}

// preemptPoint fills a domain with batch work and submits an urgent job.
func (d *demo) preemptPoint(ctx context.Context) {
	var fill sync.WaitGroup
	var runs []jobRun
	fill.Go(func() { runs = d.runJobs(ctx, domains[1], "filler", fillers, batchWait+batchWait/2) })
	pause(ctx, fillerStart)
	start := time.Now()
	job := load.Job{Name: "urgent-confirmation-run", ID: d.newID(domains[1]), Urgent: true}
	entry, _, err := d.accept(ctx, domains[1], job)
	var status load.JobStatus
	started := time.Duration(0)
	if err == nil {
		waitCtx, cancel := context.WithTimeout(ctx, 2*urgentLimit)
		next := func() load.Entry { return d.anyEntry(domains[1]) }
		d.client.WaitJob(waitCtx, next, job.ID, func(s load.JobStatus) bool { return s.State == runningState })
		started = time.Since(start)
		status, _ = d.client.WaitJob(waitCtx, next, job.ID, func(load.JobStatus) bool { return false })
		cancel()
		d.client.RecordJob(entry, job.ID, start, load.JobOutcome(status, status.Ended()))
	}
	d.report.check(err == nil && status.State == doneState && started <= urgentLimit, "3 urgent job preempts",
		"seen running %.1f s after it was submitted to a full domain (limit %.1f s), then %s (%s)", started.Seconds(), urgentLimit.Seconds(), status.State, errText(err))
	fill.Wait()
	done, problem := sumUp(runs)
	evictions := 0
	for _, r := range runs {
		evictions += r.status.Evictions
	}
	d.report.check(done == fillers && evictions > 0, "3 preempted jobs resume", "%d of %d batch jobs done, %d evicted and resumed%s", done, fillers, evictions, problem)
}

// quotaPoint submits more than a team's quota; the workers' history shows how
// many ran at once.
func (d *demo) quotaPoint(ctx context.Context) {
	runs := d.runJobs(ctx, domains[0], "quota-bound", quotaJobs, batchWait)
	done, problem := sumUp(runs)
	peak, err := d.peakAttempts(runs)
	d.report.check(err == nil && done == quotaJobs && peak <= quotaAtOnce && peak > 0, "3 quota",
		"%d of %d jobs done, at most %d at once with a quota for %d%s", done, quotaJobs, peak, quotaAtOnce, problem)
}
