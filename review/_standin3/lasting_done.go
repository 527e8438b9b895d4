package main

import (
	"fmt"
	"time"
)

func init() { scenarios["lasting-done"] = lastingDone }

const (
	// lastingBound is the time after the last run of a task that lasts from which it is
	// looked at, and idleBound for how long it may then have nothing running.
	lastingBound = 6 * time.Second
	idleBound    = 3 * time.Second
)

// lastingDone lets two of the six tasks of a submission that lasts end by themselves, one
// after the other, and then the others. The rule: a task that lasts runs again.
func lastingDone(s *site, trouble bool) (broken []string, err error) {
	if err := s.publish([]route{queue("season", "pickbook", 0, 3)}, "pickbook"); err != nil {
		return nil, err
	}
	for n := range 8 {
		if _, err := s.addRunner("pickbook", "a", fmt.Sprintf("r%d", n/8), 32000, 128000); err != nil {
			return nil, err
		}
	}
	if err := s.startProcesses(3); err != nil {
		return nil, err
	}
	s.behaviour = func(t taskID, run int) behaviour {
		if trouble && run == 1 {
			return behaviour{work: 4*time.Second + time.Duration(t.index)*500*time.Millisecond, how: "done"}
		}
		return behaviour{}
	}
	j := newSubmission("season", phase{Count: 6, Cpu: 6400, MemMb: 13000, EstimateMs: 400, LongRunning: true})
	if err := s.submit(j); err != nil {
		return nil, err
	}
	if !s.waitFor(15*time.Second, func() bool { return len(s.starts) == 6 }) {
		return nil, fmt.Errorf("not all tasks were started")
	}
	time.Sleep(8 * time.Second)
	state := s.state(j)
	time.Sleep(lastingBound + idleBound + time.Second)
	s.mu.Lock()
	defer s.mu.Unlock()
	for n := range 6 {
		t := taskID{j.id, 0, 0, n}
		runs := s.runs[t.String()]
		if len(runs.active) == 0 && time.Since(runs.lastEnd) > lastingBound+idleBound {
			broken = append(broken, fmt.Sprintf("LOST: %s has nothing running %d ms after its last run ended %s, and the submission was shown as %s", t, time.Since(runs.lastEnd).Milliseconds(), runs.lastHow, state))
		}
	}
	return broken, nil
}
