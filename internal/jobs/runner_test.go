package jobs

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"gooseberryreel/internal/control"
	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/peer"
	"gooseberryreel/internal/remote"
)

// fakeLoop is a control.Loop that runs posted functions on one goroutine. It reads
// appended records back at once, unless the log is down.
type fakeLoop struct {
	view    atomic.Pointer[control.View]
	posts   chan func(time.Time)
	runner  *Runner
	logDown atomic.Bool
	mu      sync.Mutex
	offset  int64
	pending []*pb.StreamRecord
}

func (l *fakeLoop) Post(f func(time.Time)) { l.posts <- f }
func (l *fakeLoop) View() *control.View    { return l.view.Load() }

func (l *fakeLoop) Append(rec *pb.StreamRecord) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = append(l.pending, rec)
	return fmt.Sprint(len(l.pending))
}

func (l *fakeLoop) readBack() {
	if l.logDown.Load() {
		return
	}
	l.mu.Lock()
	recs := l.pending
	l.pending = nil
	l.mu.Unlock()
	for _, rec := range recs {
		l.offset++
		l.runner.ApplyRecord(control.LogRecord{Offset: l.offset, Record: rec}, time.Now())
	}
}

func (l *fakeLoop) run(ctx context.Context) {
	tick := time.NewTicker(50 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-l.posts:
			f(time.Now())
		case <-tick.C:
			l.runner.Tick(time.Now(), l.View())
		}
		l.readBack()
	}
}

// loopWorker is a remote.Worker whose tasks never end.
type loopWorker struct {
	mu     sync.Mutex
	starts []remote.TaskSpec
}

func (w *loopWorker) Status(context.Context) (remote.WorkerStatus, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := remote.WorkerStatus{Worker: "w0", Boot: "1"}
	for _, spec := range w.starts {
		s.Tasks = append(s.Tasks, remote.TaskStatus{Ref: spec.Ref, State: remote.TaskRunning, ThrottlePercent: 100})
	}
	return s, nil
}

func (w *loopWorker) Start(_ context.Context, spec remote.TaskSpec) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.starts = append(w.starts, spec)
	return nil
}
func (w *loopWorker) Stop(context.Context, remote.TaskRef) error { return nil }
func (w *loopWorker) Checkpoint(context.Context, remote.TaskRef) (string, error) {
	return "c", nil
}
func (w *loopWorker) Throttle(context.Context, remote.TaskRef, int) error { return nil }
func (w *loopWorker) Renew(context.Context, []remote.TaskRef, time.Duration) error {
	return nil
}

func newLoop(w remote.Worker) *fakeLoop {
	l := &fakeLoop{posts: make(chan func(time.Time), 100)}
	l.view.Store(loopView(time.Hour))
	o := testOptions()
	l.runner = NewRunner(Options{
		Loop: l, Settings: o.Settings, Policy: o.Policy, Pool: peer.NewPool(peer.Options{MaxConnections: 1, DialTimeout: time.Second}),
		NewWorker: func(remote.Instance) remote.Worker { return w },
	})
	return l
}

// loopView returns a view in which this instance owns the job partition and may
// act for the given time.
func loopView(permission time.Duration) *control.View {
	return &control.View{
		Instance: "e1", Domain: "d", LogReadable: true, Config: testDeclarations(),
		Workers:    []remote.Instance{{Name: "w0", State: remote.StateLive, Address: "x", Capacity: testCapacity}},
		Partitions: []control.Partition{{Owner: "e1", Own: true, Epoch: 7, ActUntil: time.Now().Add(permission)}},
	}
}

// Guards against a submission that succeeds before its job is recorded, and
// against wrong replies to repeated, unrecorded and malformed requests.
func TestRunnerSubmit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		l := newLoop(&loopWorker{})
		go l.run(ctx)
		time.Sleep(2 * time.Second)
		reply := l.runner.Submit(ctx, &pb.SubmitJobRequest{Name: "small"})
		c.Assert(reply.Failure, qt.IsNil)
		time.Sleep(2 * time.Second)
		got := l.runner.Get(ctx, &pb.JobIdRequest{Id: reply.Job.Id})
		c.Assert(got.Job.State, qt.Equals, pb.JobState_JOB_STATE_RUNNING)
		again := l.runner.Submit(ctx, &pb.SubmitJobRequest{Id: reply.Job.Id, Name: "large"})
		c.Assert(again.Failure.Status, qt.Equals, int32(409))
		l.logDown.Store(true)
		lost := l.runner.Submit(ctx, &pb.SubmitJobRequest{Name: "small"})
		c.Assert(lost.Failure.Outcome, qt.Equals, pb.Outcome_OUTCOME_UNKNOWN)
		c.Assert(lost.Job.Id, qt.Not(qt.Equals), "")
		bad := l.runner.Get(ctx, &pb.JobIdRequest{Id: "no-id"})
		c.Assert(bad.Failure.Status, qt.Equals, int32(400))
		other := l.runner.Get(ctx, &pb.JobIdRequest{Id: newID("elsewhere")})
		c.Assert(other.Failure.Outcome, qt.Equals, pb.Outcome_OUTCOME_NOT_RUN)
	})
}

// Guards against a start by an owner that was paused between the decision and the
// call until its permission had expired.
func TestPermissionIsCheckedBeforeStart(t *testing.T) {
	for _, disabled := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			w := &loopWorker{}
			l := newLoop(w)
			l.runner.skipPermissionCheck = disabled
			l.view.Store(loopView(time.Second))
			time.Sleep(2 * time.Second) // the pause
			res := CallResult{Call: Call{Kind: CallStart, Spec: remote.TaskSpec{Ref: remote.TaskRef{Job: "j", Attempt: 1}, Epoch: 7}}}
			l.runner.invokeStart(context.Background(), w, &res)
			qt.Check(t, res.NotSent, qt.Equals, !disabled)
			qt.Check(t, len(w.starts) > 0, qt.Equals, disabled)
		})
	}
}

// Guards against endless forwarding when instances disagree on the owner.
func TestForwardingIsBounded(t *testing.T) {
	c := qt.New(t)
	l := newLoop(&loopWorker{})
	v := loopView(time.Hour)
	v.Partitions[0] = control.Partition{Owner: "e2", OwnerAddress: "127.0.0.1:1"}
	l.view.Store(v)
	reply := l.runner.Get(context.Background(), &pb.JobIdRequest{Id: newID("d"), Hops: maxHops})
	c.Assert(reply.Failure.Message, qt.Matches, "forwarded .* times without reaching the owner")
	c.Assert(reply.Failure.Outcome, qt.Equals, pb.Outcome_OUTCOME_NOT_RUN)
}
