package main

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"gooseberryreel/internal/history"
	"gooseberryreel/internal/load"
	"gooseberryreel/internal/standin"
)

const (
	trafficDuration = 20 * time.Second
	// trafficRate, in requests per second, gives each target enough requests to
	// estimate its latency.
	trafficRate      = 240
	overloadDuration = 4 * time.Second
	overloadStart    = 6 * time.Second
	// overloadRate, in requests per second, is five times the capacity of the
	// targets of "permits".
	overloadRate    = 150
	overloadTimeout = time.Second
	// answerDelayMS is longer than shortTimeout, so that callers time out and look
	// up the answer later.
	answerDelayMS  = 700
	delayedPercent = 100
	// initiallyDelayedTarget answers late from the start of the load until the
	// overload. The router doesn't know its latency at first, so that some
	// callers time out.
	initiallyDelayedTarget = "pickbook-donnybrook-01"
	// delayedTarget is on the worker that gets the first jobs of its domain. The
	// delay must not be attributed to these jobs.
	delayedTarget = "pickbook-perth-hills-02"
	delayDuration = 5 * time.Second
	// delayStart leaves the time to measure the service's latency and to start
	// the jobs of colocatedScenario. The delay ends before an instance is killed,
	// because the answers stored on that instance are lost.
	delayStart   = 4 * time.Second
	shortTimeout = 300 * time.Millisecond
)

// startLoad starts the load generator over all live instances.
func (d *demo) startLoad(name string, args ...string) (*process, error) {
	args = append(args,
		"--seed", strconv.FormatUint(d.opts.Seed, 10),
		"--history", filepath.Join(d.dir, name+".jsonl"),
		"--report", filepath.Join(d.dir, name+".json"))
	for _, i := range d.live("") {
		args = append(args, "--entry", i.domain+"="+i.httpAddress)
	}
	return d.procs.start(name, "gooseberry-load", args...)
}

// startTraffic starts the load of the whole run, with one target that answers
// late.
func (d *demo) startTraffic() (*process, error) {
	proc, err := d.startLoad("traffic",
		"--rate", strconv.Itoa(trafficRate), "--duration", trafficDuration.String(), "--service", "pickbook",
		"--non-idempotent", "0.5", "--duplicates", "0.2", "--late", "0.4", "--short-timeout", shortTimeout.String())
	if err != nil {
		return nil, err
	}
	d.report.printf("load: %d requests/s to pickbook through %d entry instances for %v", trafficRate, len(d.live("")), trafficDuration)
	return proc, d.setTargetFaults(initiallyDelayedTarget, standin.Faults{LateMS: answerDelayMS, Percent: delayedPercent})
}

func (d *demo) setTargetFaults(target string, faults standin.Faults) error {
	return d.setFaults(target, standin.FaultRequest{Faults: faults})
}

// finishTraffic waits for the end of the load and runs the checks of part 2 on
// its report.
func (d *demo) finishTraffic(ctx context.Context, proc *process) error {
	r, err := d.loadReport(ctx, "traffic", proc)
	if err != nil {
		return err
	}
	used := 0
	for _, calls := range r.EntryCounts {
		if calls > 0 {
			used++
		}
	}
	d.report.check(used == len(domains)*entriesPerDomain && r.Wrong == 0 && r.Outcomes[history.OutcomeOK] > 0,
		"2 requests", "%d calls through %d entry instances: %s, %d wrong answers", r.Requests, used, describeOutcomes(r.Outcomes), r.Wrong)
	d.report.printf("     latencies from the planned send time; for %v the answers of %s were delayed by %d ms", delayDuration, delayedTarget, answerDelayMS)
	for _, class := range slices.Sorted(maps.Keys(r.Latencies)) {
		p := r.Latencies[class]
		d.report.printf("     %-15s %5d answered, p50 %.1f ms, p99 %.1f ms, max %.1f ms", class, p.Count, milliseconds(p.P50US), milliseconds(p.P99US), milliseconds(p.MaxUS))
	}
	duplicates := r.Latencies["duplicate"].Count
	d.report.check(duplicates > 0, "2 duplicates", "%d duplicate requests, sent through other instances, got the answer of the single execution", duplicates)
	d.report.check(r.LookUps > 0 && r.Found == r.LookUps, "2 late answers", "%d callers timed out after %v, %d found the answer by id later", r.LookUps, shortTimeout, r.Found)
	return nil
}

func milliseconds(us int64) float64 { return float64(us) / 1000 }

func (d *demo) loadReport(ctx context.Context, name string, proc *process) (load.Report, error) {
	var r load.Report
	select {
	case <-proc.ended:
	case <-ctx.Done():
		return r, errors.Wrapf(ctx.Err(), "wait for %s", name)
	}
	data, err := os.ReadFile(filepath.Join(d.dir, name+".json"))
	if err == nil {
		err = json.Unmarshal(data, &r)
	}
	return r, errors.Wrapf(err, "report of %s: %s", name, d.procs.output(name))
}

// delayedAnswersScenario delays all answers of delayedTarget for delayDuration.
func (d *demo) delayedAnswersScenario(ctx context.Context) {
	pause(ctx, delayStart)
	for _, faults := range []standin.Faults{{LateMS: answerDelayMS, Percent: delayedPercent}, {}} {
		if err := d.setTargetFaults(delayedTarget, faults); err != nil {
			d.report.check(false, "2 late answers", "%v", err)
		}
		if faults.LateMS > 0 {
			pause(ctx, delayDuration)
		}
	}
}

// overloadScenario sends more requests than a service has capacity for. It also
// ends the delay of initiallyDelayedTarget.
func (d *demo) overloadScenario(ctx context.Context) {
	pause(ctx, overloadStart)
	if err := d.setTargetFaults(initiallyDelayedTarget, standin.Faults{}); err != nil {
		d.report.check(false, "2 late answers", "%v", err)
	}
	proc, err := d.startLoad("overload",
		"--rate", strconv.Itoa(overloadRate), "--duration", overloadDuration.String(), "--service", "permits",
		"--timeout", overloadTimeout.String(), "--non-idempotent", "0.5", "--duplicates", "0", "--late", "0")
	var r load.Report
	if err == nil {
		r, err = d.loadReport(ctx, "overload", proc)
	}
	if err != nil {
		d.report.check(false, "2 overload", "%v", err)
		return
	}
	all := r.Latencies["all"]
	refused := r.Outcomes[history.OutcomeNotRun]
	withinDeadline := all.MaxUS <= (overloadTimeout + time.Second).Microseconds()
	d.report.check(all.Count > 0 && refused > 0 && r.Wrong == 0 && withinDeadline, "2 overload and deadlines",
		"%d calls at five times the capacity: %s; answers at most %.0f ms after arrival, deadline %v",
		r.Requests, describeOutcomes(r.Outcomes), milliseconds(all.MaxUS), overloadTimeout)
}

func describeOutcomes(counts map[string]int64) string {
	return fmt.Sprintf("%d answered, %d refused as not_run, %d unknown",
		counts[history.OutcomeOK], counts[history.OutcomeNotRun], counts[history.OutcomeUnknown])
}
