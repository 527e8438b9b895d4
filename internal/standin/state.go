package standin

import (
	"fmt"
	"sync"
	"time"

	"gooseberryreel/internal/remote"
	"gooseberryreel/internal/remote/wire"
)

// maxCheckpoints limits the number of saved checkpoints. Further ones aren't saved.
const maxCheckpoints = 100_000

// siteState is the state that the workers and targets of a site share.
type siteState struct {
	settings  Site
	history   *recorder
	workloads map[string]Workload

	mu          sync.Mutex
	slowdowns   []Slowdown
	checkpoints map[string]time.Duration // work done, by checkpoint name
}

func newSiteState(settings Site) *siteState {
	s := &siteState{
		settings:    settings,
		history:     &recorder{limit: settings.HistoryOperations},
		workloads:   make(map[string]Workload),
		slowdowns:   settings.Slowdowns,
		checkpoints: make(map[string]time.Duration),
	}
	for _, w := range settings.Workloads {
		s.workloads[w.Name] = w
	}
	return s
}

// newTask returns a running task, resumed from its checkpoint if that was saved.
func (s *siteState) newTask(request wire.StartRequest, now time.Time) *task {
	w := s.workloads[request.Workload]
	setDefault(&w.RunMS, defaultTaskRunMS)
	setDefault(&w.CPUMilli, request.CPUMilli)
	setDefault(&w.MemoryMiB, request.MemoryMiB)
	setDefault(&w.Accelerators, request.Accelerators)
	s.mu.Lock()
	workDone := s.checkpoints[request.Checkpoint]
	s.mu.Unlock()
	return &task{
		ref:             request.TaskRef,
		workload:        request.Workload,
		needs:           request.Resources,
		usage:           wire.Resources{CPUMilli: w.CPUMilli, MemoryMiB: w.MemoryMiB, Accelerators: w.Accelerators},
		runTime:         time.Duration(w.RunMS) * time.Millisecond,
		fails:           w.Fails,
		state:           remote.TaskRunning,
		checkpoint:      request.Checkpoint,
		throttlePercent: unthrottledPercent,
		started:         now,
		leaseEnd:        now.Add(time.Duration(request.LeaseMS) * time.Millisecond),
		advancedAt:      now,
		workDone:        workDone,
	}
}

// saveCheckpoint saves the work done by a task and returns the checkpoint's name.
func (s *siteState) saveCheckpoint(t *task) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	name := fmt.Sprintf("%s/%d/%d", t.ref.Job, t.ref.Attempt, t.workDone.Milliseconds())
	if len(s.checkpoints) < maxCheckpoints {
		s.checkpoints[name] = t.workDone
	}
	return name
}

// slowdown returns the percentage that one unthrottled task of a workload adds to the
// service time of a colocated target.
func (s *siteState) slowdown(workload, service string, busy, slots int) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range s.slowdowns {
		if d.Workload == workload && d.Service == service {
			return d.IdlePercent + (d.FullPercent-d.IdlePercent)*int64(min(busy, slots))/int64(max(slots, 1))
		}
	}
	return 0
}

func (s *siteState) setSlowdowns(slowdowns []Slowdown) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slowdowns = append([]Slowdown(nil), slowdowns...)
}
