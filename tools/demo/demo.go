package main

import (
	"context"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/pkg/errors"

	"gooseberryreel/internal/history"
	"gooseberryreel/internal/load"
	"gooseberryreel/internal/standin"
)

const (
	startTimeout = 15 * time.Second
	// readInterval is how often the configuration version of each instance is
	// recorded, and how often a leaving instance's timeline is saved.
	// pollInstances saves the timelines in every fourth interval.
	readInterval = 250 * time.Millisecond
	// skewWait is longer than the default clock_skew_ms of 2 s: a new owner answers
	// "unknown" for ids that are not at least that much younger than its epoch.
	skewWait = 2200 * time.Millisecond
)

// demo is one run of the demonstration.
type demo struct {
	opts          *options
	dir           string
	procs         *processes
	report        *report
	httpClient    *http.Client
	client        *load.Client
	historyWriter *history.Writer
	historyFile   *os.File
	platform      standin.Addresses

	lastNumber map[string]int // number of the newest instance of each domain

	mu        sync.Mutex
	rng       *rand.Rand
	instances []*instance
}

func newDemo(opts *options, dir string, procs *processes) (*demo, error) {
	historyFile, err := os.Create(filepath.Join(dir, "driver.jsonl"))
	if err != nil {
		return nil, errors.Wrap(err, "create history")
	}
	historyWriter := history.NewWriter(historyFile)
	return &demo{
		opts: opts, dir: dir, procs: procs, historyWriter: historyWriter, historyFile: historyFile,
		report:     &report{out: os.Stdout, start: time.Now()},
		httpClient: &http.Client{},
		client:     load.NewClient("demo", historyWriter),
		lastNumber: make(map[string]int),
		rng:        rand.New(rand.NewPCG(opts.Seed, 9)),
	}, nil
}

// run starts the site, runs the scenarios and then the checks over their
// timelines and histories.
func (d *demo) run(ctx context.Context) error {
	if err := d.startSite(ctx); err != nil {
		return err
	}
	pollCtx, stopPolling := context.WithCancel(ctx)
	var polling sync.WaitGroup
	polling.Go(func() { d.pollInstances(pollCtx) })
	err := d.runScenarios(ctx)
	stopPolling()
	polling.Wait()
	if err == nil {
		err = ctx.Err()
	}
	if err != nil {
		return err
	}
	return d.conclude(ctx)
}

// runScenarios runs parts 1 to 4. Parts 2 to 4 run in parallel under one load.
func (d *demo) runScenarios(ctx context.Context) error {
	if err := d.publishScenario(ctx); err != nil {
		return err
	}
	pause(ctx, skewWait)
	traffic, err := d.startTraffic()
	if err != nil {
		return err
	}
	var parallel sync.WaitGroup
	for _, scenario := range []func(context.Context){d.jobScenarios, d.membershipScenarios, d.overloadScenario, d.delayedAnswersScenario} {
		parallel.Go(func() { scenario(ctx) })
	}
	parallel.Wait()
	return d.finishTraffic(ctx, traffic)
}

func (d *demo) startSite(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := d.startStandin(ctx); err != nil {
		return err
	}
	wanted := make(map[string]int)
	for _, domain := range domains {
		wanted[domain] = entriesPerDomain
	}
	added, err := d.addInstances(wanted)
	if err != nil {
		return err
	}
	d.setInstances(added)
	d.report.printf("started stand-in (log, list, %d workers, %d targets) and %d entry instances in %d domains",
		len(d.platform.Workers), len(d.platform.Targets), len(added), len(domains))
	return d.poll(ctx, "owners of all partitions", func() bool {
		for _, i := range added {
			if !d.hasOwners(i) {
				return false
			}
		}
		return true
	})
}

// hasOwners reports whether an instance reports an owner for each partition.
func (d *demo) hasOwners(i *instance) bool {
	status, err := d.status(i)
	if err != nil || len(status.Partitions) == 0 {
		return false
	}
	for _, p := range status.Partitions {
		if p.Owner == "" {
			return false
		}
	}
	return true
}

func (d *demo) setInstances(list []*instance) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.instances = list
}

// live returns the instances that take new work, of one domain or, if domain is
// empty, of all.
func (d *demo) live(domain string) []*instance {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []*instance
	for _, i := range d.instances {
		if domain == "" || i.domain == domain {
			list = append(list, i)
		}
	}
	return list
}

// removeInstance removes an instance from those that take new work.
func (d *demo) removeInstance(removed *instance) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var remaining []*instance
	for _, i := range d.instances {
		if i != removed {
			remaining = append(remaining, i)
		}
	}
	d.instances = remaining
}

// anyEntry picks a live instance of a domain, or of all domains.
func (d *demo) anyEntry(domain string) load.Entry {
	list := d.live(domain)
	d.mu.Lock()
	defer d.mu.Unlock()
	return list[d.rng.IntN(len(list))].entry()
}

func (d *demo) newID(domain string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return load.NewID(domain, d.rng)
}

// pollInstances records the configuration version of each instance and saves its
// timeline, so that the timelines of killed instances are kept.
func (d *demo) pollInstances(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		var reads sync.WaitGroup
		for _, i := range d.live("") {
			reads.Go(func() { d.recordVersion(i) })
			if n%4 == 0 {
				reads.Go(func() { d.saveEvents(i) })
			}
		}
		reads.Wait()
		pause(ctx, readInterval)
	}
}

// pause waits for a time or until the context ends.
func pause(ctx context.Context, length time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(length):
	}
}

func (d *demo) recordVersion(i *instance) {
	start := time.Now()
	status, err := d.status(i)
	if err != nil || status.ConfigVersion < 0 {
		return
	}
	d.record(history.Operation{
		Client: "demo@" + i.httpAddress, Kind: history.KindConfigRead, ID: i.name, Version: status.ConfigVersion,
		Start: start.UnixNano(), End: time.Now().UnixNano(), Outcome: history.OutcomeOK,
	})
}

// record writes an operation to the history. The final flush returns the error of
// a failed write.
func (d *demo) record(op history.Operation) { _ = d.historyWriter.Write(op) }

// saveEvents replaces the saved timeline of an instance by its current one.
func (d *demo) saveEvents(i *instance) {
	body, err := d.call(http.MethodGet, "http://"+i.httpAddress+"/events", nil)
	if err != nil {
		return
	}
	file := d.eventsFile(i.name)
	if os.WriteFile(file+".new", body, 0o644) == nil {
		_ = os.Rename(file+".new", file)
	}
}

func (d *demo) eventsFile(name string) string {
	return filepath.Join(d.dir, "events", name+".jsonl")
}
