package main

import (
	"fmt"
	"time"
)

const (
	// crashTimes is how often the two workers of one kind crash, crashDown how long they
	// are down, and crashPeriod the time between two crashes.
	crashTimes  = 6
	crashDown   = time.Second
	crashPeriod = 4 * time.Second
	crashCalm   = 14 * time.Second
)

// playCrashes plays a deployment of 16 workers, of which two are of the kind that a
// lasting and a plain submission require. These two, an eighth of all, crash at the same
// time and come back, some times in a row. Then all is calm.
func playCrashes(s *site, trouble bool) error {
	s.publishConfig(queue("q", queuePath))
	var special []*worker
	for n := range 2 {
		w, err := newWorker(s, fmt.Sprintf("i-g%03d", n), "127.0.0.1:0", 32000, 125000, "g", "r3")
		if err != nil {
			return err
		}
		special = append(special, w)
		s.workers = append(s.workers, w)
	}
	if err := s.start(14, 32000, 125000, 3, bounds()); err != nil {
		return err
	}
	lasting, plain := jobID("1a57", 0), jobID("b47c", 0)
	s.mu.Lock()
	s.durations[lasting], s.durations[plain] = 0, 3*time.Second
	s.mu.Unlock()
	step := map[string]any{"Count": 1, "Cpu": 6400, "MemMb": 13000, "EstimateMs": 3000, "Requires": "g"}
	watch := map[string]any{"LongRunning": true}
	for k, v := range step {
		watch[k] = v
	}
	if !s.submit(lasting, queuePath, map[string]any{"Spec": "watch the rows", "Phases": []any{watch}}, 10) {
		return fmt.Errorf("the lasting submission was not accepted")
	}
	if !s.submit(plain, queuePath, map[string]any{"Spec": "reserve rows", "Phases": []any{step}}, 10) {
		return fmt.Errorf("the plain submission was not accepted")
	}
	time.Sleep(time.Second)
	if s.startsOf(lasting) == 0 || s.startsOf(plain) == 0 {
		return fmt.Errorf("the submissions did not start before any disruption")
	}
	for n := range crashTimes {
		if !trouble {
			time.Sleep(crashPeriod)
			continue
		}
		s.rec.event("crash %d of %d of both workers of kind g", n+1, crashTimes)
		for _, w := range special {
			w.crash()
		}
		time.Sleep(crashDown)
		for i, w := range special {
			next, err := newWorker(s, w.id, w.address, w.cpuMilli, w.memMiB, w.labels...)
			if err != nil {
				return err
			}
			special[i] = next
			s.workers = append(s.workers, next)
		}
		time.Sleep(crashPeriod - crashDown)
	}
	s.rec.event("all is calm from now on")
	time.Sleep(crashCalm)
	for id, want := range map[string]string{lasting: "running", plain: "completed"} {
		state, status := s.state(id, queuePath)
		s.rec.event("client: GET %s -> %d %q, %d starts", id, status, state, s.startsOf(id))
		switch {
		case state == "failed":
			s.finding("LOST: %s is shown as failed, though no run of it has ended failed", id)
		case state != want:
			s.finding("LOST: %s is shown as %q (%d) %.0f s after the last crash, want %q", id, state, status, crashCalm.Seconds(), want)
		case id == lasting && s.runningRuns(id) == 0:
			s.finding("LOST: %s does not run, with room for it", id)
		}
	}
	return nil
}
