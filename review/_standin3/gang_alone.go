package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { scenarios["gang-alone"] = gangAlone }

// gangAlone hands gangs in beside submissions that can never be done: each of their tasks
// fails. The rule: no run of a gang ends alone with nothing else near.
func gangAlone(s *site, trouble bool) (broken []string, err error) {
	if err := s.publish([]route{queue("gangs", "pickbook", 0, 3), queue("roster", "pickbook", 2, 3)}, "pickbook"); err != nil {
		return nil, err
	}
	for n := range 10 {
		if _, err := s.addRunner("pickbook", "a", fmt.Sprintf("r%d", n/8), 32000, 128000); err != nil {
			return nil, err
		}
	}
	if err := s.startProcesses(3); err != nil {
		return nil, err
	}
	s.behaviour = func(t taskID, run int) behaviour {
		if s.jobs[t.job].queue == "gangs" {
			return behaviour{work: 300 * time.Millisecond}
		}
		return behaviour{work: 120 * time.Millisecond, how: "failed"}
	}
	first := newSubmission("gangs", phase{Count: 4, Cpu: 2300, MemMb: 4600, EstimateMs: 300, Gang: true, AntiAffinity: 1})
	if err := s.submit(first); err != nil {
		return nil, err
	}
	if !s.waitFor(15*time.Second, func() bool { return len(s.starts) >= 4 }) {
		return nil, fmt.Errorf("the first submission was not started")
	}
	end := time.Now().Add(70 * time.Second)
	var group sync.WaitGroup
	every := func(d time.Duration, f func()) {
		group.Go(func() {
			for time.Now().Before(end) {
				go f()
				time.Sleep(d)
			}
		})
	}
	var mu sync.Mutex
	make := func(queue string, p phase) *submission {
		mu.Lock()
		defer mu.Unlock()
		return newSubmission(queue, p)
	}
	every(150*time.Millisecond, func() {
		_ = s.submit(make("gangs", phase{Count: 4, Cpu: 2300, MemMb: 4600, EstimateMs: 300, Gang: true, AntiAffinity: 1}))
	})
	if trouble {
		every(400*time.Millisecond, func() {
			_ = s.submit(make("roster", phase{Count: 8, Cpu: 3500, MemMb: 6400, EstimateMs: 1700}))
		})
	}
	group.Wait()
	time.Sleep(5 * time.Second)
	s.mu.Lock()
	defer s.mu.Unlock()
	gangs := 0
	for _, st := range s.starts {
		if s.jobs[st.task.job].queue == "gangs" {
			gangs++
		}
	}
	for name, runs := range s.runs {
		for _, how := range runs.ended {
			if how == "alone" {
				broken = append(broken, fmt.Sprintf("GANG: a run of %s ended alone", name))
			}
		}
	}
	s.rec.add("%d starts of members of gangs, %d of them ended alone", gangs, len(broken))
	return broken, nil
}
