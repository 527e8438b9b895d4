package standin

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"gooseberryreel/internal/history"
	"gooseberryreel/internal/remote"
	"gooseberryreel/internal/remote/wire"
)

const shortRunTime = 150 * time.Millisecond

// startWorkers starts a site with two workers, north-w01 and north-w02.
func startWorkers(c *qt.C) *RunningSite {
	site, err := Start(Site{
		Domains:   []Domain{{Name: "north", Workers: []WorkerGroup{{Count: 2}}}},
		Workloads: []Workload{{Name: "short", RunMS: shortRunTime.Milliseconds()}},
	})
	c.Assert(err, qt.IsNil)
	c.Cleanup(site.Close)
	return site
}

// startShort starts a task. The caller holds mu.
func (w *worker) startShort(job string) {
	ref := wire.TaskRef{Job: job, Attempt: 1}
	w.tasks[ref] = w.site.newTask(wire.StartRequest{TaskRef: ref, Workload: "short", LeaseMS: 60_000}, time.Now())
}

// awaitEnd waits until no task of a worker runs.
func (w *worker) awaitEnd() {
	for running := true; running; time.Sleep(time.Millisecond) {
		running = false
		w.mu.Lock()
		w.advance(time.Now())
		for _, t := range w.tasks {
			running = running || t.state == remote.TaskRunning
		}
		w.mu.Unlock()
	}
}

func checkHistory(c *qt.C, operations []history.Operation) {
	for _, check := range history.Check(operations, history.Limits{}, history.Bounds{Search: time.Second}) {
		c.Check(check.Violations, qt.HasLen, 0, qt.Commentf("%s", check.Name))
	}
}

// Guards against an attempt that is recorded as ended before its work was done, or even
// before its start, because a reader that had to wait for the worker moves the clock of
// its tasks back. Checks of the history then report attempts that overlap.
func TestDelayedReadersDoNotShortenTasks(t *testing.T) {
	for name, read := range map[string]func(*RunningSite){
		"usage sampler": func(*RunningSite) {}, // runs in every site
		"history":       func(site *RunningSite) { site.History() },
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			site := startWorkers(c)
			w := site.workers["north-w01"]
			w.mu.Lock()
			read := startReader(site, read)
			time.Sleep(2*shortRunTime + 2*sampleInterval)
			w.startShort("job")
			w.mu.Unlock()
			<-read
			w.awaitEnd()
			operations, _ := site.History()
			c.Assert(operations, qt.HasLen, 1)
			ran := time.Duration(operations[0].End - operations[0].Start)
			c.Check((ran-shortRunTime).Abs() < time.Millisecond, qt.IsTrue, qt.Commentf("ran for %v", ran))
			checkHistory(c, operations)
		})
	}
}

func startReader(site *RunningSite, read func(*RunningSite)) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		read(site)
	}()
	return done
}

// Guards against an attempt that is returned twice, as running and as ended, because it
// ends while the history is read.
func TestAttemptThatEndsWhileHistoryIsRead(t *testing.T) {
	c := qt.New(t)
	site := startWorkers(c)
	first, second := site.workers["north-w01"], site.workers["north-w02"]
	for n := range 10 { // the history may visit the workers in any order
		first.mu.Lock()
		first.startShort(fmt.Sprintf("job %d", n))
		first.mu.Unlock()
		second.mu.Lock()
		var operations []history.Operation
		read := startReader(site, func(site *RunningSite) { operations, _ = site.History() })
		ended := startReader(site, func(*RunningSite) { first.awaitEnd() })
		time.Sleep(shortRunTime + 2*sampleInterval)
		second.mu.Unlock()
		<-read
		<-ended
		c.Check(operations, qt.HasLen, n+1)
		checkHistory(c, operations)
	}
}
