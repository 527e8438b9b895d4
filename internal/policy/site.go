// Package policy models workers, services and batch tasks with a virtual clock,
// to compare scheduling policies in benchmarks. It drives the real core of the
// job partition. It is a test double, not a general cluster simulator.
package policy

import (
	"time"

	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/remote"
)

// Site is the layout and the load of a modelled deployment. All its workers belong
// to one job partition.
type Site struct {
	Name    string
	Service string
	Workers int
	// TargetWorkers is the number of workers that run targets. The targets are
	// assigned to them round-robin, so that some of these workers run two.
	TargetWorkers int
	Targets       int
	Capacity      remote.Resources
	// PerTarget is the reservation on a worker for each target.
	PerTarget remote.Resources
	Policy    *pb.PolicySettings
	// TailBound is set if the site's goals limit p99 and missed deadlines.
	TailBound bool
	// BaseLatency is the median latency of a target without load and without batch
	// tasks on its worker.
	BaseLatency time.Duration
	Deadline    time.Duration
	// TargetRate is the peak request rate of a target, in requests per second.
	TargetRate float64
	// BatchCores is the mean demand of batch jobs, in cores.
	BatchCores float64
	Jobs       []JobKind
}

// JobKind is a batch job with its declaration and its actual behaviour.
type JobKind struct {
	Name string
	Team string
	// Declared is the declared needs, Actual what a task uses.
	Declared remote.Resources
	Actual   remote.Resources
	// ExpectedRun is the declared run time, RunTime the mean of the actual ones.
	ExpectedRun    time.Duration
	RunTime        time.Duration
	Checkpointable bool
	Urgent         bool
	// Excess is the slowdown minus 1 that one task causes to a service at half
	// load.
	Excess float64
	// LoadShift is the relative change of Excess from half load to full load: 0 if
	// it does not depend on the load, 1 if it is proportional to the load, negative
	// if it falls with the load.
	LoadShift float64
	// Share is the fraction of the site's batch demand in core-seconds.
	Share float64
	// Bursty is set if most tasks arrive in bursts.
	Bursty bool
}

// reportLag is the reporting lag in the sites' policy settings, and the delay of
// the usage that the modelled workers report.
const reportLag = 15 * time.Second

// Authority returns the site of the Swan Coastal Orchard Access Authority, whose
// weights favour tail latency.
func Authority() Site {
	return Site{
		Name: "authority", Service: "pickbook", Workers: 50, TargetWorkers: 40, Targets: 50,
		Capacity:  remote.Resources{CPUMilli: 32_000, MemoryMiB: 125 << 10},
		PerTarget: remote.Resources{CPUMilli: 8_000, MemoryMiB: 24 << 10},
		Policy: &pb.PolicySettings{TailLatencyWeight: 8, ThroughputWeight: 1, EvictionWeight: 1,
			MaxEvictionsPerMinute: 20, ReportLagMs: reportLag.Milliseconds()},
		BaseLatency: 40 * time.Millisecond, Deadline: 250 * time.Millisecond, TargetRate: 60,
		TailBound: true, BatchCores: 600, Jobs: jobKinds("certificate-render", "report-run", "booking-reconciliation"),
	}
}

// Staubwissen returns the site of Staubwissen Software GmbH, whose weights favour
// throughput and few evictions.
func Staubwissen() Site {
	return Site{
		Name: "staubwissen", Service: "kursportal", Workers: 65, TargetWorkers: 52, Targets: 65,
		Capacity:  remote.Resources{CPUMilli: 16_000, MemoryMiB: 62 << 10},
		PerTarget: remote.Resources{CPUMilli: 4_000, MemoryMiB: 12 << 10},
		Policy: &pb.PolicySettings{TailLatencyWeight: 1, ThroughputWeight: 4, EvictionWeight: 4,
			MaxEvictionsPerMinute: 20, ReportLagMs: reportLag.Milliseconds()},
		BaseLatency: 30 * time.Millisecond, Deadline: 250 * time.Millisecond, TargetRate: 50,
		BatchCores: 420, Jobs: jobKinds("certificate-render", "course-report", "overnight-certificate"),
	}
}

// jobKinds returns variants of a site's batch jobs that cause little or much
// interference. Some declare far more than they use and some far less.
func jobKinds(render, report, reconcile string) []JobKind {
	res := func(cpu, mem int64) remote.Resources { return remote.Resources{CPUMilli: cpu, MemoryMiB: mem} }
	return []JobKind{
		{Name: render, Team: "documents", Declared: res(2000, 4096), Actual: res(1800, 3500), ExpectedRun: 3 * time.Minute, RunTime: 3 * time.Minute, Checkpointable: true, Excess: 0.004, LoadShift: 0.5, Share: 0.26},
		{Name: render + "-large", Team: "documents", Declared: res(4000, 8192), Actual: res(4000, 9000), ExpectedRun: 5 * time.Minute, RunTime: 8 * time.Minute, Checkpointable: true, Excess: 0.16, LoadShift: 1, Share: 0.10, Bursty: true},
		{Name: report, Team: "reports", Declared: res(4000, 12288), Actual: res(3500, 9000), ExpectedRun: 8 * time.Minute, RunTime: 8 * time.Minute, Excess: 0.03, LoadShift: 1, Share: 0.16},
		{Name: report + "-archive", Team: "reports", Declared: res(3000, 8192), Actual: res(2500, 7000), ExpectedRun: 10 * time.Minute, RunTime: 12 * time.Minute, Checkpointable: true, Excess: 0.10, LoadShift: -0.5, Share: 0.08},
		{Name: report + "-legacy", Team: "reports", Declared: res(8000, 16384), Actual: res(800, 1600), ExpectedRun: 10 * time.Minute, RunTime: 4 * time.Minute, Checkpointable: true, Excess: 0.006, Share: 0.02},
		{Name: reconcile, Team: "ledger", Declared: res(1000, 2048), Actual: res(1000, 1800), ExpectedRun: 2 * time.Minute, RunTime: 2 * time.Minute, Checkpointable: true, Excess: 0.003, LoadShift: 0.5, Share: 0.28},
		{Name: reconcile + "-import", Team: "ledger", Declared: res(300, 512), Actual: res(3000, 5000), ExpectedRun: time.Minute, RunTime: 5 * time.Minute, Checkpointable: true, Excess: 0.08, LoadShift: 0.5, Share: 0.08},
		{Name: "alert", Team: "ledger", Declared: res(2000, 4096), Actual: res(1500, 3000), ExpectedRun: time.Minute, RunTime: time.Minute, Checkpointable: true, Urgent: true, Excess: 0.01, Share: 0.02},
	}
}

// excess returns the true slowdown minus 1 that one task causes at a load and a
// time of day, both 0 to 1. It is 30 % higher in the second half of the day.
func (k *JobKind) excess(load, day float64) float64 {
	e := k.Excess * max(1+k.LoadShift*(2*load-1), 0.1)
	if day > 0.5 {
		e *= 1.3
	}
	return e
}
