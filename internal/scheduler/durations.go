package scheduler

import (
	"math"
	"time"

	"gooseberryreel/internal/workerspeed"
)

const (
	// durationPriorTasks is the weight of the uncorrected estimate, in observed
	// tasks.
	durationPriorTasks = 20
	// durationMemoryTasks bounds the weight of the observed tasks, so that old ones
	// count for little.
	durationMemoryTasks = 500
)

// durations corrects the estimated durations of tasks, which callers give only
// roughly. For each queue it fits the logarithm of the observed duration to that of
// the estimate by linear regression: the noisier the estimates, the closer the
// expectation is to the mean.
type durations map[string]*durationFit

// durationFit is the regression for one queue.
type durationFit struct {
	weight                 float64
	estimate, took         float64 // means of logarithms
	estimateVar, crossProd float64 // moments about the means
	tookVar                float64
	// rates are those of the queue's tasks on all workers, relative to what is expected.
	rates workerspeed.Usual
}

func (d durations) of(queue string) *durationFit {
	f := d[queue]
	if f == nil {
		f = &durationFit{}
		d[queue] = f
	}
	return f
}

// observe adds a task that ran at full speed from its beginning to its end.
func (f *durationFit) observe(estimateMs int64, took time.Duration) {
	if estimateMs <= 0 || took < time.Millisecond {
		return
	}
	x, y := math.Log(float64(estimateMs)), math.Log(float64(took)/float64(time.Millisecond))
	f.weight = min(f.weight+1, durationMemoryTasks)
	rate := 1 / f.weight
	dx := x - f.estimate
	f.estimate += rate * dx
	dy := y - f.took
	f.took += rate * dy
	f.tookVar += rate * (dy*(y-f.took) - f.tookVar)
	f.estimateVar += rate * (dx*(x-f.estimate) - f.estimateVar)
	f.crossProd += rate * (dx*(y-f.took) - f.crossProd)
}

// expect returns the expected duration of a task with an estimate.
func (f *durationFit) expect(estimateMs int64) time.Duration {
	raw := time.Duration(estimateMs) * time.Millisecond
	if estimateMs <= 0 || f.weight == 0 {
		return raw
	}
	slope := f.slope()
	x := math.Log(float64(estimateMs))
	fitted := f.took + slope*(x-f.estimate)
	trust := f.weight / (f.weight + durationPriorTasks)
	return time.Duration(math.Exp(trust*fitted+(1-trust)*x) * float64(time.Millisecond))
}

func (f *durationFit) slope() float64 {
	if f.estimateVar <= 0 {
		return 0
	}
	return min(max(f.crossProd/f.estimateVar, 0), 1)
}

// priorSpread is the spread that is assumed before tasks have been observed.
const priorSpread = 0.5

// spread returns the standard deviation of the logarithm of an observed duration about
// its expectation.
func (f *durationFit) spread() float64 {
	slope := f.slope()
	observed := math.Sqrt(max(f.tookVar-2*slope*f.crossProd+slope*slope*f.estimateVar, 0))
	trust := f.weight / (f.weight + durationPriorTasks)
	return trust*observed + (1-trust)*priorSpread
}
