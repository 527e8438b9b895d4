package main

import (
	"fmt"
	"time"

	"gooseberryreel/internal/emulator"
)

const (
	// expiryStatusS replaces the bound status_s of 120 s, since a script may run for
	// 120 s only.
	expiryStatusS = 20
	// expiryOutage is how long a part of the store is down: the partitions with these
	// numbers, a quarter of the 16 of each topic.
	expiryOutage            = 4500 * time.Millisecond
	firstDown, firstUpAfter = 4, 8
	expiryJobs              = 40
)

// playExpiry plays a deployment in which submissions are completed, and a part of the
// store is down for some seconds when their retention ends. Then all processes are
// restarted in turn, as for an update.
func playExpiry(s *site, trouble bool) error {
	limits := bounds()
	limits["status_s"] = expiryStatusS
	s.publishConfig(queue("q", queuePath))
	if err := s.start(6, 32000, 125000, 3, limits); err != nil {
		return err
	}
	var ids []string
	for n := range expiryJobs {
		id := jobID("b00c", n)
		if !s.submit(id, queuePath, map[string]any{"Spec": "reserve rows", "Phases": []any{map[string]any{"Count": 2, "Cpu": 500, "MemMb": 256, "EstimateMs": 300}}}, 10) {
			return fmt.Errorf("submission %s was not accepted", id)
		}
		ids = append(ids, id)
	}
	first := time.Now()
	if missing := s.waitCompleted(ids, queuePath, 12*time.Second); len(missing) > 0 {
		return fmt.Errorf("%d submissions were not completed", len(missing))
	}
	for _, id := range ids {
		if n := s.startsOf(id); n != 2 {
			return fmt.Errorf("submission %s had %d starts before any disruption", id, n)
		}
	}
	// The submissions were completed between their hand-in and now.
	time.Sleep(time.Until(first.Add(expiryStatusS*time.Second - 2500*time.Millisecond)))
	if trouble {
		s.rec.event("partitions %d to %d of the %d partitions of each topic are down and answer 503", firstDown, firstUpAfter-1, partitions)
		s.endpoint.InjectPartitions(func(_ string, part int) emulator.Fault {
			if part >= firstDown && part < firstUpAfter {
				return emulator.FaultUnavailable
			}
			return emulator.FaultNone
		})
	}
	time.Sleep(expiryOutage)
	if trouble {
		s.endpoint.InjectPartitions(nil)
		s.rec.event("all partitions of the store are up")
	}
	time.Sleep(5 * time.Second)
	for _, p := range s.processes {
		if err := p.restart(6 * time.Second); err != nil {
			return err
		}
		time.Sleep(2 * time.Second)
	}
	time.Sleep(6 * time.Second)
	return nil
}
