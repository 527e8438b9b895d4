package processtest

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"gooseberryreel/internal/history"
	"gooseberryreel/internal/load"
	"gooseberryreel/internal/remote/wire"
	"gooseberryreel/internal/standin"
)

// Guards against workers that fail every task: no job may end as failed because of
// them, and they must stop receiving work.
func TestWorkersThatFailEverything(t *testing.T) {
	t.Parallel()
	j := newJobHarness(t, 120, 4, 4000, []standin.Workload{{Name: "short", RunMS: 150}})
	j.declareJob("short", 1000, false)
	j.awaitOwners(j.entries...)
	failing := map[string]bool{"north-w01": true, "north-w02": true}
	for name := range failing {
		j.Assert(j.platform.SetFaults(name, standin.Faults{FailStarted: true}), qt.IsNil)
	}
	var ids []string
	for n := range 40 {
		ids = append(ids, j.submit(j.entries[n%3], "short"))
	}
	j.awaitDone(ids)
	failed := 0
	for _, id := range ids {
		for _, attempt := range j.attempts(id) {
			if failing[attempt.Worker] {
				failed++
			}
		}
	}
	j.Logf("%d starts on failing workers", failed)
	j.Check(failed < len(ids), qt.IsTrue, qt.Commentf("%d starts on failing workers", failed))
	j.checkJobs(len(ids))
}

// usage returns the measured usage of all running tasks of a worker, as the worker
// itself reports it.
func (j *jobHarness) usage(name string) (usage wire.Resources) {
	response, err := http.Get("http://" + j.workers[name].workerAddress + "/v1/status")
	j.Assert(err, qt.IsNil)
	defer response.Body.Close()
	var status wire.WorkerStatus
	j.Assert(json.NewDecoder(response.Body).Decode(&status), qt.IsNil)
	for _, task := range status.Tasks {
		if task.State == "running" {
			usage.CPUMilli += task.Usage.CPUMilli
			usage.MemoryMiB += task.Usage.MemoryMiB
		}
	}
	return usage
}

// Guards G1 against declared sizes that are wrong by a factor of ten: once the usage
// is measured, no worker may exceed its capacity, and all jobs must complete.
func TestDeclaredSizesWrong(t *testing.T) {
	t.Parallel()
	const capacity = 4000
	j := newJobHarness(t, 121, 2, capacity, []standin.Workload{
		{Name: "understated", RunMS: 1500, CPUMilli: 1500, MemoryMiB: 1500},
		{Name: "overstated", RunMS: 300, CPUMilli: 300, MemoryMiB: 300},
	})
	j.declareJob("understated", 150, false)
	j.declareJob("overstated", 3000, false)
	j.awaitOwners(j.entries...)
	var ids []string
	for n := range 8 {
		ids = append(ids, j.submit(j.entries[n%3], "understated"))
	}
	overCapacity := func() bool {
		for name := range j.workers {
			if j.usage(name).CPUMilli > capacity {
				return true
			}
		}
		return false
	}
	j.await("usage within the capacity of all workers", func() bool { return !overCapacity() })
	for n := range 4 {
		ids = append(ids, j.submit(j.entries[n%3], "overstated"))
	}
	j.awaitDone(ids)
	// The size learned in the first round must apply from the first start on.
	var secondRound []string
	for n := range 6 {
		secondRound = append(secondRound, j.submit(j.entries[n%3], "understated"))
	}
	j.await("end of the second round", func() bool {
		j.Check(overCapacity(), qt.IsFalse)
		for _, id := range secondRound {
			if status, found := j.getJob(id); !found || !status.Ended() {
				return false
			}
		}
		return true
	})
	j.awaitDone(secondRound)
	j.checkJobs(len(ids) + len(secondRound))
}

// Guards against jobs at the head of the queue that fit on no worker and block the
// jobs behind them.
func TestJobsThatFitNowhere(t *testing.T) {
	t.Parallel()
	j := newJobHarness(t, 122, 2, 4000, []standin.Workload{
		{Name: "short", RunMS: 150}, {Name: "swollen", RunMS: 1500, CPUMilli: 9000, MemoryMiB: 9000},
	})
	j.declareJob("giant", 40_000, false)
	j.declareJob("swollen", 1000, false)
	j.declareJob("short", 1000, false)
	j.awaitOwners(j.entries...)
	for range 5 {
		status, result := j.client.SubmitJob(context.Background(), j.entries[0].entry(), load.Job{Name: "giant", ID: j.newID(jobDomain)})
		j.Check(result.Outcome, qt.Equals, history.OutcomeOK)
		j.Check(status.State, qt.Equals, "unschedulable")
		j.Check(status.Reason, qt.Not(qt.Equals), "")
	}
	// The first one runs and shows that jobs of this name fit on no worker; the others
	// stay at the head of the queue.
	first := j.submit(j.entries[0], "swollen")
	j.awaitState(first, "running")
	j.await("learned size", func() bool {
		status, _ := j.getJob(first)
		return status.State != "running"
	})
	for range 3 {
		j.submit(j.entries[0], "swollen")
	}
	var ids []string
	for n := range 20 {
		ids = append(ids, j.submit(j.entries[n%3], "short"))
	}
	j.awaitDone(ids)
	j.checkJobs(len(ids))
}
