package daemon

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"gooseberryreel/internal/emulator"
	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/scheduler"
	"gooseberryreel/internal/store"
)

// Guards against a job whose state exceeds the size of a record of the store: the owner
// repeated its append for good, and no other job made progress, also after a takeover.
func TestLargeJobIsServedBesideOthers(t *testing.T) {
	t.Parallel()
	s := newDeployment(t, 2, 4, shortTask)
	s.submit(s.instances[0], 1, 1)
	s.waitState(s.instances[0], 1, "completed")
	const tasks = 6000
	status, out := s.call(s.instances[0], http.MethodPost, path(2), smallTasks(tasks))
	qt.Assert(t, status, qt.Equals, http.StatusOK, qt.Commentf("%v", out))
	s.submit(s.instances[1], 3, 2, 1)
	s.waitState(s.instances[1], 3, "completed")
	first := s.owner()
	s.eventually("half of the tasks have started", func() bool { return len(s.attempts.Starts()) > tasks/2 })
	first.stop()
	<-first.done
	other := s.instances[0]
	if other == first {
		other = s.instances[1]
	}
	s.submit(other, 4, 2, 1)
	s.waitState(other, 4, "completed")
	s.waitState(other, 2, "completed")
	s.checkRanOnce(2, tasks)
	qt.Check(t, s.store.Oversized(), qt.Equals, int64(0))
}

// Guards against a submission that the store can never take and that its caller repeats
// for good, since it is refused like one in an outage, or that holds others up.
func TestSubmissionAboveRecordLimit(t *testing.T) {
	s := newDeployment(t, 1, 2, shortTask)
	s.configureLimits(2, 2*emulator.MaxRecordBytes)
	i := s.instances[0]
	s.submit(i, 1, 1)
	body := job(1, 1)
	body["Phases"].([]map[string]any)[1]["Image"] = strings.Repeat("i", emulator.MaxRecordBytes)
	s.eventually("the configuration is in force", func() bool { return i.Config().MaxBodyBytes > emulator.MaxRecordBytes })
	status, out := s.call(i, http.MethodPost, path(2), body)
	qt.Assert(t, status, qt.Equals, http.StatusRequestEntityTooLarge)
	qt.Check(t, out["Outcome"], qt.Equals, "not_run")
	qt.Check(t, out["Error"], qt.Matches, `Phases\[1\]\.Image: .* the limit is 262144`)

	// Several records that fit one by one, but not together.
	body["Phases"].([]map[string]any)[1]["Image"] = strings.Repeat("i", emulator.MaxRecordBytes*3/4)
	var group sync.WaitGroup
	for id := range 24 {
		group.Go(func() {
			status, out := s.call(i, http.MethodPost, path(100+id), body)
			qt.Check(t, status, qt.Equals, http.StatusOK, qt.Commentf("%v", out))
		})
	}
	group.Wait()
	for id := range 24 {
		s.waitState(i, 100+id, "completed")
	}
	qt.Check(t, s.store.Oversized(), qt.Equals, int64(0))
}

// Guards against records of a job that can't be decoded and prevent every claim.
func TestUnreadableStateDoesNotStopOwners(t *testing.T) {
	s := newDeployment(t, 1, 2, shortTask)
	s.submit(s.instances[0], 1, 1)
	s.waitState(s.instances[0], 1, "completed")
	s.instances[0].stop()
	<-s.instances[0].done
	for _, key := range []string{fmt.Sprintf("%016x", 1), fmt.Sprintf("%016x/3", 1), fmt.Sprintf("%016x/x", 5), interferenceKey} {
		s.store.Put("keyed."+jobTopic.Topic, key, []byte{0xff})
	}
	second := s.start("inst-1")
	s.submit(second, 2, 1)
	s.waitState(second, 2, "completed")
	s.waitState(second, 1, "failed")
	s.checkRanOnce(1, 1)
}

// Guards against a checkpoint that makes the record of its job too large for the store.
func TestLargeCheckpointsAreNotStored(t *testing.T) {
	c := qt.New(t)
	limits := recordLimits{1000, 4000}
	tasks := []*pb.StoredTask{{Run: 1, Checkpoint: strings.Repeat("a", 300)}, {Run: 2, Checkpoint: strings.Repeat("b", 900)}, {Run: 3, Checkpoint: "c"}}
	block := &pb.StoredTaskBlock{Tasks: tasks}
	data, dropped, err := limits.marshalTasks("key", block, tasks)
	c.Assert(err, qt.IsNil)
	c.Check(dropped, qt.Equals, 1)
	c.Check(sizeOf(store.Record{Key: "key", Value: data}) <= limits.record, qt.IsTrue)
	c.Check(tasks[1].GetCheckpoint(), qt.Equals, "")
	c.Check(tasks[0].GetCheckpoint(), qt.HasLen, 300)
}

