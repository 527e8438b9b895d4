// Package placement maps the state of workers and queued jobs to a plan of
// starts and evictions. Its functions are pure: they do no I/O and read no
// clock.
package placement

import (
	"gooseberryreel/internal/remote"
)

// Task is an attempt that may be running on a worker, including starts and stops
// that the worker has not confirmed.
type Task struct {
	Ref    remote.TaskRef
	Name   string // of the declared batch job
	Team   string
	Urgent bool
	// Needs is the larger of the declared needs and the learned peak use.
	Needs remote.Resources
	// Stopping is set while the attempt is being evicted or cancelled.
	Stopping bool
	// Unevictable is set if the attempt must not be evicted.
	Unevictable bool
	// LostWork is the run time that an eviction would lose, in seconds.
	LostWork float64
}

// ServiceLoad is a latency-critical service on a worker with the load that is
// expected there over the run time of the tasks to be placed.
type ServiceLoad struct {
	Service string
	Load    float64 // fraction of the target's slots in use, 0 to 1
	// Idle is set if the service has no requests there that a task could slow
	// down.
	Idle bool
}

// Worker is a worker with everything that may be running on it.
type Worker struct {
	Name     string
	Rack     string
	Capacity remote.Resources
	// Reserved is the part of Capacity that is kept for the latency-critical
	// targets on the worker.
	Reserved remote.Resources
	Services []ServiceLoad
	Tasks    []Task
	// Leaving workers are being drained: they receive no work, and their batch
	// tasks are evicted.
	Leaving bool
	// Unavailable workers receive no work. A worker is unavailable while its status
	// is outdated or it is quarantined, and until the present owner has received
	// its first status.
	Unavailable bool
	// Probation limits the worker to one task at a time.
	Probation bool
}

// Pending is a queued job.
type Pending struct {
	ID     string
	Name   string
	Team   string
	Urgent bool
	Needs  remote.Resources
	// Avoid lists the workers on which an attempt of the job failed.
	Avoid []string
	// Trial lets the job start on a worker with a service that it is estimated to
	// slow down too much, if no other worker accepts it.
	Trial bool
}

// Weights are the relative weights of a site's objectives.
type Weights struct {
	TailLatency float64
	Throughput  float64
	Evictions   float64
}

// State is the input of a planning pass.
type State struct {
	Workers []Worker
	Queue   []Pending // oldest first
	// Quotas limits the resources in use per team. A team without an entry has
	// no limit.
	Quotas map[string]remote.Resources
	// Slowdown estimates the factor by which one task of a batch job increases
	// the latency of a service at a load of 0 to 1. Nil means a factor of 1.
	Slowdown func(service, job string, load float64) float64
	// MaxSlowdown is the largest estimated slowdown of a service at which a batch
	// task is placed on its worker. Zero means no limit.
	MaxSlowdown float64
	Weights     Weights
	// FirstFit chooses the first worker in the order of Workers that accepts a
	// job, without ranking them. It is a baseline of the policy benchmarks.
	FirstFit bool
	// MaxEvictions limits the evictions from overcommitted and leaving workers in
	// this plan. Preemptions are not limited.
	MaxEvictions int
}

// Start assigns a queued job to a worker.
type Start struct {
	Job    string
	Worker string
	// Trial is set if the job is estimated to slow down a service on the worker too
	// much.
	Trial bool
}

// Eviction removes an attempt from its worker.
type Eviction struct {
	Ref    remote.TaskRef
	Worker string
	Reason string
}

// Plan is the result of a planning pass.
type Plan struct {
	// HeldBack has the names of the batch jobs of which a queued job is not started
	// only because of the slowdown that it is estimated to cause.
	HeldBack  map[string]bool
	Starts    []Start
	Evictions []Eviction
	// Unschedulable gives the reason, by job ID, for each queued job that would fit
	// no listed worker even if that worker ran no tasks.
	Unschedulable map[string]string
}
