package daemon

import (
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/scheduler"
	"gooseberryreel/internal/store"
)

// commitBatch appends a batch under the epoch of the term and notifies the core when it
// is stored. It repeats each append until the store has responded. Repeating it is safe,
// since the store carries out a sequence number only once. The owner's record goes with it
// if there are channels in recordQueued, which it closes.
func (o *ownerTerm) commitBatch(b *scheduler.Batch, owner *pb.OwnerRecord, recordQueued []chan struct{}) {
	if len(recordQueued) == 0 {
		owner = nil
	}
	groups, err := o.encodeBatch(b, owner)
	if err != nil {
		o.endTerm("batch cannot be encoded: " + err.Error())
		return
	}
	for _, records := range o.instance.limits.pack(groups) {
		rejected, ok := o.append(records)
		if !ok {
			return
		}
		for _, key := range rejected {
			id, _, _ := strings.Cut(key, blockSeparator)
			if id == ownerKey {
				o.endTerm("the store rejects the owner's record")
				return
			}
			b.Rejected = append(b.Rejected, id)
		}
	}
	for _, stored := range recordQueued {
		close(stored)
	}
	o.post(workCommitted, func(c *scheduler.Core, now time.Time) {
		o.appending = false
		if owner != nil {
			c.AllowLeases()
		}
		c.Committed(b, now)
	})
}

// encodeBatch returns the records of a batch in groups. Those of a group belong in one
// append.
func (o *ownerTerm) encodeBatch(b *scheduler.Batch, owner *pb.OwnerRecord) ([][]store.Record, error) {
	var groups [][]store.Record
	if owner != nil {
		data, err := proto.Marshal(owner)
		if err != nil {
			return nil, errors.Wrap(err, ownerKey)
		}
		groups = append(groups, []store.Record{{Key: ownerKey, Value: data}})
	}
	if b.Interference != nil {
		records, err := o.instance.limits.encodePairs(b.Interference)
		if err != nil {
			return nil, errors.Wrap(err, interferenceKey)
		}
		groups = append(groups, records)
	}
	// What an earlier owner has left goes before records that may have the same key.
	for _, key := range b.Removed {
		groups = append(groups, []store.Record{{Key: key}})
	}
	for _, j := range b.Jobs {
		records, err := o.encodeJob(j)
		if err != nil {
			return nil, errors.Wrap(err, j.State.GetId())
		}
		groups = append(groups, records)
	}
	return groups, nil
}

// encodeJob returns the records of a job: the blocks that have changed, its state, and
// the removal of blocks that it does not refer to any more.
func (o *ownerTerm) encodeJob(j scheduler.JobRecord) ([]store.Record, error) {
	var records, removed []store.Record
	dropped := 0
	for number, block := range j.Blocks {
		key := blockKey(j.State.GetId(), number)
		if block == nil {
			removed = append(removed, store.Record{Key: key})
			continue
		}
		data, n, err := o.instance.limits.marshalTasks(key, block, block.GetTasks())
		if err != nil {
			return nil, err
		}
		records, dropped = append(records, store.Record{Key: key, Value: data}), dropped+n
	}
	var tasks []*pb.StoredTask
	for _, r := range j.State.GetRounds() {
		for _, s := range r.GetSteps() {
			tasks = append(tasks, s.GetTasks()...)
		}
	}
	data, n, err := o.instance.limits.marshalTasks(j.State.GetId(), j.State, tasks)
	if err != nil {
		return nil, err
	}
	if dropped += n; dropped > 0 {
		o.instance.log.WithField("event", "checkpoints not stored").WithField("job", j.State.GetId()).WithField("tasks", dropped).Warn("store")
	}
	records = append(records, store.Record{Key: j.State.GetId(), Value: data})
	return append(records, removed...), nil
}

// append appends records to the job topic, with retries until the store has responded.
// Records that the store rejects hold up no others: it returns their keys. It returns
// false if the term has ended.
func (o *ownerTerm) append(records []store.Record) (rejected []string, ok bool) {
	i := o.instance
	start := time.Now()
	for o.ctx.Err() == nil {
		attempted := bootTime()
		end, err := i.store.Append(o.ctx, jobTopic, records, store.AppendOptions{
			Producer: &store.Producer{Name: ownerName, Epoch: o.epoch, Sequence: o.sequence},
		})
		switch {
		case err == nil:
			o.sequence++
			o.confirmed.advance(attempted)
			o.committedEnd.Store(end)
			i.metrics.commitSeconds.Observe(time.Since(start).Seconds())
			return nil, true
		case errors.Is(err, store.ErrFenced), errors.Is(err, store.ErrOutOfSequence):
			o.endTerm(err.Error())
			return nil, false
		case errors.Is(err, store.ErrRejected) && len(records) > 1:
			half := len(records) / 2
			first, ok := o.append(records[:half])
			if !ok {
				return nil, false
			}
			second, ok := o.append(records[half:])
			return slices.Concat(first, second), ok
		case errors.Is(err, store.ErrRejected):
			i.metrics.rejected.WithLabelValues(jobTopic.Topic).Inc()
			i.log.WithField("event", "record rejected").WithField("key", records[0].Key).WithField("bytes", len(records[0].Value)).
				WithError(err).Error("store")
			return []string{records[0].Key}, true
		}
		sleep(o.ctx, appendRetryDelay)
	}
	return nil, false
}
