package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"gooseberryreel/internal/history"
	"gooseberryreel/internal/load"
	"gooseberryreel/internal/remote"
	"gooseberryreel/internal/standin"
)

const (
	leaveTimeout    = 12 * time.Second
	joinTimeout     = 10 * time.Second
	takeoverTimeout = 12 * time.Second
	// killDelay leaves the time for the preemption scenario, which runs in the
	// domain of the instance that is killed.
	killDelay     = 6 * time.Second
	leavingTarget = "pickbook-donnybrook-04"
	// leaveDelay lets the load send requests through the instance before it
	// leaves, and is no multiple of the interval at which the load polls readiness.
	leaveDelay = 1300 * time.Millisecond
	// stableTime without a change of owners means that no hand-over is in
	// progress.
	stableTime         = time.Second
	outageBeforeProbes = leaseMS*time.Millisecond + 500*time.Millisecond
	outageAfterProbes  = time.Second
	probesPerInstance  = 4
	probeTimeout       = time.Second
)

// membershipScenarios runs part 4: one instance leaves, one joins and one is
// killed; then the log is down for longer than the lease.
func (d *demo) membershipScenarios(ctx context.Context) {
	start := time.Now()
	pause(ctx, leaveDelay)
	d.failOnError("4 leaving target", func() error { return d.startTargetLeave() })
	d.failOnError("4 SIGTERM under load", func() error { return d.leaveScenario(ctx) })
	d.failOnError("4 join", func() error { return d.joinScenario(ctx) })
	pause(ctx, time.Until(start.Add(killDelay)))
	d.failOnError("4 kill and takeover", func() error { return d.killScenario(ctx) })
	d.failOnError("4 log outage", func() error { return d.outageScenario(ctx) })
}

// failOnError runs f and reports an error as a failed check, so that the other
// scenarios still run.
func (d *demo) failOnError(name string, f func() error) {
	if err := f(); err != nil {
		d.report.check(false, name, "%v", err)
	}
}

func (d *demo) leaveScenario(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	leaving := d.live(domains[0])[0]
	d.saveEvents(leaving)
	owned := d.partitionsOf(leaving, leaving.name)
	d.removeInstance(leaving)
	start := time.Now()
	d.record(history.Operation{
		Client: "demo", Kind: history.KindLeaving, ID: leaving.name, Target: leaving.httpAddress,
		Start: start.UnixNano(), End: start.UnixNano(), Outcome: history.OutcomeOK,
	})
	leaving.process.signal(syscall.SIGTERM)
	if err := d.register(leaving, remote.StateLeaving); err != nil {
		return err
	}
	d.saveEventsUntilExit(ctx, leaving)
	select {
	case <-leaving.process.ended:
	case <-ctx.Done():
		return errors.Errorf("%s did not exit within %v after SIGTERM", leaving.name, leaveTimeout)
	}
	took := time.Since(start)
	if err := d.unregister(leaving); err != nil {
		return err
	}
	observer := d.live(domains[0])[0]
	err := d.poll(ctx, "new owners", func() bool { return d.partitionsOf(observer, leaving.name) == 0 && d.hasOwners(observer) })
	code := leaving.process.cmd.ProcessState.ExitCode()
	d.report.check(err == nil && code == 0, "4 SIGTERM under load", "%s exited after %.1f s with code %d; its %d partitions had new owners after %.1f s",
		leaving.name, took.Seconds(), code, owned, time.Since(start).Seconds())
	return nil
}

// startTargetLeave makes a target leave while the platform's list lags: the target
// refuses new work before the list shows it as leaving. gooseberry-check checks the
// requests that are still sent to it (G7).
func (d *demo) startTargetLeave() error {
	now := time.Now().UnixNano()
	d.record(history.Operation{Client: "demo", Kind: history.KindLeaving, ID: leavingTarget, Start: now, End: now, Outcome: history.OutcomeOK})
	return d.setFaults(leavingTarget, standin.FaultRequest{Leaving: true})
}

// saveEventsUntilExit saves the timeline of an instance repeatedly until its
// process ends.
func (d *demo) saveEventsUntilExit(ctx context.Context, i *instance) {
	for ctx.Err() == nil {
		select {
		case <-i.process.ended:
			return
		case <-time.After(readInterval):
			d.saveEvents(i)
		}
	}
}

// partitionsOf returns the number of partitions that an owner has according to
// the status of the observer, or -1 if the observer doesn't answer.
func (d *demo) partitionsOf(observer *instance, owner string) int {
	status, err := d.status(observer)
	if err != nil {
		return -1
	}
	n := 0
	for _, p := range status.Partitions {
		if p.Owner == owner {
			n++
		}
	}
	return n
}

func (d *demo) joinScenario(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	added, err := d.addInstances(map[string]int{domains[0]: 1})
	if err != nil {
		return err
	}
	joining := added[0]
	if err := d.poll(ctx, joining.name+" to be ready", func() bool { return d.client.Ready(ctx, joining.entry()) }); err != nil {
		return err
	}
	ready := time.Since(joining.launched)
	d.setInstances(append(d.live(""), joining))
	err = d.poll(ctx, joining.name+" to own partitions", func() bool { return d.partitionsOf(joining, joining.name) > 0 })
	if err != nil {
		return err
	}
	d.report.check(true, "4 join", "%s was ready after %.1f s and owned partitions after %.1f s", joining.name, ready.Seconds(), time.Since(joining.launched).Seconds())
	return nil
}

