package config

import (
	"fmt"
	"math/rand"
	"testing"

	qt "github.com/frankban/quicktest"

	"gooseberryreel/internal/pb"
)

// runSchedule runs a random schedule of concurrent publishes, repeated records,
// merges with peers that lag, and a reader that starts after the beginning of
// the stream. It returns how the schedule breaks guarantee G9, or an empty
// string: readers differ, a version goes back, or a change is undone.
func runSchedule(seed int64, disabled disabledRules) string {
	r := rand.New(rand.NewSource(seed))
	reader, other, late := NewState(), NewState(), NewState()
	for _, s := range []*State{reader, other, late} {
		s.disabled = disabled
	}
	first := int64(5 + r.Intn(20))
	late.MarkTrimmed(first)
	var stream []*pb.StreamRecord
	var peers [][]*pb.AcceptedConfig
	version := int64(noVersion)
	for offset := int64(0); offset < 80; offset++ {
		rec := randomRecord(r, offset, stream, reader)
		stream = append(stream, rec)
		before := reader.Newest("team")
		result := reader.Apply(offset, rec)
		other.Apply(offset, rec)
		if offset >= first {
			late.Apply(offset, rec)
		}
		if result == Accepted && rec.GetConfig().GetBase() != before.GetOffset() && before != nil {
			return "a change was undone by one that did not know it"
		}
		peers = append(peers, reader.Accepted())
		if r.Intn(4) == 0 {
			late.Merge(peers[r.Intn(len(peers))])
		}
		if late.Version() < version {
			return "a version went back"
		}
		version = late.Version()
		if version > reader.Version() {
			return "a late reader accepted what others did not"
		}
		if reader.Version() != other.Version() {
			return "readers of the same stream differ"
		}
	}
	if late.Complete() && late.Version() != reader.Version() {
		return "a late reader differs"
	}
	return ""
}

// randomRecord returns a random record: a publish with the newest or an older
// base, a repeated record, or a snapshot.
func randomRecord(r *rand.Rand, offset int64, stream []*pb.StreamRecord, reader *State) *pb.StreamRecord {
	switch kind := r.Intn(12); {
	case kind == 0 && len(stream) > 0:
		return stream[r.Intn(len(stream))]
	case kind == 1 && reader.Version() >= 0:
		return reader.SnapshotRecords(offset, fmt.Sprint("s", offset))[0]
	}
	base := int64(noVersion)
	if newest := reader.Newest("team"); newest != nil {
		base = newest.GetOffset()
	}
	switch r.Intn(8) {
	case 0, 1:
		base -= int64(r.Intn(3)) // the publisher's read of the stream is outdated
	case 2:
		base = noVersion // the publisher declares the name as a new one
	}
	return change(fmt.Sprint("p", offset), max(base, noVersion), team("team", 1+offset))
}

// Guards against mechanisms that the schedules don't exercise: with all of them no
// schedule breaks G9, with one of them disabled some schedule does.
func TestMechanismOff(t *testing.T) {
	const schedules = 500
	for _, test := range []struct {
		name     string
		disabled disabledRules
		broken   bool
	}{
		{"all on", disabledRules{}, false},
		{"base rule off", disabledRules{baseCheck: true}, true},
		{"newer records kept in a merge off", disabledRules{mergeOrder: true}, true},
		{"waiting for a snapshot off", disabledRules{snapshotWait: true}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			broken, example := 0, ""
			for seed := range int64(schedules) {
				if reason := runSchedule(seed, test.disabled); reason != "" {
					broken, example = broken+1, fmt.Sprintf("seed %d: %s", seed, reason)
				}
			}
			t.Logf("%d of %d schedules break G9; %s", broken, schedules, example)
			qt.Check(t, broken > 0, qt.Equals, test.broken)
		})
	}
}
