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
	batchJobs    = 36
	batchTimeout = 20 * time.Second
	// noisyJobs is enough to fill all workers of a domain, each of which has a
	// target of the service. The first job runs alone: the router sends few
	// requests to the one slowed target, so that its interference is hard to
	// measure. The others are submitted once it is known, and wait for the end
	// of the load.
	noisyJobs      = 4
	firstNoisyTime = 8 * time.Second
	noisyTimeout   = 30 * time.Second
	// noisyDelay leaves the time to measure the service's intrinsic latency.
	noisyDelay = 4 * time.Second
	// colocatedJobs fill workers of a domain that have one target each. One of
	// the targets answers late for a reason other than these jobs.
	colocatedJobs       = 3
	colocatedStart      = 2 * time.Second
	fillerJobs          = 4
	fillerStart         = 4 * time.Second
	urgentStartLimit    = 5600 * time.Millisecond
	quotaJobs           = 6
	quotaConcurrentJobs = 2
	maxSubmissions      = 40
	submitRetryInterval = 250 * time.Millisecond
	cancelTimeout       = 5 * time.Second
	stateDone           = "done"
	stateRunning        = "running"
)

// jobRun is one job that was run to its end.
type jobRun struct {
	id     string
	status load.JobStatus
	err    error
}

// jobScenarios runs part 3. The scenarios that fill workers run in different
// domains, so that they don't compete for workers.
func (d *demo) jobScenarios(ctx context.Context) {
	var scenarios sync.WaitGroup
	for _, scenario := range []func(context.Context){
		d.batchScenario, d.noisyScenario, d.colocatedScenario, d.unschedulableScenario, d.cancelScenario, d.preemptScenario, d.quotaScenario,
	} {
		scenarios.Go(func() { scenario(ctx) })
	}
	scenarios.Wait()
}

