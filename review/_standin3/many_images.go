package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { scenarios["many-images"] = manyImages }

// memoryLimit is MemoryMb of the machines. The platform kills a process that exceeds it.
const memoryLimit = 284 << 20

const (
	// The traffic of the queue, and the most steps that its submissions have.
	submissionEvery = 147 * time.Millisecond // 6.8 a second
	stepsEach       = 5
	trafficTime     = 74 * time.Second
	settleTime      = 25 * time.Second
)

// residentBytes returns the memory of a process, 0 if it has ended.
func residentBytes(pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize())
}

// enforceMemory kills each process that exceeds the memory of its machine and starts it
// again, as the platform does, until done is closed. It returns the ends by process.
func (s *site) enforceMemory(done <-chan struct{}) (ends func() map[string]int, most func() int64) {
	var mu sync.Mutex
	counts := make(map[string]int)
	highest := int64(0)
	for _, p := range s.processes {
		go func() {
			for {
				select {
				case <-done:
					return
				case <-time.After(20 * time.Millisecond):
				}
				size := residentBytes(p.cmd.Process.Pid)
				mu.Lock()
				highest = max(highest, size)
				mu.Unlock()
				if size <= memoryLimit {
					continue
				}
				s.rec.add("platform: %s has %d MiB, over MemoryMb 284: killed", p.name, size>>20)
				mu.Lock()
				counts[p.name]++
				mu.Unlock()
				s.restartProcess(p)
			}
		}()
	}
	ends = func() map[string]int {
		mu.Lock()
		defer mu.Unlock()
		list := make(map[string]int)
		for name, n := range counts {
			list[name] = n
		}
		return list
	}
	most = func() int64 { mu.Lock(); defer mu.Unlock(); return highest }
	return ends, most
}

// manyImages hands submissions of fillers in whose steps have images of their own, beside
// services of five images.
func manyImages(s *site, trouble bool) (broken []string, err error) {
	if err := s.publish([]route{queue("roster", "pickbook", 2, 3), queue("season", "pickbook", 0, 3)}, "pickbook"); err != nil {
		return nil, err
	}
	for n := range 8 {
		if _, err := s.addRunner("pickbook", "a", fmt.Sprintf("r%d", n/8), 32000, 128000); err != nil {
			return nil, err
		}
	}
	s.restartDelay = 2 * time.Second
	s.behaviour = func(t taskID, _ int) behaviour {
		if s.jobs[t.job].queue == "season" {
			return behaviour{tail: func(*runner) int { return 4 }}
		}
		return behaviour{work: 300 * time.Millisecond}
	}
	if err := s.startProcesses(3); err != nil {
		return nil, err
	}
	for n := range 5 {
		j := newSubmission("season", phase{Count: 6, Cpu: 1600, MemMb: 2000, EstimateMs: 400, LongRunning: true, TargetMs: 18, Image: fmt.Sprintf("season-%d", n)})
		if err := s.submit(j); err != nil {
			return nil, err
		}
	}
	if !s.waitFor(20*time.Second, func() bool { return len(s.starts) >= 30 }) {
		return nil, fmt.Errorf("not all services were started")
	}
	done := make(chan struct{})
	ends, most := s.enforceMemory(done)
	var jobs []*submission
	var group sync.WaitGroup
	from := time.Now()
	for n := 0; time.Since(from) < trafficTime; n++ {
		var steps []phase
		for step := range stepsEach {
			image := fmt.Sprintf("roster-%d", (n+step)%9)
			if trouble {
				image = fmt.Sprintf("roster-%d:build-%d", step, n)
			}
			p := phase{Count: 2, Cpu: 500, MemMb: 100, EstimateMs: 300, Fills: true, Image: image}
			if step > 0 {
				p.After = []int{step - 1}
			}
			steps = append(steps, p)
		}
		j := newSubmission("roster", steps...)
		jobs = append(jobs, j)
		group.Go(func() { _ = s.submitAny(j, n) })
		if n%50 == 49 {
			s.rec.add("%d submissions with %d steps, most memory of a process %d MiB", n+1, stepsEach*(n+1), most()>>20)
		}
		time.Sleep(time.Until(from.Add(time.Duration(n+1) * submissionEvery)))
	}
	group.Wait()
	s.rec.add("end of the traffic")
	time.Sleep(settleTime)
	close(done)
	counts := ends()
	s.rec.add("most memory of a process %d MiB, ends %v", most()>>20, counts)
	total := 0
	for _, n := range counts {
		total += n
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	waiting, idle := 0, 0
	for _, j := range jobs {
		last := s.runs[taskID{j.id, 0, stepsEach - 1, 1}.String()]
		if j.accepted.IsZero() || last != nil && last.wasDone {
			continue
		}
		waiting++
		if s.idleFor(j) > idleBound {
			idle++
		}
	}
	if idle > 0 {
		broken = append(broken, fmt.Sprintf("LOST: %d accepted submissions have had nothing running for over 3 s, %v after the end of the traffic, on idle runners", idle, settleTime))
	}
	if total > 0 {
		broken = append(broken, fmt.Sprintf("Fault: processes ended %d times with more memory than their machine has: %v; %d accepted submissions are not done", total, counts, waiting))
	}
	return broken, nil
}

// idleFor returns for how long a submission has had nothing running. The caller holds
// site.mu.
func (s *site) idleFor(j *submission) time.Duration {
	newest := j.accepted
	for i, p := range j.body.Phases {
		for n := range p.Count {
			r := s.runs[taskID{j.id, 0, i, n}.String()]
			switch {
			case r == nil:
			case len(r.active) > 0:
				return 0
			case r.lastEnd.After(newest):
				newest = r.lastEnd
			}
		}
	}
	return time.Since(newest)
}
