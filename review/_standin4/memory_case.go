package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// memoryMiB is the memory of a machine of the site.
const memoryMiB = 284

// residentMiB returns the resident memory of the running process, 0 if there is none.
func (i *process) residentMiB() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.cmd == nil || i.cmd.Process == nil {
		return 0
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", i.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(status), "VmRSS:")
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return 0
	}
	kib, _ := strconv.Atoi(fields[0])
	return kib >> 10
}

// limitMemory kills the processes that exceed the memory of their machine, as the platform
// does.
func (p *platform) limitMemory(list []*process) {
	for {
		time.Sleep(20 * time.Millisecond)
		for _, i := range list {
			mib := i.residentMiB()
			p.mu.Lock()
			p.mostMiB = max(p.mostMiB, mib)
			p.mu.Unlock()
			if mib > memoryMiB {
				p.logf("%s has %d MiB", i.name, mib)
				p.mu.Lock()
				p.memoryKills++
				p.mu.Unlock()
				i.kill()
			}
		}
	}
}

// memoryCase submits jobs with many bytes, then restarts all processes in turn as planned
// work, and submits small jobs. Without trouble the first jobs have the same steps with
// short image names.
func memoryCase(p *platform, dir string, trouble bool) {
	const workers, jobs, steps, small, perSecond = 8, 1000, 64, 10, 27
	const taskTime = 100 * time.Second
	p.bounded = true
	for n := range workers {
		p.startWorker(fmt.Sprintf("i-%08x", 0xa0+n), zones[n%3], fmt.Sprintf("r1-%d", n/4), "a", resources{32000, 128000, 0}, false, "")
	}
	list := p.deployment(dir, 3)
	defer closeAll(list)
	go p.limitMemory(list)
	c := newClient(p, list)
	r := rand.New(rand.NewPCG(1, 1))
	image := "img"
	if trouble {
		image = strings.Repeat("x", 3900)
	}
	var group sync.WaitGroup
	var all []*job
	submit := func(j *job) {
		all = append(all, j)
		group.Go(func() { c.submit(j) })
	}
	for range jobs {
		j := &job{id: newID(r), prefix: plainQueue, behaviour: func(taskName, int) (time.Duration, bool) { return taskTime, false }}
		for n := range steps {
			s := step{Count: 1, Cpu: 100, MemMb: 100, EstimateMs: taskTime.Milliseconds(), Image: image}
			if n > 0 {
				s.After = []int{n - 1}
			}
			j.steps = append(j.steps, s)
		}
		submit(j)
		time.Sleep(time.Second / perSecond)
	}
	group.Wait()
	p.mu.Lock()
	p.logf("all jobs submitted, the most was %d MiB", p.mostMiB)
	p.mu.Unlock()
	for _, i := range list {
		i.signal(syscall.SIGTERM)
		time.Sleep(4 * time.Second)
	}
	time.Sleep(4 * time.Second)
	for range small {
		submit(&job{
			id: newID(r), prefix: plainQueue, steps: []step{{Count: 2, Cpu: 1000, MemMb: 1000, EstimateMs: 500}},
			behaviour: func(taskName, int) (time.Duration, bool) { return 500 * time.Millisecond, false },
		})
	}
	// A client that waits for longer has given up.
	time.Sleep(8*time.Second + finish)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.logf("%d processes exceeded %d MiB, the most was %d MiB", p.memoryKills, memoryMiB, p.mostMiB)
	idle, never, accepted := 0, 0, 0
	for n, j := range all {
		if j.acceptedAt.IsZero() {
			continue
		}
		accepted++
		if time.Since(j.acceptedAt) < finish || p.hasRun(j, 3*time.Second) {
			continue
		}
		idle++
		if n >= jobs {
			never++
		}
	}
	if idle > 0 {
		p.violation("LOST", "%d of %d accepted jobs have had nothing running for 3 s, %d of them small ones that never ran; %d processes exceeded %d MiB", idle, accepted, never, p.memoryKills, memoryMiB)
	}
}

// hasRun reports whether a job is done, or had a run within a time. The caller holds p.mu.
func (p *platform) hasRun(j *job, within time.Duration) bool {
	done := true
	for n, s := range j.steps {
		for k := range s.Count {
			name := taskName{j.id, 0, n, k}.String()
			if len(p.running[name]) > 0 {
				return true
			}
			done = done && !p.doneAt[name].IsZero()
		}
	}
	return done || time.Since(p.lastRun[j.id]) < within
}
