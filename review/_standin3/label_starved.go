package main

import (
	"fmt"
	"time"
)

func init() { scenarios["label-starved"] = labelStarved }

// labelStarved has tasks that last on the two runners with a label, which fail now and then.
// The rule: a task that lasts runs again within 9 s of its last run.
func labelStarved(s *site, trouble bool) (broken []string, err error) {
	if err := s.publish([]route{queue("season", "pickbook", 0, 3)}, "pickbook"); err != nil {
		return nil, err
	}
	for n := range 8 {
		kind := "a"
		if n < 2 {
			kind = "b"
		}
		if _, err := s.addRunner("pickbook", kind, "r0", 32000, 128000); err != nil {
			return nil, err
		}
	}
	s.behaviour = func(t taskID, run int) behaviour {
		if trouble {
			return behaviour{work: time.Duration(5000+1300*t.index) * time.Millisecond, how: "failed"}
		}
		return behaviour{}
	}
	if err := s.startProcesses(3); err != nil {
		return nil, err
	}
	j := newSubmission("season", phase{Count: 6, Cpu: 3000, MemMb: 6000, EstimateMs: 400, LongRunning: true, Requires: "b"})
	if err := s.submit(j); err != nil {
		return nil, err
	}
	longest := time.Duration(0)
	for end := time.Now().Add(70 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		s.mu.Lock()
		for n := range 6 {
			r := s.runs[taskID{j.id, 0, 0, n}.String()]
			if r == nil || len(r.active) > 0 {
				continue
			}
			if idle := time.Since(r.lastEnd); idle > longest {
				longest = idle
			}
			if time.Since(r.lastEnd) > lastingBound+idleBound && (len(broken) == 0 || time.Since(r.lastEnd) < lastingBound+idleBound+60*time.Millisecond) {
				broken = append(broken, fmt.Sprintf("LOST: %s has nothing running %d ms after its last run", taskID{j.id, 0, 0, n}, time.Since(r.lastEnd).Milliseconds()))
			}
		}
		s.mu.Unlock()
	}
	s.rec.add("longest wait %v", longest)
	return broken, nil
}
