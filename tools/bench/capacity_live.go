package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"gooseberryreel/internal/config"
	"gooseberryreel/internal/events"
	"gooseberryreel/internal/loopback"
	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/standin"
)

const (
	// liveDomains, and liveWorkers and liveTargets in each domain, are the layout
	// of the Authority site.
	liveDomains = 3
	liveWorkers = 17
	liveTargets = 17
	// ownerInstances is the number of instances in the table by workers.
	ownerInstances   = 3
	livePeriod       = 10 * time.Second
	liveSettleTime   = 4 * time.Second
	liveTimeout      = 90 * time.Second
	livePublishes    = 5
	livePollInterval = 50 * time.Millisecond
)

// ownerWorkers are the numbers of workers in the table of the owner; the largest is
// that of a failure domain at the size planned in two years.
var ownerWorkers = []int{17, 68, 135}

// liveCost is the resource use of idle entry processes, as mean and maximum.
type liveCost struct {
	instances, workers                            int
	cpu, maxCPU, rss, maxRSS                      float64 // % of a core, MB
	received, sent, maxReceived, maxSent          float64 // bytes/s
	propagationMean, propagationMax, readySeconds float64 // seconds
	// fromPeers is the time in seconds from the start of a process, while the log
	// is down, until the configuration fetched from its peers is in force.
	fromPeers float64
}

// liveTable measures entry processes without load.
func liveTable(w io.Writer) error {
	dir, err := os.MkdirTemp("", "bench-entry-")
	if err != nil {
		return errors.Wrap(err, "create directory")
	}
	defer os.RemoveAll(dir)
	build := exec.Command("go", "build", "-o", filepath.Join(dir, "gooseberry-entry"), "./cmd/gooseberry-entry")
	if out, err := build.CombinedOutput(); err != nil {
		return errors.Wrapf(err, "build gooseberry-entry: %s", out)
	}
	if err := liveInstances(w, dir); err != nil {
		return err
	}
	return liveOwner(w, dir)
}

// liveLayout is the size of a deployment; workers and targets are per domain.
type liveLayout struct{ instances, domains, workers, targets int }

func liveInstances(w io.Writer, dir string) error {
	var costs []liveCost
	for _, n := range instanceSizes {
		c, err := measureLive(dir, liveLayout{n, liveDomains, liveWorkers, liveTargets})
		if err != nil {
			return errors.Wrapf(err, "%d instances", n)
		}
		costs = append(costs, c)
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "\nentry processes without load: %d domains, %d workers and %d targets each, %s; bytes are those of read and write system calls\n",
		liveDomains, liveWorkers, liveTargets, livePeriod)
	fmt.Fprintln(t, "instances\tCPU % mean\tmax\tresident MB mean\tmax\treceived bytes/s mean\tmax\tsent bytes/s mean\tmax\tin force s mean\tmax\tready s\tfrom peers s\t")
	for _, c := range costs {
		fmt.Fprintf(t, "%d\t%.2f\t%.2f\t%.1f\t%.1f\t%.0f\t%.0f\t%.0f\t%.0f\t%.3f\t%.3f\t%.1f\t%.2f\t\n", c.instances, c.cpu, c.maxCPU, c.rss, c.maxRSS,
			c.received, c.maxReceived, c.sent, c.maxSent, c.propagationMean, c.propagationMax, c.readySeconds, c.fromPeers)
	}
	writeFits(t, "instance", costs, func(c liveCost) float64 { return float64(c.instances) }, []column[liveCost]{
		{"CPU % mean", func(c liveCost) float64 { return c.cpu }},
		{"resident MB mean", func(c liveCost) float64 { return c.rss }},
		{"received bytes/s mean", func(c liveCost) float64 { return c.received }},
		{"sent bytes/s mean", func(c liveCost) float64 { return c.sent }},
		{"in force from peers s", func(c liveCost) float64 { return c.fromPeers }},
		{"in force s, max", func(c liveCost) float64 { return c.propagationMax }},
	})
	return t.Flush()
}

// liveOwner measures the owner of a job partition by number of workers, compared with
// the mean of the other instances. The owner's figure is assumed to be the maximum over
// the instances.
func liveOwner(w io.Writer, dir string) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "\nowner of a job partition with idle workers, and the mean of the %d other instances of its domain; %d targets\n", ownerInstances-1, liveTargets)
	fmt.Fprintln(t, "workers\towner CPU %\tothers\towner resident MB\tothers\towner received bytes/s\tothers\towner sent bytes/s\tothers\t")
	var costs []liveCost
	for _, workers := range ownerWorkers {
		c, err := measureLive(dir, liveLayout{ownerInstances, 1, workers, liveTargets})
		if err != nil {
			return errors.Wrapf(err, "%d workers", workers)
		}
		c.workers = workers
		costs = append(costs, c)
		fmt.Fprintf(t, "%d\t%.2f\t%.2f\t%.1f\t%.1f\t%.0f\t%.0f\t%.0f\t%.0f\t\n", workers, c.maxCPU, c.meanOfOthers(c.cpu, c.maxCPU), c.maxRSS, c.meanOfOthers(c.rss, c.maxRSS),
			c.maxReceived, c.meanOfOthers(c.received, c.maxReceived), c.maxSent, c.meanOfOthers(c.sent, c.maxSent))
	}
	writeFits(t, "worker", costs, func(c liveCost) float64 { return float64(c.workers) }, []column[liveCost]{
		{"owner CPU %", func(c liveCost) float64 { return c.maxCPU }},
		{"others CPU %", func(c liveCost) float64 { return c.meanOfOthers(c.cpu, c.maxCPU) }},
		{"owner resident MB", func(c liveCost) float64 { return c.maxRSS }},
		{"owner received beyond others bytes/s", func(c liveCost) float64 { return c.maxReceived - c.meanOfOthers(c.received, c.maxReceived) }},
		{"owner sent beyond others bytes/s", func(c liveCost) float64 { return c.maxSent - c.meanOfOthers(c.sent, c.maxSent) }},
		{"others received bytes/s", func(c liveCost) float64 { return c.meanOfOthers(c.received, c.maxReceived) }},
	})
	return t.Flush()
}

