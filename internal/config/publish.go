package config

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/remote"
)

// Stream is the name of the configuration stream.
const Stream = "config"

const (
	maxReadRecords = 1000
	retryDelay     = 250 * time.Millisecond
	appendTimeout  = 5 * time.Second
	readTimeout    = 5 * time.Second
)

// ConflictError means that another change of the same name was accepted first.
type ConflictError struct {
	Name string
	// Offset is the offset of the rejected record.
	Offset int64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("another change of %q was accepted first (rejected record at offset %d)", e.Name, e.Offset)
}

// UnknownOutcomeError means that the outcome of a publish is unknown. Publishing
// again with the same publish id resolves it.
type UnknownOutcomeError struct {
	PublishID string
	Cause     error
}

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("publish %s: it is not known whether the change was accepted: %v", e.PublishID, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// publisher reads the stream until it has read its own record back.
type publisher struct {
	log    remote.Log
	state  *State
	next   int64
	record *pb.ConfigRecord
	// found is set once record has been read back or restored, with its offset
	// and result.
	found  bool
	offset int64
	result Result
	// deferred is the offset of record while it waits for a snapshot, zero
	// for none.
	deferred int64
}

// Publish appends a declaration and returns the offset of its record once the
// record has been read back as accepted. Errors are *InvalidError,
// *ConflictError and *UnknownOutcomeError. After an *UnknownOutcomeError the
// caller may publish again with the same publish id: the change takes effect at
// most once.
func Publish(ctx context.Context, log remote.Log, decl *pb.Declaration, publishID string) (offset int64, err error) {
	p := &publisher{log: log, state: NewState(), record: &pb.ConfigRecord{
		PublishId: publishID, Name: decl.GetName(), Base: noVersion, Content: decl,
	}}
	if err := Validate(p.record); err != nil {
		return 0, err
	}
	if err := p.catchUp(ctx); err != nil {
		return 0, p.unknownOutcome(err)
	}
	if p.found {
		return p.outcome()
	}
	if newest := p.state.Newest(decl.GetName()); newest != nil {
		p.record.Base = newest.GetOffset()
	}
	return p.appendAndWait(ctx)
}

// appendAndWait appends the publisher's record until it has been read back.
func (p *publisher) appendAndWait(ctx context.Context) (int64, error) {
	data, err := proto.Marshal(&pb.StreamRecord{
		Id: p.record.GetPublishId(), Author: "publish", Body: &pb.StreamRecord_Config{Config: p.record},
	})
	if err != nil {
		return 0, errors.Wrap(err, "encode record")
	}
	for {
		appendCtx, cancel := context.WithTimeout(ctx, appendTimeout)
		_, appendErr := p.log.Append(appendCtx, Stream, [][]byte{data})
		cancel()
		// A failed append may have taken effect, so only the stream shows the
		// outcome.
		err := p.catchUp(ctx)
		if p.found {
			return p.outcome()
		}
		if ctx.Err() != nil {
			return 0, p.unknownOutcome(firstError(appendErr, err, ctx.Err()))
		}
		sleep(ctx, retryDelay)
	}
}

// catchUp reads to the current end of the stream. It retries failed reads until
// the context is done.
func (p *publisher) catchUp(ctx context.Context) error {
	for {
		readCtx, cancel := context.WithTimeout(ctx, readTimeout)
		batch, err := p.log.Read(readCtx, Stream, p.next, maxReadRecords, 0)
		cancel()
		if err != nil {
			if ctx.Err() != nil {
				return err
			}
			sleep(ctx, retryDelay)
			continue
		}
		if batch.FirstRetained > p.next {
			p.state.MarkTrimmed(batch.FirstRetained)
			p.next = batch.FirstRetained
		}
		for _, rec := range batch.Records {
			p.apply(rec)
		}
		if len(batch.Records) == 0 || p.next >= batch.Next {
			p.findRestored()
			return p.checkComplete()
		}
	}
}

func (p *publisher) checkComplete() error {
	if !p.state.Complete() {
		return errors.New("records of the configuration stream were trimmed, and no snapshot covers them")
	}
	return nil
}

// apply applies a record of the stream and keeps the result if it is the
// publisher's record.
func (p *publisher) apply(rec remote.Record) {
	p.next = max(p.next, rec.Offset+1)
	var record pb.StreamRecord
	if proto.Unmarshal(rec.Data, &record) != nil {
		return
	}
	result := p.state.Apply(rec.Offset, &record)
	own := record.GetConfig().GetPublishId() == p.record.GetPublishId() && record.GetConfig() != nil
	switch {
	case !own || p.found:
	case result == Deferred:
		p.deferred = rec.Offset
	default:
		p.found, p.offset, p.result = true, rec.Offset, result
	}
}

// findRestored looks for the publisher's record among the records that a snapshot
// restored. If the record was deferred and is not among them, it is not in force.
func (p *publisher) findRestored() {
	if p.found || !p.state.Complete() {
		return
	}
	newest := p.state.Newest(p.record.GetName())
	switch {
	case newest.GetRecord().GetPublishId() == p.record.GetPublishId():
		p.found, p.offset, p.result = true, newest.GetOffset(), Accepted
	case p.deferred > 0:
		p.found, p.offset, p.result = true, p.deferred, Stale
	}
}

// outcome returns the offset of the publisher's record, or the error for its result.
func (p *publisher) outcome() (int64, error) {
	switch p.result {
	case Accepted, Duplicate:
		return p.offset, nil
	case Invalid:
		return 0, errors.WithStack(&InvalidError{Name: p.record.GetName(), Reasons: []string{"rejected by the readers of the stream"}})
	default:
		return 0, errors.WithStack(&ConflictError{Name: p.record.GetName(), Offset: p.offset})
	}
}

func (p *publisher) unknownOutcome(cause error) error {
	return errors.WithStack(&UnknownOutcomeError{PublishID: p.record.GetPublishId(), Cause: cause})
}

// firstError returns the first error of the list that is not nil.
func firstError(list ...error) error {
	for _, err := range list {
		if err != nil {
			return err
		}
	}
	return nil
}

// sleep waits for d or until the context is done.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
