package entry

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"

	"gooseberryreel/internal/control"
	"gooseberryreel/internal/events"
	"gooseberryreel/internal/ownership"
	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/remote"
)

// flakyLog applies every append and returns an error for the first ones, as if
// their responses were lost.
type flakyLog struct {
	remote.Log
	lostResponses int
	records       []*pb.StreamRecord
}

var errResponseLost = errors.New("response lost")

func (l *flakyLog) Append(_ context.Context, _ string, records [][]byte) (int64, error) {
	for _, data := range records {
		rec := &pb.StreamRecord{}
		if err := proto.Unmarshal(data, rec); err != nil {
			return 0, err
		}
		l.records = append(l.records, rec)
	}
	if l.lostResponses > 0 {
		l.lostResponses--
		return 0, errResponseLost
	}
	return 0, nil
}

func jobRecord(id string, epoch int64) *pb.StreamRecord {
	return &pb.StreamRecord{Id: id, Body: &pb.StreamRecord_Job{Job: &pb.JobRecord{Epoch: epoch, Job: &pb.Job{Id: id}}}}
}

// Guards against records that are dropped when the response to their append is
// lost, sent again after they were read back, or overtaken by a release.
func TestAppenderRetriesWithTheSameID(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, log := qt.New(t), &flakyLog{lostResponses: 2}
		a := newAppender(log, "s", newMetrics(prometheus.NewRegistry()), nil)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		a.addDurable(jobRecord("one", 0), jobRecord("two", 0))
		a.addOnce(&pb.StreamRecord{Id: "beat", Body: &pb.StreamRecord_Heartbeat{}})
		go func() { done <- a.run(ctx) }()
		synctest.Wait()
		a.markReadBack("one")
		time.Sleep(time.Second)
		cancel()
		c.Assert(<-done, qt.IsNil)
		var ids []string
		for _, rec := range log.records {
			ids = append(ids, rec.GetId())
		}
		c.Assert(ids, qt.DeepEquals, []string{"one", "two", "beat", "two", "two"})

		for n := range maxBatchRecords + 1 {
			a.addDurable(jobRecord(fmt.Sprint(n), 0))
		}
		a.addOnce(&pb.StreamRecord{Id: "release", Body: &pb.StreamRecord_Release{Release: &pb.Release{}}})
		a.addOnce(&pb.StreamRecord{Id: "beat", Body: &pb.StreamRecord_Heartbeat{}})
		batch := a.nextBatch()
		c.Assert(batch, qt.HasLen, maxBatchRecords+1)
		c.Assert(batch[maxBatchRecords].GetId(), qt.Equals, "beat")
		c.Assert(a.once, qt.HasLen, 1)
	})
}

// recordingModule is a control.Module that records the ids of applied records.
type recordingModule struct{ ids []string }

func (m *recordingModule) ApplyRecord(rec control.LogRecord, _ time.Time) {
	m.ids = append(m.ids, rec.Record.GetId())
}

func (*recordingModule) Tick(time.Time, *control.View) {}

// Guards against a job state that is set back by a repeated record or by a
// record of a replaced owner.
func TestJobRecordsOfStaleEpochsAreDropped(t *testing.T) {
	c, module := qt.New(t), &recordingModule{}
	i := &Instance{
		id: ownership.ID{Name: "i"}, settings: &pb.EntrySettings{}, metrics: newMetrics(prometheus.NewRegistry()),
		events: events.NewRecorder("i", 1, events.NewClock(time.Now)),
	}
	i.state.core = ownership.New(ownership.Options{Partitions: 1, Lease: time.Second})
	i.state.seen = newRecentIDs()
	i.state.modules = []control.Module{module}
	claim := func(replaces int64) *pb.StreamRecord {
		return &pb.StreamRecord{Author: fmt.Sprint("owner", replaces), Body: &pb.StreamRecord_Claim{Claim: &pb.Claim{ReplacesEpoch: replaces}}}
	}
	stream := []*pb.StreamRecord{
		claim(-1), jobRecord("a", 0), jobRecord("a", 0), claim(0), jobRecord("b", 0), jobRecord("c", 3), claim(0), jobRecord("d", 3),
	}
	for offset, rec := range stream {
		i.applyRecord(time.Now(), streamRecord{offset: int64(offset), rec: rec})
	}
	c.Assert(module.ids, qt.DeepEquals, []string{"a", "c", "d"})
}
