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
	// killDelay leaves the time for the preemption in the domain whose owner
	// is killed.
	killDelay     = 6 * time.Second
	leavingTarget = "pickbook-donnybrook-04"
	// leaveDelay lets the load send through the instance that is stopped, and is
	// no multiple of the interval at which the load asks for readiness.
	leaveDelay = 1300 * time.Millisecond
	// settleTime without a change of owners means that no hand-over is under way.
	settleTime   = time.Second
	outageBefore = leaseMS*time.Millisecond + 500*time.Millisecond
	outageAfter  = time.Second
	probes       = 4
	probeTimeout = time.Second
)

// memberPoints shows point 4: one instance leaves, one joins, one is killed;
// then the log is down.
func (d *demo) memberPoints(ctx context.Context) {
	start := time.Now()
	pause(ctx, leaveDelay)
	d.attempt("4 leaving target", func() error { return d.leaveTarget() })
	d.attempt("4 SIGTERM under load", func() error { return d.leavePoint(ctx) })
	d.attempt("4 join", func() error { return d.joinPoint(ctx) })
	pause(ctx, time.Until(start.Add(killDelay)))
	d.attempt("4 kill and takeover", func() error { return d.killPoint(ctx) })
	d.attempt("4 log outage", func() error { return d.outagePoint(ctx) })
}

// attempt turns an error of a point into a FAIL line, so that the other points
// still run.
func (d *demo) attempt(point string, f func() error) {
	if err := f(); err != nil {
		d.report.check(false, point, "%v", err)
	}
}

func (d *demo) leavePoint(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	leaver := d.live(domains[0])[0]
	d.saveEvents(leaver)
	held := d.partitionsOf(leaver, leaver.name)
	d.drop(leaver)
	start := time.Now()
	d.record(history.Operation{
		Client: "demo", Kind: history.KindLeaving, ID: leaver.name, Target: leaver.http,
		Start: start.UnixNano(), End: start.UnixNano(), Outcome: history.OutcomeOK,
	})
	leaver.process.signal(syscall.SIGTERM)
	if err := d.register(leaver, remote.StateLeaving); err != nil {
		return err
	}
	d.keepLastEvents(ctx, leaver)
	select {
	case <-leaver.process.ended:
	case <-ctx.Done():
		return errors.Errorf("%s had not ended %v after SIGTERM", leaver.name, leaveTimeout)
	}
	took := time.Since(start)
	if err := d.unregister(leaver); err != nil {
		return err
	}
	heir := d.live(domains[0])[0]
	err := d.poll(ctx, "new owners", func() bool { return d.partitionsOf(heir, leaver.name) == 0 && d.hasOwners(heir) })
	code := leaver.process.cmd.ProcessState.ExitCode()
	d.report.check(err == nil && code == 0, "4 SIGTERM under load", "%s ended after %.1f s with code %d; its %d partitions had owners after %.1f s",
		leaver.name, took.Seconds(), code, held, time.Since(start).Seconds())
	return nil
}

// leaveTarget makes a target leave while the platform's list lags. The target
// refuses new work; gooseberry-check counts what is still sent to it.
func (d *demo) leaveTarget() error {
	now := time.Now().UnixNano()
	d.record(history.Operation{Client: "demo", Kind: history.KindLeaving, ID: leavingTarget, Start: now, End: now, Outcome: history.OutcomeOK})
	return d.setFaults(leavingTarget, standin.FaultRequest{Leaving: true})
}

// keepLastEvents saves the time line of an instance until it stops answering.
func (d *demo) keepLastEvents(ctx context.Context, i *instance) {
	for ctx.Err() == nil {
		select {
		case <-i.process.ended:
			return
		case <-time.After(readInterval):
			d.saveEvents(i)
		}
	}
}

// partitionsOf counts the partitions that one instance sees in the hands of an
// owner; -1 if it doesn't answer.
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

