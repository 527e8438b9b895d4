package main

import (
	"fmt"
	"io"
	"math"
	"time"

	"gonum.org/v1/gonum/stat"
)

// column is one measured cost in a table.
type column[T any] struct {
	name  string
	value func(T) float64
}

// writeFits writes the least-squares line of each cost as a function of size.
func writeFits[T any](w io.Writer, unit string, rows []T, size func(T) float64, columns []column[T]) {
	var xs []float64
	for _, r := range rows {
		xs = append(xs, size(r))
	}
	for _, c := range columns {
		var ys []float64
		for _, r := range rows {
			ys = append(ys, c.value(r))
		}
		writeFit(w, c.name, unit, xs, ys)
	}
}

// writeFit writes the least-squares line of one cost as a function of size.
func writeFit(w io.Writer, name, unit string, xs, ys []float64) {
	offset, slope := stat.LinearRegression(xs, ys, nil, false)
	sum := 0.0
	for i := range xs {
		d := ys[i] - offset - slope*xs[i]
		sum += d * d
	}
	fmt.Fprintf(w, "%s = %.4g + %.4g per %s; residual %.3g (root mean square)\n", name, offset, slope, unit, math.Sqrt(sum/float64(len(xs))))
}

// timingRuns is the number of runs of which fastestMS returns the shortest.
const timingRuns = 5

// fastestMS returns the duration of the shortest of several runs in milliseconds.
// The minimum excludes pauses caused by the garbage collector and by other
// processes.
func fastestMS(run func() (time.Duration, error)) (float64, error) {
	shortest := time.Duration(math.MaxInt64)
	for range timingRuns {
		took, err := run()
		if err != nil {
			return 0, err
		}
		shortest = min(shortest, took)
	}
	return ms(shortest), nil
}
