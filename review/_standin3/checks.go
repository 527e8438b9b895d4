package main

import (
	"fmt"
	"sync"
	"time"
)

// checks are those of the rules that hold for each start.
type checks struct {
	s      *site
	mu     sync.Mutex
	broken []string
	queues map[string]map[string]bool
}

func (c *checks) add(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	c.s.rec.add("CHECK %s", text)
	c.mu.Lock()
	c.broken = append(c.broken, text)
	c.mu.Unlock()
}

func (c *checks) list() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.broken
}

func (c *checks) noteRoutes(list []route) {}

func (j *submission) lasting() bool { return j.body.Phases[0].LongRunning }

// draw returns a random submission.
func (c *checks) draw(intn func(int) int, chance func(float64) bool) *submission {
	names := []string{"slot", "roster", "season"}
	q := names[intn(2)]
	n := 1 + intn(3)
	var phases []phase
	for i := range n {
		p := phase{Count: 1 + intn(6), Cpu: 200 + 100*intn(30), MemMb: 256 + 100*intn(10), EstimateMs: 100 + intn(1000)}
		if i > 0 {
			p.After = []int{i - 1}
		}
		p.Checkpointing = chance(0.4)
		switch intn(6) {
		case 0:
			p.Gang = true
			p.Colocated = chance(0.5)
		case 1:
			p.AntiAffinity = 1 + intn(2)
		case 2:
			p.Requires = []string{"a", "b"}[intn(2)]
		case 3:
			p.Speculative = true
		case 4:
			p.Fills = true
			p.Image = fmt.Sprintf("f%d", intn(4))
		case 5:
			p.Affinity = fmt.Sprintf("r%d", intn(3))
		}
		phases = append(phases, p)
	}
	if chance(0.06) {
		q = "season"
		phases = []phase{{Count: 1 + intn(4), Cpu: 1000, MemMb: 1000, EstimateMs: 400, LongRunning: true, AntiAffinity: intn(2), Gang: chance(0.2)}}
	}
	j := newSubmission(q, phases...)
	if chance(0.1) && !phases[0].LongRunning {
		j.body.Times, j.body.IntervalMs = int64(2+intn(3)), int64(200+intn(3000))
		j.body.StartAtMs = time.Now().UnixMilli() + int64(intn(4000)) - 500
	}
	j.hopeless = chance(0.02)
	return j
}

// started checks a start. The caller holds site.mu.
func (c *checks) started(st start, r *runner, a *active, o order) {
	s := c.s
	j := s.jobs[st.task.job]
	if j == nil {
		c.add("UNASKED: %s was not sent", st.task)
		return
	}
	if j.allRefused {
		c.add("REFUSED: %s", st.task)
	}
	if o.Spec != j.body.Spec {
		c.add("UNASKED: %s with another spec", st.task)
	}
	if st.task.step >= len(j.body.Phases) || st.task.index >= j.body.Phases[st.task.step].Count || st.task.round >= max(int(j.body.Times), 1) {
		c.add("UNASKED: %s is no task of the submission", st.task)
		return
	}
	p := j.body.Phases[st.task.step]
	if !j.cancelled.IsZero() && time.Since(j.cancelled) > 3*time.Second && !a.lateOrder {
		c.add("UNASKED?: %s started %v after its cancel", st.task, time.Since(j.cancelled))
	}
	t := s.runs[st.task.String()]
	if !p.Speculative {
		for id := range t.active {
			if id != r.id {
				c.add("TWICE: %s run %d starts on %s beside a run on %s", st.task, st.run, r.id, id)
			}
		}
		if t.doneAcked {
			c.add("TWICE: %s run %d starts on %s after a done end was taken note of", st.task, st.run, r.id)
		}
		for run := range t.doneRuns {
			t.startedAfter[run] = true
		}
	}
	for _, earlier := range p.After {
		for n := range j.body.Phases[earlier].Count {
			e := taskID{st.task.job, st.task.round, earlier, n}
			if er := s.runs[e.String()]; er == nil || !er.wasDone {
				c.add("ORDER: %s before %s", st.task, e)
			}
		}
	}
	if j.body.Times > 0 {
		due := j.body.StartAtMs + int64(st.task.round)*j.body.IntervalMs
		if early := due - time.Now().UnixMilli(); early > 250 {
			c.add("ORDER: %s %d ms early", st.task, early)
		}
	}
	if p.Requires != "" && p.Requires != r.kind {
		c.add("ROUTE: %s needs %s, runner %s is of kind %s", st.task, p.Requires, r.id, r.kind)
	}
	cpu, mem, same := 0, 0, 0
	for _, other := range r.active {
		if !other.spec.Fills {
			cpu += other.spec.Cpu
		}
		mem += other.spec.MemMb
		if other.task.job == st.task.job && other.task.round == st.task.round && other.task.step == st.task.step {
			same++
		}
	}
	if cpu > r.cpu || mem > r.mem {
		c.add("LIMIT: %s on %s: %d of %d, %d of %d, late %v", st.task, r.id, cpu, r.cpu, mem, r.mem, a.lateOrder)
	}
	if p.AntiAffinity > 0 && same > p.AntiAffinity {
		c.add("ROUTE: %s on %s: %d beside, AntiAffinity %d", st.task, r.id, same, p.AntiAffinity)
	}
	attempts := 3
	if j.queue == "roster" {
		attempts = 2
	}
	if t.failedAcked >= attempts && !p.LongRunning {
		c.add("BUDGET: %s run %d after %d failed", st.task, st.run, t.failedAcked)
	}
	if o.Checkpoint != "" && !s.checkpoints[fmt.Sprintf("%s.%d.%d", st.task.job, st.task.round, st.task.step)][o.Checkpoint] {
		c.add("UNASKED: %s with checkpoint %q of something else", st.task, o.Checkpoint)
	}
}

