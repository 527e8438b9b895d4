package admission

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// rateWindow is the time over which placements are counted. Tasks last for about a
	// second, so that a shorter window would measure their phases.
	rateWindow = 3 * time.Second
	// minPlacedTasks is the number of placements in the window below which there is no
	// estimate. Without placements the cause of the wait is not load: workers are out
	// of reach, or the owner has just taken over.
	minPlacedTasks = 8
	// smoothing is the time constant of the averages.
	smoothing = time.Second
	// deviations is how many deviations the optimistic estimate is below the mean.
	deviations = 2
	// reportedWait is the wait from which a queue is reported. Shorter waits decide
	// nothing, since no job has a smaller limit with a margin.
	reportedWait = 300 * time.Millisecond
	// shareTolerance is the multiple of an equal share of the waiting work from which a
	// failure domain is above its share.
	shareTolerance = 1.5
)

// Estimator estimates the waits of new jobs from the backlogs that the core reports.
// It is not safe for concurrent use.
type Estimator struct{ queues map[queueKey]*queueEstimate }

type queueKey struct {
	queue   string
	fillers bool
}

// queueEstimate is the history of one queue.
type queueEstimate struct {
	samples   []sample // oldest first; the first may be older than rateWindow
	mean      float64  // smoothed wait in seconds
	deviation float64
	seen      bool // in the newest backlogs
}

type sample struct {
	at       time.Time
	milli    int64
	tasks    int64
	shortest time.Duration
}

// NewEstimator returns an estimator without measurements.
func NewEstimator() *Estimator { return &Estimator{queues: make(map[queueKey]*queueEstimate)} }

// Observe adds the newest backlogs and returns the estimates of the queues that have
// one, in a fixed order.
func (e *Estimator) Observe(backlogs []QueueBacklog, now time.Time) []Estimate {
	for _, q := range e.queues {
		q.seen = false
	}
	var list []Estimate
	for _, b := range backlogs {
		key := queueKey{b.Queue, b.Fillers}
		q := e.queues[key]
		if q == nil {
			q = &queueEstimate{}
			e.queues[key] = q
		}
		q.seen = true
		if estimate, ok := q.observe(b, now); ok && estimate.Wait >= reportedWait {
			list = append(list, estimate)
		}
	}
	for key, q := range e.queues {
		if !q.seen {
			delete(e.queues, key)
		}
	}
	slices.SortFunc(list, func(a, b Estimate) int {
		return cmp.Or(cmp.Compare(a.Queue, b.Queue), cmp.Compare(len(a.AboveShare), len(b.AboveShare)))
	})
	return list
}

// observe adds a backlog and returns the estimate, false if there is none.
func (q *queueEstimate) observe(b QueueBacklog, now time.Time) (Estimate, bool) {
	q.samples = append(q.samples, sample{now, b.PlacedMilli, b.PlacedTasks, b.ShortestWait})
	for len(q.samples) > 2 && now.Sub(q.samples[1].at) >= rateWindow {
		q.samples = q.samples[1:]
	}
	first := q.samples[0]
	span, tasks := now.Sub(first.at), b.PlacedTasks-first.tasks
	if span < rateWindow || tasks < minPlacedTasks || b.PlacedMilli <= first.milli {
		return Estimate{}, false
	}
	rate := float64(b.PlacedMilli-first.milli) / span.Seconds()
	wait := float64(b.AheadMilli) / rate
	gain := 1 - math.Exp(-now.Sub(q.samples[len(q.samples)-2].at).Seconds()/smoothing.Seconds())
	q.mean += gain * (wait - q.mean)
	q.deviation += gain * (math.Abs(wait-q.mean) - q.deviation)
	// A rate that is measured by n placements has a relative deviation of 1/sqrt(n).
	sampling := wait / math.Sqrt(float64(tasks))
	optimistic := min(q.mean, wait) - deviations*math.Hypot(q.deviation, sampling)
	if shortest := q.shortestWait(); shortest >= 0 {
		optimistic = min(optimistic, shortest.Seconds())
	} else if b.LongestWait < rateWindow {
		// No job of the queue has shown how long it waits.
		optimistic = 0
	}
	return Estimate{
		Queue: b.Queue, Fillers: b.Fillers, Wait: seconds(q.mean), Optimistic: seconds(max(optimistic, 0)), AboveShare: aboveShare(b.WaitingMilli),
	}, true
}

// shortestWait returns the shortest wait in the window, negative if no job of the queue
// was placed in it. The measured waits include the effects of the order of the steps,
// which the amount of CPU ahead does not: the core may place new jobs before older ones
// that are late.
func (q *queueEstimate) shortestWait() time.Duration {
	shortest := time.Duration(-1)
	for _, s := range q.samples {
		if s.shortest >= 0 && (shortest < 0 || s.shortest < shortest) {
			shortest = s.shortest
		}
	}
	return shortest
}

// aboveShare returns the failure domains with more than an equal share of the waiting
// work, in a fixed order.
func aboveShare(waiting map[string]int64) []string {
	total := int64(0)
	for _, milli := range waiting {
		total += milli
	}
	var list []string
	for domain, milli := range waiting {
		if float64(milli)*float64(len(waiting)) > shareTolerance*float64(total) {
			list = append(list, domain)
		}
	}
	slices.Sort(list)
	return list
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
