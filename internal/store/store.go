// Package store defines the interface to the platform's metadata store. The
// store has partitioned logs of keyed records, with fenced producers and
// compaction to the newest record of each key, and groups whose members expire.
package store

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Errors that an implementation of Store wraps.
var (
	// ErrRefused is returned if the store did not carry out the call.
	ErrRefused = errors.New("the store refused the call")
	// ErrRejected is returned if the store will never carry out the call, however often
	// it is repeated.
	ErrRejected = errors.New("the store rejects the call")
	// ErrFenced is returned if the store has seen a newer epoch of the producer.
	ErrFenced = errors.New("a newer epoch of this producer exists")
	// ErrConflict is returned if the partition does not end at the expected
	// offset.
	ErrConflict = errors.New("the partition does not end at the expected offset")
	// ErrOutOfSequence is returned if the sequence number is not the next one of
	// the producer.
	ErrOutOfSequence = errors.New("the sequence number is out of order")
	// ErrTrimmed is returned if the store no longer keeps the records at the
	// offset.
	ErrTrimmed = errors.New("the records at this offset have been trimmed")
)

// Partition identifies a partition of a topic.
type Partition struct {
	Topic  string
	Number int
}

// Producer identifies an append of one writer. The store carries out an append
// with the same name, epoch and sequence number only once, and refuses appends
// with an older epoch.
type Producer struct {
	Name     string
	Epoch    int64
	Sequence int64
}

// AppendOptions are the conditions of an append.
type AppendOptions struct {
	Producer *Producer
	// ExpectedEnd is the offset at which the partition must end, nil for no
	// condition.
	ExpectedEnd *int64
}

// Record is the value of a key. A record without a value deletes the key.
type Record struct {
	Key   string
	Value []byte
}

// Batch is the result of a read.
type Batch struct {
	End   int64 // the offset after the last record of the partition
	First int64 // the first offset that the store still keeps
	// Next is the offset after the last record of the batch.
	Next    int64
	Records []Record
	// Unreadable is the number of records that could not be decoded and were left
	// out.
	Unreadable int
}

// Group is a set of members that expire. The store assigns the partitions of the
// group's topics to the members and lists only members that have a partition, so
// a group with more members than partitions needs more topics.
type Group struct {
	Name   string
	Topics int // number of topics
}

// Member is a live member of a group.
type Member struct {
	Name string
}

// Store is the platform's metadata store. A call that fails with an error other
// than ErrRefused, ErrRejected, ErrFenced, ErrConflict and ErrOutOfSequence may have been
// carried out, or may still be carried out later.
type Store interface {
	// Append adds all records or none, and returns the offset after them.
	Append(ctx context.Context, p Partition, records []Record, o AppendOptions) (end int64, err error)
	// Read returns records from an offset on. If there are none yet it waits for
	// up to wait. It fails with ErrTrimmed if the offset is no longer kept.
	Read(ctx context.Context, p Partition, from int64, wait time.Duration) (Batch, error)
	// Newest returns the newest record of each key, and the end of the partition
	// before the first page was read. The records may include later ones.
	Newest(ctx context.Context, p Partition) (records []Record, end int64, err error)
	// Trim allows the store to drop the records before an offset.
	Trim(ctx context.Context, p Partition, before int64) error
	// Join adds a member to a group for ttl, or extends its membership to ttl from
	// now.
	Join(ctx context.Context, group Group, member string, ttl time.Duration) error
	// Leave removes a member from a group.
	Leave(ctx context.Context, group Group, member string) error
	// Members returns the live members of a group.
	Members(ctx context.Context, group Group) ([]Member, error)
}
