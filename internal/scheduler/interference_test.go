package scheduler

import (
	"fmt"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"gooseberryreel/internal/pb"
)

// updateLatencies sets the measured latencies of all services as in production: the
// intrinsic load of each varies with a period of 10 s, one of three filler images slows
// each service image down, and a measurement covers half a second.
func (sim *simulation) updateLatencies() {
	for _, sw := range sim.workers {
		for _, r := range sw.activeAttempts() {
			if r.task.longRunning {
				r.task.latencyMS = sim.tailLatency(sw, r)
			}
		}
	}
}

// movingAverage averages the utilization of a service over the time that one
// measurement covers.
type movingAverage struct{ values []float64 }

const windowSteps = int(500 * time.Millisecond / simStep)

func (a *movingAverage) add(value float64) float64 {
	a.values = append(a.values, value)
	if len(a.values) > windowSteps {
		a.values = a.values[1:]
	}
	sum := 0.0
	for _, u := range a.values {
		sum += u
	}
	return sum / float64(len(a.values))
}

const simTargetMS = 18

func (sim *simulation) tailLatency(sw *simWorker, r *simAttempt) int64 {
	at := sim.now.Sub(time.UnixMilli(1_700_000_000_000)).Seconds()
	utilization := 0.42 * (1 + 0.5*math.Sin(2*math.Pi*at/10+float64(r.attemptID.Task)))
	for _, f := range sw.active {
		if !f.task.longRunning {
			weight := 0.1
			if imageOf(f.attemptID)%3 == imageOf(r.attemptID)%3 {
				weight = 2
			}
			utilization += weight * sim.shareOf(f.attemptID, sw) * float64(f.speed) / 100
		}
	}
	key := fmt.Sprint(r.attemptID, sw.id)
	if sim.utilizations == nil {
		sim.utilizations = make(map[string]*movingAverage)
	}
	if sim.utilizations[key] == nil {
		sim.utilizations[key] = &movingAverage{}
	}
	utilization = sim.utilizations[key].add(min(utilization, 0.97))
	return int64(math.Round(simTargetMS / 4.5 / (1 - utilization)))
}

// shareOf returns the share of a worker's CPU that an attempt requests.
func (sim *simulation) shareOf(r AttemptID, sw *simWorker) float64 {
	for _, sub := range sim.subs {
		if sub.GetId() == r.Job {
			return share(sub.GetSteps()[r.Step].GetCpuMilli(), sw.capacity.CPUMilli)
		}
	}
	return 0
}

// imageOf returns the image number of a job's tasks.
func imageOf(r AttemptID) int {
	var n int
	if _, err := fmt.Sscanf(r.Job, "%x", &n); err != nil {
		return 0
	}
	return n
}

// simulateServicesAndFillers runs services and fillers for a minute. It returns the
// time for which services missed their targets, in task-seconds, and the number of
// filler tasks that completed.
func simulateServicesAndFillers(disabled disabledRules, fillers bool) (over float64, done int) {
	sim := newSimulation(1, 9)
	sim.disabled, sim.core.disabled = disabled, disabled
	sim.taskFor = func(r AttemptID) simTask {
		if imageOf(r) < 100 {
			return simTask{longRunning: true, latencyMS: 5}
		}
		return simTask{work: 1700 * time.Millisecond}
	}
	for n := range 6 {
		step := simStepSpec(6, 1600)
		step.Lasting, step.LatencyTargetMs, step.Image = true, simTargetMS, fmt.Sprint("service", (n+1)%3)
		sim.submit(simJob(n+1, step))
	}
	sim.run(3 * time.Second)
	for n := range 600 {
		if fillers && n%5 == 0 {
			step := simStepSpec(4, 1200)
			step.Filler, step.Checkpoints, step.Image = true, true, fmt.Sprint("filler", (100+n)%3)
			sim.submit(&pb.Submission{Id: fmt.Sprintf("%016x", 100+n), Steps: []*pb.StepSpec{step}})
		}
		for range 10 {
			sim.step()
			sim.updateLatencies()
			for _, sw := range sim.workers {
				for _, r := range sw.active {
					if r.task.longRunning && r.task.latencyMS > simTargetMS {
						over += simStep.Seconds()
					}
				}
			}
		}
	}
	for id, s := range sim.states() {
		var n int
		if _, err := fmt.Sscanf(id, "%x", &n); err == nil && n >= 100 && s == pb.PublicState_PUBLIC_STATE_COMPLETED {
			done += 4
		}
	}
	return over, done
}

// Guards against fillers that slow down the services on their workers, and against
// a protection of services that keeps fillers from making progress. Each service
// image is slowed down by a third of the filler images.
func TestFillersBesideServices(t *testing.T) {
	c := qt.New(t)
	alone, _ := simulateServicesAndFillers(disabledRules{}, false)
	unthrottled, most := simulateServicesAndFillers(disabledRules{ignoreInterference: true}, true)
	learned, done := simulateServicesAndFillers(disabledRules{}, true)
	t.Logf("no fillers: %.1f task-seconds over target; never throttled: %.1f and %d tasks done; throttled by the model: %.1f and %d", alone, unthrottled, most, learned, done)
	c.Assert(alone, qt.Equals, 0.0)
	c.Assert(learned < unthrottled/5, qt.IsTrue)
	c.Assert(float64(done) > 0.9*float64(most), qt.IsTrue)
}

// Guards against a filler that never starts because it slows down every service: it
// must be started and throttled.
func TestFillerThatSlowsAllServices(t *testing.T) {
	c := qt.New(t)
	sim := newSimulation(1, 2)
	sim.taskFor = func(r AttemptID) simTask {
		if imageOf(r) < 100 {
			return simTask{longRunning: true, latencyMS: 5}
		}
		return simTask{work: time.Second}
	}
	step := simStepSpec(6, 1600)
	step.Lasting, step.LatencyTargetMs, step.Image = true, simTargetMS, "service"
	sim.submit(simJob(3, step))
	sim.run(3 * time.Second)
	over := time.Duration(0)
	run := func(d time.Duration) {
		for end := sim.now.Add(d); sim.now.Before(end); {
			sim.step()
			sim.updateLatencies()
			for _, sw := range sim.workers {
				for _, r := range sw.active {
					if r.task.longRunning && r.task.latencyMS > simTargetMS {
						over += simStep
					}
				}
			}
		}
	}
	for n := range 6 {
		size := int64(1200) // the model learns that the image slows the service down
		if n == 5 {
			size = 2600 // too much for the service at any load
		}
		filler := simStepSpec(2, size)
		filler.Filler, filler.Checkpoints, filler.Image = true, true, "filler"
		sim.submit(&pb.Submission{Id: fmt.Sprintf("%016x", 102+3*n), Steps: []*pb.StepSpec{filler}})
		run(2 * time.Second)
	}
	run(90 * time.Second)
	for id, s := range sim.states() {
		var n int
		if _, err := fmt.Sscanf(id, "%x", &n); err == nil && n >= 100 {
			c.Check(s, qt.Equals, pb.PublicState_PUBLIC_STATE_COMPLETED, qt.Commentf("%s", id))
		}
	}
	t.Logf("services were over their target for %v in all", over)
}
