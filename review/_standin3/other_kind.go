package main

import (
	"fmt"
	"time"

	"gooseberryreel/internal/emulator"
)

func init() { scenarios["other-kind"] = otherKind }

// otherKind lets the runners of a kind come back as another kind, under the ids that they
// had, while the partition of the store to which the owner appends is down. The rule: a
// task starts only on a runner with the label that it requires.
func otherKind(s *site, trouble bool) (broken []string, err error) {
	if err := s.publish([]route{queue("roster", "pickbook", 2, 3)}, "pickbook"); err != nil {
		return nil, err
	}
	var special []*runner
	for n := range 8 {
		kind := "a"
		if n >= 6 {
			kind = "b"
		}
		r, err := s.addRunner("pickbook", kind, fmt.Sprintf("r%d", n/8), 32000, 128000)
		if err != nil {
			return nil, err
		}
		if kind == "b" {
			special = append(special, r)
		}
	}
	s.behaviour = func(taskID, int) behaviour { return behaviour{work: 1700 * time.Millisecond} }
	s.onStart = func(st start, _ *runner, _ *active, _ order) {
		need := s.jobs[st.task.job].body.Phases[st.task.step].Requires
		for _, r := range s.runners {
			if r.id == st.runner && need != "" && r.kind != need {
				broken = append(broken, fmt.Sprintf("ROUTE: %s, which requires the label %s, started on %s of kind %s, %d ms after that came back", st.task, need, r.id, r.kind, time.Since(r.clockStart).Milliseconds()))
			}
		}
	}
	if err := s.startProcesses(3); err != nil {
		return nil, err
	}
	wants := phase{Count: 4, Cpu: 3500, MemMb: 6400, EstimateMs: 1700, Requires: "b"}
	before := newSubmission("roster", wants)
	if err := s.submit(before); err != nil {
		return nil, err
	}
	if !s.waitFor(15*time.Second, func() bool { return len(s.starts) == 4 }) {
		return nil, fmt.Errorf("the first submission was not started")
	}
	time.Sleep(3 * time.Second)
	if trouble {
		s.rec.add("store: partition 0 of keyed.jobs is down")
		for _, e := range s.endpoints {
			e.InjectPartitions(func(topic string, part int) emulator.Fault {
				if topic == "keyed.jobs" && part == 0 {
					return emulator.FaultUnavailable
				}
				return emulator.FaultNone
			})
		}
	}
	time.Sleep(200 * time.Millisecond)
	j := newSubmission("roster", wants)
	if err := s.submit(j); err != nil {
		return nil, err
	}
	time.Sleep(300 * time.Millisecond)
	if trouble {
		for _, r := range special {
			r.crash()
		}
		time.Sleep(1500 * time.Millisecond)
		for _, r := range special {
			if err := r.restart("a"); err != nil {
				return nil, err
			}
		}
		time.Sleep(2 * time.Second)
		s.rec.add("store: partition 0 of keyed.jobs is up again")
		for _, e := range s.endpoints {
			e.InjectPartitions(nil)
		}
	}
	time.Sleep(4 * time.Second)
	s.state(j)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !trouble && len(s.starts) != 8 {
		return nil, fmt.Errorf("%d starts without a disruption, want 8", len(s.starts))
	}
	return broken, nil
}
