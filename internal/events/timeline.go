package events

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// maxTimelineBytes bounds the size of one saved or fetched timeline.
const maxTimelineBytes = 256 << 20

// Filter selects events. Empty fields match everything.
type Filter struct {
	ID       string
	Instance string
	Worker   string
	Team     string
}

// Match reports whether an event passes the filter.
func (f Filter) Match(e Event) bool {
	return matches(f.ID, e.ID) && matches(f.Instance, e.Instance) && matches(f.Worker, e.Worker) && matches(f.Team, e.Team)
}

func matches(want, have string) bool { return want == "" || want == have }

// Merge returns the events of several timelines that pass the filter as one
// causally ordered list. An event that occurs in several timelines is listed
// once.
func Merge(filter Filter, timelines ...[]Event) []Event {
	var merged []Event
	for _, timeline := range timelines {
		for _, e := range timeline {
			if filter.Match(e) {
				merged = append(merged, e)
			}
		}
	}
	// A message carries its sender's clock reading, so an effect has a larger
	// reading than its cause. Events with equal readings are concurrent; the
	// instance name makes their order deterministic.
	slices.SortStableFunc(merged, func(a, b Event) int {
		return cmp.Or(cmp.Compare(a.HLC, b.HLC), strings.Compare(a.Instance, b.Instance))
	})
	return slices.Compact(merged)
}

// Read reads a timeline in one of three forms: JSON lines, one JSON array, or an
// object with the array in the field "events". The name file is used in errors.
func Read(file string, r io.Reader) ([]Event, error) {
	data, err := io.ReadAll(io.LimitReader(r, maxTimelineBytes+1))
	if err != nil {
		return nil, errors.Wrapf(err, "%s: read timeline", file)
	}
	if len(data) > maxTimelineBytes {
		return nil, errors.Errorf("%s: timeline is larger than %d bytes", file, maxTimelineBytes)
	}
	var object struct {
		Events []Event `json:"events"`
	}
	if json.Unmarshal(data, &object) == nil && object.Events != nil {
		return object.Events, nil
	}
	if bytes.HasPrefix(bytes.TrimSpace(data), []byte("[")) {
		var list []Event
		err := json.Unmarshal(data, &list)
		return list, errors.Wrapf(err, "%s: decode timeline", file)
	}
	return readLines(file, data)
}

func readLines(file string, data []byte) ([]Event, error) {
	var list []Event
	for n, line := range bytes.Split(data, []byte("\n")) {
		line = bytes.TrimSpace(line)
		if len(line) == 0 {
			continue
		}
		var e Event
		if err := json.Unmarshal(line, &e); err != nil {
			return nil, errors.Wrapf(err, "%s:%d: decode event", file, n+1)
		}
		list = append(list, e)
	}
	return list, nil
}

// ReadFile reads a saved timeline.
func ReadFile(file string) ([]Event, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, errors.Wrap(err, "open timeline")
	}
	defer f.Close()
	return Read(file, f)
}

// Text formats an event as one line.
func (e Event) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s+%d %s %s", e.Time, e.HLC&(1<<logicalBits-1), e.Instance, e.Kind)
	for _, field := range []struct{ name, value string }{
		{"id", e.ID}, {"worker", e.Worker}, {"target", e.Target}, {"team", e.Team}, {"peer", e.Peer},
	} {
		if field.value != "" {
			fmt.Fprintf(&b, " %s=%s", field.name, field.value)
		}
	}
	if e.Detail != "" {
		fmt.Fprintf(&b, " %q", e.Detail)
	}
	return b.String()
}
