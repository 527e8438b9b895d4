package relay

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"gooseberryreel/internal/scheduler"
)

// startOf returns the start of an attempt at a task.
func startOf(worker string, task, number int) scheduler.Command {
	c := start(worker)
	c.AttemptID.Task, c.AttemptID.Number = task, number
	return c
}

func always() bool { return true }

// Guards against commands about one task that overtake each other, against commands to
// one worker that open connections without a limit, and against holds that wait behind
// them.
func TestExecutorOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		calls := &workerCalls{}
		x := &Executor{Client: calls}
		for number := range 5 {
			for task := range maxCommandsInFlight + 1 {
				x.Add(t.Context(), startOf("w", task, number), always, func(scheduler.CommandResult) {})
			}
		}
		x.Add(t.Context(), hold("w", 0), always, func(scheduler.CommandResult) {})
		x.Add(t.Context(), start("other"), always, func(scheduler.CommandResult) {})
		time.Sleep(callTime / 2)
		c.Check(calls.count(), qt.Equals, maxCommandsInFlight+2)
		time.Sleep(time.Second)
		synctest.Wait()
		next := make(map[int]int)
		for _, call := range calls.list() {
			if call.Worker == "w" && call.Kind == scheduler.CommandStart {
				c.Check(call.AttemptID.Number, qt.Equals, next[call.AttemptID.Task])
				next[call.AttemptID.Task]++
			}
		}
		for task := range maxCommandsInFlight + 1 {
			c.Check(next[task], qt.Equals, 5)
		}
		c.Check(x.queues, qt.HasLen, 0)
	})
}

// muteWorker leaves the commands about every other task without an answer.
type muteWorker struct {
	mu   sync.Mutex
	made []time.Duration // age of each command when it was made
}

func (w *muteWorker) Do(_ context.Context, c scheduler.Command) scheduler.CommandResult {
	w.mu.Lock()
	w.made = append(w.made, time.Since(c.SentAt))
	w.mu.Unlock()
	result := scheduler.CommandResult{Command: c}
	if time.Sleep(callTime); c.AttemptID.Task%2 == 0 {
		time.Sleep(700 * time.Millisecond)
		result.Err = errOutdated
	}
	return result
}

// Guards against queues of commands that outgrow the answers of a worker: commands that
// are made when their decision is long outdated, and queues that don't empty after that.
func TestUnansweredCommandsDelayNoOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		w := &muteWorker{}
		x := &Executor{Client: w}
		var mu sync.Mutex
		answered, notSent := 0, 0
		for task := range 200 {
			command := startOf("w", task, 1)
			command.SentAt = time.Now()
			x.Add(t.Context(), command, always, func(r scheduler.CommandResult) {
				mu.Lock()
				defer mu.Unlock()
				if r.Err == nil {
					answered++
				}
				if r.NotSent {
					notSent++
				}
			})
			time.Sleep(50 * time.Millisecond) // 20 commands a second, 10 of them without an answer
		}
		time.Sleep(maxQueueTime + time.Second)
		synctest.Wait()
		c.Check(x.queues, qt.HasLen, 0)
		c.Check(answered+notSent >= 100, qt.IsTrue, qt.Commentf("%d answered, %d not sent", answered, notSent))
		c.Check(notSent < 20, qt.IsTrue, qt.Commentf("%d not sent", notSent))
		for _, age := range w.made {
			c.Check(age <= maxQueueTime, qt.IsTrue, qt.Commentf("a command of age %v was made", age))
		}
	})
}

// Guards against a start that is sent after its attempt was to be stopped.
func TestStopDropsQueuedStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		calls := &workerCalls{}
		x := &Executor{Client: calls}
		x.Add(t.Context(), startOf("w", 1, 1), always, func(scheduler.CommandResult) {})
		var dropped scheduler.CommandResult
		x.Add(t.Context(), startOf("w", 1, 2), always, func(r scheduler.CommandResult) { dropped = r })
		stop := startOf("w", 1, 2)
		stop.Kind = scheduler.CommandStop
		x.Add(t.Context(), stop, always, func(scheduler.CommandResult) {})
		time.Sleep(time.Second)
		synctest.Wait()
		c.Check(dropped.NotSent, qt.IsTrue)
		c.Check(calls.count(), qt.Equals, 2)
		c.Check(calls.list()[1].Kind, qt.Equals, scheduler.CommandStop)
	})
}
