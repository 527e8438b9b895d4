package events

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against an effect that is listed before its cause because the clock of
// the machine that caused it is ahead.
func TestMergeOrdersEffectAfterCause(t *testing.T) {
	c := qt.New(t)
	start := time.UnixMilli(1_000_000)
	ahead := NewRecorder("ahead", 4, NewClock(func() time.Time { return start.Add(time.Minute) }))
	behind := NewRecorder("behind", 4, NewClock(func() time.Time { return start }))
	behind.Add(Event{Kind: "before"})
	ahead.Add(Event{Kind: "cause", ID: "a"})
	behind.Clock().Observe(ahead.Clock().Now())
	behind.Add(Event{Kind: "effect", ID: "a"})

	merged := Merge(Filter{}, behind.Events(), ahead.Events(), ahead.Events())
	var kinds []string
	for _, e := range merged {
		kinds = append(kinds, e.Kind)
	}
	c.Assert(kinds, qt.DeepEquals, []string{"before", "cause", "effect"})
}

// Guards against filters that select events of another id, instance, worker or
// team.
func TestFilter(t *testing.T) {
	c := qt.New(t)
	all := []Event{
		{HLC: 1, ID: "a", Instance: "i1", Worker: "w1", Team: "t1"},
		{HLC: 2, ID: "b", Instance: "i2", Worker: "w2", Team: "t2"},
	}
	for _, f := range []Filter{{ID: "b"}, {Instance: "i2"}, {Worker: "w2"}, {Team: "t2"}, {ID: "b", Team: "t2"}} {
		c.Check(Merge(f, all), qt.DeepEquals, all[1:], qt.Commentf("%+v", f))
	}
	c.Check(Merge(Filter{ID: "a", Team: "t2"}, all), qt.HasLen, 0)
}

// Guards against saved timelines that can't be read in one of the three forms,
// and against errors on damaged files that don't give the line number.
func TestReadForms(t *testing.T) {
	c := qt.New(t)
	list := []Event{{HLC: 1, Kind: "x", Instance: "i"}, {HLC: 2, Kind: "y", Instance: "i"}}
	array, err := json.Marshal(list)
	c.Assert(err, qt.IsNil)
	object := append(append([]byte(`{"events":`), array...), '}')
	first, err := json.Marshal(list[0])
	c.Assert(err, qt.IsNil)
	second, err := json.Marshal(list[1])
	c.Assert(err, qt.IsNil)
	lines := bytes.Join([][]byte{first, second, nil}, []byte("\n"))
	for _, data := range [][]byte{array, object, lines} {
		got, err := Read("f", bytes.NewReader(data))
		c.Assert(err, qt.IsNil)
		c.Check(got, qt.DeepEquals, list, qt.Commentf("%s", data))
	}
	_, err = Read("f", bytes.NewReader(append(lines, []byte(`{"hlc":`)...)))
	c.Assert(err, qt.ErrorMatches, "f:3: .*")
}

// Guards against a text line that lacks a field of the event.
func TestText(t *testing.T) {
	e := Event{HLC: 5<<logicalBits + 2, Time: "T", Instance: "i", Kind: "k", ID: "a", Worker: "w", Target: "t", Team: "m", Peer: "p", Detail: "d"}
	qt.Assert(t, e.Text(), qt.Equals, `T+2 i k id=a worker=w target=t team=m peer=p "d"`)
}
