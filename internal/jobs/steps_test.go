package jobs

import (
	"fmt"
	"time"

	"pgregory.net/rapid"
)

// randomStep performs one random operation, fault or interval.
func (s *harness) randomStep(t *rapid.T, submitted *[]string) {
	switch op := rapid.IntRange(0, 23).Draw(t, "op"); op {
	case 0, 1:
		if len(*submitted) > 0 && rapid.IntRange(0, 3).Draw(t, "again") == 0 {
			s.submit(rapid.SampledFrom(*submitted).Draw(t, "id"), "")
			return
		}
		id := fmt.Sprintf("j%03d", len(*submitted))
		name := rapid.SampledFrom([]string{"small", "small", "large", "alert", "giant", "capped"}).Draw(t, "name")
		s.submit(id, name)
		*submitted = append(*submitted, id)
	case 2:
		if len(*submitted) > 0 {
			s.owner.Cancel(rapid.SampledFrom(*submitted).Draw(t, "id"), s.now)
			s.collectOutput()
		}
	case 3:
		s.logDown = !s.logDown
	case 4:
		if !s.logDown && rapid.IntRange(0, 3).Draw(t, "takeover") == 0 {
			s.takeOver()
		}
	case 5:
		w := s.workers[fmt.Sprintf("w%d", rapid.IntRange(0, len(s.workers)-1).Draw(t, "worker"))]
		w.silent = !w.silent
	case 6:
		s.evictOne(t)
	case 7:
		s.advance(time.Duration(rapid.IntRange(1, 8).Draw(t, "seconds")) * time.Second)
	case 8, 9, 10, 11, 12, 13, 14:
		if len(s.calls) > 0 {
			i := rapid.IntRange(0, len(s.calls)-1).Draw(t, "call")
			s.deliver(i, rapid.IntRange(0, 5).Draw(t, "lose") == 0, rapid.IntRange(0, 5).Draw(t, "dup") == 0)
		}
	case 15:
		if len(s.calls) > 0 {
			s.loseAnswer(rapid.IntRange(0, len(s.calls)-1).Draw(t, "late"))
		}
	case 16, 17:
		s.append()
		s.readStream()
	case 18, 19:
		// Fault-free intervals, so that schedules reach later states of a job.
		for range rapid.IntRange(1, 20).Draw(t, "calm") {
			s.step()
		}
	default:
		s.advance(100 * time.Millisecond)
		s.updateView(op != 20)
		s.tick()
	}
}

func (s *harness) evictOne(t *rapid.T) {
	ids := sortedKeys(s.owner.jobs)
	if len(ids) == 0 {
		return
	}
	j := s.owner.jobs[rapid.SampledFrom(ids).Draw(t, "evict")]
	s.owner.evict(j, "test")
	s.owner.advance(j, s.now)
	s.collectOutput()
}
