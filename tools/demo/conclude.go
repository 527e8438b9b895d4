package main

import (
	"bytes"
	"context"
	"math"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"gooseberryreel/internal/events"
	"gooseberryreel/internal/history"
)

const guaranteeCount = 9

// countEventKinds counts the events of one id over the instances of a domain by kind.
func (d *demo) countEventKinds(domain, id string) map[string]int {
	kinds := make(map[string]int)
	for _, i := range d.live(domain) {
		body, err := d.call(http.MethodGet, "http://"+i.httpAddress+"/events?id="+id, nil)
		if err != nil {
			continue
		}
		list, err := events.Read(i.name, bytes.NewReader(body))
		if err != nil {
			continue
		}
		for _, e := range list {
			kinds[e.Kind]++
		}
	}
	return kinds
}

// platformHistory returns the operations that targets and workers recorded, and
// the history file with them.
func (d *demo) platformHistory() ([]history.Operation, []byte, error) {
	body, err := d.call(http.MethodGet, d.platform.AdminURL+"/history", nil)
	if err != nil {
		return nil, nil, err
	}
	ops, err := history.Read("platform history", bytes.NewReader(body))
	return ops, body, err
}

// attemptsOfJobs returns the attempts of the given jobs that workers ran. The end
// of an attempt that still runs is math.MaxInt64.
func (d *demo) attemptsOfJobs(runs []jobRun) ([]history.Operation, error) {
	ids := make(map[string]bool)
	for _, r := range runs {
		ids[r.id] = true
	}
	ops, _, err := d.platformHistory()
	if err != nil {
		return nil, err
	}
	var attempts []history.Operation
	for _, op := range ops {
		if op.Kind == history.KindAttempt && ids[op.ID] {
			if op.End == 0 {
				op.End = math.MaxInt64
			}
			attempts = append(attempts, op)
		}
	}
	return attempts, nil
}

// peakAttempts returns the highest number of attempts of the given jobs that ran
// at once.
func (d *demo) peakAttempts(runs []jobRun) (int, error) {
	attempts, err := d.attemptsOfJobs(runs)
	if err != nil {
		return 0, err
	}
	peak := 0
	for _, attempt := range attempts {
		n := 0
		for _, other := range attempts {
			if other.Start <= attempt.Start && attempt.Start < other.End {
				n++
			}
		}
		peak = max(peak, n)
	}
	return peak, nil
}

// conclude runs the checks of part 5 and checks the guarantees over all
// histories.
func (d *demo) conclude(ctx context.Context) error {
	for _, i := range d.live("") {
		d.saveEvents(i)
	}
	if err := d.checkTimeline(ctx); err != nil {
		return err
	}
	if err := d.client.Close(); err != nil {
		return errors.Wrap(err, "history of the driver")
	}
	if err := d.historyWriter.Flush(); err != nil {
		return err
	}
	if err := d.historyFile.Close(); err != nil {
		return errors.Wrap(err, "history of the driver")
	}
	return d.checkGuarantees(ctx)
}

// timeline runs gooseberryctl timeline over the live instances and the saved
// timelines, which include those of ended instances.
func (d *demo) timeline(ctx context.Context, name string, filter ...string) ([]events.Event, error) {
	args := append([]string{"timeline", "--format", "json"}, filter...)
	for _, i := range d.live("") {
		args = append(args, "--entry", i.httpAddress)
	}
	saved, err := filepath.Glob(d.eventsFile("*"))
	if err != nil {
		return nil, errors.Wrap(err, "list saved timelines")
	}
	for _, file := range saved {
		args = append(args, "--file", file)
	}
	code, err := d.procs.run(ctx, name, "gooseberryctl", args...)
	if err != nil {
		return nil, err
	}
	output := d.procs.output(name)
	if code != 0 {
		return nil, errors.Errorf("%s: exit code %d: %.300s", name, code, output)
	}
	return events.Read(name, strings.NewReader(output))
}

