package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
)

const (
	costCallers  = 8
	costRequests = 4000
)

var (
	bodySizes   = []int{512, 4 << 10, 16 << 10, 64 << 10}
	answerSizes = []int{2000, 4000, 8000, 16000}
)

// requestCost is the cost of one request to the whole process, which is caller,
// instances and target, by topology.
type requestCost struct {
	body                                  int
	directCPU, localCPU, forwardCPU       float64 // microseconds
	directBytes, localBytes, forwardBytes float64 // allocated bytes
}

// requestCostTables writes the cost of a request at an instance that owns the
// target, and the cost added by the hop to an owner in another instance. Caller and
// target share the process; the cost of a direct call is theirs alone.
func requestCostTables(w io.Writer) error {
	harness, err := newRelayHarness()
	if err != nil {
		return err
	}
	defer harness.close()
	topologies, err := harness.startTopologies()
	if err != nil {
		return err
	}
	urls := make(map[string]string)
	for _, top := range topologies {
		urls[top.name] = top.url
	}
	var costs []requestCost
	for _, body := range bodySizes {
		c := requestCost{body: body}
		for _, m := range []struct {
			name       string
			cpu, bytes *float64
		}{{"direct", &c.directCPU, &c.directBytes}, {"owner-local", &c.localCPU, &c.localBytes}, {"entry plus owner", &c.forwardCPU, &c.forwardBytes}} {
			if *m.cpu, *m.bytes, err = harness.measureRequestCost(urls[m.name], body); err != nil {
				return errors.Wrap(err, m.name)
			}
		}
		costs = append(costs, c)
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "\nrequests: %d callers, %d requests; receiver and partition owner in one instance, and the added hop to an owner in another; caller and target subtracted\n", costCallers, costRequests)
	fmt.Fprintln(t, "body bytes\treceiver and owner CPU us\tallocated bytes\thop adds CPU us\tallocated bytes\tcaller and target CPU us\t")
	for _, c := range costs {
		fmt.Fprintf(t, "%d\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t\n", c.body, c.localCPU-c.directCPU, c.localBytes-c.directBytes,
			c.forwardCPU-c.localCPU, c.forwardBytes-c.localBytes, c.directCPU)
	}
	writeFits(t, "body byte", costs, func(c requestCost) float64 { return float64(c.body) }, []column[requestCost]{
		{"receiver and owner CPU us", func(c requestCost) float64 { return c.localCPU - c.directCPU }},
		{"receiver and owner allocated bytes", func(c requestCost) float64 { return c.localBytes - c.directBytes }},
		{"hop CPU us", func(c requestCost) float64 { return c.forwardCPU - c.localCPU }},
		{"hop allocated bytes", func(c requestCost) float64 { return c.forwardBytes - c.localBytes }},
	})
	if err := t.Flush(); err != nil {
		return errors.Wrap(err, "write")
	}
	return storedAnswerTable(w)
}

// measureRequestCost returns the CPU time in microseconds and the allocated bytes
// per request.
func (s *relayHarness) measureRequestCost(url string, body int) (cpu, allocated float64, err error) {
	if err := s.postMany(url, body, costCallers*20); err != nil { // establishes connections
		return 0, 0, err
	}
	runtime.GC()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	begin := cpuTime()
	if err := s.postMany(url, body, costRequests); err != nil {
		return 0, 0, err
	}
	cpu = float64((cpuTime() - begin).Microseconds()) / costRequests
	runtime.ReadMemStats(&after)
	return cpu, float64(after.TotalAlloc-before.TotalAlloc) / costRequests, nil
}

// postMany sends requests from several callers. The instance generates a new id for
// each request, so that each adds a stored answer.
func (s *relayHarness) postMany(url string, size, count int) error {
	body := bytes.Repeat([]byte("x"), size)
	failures := make([]error, costCallers)
	var wg sync.WaitGroup
	for caller := range costCallers {
		wg.Go(func() {
			for range count / costCallers {
				if failures[caller] == nil {
					failures[caller] = s.postBody(url, body)
				}
			}
		})
	}
	wg.Wait()
	for _, err := range failures {
		if err != nil {
			return err
		}
	}
	return nil
}

func (s *relayHarness) postBody(url string, body []byte) error {
	response, err := s.client.Post(url, "application/octet-stream", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer response.Body.Close()
	n, err := io.Copy(io.Discard, response.Body)
	if err == nil && (response.StatusCode != http.StatusOK || n != int64(len(body))) {
		err = errors.Errorf("unexpected response: status %d, %d bytes", response.StatusCode, n)
	}
	return err
}

// storedAnswerTable writes the heap memory used by the answers that the partition
// owner stores.
func storedAnswerTable(w io.Writer) error {
	fmt.Fprintf(w, "\nstored answers of %d bytes at the partition owner: answers, heap bytes\n", relayBodyBytes)
	var xs, ys []float64
	for _, n := range answerSizes {
		size, err := storedAnswerHeap(n)
		if err != nil {
			return err
		}
		fmt.Fprintf(w, "%d  %.0f\n", n, size)
		xs, ys = append(xs, float64(n)), append(ys, size)
	}
	writeFit(w, "heap bytes", "stored answer", xs, ys)
	return nil
}

func storedAnswerHeap(n int) (float64, error) {
	harness, err := newRelayHarness()
	if err != nil {
		return 0, err
	}
	defer harness.close()
	url, _, err := harness.startEntry("local", true, true, "")
	if err != nil {
		return 0, err
	}
	if err := harness.postMany(url, relayBodyBytes, costCallers*20); err != nil {
		return 0, err
	}
	time.Sleep(livePollInterval) // lets goroutines of finished requests exit
	before := heapBytes()
	if err := harness.postMany(url, relayBodyBytes, n); err != nil {
		return 0, err
	}
	time.Sleep(livePollInterval)
	size := float64(heapBytes()) - float64(before)
	return size, nil
}
