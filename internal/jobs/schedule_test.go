package jobs

import (
	"flag"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/remote"
)

// The seed is fixed, so that every run tries the same schedules.
const (
	scheduleSeed   = "20260"
	scheduleChecks = "2000"
)

// TestMain sets the flags of rapid.
func TestMain(m *testing.M) {
	flag.Parse()
	set := func(name, value string) {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	set("rapid.seed", scheduleSeed)
	set("rapid.checks", scheduleChecks)
	set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// randomSchedule runs one schedule of random faults, and then a fault-free period
// in which all jobs should end.
func randomSchedule(t *rapid.T, disabled disabledRules) *harness {
	s := newHarness(3)
	s.disabled = disabled
	s.takeOver()
	var submitted []string
	for range rapid.IntRange(20, 250).Draw(t, "steps") {
		s.randomStep(t, &submitted)
	}
	for _, w := range s.workers {
		w.silent = false
	}
	s.runUntilEnded()
	return s
}

// Guards against violations of G1, G2 and G3 and against jobs that never end, under
// lost, duplicated, reordered and late answers, takeovers, log outages, silent
// workers, evictions and cancellations.
func TestSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := randomSchedule(t, disabledRules{})
		for _, v := range s.violations {
			t.Errorf("%s", v)
		}
		for id := range s.accepted {
			state := s.state(id)
			if !terminal(state) {
				t.Errorf("job %s is %s at the end (%v)", id, state, s.owner.Get(id).Job)
			}
			if state == pb.JobState_JOB_STATE_DONE && s.done[id] != 1 {
				t.Errorf("job %s was completed %d times", id, s.done[id])
			}
		}
	})
}

// Guards against schedules that would not detect a broken mechanism: with each
// mechanism disabled, schedules like those of TestSchedules violate its guarantee.
func TestMechanismOff(t *testing.T) {
	const schedules = 3000
	for _, test := range []struct {
		name      string
		disabled  disabledRules
		guarantee string
	}{
		{"capacity rule", disabledRules{ignoreCapacity: true}, "G1"},
		// A copy also tells the new owner of an attempt, unless its holders are lost.
		{"waiting for workers after a takeover", disabledRules{skipStatusWait: true, startUncopied: true}, "G2"},
		{"confirmed stop before a requeue", disabledRules{requeueUnstopped: true}, "G2"},
		{"new attempt number for a resume", disabledRules{reuseAttempt: true}, "G3"},
	} {
		t.Run(test.name, func(t *testing.T) {
			gen := rapid.Custom(func(t *rapid.T) *harness { return randomSchedule(t, test.disabled) })
			for seed := range schedules {
				for _, v := range gen.Example(seed).violations {
					if strings.HasPrefix(v, test.guarantee) {
						t.Logf("seed %d: %s", seed, v)
						return
					}
				}
			}
			qt.New(t).Errorf("no violation of %s in %d schedules", test.guarantee, schedules)
		})
	}
}

// Guards against restarting the attempts of a silent worker elsewhere while they
// still run there.
func TestSilentWorkerIsHeld(t *testing.T) {
	for _, disabled := range []bool{false, true} {
		s := newHarness(2)
		s.runFor = func(remote.TaskSpec) time.Duration { return time.Hour }
		s.takeOver()
		s.runFaultFree(4 * time.Second)
		s.submit("j", "small")
		s.runFaultFree(2 * time.Second)
		s.owner.disabled.restartSilent = disabled
		s.workers[s.owner.Get("j").Job.Worker].silent = true
		s.runFaultFree(8 * time.Second)
		qt.Check(t, len(s.violations) > 0, qt.Equals, disabled, qt.Commentf("%v", s.violations))
	}
}

// Guards against running a job twice after a takeover, when a start of the old
// owner is carried out late and its assignment was not recorded before the start.
func TestStartWaitsForRecord(t *testing.T) {
	for _, disabled := range []bool{false, true} {
		s := newHarness(2)
		s.disabled.startUnrecorded = disabled
		s.takeOver()
		s.runFaultFree(4 * time.Second)
		s.submit("j", "small")
		s.append()
		s.readStream() // accepted
		s.advance(300 * time.Millisecond)
		s.tick() // assigned
		first := s.owner.Get("j").Job.Worker
		if !disabled {
			s.append()
			s.readStream()
		}
		s.takeOver()
		leaving := s.workers[first]
		leaving.inst.State = remote.StateLeaving
		var late []*inFlight
		for _, f := range s.calls {
			if f.res.Call.Kind == CallStart {
				late = append(late, f)
			}
		}
		qt.Assert(t, late, qt.HasLen, 1)
		s.calls = nil
		s.updateView(true)
		s.runFaultFree(4 * time.Second)
		s.calls = append(s.calls, late...)
		s.runFaultFree(4 * time.Second)
		qt.Check(t, len(s.violations) > 0, qt.Equals, disabled, qt.Commentf("%v", s.violations))
	}
}
