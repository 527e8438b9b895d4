package main

import (
	"fmt"
	"io"
	"runtime"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"gooseberryreel/internal/control"
	"gooseberryreel/internal/jobs"
	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/remote"
)

// capacitySizes are the numbers of workers at which costs are measured; the
// largest is that of a failure domain at the size planned in two years.
var capacitySizes = []int{30, 60, 90, 135}

const (
	tasksPerWorker = 19
	taskRunTime    = 4 * time.Minute
	capacityTick   = 50 * time.Millisecond
	warmUpPeriod   = 20 * time.Second
	// spreadStep and spreadSteps are prime, so that the ends of successive tasks
	// are spread evenly over the run time.
	spreadStep    = 389
	spreadSteps   = 997
	measurePeriod = 15 * time.Second
	// snapshotPeriod is the default interval between snapshots.
	snapshotPeriod = 5 * time.Minute
)

// jobCost is the measured cost of the job core at one number of workers. calls,
// records and recordBytes are per second.
type jobCost struct {
	workers     int
	stateBytes  float64
	cpuPercent  float64
	calls       float64
	records     float64
	recordBytes float64
	// At startup, an instance reads and restores a snapshot and replays the records
	// written since.
	snapshotBytes, restoreMS, replayMS float64
}

// capacityTables writes the cost of the job core by number of workers, with a
// least-squares line for each cost, and the other capacity tables.
func capacityTables(w io.Writer) error {
	var costs []jobCost
	for _, n := range capacitySizes {
		c, err := measureJobs(n)
		if err != nil {
			return err
		}
		costs = append(costs, c)
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "job core and placement: %d tasks per worker, each running %s; restore of a snapshot, and replay of the records of %s\n", tasksPerWorker, taskRunTime, snapshotPeriod)
	fmt.Fprintln(t, "workers\tstate bytes\tCPU % of a core\tworker calls/s\trecords/s\trecord bytes/s\tsnapshot bytes\trestore ms\treplay ms\t")
	for _, c := range costs {
		fmt.Fprintf(t, "%d\t%.0f\t%.2f\t%.1f\t%.1f\t%.0f\t%.0f\t%.2f\t%.2f\t\n", c.workers, c.stateBytes, c.cpuPercent, c.calls, c.records, c.recordBytes,
			c.snapshotBytes, c.restoreMS, c.replayMS)
	}
	writeFits(t, "worker", costs, func(c jobCost) float64 { return float64(c.workers) }, []column[jobCost]{
		{"state bytes", func(c jobCost) float64 { return c.stateBytes }},
		{"CPU % of a core", func(c jobCost) float64 { return c.cpuPercent }},
		{"worker calls/s", func(c jobCost) float64 { return c.calls }},
		{"records/s", func(c jobCost) float64 { return c.records }},
		{"record bytes/s", func(c jobCost) float64 { return c.recordBytes }},
		{"snapshot bytes", func(c jobCost) float64 { return c.snapshotBytes }},
		{"restore ms", func(c jobCost) float64 { return c.restoreMS }},
		{"records since snapshot", func(c jobCost) float64 { return c.records * snapshotPeriod.Seconds() }},
		{"bytes since snapshot", func(c jobCost) float64 { return c.recordBytes * snapshotPeriod.Seconds() }},
		{"replay of records since snapshot ms", func(c jobCost) float64 { return c.replayMS }},
	})
	if err := t.Flush(); err != nil {
		return errors.Wrap(err, "write")
	}
	for _, table := range []func(io.Writer) error{stateTables, messageTables, requestCostTables, logTable, liveTable, watermarkTable} {
		if err := table(w); err != nil {
			return err
		}
	}
	return nil
}

// loadedCore is a job core with simulated workers, each of which runs
// tasksPerWorker tasks.
type loadedCore struct {
	core      *jobs.Core
	now       time.Time
	tasks     map[string]map[remote.TaskRef]time.Time // by worker: end time of each task
	submitted int
	// started counts started tasks; it spreads their ends evenly.
	started  int
	cost     jobCost
	coreTime time.Duration // elapsed time in calls of the core
	// encoded holds the records of the measured period.
	encoded [][]byte
}

func measureJobs(workers int) (jobCost, error) {
	before := heapBytes()
	l := newLoadedCore(workers)
	for end := l.now.Add(warmUpPeriod); l.now.Before(end); {
		if err := l.step(); err != nil {
			return jobCost{}, err
		}
	}
	l.cost.stateBytes = float64(heapBytes()) - float64(before)
	l.encoded = nil
	l.coreTime, l.cost.calls, l.cost.records, l.cost.recordBytes = 0, 0, 0, 0
	for end := l.now.Add(measurePeriod); l.now.Before(end); {
		if err := l.step(); err != nil {
			return jobCost{}, err
		}
	}
	seconds := measurePeriod.Seconds()
	l.cost.workers = workers
	l.cost.cpuPercent = 100 * l.coreTime.Seconds() / seconds
	l.cost.calls /= seconds
	l.cost.records /= seconds
	l.cost.recordBytes /= seconds
	err := l.measureStartup()
	return l.cost, err
}

