package emulator

import (
	"fmt"
	"time"
)

const (
	// crashesBeforeLimit and startsAfterLimit are the limit on starts of a task that
	// crashes its workers: after the third crash it may be started twice more.
	crashesBeforeLimit = 3
	startsAfterLimit   = 2
)

// crashCounts counts the crashes of workers under tasks and the starts after them.
type crashCounts struct {
	under       map[string]int // by task
	late        map[string]int // starts after crashesBeforeLimit crashes, by task
	newestToken int64
}

func newCrashCounts() crashCounts {
	return crashCounts{under: make(map[string]int), late: make(map[string]int)}
}

// Crashes returns how many workers have crashed under a task.
func (c *Cluster) Crashes(task string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.crashes.under[task]
}

// observeToken records the fencing token of a command.
func (c *Cluster) observeToken(token int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crashes.newestToken = max(c.crashes.newestToken, token)
}

// checkCrashes checks a start against the limit for tasks that crash their workers. A
// start by a replaced owner does not count. The caller holds mu.
func (c *Cluster) checkCrashes(st TaskStart) {
	if st.Token < c.crashes.newestToken || c.crashes.under[st.Task] < crashesBeforeLimit {
		return
	}
	if c.crashes.late[st.Task]++; c.crashes.late[st.Task] > startsAfterLimit {
		c.violations = append(c.violations, fmt.Sprintf("%s attempt %d started on %s after %d workers had crashed under the task",
			st.Task, st.Attempt, st.Worker, c.crashes.under[st.Task]))
	}
}

// Incarnation returns the Unix time in milliseconds at which the worker started.
func (w *Worker) Incarnation() int64 { return w.incarnation }

// OnCrash sets the function that is called when a task crashes the worker. It has to
// close the worker.
func (w *Worker) OnCrash(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.onCrash = f
}

// scheduleCrash crashes the worker under an attempt whose task does so. The caller holds
// the lock.
func (w *Worker) scheduleCrash(key string) {
	attempt := w.active[key]
	if attempt.behaviour.CrashAfter == 0 {
		return
	}
	time.AfterFunc(attempt.behaviour.CrashAfter, func() {
		w.mu.Lock()
		crash := w.onCrash
		if w.dead || w.active[key] != attempt || crash == nil {
			w.mu.Unlock()
			return
		}
		w.dead = true
		w.mu.Unlock()
		w.cluster.mu.Lock()
		w.cluster.crashes.under[attempt.task]++
		w.cluster.mu.Unlock()
		crash()
	})
}
