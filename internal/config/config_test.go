package config

import (
	"context"
	"errors"
	"fmt"
	"math/rand"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/remote"
)

func team(name string, cpu int64) *pb.Declaration {
	return &pb.Declaration{Name: name, Body: &pb.Declaration_Team{Team: &pb.Team{
		Quota: &pb.Resources{CpuMilli: cpu, MemoryMib: 1}, MaxQueuedJobs: 1, MaxQueuedRequests: 1,
	}}}
}

func change(id string, base int64, decl *pb.Declaration) *pb.StreamRecord {
	return &pb.StreamRecord{Id: id, Body: &pb.StreamRecord_Config{Config: &pb.ConfigRecord{
		PublishId: id, Name: decl.GetName(), Base: base, Content: decl,
	}}}
}

// Guards against readers that disagree on which of two concurrent changes wins,
// on a repeated record or on an invalid one.
func TestApply(t *testing.T) {
	c, s := qt.New(t), NewState()
	c.Assert(s.Snapshot(), qt.IsNil)
	c.Assert(s.Apply(0, change("a", -1, team("x", 1))), qt.Equals, Accepted)
	c.Assert(s.Apply(1, change("b", -1, team("x", 2))), qt.Equals, Stale)
	c.Assert(s.Apply(2, change("a", -1, team("x", 1))), qt.Equals, Duplicate)
	c.Assert(s.Apply(3, change("c", 0, team("x", -3))), qt.Equals, Invalid)
	c.Assert(s.Apply(4, change("d", 0, team("x", 4))), qt.Equals, Accepted)
	c.Assert(s.Apply(5, &pb.StreamRecord{}), qt.Equals, Ignored)
	c.Assert(s.Snapshot().Version, qt.Equals, int64(4))
	c.Assert(s.Snapshot().Teams["x"].GetQuota().GetCpuMilli(), qt.Equals, int64(4))
	removal := change("e", 4, team("x", 0))
	removal.GetConfig().Content = nil
	c.Assert(s.Apply(6, removal), qt.Equals, Accepted)
	c.Assert(s.Snapshot().Teams, qt.HasLen, 0)
	c.Assert(s.Merge([]*pb.AcceptedConfig{{Offset: 4, Record: change("d", 0, team("x", 4)).GetConfig()}}), qt.IsFalse)
	c.Assert(s.Snapshot().Version, qt.Equals, int64(6))
}

// Guards against a configuration that differs, or goes back to an older version,
// for a reader that starts after trimmed records, merges the records of peers
// that lag, or reads a snapshot in parts.
func TestReadersAgreeAfterRetention(t *testing.T) {
	complete := 0
	for seed := range int64(300) {
		c := qt.New(t)
		r := rand.New(rand.NewSource(seed))
		whole, states := NewState(), []*State{}
		var stream []*pb.StreamRecord
		for len(stream) < 120 {
			offset := int64(len(stream))
			if r.Intn(15) == 0 {
				stream = append(stream, whole.SnapshotRecords(offset, fmt.Sprint("s", offset))...)
				continue
			}
			name, base := fmt.Sprint("t", r.Intn(4)), int64(-1)
			if newest := whole.Newest(name); newest != nil && r.Intn(4) > 0 {
				base = newest.GetOffset()
			}
			rec := change(fmt.Sprint("p", offset), base, team(name, int64(r.Intn(5))-1))
			stream = append(stream, rec)
			whole.Apply(offset, rec)
			old := NewState()
			old.Merge(whole.Accepted())
			states = append(states, old)
		}
		late, first := NewState(), r.Intn(50)
		late.MarkTrimmed(int64(first))
		version := int64(-1)
		for offset := first; offset < len(stream); offset++ {
			late.Apply(int64(offset), stream[offset])
			if r.Intn(10) == 0 {
				late.Merge(states[r.Intn(len(states))].Accepted())
			}
			c.Assert(late.Version() >= version, qt.IsTrue)
			version = late.Version()
		}
		if late.Complete() {
			complete++
			c.Assert(late.Version(), qt.Equals, whole.Version(), qt.Commentf("seed %d", seed))
			c.Assert(len(late.Accepted()), qt.Equals, len(whole.Accepted()))
		}
	}
	qt.Assert(t, complete > 200, qt.IsTrue, qt.Commentf("%d of 300 found a snapshot", complete))
}

// Guards against a publisher and readers that apply different rules: a value
// that is not valid in a declaration file must not be valid in the stream.
func TestReadersApplyTheRulesOfFiles(t *testing.T) {
	c := qt.New(t)
	c.Assert(Validate(change("a", -1, team("x", 1)).GetConfig()), qt.IsNil)
	bad := team("Not A Name", 0)
	bad.GetTeam().MaxQueuedJobs = 0
	var invalid *InvalidError
	c.Assert(errors.As(Validate(change("a", -1, bad).GetConfig()), &invalid), qt.IsTrue)
	c.Assert(invalid.Reasons, qt.HasLen, 3)
	c.Assert(invalid.Reasons[1], qt.Equals, "team.quota.cpu_milli: must be positive, got 0")
	c.Assert(NewState().Apply(0, change("a", -1, bad)), qt.Equals, Invalid)
}

