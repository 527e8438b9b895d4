// Package admission decides which new jobs are refused because they cannot be
// completed in time. Estimator runs at the owner of the job state and estimates the
// wait of a new job of each queue. Controller runs at each instance that accepts jobs
// and decides with the newest estimates.
//
// A refused job is lost unless its caller returns in time, whereas an accepted one that
// is late costs little. All rules therefore favour acceptance: a job is refused only if
// even the shortest wait that the measurements allow is too long by a margin.
//
// The package does no I/O and reads no clock.
package admission

import "time"

// QueueBacklog is what the owner's core knows about the jobs of a queue that are
// fillers, or about those that are not.
type QueueBacklog struct {
	Queue   string
	Fillers bool
	// AheadMilli is the CPU of the waiting tasks that are placed before those of a new
	// job, in thousandths of a core. It is an amount of CPU, not of work: a wait ends
	// when running tasks have freed that much, and long-running tasks ahead occupy CPU
	// without an end.
	AheadMilli int64
	// WaitingMilli is the CPU of the queue's own waiting tasks by source domain.
	WaitingMilli map[string]int64
	// PlacedMilli and PlacedTasks count the tasks placed in the same pool since the
	// owner took over, also those of other queues.
	PlacedMilli int64
	PlacedTasks int64
	// ShortestWait is the shortest wait of the jobs of the queue whose first step was
	// completely placed since the call before, negative if there were none.
	ShortestWait time.Duration
	// LongestWait is the age of the oldest waiting step of the queue.
	LongestWait time.Duration
}

// Estimate is the expected wait of a new job of a queue.
type Estimate struct {
	Queue   string
	Fillers bool
	Wait    time.Duration
	// Optimistic is the shortest wait that the measurements allow.
	Optimistic time.Duration
	// AboveShare are the failure domains from which more than a fair share of the
	// waiting work came.
	AboveShare []string
}
