package soak

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Result is what a run has shown.
type Result struct {
	Findings  []string // broken promises
	Faults    int
	Jobs      int
	Accepted  int
	Refused   int
	Cancelled int
	Starts    int
}

// startLimit only ends a run whose processes never become ready.
const startLimit = 60 * time.Second

// settleTime is how long processes without disturbances may still take until
// the last looks are checked.
const settleTime = time.Second

// Run plays one seed.
func Run(o Options) (Result, error) {
	if o.Print == nil {
		o.Print = func(string, ...any) {}
	}
	s, err := newSite(o)
	defer s.close()
	if err != nil {
		return Result{}, err
	}
	if !s.waitReady(startLimit) {
		return Result{}, errors.New("the processes never became ready")
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var group sync.WaitGroup
	callers := make([]*caller, o.Callers)
	for n := range callers {
		callers[n] = newCaller(s, n)
		group.Go(func() { callers[n].run(ctx) })
	}
	plan := Plan(o)
	s.play(plan)
	stop()
	group.Wait()
	if !s.waitReady(startLimit) {
		s.find("the processes are not ready again %v after the disturbances", startLimit)
	}
	time.Sleep(settleTime)
	s.drain(callers[0])
	return s.result(len(plan)), nil
}

// play carries a plan out. Disturbances overlap; each ends by itself.
func (s *site) play(plan []Fault) {
	begun := time.Now()
	var ends sync.WaitGroup
	for _, e := range plan {
		time.Sleep(time.Until(begun.Add(e.At)))
		s.opts.Print("%s", e)
		end := s.apply(e)
		ends.Go(func() {
			time.Sleep(e.For)
			end()
		})
	}
	time.Sleep(time.Until(begun.Add(s.opts.Duration)))
	ends.Wait()
}

// drain looks at all jobs until each is at its end.
func (s *site) drain(c *caller) {
	end := time.Now().Add(drainLimit)
	for id, j := range s.jobs {
		if j.lasting && !j.acceptedAt().IsZero() && j.cancelled.IsZero() {
			c.cancel(j)
		}
		for !c.look(j) {
			if time.Now().After(end) {
				s.find("job %s: not at its end %v after the disturbances", id, drainLimit)
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

func (s *site) result(events int) Result {
	r := Result{Findings: append(s.findings, s.runs.Violations()...), Faults: events, Jobs: len(s.jobs)}
	refused := make(map[string]bool)
	for id, j := range s.jobs {
		switch {
		case j.refused:
			r.Refused++
			refused[id] = true
		case !j.accepted.IsZero():
			r.Accepted++
		}
		if !j.cancelled.IsZero() {
			r.Cancelled++
		}
	}
	for _, start := range s.runs.Starts() {
		r.Starts++
		if id, _, _ := strings.Cut(start.Task, "."); refused[id] {
			r.Findings = append(r.Findings, start.Task+" was started, and every try to hand its job in was refused")
		}
	}
	for _, p := range s.processes {
		p.mu.Lock()
		for _, exit := range p.exits {
			r.Findings = append(r.Findings, exit.Error())
		}
		p.mu.Unlock()
	}
	return r
}
