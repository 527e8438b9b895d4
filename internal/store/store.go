// Package store defines what the system needs of the platform's metadata
// store: partitioned logs of keyed records with fenced producers, which keep the
// newest record of each key, and groups whose members expire.
package store

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Errors that an implementation wraps.
var (
	// ErrRefused says that the store did nothing.
	ErrRefused = errors.New("the store refused the call")
	// ErrFenced says that a newer epoch of the producer exists.
	ErrFenced = errors.New("a newer epoch of this producer exists")
	// ErrConflict says that the partition does not end at the expected offset.
	ErrConflict = errors.New("the partition ends elsewhere")
	// ErrOutOfSequence says that the producer's sequence number does not follow.
	ErrOutOfSequence = errors.New("sequence number out of order")
	// ErrTrimmed says that the records at the offset are no longer kept.
	ErrTrimmed = errors.New("records are no longer kept")
)

// Partition names a partition of a topic.
type Partition struct {
	Topic  string
	Number int
}

// Producer makes appends of one writer repeatable and fences older epochs.
type Producer struct {
	Name     string
	Epoch    int64
	Sequence int64
}

// AppendOptions are the conditions of an append.
type AppendOptions struct {
	Producer *Producer
	// ExpectedEnd is the offset at which the partition must end, nil for no condition.
	ExpectedEnd *int64
}

// Record is the value of a key. Without a value it drops the key.
type Record struct {
	Key   string
	Value []byte
}

// Batch is the result of a read.
type Batch struct {
	End   int64
	First int64
	// Next is the offset after the last record of the batch.
	Next    int64
	Records []Record
	// Unreadable is the number of records that were left out.
	Unreadable int
}

// Group is a set of expiring members. The store deals the partitions of its
// topics to the members and lists only members that hold one, so a group with
// more members than partitions needs more topics.
type Group struct {
	Name   string
	Topics int
}

// Member is a live member of a group.
type Member struct {
	Name string
}

// Store is the platform's store. A call that fails without ErrRefused,
// ErrFenced, ErrConflict or ErrOutOfSequence may have been carried out, or may
// be carried out later.
type Store interface {
	// Append adds records all or nothing and returns the offset after them.
	Append(ctx context.Context, p Partition, records []Record, o AppendOptions) (end int64, err error)
	// Read returns records from an offset on and waits up to wait for one.
	Read(ctx context.Context, p Partition, from int64, wait time.Duration) (Batch, error)
	// Newest returns the newest record of each key and the end of the partition
	// before the first page was read.
	Newest(ctx context.Context, p Partition) (records []Record, end int64, err error)
	// Trim allows the store to drop the records before an offset.
	Trim(ctx context.Context, p Partition, before int64) error
	// Join keeps a member in a group for ttl.
	Join(ctx context.Context, group Group, member string, ttl time.Duration) error
	Leave(ctx context.Context, group Group, member string) error
	// Members returns the live members of a group.
	Members(ctx context.Context, group Group) ([]Member, error)
}
