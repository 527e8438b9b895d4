package admission

import (
	"hash/fnv"
	"slices"
	"time"
)

const (
	// LateFactor is the multiple of a job's objective up to which its result still has
	// part of its value. It equals the factor by which the core orders its steps.
	LateFactor = 3
	// margin is the factor by which the optimistic wait must exceed the longest wait
	// that a job can afford. It covers the errors of the callers' estimates. In a replay
	// at 1.2 times capacity with jobs in the order of their due times, 7 % of the
	// refused jobs would have been served in time with 1.1, and 0.3 % with 1.5.
	margin = 1.5
	// aboveShareMargin replaces margin for jobs of a failure domain that is above its
	// share, and belowShareMargin for the others meanwhile, so that the burst of one
	// domain is refused and the others are not.
	aboveShareMargin = 1.1
	belowShareMargin = 3
	// maxKnowledgeAge is the age from which estimates are not used.
	maxKnowledgeAge = 2 * time.Second
	// minRetryAfter and maxRetryAfter bound the Retry-After of a refusal.
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
	// maxRememberedIDs limits the ids in each memory. Instances of the largest
	// deployment accept about 3 jobs per second, so the ids of half an hour fit.
	maxRememberedIDs = 8192
)

// Job is what decides about a new submission.
type Job struct {
	ID      string
	Queue   string
	Domain  string // failure domain in which it was received
	Fillers bool
	// CriticalPath is the expected duration without waits, zero if unknown.
	CriticalPath time.Duration
	Stretch      float64
	Allowance    time.Duration
	// Exempt is set for long-running and scheduled jobs, and for jobs that only some
	// workers may run, whose waits the estimates don't describe.
	Exempt bool
}

// limit returns the longest wait with which the job completes within LateFactor
// objectives.
func (j Job) limit() time.Duration {
	objective := time.Duration(float64(j.CriticalPath)*max(j.Stretch, 1)) + j.Allowance
	return LateFactor*objective - j.CriticalPath
}

// Reason is why a job is refused.
type Reason string

// Reasons for a refusal.
const (
	NotRefused Reason = ""
	Backlog    Reason = "backlog"     // the backlog of the queue is too long
	AboveShare Reason = "above_share" // the same, and the failure domain has caused more than its share of it
)

// Decision is the decision about a job and what it was based on.
type Decision struct {
	Reason     Reason
	RetryAfter time.Duration // of a refusal
	Limit      time.Duration // longest wait that the job can afford
	Estimate   Estimate
	Age        time.Duration // of the estimate
}

// Controller decides about the jobs that one instance receives. It is not safe for
// concurrent use.
type Controller struct {
	estimates  []Estimate
	computedAt time.Time
	known      *memory // ids that may be stored
	refused    *memory // numbers of refusals by id
}

// NewController returns a controller without knowledge, which accepts all jobs.
func NewController() *Controller {
	return &Controller{known: newMemory(maxRememberedIDs), refused: newMemory(maxRememberedIDs)}
}

// SetEstimates replaces the estimates by those that were computed at a time, unless
// they are older.
func (c *Controller) SetEstimates(list []Estimate, computedAt time.Time) {
	if !computedAt.Before(c.computedAt) {
		c.estimates, c.computedAt = list, computedAt
	}
}

// Decide decides about a new job.
func (c *Controller) Decide(j Job, now time.Time) Decision {
	age := now.Sub(c.computedAt)
	if age > maxKnowledgeAge || j.Exempt || j.CriticalPath <= 0 || c.known.has(j.ID) {
		return Decision{}
	}
	n := slices.IndexFunc(c.estimates, func(e Estimate) bool { return e.Queue == j.Queue && e.Fillers == j.Fillers })
	if n < 0 {
		return Decision{}
	}
	d := Decision{Estimate: c.estimates[n], Limit: j.limit(), Age: age}
	factor, reason := margin, Backlog
	switch {
	case slices.Contains(d.Estimate.AboveShare, j.Domain):
		factor, reason = aboveShareMargin, AboveShare
	case len(d.Estimate.AboveShare) > 0:
		factor = belowShareMargin
	}
	if float64(d.Estimate.Optimistic) <= factor*float64(d.Limit) {
		return d
	}
	d.Reason = reason
	d.RetryAfter = retryAfter(j.ID, d.Estimate.Wait, d.Limit, c.refused.value(j.ID))
	return d
}

// retryAfter returns when the caller of a refused job should return. Callers return
// over the time in which the backlog drains, in an order that their ids decide, from
// when the wait is affordable. A caller that was refused before returns earlier.
func retryAfter(id string, wait, limit time.Duration, refusals int) time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // never fails
	// The multiplication spreads the hashes of ids that differ in their last digit.
	position := float64(h.Sum32()*2654435761) / (1 << 32)
	full := float64(max(wait-limit, 0)) + position*float64(wait)
	return min(max(time.Duration(full/float64(1+refusals)), minRetryAfter), maxRetryAfter)
}

// Refuse records that a job is refused. It returns false, and the job must not be
// refused, if an attempt to store it has begun since the decision.
func (c *Controller) Refuse(id string) bool {
	if c.known.has(id) {
		return false
	}
	c.refused.add(id, 1)
	return true
}

// Begin records that the attempt to store a job begins, so that from now on it may be
// stored.
func (c *Controller) Begin(id string) { c.known.add(id, 1) }

// NotStored records that an attempt that began has certainly stored nothing. The id is
// remembered if another attempt may have stored it.
func (c *Controller) NotStored(id string) { c.known.add(id, -1) }

// memory counts events of the ids that were added last.
type memory struct {
	limit  int
	counts map[string]int
	order  []string // in the order in which they were added, also removed ones
}

func newMemory(limit int) *memory { return &memory{limit: limit, counts: make(map[string]int)} }

func (m *memory) has(id string) bool { return m.counts[id] > 0 }

func (m *memory) value(id string) int { return m.counts[id] }

func (m *memory) add(id string, n int) {
	_, found := m.counts[id]
	switch {
	case !found && n < 0:
		return // dropped since
	case !found:
		m.order = append(m.order, id)
		if len(m.order) > m.limit {
			delete(m.counts, m.order[0])
			m.order = m.order[1:]
		}
	}
	m.counts[id] += n
}
