package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/pkg/errors"

	"gooseberryreel/internal/remote"
	"gooseberryreel/internal/standin"
)

const (
	logRecordBytes = 200
	logBatches     = 200
	logStream      = "control.bench"
	// logAppendsPerSecond is above the rate of the benchmarks, so that the limit of
	// the stand-in does not affect the results.
	logAppendsPerSecond = 100_000
)

// logTable writes the cost of appends to and reads from the stand-in for the log
// service. Client and service share the process.
func logTable(w io.Writer) error {
	p, err := standin.Start(standin.Site{Name: "bench", Log: standin.Log{AppendsPerSecond: logAppendsPerSecond}})
	if err != nil {
		return errors.Wrap(err, "start platform")
	}
	defer p.Close()
	log := remote.NewHTTPLog(p.LogURL())
	fmt.Fprintf(w, "\nlog stand-in: records of %d bytes per append, append p50 us and p99 us, CPU us per append (client and service), CPU us to read the batch back\n", logRecordBytes)
	var xs, appendCPU, readCPU []float64
	for _, n := range []int{1, 10, 50, 100} {
		c, err := measureLog(log, n)
		if err != nil {
			return err
		}
		fmt.Fprintf(w, "%d  %.0f  %.0f  %.0f  %.0f\n", n, c.p50, c.p99, c.cpu, c.readCPU)
		xs, appendCPU, readCPU = append(xs, float64(n)), append(appendCPU, c.cpu), append(readCPU, c.readCPU)
	}
	writeFit(w, "CPU us per append", "record of the batch", xs, appendCPU)
	writeFit(w, "CPU us per read", "record of the batch", xs, readCPU)
	return nil
}

type logCost struct{ p50, p99, cpu, readCPU float64 }

func measureLog(log remote.Log, n int) (c logCost, err error) {
	records := make([][]byte, n)
	for i := range records {
		records[i] = make([]byte, logRecordBytes)
	}
	var took []time.Duration
	var first int64
	cpu := cpuTime()
	for i := range logBatches {
		begin := time.Now()
		offset, err := log.Append(context.Background(), logStream, records)
		if err != nil {
			return c, errors.Wrap(err, "append")
		}
		if i == 0 {
			first = offset
		}
		took = append(took, time.Since(begin))
	}
	c.cpu = float64((cpuTime() - cpu).Microseconds()) / logBatches
	cpu = cpuTime()
	for i := range logBatches {
		if _, err := log.Read(context.Background(), logStream, first+int64(i*n), n, 0); err != nil {
			return c, errors.Wrap(err, "read")
		}
	}
	c.readCPU = float64((cpuTime() - cpu).Microseconds()) / logBatches
	c.p50, c.p99 = microseconds(quantileOf(took, 0.5)), microseconds(quantileOf(took, 0.99))
	return c, nil
}

func microseconds(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }
