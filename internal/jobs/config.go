package jobs

import (
	"time"

	"gooseberryreel/internal/interference"
	"gooseberryreel/internal/placement"
)

const (
	planInterval    = 250 * time.Millisecond
	controlInterval = time.Second
	// maxQueuedPerPass bounds the queued jobs per job declaration that a planning
	// pass considers, so that a long queue does not make passes slow.
	maxQueuedPerPass = 100
	// silentPolls is the number of poll intervals without a status after which a
	// worker counts as silent and gets no new work.
	silentPolls = 3
	// renewsPerLease is the number of renewals per task lease.
	renewsPerLease = 3
	// leaseMargin is added to a lease before it counts as certainly expired. It
	// covers different clock rates and the network delay of the last renewal.
	leaseMargin = 2 * time.Second
	// maxClockSkew is the largest permitted difference between instance clocks.
	maxClockSkew = 2 * time.Second
	// retryDelay is the delay before the first retry of a worker call; it doubles
	// with each retry up to maxRetryDelay.
	retryDelay    = 200 * time.Millisecond
	maxRetryDelay = 2 * time.Second
	// maxCheckpointCalls bounds the checkpoint calls of an eviction. After that,
	// the attempt is stopped and the job keeps its last known checkpoint.
	maxCheckpointCalls = 3
	// attemptsPerWorkerFailure times a job's failure limit bounds its attempts.
	// Without it, a job that keeps failing on the same few workers would be
	// retried forever, since failures count once per worker.
	attemptsPerWorkerFailure = 3
	// maxQuarantineDoublings bounds the growth of repeated quarantines.
	maxQuarantineDoublings = 6
	// peakHalfLife is the time after which a learned peak has halved if no new
	// usage is observed.
	peakHalfLife = 48 * time.Hour
)

// coreConfig holds the settings with defaults applied, in the units of the core.
type coreConfig struct {
	lease              time.Duration
	poll               time.Duration
	callTimeout        time.Duration
	maxQueued          int
	maxFinished        int
	maxAttempts        int
	quarantineFailures int
	quarantine         time.Duration
	lag                time.Duration
	evictionsPerMinute int
	weights            placement.Weights
	thresholds         interference.Thresholds
	overrides          PolicyOverrides
}

// newCoreConfig converts the settings and replaces unset ones by defaults.
func newCoreConfig(o CoreOptions) coreConfig {
	s, p := o.Settings, o.Policy
	c := coreConfig{
		lease:              millisOr(s.GetTaskLeaseMs(), 10*time.Second),
		poll:               millisOr(s.GetWorkerPollIntervalMs(), time.Second),
		callTimeout:        millisOr(s.GetWorkerCallTimeoutMs(), time.Second),
		maxQueued:          countOr(s.GetMaxQueuedJobs(), 20_000),
		maxFinished:        countOr(s.GetMaxFinishedJobs(), 20_000),
		maxAttempts:        countOr(s.GetMaxAttempts(), 3),
		quarantineFailures: countOr(s.GetQuarantineFailures(), 3),
		quarantine:         millisOr(s.GetQuarantineMs(), 30*time.Second),
		lag:                millisOr(p.GetReportLagMs(), 5*time.Second),
		evictionsPerMinute: countOr(p.GetMaxEvictionsPerMinute(), 12),
		weights:            weights(p),
		overrides:          o.PolicyOverrides,
	}
	c.thresholds = interference.ThresholdsFor(c.weights.TailLatency, c.weights.Throughput, c.weights.Evictions)
	if o.PolicyOverrides.Thresholds != nil {
		c.thresholds = *o.PolicyOverrides.Thresholds
	}
	return c
}

// millisOr converts milliseconds to a duration, or returns fallback if ms is not
// positive.
func millisOr(ms int64, fallback time.Duration) time.Duration {
	if ms <= 0 {
		return fallback
	}
	return time.Duration(ms) * time.Millisecond
}

// countOr returns n, or fallback if n is not positive.
func countOr(n int32, fallback int) int {
	if n <= 0 {
		return fallback
	}
	return int(n)
}
