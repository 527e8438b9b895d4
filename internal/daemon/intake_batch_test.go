package daemon

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"gooseberryreel/internal/errs"
	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/store"
)

// moodyStore rejects appends with certain records, refuses some of the others and loses
// some responses.
type moodyStore struct {
	store.Store
	mu     sync.Mutex
	random *rand.Rand
	stored map[string]bool
	shared int // appends of several records
}

func (s *moodyStore) Append(_ context.Context, _ store.Partition, records []store.Record, _ store.AppendOptions) (int64, error) {
	time.Sleep(time.Millisecond) // so that later records share an append
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range records {
		if strings.HasPrefix(r.Key, "rejected") {
			return 0, errs.Wrap("append", "", pb.Outcome_OUTCOME_NOT_RUN, errors.WithStack(store.ErrRejected))
		}
	}
	fate := s.random.IntN(10)
	if fate < 4 {
		return 0, errs.Wrap("append", "", pb.Outcome_OUTCOME_NOT_RUN, errors.WithStack(store.ErrRefused))
	}
	if len(records) > 1 {
		s.shared++
	}
	for _, r := range records {
		s.stored[r.Key] = true
	}
	if fate < 6 {
		return 0, errs.Wrap("append", "", pb.Outcome_OUTCOME_UNKNOWN, errors.New("no response"))
	}
	return int64(len(s.stored)), nil
}

// Guards against a caller that gets the outcome of another record of the same append.
func TestRecordsOfOneAppendHaveTheirOwnOutcomes(t *testing.T) {
	s := &moodyStore{random: rand.New(rand.NewPCG(1, 2)), stored: make(map[string]bool)}
	q := newIntake(&Instance{
		store: s, settings: &pb.SchedulerSettings{Store: &pb.StoreSettings{Partitions: 3}}, limits: newRecordLimits(nil),
		metrics: newMetrics(prometheus.NewRegistry(), nil),
	})
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); q.run(ctx) }()
	var mu sync.Mutex
	results := make(map[string]error)
	var calls sync.WaitGroup
	for n := range 1000 {
		key := fmt.Sprintf("kept/%d", n)
		if n%50 == 0 {
			key = fmt.Sprintf("rejected/%d", n)
		}
		calls.Go(func() {
			time.Sleep(time.Duration(n) * time.Millisecond)
			err := q.add(context.Background(), fmt.Sprintf("%016x", n), key, &pb.IntakeRecord{})
			mu.Lock()
			defer mu.Unlock()
			results[key] = err
		})
	}
	calls.Wait()
	stop()
	<-ended
	accepted, refused := 0, 0
	for key, err := range results {
		switch {
		case err == nil:
			accepted++
			qt.Check(t, s.stored[key], qt.IsTrue, qt.Commentf("%s was accepted", key))
		case errs.From("", "", err).Outcome == pb.Outcome_OUTCOME_NOT_RUN:
			refused++
			qt.Check(t, s.stored[key], qt.IsFalse, qt.Commentf("%s was refused: %v", key, err))
		}
	}
	t.Logf("%d accepted, %d refused, %d with an unknown outcome, %d shared appends", accepted, refused, len(results)-accepted-refused, s.shared)
	qt.Check(t, results, qt.HasLen, 1000)
	qt.Check(t, accepted > 0 && refused >= 20 && s.shared > 0, qt.IsTrue)
}

// Guards against records that wait for the store, each of the size of a body, and together
// take more memory than the machine has; and against large ones that shut out small ones.
func TestWaitingRecordsAreLimitedInBytes(t *testing.T) {
	c := qt.New(t)
	i := &Instance{settings: &pb.SchedulerSettings{MemoryMib: 64}}
	i.intake = newIntake(i)
	i.intake.closed = true // a record that is admitted gets another error
	record := func(size int) *pb.IntakeRecord {
		return &pb.IntakeRecord{Kind: &pb.IntakeRecord_Cancelled{Cancelled: strings.Repeat("x", size)}}
	}
	admitted := 0
	for ; admitted < 1000; admitted++ {
		if _, err := i.intake.memory.reserve(record(defaultRecordBytes)); err != nil {
			break
		}
	}
	c.Assert(admitted > 0 && admitted*defaultRecordBytes <= 64<<20/recordMemoryShare, qt.IsTrue, qt.Commentf("%d records", admitted))

	err := i.accept(context.Background(), "a", "a", record(defaultRecordBytes))
	c.Check(err, qt.ErrorMatches, ".* has no room beside .*")
	c.Check(errs.From("", "", err).Outcome, qt.Equals, pb.Outcome_OUTCOME_NOT_RUN)
	reply, err := (*jobsServer)(i).Accept(context.Background(), &pb.AcceptRequest{Key: "a", Record: record(defaultRecordBytes)})
	c.Check(err, qt.IsNil)
	c.Check(reply.GetNotStored(), qt.IsTrue)
	c.Check(reply.GetError(), qt.Matches, ".* has no room beside .*")

	release, err := i.intake.memory.reserve(record(1000))
	c.Assert(err, qt.IsNil)
	release()
	alone, err := newRecordMemory(&pb.SchedulerSettings{MemoryMib: 1}).reserve(record(defaultRecordBytes))
	c.Assert(err, qt.IsNil)
	alone()
}