// measureStartup measures the time to restore a snapshot, and the time to replay
// the records of the measured period, scaled to the snapshot interval.
func (l *loadedCore) measureStartup() error {
	data, err := proto.Marshal(&pb.ControlSnapshot{Jobs: l.core.SnapshotJobs()})
	if err != nil {
		return errors.Wrap(err, "encode snapshot")
	}
	l.cost.snapshotBytes = float64(len(data))
	var core *jobs.Core
	l.cost.restoreMS, err = fastestMS(func() (time.Duration, error) {
		core = jobs.NewCore(jobs.CoreOptions{Settings: &pb.JobSettings{MaxFinishedJobs: 1000}, Policy: &pb.PolicySettings{}})
		begin := time.Now()
		snapshot := &pb.ControlSnapshot{}
		if err := proto.Unmarshal(data, snapshot); err != nil {
			return 0, errors.Wrap(err, "decode snapshot")
		}
		core.Restore(snapshot.Jobs)
		return time.Since(begin), nil
	})
	if err != nil {
		return err
	}
	l.cost.replayMS, err = fastestMS(func() (time.Duration, error) { return l.replayRecords(core) })
	l.cost.replayMS *= float64(snapshotPeriod) / float64(measurePeriod)
	return err
}

func (l *loadedCore) replayRecords(core *jobs.Core) (time.Duration, error) {
	begin := time.Now()
	for _, data := range l.encoded {
		rec := &pb.StreamRecord{}
		if err := proto.Unmarshal(data, rec); err != nil {
			return 0, errors.Wrap(err, "decode record")
		}
		core.ApplyRecord(0, rec.GetJob().GetJob(), l.now)
	}
	return time.Since(begin), nil
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func newLoadedCore(workers int) *loadedCore {
	l := &loadedCore{
		core:  jobs.NewCore(jobs.CoreOptions{Settings: &pb.JobSettings{MaxFinishedJobs: 1000}, Policy: &pb.PolicySettings{}}),
		now:   time.UnixMilli(1_700_000_000_000),
		tasks: make(map[string]map[remote.TaskRef]time.Time),
	}
	view := jobs.CoreView{Own: true, MayAct: true, LogReadable: true, Config: &control.Config{
		Jobs: map[string]*pb.BatchJob{"load": {
			Team: "t", Needs: &pb.Resources{CpuMilli: 1000, MemoryMib: 1024}, Checkpointable: true,
		}},
		Teams: map[string]*pb.Team{"t": {}},
	}}
	for i := range workers {
		name := fmt.Sprintf("w%03d", i)
		l.tasks[name] = make(map[remote.TaskRef]time.Time)
		view.Workers = append(view.Workers, remote.Instance{
			Name: name, State: remote.StateLive, Address: "none",
			Capacity: remote.Resources{CPUMilli: tasksPerWorker * 1000, MemoryMiB: tasksPerWorker * 1024},
		})
	}
	l.core.SetView(view, l.now)
	for range workers * tasksPerWorker {
		l.submit()
	}
	return l
}

func (l *loadedCore) submit() {
	l.submitted++
	l.core.Submit(jobs.SubmitRequest{ID: fmt.Sprintf("perth-hills.018bcfe5-6800-7000-8000-%012d", l.submitted), Name: "load", IssuedMS: l.now.UnixMilli()}, l.now)
}

// step advances by one tick and submits a job for each task that ends, so that the
// number of tasks stays constant.
func (l *loadedCore) step() error {
	l.now = l.now.Add(capacityTick)
	begin := time.Now()
	l.core.Tick(l.now)
	l.coreTime += time.Since(begin)
	for {
		out := l.core.TakeOutput()
		if len(out.Records)+len(out.Calls) == 0 {
			return nil
		}
		if err := l.applyOutput(out); err != nil {
			return err
		}
	}
}

func (l *loadedCore) applyOutput(out jobs.Output) error {
	for _, rec := range out.Records {
		data, err := proto.Marshal(&pb.StreamRecord{
			Id: "perth-hills-entry-1/17979cfe362a0000/j100000", Author: "perth-hills-entry-1", Incarnation: 1_700_000_000_000_000_000,
			Hlc: l.now.UnixMilli() << 16, Body: &pb.StreamRecord_Job{Job: &pb.JobRecord{Epoch: 100_000, Job: rec}},
		})
		if err != nil {
			return errors.Wrap(err, "encode record")
		}
		l.encoded = append(l.encoded, data)
		l.cost.records++
		l.cost.recordBytes += float64(len(data))
		l.measureCore(func() { l.core.ApplyRecord(0, rec, l.now) })
	}
	for _, call := range out.Calls {
		l.cost.calls++
		r := jobs.CallResult{Call: call}
		switch call.Kind {
		case jobs.CallStart:
			// Evenly spread ends make the starts of later tasks evenly spread too.
			l.started++
			l.tasks[call.Worker][call.Ref] = l.now.Add(taskRunTime * time.Duration(1+l.started*spreadStep%spreadSteps) / spreadSteps)
		case jobs.CallStatus:
			r.Status = l.workerStatus(call.Worker)
		}
		l.measureCore(func() { l.core.CallDone(r, l.now) })
	}
	return nil
}

func (l *loadedCore) measureCore(f func()) {
	begin := time.Now()
	f()
	l.coreTime += time.Since(begin)
}

func (l *loadedCore) workerStatus(worker string) remote.WorkerStatus {
	s := remote.WorkerStatus{Worker: worker, Boot: "1"}
	for ref, end := range l.tasks[worker] {
		task := remote.TaskStatus{Ref: ref, State: remote.TaskRunning, ThrottlePercent: 100, Usage: remote.Resources{CPUMilli: 900, MemoryMiB: 900}}
		if l.now.After(end) {
			task.State = remote.TaskDone
			delete(l.tasks[worker], ref)
			l.submit()
		}
		s.Tasks = append(s.Tasks, task)
	}
	return s
}
