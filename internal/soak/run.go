package soak

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Result counts what a run did and lists what it found.
type Result struct {
	Findings  []string // violated guarantees, and failures of the soak itself
	Faults    int
	Jobs      int
	Accepted  int
	Refused   int
	Cancelled int
	Starts    int
	// Evacuations counts those that lasted longer than their bound.
	Evacuations int
	// Restarts counts the runs of long-running tasks after their first.
	Restarts int
	// PendingAnswers counts the numbers of pending jobs that were checked.
	PendingAnswers int
}

// startTimeout only ends a run whose processes never become ready.
const startTimeout = 60 * time.Second

// settleTime is how long ready processes may take after the last fault before
// the final states of the jobs are checked.
const settleTime = time.Second

// Run starts the processes, injects the faults of one seed while callers submit
// jobs, and checks all jobs at the end. It returns an error if the processes could
// not be started or never became ready.
func Run(o Options) (Result, error) {
	if o.Print == nil {
		o.Print = func(string, ...any) {}
	}
	plan := Plan(o)
	if len(plan) == 0 {
		return Result{}, errors.New("the plan has no faults")
	}
	d, err := newDeployment(o)
	defer d.close()
	if err != nil {
		return Result{}, err
	}
	if !d.waitReady(startTimeout) {
		return Result{}, errors.New("the processes never became ready")
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var group sync.WaitGroup
	callers := make([]*caller, o.Callers)
	for n := range callers {
		callers[n] = newCaller(d, n)
		group.Go(func() { callers[n].run(ctx) })
	}
	group.Go(func() {
		for n := range o.LongLived {
			c := newCaller(d, o.Callers)
			c.submit(c.newJob(n, true))
		}
	})
	d.injectFaults(plan)
	stop()
	group.Wait()
	if !d.waitReady(startTimeout) {
		d.addFinding("the processes are not ready again %v after the last fault", startTimeout)
	}
	time.Sleep(settleTime)
	d.checkRestarts()
	d.waitForJobs(callers[0])
	return d.result(len(plan)), nil
}

// injectFaults injects the faults of a plan and returns when all have ended.
// Faults overlap; each ends after its own duration.
func (d *deployment) injectFaults(plan []Fault) {
	started := time.Now()
	d.reportMu.Lock()
	d.began = started
	d.reportMu.Unlock()
	var ends sync.WaitGroup
	for _, f := range plan {
		time.Sleep(time.Until(started.Add(f.At)))
		ended := d.disturb("%s", f)
		end := d.inject(f)
		if f.Kind.isLoss() { // only its begin and its end, which lose records, disturb
			ended()
			ended = func() {}
		}
		if f.For == 0 {
			continue
		}
		ends.Go(func() {
			time.Sleep(f.For)
			end()
			ended()
		})
	}
	time.Sleep(time.Until(started.Add(d.opts.Duration)))
	ends.Wait()
}

// waitForJobs cancels the long-running jobs and checks the state of each job until
// it has ended or drainTimeout has passed.
func (d *deployment) waitForJobs(c *caller) {
	end := time.Now().Add(drainTimeout)
	for id, j := range d.jobs {
		if j.longRunning && !j.acceptedAt().IsZero() && j.cancelledAt.IsZero() {
			c.cancel(j)
		}
		for !c.checkState(j) {
			if time.Now().After(end) {
				d.addFinding("job %s: has not ended %v after the last fault", id, drainTimeout)
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

func (d *deployment) result(faults int) Result {
	r := Result{Findings: append(d.findings, d.cluster.Violations()...), Faults: faults, Jobs: len(d.jobs)}
	r.Evacuations, r.PendingAnswers = d.longEvacuations(), int(d.pendingAnswers.Load())
	r.Restarts = d.restarts
	refused := make(map[string]bool)
	for id, j := range d.jobs {
		switch {
		case j.refused:
			r.Refused++
			refused[id] = true
		case !j.accepted.IsZero():
			r.Accepted++
		}
		if !j.cancelledAt.IsZero() {
			r.Cancelled++
		}
	}
	for _, start := range d.cluster.Starts() {
		r.Starts++
		r.Findings = append(r.Findings, d.checkEvacuation(start)...)
		if id, _, _ := strings.Cut(start.Task, "."); refused[id] {
			r.Findings = append(r.Findings, start.Task+" was started, but every attempt to submit its job was refused")
		}
	}
	for _, p := range d.processes {
		p.mu.Lock()
		for _, exit := range p.unexpectedExits {
			r.Findings = append(r.Findings, exit.Error())
		}
		p.mu.Unlock()
	}
	return r
}
