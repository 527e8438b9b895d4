// Package config computes the configuration from the records of the configuration
// stream, validates declarations and publishes them.
package config

import (
	"sort"

	"google.golang.org/protobuf/proto"

	"gooseberryreel/internal/control"
	"gooseberryreel/internal/pb"
)

const (
	// noVersion is the version before the first accepted record. A record with
	// this base declares a new name.
	noVersion = -1
	// maxBuffered bounds the number of records buffered until a snapshot arrives.
	maxBuffered = 100_000
	// maxParts bounds the number of parts of one snapshot.
	maxParts = 10_000
)

// Result is the outcome of applying a record.
type Result int

// Results of Apply.
const (
	// Ignored means that the record holds no configuration.
	Ignored Result = iota
	// Accepted means that the record changed the configuration.
	Accepted
	// Stale means that the record's base is not the newest accepted record of its
	// name.
	Stale
	// Invalid means that the declaration or the snapshot part is not valid.
	Invalid
	// Duplicate means that the record, or a newer one of its name, has been
	// accepted before.
	Duplicate
	// Deferred means that the record waits: for a snapshot, since records before
	// it are no longer in the log, or for the other parts of its snapshot.
	Deferred
	// Restored means that the record completed a snapshot.
	Restored
)

// String returns the name of the result in lower case.
func (r Result) String() string {
	names := [...]string{"ignored", "accepted", "stale", "invalid", "duplicate", "deferred", "restored"}
	return names[r]
}

// bufferedRecord is a record that waits for a snapshot.
type bufferedRecord struct {
	offset int64
	record *pb.StreamRecord
}

// snapshotParts collects the parts of one snapshot.
type snapshotParts struct {
	coversTo int64
	parts    map[int32][]*pb.AcceptedConfig
}

// State is the configuration after a prefix of the stream. It is not safe for
// concurrent use.
type State struct {
	// accepted holds the newest accepted record of each name. The record of a
	// removed name is kept, so that a merge with a peer doesn't restore the name.
	accepted map[string]*pb.AcceptedConfig
	version  int64
	// missingBefore is the offset below which records are missing, zero for none.
	missingBefore int64
	buffer        []bufferedRecord
	// parts holds the snapshots that still lack parts, by snapshot id.
	parts map[string]*snapshotParts
	// snapshotOffset is the offset of the record that completed the newest
	// snapshot.
	snapshotOffset int64
	// cached is the result of Snapshot, nil after a change.
	cached *control.Config

	disabled disabledRules
}

// disabledRules disables mechanisms, so that tests can show what each prevents.
type disabledRules struct {
	baseCheck    bool // if disabled, a record is accepted whatever its base is
	mergeOrder   bool // if disabled, a merge replaces newer records with older ones
	snapshotWait bool // if disabled, records are applied although earlier ones are missing
}

// NewState returns the state before the first record.
func NewState() *State {
	return &State{
		accepted:       make(map[string]*pb.AcceptedConfig),
		parts:          make(map[string]*snapshotParts),
		version:        noVersion,
		snapshotOffset: noVersion,
	}
}

// Version returns the offset of the newest accepted record, -1 for none.
func (s *State) Version() int64 { return s.version }

// SnapshotOffset returns the offset of the record that completed the newest
// snapshot, -1 for none.
func (s *State) SnapshotOffset() int64 { return s.snapshotOffset }

// Complete reports whether no record is missing. The state then equals that of a
// reader of the whole stream.
func (s *State) Complete() bool { return s.missingBefore == 0 }

// MarkTrimmed marks the records below the offset firstRetained as trimmed from
// the log before they were read. Later records then wait for a snapshot that
// covers the gap.
func (s *State) MarkTrimmed(firstRetained int64) {
	s.missingBefore = max(s.missingBefore, firstRetained)
}

// Apply applies the next record of the stream.
func (s *State) Apply(offset int64, rec *pb.StreamRecord) Result {
	switch body := rec.GetBody().(type) {
	case *pb.StreamRecord_ConfigSnapshot:
		return s.applySnapshotPart(offset, body.ConfigSnapshot)
	case *pb.StreamRecord_Config:
		if !s.Complete() && !s.disabled.snapshotWait {
			if len(s.buffer) < maxBuffered {
				s.buffer = append(s.buffer, bufferedRecord{offset, rec})
			}
			return Deferred
		}
		return s.applyRecord(offset, body.Config)
	default:
		return Ignored
	}
}

func (s *State) applyRecord(offset int64, rec *pb.ConfigRecord) Result {
	if Validate(rec) != nil {
		return Invalid
	}
	newest := int64(noVersion)
	if old := s.accepted[rec.GetName()]; old != nil {
		newest = old.GetOffset()
		if old.GetRecord().GetPublishId() == rec.GetPublishId() || offset <= newest {
			return Duplicate
		}
	}
	if rec.GetBase() != newest && !s.disabled.baseCheck {
		return Stale
	}
	s.setAccepted(&pb.AcceptedConfig{Offset: offset, Record: rec})
	return Accepted
}

func (s *State) setAccepted(a *pb.AcceptedConfig) {
	s.accepted[a.GetRecord().GetName()] = a
	s.version = max(s.version, a.GetOffset())
	if s.disabled.mergeOrder {
		s.version = a.GetOffset()
	}
	s.cached = nil
}

// Merge adds the accepted records of a peer or of a snapshot part. For each name
// it keeps the newer record, so the state never goes back to an older one. It
// reports whether the state changed.
func (s *State) Merge(accepted []*pb.AcceptedConfig) (changed bool) {
	for _, a := range accepted {
		rec := a.GetRecord()
		if a.GetOffset() < 0 || Validate(rec) != nil {
			continue
		}
		if old := s.accepted[rec.GetName()]; old != nil && old.GetOffset() >= a.GetOffset() && !s.disabled.mergeOrder {
			continue
		}
		s.setAccepted(a)
		changed = true
	}
	return changed
}

// Accepted returns the newest accepted record of each name, including removals,
// sorted by offset.
func (s *State) Accepted() []*pb.AcceptedConfig {
	list := make([]*pb.AcceptedConfig, 0, len(s.accepted))
	for _, a := range s.accepted {
		list = append(list, a)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].GetOffset() < list[j].GetOffset() })
	return list
}

// Newest returns the newest accepted record of a name, including a removal, nil
// for none.
func (s *State) Newest(name string) *pb.AcceptedConfig { return s.accepted[name] }

// Snapshot returns the configuration, nil before the first accepted record. The
// result is not modified later.
func (s *State) Snapshot() *control.Config {
	if s.version == noVersion {
		return nil
	}
	if s.cached == nil {
		s.cached = s.buildConfig()
	}
	return s.cached
}

func (s *State) buildConfig() *control.Config {
	c := &control.Config{
		Version:  s.version,
		Services: make(map[string]*pb.Service),
		Jobs:     make(map[string]*pb.BatchJob),
		Teams:    make(map[string]*pb.Team),
	}
	for name, a := range s.accepted {
		switch body := a.GetRecord().GetContent().GetBody().(type) {
		case *pb.Declaration_Service:
			c.Services[name] = proto.CloneOf(body.Service)
		case *pb.Declaration_BatchJob:
			c.Jobs[name] = proto.CloneOf(body.BatchJob)
		case *pb.Declaration_Team:
			c.Teams[name] = proto.CloneOf(body.Team)
		}
	}
	return c
}