// meanOfOthers returns the mean over the instances other than the one with the
// largest value.
func (c liveCost) meanOfOthers(mean, largest float64) float64 {
	n := float64(c.instances)
	return (mean*n - largest) / (n - 1)
}

func measureLive(dir string, layout liveLayout) (liveCost, error) {
	s, err := startLive(dir, layout)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return liveCost{}, err
	}
	cost := liveCost{instances: layout.instances}
	begin := time.Now()
	if err := s.waitReady(); err != nil {
		return cost, err
	}
	cost.readySeconds = time.Since(begin).Seconds()
	time.Sleep(liveSettleTime)
	before, err := s.readUsages()
	if err != nil {
		return cost, err
	}
	begin = time.Now()
	time.Sleep(livePeriod)
	after, err := s.readUsages()
	if err != nil {
		return cost, err
	}
	cost.addUsage(before, after, time.Since(begin).Seconds())
	if err := s.measurePropagation(&cost); err != nil {
		return cost, err
	}
	cost.fromPeers, err = s.startFromPeers()
	return cost, err
}

// startFromPeers starts one more instance while the log is down, and returns the
// seconds until the configuration fetched from its peers is in force.
func (s *liveDeployment) startFromPeers() (float64, error) {
	version, err := s.publish("team-2", 0)
	if err != nil {
		return 0, err
	}
	for _, e := range s.entries {
		if _, err := e.waitForVersion(version); err != nil {
			return 0, err
		}
	}
	if err := s.platform.SetFaults(standin.NameLog, standin.Faults{Down: true}); err != nil {
		return 0, errors.Wrap(err, "stop log")
	}
	addresses, err := loopback.ReserveAddresses(2)
	if err != nil {
		return 0, err
	}
	e := &liveEntry{name: "entry-new", domain: s.entries[0].domain, http: addresses[0], peer: addresses[1]}
	begin := time.Now()
	if err := s.startEntry(e); err != nil {
		return 0, err
	}
	at, err := e.waitForVersion(version)
	return at.Sub(begin).Seconds(), err
}

func (c *liveCost) addUsage(before, after []usage, seconds float64) {
	n := float64(len(before))
	for i := range before {
		cpu := 100 * (after[i].cpuSeconds - before[i].cpuSeconds) / seconds
		received, sent := (after[i].received-before[i].received)/seconds, (after[i].sent-before[i].sent)/seconds
		c.cpu, c.maxCPU = c.cpu+cpu/n, max(c.maxCPU, cpu)
		c.rss, c.maxRSS = c.rss+after[i].residentMB/n, max(c.maxRSS, after[i].residentMB)
		c.received, c.maxReceived = c.received+received/n, max(c.maxReceived, received)
		c.sent, c.maxSent = c.sent+sent/n, max(c.maxSent, sent)
	}
}

func (s *liveDeployment) publish(name string, round int) (int64, error) {
	ctx, cancel := context.WithTimeout(context.Background(), liveTimeout)
	defer cancel()
	return config.Publish(ctx, s.log, &pb.Declaration{Name: name, Body: &pb.Declaration_Team{Team: &pb.Team{
		Quota: &pb.Resources{CpuMilli: 64_000, MemoryMib: 131_072}, MaxQueuedJobs: 500, MaxQueuedRequests: 500,
	}}}, fmt.Sprintf("%s-%d", name, round))
}

// measurePropagation measures the time from the start of a publish to the last
// instance's event that the version is in force. All processes share one clock.
func (s *liveDeployment) measurePropagation(c *liveCost) error {
	var delays []float64
	for round := range livePublishes {
		begin := time.Now()
		version, err := s.publish("team-1", round)
		if err != nil {
			return err
		}
		last := 0.0
		for _, e := range s.entries {
			at, err := e.waitForVersion(version)
			if err != nil {
				return err
			}
			last = max(last, at.Sub(begin).Seconds())
		}
		delays = append(delays, last)
		c.propagationMean += last / livePublishes
	}
	c.propagationMax = slices.Max(delays)
	return nil
}

func (e *liveEntry) waitForVersion(version int64) (time.Time, error) {
	wanted := fmt.Sprintf("version %d", version)
	for deadline := time.Now().Add(liveTimeout); time.Now().Before(deadline); time.Sleep(livePollInterval) {
		response, err := http.Get("http://" + e.http + "/events")
		if err != nil {
			continue // a process may not listen yet right after its start
		}
		at, found, err := findEvent(response.Body, "config_in_force", wanted)
		_ = response.Body.Close()
		if found || err != nil {
			return at, err
		}
	}
	return time.Time{}, errors.Errorf("%s: configuration version %d is not in force after %s", e.name, version, liveTimeout)
}

func findEvent(r io.Reader, kind, detail string) (at time.Time, found bool, err error) {
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		var event events.Event
		if err := json.Unmarshal(lines.Bytes(), &event); err != nil {
			return at, false, errors.Wrap(err, "event")
		}
		if event.Kind == kind && event.Detail == detail {
			at, err = time.Parse(time.RFC3339Nano, event.Time)
			return at, err == nil, errors.Wrap(err, "parse event time")
		}
	}
	return at, false, errors.Wrap(lines.Err(), "read events")
}
