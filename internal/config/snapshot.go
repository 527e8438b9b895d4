package config

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"gooseberryreel/internal/pb"
)

// maxPartBytes bounds the records in one part of a snapshot, unless a single
// record is larger. It is below the record size that log services commonly
// accept.
const maxPartBytes = 256 << 10

// SnapshotRecords returns the parts of a snapshot that covers the records before
// the offset coversTo. The id of each is made of the snapshot's id and the part's
// number.
func (s *State) SnapshotRecords(coversTo int64, snapshotID string) []*pb.StreamRecord {
	var groups [][]*pb.AcceptedConfig
	var group []*pb.AcceptedConfig
	size := 0
	for _, a := range s.Accepted() {
		bytes := proto.Size(a)
		if len(group) > 0 && size+bytes > maxPartBytes {
			groups, group, size = append(groups, group), nil, 0
		}
		group, size = append(group, a), size+bytes
	}
	groups = append(groups, group)
	records := make([]*pb.StreamRecord, len(groups))
	for i, accepted := range groups {
		records[i] = &pb.StreamRecord{
			Id: fmt.Sprintf("%s/%d", snapshotID, i),
			Body: &pb.StreamRecord_ConfigSnapshot{ConfigSnapshot: &pb.ConfigSnapshot{
				CoversTo: coversTo, SnapshotId: snapshotID,
				Part: int32(i), Parts: int32(len(groups)), Accepted: accepted,
			}},
		}
	}
	return records
}

// applySnapshotPart collects a part of a snapshot and applies the snapshot once
// it has all parts.
func (s *State) applySnapshotPart(offset int64, part *pb.ConfigSnapshot) Result {
	if part.GetParts() < 1 || part.GetParts() > maxParts || part.GetPart() < 0 ||
		part.GetPart() >= part.GetParts() || part.GetCoversTo() > offset {
		return Invalid
	}
	for _, a := range part.GetAccepted() {
		if a.GetOffset() < 0 || a.GetOffset() >= part.GetCoversTo() {
			return Invalid
		}
	}
	id := part.GetSnapshotId()
	collected := s.parts[id]
	if collected == nil {
		collected = &snapshotParts{coversTo: part.GetCoversTo(), parts: make(map[int32][]*pb.AcceptedConfig)}
		s.parts[id] = collected
	}
	if collected.coversTo != part.GetCoversTo() {
		return Invalid
	}
	collected.parts[part.GetPart()] = part.GetAccepted()
	if len(collected.parts) < int(part.GetParts()) {
		return Deferred
	}
	s.restore(offset, collected)
	return Restored
}

// restore merges a complete snapshot. If it covers the missing records, restore
// also applies the buffered records that follow it.
func (s *State) restore(offset int64, snapshot *snapshotParts) {
	clear(s.parts)
	s.snapshotOffset = offset
	for _, accepted := range snapshot.parts {
		s.Merge(accepted)
	}
	if s.Complete() || snapshot.coversTo < s.missingBefore {
		return
	}
	s.missingBefore = 0
	waiting := s.buffer
	s.buffer = nil
	for _, b := range waiting {
		if b.offset >= snapshot.coversTo {
			s.applyRecord(b.offset, b.record.GetConfig())
		}
	}
}
