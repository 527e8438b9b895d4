package jobs

import (
	"time"

	"gooseberryreel/internal/interference"
	"gooseberryreel/internal/placement"
)

const (
	planInterval    = 250 * time.Millisecond
	controlInterval = time.Second
	// maxPerPass bounds the queued jobs of one declared job that a planning pass
	// looks at, so that a long queue does not make passes slow.
	maxPerPass = 100
	// silentPolls is the number of poll intervals without an answer after which
	// a worker gets no new work.
	silentPolls = 3
	// renewsPerLease is the number of renewals within one task lease.
	renewsPerLease = 3
	// leaseMargin covers the difference of clock rates and the way of the last
	// renewal when a lease is said to have certainly lapsed.
	leaseMargin = 2 * time.Second
	// clockSkew is the permitted difference between the clocks of instances.
	clockSkew = 2 * time.Second
	// retryDelay is the first delay before a worker call is repeated; it doubles
	// up to maxRetryDelay.
	retryDelay    = 200 * time.Millisecond
	maxRetryDelay = 2 * time.Second
	// checkpointTries bounds the calls for one checkpoint before the attempt is
	// stopped with the last one known.
	checkpointTries = 3
	// attemptsPerWorkerFailure bounds the attempts of a job that fails again and
	// again on the same few workers, as a multiple of its permitted failures.
	attemptsPerWorkerFailure = 3
	// maxQuarantineDoublings bounds the growth of the quarantine.
	maxQuarantineDoublings = 6
	// peakHalfLife is the time in which a learned peak halves without a new
	// observation.
	peakHalfLife = 48 * time.Hour
)

// config holds the settings in the units of the core.
type config struct {
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
	tuning             PolicyOverrides
}

func resolve(o CoreOptions) config {
	s, p := o.Settings, o.Policy
	c := config{
		lease:              millis(s.GetTaskLeaseMs(), 10*time.Second),
		poll:               millis(s.GetWorkerPollIntervalMs(), time.Second),
		callTimeout:        millis(s.GetWorkerCallTimeoutMs(), time.Second),
		maxQueued:          count(s.GetMaxQueuedJobs(), 20_000),
		maxFinished:        count(s.GetMaxFinishedJobs(), 20_000),
		maxAttempts:        count(s.GetMaxAttempts(), 3),
		quarantineFailures: count(s.GetQuarantineFailures(), 3),
		quarantine:         millis(s.GetQuarantineMs(), 30*time.Second),
		lag:                millis(p.GetReportLagMs(), 5*time.Second),
		evictionsPerMinute: count(p.GetMaxEvictionsPerMinute(), 12),
		weights:            weights(p),
		tuning:             o.PolicyOverrides,
	}
	c.thresholds = interference.ThresholdsFor(c.weights.TailLatency, c.weights.Throughput, c.weights.Evictions)
	if o.PolicyOverrides.Thresholds != nil {
		c.thresholds = *o.PolicyOverrides.Thresholds
	}
	return c
}

func millis(ms int64, fallback time.Duration) time.Duration {
	if ms <= 0 {
		return fallback
	}
	return time.Duration(ms) * time.Millisecond
}

func count(n int32, fallback int) int {
	if n <= 0 {
		return fallback
	}
	return int(n)
}