// ended and acked note what has become of a run. The caller holds site.mu.
func (c *checks) ended(a *active, how string) {
	if how == "done" {
		t := c.s.runs[a.task.String()]
		t.wasDone = true
		t.doneRuns[a.run] = true
	}
}

func (c *checks) acked(e ended) {
	t := c.s.runs[e.task.String()]
	if e.lapsed {
		return
	}
	if e.how == "failed" {
		t.failedAcked++
	}
	if e.how == "done" {
		t.doneAcked = true
		if t.startedAfter[e.run] {
			c.add("TWICE: %s started after a done end that is taken note of now", e.task)
		}
	}
}

func (c *checks) checkState(j *submission, state string) {
	s := c.s
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case "gone":
		if j.cancelled.IsZero() && !j.maybeCancelled {
			c.add("LOST: %s is gone", j.id)
		}
	case "completed":
		for k := range max(int(j.body.Times), 1) {
			for i, p := range j.body.Phases {
				for n := range p.Count {
					t := taskID{j.id, k, i, n}
					if r := s.runs[t.String()]; !p.Gang && (r == nil || !r.wasDone) {
						c.add("MIXED: %s is completed without %s", j.id, t)
						return
					}
				}
			}
		}
	case "failed":
		if !j.hopeless {
			most := 0
			for k := range max(int(j.body.Times), 1) {
				for i, p := range j.body.Phases {
					for n := range p.Count {
						if r := s.runs[taskID{j.id, k, i, n}.String()]; r != nil {
							most = max(most, r.failedAcked)
						}
					}
				}
			}
			if most < 2 {
				c.add("LOST: %s is shown as failed without cause (%d)", j.id, most)
			}
		}
	case "aborted":
		if j.cancelled.IsZero() && !j.maybeCancelled {
			c.add("LOST: %s is shown as aborted", j.id)
		}
	}
}

// unfinished returns the submissions with something left to do.
func (c *checks) unfinished(all []*submission) []string {
	s := c.s
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []string
	for _, j := range all {
		if j.accepted.IsZero() || !j.cancelled.IsZero() || j.maybeCancelled || j.hopeless {
			continue
		}
		for k := range max(int(j.body.Times), 1) {
			for i, p := range j.body.Phases {
				gangDone := false
				for n := range p.Count {
					r := s.runs[taskID{j.id, k, i, n}.String()]
					gangDone = gangDone || r != nil && r.wasDone
				}
				for n := range p.Count {
					t := taskID{j.id, k, i, n}
					r := s.runs[t.String()]
					switch {
					case p.LongRunning && (r == nil || len(r.active) == 0 && time.Since(r.lastEnd) > 9*time.Second):
						list = append(list, fmt.Sprintf("%s does not run", t))
					case !p.LongRunning && (r == nil || !r.wasDone) && !(p.Gang && gangDone):
						list = append(list, fmt.Sprintf("%s is not done", t))
					}
				}
			}
		}
	}
	return list
}
