package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"gooseberryreel/internal/pb"
)

// kindChecks checks the rules that belong to single kinds of jobs, as workers see
// them: order of steps, due times, limits of failed attempts, spread, labels and
// cancellations.
type kindChecks struct {
	sim       *simulation
	subs      map[string]*pb.Submission
	done      map[string]bool // completed tasks by name
	starts    []attemptStart
	failed    map[string][]time.Time    // by task name: ends of the failed attempts that count
	started   map[string]int            // starts by kind of job
	cancelled map[string]time.Time      // jobs by id
	kinds     map[string]string         // kind by job id
	runs      map[string]map[string]int // attempts of each step, by step and worker
}

func newKindChecks(sim *simulation) *kindChecks {
	k := &kindChecks{
		sim: sim, subs: make(map[string]*pb.Submission), done: make(map[string]bool), failed: make(map[string][]time.Time),
		started: make(map[string]int), cancelled: make(map[string]time.Time), kinds: make(map[string]string), runs: make(map[string]map[string]int),
	}
	sim.onStart, sim.onEnd = k.checkStart, k.recordEnd
	sim.onNoted = func(id AttemptID, reason EndReason, at time.Time) {
		if reason == EndFailed {
			k.failed[id.TaskName()] = append(k.failed[id.TaskName()], at)
		}
	}
	return k
}

func stepName(id AttemptID) string { return fmt.Sprintf("%s.%d.%d", id.Job, id.Round, id.Step) }

// maxCancelDelay is how long after a cancellation a start may still be on its way:
// the fault of late commands delays them by up to 12 s.
const maxCancelDelay = 13 * time.Second

func (k *kindChecks) checkStart(id AttemptID, sw *simWorker) {
	sub, sim := k.subs[id.Job], k.sim
	spec := sub.GetSteps()[id.Step]
	k.started[k.kinds[id.Job]]++
	for _, earlier := range spec.GetAfter() {
		for n := range int(sub.GetSteps()[earlier].GetTasks()) {
			name := AttemptID{Job: id.Job, Round: id.Round, Step: int(earlier), Task: n}.TaskName()
			if !k.done[name] {
				sim.violate("%s starts before %s is done", id, name)
			}
		}
	}
	if sub.GetTimes() > 0 {
		due := time.UnixMilli(sub.GetFirstAtMs() + int64(id.Round)*sub.GetIntervalMs())
		if sim.now.Before(due) {
			sim.violate("%s starts %v before its round is due", id, due.Sub(sim.now))
		}
	}
	k.starts = append(k.starts, attemptStart{id, sim.now})
	if label := spec.GetRequiredLabel(); label != "" && !slices.Contains(sw.entry().Labels, label) {
		sim.violate("%s starts on %s without the label %s", id, sw.id, label)
	}
	step := stepName(id)
	if k.runs[step] == nil {
		k.runs[step] = make(map[string]int)
	}
	k.runs[step][sw.id]++
	if limit := int(spec.GetSpread()); limit > 0 && k.runs[step][sw.id] > limit {
		sim.violate("%s is number %d of its step on %s", id, k.runs[step][sw.id], sw.id)
	}
	if at, found := k.cancelled[id.Job]; found && sim.now.Sub(at) > maxCancelDelay {
		sim.violate("%s starts %v after its job was cancelled", id, sim.now.Sub(at))
	}
}

// recordEnd notes an end. It is called with EndUnknown if the worker restarts.
func (k *kindChecks) recordEnd(id AttemptID, worker string, reason EndReason) {
	k.runs[stepName(id)][worker]--
	switch {
	case reason == EndDone && k.subs[id.Job].GetSteps()[id.Step].GetGang():
		for n := range int(k.subs[id.Job].GetSteps()[id.Step].GetTasks()) {
			other := id
			other.Task = n
			k.done[other.TaskName()] = true // one end stands for the gang
		}
	case reason == EndDone:
		k.done[id.TaskName()] = true
	}
}

// attemptStart is the start of an attempt at a worker.
type attemptStart struct {
	id AttemptID
	at time.Time
}

