package main

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"gooseberryreel/internal/history"
	"gooseberryreel/internal/standin"
)

// Exit codes of gooseberryctl publish, and the settings of this part.
const (
	codeAccepted = 0
	codeConflict = 3
	codeInvalid  = 4
	raceRounds   = 3
	// raceLogDelayMS delays each call of the log, so that both operators read the
	// same version before either appends.
	raceLogDelayMS = 150
	inForceTimeout = 9 * time.Second
)

// publishResult is the result of one publish command.
type publishResult struct {
	code     int
	versions map[string]int64
}

// publishScenario runs part 1: a publish, an invalid file, and racing operators.
func (d *demo) publishScenario(ctx context.Context) error {
	files, err := filepath.Glob(filepath.Join(d.opts.Examples, "declarations", "*", "*.json"))
	if err != nil || len(files) == 0 {
		return errors.Errorf("no declarations in %s", d.opts.Examples)
	}
	start := time.Now()
	first, err := d.publish(ctx, "publish", files...)
	if err != nil {
		return err
	}
	newest := newestVersion(first.versions)
	waitCtx, cancel := context.WithTimeout(ctx, inForceTimeout)
	waitErr := d.waitForVersion(waitCtx, newest)
	cancel()
	d.report.check(first.code == codeAccepted && waitErr == nil, "1 publish",
		"%d declarations accepted, exit code %d, version %d in force at %d instances after %.1f s",
		len(first.versions), first.code, newest, len(d.live("")), time.Since(start).Seconds())
	if first.code != codeAccepted {
		return errors.Errorf("publish: exit code %d: %s", first.code, d.procs.output("publish"))
	}
	if err := d.invalidDeclarationScenario(ctx); err != nil {
		return err
	}
	return d.raceScenario(ctx)
}

// publish runs gooseberryctl publish and records each accepted declaration in the
// history.
func (d *demo) publish(ctx context.Context, name string, files ...string) (publishResult, error) {
	start := time.Now()
	args := append([]string{"publish", "--log-url", d.platform.LogURL}, files...)
	code, err := d.procs.run(ctx, name, "gooseberryctl", args...)
	result := publishResult{code: code, versions: make(map[string]int64)}
	if err != nil {
		return result, err
	}
	scanner := bufio.NewScanner(strings.NewReader(d.procs.output(name)))
	for scanner.Scan() {
		fields := strings.Fields(scanner.Text())
		if len(fields) != 4 || fields[0] != "accepted" {
			continue
		}
		version, err := strconv.ParseInt(fields[3], 10, 64)
		if err != nil {
			return result, errors.Wrapf(err, "output of %s", name)
		}
		result.versions[fields[1]] = version
		d.record(history.Operation{
			Client: name, Kind: history.KindPublish, ID: name + "." + fields[1], Version: version,
			Start: start.UnixNano(), End: time.Now().UnixNano(), Outcome: history.OutcomeOK,
		})
	}
	return result, nil
}

func newestVersion(versions map[string]int64) int64 {
	newest := int64(-1)
	for _, v := range versions {
		newest = max(newest, v)
	}
	return newest
}

// waitForVersion waits until every live instance has a version or a newer one.
func (d *demo) waitForVersion(ctx context.Context, version int64) error {
	return d.poll(ctx, "the configuration", func() bool {
		for _, i := range d.live("") {
			status, err := d.status(i)
			if err != nil || status.ConfigVersion < version {
				return false
			}
		}
		return true
	})
}

func (d *demo) invalidDeclarationScenario(ctx context.Context) error {
	file := filepath.Join(d.dir, "invalid.json")
	text := `{"name":"broken","batch_job":{"team":"reports","needs":{"cpu_milli":-5},"colour":"red"}}`
	if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
		return errors.Wrap(err, "write declaration")
	}
	result, err := d.publish(ctx, "publish-invalid", file)
	if err != nil {
		return err
	}
	firstLine, _, _ := strings.Cut(d.procs.output("publish-invalid"), "\n")
	d.report.check(result.code == codeInvalid && len(result.versions) == 0, "1 invalid declaration",
		"exit code %d: %s", result.code, strings.ReplaceAll(firstLine, d.dir+"/", ""))
	return nil
}

// raceScenario lets two operators publish different contents of one name at once.
// Rounds in which one publish ends before the other reads have no conflict, so
// only one conflict over all rounds is required.
func (d *demo) raceScenario(ctx context.Context) error {
	slow := standin.FaultRequest{Faults: standin.Faults{SlowMS: raceLogDelayMS}}
	if err := d.setFaults(standin.NameLog, slow); err != nil {
		return err
	}
	defer func() {
		d.failOnError("1 racing operators", func() error { return d.setFaults(standin.NameLog, standin.FaultRequest{}) })
	}()
	conflicts, accepted := 0, 0
	newest := int64(-1)
	start := time.Now()
	for round := range raceRounds {
		results, err := d.race(ctx, round)
		if err != nil {
			return err
		}
		for _, r := range results {
			switch r.code {
			case codeAccepted:
				accepted++
				newest = max(newest, newestVersion(r.versions))
			case codeConflict:
				conflicts++
			}
		}
	}
	waitCtx, cancel := context.WithTimeout(ctx, inForceTimeout)
	defer cancel()
	waitErr := d.waitForVersion(waitCtx, newest)
	ok := conflicts > 0 && accepted >= raceRounds && accepted+conflicts == 2*raceRounds && waitErr == nil
	d.report.check(ok, "1 racing operators", "%d races: %d accepted, %d refused with a conflict; version %d in force everywhere %.1f s after the first race began",
		raceRounds, accepted, conflicts, newest, time.Since(start).Seconds())
	return nil
}

func (d *demo) race(ctx context.Context, round int) ([2]publishResult, error) {
	var results [2]publishResult
	var failures [2]error
	var operators sync.WaitGroup
	for n := range results {
		name := fmt.Sprintf("race-%d-%d", round, n+1)
		file := filepath.Join(d.dir, name+".json")
		text := fmt.Sprintf(`{"name":"raced-report","batch_job":{"team":"reports","needs":{"cpu_milli":1000,"memory_mib":1024},"expected_run_ms":%d,"checkpointable":true,"max_attempts":3,"workload":"report"}}`, 1000+10*round+n)
		if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
			return results, errors.Wrap(err, "write declaration")
		}
		operators.Go(func() { results[n], failures[n] = d.publish(ctx, name, file) })
	}
	operators.Wait()
	return results, firstError(failures[0], failures[1])
}
