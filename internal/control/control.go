// Package control defines the interface between the control goroutine of an
// entry instance and the rest of the process.
//
// One goroutine owns all control state. It calls the Modules in order and
// publishes an immutable View for the goroutines that serve requests. Modules
// never block: network calls run in other goroutines, which pass their results
// back with Loop.Post.
package control

import (
	"time"

	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/remote"
)

// Loop is the interface of the control goroutine for its modules.
type Loop interface {
	// Post runs f on the control goroutine.
	Post(f func(now time.Time))
	// Append queues a record for the domain's control stream and returns its id.
	// The loop sets id, author and incarnation, appends records in batches and
	// retries with the same id until the record is read back. The record has
	// taken effect only once it is passed to Module.ApplyRecord.
	Append(rec *pb.StreamRecord) string
	// View returns the newest view. It is safe for concurrent use.
	View() *View
}

// LogRecord is a record of the control stream that passed the checks for
// duplicates and stale epochs.
type LogRecord struct {
	Offset int64
	Record *pb.StreamRecord
}

// Module is a part of the control state. All its methods run on the control
// goroutine.
type Module interface {
	// ApplyRecord applies an accepted record of the control stream. It is called
	// once for each, in order, but not for a job record whose epoch is stale.
	ApplyRecord(rec LogRecord, now time.Time)
	// Tick is called about every 50 ms and after each change of the view.
	Tick(now time.Time, view *View)
}

// View is an immutable snapshot of the control state.
type View struct {
	Instance    string
	Incarnation uint64
	Domain      string
	// Leaving reports whether this instance has started a planned leave.
	Leaving bool
	// LogReadable reports whether the control stream was last read less than a
	// lease ago.
	LogReadable bool
	// Config is the accepted configuration, nil before the first.
	Config *Config
	// Members are the entry instances of all domains whose address is known.
	Members []Member
	// Targets and Workers are the listed instances of this instance's domain,
	// including those that are leaving.
	Targets []remote.Instance
	Workers []remote.Instance
	// Partitions are those of this instance's domain. The last one is the job
	// partition.
	Partitions []Partition
}

// RequestPartitions returns the number of request partitions.
func (v *View) RequestPartitions() int { return len(v.Partitions) - 1 }

// JobPartition returns the number of the job partition.
func (v *View) JobPartition() int { return len(v.Partitions) - 1 }

// Config is the accepted configuration at a version.
type Config struct {
	// Version is the offset of the newest accepted record.
	Version  int64
	Services map[string]*pb.Service
	Jobs     map[string]*pb.BatchJob
	Teams    map[string]*pb.Team
}

// Member is an entry instance.
type Member struct {
	Name        string
	Domain      string
	PeerAddress string
	Leaving     bool
}

// Partition is the state of a partition of the domain as this instance knows it.
type Partition struct {
	// Owner is empty while the partition has no owner.
	Owner        string
	OwnerAddress string
	// Epoch is the offset of the valid claim, -1 for none.
	Epoch int64
	// PreviousEpoch is the epoch that the valid claim replaced, -1 for none.
	PreviousEpoch int64
	// EffectiveAt is the wall-clock time from which the owner may start new work.
	EffectiveAt time.Time
	// Own reports whether this instance is the owner.
	Own bool
	// ActUntil is the end of this instance's permission to start new work. It
	// has a monotonic reading; compare it with time.Now just before each start.
	ActUntil time.Time
	// Clean reports whether the previous owner released the partition, or there
	// was none. No work of a previous owner can then be in flight beyond what was
	// handed over.
	Clean bool
}

// MayAct reports whether this instance may start new work of the partition at
// the time now.
func (p *Partition) MayAct(now time.Time) bool {
	return p.Own && !now.Before(p.EffectiveAt) && now.Before(p.ActUntil)
}
