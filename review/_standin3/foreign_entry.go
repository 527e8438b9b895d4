package main

import (
	"fmt"
	"time"

	"gooseberryreel/internal/loopback"
)

func init() { scenarios["foreign-entry"] = foreignEntry }

// foreignEntry lets another writer put an entry of a service that no config names under the
// id of a runner, once. The runner itself works on and checks in as before. The rule: no
// task has two runs at the same time.
func foreignEntry(s *site, trouble bool) (broken []string, err error) {
	if err := s.publish([]route{queue("roster", "pickbook", 2, 3), queue("season", "pickbook", 0, 3)}, "pickbook"); err != nil {
		return nil, err
	}
	for n := range 8 {
		if _, err := s.addRunner("pickbook", "a", fmt.Sprintf("r%d", n/8), 32000, 128000); err != nil {
			return nil, err
		}
	}
	s.behaviour = func(t taskID, _ int) behaviour {
		if s.jobs[t.job].queue == "season" {
			return behaviour{}
		}
		return behaviour{work: 8 * time.Second}
	}
	s.onStart = func(st start, r *runner, _ *active, _ order) {
		for id := range s.runs[st.task.String()].active {
			if id != r.id {
				broken = append(broken, fmt.Sprintf("TWICE: run %d of %s starts on %s while an earlier run of it works on %s, which is up", st.run, st.task, r.id, id))
			}
		}
	}
	silent, err := loopback.Listen() // the other writer's own address, which speaks no protocol of ours
	if err != nil {
		return nil, err
	}
	defer func() { _ = silent.Close() }()
	if err := s.startProcesses(3); err != nil {
		return nil, err
	}
	season := newSubmission("season", phase{Count: 6, Cpu: 6400, MemMb: 13000, EstimateMs: 400, LongRunning: true, AntiAffinity: 1})
	if err := s.submit(season); err != nil {
		return nil, err
	}
	if !s.waitFor(15*time.Second, func() bool { return len(s.starts) == 6 }) {
		return nil, fmt.Errorf("not all tasks were started")
	}
	time.Sleep(3 * time.Second)
	roster := newSubmission("roster", phase{Count: 24, Cpu: 3500, MemMb: 6400, EstimateMs: 8000})
	if err := s.submit(roster); err != nil {
		return nil, err
	}
	if !s.waitFor(5*time.Second, func() bool { return len(s.starts) == 30 }) {
		return nil, fmt.Errorf("not all tasks were started")
	}
	time.Sleep(2500 * time.Millisecond) // until the runners have listed them
	if trouble {
		s.mu.Lock()
		r := s.runners[0]
		for _, other := range s.runners {
			if len(other.active) > len(r.active) {
				r = other
			}
		}
		entry := map[string]any{
			"Service": "disk-monitor", "Address": silent.Addr().String(), "Zone": r.zone, "Version": "3.1", "Slots": 1, "State": "ready", "ColdLeftMs": 0,
			"Capacity": map[string]any{"Cpu": 1000, "MemMb": 1000, "Gpu": 0}, "Labels": []string{"monitor", r.rack}, "Seq": 1, "born": time.Now().Add(-2 * time.Second).UnixMilli(),
		}
		s.rec.add("another writer: servers/%s %v; %d runs work there", r.id, entry, len(r.active))
		err := s.store.PutJSON("keyed.servers", r.id, entry)
		s.mu.Unlock()
		if err != nil {
			return nil, err
		}
	}
	time.Sleep(12 * time.Second)
	s.state(roster)
	s.mu.Lock()
	defer s.mu.Unlock()
	return broken, nil
}