// Guards against appends above the limit of a call, and against a job whose records are
// stored apart although they fit in one append.
func TestPackKeepsGroupsTogether(t *testing.T) {
	c := qt.New(t)
	limits := recordLimits{100, 200}
	group := func(name string, sizes ...int) (g []store.Record) {
		for n, size := range sizes {
			g = append(g, store.Record{Key: fmt.Sprint(name, n), Value: make([]byte, size)})
		}
		return g
	}
	appends := limits.pack([][]store.Record{group("a", 50, 50), group("b", 40, 40), group("c", 90, 90, 90), group("d", 10)})
	var keys []string
	for _, records := range appends {
		total, list := 0, ""
		for _, r := range records {
			total, list = total+sizeOf(r), list+" "+r.Key
		}
		c.Check(total <= limits.call, qt.IsTrue)
		keys = append(keys, list)
	}
	c.Check(keys, qt.DeepEquals, []string{" a0 a1", " b0 b1 c0", " c1 c2", " d0"})
}

// Guards against a latency model that outgrows a record.
func TestLatencyModelIsSplit(t *testing.T) {
	c := qt.New(t)
	limits := recordLimits{1000, 4000}
	model := &pb.StoredPairs{}
	for n := range 40 {
		model.Services = append(model.Services, &pb.StoredService{Image: fmt.Sprintf("image-%d", n), Weights: []*pb.StoredWeight{{Filler: "f", Mean: 1, Variance: float64(n)}}})
	}
	records, err := limits.encodePairs(model)
	c.Assert(err, qt.IsNil)
	c.Assert(len(records) > 1, qt.IsTrue)
	s := &storedState{interference: &pb.StoredPairs{}}
	for _, r := range records {
		c.Check(sizeOf(r) <= limits.record, qt.IsTrue)
		c.Assert(s.decode(r), qt.IsNil)
	}
	c.Check(proto.Equal(s.interference, model), qt.IsTrue)
}

// Guards against records of the intake that stay in memory beside what is decoded from them,
// and against a cancellation that is lost because its record comes before the submission.
func TestRestoreDropsTheRecords(t *testing.T) {
	i := &Instance{settings: &pb.SchedulerSettings{}}
	encode := func(key string, r *pb.IntakeRecord) store.Record {
		data, err := proto.Marshal(r)
		qt.Assert(t, err, qt.IsNil)
		return store.Record{Key: key, Value: data}
	}
	submission := func(id string) store.Record {
		return encode(id, &pb.IntakeRecord{Kind: &pb.IntakeRecord_Submission{Submission: &pb.Submission{Id: id, Queue: "q", Steps: []*pb.StepSpec{{Tasks: 1}}}}})
	}
	s := &storedState{interference: &pb.StoredPairs{}, intake: []store.Record{
		encode(cancelPrefix+"b", &pb.IntakeRecord{Kind: &pb.IntakeRecord_Cancelled{Cancelled: "b"}}), submission("a"), submission("b"),
	}}
	core := scheduler.New(i.coreOptions(nil), time.Now())
	i.restoreCore(core, s, time.Now())
	qt.Check(t, core.Waiting()["q"], qt.Equals, int64(1))
	for _, r := range s.intake {
		qt.Check(t, r.Value, qt.HasLen, 0, qt.Commentf("%s", r.Key))
	}
}

// Guards against an owner that runs out of memory at its takeover: it held the records of
// the submissions beside what it decoded from them.
func TestTakeoverOfLargeJobsStaysWithinTheMemory(t *testing.T) {
	const memoryMib, jobs = 96, 200
	p := newProcessDeployment(t, 1, func(string, int) emulator.Behaviour { return emulator.Behaviour{RunTime: time.Hour} })
	p.configureLimits(2, defaultRecordBytes)
	proc := p.processes[0]
	p.kill(proc)
	data, err := os.ReadFile(proc.settings)
	qt.Assert(t, err, qt.IsNil)
	data = bytes.Replace(data, []byte(`"memory_mib":256`), fmt.Appendf(nil, `"memory_mib":%d`, memoryMib), 1)
	qt.Assert(t, os.WriteFile(proc.settings, data, 0o600), qt.IsNil)
	p.restart(proc)
	p.submitTo(proc, jobs+1, 1)
	large := job(make([]int, 64)...)
	for _, step := range large["Phases"].([]map[string]any) {
		step["Count"], step["Image"] = 1, strings.Repeat("x", 3900)
	}
	check := func(when string) {
		p.eventually("an ordinary request is answered "+when, func() bool {
			status, _ := p.call(proc, http.MethodGet, path(jobs+1), nil)
			return status == http.StatusOK
		})
		status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", proc.cmd.Process.Pid))
		qt.Assert(t, err, qt.IsNil)
		_, rest, _ := strings.Cut(string(status), "VmHWM:")
		kib, err := strconv.Atoi(strings.Fields(rest)[0])
		qt.Assert(t, err, qt.IsNil)
		t.Logf("%s: %d MiB", when, kib>>10)
		qt.Check(t, kib <= memoryMib<<10, qt.IsTrue, qt.Commentf("%s: %d MiB of %d", when, kib>>10, memoryMib))
	}
	for n := range jobs {
		p.eventually("submission accepted", func() bool {
			status, _ := p.call(proc, http.MethodPost, path(n+1), large)
			return status == http.StatusOK
		})
	}
	check("after the submissions")
	p.kill(proc)
	p.restart(proc)
	check("after a restart")
}
