package scheduler

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gooseberryreel/internal/pb"
)

// BenchmarkCore measures the processor time of the core for each simulated second of
// a site with short jobs, fillers and services in the proportions of a large fleet.
func BenchmarkCore(b *testing.B) {
	for _, workers := range []int{138, 275, 550, 1100} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			for b.Loop() {
				sim, jobs := newLoadedSite(workers)
				const seconds = 5
				sim.coreTime = 0
				startsBefore := sim.starts
				for range seconds * 10 {
					jobs.arrive(sim, 100*time.Millisecond)
					sim.run(100 * time.Millisecond)
				}
				b.ReportMetric(sim.coreTime.Seconds()/seconds, "core-s/s")
				b.ReportMetric(float64(sim.starts-startsBefore)/seconds, "starts/s")
			}
		})
	}
}

// loadedSite submits jobs at rates in proportion to the number of workers.
type loadedSite struct {
	scale float64 // relative to 1,100 workers
	next  int
	due   [3]float64 // jobs of each kind that are due
}

// newLoadedSite returns a site whose services run already.
func newLoadedSite(workers int) (*simulation, *loadedSite) {
	sim := newSimulation(5, workers)
	sim.unchecked = true
	sim.trace = nil
	for n, sw := range sim.workers {
		sw.capacity = Resources{32_000, 128_000, 0}
		sw.rack = fmt.Sprintf("r%d", n/12)
		sim.core.SetWorker(sw.entry(), sim.now)
	}
	sim.config.Queues[0].Stretch = 2
	sim.taskFor = func(r AttemptID) simTask {
		switch r.Job[0] {
		case 'a':
			return simTask{work: 800 * time.Millisecond}
		case 'b':
			return simTask{work: 2700 * time.Millisecond}
		default:
			return simTask{longRunning: true, latencyMS: 6}
		}
	}
	l := &loadedSite{scale: float64(workers) / 1100}
	for range int(math.Round(214 * l.scale)) {
		l.submit(sim, 2)
	}
	sim.run(3 * time.Second)
	for range 30 {
		l.arrive(sim, 100*time.Millisecond)
		sim.run(100 * time.Millisecond)
	}
	return sim, l
}

// arrive submits the jobs of a time span.
func (l *loadedSite) arrive(sim *simulation, d time.Duration) {
	for kind, perSecond := range [3]float64{19.3, 19.6, 1.19} {
		l.due[kind] += perSecond * l.scale * d.Seconds()
		for ; l.due[kind] >= 1; l.due[kind]-- {
			l.submit(sim, kind)
		}
	}
}

func (l *loadedSite) submit(sim *simulation, kind int) {
	l.next++
	var sub *pb.Submission
	switch kind {
	case 0:
		sub = &pb.Submission{Id: fmt.Sprintf("a%015x", l.next), Steps: []*pb.StepSpec{
			{Tasks: 13, CpuMilli: 6400, MemoryMib: 13_000, EstimateMs: 800}, {Tasks: 8, CpuMilli: 6400, MemoryMib: 13_000, EstimateMs: 800, After: []int32{0}},
		}}
	case 1:
		sub = &pb.Submission{Id: fmt.Sprintf("b%015x", l.next), Priority: 2, Steps: []*pb.StepSpec{
			{Tasks: 40, CpuMilli: 3500, MemoryMib: 6400, EstimateMs: 2700, Filler: true, Image: fmt.Sprintf("f%d", l.next%30), Checkpoints: true},
			{Tasks: 40, CpuMilli: 3500, MemoryMib: 6400, EstimateMs: 2700, Filler: true, Image: fmt.Sprintf("f%d", l.next%30), Checkpoints: true, After: []int32{0}},
		}}
	default:
		sub = &pb.Submission{Id: fmt.Sprintf("c%015x", l.next), Steps: []*pb.StepSpec{
			{Tasks: 24, CpuMilli: 5200, MemoryMib: 13_000, Lasting: true, Image: fmt.Sprintf("s%d", l.next%16), LatencyTargetMs: 18},
		}}
	}
	sim.submit(sub)
}
