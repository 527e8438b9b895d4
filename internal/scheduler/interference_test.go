package scheduler

import (
	"fmt"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"gooseberryreel/internal/pb"
)

// tails gives the services of a world the latencies of a site: the own load of
// each swings every 10 s, one filler image of three harms each service image,
// and a measurement covers half a second.
func (w *world) tails() {
	for _, sw := range w.workers {
		for _, r := range sw.list() {
			if r.does.lasts {
				r.does.tail = w.tailOf(sw, r)
			}
		}
	}
}

// averageUse follows the use of a service over the time that one measurement
// covers.
type averageUse struct{ uses []float64 }

const measuredSteps = int(500 * time.Millisecond / simStep)

func (a *averageUse) add(use float64) float64 {
	a.uses = append(a.uses, use)
	if len(a.uses) > measuredSteps {
		a.uses = a.uses[1:]
	}
	sum := 0.0
	for _, u := range a.uses {
		sum += u
	}
	return sum / float64(len(a.uses))
}

const simTarget = 18 // ms

func (w *world) tailOf(sw *simWorker, r *simRun) int64 {
	at := w.now.Sub(time.UnixMilli(1_700_000_000_000)).Seconds()
	use := 0.42 * (1 + 0.5*math.Sin(2*math.Pi*at/10+float64(r.run.Task)))
	for _, f := range sw.active {
		if !f.does.lasts {
			weight := 0.1
			if imageOf(f.run)%3 == imageOf(r.run)%3 {
				weight = 2
			}
			use += weight * w.shareOf(f.run, sw) * float64(f.pace) / 100
		}
	}
	key := fmt.Sprint(r.run, sw.id)
	if w.uses == nil {
		w.uses = make(map[string]*averageUse)
	}
	if w.uses[key] == nil {
		w.uses[key] = &averageUse{}
	}
	use = w.uses[key].add(min(use, 0.97))
	return int64(math.Round(simTarget / 4.5 / (1 - use)))
}

// shareOf returns the share of a worker's processors that a run takes.
func (w *world) shareOf(r AttemptID, sw *simWorker) float64 {
	for _, sub := range w.subs {
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

// replay runs services and fillers for a minute and returns the time for which
// services missed their targets, in task-seconds, and the fillers' tasks done.
func replay(off faults, fillers bool) (over float64, done int) {
	w := newWorld(1, 9)
	w.off, w.core.faults = off, off
	w.behave = func(r AttemptID) simTask {
		if imageOf(r) < 100 {
			return simTask{lasts: true, tail: 5}
		}
		return simTask{work: 1700 * time.Millisecond}
	}
	for n := range 6 {
		step := simStepSpec(6, 1600)
		step.Lasting, step.LatencyTargetMs, step.Image = true, simTarget, fmt.Sprint("service", (n+1)%3)
		w.submit(simJob(n+1, step))
	}
	w.run(3 * time.Second)
	for n := range 600 {
		if fillers && n%5 == 0 {
			step := simStepSpec(4, 1200)
			step.Filler, step.Checkpoints, step.Image = true, true, fmt.Sprint("filler", (100+n)%3)
			w.submit(&pb.Submission{Id: fmt.Sprintf("%016x", 100+n), Steps: []*pb.StepSpec{step}})
		}
		for range 10 {
			w.step()
			w.tails()
			for _, sw := range w.workers {
				for _, r := range sw.active {
					if r.does.lasts && r.does.tail > simTarget {
						over += simStep.Seconds()
					}
				}
			}
		}
	}
	for id, s := range w.states() {
		var n int
		if _, err := fmt.Sscanf(id, "%x", &n); err == nil && n >= 100 && s == pb.PublicState_PUBLIC_STATE_COMPLETED {
			done += 4
		}
	}
	return over, done
}

// Guards against fillers that harm the services beside them, and against a
// protection of services that keeps fillers from working. The load is that of a
// day on which each service image is harmed by a third of the filler images.
func TestFillersBesideServices(t *testing.T) {
	c := qt.New(t)
	alone, _ := replay(faults{}, false)
	unpaced, most := replay(faults{ignoreHarm: true}, true)
	learned, done := replay(faults{}, true)
	t.Logf("no fillers: %.1f task-seconds over target; unpaced: %.1f and %d tasks done; learned: %.1f and %d", alone, unpaced, most, learned, done)
	c.Assert(alone, qt.Equals, 0.0)
	c.Assert(learned < unpaced/5, qt.IsTrue)
	c.Assert(float64(done) > 0.9*float64(most), qt.IsTrue)
}

// Guards against a filler that never starts, since it harms every service that
// runs beside it: it works at a low pace, and the services meet their targets.
func TestFillerThatHarmsAllServices(t *testing.T) {
	c := qt.New(t)
	w := newWorld(1, 2)
	w.behave = func(r AttemptID) simTask {
		if imageOf(r) < 100 {
			return simTask{lasts: true, tail: 5}
		}
		return simTask{work: time.Second}
	}
	step := simStepSpec(6, 1600)
	step.Lasting, step.LatencyTargetMs, step.Image = true, simTarget, "service"
	w.submit(simJob(3, step))
	w.run(3 * time.Second)
	over := time.Duration(0)
	run := func(d time.Duration) {
		for end := w.now.Add(d); w.now.Before(end); {
			w.step()
			w.tails()
			for _, sw := range w.workers {
				for _, r := range sw.active {
					if r.does.lasts && r.does.tail > simTarget {
						over += simStep
					}
				}
			}
		}
	}
	for n := range 6 {
		size := int64(1200) // teaches that the image does harm
		if n == 5 {
			size = 2600 // harms too much at any load
		}
		filler := simStepSpec(2, size)
		filler.Filler, filler.Checkpoints, filler.Image = true, true, "filler"
		w.submit(&pb.Submission{Id: fmt.Sprintf("%016x", 102+3*n), Steps: []*pb.StepSpec{filler}})
		run(2 * time.Second)
	}
	run(90 * time.Second)
	for id, s := range w.states() {
		var n int
		if _, err := fmt.Sscanf(id, "%x", &n); err == nil && n >= 100 {
			c.Check(s, qt.Equals, pb.PublicState_PUBLIC_STATE_COMPLETED, qt.Commentf("%s", id))
		}
	}
	t.Logf("services were over their target for %v in all", over)
}