// checkFailedAttempts checks that no task was started after it had failed as often as
// allowed. An end that its worker has forgotten by a restart, or that the owner has
// seen only after the worker's lease had expired, does not count.
func (k *kindChecks) checkFailedAttempts() {
	for _, s := range k.starts {
		sub := k.subs[s.id.Job]
		if sub.GetSteps()[s.id.Step].GetLasting() {
			continue
		}
		failed := 0
		for _, at := range k.failed[s.id.TaskName()] {
			if at.Before(s.at) {
				failed++
			}
		}
		if failed >= int(sub.GetMaxAttempts()) {
			k.sim.violate("%s starts after %d failed attempts", s.id, failed)
		}
	}
}

// jobKinds are the kinds of jobs that the histories submit. Each returns the job's
// submission.
var jobKinds = map[string]func(sim *simulation, id int) *pb.Submission{
	"plain": func(_ *simulation, id int) *pb.Submission {
		return simJob(id, simStepSpec(4, 1500), simStepSpec(3, 1000, 0))
	},
	"rounds": func(sim *simulation, id int) *pb.Submission {
		return simScheduledJob(sim, id, 3, 700*time.Millisecond, 1500*time.Millisecond, simStepSpec(2, 900), simStepSpec(2, 900, 0))
	},
	"gang": func(_ *simulation, id int) *pb.Submission {
		gang := simStepSpec(3, 1200)
		gang.Gang, gang.SameRack = true, id%2 == 0
		return simJob(id, gang, simStepSpec(2, 600, 0))
	},
	"spread": func(_ *simulation, id int) *pb.Submission {
		s := simStepSpec(4, 700)
		s.Spread = int32(1 + id%2)
		return simJob(id, s)
	},
	"label": func(_ *simulation, id int) *pb.Submission {
		s := simStepSpec(3, 700)
		s.RequiredLabel = fmt.Sprintf("r%d", id%3)
		return simJob(id, s)
	},
	"data": func(_ *simulation, id int) *pb.Submission {
		s := simStepSpec(3, 700)
		s.DataRack = fmt.Sprintf("r%d", id%3)
		return simJob(id, s, simStepSpec(2, 700, 0))
	},
	"copies": func(_ *simulation, id int) *pb.Submission {
		s := simStepSpec(3, 800)
		s.Speculative = true
		return simJob(id, s, simStepSpec(2, 600, 0))
	},
	"filler": func(_ *simulation, id int) *pb.Submission {
		s := simStepSpec(4, 1500)
		s.Filler, s.Image, s.Checkpoints = true, fmt.Sprintf("f%d", id%3), id%2 == 0
		sub := simJob(id, s)
		sub.Priority = 2
		return sub
	},
	"service": func(_ *simulation, id int) *pb.Submission {
		s := simStepSpec(3, 900)
		s.Lasting, s.Image, s.LatencyTargetMs, s.Spread = true, "s0", 20, 2
		return simJob(id, s)
	},
}

// mixedHistory simulates a random history of all kinds of jobs with faults,
// takeovers, restarted workers, cancellations and changes of the configuration. All
// services are cancelled at its end. If hide is not nil, the core sees submissions
// that it has changed, while the checks use the original ones.
func mixedHistory(seed uint64, hide func(*simulation, *pb.Submission)) (*simulation, *kindChecks) {
	sim := newSimulation(seed, 6)
	checks := newKindChecks(sim)
	sim.faults = networkFaults{loseReply: 0.03, late: 0.03, drop: 0.03}
	sim.taskFor = func(r AttemptID) simTask {
		if checks.kinds[r.Job] == "service" {
			return simTask{longRunning: true, latencyMS: 8}
		}
		// The first task of some jobs fails whatever the worker.
		hopeless := r.Task == 0 && r.Job[len(r.Job)-1] == '6'
		return simTask{work: time.Duration(100+(r.Task*37+r.Step*61)%900) * time.Millisecond, fail: hopeless || (r.Task+r.Number)%13 == 0}
	}
	names := slices.Sorted(maps.Keys(jobKinds))
	cancel := func(id string) {
		checks.cancelled[id] = sim.now
		sim.cancel(id)
	}
	for n := range 240 {
		sim.injectFault()
		if n%5 == 0 && n < 180 {
			name := names[sim.rng.IntN(len(names))]
			sub := jobKinds[name](sim, n+1)
			checks.subs[sub.GetId()], checks.kinds[sub.GetId()] = sub, name
			seen := proto.CloneOf(sub)
			if hide != nil {
				hide(sim, seen)
			}
			sim.submit(seen)
			sub.MaxAttempts = 3
		}
		if n%30 == 29 {
			cancel(sim.subs[sim.rng.IntN(len(sim.subs))].GetId())
		}
		if n%60 == 59 {
			changed := *sim.config
			changed.Version++
			sim.config = &changed
			sim.core.SetConfig(sim.config)
		}
		sim.run(100 * time.Millisecond)
	}
	sim.clearFaults()
	sim.run(20 * time.Second)
	for _, sub := range sim.subs {
		if checks.kinds[sub.GetId()] == "service" && sim.core.State(sub.GetId()) == pb.PublicState_PUBLIC_STATE_RUNNING {
			cancel(sub.GetId())
		}
	}
	sim.run(15 * time.Second)
	checks.checkFailedAttempts()
	return sim, checks
}

