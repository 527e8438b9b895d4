package main

import (
	"fmt"
	"time"
)

func init() { scenarios["moved-queue"] = movedQueue }

// movedQueue moves a queue to another service, lets the runners of the old one leave, and
// then removes the queue. The rule: accepted work whose turn has come runs while the
// service of its queue has room.
func movedQueue(s *site, trouble bool) (broken []string, err error) {
	season := queue("season", "pickbook", 0, 3)
	if err := s.publish([]route{queue("roster", "pickbook", 2, 3), season}, "pickbook", "pickbook-2"); err != nil {
		return nil, err
	}
	var old []*runner
	for n := range 8 {
		service := "pickbook"
		if n >= 4 {
			service = "pickbook-2"
		}
		r, err := s.addRunner(service, "a", fmt.Sprintf("r%d", n/4), 32000, 128000)
		if err != nil {
			return nil, err
		}
		if n < 4 {
			old = append(old, r)
		}
	}
	s.behaviour = func(t taskID, _ int) behaviour { return behaviour{work: 4 * time.Second} }
	if err := s.startProcesses(3); err != nil {
		return nil, err
	}
	// Two steps of 8 tasks, of which the second waits for the first.
	j := newSubmission("roster", phase{Count: 8, Cpu: 3500, MemMb: 6400, EstimateMs: 4000}, phase{Count: 8, Cpu: 3500, MemMb: 6400, EstimateMs: 4000, After: []int{0}})
	if err := s.submit(j); err != nil {
		return nil, err
	}
	if !s.waitFor(10*time.Second, func() bool { return len(s.starts) == 8 }) {
		return nil, fmt.Errorf("the first step was not started")
	}
	if err := s.publish([]route{queue("roster", "pickbook-2", 2, 3), queue("season", "pickbook-2", 0, 3)}, "pickbook", "pickbook-2"); err != nil {
		return nil, err
	}
	s.mu.Lock()
	for _, r := range old {
		r.state = "draining"
		r.checkIn()
	}
	s.mu.Unlock()
	s.rec.add("operator: the runners of pickbook drain")
	time.Sleep(3 * time.Second)
	if trouble {
		if err := s.publish([]route{queue("season", "pickbook-2", 0, 3)}, "pickbook", "pickbook-2"); err != nil {
			return nil, err
		}
	}
	time.Sleep(3 * time.Second)
	for _, r := range old {
		r.leave()
	}
	time.Sleep(25 * time.Second)
	s.state(j)
	s.mu.Lock()
	defer s.mu.Unlock()
	for step := range 2 {
		for n := range 8 {
			t := taskID{j.id, 0, step, n}
			if r := s.runs[t.String()]; r == nil || !r.done() {
				broken = append(broken, fmt.Sprintf("LOST: %s has nothing running, 25 s after the last runner of pickbook left, and pickbook-2 is idle", t))
			}
		}
	}
	return broken, nil
}

func (t *taskRuns) done() bool { return t.lastHow == "done" }

// leave ends the runner for good and removes its entry.
func (r *runner) leave() {
	r.crash()
	r.s.store.Put("keyed.servers", r.id, nil)
	r.s.rec.add("runner: %s has left", r.id)
}