func (d *demo) checkTimeline(ctx context.Context) error {
	all, err := d.timeline(ctx, "timeline-all")
	if err != nil {
		d.report.check(false, "5 timeline", "%v", err)
		return nil
	}
	sorted := slices.IsSortedFunc(all, func(a, b events.Event) int {
		if a.HLC < b.HLC {
			return -1
		}
		return 0
	})
	instances := make(map[string]bool)
	var job events.Event
	for _, e := range all {
		instances[e.Instance] = true
		if strings.HasPrefix(e.Kind, "job_") && e.ID != "" && e.Worker != "" && e.Team != "" {
			job = e
		}
	}
	d.report.check(sorted && len(instances) > len(domains)*entriesPerDomain, "5 timeline", "%d events of %d instances, including the killed and the stopped one, in causal order", len(all), len(instances))
	for _, f := range []struct{ flag, value string }{
		{"id", job.ID}, {"instance", job.Instance}, {"worker", job.Worker}, {"team", job.Team},
	} {
		d.failOnError("5 filter by "+f.flag, func() error { return d.checkFilter(ctx, f.flag, f.value, all) })
	}
	d.printJob(all, job.ID)
	return nil
}

func (d *demo) checkFilter(ctx context.Context, flag, value string, all []events.Event) error {
	filter := map[string]events.Filter{"id": {ID: value}, "instance": {Instance: value}, "worker": {Worker: value}, "team": {Team: value}}[flag]
	want := 0
	newest := all[len(all)-1].HLC
	for _, e := range all {
		if filter.Match(e) {
			want++
		}
	}
	got, err := d.timeline(ctx, "timeline-"+flag, "--"+flag, value)
	if err != nil {
		return err
	}
	have := 0
	for _, e := range got {
		if !filter.Match(e) {
			return errors.Errorf("event %+v does not match the filter %s", e, value)
		}
		if e.HLC <= newest {
			have++
		}
	}
	d.report.check(value != "" && have == want && have > 0, "5 filter by "+flag, "%s: %d of %d events", value, have, len(all))
	return nil
}

// printJob prints the timeline of one job as text.
func (d *demo) printJob(all []events.Event, id string) {
	for _, e := range events.Merge(events.Filter{ID: id}, all) {
		d.report.printf("     %s", e.Text())
	}
}

// checkGuarantees runs gooseberry-check over all histories.
func (d *demo) checkGuarantees(ctx context.Context) error {
	_, body, err := d.platformHistory()
	if err != nil {
		return err
	}
	list, err := d.call(http.MethodGet, d.platform.ListURL+"/v1/instances", nil)
	if err != nil {
		return err
	}
	platformFile, listFile := filepath.Join(d.dir, "platform.jsonl"), filepath.Join(d.dir, "instances.json")
	if err := firstError(os.WriteFile(platformFile, body, 0o644), os.WriteFile(listFile, list, 0o644)); err != nil {
		return errors.Wrap(err, "save platform history")
	}
	args := []string{
		platformFile, filepath.Join(d.dir, "driver.jsonl"), filepath.Join(d.dir, "traffic.jsonl"), filepath.Join(d.dir, "overload.jsonl"),
		"--instances", listFile, "--require", "G1,G2,G3,G4,G5,G6,G7,G8,G9",
	}
	saved, err := filepath.Glob(d.eventsFile("*"))
	if err != nil {
		return errors.Wrap(err, "list saved timelines")
	}
	for _, file := range saved {
		args = append(args, "--events", file)
	}
	declared, err := filepath.Glob(filepath.Join(d.opts.Examples, "declarations", "services", "*.json"))
	if err != nil {
		return errors.Wrap(err, "declarations")
	}
	for _, file := range declared {
		args = append(args, "--declarations", file)
	}
	code, err := d.procs.run(ctx, "check", "gooseberry-check", args...)
	if err != nil {
		return err
	}
	held := 0
	for line := range strings.Lines(d.procs.output("check")) {
		line = strings.TrimRight(line, "\n")
		d.report.printf("     %s", line)
		if strings.Contains(line, " HELD ") {
			held++
		}
	}
	d.report.check(code == 0 && held == guaranteeCount, "guarantees", "gooseberry-check exited with code %d, %d of %d guarantees held over this run", code, held, guaranteeCount)
	return nil
}
