package soak

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Result counts what a run did and lists what it found.
type Result struct {
	Findings  []string // violated guarantees, and failures of the soak itself
	Faults    int
	Jobs      int
	Accepted  int
	Refused   int
	Cancelled int
	Starts    int
}

// startTimeout only ends a run whose processes never become ready.
const startTimeout = 60 * time.Second

// settleTime is how long ready processes may take after the last fault before
// the final states of the jobs are checked.
const settleTime = time.Second

// Run starts the processes, injects the faults of one seed while callers submit
// jobs, and checks all jobs at the end. The error says that the processes could
// not be started or never became ready.
func Run(o Options) (Result, error) {
	if o.Print == nil {
		o.Print = func(string, ...any) {}
	}
	s, err := newSite(o)
	defer s.close()
	if err != nil {
		return Result{}, err
	}
	if !s.waitReady(startTimeout) {
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
	s.injectFaults(plan)
	stop()
	group.Wait()
	if !s.waitReady(startTimeout) {
		s.addFinding("the processes are not ready again %v after the last fault", startTimeout)
	}
	time.Sleep(settleTime)
	s.waitForJobs(callers[0])
	return s.result(len(plan)), nil
}

// injectFaults carries out a plan and returns when all its faults have ended.
// Faults overlap; each ends after its own duration.
func (s *site) injectFaults(plan []Fault) {
	started := time.Now()
	var ends sync.WaitGroup
	for _, f := range plan {
		time.Sleep(time.Until(started.Add(f.At)))
		s.opts.Print("%s", f)
		end := s.inject(f)
		ends.Go(func() {
			time.Sleep(f.For)
			end()
		})
	}
	time.Sleep(time.Until(started.Add(s.opts.Duration)))
	ends.Wait()
}

// waitForJobs cancels the long-running jobs and checks the state of each job until
// it has ended or drainTimeout has passed.
func (s *site) waitForJobs(c *caller) {
	end := time.Now().Add(drainTimeout)
	for id, j := range s.jobs {
		if j.longRunning && !j.acceptedAt().IsZero() && j.cancelledAt.IsZero() {
			c.cancel(j)
		}
		for !c.checkState(j) {
			if time.Now().After(end) {
				s.addFinding("job %s: has not ended %v after the last fault", id, drainTimeout)
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

func (s *site) result(faults int) Result {
	r := Result{Findings: append(s.findings, s.cluster.Violations()...), Faults: faults, Jobs: len(s.jobs)}
	refused := make(map[string]bool)
	for id, j := range s.jobs {
		switch {
		case j.refused:
			r.Refused++
			refused[id] = true
		case !j.accepted.IsZero():
			r.Accepted++
		}
		if !j.cancelledAt.IsZero() {
			r.Cancelled++
		}
	}
	for _, start := range s.cluster.Starts() {
		r.Starts++
		if id, _, _ := strings.Cut(start.Task, "."); refused[id] {
			r.Findings = append(r.Findings, start.Task+" was started, but every attempt to submit its job was refused")
		}
	}
	for _, p := range s.processes {
		p.mu.Lock()
		for _, exit := range p.unexpectedExits {
			r.Findings = append(r.Findings, exit.Error())
		}
		p.mu.Unlock()
	}
	return r
}
