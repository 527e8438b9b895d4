package daemon

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"

	"google.golang.org/protobuf/proto"

	"gooseberryreel/internal/errs"
	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/store"
)

const (
	// defaultRecordBytes and defaultCallBytes apply if the settings don't set the limits
	// of the store.
	defaultRecordBytes = 256 << 10
	defaultCallBytes   = 2 << 20
	// recordOverheadBytes is what a record takes beside its key and value: its length
	// and that of the key.
	recordOverheadBytes = 5
	// blockSeparator separates the id of a job from the number of a block in a key.
	blockSeparator = "/"
)

func blockKey(id string, number int) string { return id + blockSeparator + strconv.Itoa(number) }

// recordLimits are the store's limits, in bytes.
type recordLimits struct{ record, call int }

func newRecordLimits(s *pb.StoreSettings) recordLimits {
	l := recordLimits{int(s.GetRecordBytes()), int(s.GetCallBytes())}
	if l.record <= 0 {
		l.record = defaultRecordBytes
	}
	if l.call <= 0 {
		l.call = defaultCallBytes
	}
	return l
}

// sizeOf returns the size of a record as it counts against the limits.
func sizeOf(r store.Record) int { return recordOverheadBytes + len(r.Key) + len(r.Value) }

// pack joins groups of records to appends within the limit of a call. A group is divided
// only if it exceeds the limit by itself.
func (l recordLimits) pack(groups [][]store.Record) [][]store.Record {
	var appends [][]store.Record
	var current []store.Record
	size := 0
	add := func(records []store.Record, bytes int) {
		if size+bytes > l.call && len(current) > 0 {
			appends, current, size = append(appends, current), nil, 0
		}
		current, size = append(current, records...), size+bytes
	}
	for _, group := range groups {
		bytes := 0
		for _, r := range group {
			bytes += sizeOf(r)
		}
		if bytes <= l.call {
			add(group, bytes)
			continue
		}
		for _, r := range group {
			add([]store.Record{r}, sizeOf(r))
		}
	}
	if len(current) > 0 {
		appends = append(appends, current)
	}
	return appends
}

// marshalTasks encodes a message that contains tasks. If it exceeds the limit of a
// record, checkpoints are left out, the largest first: a task without one is started from
// its beginning after a takeover if its worker is lost as well. It returns their number.
func (l recordLimits) marshalTasks(key string, m proto.Message, tasks []*pb.StoredTask) (data []byte, dropped int, err error) {
	data, err = proto.Marshal(m)
	excess := sizeOf(store.Record{Key: key, Value: data}) - l.record
	if err != nil || excess <= 0 {
		return data, 0, err
	}
	largest := slices.Clone(tasks)
	slices.SortFunc(largest, func(a, b *pb.StoredTask) int { return len(b.GetCheckpoint()) - len(a.GetCheckpoint()) })
	for _, t := range largest {
		if excess <= 0 || t.GetCheckpoint() == "" {
			break
		}
		excess -= len(t.GetCheckpoint())
		t.Checkpoint = ""
		dropped++
	}
	data, err = proto.Marshal(m)
	return data, dropped, err
}

// encodePairs returns the records of the latency model, of which each holds as many
// services as fit.
func (l recordLimits) encodePairs(model *pb.StoredPairs) ([]store.Record, error) {
	var parts []*pb.StoredPairs
	part, size := &pb.StoredPairs{}, 0
	for _, s := range model.GetServices() {
		// The tag and the length of a service take up to 8 bytes.
		bytes := proto.Size(s) + 8
		if size+bytes > l.record-recordOverheadBytes-len(interferenceKey)-8 && size > 0 {
			parts, part, size = append(parts, part), &pb.StoredPairs{}, 0
		}
		part.Services, size = append(part.Services, s), size+bytes
	}
	var records []store.Record
	for n, p := range append(parts, part) {
		data, err := proto.Marshal(p)
		if err != nil {
			return nil, err
		}
		key := interferenceKey
		if n > 0 {
			key = blockKey(interferenceKey, n)
		}
		records = append(records, store.Record{Key: key, Value: data})
	}
	return records, nil
}

// checkSubmission returns an error that names the largest field if the store can't take
// the record of a submission.
func (l recordLimits) checkSubmission(s *pb.Submission) *errs.Error {
	record := &pb.IntakeRecord{Kind: &pb.IntakeRecord_Submission{Submission: s}}
	total := recordOverheadBytes + len(s.GetId()) + proto.Size(record)
	if total <= l.record {
		return nil
	}
	field, size := "Spec", len(s.GetPayload())
	consider := func(name string, bytes int) {
		if bytes > size {
			field, size = name, bytes
		}
	}
	consider("Request-Id", len(s.GetRequestId()))
	for n, step := range s.GetSteps() {
		for name, bytes := range map[string]int{
			"Requires": len(step.GetRequiredLabel()), "Affinity": len(step.GetDataRack()), "Image": len(step.GetImage()), "After": len(step.GetAfter()),
		} {
			consider(fmt.Sprintf("Phases[%d].%s", n, name), bytes)
		}
	}
	return errs.New("intake", "", "%s: with %d bytes the submission takes %d bytes in the store, the limit is %d", field, size, total, l.record).
		WithStatus(http.StatusRequestEntityTooLarge)
}
