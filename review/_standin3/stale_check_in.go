package main

import (
	"fmt"
	"time"
)

func init() { scenarios["stale-check-in"] = staleCheckIn }

// staleCheckIn lets the store carry out one check-in of a runner late, after the next ones,
// which say that the runner has less room. The rule: no start brings a runner over its
// room.
func staleCheckIn(s *site, trouble bool) (broken []string, err error) {
	if err := s.publish([]route{queue("roster", "pickbook", 2, 3)}, "pickbook"); err != nil {
		return nil, err
	}
	for range 4 {
		if _, err := s.addRunner("pickbook", "a", "r0", 32000, 128000); err != nil {
			return nil, err
		}
	}
	shrunk := time.Time{}
	s.behaviour = func(taskID, int) behaviour { return behaviour{work: 1700 * time.Millisecond} }
	s.onStart = func(st start, r *runner, _ *active, _ order) {
		cpu := 0
		for _, a := range r.active {
			cpu += a.spec.Cpu
		}
		if cpu > r.cpu && time.Since(shrunk) > 4500*time.Millisecond {
			broken = append(broken, fmt.Sprintf("LIMIT: %s starts on %s: its runs request %d of %d, %d ms after it said so", st.task, r.id, cpu, r.cpu, time.Since(shrunk).Milliseconds()))
		}
	}
	if err := s.startProcesses(3); err != nil {
		return nil, err
	}
	for range 4 {
		if err := s.submit(newSubmission("roster", phase{Count: 100, Cpu: 3500, MemMb: 1000, EstimateMs: 1700})); err != nil {
			return nil, err
		}
	}
	time.Sleep(3 * time.Second)
	s.mu.Lock()
	r := s.runners[0]
	stale := r.entry()
	r.cpu = 14000
	shrunk = time.Now()
	r.seq++
	r.checkIn()
	s.mu.Unlock()
	s.rec.add("runner: %s has room for 14000 from now on", r.id)
	time.Sleep(5500 * time.Millisecond)
	if trouble {
		s.rec.add("store: the check-in %v of %s, which got no answer, is carried out", stale["Seq"], r.id)
		if err := s.store.PutJSON("keyed.servers", r.id, stale); err != nil {
			return nil, err
		}
	}
	time.Sleep(6 * time.Second)
	s.mu.Lock()
	defer s.mu.Unlock()
	return broken, nil
}