// killScenario kills the owner of a domain's job partition and waits until other
// instances have taken over its partitions.
func (d *demo) killScenario(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, takeoverTimeout)
	defer cancel()
	killed, err := d.jobOwner(domains[1])
	if err != nil {
		return err
	}
	owned := d.partitionsOf(killed, killed.name)
	d.saveEvents(killed)
	d.removeInstance(killed)
	start := time.Now()
	killed.process.signal(syscall.SIGKILL)
	<-killed.process.ended
	if err := d.unregister(killed); err != nil {
		return err
	}
	observer := d.live(domains[1])[0]
	err = d.poll(ctx, "takeover", func() bool {
		return d.partitionsOf(observer, killed.name) == 0 && d.hasOwners(observer) && d.allMayAct(domains[1])
	})
	d.report.check(err == nil, "4 kill and takeover", "%s, owner of %d partitions including the job partition, was killed; others could act for all of them after %.1f s",
		killed.name, owned, time.Since(start).Seconds())
	return nil
}

func (d *demo) jobOwner(domain string) (*instance, error) {
	for _, i := range d.live(domain) {
		status, err := d.status(i)
		if err != nil {
			return nil, err
		}
		if n := len(status.Partitions); n > 0 && status.Partitions[n-1].Own {
			return i, nil
		}
	}
	return nil, errors.Errorf("no instance owns the job partition of %s", domain)
}

// allMayAct reports whether each partition of a domain has an instance that may
// act for it.
func (d *demo) allMayAct(domain string) bool {
	acting := make(map[int]bool)
	partitions := 0
	for _, i := range d.live(domain) {
		status, err := d.status(i)
		if err != nil {
			return false
		}
		partitions = len(status.Partitions)
		for _, p := range status.Partitions {
			if p.Own && p.MayAct {
				acting[p.Partition] = true
			}
		}
	}
	return partitions > 0 && len(acting) == partitions
}

// awaitStableOwners waits until all partitions have an owner that may act and no
// partition changes its owner. A partition whose release is in progress when the
// log goes down has no owner until the log is back; the outage scenario is not
// meant to check that.
func (d *demo) awaitStableOwners(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, takeoverTimeout)
	defer cancel()
	previous := ""
	return d.poll(ctx, "stable owners", func() bool {
		current := d.owners()
		stable := current != "" && current == previous
		previous = current
		if !stable {
			pause(ctx, stableTime)
		}
		return stable
	})
}

// owners describes all partitions and their owners. It returns an empty string if
// a partition has no owner that may act.
func (d *demo) owners() string {
	var all strings.Builder
	for _, domain := range domains {
		if !d.allMayAct(domain) {
			return ""
		}
		status, err := d.status(d.live(domain)[0])
		if err != nil {
			return ""
		}
		for _, p := range status.Partitions {
			fmt.Fprintf(&all, "%s/%d=%s ", domain, p.Partition, p.Owner)
		}
	}
	return all.String()
}

// outageScenario makes the log unavailable for longer than the lease and checks
// requests, a job submission and the recovery.
func (d *demo) outageScenario(ctx context.Context) error {
	if err := d.awaitStableOwners(ctx); err != nil {
		return err
	}
	if err := d.setFaults(standin.NameLog, standin.FaultRequest{Faults: standin.Faults{Down: true}}); err != nil {
		return err
	}
	start := time.Now()
	pause(ctx, outageBeforeProbes)
	answered, sent := d.probeAll(ctx)
	entry := d.anyEntry(domains[2])
	id := d.newID(domains[2])
	_, submission := d.submit(ctx, entry, load.Job{Name: "booking-reconciliation", ID: id})
	pause(ctx, outageAfterProbes)
	if err := d.setFaults(standin.NameLog, standin.FaultRequest{}); err != nil {
		return err
	}
	duration := time.Since(start)
	d.report.check(answered == sent, "4 log outage: requests", "the log was down for %.1f s, longer than the lease of %.0f s; %d of %d requests through %d instances were answered",
		duration.Seconds(), float64(leaseMS)/1000, answered, sent, len(d.live("")))
	d.report.check(submission.Outcome == history.OutcomeNotRun && submission.Failure.Retry, "4 log outage: jobs", "a batch job got %s, retry %v: %s", submission.Outcome, submission.Failure.Retry, submission.Failure.Error)
	restored := time.Now()
	done, err := d.runJob(ctx, domains[2], load.Job{Name: "booking-reconciliation"}, 10*time.Second)
	d.report.check(err == nil && done.State == "done", "4 log outage: recovery", "a job submitted after the outage was %s %.1f s after its end (%v)", done.State, time.Since(restored).Seconds(), errText(err))
	return nil
}

func errText(err error) string {
	if err == nil {
		return "no error"
	}
	return err.Error()
}

// probeAll sends idempotent and non-idempotent requests through every live
// instance at once and counts the correct answers.
func (d *demo) probeAll(ctx context.Context) (answered, sent int) {
	var mu sync.Mutex
	var calls sync.WaitGroup
	for _, i := range d.live("") {
		for n := range probesPerInstance {
			sent++
			req := load.Request{ID: d.newID(i.domain), Service: "pickbook", Idempotent: n%2 == 0, Timeout: probeTimeout, Body: []byte(i.name)}
			calls.Go(func() {
				answer := d.client.Send(ctx, i.entry(), req)
				mu.Lock()
				defer mu.Unlock()
				if answer.Outcome == history.OutcomeOK && string(answer.Body) == string(req.ExpectedBody()) {
					answered++
				}
			})
		}
	}
	calls.Wait()
	return answered, sent
}
