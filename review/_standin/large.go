package main

import (
	"fmt"
	"time"
)

const (
	largeTasks    = 6000
	largeFinish   = 14 * time.Second // finish_s
	largeOthers   = 20
	largePerOther = 100
)

func smallTasks(count int) map[string]any {
	return map[string]any{"Spec": "rebuild the roster", "Phases": []any{map[string]any{"Count": count, "Cpu": 50, "MemMb": 64, "EstimateMs": 2000}}}
}

// playLarge plays a deployment in which a client hands in one submission of 6,000 small
// tasks, which fit its workers at the same time. Without the disruption the same tasks
// come in submissions of 100.
func playLarge(s *site, trouble bool) error {
	s.publishConfig(queue("q", queuePath))
	if err := s.start(24, 32000, 125000, 3, bounds()); err != nil {
		return err
	}
	var before, large, after []string
	submit := func(list *[]string, id string, body map[string]any, lasts time.Duration) error {
		s.mu.Lock()
		s.durations[id] = lasts
		s.mu.Unlock()
		if !s.submit(id, queuePath, body, 10) {
			return fmt.Errorf("submission %s was not accepted", id)
		}
		*list = append(*list, id)
		return nil
	}
	for n := range 5 {
		if err := submit(&before, jobID("aaaa", n), smallTasks(2), 300*time.Millisecond); err != nil {
			return err
		}
	}
	if missing := s.waitCompleted(before, queuePath, 10*time.Second); len(missing) > 0 {
		return fmt.Errorf("%d submissions were not completed before any disruption", len(missing))
	}
	if trouble {
		if err := submit(&large, jobID("feed", 0), smallTasks(largeTasks), 2*time.Second); err != nil {
			return err
		}
	} else {
		for n := range largeTasks / largePerOther {
			if err := submit(&large, jobID("feed", n), smallTasks(largePerOther), 2*time.Second); err != nil {
				return err
			}
		}
	}
	for n := range largeOthers {
		if err := submit(&after, jobID("bbbb", n), smallTasks(2), 300*time.Millisecond); err != nil {
			return err
		}
		time.Sleep(100 * time.Millisecond)
	}
	s.rec.event("the traffic ends")
	end := time.Now()
	missing := s.waitCompleted(append(after, large...), queuePath, largeFinish)
	time.Sleep(time.Until(end.Add(largeFinish)))
	for _, id := range missing {
		state, status := s.state(id, queuePath)
		if n := s.startsOf(id); n == 0 {
			s.finding("LOST: %s was accepted, nothing of it has started %.0f s after the end of the traffic, and the workers are idle; its state: %q (%d)", id, largeFinish.Seconds(), state, status)
		}
	}
	if len(missing) > 0 {
		s.rec.event("%d of %d submissions are not completed %.0f s after the end of the traffic", len(missing), len(after)+len(large), largeFinish.Seconds())
	}
	return nil
}
