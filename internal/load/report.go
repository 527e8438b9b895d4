package load

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"gooseberryreel/internal/history"
)

const (
	maxLatencyUS      = int64(10 * time.Minute / time.Microsecond)
	histogramDigits   = 3
	classAll          = "all"
	classIdempotent   = "idempotent"
	classAtMostOnce   = "non_idempotent"
	classDuplicate    = "duplicate"
	classShortTimeout = "short_timeout"
)

// Percentiles are latencies of calls with the outcome ok, measured from the intended
// send time, in microseconds.
type Percentiles struct {
	Count  int64 `json:"count"`
	P50US  int64 `json:"p50_us"`
	P90US  int64 `json:"p90_us"`
	P99US  int64 `json:"p99_us"`
	P999US int64 `json:"p999_us"`
	MaxUS  int64 `json:"max_us"`
}

// Report summarizes a load.
type Report struct {
	Seed     uint64 `json:"seed"`
	Requests int64  `json:"requests"`
	// Outcomes counts calls by outcome, Statuses by HTTP status (0 if there was no
	// response), Failures failed calls by outcome, step and status.
	Outcomes  map[string]int64       `json:"outcomes"`
	Statuses  map[int]int64          `json:"statuses"`
	Failures  map[string]int64       `json:"failures"`
	Latencies map[string]Percentiles `json:"latencies"`
	// Wrong counts answers that don't belong to their request.
	Wrong int64 `json:"wrong"`
	// Dropped counts arrivals that were not sent because too many calls were in
	// flight or no instance was ready.
	Dropped int64 `json:"dropped"`
	// LookUps counts requests that were not answered before their short timeout and
	// were looked up, Found those whose answer was found by id.
	LookUps  int64 `json:"look_ups"`
	Found    int64 `json:"found"`
	Jobs     int64 `json:"jobs"`
	Accepted int64 `json:"jobs_accepted"`
	// JobStates counts jobs by the last state that was seen, and failed submissions
	// by outcome.
	JobStates map[string]int64 `json:"job_states"`
	// MaxSendLagUS is the longest delay of an arrival after its planned time, in
	// microseconds.
	MaxSendLagUS int64            `json:"max_send_lag_us"`
	EntryCounts  map[string]int64 `json:"entries"`
}

// collector builds a report. It is safe for concurrent use.
type collector struct {
	mu         sync.Mutex
	report     Report
	histograms map[string]*hdrhistogram.Histogram
}

func newCollector(seed uint64) *collector {
	return &collector{
		report: Report{
			Seed: seed, Outcomes: map[string]int64{}, Statuses: map[int]int64{}, Failures: map[string]int64{},
			Latencies: map[string]Percentiles{}, JobStates: map[string]int64{}, EntryCounts: map[string]int64{},
		},
		histograms: make(map[string]*hdrhistogram.Histogram),
	}
}

// update changes the report under the lock.
func (c *collector) update(f func(*Report)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(&c.report)
}

// addCall counts one call, and its latency if its outcome is ok.
func (c *collector) addCall(class string, entry Entry, result CallResult, wrong bool, latency time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := &c.report
	r.Requests++
	r.Outcomes[result.Outcome]++
	r.Statuses[result.Status]++
	r.EntryCounts[entry.Address]++
	if wrong {
		r.Wrong++
	}
	if result.Outcome != history.OutcomeOK {
		r.Failures[fmt.Sprintf("%s/%s/%d", result.Outcome, result.Failure.Step, result.Status)]++
		return
	}
	c.recordLatency(class, latency)
	c.recordLatency(classAll, latency)
}

func (c *collector) recordLatency(class string, latency time.Duration) {
	h, ok := c.histograms[class]
	if !ok {
		h = hdrhistogram.New(1, maxLatencyUS, histogramDigits)
		c.histograms[class] = h
	}
	// Latencies above the histogram's range count as its maximum.
	_ = h.RecordValue(min(latency.Microseconds(), maxLatencyUS))
}

// finalReport returns the report with the percentiles.
func (c *collector) finalReport() Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	for class, h := range c.histograms {
		c.report.Latencies[class] = Percentiles{
			Count: h.TotalCount(), P50US: h.ValueAtQuantile(50), P90US: h.ValueAtQuantile(90),
			P99US: h.ValueAtQuantile(99), P999US: h.ValueAtQuantile(99.9), MaxUS: h.Max(),
		}
	}
	return c.report
}

// WriteText writes the report as text.
func (r Report) WriteText(w io.Writer) error {
	text := fmt.Sprintf("seed %d: %d calls, outcomes %v, statuses %v, %d wrong answers, %d dropped\n",
		r.Seed, r.Requests, r.Outcomes, r.Statuses, r.Wrong, r.Dropped)
	text += fmt.Sprintf("look-ups %d, found %d; jobs %d, accepted %d, states %v\n", r.LookUps, r.Found, r.Jobs, r.Accepted, r.JobStates)
	for _, failure := range sorted(r.Failures) {
		text += fmt.Sprintf("failure %-40s %d\n", failure, r.Failures[failure])
	}
	text += fmt.Sprintf("%-16s %8s %9s %9s %9s %9s %9s  (us from the intended send time; sent at most %d us late)\n",
		"latency", "count", "p50", "p90", "p99", "p99.9", "max", r.MaxSendLagUS)
	for _, class := range sorted(r.Latencies) {
		p := r.Latencies[class]
		text += fmt.Sprintf("%-16s %8d %9d %9d %9d %9d %9d\n", class, p.Count, p.P50US, p.P90US, p.P99US, p.P999US, p.MaxUS)
	}
	_, err := io.WriteString(w, text)
	return err
}
