package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sort"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// relaySamples are the measurements of one topology in one round.
type relaySamples struct {
	latencies []time.Duration
	elapsed   time.Duration
	cpu       time.Duration
}

// cpuPerRequest returns the mean CPU time of a request in seconds.
func (r relaySamples) cpuPerRequest() float64 {
	return r.cpu.Seconds() / float64(max(len(r.latencies), 1))
}

// Indices in the result of startTopologies of the topologies that the others are
// compared with.
const (
	relayBaseline = 0
	relayDirect   = 1
)

func relayTable(w io.Writer) error {
	harness, err := newRelayHarness()
	if err != nil {
		return err
	}
	defer harness.close()
	topologies, err := harness.startTopologies()
	if err != nil {
		return err
	}
	title := fmt.Sprintf("Request path on loopback, 512-byte bodies. Each figure is the median of %d rounds, in which time slices of the topologies\n"+
		"alternate; ratios are taken within a round. All parts share one process, so requests/s/core includes client and target; for\n"+
		"entry requests/s/core the CPU time of a direct request is subtracted, which leaves that of the entry instances.", relayRounds)
	t := newTable(w, title,
		"callers\ttopology\tp50 us\tp99 us\tp50/relay\tp99/relay\tp50/direct\trequests/s\trequests/s/core\tentry requests/s/core")
	for _, callers := range []int{1, 8, 32} {
		rounds, err := harness.measure(topologies, callers)
		if err != nil {
			return err
		}
		for i, top := range topologies {
			writeRelayRow(t, fmt.Sprintf("%d\t%s", callers, top.name), rounds, i)
		}
	}
	return t.Flush()
}

// measure returns the samples of each topology in each round. The order rotates by
// one each round, so that no topology is always the first.
func (s *relayHarness) measure(topologies []topology, callers int) ([][]relaySamples, error) {
	var rounds [][]relaySamples
	for round := range relayRounds + 1 {
		samples := make([]relaySamples, len(topologies))
		for k := range topologies {
			i := (k + round) % len(topologies)
			slice, err := s.runSlice(topologies[i].url, callers)
			if err != nil {
				return nil, errors.Wrap(err, topologies[i].name)
			}
			samples[i] = slice
		}
		if round > 0 { // the first round only establishes connections
			rounds = append(rounds, samples)
		}
	}
	return rounds, nil
}

func writeRelayRow(w io.Writer, name string, rounds [][]relaySamples, i int) {
	median := func(of func(samples []relaySamples) float64) float64 { return medianOver(rounds, of) }
	quantile := func(k int, q float64) func([]relaySamples) float64 {
		return func(samples []relaySamples) float64 {
			return float64(quantileOf(samples[k].latencies, q)) / float64(time.Microsecond)
		}
	}
	ratio := func(to int, q float64) float64 {
		return median(func(samples []relaySamples) float64 { return quantile(i, q)(samples) / quantile(to, q)(samples) })
	}
	fmt.Fprintf(w, "%s\t%.0f\t%.0f\t%.2f\t%.2f\t%.2f\t%.0f\t%.0f\t%s\t\n", name,
		median(quantile(i, 0.5)), median(quantile(i, 0.99)), ratio(relayBaseline, 0.5), ratio(relayBaseline, 0.99), ratio(relayDirect, 0.5),
		median(func(samples []relaySamples) float64 {
			return float64(len(samples[i].latencies)) / samples[i].elapsed.Seconds()
		}),
		median(func(samples []relaySamples) float64 { return 1 / samples[i].cpuPerRequest() }), entryRate(median, i))
}

// entryRate formats the requests per second and core of the instances between
// client and target.
func entryRate(median func(func([]relaySamples) float64) float64, i int) string {
	if i == relayDirect {
		return "-"
	}
	return fmt.Sprintf("%.0f", 1/median(func(samples []relaySamples) float64 {
		return max(samples[i].cpuPerRequest()-samples[relayDirect].cpuPerRequest(), 1e-9)
	}))
}

func medianOver(rounds [][]relaySamples, of func([]relaySamples) float64) float64 {
	var values []float64
	for _, samples := range rounds {
		values = append(values, of(samples))
	}
	sort.Float64s(values)
	return values[len(values)/2]
}

func (s *relayHarness) runSlice(url string, callers int) (relaySamples, error) {
	var mu sync.Mutex
	var all relaySamples
	var lastErr error
	var wg sync.WaitGroup
	start, cpu := time.Now(), cpuTime()
	end := start.Add(scaled(relaySliceDuration))
	for range callers {
		wg.Go(func() {
			var callerLatencies []time.Duration
			var err error
			for err == nil && (len(callerLatencies) == 0 || time.Now().Before(end)) {
				var took time.Duration
				took, err = s.post(url)
				callerLatencies = append(callerLatencies, took)
			}
			mu.Lock()
			defer mu.Unlock()
			all.latencies = append(all.latencies, callerLatencies...)
			if err != nil {
				lastErr = err
			}
		})
	}
	wg.Wait()
	all.elapsed, all.cpu = time.Since(start), cpuTime()-cpu
	return all, lastErr
}

var relayBody = bytes.Repeat([]byte("x"), relayBodyBytes)

func (s *relayHarness) post(url string) (time.Duration, error) {
	start := time.Now()
	response, err := s.client.Post(url, "application/octet-stream", bytes.NewReader(relayBody))
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err == nil && (response.StatusCode != http.StatusOK || len(body) != relayBodyBytes) {
		err = errors.Errorf("unexpected response: status %d: %s", response.StatusCode, body)
	}
	return time.Since(start), err
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func quantileOf(values []time.Duration, q float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := append([]time.Duration(nil), values...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i] < sorted[j] })
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
