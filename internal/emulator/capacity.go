package emulator

import (
	"fmt"
	"time"
)

// shrinkGrace is how long after a reduction starts may rely on the larger capacity:
// the stable window and a heartbeat of the deployments.
const shrinkGrace = 4500 * time.Millisecond

// capacity is what a worker may use, and what it could use until recently.
type capacity struct {
	cpu, memory int64 // zero if starts are not checked
	earlier     []earlierCapacity
}

// earlierCapacity is a capacity from before a reduction.
type earlierCapacity struct {
	cpu, memory int64
	until       time.Time
}

// SetCapacity sets the capacity of the worker, beyond which no attempt may be started.
func (w *Worker) SetCapacity(cpuMilli, memoryMiB int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := &w.capacity
	if c.cpu > cpuMilli || c.memory > memoryMiB {
		c.earlier = append(c.earlier, earlierCapacity{c.cpu, c.memory, time.Now().Add(shrinkGrace)})
	}
	c.cpu, c.memory = cpuMilli, memoryMiB
}

// checkCapacity checks that a started attempt fits the worker's capacity or one that
// it had until recently. The caller holds the lock.
func (w *Worker) checkCapacity(key string) {
	var cpu, memory int64
	for _, a := range w.active {
		cpu += a.behaviour.CPUMilli
		memory += a.behaviour.MemoryMiB
	}
	c := &w.capacity
	if c.cpu == 0 || cpu <= c.cpu && memory <= c.memory {
		return
	}
	for _, e := range c.earlier {
		if time.Now().Before(e.until) && cpu <= e.cpu && memory <= e.memory {
			return
		}
	}
	w.cluster.mu.Lock()
	defer w.cluster.mu.Unlock()
	w.cluster.violations = append(w.cluster.violations, fmt.Sprintf("%s started on %s: its attempts use %d of %d mCPU and %d of %d MiB",
		key, w.ID, cpu, c.cpu, memory, c.memory))
}