func (d *demo) joinPoint(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	added, err := d.addInstances(map[string]int{domains[0]: 1})
	if err != nil {
		return err
	}
	joiner := added[0]
	if err := d.poll(ctx, joiner.name+" to be ready", func() bool { return d.client.Ready(ctx, joiner.entry()) }); err != nil {
		return err
	}
	ready := time.Since(joiner.launched)
	d.setInstances(append(d.live(""), joiner))
	err = d.poll(ctx, joiner.name+" to own partitions", func() bool { return d.partitionsOf(joiner, joiner.name) > 0 })
	if err != nil {
		return err
	}
	d.report.check(true, "4 join", "%s was ready after %.1f s and owned partitions after %.1f s", joiner.name, ready.Seconds(), time.Since(joiner.launched).Seconds())
	return nil
}

// killPoint kills the owner of a domain's job partition.
func (d *demo) killPoint(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, takeoverTimeout)
	defer cancel()
	victim, err := d.jobOwner(domains[1])
	if err != nil {
		return err
	}
	held := d.partitionsOf(victim, victim.name)
	d.saveEvents(victim)
	d.drop(victim)
	start := time.Now()
	victim.process.signal(syscall.SIGKILL)
	<-victim.process.ended
	if err := d.unregister(victim); err != nil {
		return err
	}
	heir := d.live(domains[1])[0]
	err = d.poll(ctx, "takeover", func() bool {
		return d.partitionsOf(heir, victim.name) == 0 && d.hasOwners(heir) && d.allMayAct(domains[1])
	})
	d.report.check(err == nil, "4 kill and takeover", "%s, owner of %d partitions with the job partition, was killed; others acted for all of them after %.1f s",
		victim.name, held, time.Since(start).Seconds())
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

// awaitSettled waits until all partitions have an acting owner and none changes
// hands. A partition whose release is on its way when the log goes down has no
// owner until the log is back, which is not what the outage is to show.
func (d *demo) awaitSettled(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, takeoverTimeout)
	defer cancel()
	before := ""
	return d.poll(ctx, "settled owners", func() bool {
		now := d.owners()
		settled := now != "" && now == before
		before = now
		if !settled {
			pause(ctx, settleTime)
		}
		return settled
	})
}

// owners describes all partitions and their acting owners, empty if one has
// none.
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

// outagePoint takes the log away for longer than the lease.
func (d *demo) outagePoint(ctx context.Context) error {
	if err := d.awaitSettled(ctx); err != nil {
		return err
	}
	if err := d.setFaults(standin.NameLog, standin.FaultRequest{Faults: standin.Faults{Down: true}}); err != nil {
		return err
	}
	start := time.Now()
	pause(ctx, outageBefore)
	answered, sent := d.probeAll(ctx)
	entry := d.anyEntry(domains[2])
	id := d.newID(domains[2])
	_, refusal := d.submit(ctx, entry, load.Job{Name: "booking-reconciliation", ID: id})
	pause(ctx, outageAfter)
	if err := d.setFaults(standin.NameLog, standin.FaultRequest{}); err != nil {
		return err
	}
	length := time.Since(start)
	d.report.check(answered == sent, "4 log outage: requests", "the log was down for %.1f s, longer than the lease of %.0f s; %d of %d requests through %d instances were answered",
		length.Seconds(), float64(leaseMS)/1000, answered, sent, len(d.live("")))
	d.report.check(refusal.Outcome == history.OutcomeNotRun && refusal.Failure.Retry, "4 log outage: jobs", "a batch job got %s, retry %v: %s", refusal.Outcome, refusal.Failure.Retry, refusal.Failure.Error)
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

// probeAll sends requests of both kinds through every live instance at once.
func (d *demo) probeAll(ctx context.Context) (answered, sent int) {
	var mu sync.Mutex
	var calls sync.WaitGroup
	for _, i := range d.live("") {
		for n := range probes {
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
