package emulator

import "time"

// Behaviour describes what an attempt of a task does.
type Behaviour struct {
	RunTime time.Duration
	// Fail makes the attempt end as failed after RunTime.
	Fail bool
	// LongRunning makes the attempt run until it is stopped, with the reported tail
	// latency TailLatencyMS.
	LongRunning   bool
	TailLatencyMS int
	// CrashAfter makes the attempt crash its worker after this time if it is not zero.
	CrashAfter time.Duration
	// CPUMilli and MemoryMiB are what the attempt uses of its worker's capacity.
	CPUMilli, MemoryMiB int64
}
