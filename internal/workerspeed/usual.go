package workerspeed

const (
	// usualPrior is the weight, in readings, of the assumption that durations are as
	// expected with a deviation of usualDeviation in the logarithm.
	usualPrior     = 30
	usualDeviation = 0.55
	// usualMemory bounds the weight of the readings, so that old ones count for little.
	usualMemory = 500
	// usualLimit bounds the distance of a reading from the mean, so that outliers
	// widen the distribution little.
	usualLimit = 1.5
)

// Usual is the distribution of the rates of the tasks of one queue over the whole
// pool, to which the speeds of its workers are compared: if all durations are
// estimated too low, no worker is slow. The zero value is usable.
type Usual struct {
	weight, mean, square float64
}

// Observe adds the first reading of a task. The weight is the probability that its
// worker is not slow.
func (u *Usual) Observe(rate, weight float64) {
	gap := min(max(rate-u.Mean(), -usualLimit), usualLimit)
	u.weight = min(u.weight+weight, usualMemory)
	part := weight / (u.weight + usualPrior)
	u.mean += part * gap
	u.square += part * (gap*gap - u.Variance())
}

// Mean returns the mean of the rates, as a logarithm.
func (u *Usual) Mean() float64 { return u.mean }

// Variance returns the variance of the rates.
func (u *Usual) Variance() float64 { return max(usualDeviation*usualDeviation+u.square, 0.04) }