// submit submits a job once and records a failed submission in the history.
// submitUntilAccepted retries; submit is for scenarios that check the answer
// itself.
func (d *demo) submit(ctx context.Context, entry load.Entry, job load.Job) (load.JobStatus, load.Answer) {
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
	entry, status, err := d.submitUntilAccepted(ctx, domain, job)
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

func (d *demo) submitUntilAccepted(ctx context.Context, domain string, job load.Job) (load.Entry, load.JobStatus, error) {
	var answer load.Answer
	for range maxSubmissions {
		entry := d.anyEntry(domain)
		var status load.JobStatus
		status, answer = d.submit(ctx, entry, job)
		if answer.Outcome == history.OutcomeOK || !answer.Failure.Retry && answer.Status != 0 {
			return entry, status, submitError(answer)
		}
		pause(ctx, submitRetryInterval)
		if ctx.Err() != nil {
			return entry, status, errors.Wrap(submitError(answer), "submit job")
		}
	}
	return load.Entry{}, load.JobStatus{}, submitError(answer)
}

func submitError(answer load.Answer) error {
	if answer.Outcome == history.OutcomeOK {
		return nil
	}
	if answer.Err != nil {
		return errors.Wrap(answer.Err, "submit job")
	}
	return errors.Errorf("submit job: %s at %s, status %d: %s", answer.Outcome, answer.Failure.Step, answer.Status, answer.Failure.Error)
}

// runJobs runs several jobs at once, in one domain or, if domain is empty, in all
// domains in turn.
func (d *demo) runJobs(ctx context.Context, domain, name string, count int, wait time.Duration) []jobRun {
	runs := make([]jobRun, count)
	var jobs sync.WaitGroup
	for n := range runs {
		jobDomain := domain
		if jobDomain == "" {
			jobDomain = domains[n%len(domains)]
		}
		id := d.newID(jobDomain)
		jobs.Go(func() {
			status, err := d.runJob(ctx, jobDomain, load.Job{Name: name, ID: id}, wait)
			runs[n] = jobRun{id: id, status: status, err: err}
		})
	}
	jobs.Wait()
	return runs
}

// countDone counts the jobs that are done and describes the first failure, if
// any.
func countDone(runs []jobRun) (done int, failure string) {
	for _, r := range runs {
		switch {
		case r.err == nil && r.status.State == stateDone:
			done++
		case failure != "":
		case r.err != nil:
			failure = "; " + r.err.Error()
		default:
			failure = "; job " + r.id + " ended as " + r.status.State + ": " + r.status.Reason
		}
	}
	return done, failure
}

func (d *demo) batchScenario(ctx context.Context) {
	start := time.Now()
	done, failure := countDone(d.runJobs(ctx, "", "booking-reconciliation", batchJobs, batchTimeout))
	d.report.check(done == batchJobs, "3 batch jobs", "%d of %d done after %.1f s%s", done, batchJobs, time.Since(start).Seconds(), failure)
}

// noisyScenario runs jobs that slow down a colocated service.
func (d *demo) noisyScenario(ctx context.Context) {
	pause(ctx, noisyDelay)
	var first, others []jobRun
	var firstJob sync.WaitGroup
	firstJob.Go(func() { first = d.runJobs(ctx, domains[2], "noisy-report", 1, noisyTimeout) })
	pause(ctx, firstNoisyTime)
	others = d.runJobs(ctx, domains[2], "noisy-report", noisyJobs-1, noisyTimeout)
	firstJob.Wait()
	throttled := d.countEventKinds(domains[2], first[0].id)["job_throttled"]
	runs := append(first, others...)
	done, failure := countDone(runs)
	attempts, err := d.attemptsOfJobs(runs)
	stopped := 0
	for _, attempt := range attempts {
		if attempt.Outcome == history.OutcomeRan {
			stopped++
		}
	}
	resumed := len(attempts) - noisyJobs
	d.report.check(err == nil && done == noisyJobs && throttled > 0 && resumed == stopped, "3 job that slows down a service",
		"%d of %d done, the first throttled %d times; according to the workers' history %d attempts were stopped and %d resumed%s", done, noisyJobs, throttled, stopped, resumed, failure)
}

// colocatedScenario runs jobs colocated with targets, one of which answers late
// for another reason. The jobs must not be evicted for it.
func (d *demo) colocatedScenario(ctx context.Context) {
	pause(ctx, colocatedStart)
	start := time.Now()
	runs := d.runJobs(ctx, domains[0], "filler", colocatedJobs, batchTimeout)
	took := time.Since(start)
	done, failure := countDone(runs)
	throttled, evictions := 0, 0
	for _, r := range runs {
		throttled += d.countEventKinds(domains[0], r.id)["job_throttled"]
		evictions += int(r.status.Evictions)
	}
	d.report.check(done == colocatedJobs && evictions == 0, "3 jobs colocated with a slow target",
		"%d of %d done after %.1f s, throttled %d times, %d evicted%s", done, colocatedJobs, took.Seconds(), throttled, evictions, failure)
}

func (d *demo) unschedulableScenario(ctx context.Context) {
	id := d.newID(domains[0])
	status, answer := d.client.SubmitJob(ctx, d.anyEntry(domains[0]), load.Job{Name: "too-large", ID: id})
	reported := status.State == "unschedulable" || answer.Failure.Outcome == history.OutcomeNotRun && !answer.Failure.Retry
	d.report.check(reported, "3 unschedulable job", "status %d, state %q, outcome %s: %s%s", answer.Status, status.State, answer.Outcome, status.Reason, answer.Failure.Error)
}

func (d *demo) cancelScenario(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	start := time.Now()
	job := load.Job{Name: "season-report", ID: d.newID(domains[0])}
	entry, _, err := d.submitUntilAccepted(ctx, domains[0], job)
	var last load.JobStatus
	if err == nil {
		d.client.CancelJob(ctx, entry, job.ID)
		last, _ = d.client.WaitJob(ctx, func() load.Entry { return d.anyEntry(domains[0]) }, job.ID, func(load.JobStatus) bool { return false })
		d.client.RecordJob(entry, job.ID, start, load.JobOutcome(last, last.Ended()))
	}
	d.report.check(err == nil && last.State == "cancelled", "3 cancelled job", "%s %.1f s after its submission (%s)", last.State, time.Since(start).Seconds(), errText(err))
}

// preemptScenario fills a domain with batch work and submits an urgent job.
func (d *demo) preemptScenario(ctx context.Context) {
	var fill sync.WaitGroup
	var runs []jobRun
	fill.Go(func() { runs = d.runJobs(ctx, domains[1], "filler", fillerJobs, batchTimeout+batchTimeout/2) })
	pause(ctx, fillerStart)
	start := time.Now()
	job := load.Job{Name: "urgent-confirmation-run", ID: d.newID(domains[1]), Urgent: true}
	entry, _, err := d.submitUntilAccepted(ctx, domains[1], job)
	var status load.JobStatus
	started := time.Duration(0)
	if err == nil {
		waitCtx, cancel := context.WithTimeout(ctx, 2*urgentStartLimit)
		next := func() load.Entry { return d.anyEntry(domains[1]) }
		d.client.WaitJob(waitCtx, next, job.ID, func(s load.JobStatus) bool { return s.State == stateRunning })
		started = time.Since(start)
		status, _ = d.client.WaitJob(waitCtx, next, job.ID, func(load.JobStatus) bool { return false })
		cancel()
		d.client.RecordJob(entry, job.ID, start, load.JobOutcome(status, status.Ended()))
	}
	d.report.check(err == nil && status.State == stateDone && started <= urgentStartLimit, "3 urgent job preempts",
		"seen running %.1f s after its submission to a full domain (limit %.1f s), then %s (%s)", started.Seconds(), urgentStartLimit.Seconds(), status.State, errText(err))
	fill.Wait()
	done, failure := countDone(runs)
	evictions := 0
	for _, r := range runs {
		evictions += r.status.Evictions
	}
	d.report.check(done == fillerJobs && evictions > 0, "3 preempted jobs resume", "%d of %d batch jobs done, %d evicted and resumed%s", done, fillerJobs, evictions, failure)
}

// quotaScenario submits more jobs than a team's quota admits at once; the workers'
// history shows how many ran at once.
func (d *demo) quotaScenario(ctx context.Context) {
	runs := d.runJobs(ctx, domains[0], "quota-bound", quotaJobs, batchTimeout)
	done, failure := countDone(runs)
	peak, err := d.peakAttempts(runs)
	d.report.check(err == nil && done == quotaJobs && peak <= quotaConcurrentJobs && peak > 0, "3 quota",
		"%d of %d jobs done, at most %d at once with a quota for %d%s", done, quotaJobs, peak, quotaConcurrentJobs, failure)
}
