package main

import (
	"fmt"
	"time"
)

const (
	routeJobs   = 10
	routeFinish = 14 * time.Second // finish_s
)

// playRoute plays a deployment in which the operator replaces a route by one with another
// name and the same host, path and service while accepted submissions are at work.
func playRoute(s *site, trouble bool) error {
	s.publishConfig(queue("r-first", queuePath), queue("r-other", "/other/"))
	if err := s.start(6, 32000, 125000, 3, bounds()); err != nil {
		return err
	}
	step := func(after ...int) map[string]any {
		m := map[string]any{"Count": 2, "Cpu": 500, "MemMb": 256, "EstimateMs": 3000}
		if len(after) > 0 {
			m["After"] = after
		}
		return m
	}
	var ids []string
	for n := range routeJobs {
		id := jobID("70e5", n)
		s.mu.Lock()
		s.durations[id] = 3 * time.Second
		s.mu.Unlock()
		if !s.submit(id, queuePath, map[string]any{"Spec": "book a bus", "Phases": []any{step(), step(0)}}, 10) {
			return fmt.Errorf("submission %s was not accepted", id)
		}
		ids = append(ids, id)
	}
	time.Sleep(time.Second)
	for _, id := range ids {
		if s.startsOf(id) == 0 {
			return fmt.Errorf("submission %s did not start before the change", id)
		}
	}
	if trouble {
		s.publishConfig(queue("r-second", queuePath), queue("r-other", "/other/"))
	}
	time.Sleep(3 * time.Second)
	// A submission that is handed in now is served by the new route.
	probe := jobID("70e6", 0)
	if !s.submit(probe, queuePath, map[string]any{"Spec": "book a bus", "Phases": []any{step()}}, 10) {
		return fmt.Errorf("a new submission was not accepted after the change")
	}
	s.rec.event("the traffic ends")
	end := time.Now()
	missing := s.waitCompleted(append([]string{probe}, ids...), queuePath, routeFinish)
	time.Sleep(time.Until(end.Add(routeFinish)))
	for _, id := range missing {
		state, status := s.state(id, queuePath)
		s.finding("LOST: %s was accepted and has nothing running %.0f s after the end of the traffic, though the turn of its second step has come and the workers are idle; its state: %q (%d), %d of 4 starts, at work: %d",
			id, routeFinish.Seconds(), state, status, s.startsOf(id), s.runningRuns(id))
	}
	return nil
}