// Guards against a takeover or another fault that breaks the rule of one kind of
// job: order of steps, due times, failed attempts, spread, labels, cancellations,
// one run of a task at a time, and no run after its completion.
func TestAllKindsOfJobs(t *testing.T) {
	seeds := 100
	if testing.Short() {
		seeds = 5
	}
	var mu sync.Mutex
	started := make(map[string]int)
	takeovers := int64(0)
	t.Cleanup(func() {
		t.Logf("%d takeovers, starts by kind: %s", takeovers, strings.TrimPrefix(fmt.Sprint(started), "map"))
		for kind := range jobKinds {
			qt.Check(t, started[kind] > 0, qt.IsTrue, qt.Commentf("no start of kind %s", kind))
		}
	})
	for seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			sim, checks := mixedHistory(uint64(seed), nil)
			c := qt.New(t)
			c.Check(sim.violations, qt.HasLen, 0)
			sim.logViolation(t)
			for id, s := range sim.states() {
				ended := s == pb.PublicState_PUBLIC_STATE_COMPLETED || s == pb.PublicState_PUBLIC_STATE_FAILED || s == pb.PublicState_PUBLIC_STATE_CANCELLED
				c.Check(ended, qt.IsTrue, qt.Commentf("job %s, %s: %v", id, checks.kinds[id], s))
			}
			for name, on := range sim.runningOn {
				c.Check(on, qt.HasLen, 0, qt.Commentf("%s still runs", name))
			}
			mu.Lock()
			defer mu.Unlock()
			for kind, n := range checks.started {
				started[kind] += n
			}
			takeovers += sim.epoch - 1
		})
	}
}

// Guards against checks that find nothing: a core that does not know of a rule must
// violate it in some history.
func TestKindChecksFindViolations(t *testing.T) {
	eachStep := func(change func(*pb.StepSpec)) func(*simulation, *pb.Submission) {
		return func(_ *simulation, sub *pb.Submission) {
			for _, s := range sub.GetSteps() {
				change(s)
			}
		}
	}
	for name, c := range map[string]struct {
		hide func(*simulation, *pb.Submission)
		want string
	}{
		"order of steps": {eachStep(func(s *pb.StepSpec) { s.After = nil }), "is done"},
		"spread":         {eachStep(func(s *pb.StepSpec) { s.Spread = 0 }), "of its step on"},
		"required label": {eachStep(func(s *pb.StepSpec) { s.RequiredLabel = "" }), "without the label"},
		"due time":       {func(_ *simulation, sub *pb.Submission) { sub.FirstAtMs -= 600 }, "before its round is due"},
		"failed attempts": {func(sim *simulation, sub *pb.Submission) {
			sub.Queue, sub.Service, sub.Stretch, sub.TargetMs, sub.MaxAttempts = "q", "s", 2, 1000, 20
			sim.config.Queues[0].MaxAttempts = 20
		}, "failed attempts"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			found := 0
			for seed := range uint64(20) {
				sim, _ := mixedHistory(seed, c.hide)
				if slices.ContainsFunc(sim.violations, func(v string) bool { return strings.Contains(v, c.want) }) {
					found++
				}
			}
			t.Logf("found in %d of 20 histories", found)
			qt.Assert(t, found > 0, qt.IsTrue)
		})
	}
}
