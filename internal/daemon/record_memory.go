package daemon

import (
	"cmp"
	"sync/atomic"

	"google.golang.org/protobuf/proto"

	"gooseberryreel/internal/errs"
	"gooseberryreel/internal/pb"
)

const (
	// recordMemoryShare is the share of the machine's memory that waiting records take.
	recordMemoryShare = 8
	// recordHeadroom is how often a record must fit into the memory that is left. Large
	// records thus leave room for small ones.
	recordHeadroom = 16
	// defaultMemoryMib applies if the settings don't set the machine's memory.
	defaultMemoryMib = 256
)

// recordMemory limits the records of submissions and cancellations that wait for the store
// or the owner, in bytes: each may have the size of a request body.
type recordMemory struct {
	max  int64
	used atomic.Int64
}

func newRecordMemory(s *pb.SchedulerSettings) *recordMemory {
	return &recordMemory{max: cmp.Or(s.GetMemoryMib(), defaultMemoryMib) << 20 / recordMemoryShare}
}

// reserve reserves the memory of a record until release is called. A record that waits
// alone is admitted whatever its size.
func (m *recordMemory) reserve(record *pb.IntakeRecord) (release func(), err error) {
	size := int64(proto.Size(record))
	before := m.used.Add(size) - size
	release = func() { m.used.Add(-size) }
	if before > 0 && before+recordHeadroom*size > m.max {
		release()
		return nil, errs.New("intake", "", "a record of %d bytes has no room beside the %d bytes that wait for the store, the limit is %d", size, before, m.max).WithRetry()
	}
	return release, nil
}