// Guards against snapshot parts that are too large for the log, and against a
// snapshot that takes effect before its last part.
func TestSnapshotInParts(t *testing.T) {
	c, s := qt.New(t), NewState()
	for i := range 40 {
		job := &pb.Declaration{Name: fmt.Sprint("j", i), Body: &pb.Declaration_BatchJob{BatchJob: &pb.BatchJob{
			Team: "t", Needs: &pb.Resources{CpuMilli: 1, MemoryMib: 1}, ExpectedRunMs: 1, MaxAttempts: 1,
			Workload: strings.Repeat("w", 1024),
		}}}
		for range 3 {
			s.Apply(int64(i), change(fmt.Sprint(i), -1, job))
		}
	}
	for i := range 6000 {
		s.Apply(int64(100+i), change(fmt.Sprint("x", i), -1, team(fmt.Sprint("team", i), 1)))
	}
	parts := s.SnapshotRecords(7000, "s")
	c.Assert(len(parts) > 1, qt.IsTrue)
	fresh := NewState()
	fresh.MarkTrimmed(6500)
	for i, part := range parts {
		c.Assert(fresh.Snapshot(), qt.IsNil)
		c.Assert(proto.Size(part) < 2*maxPartBytes, qt.IsTrue)
		fresh.Apply(int64(7000+i), part)
	}
	c.Assert(fresh.Complete(), qt.IsTrue)
	c.Assert(fresh.Version(), qt.Equals, s.Version())
	c.Assert(fresh.Accepted(), qt.HasLen, 6040)
}

// memoryLog is a log in memory that can fail, or lose the reply to an append that
// took effect.
type memoryLog struct {
	mu       sync.Mutex
	first    int64
	records  [][]byte
	loseNext int
	down     bool
}

var errLog = errors.New("log reply lost")

func (l *memoryLog) Append(_ context.Context, _ string, records [][]byte) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return 0, errLog
	}
	first := int64(len(l.records))
	l.records = append(l.records, records...)
	if l.loseNext > 0 {
		l.loseNext--
		return 0, errLog
	}
	return first, nil
}

func (l *memoryLog) Read(_ context.Context, _ string, from int64, limit int, _ time.Duration) (remote.Batch, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return remote.Batch{}, errLog
	}
	b := remote.Batch{FirstRetained: l.first, Next: int64(len(l.records))}
	for from = max(from, l.first); from < b.Next && len(b.Records) < limit; from++ {
		b.Records = append(b.Records, remote.Record{Offset: from, Data: l.records[from]})
	}
	return b, nil
}

// Guards against a publish that takes effect twice or is reported wrongly when
// replies are lost, when another operator publishes first and when the log is
// down.
func TestPublish(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, log := qt.New(t), &memoryLog{loseNext: 1}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		offset, err := Publish(ctx, log, team("x", 1), "p1")
		c.Assert(err, qt.IsNil)
		c.Assert(offset, qt.Equals, int64(0))
		c.Assert(log.records, qt.HasLen, 1)
		again, err := Publish(ctx, log, team("x", 1), "p1")
		c.Assert(err, qt.IsNil)
		c.Assert(again, qt.Equals, offset)
		c.Assert(log.records, qt.HasLen, 1)

		concurrent, err := proto.Marshal(change("p2", -1, team("x", 2)))
		c.Assert(err, qt.IsNil)
		log.records = append(log.records, concurrent)
		var conflict *ConflictError
		_, err = Publish(ctx, log, team("x", 2), "p2")
		c.Assert(errors.As(err, &conflict), qt.IsTrue, qt.Commentf("%v", err))

		var invalid *InvalidError
		_, err = Publish(ctx, log, team("x", -2), "p3")
		c.Assert(errors.As(err, &invalid), qt.IsTrue, qt.Commentf("%v", err))

		log.down = true
		var unknown *UnknownOutcomeError
		_, err = Publish(ctx, log, team("x", 4), "p4")
		c.Assert(errors.As(err, &unknown), qt.IsTrue, qt.Commentf("%v", err))
	})
}

// Guards against stream records that crash a reader or lower its version.
func FuzzStreamRecord(f *testing.F) {
	whole := NewState()
	whole.Apply(0, change("a", -1, team("x", 1)))
	seeds := []*pb.StreamRecord{change("b", 0, team("x", 2)), change("c", -1, team("y", -1)), {Id: "empty"}}
	seeds = append(seeds, whole.SnapshotRecords(5, "s")...)
	for _, rec := range seeds {
		data, err := proto.Marshal(rec)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data, int64(7))
	}
	f.Add([]byte{0xff, 0x01}, int64(-1))
	f.Fuzz(func(t *testing.T, data []byte, offset int64) {
		var rec pb.StreamRecord
		if proto.Unmarshal(data, &rec) != nil || offset < 0 {
			return
		}
		s := NewState()
		s.Apply(0, change("a", -1, team("x", 1)))
		before := s.Version()
		result := s.Apply(offset, &rec)
		if s.Version() < before {
			t.Fatalf("version went from %d to %d", before, s.Version())
		}
		if s.Snapshot() == nil || result.String() == "" {
			t.Fatal("no configuration")
		}
	})
}
