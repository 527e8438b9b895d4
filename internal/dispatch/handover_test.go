package dispatch

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"gooseberryreel/internal/pb"
)

// Guards G5 against hand-overs that exceed the message size which a peer accepts, and
// against answers whose outcome changes when they are truncated to that size.
func TestHandOverFitsMessage(t *testing.T) {
	c := qt.New(t)
	in := newInstance("self", nil)
	s := in.opts.Settings
	s.MaxAnswerBytes, s.MaxStoredAnswers = 10_000, 100
	tb := newTable(tableLimits{maxCount: 200, maxBytes: 1 << 20, maxAge: time.Hour}, &storedTotals{})
	for n := range 100 {
		reply := &pb.ForwardReply{Status: 200, Body: make([]byte, 100), ContentType: strings.Repeat("x", 900)}
		if n%2 == 0 {
			reply = unknown("target", "t1", 503, strings.Repeat("y", 900))
		}
		e, _ := tb.begin(newEntry(newID(uint64(n)), time.Now(), time.Now(), bodyDigest{}), time.Now(), true)
		tb.finish(e, reply)
	}
	h := &pb.HandOverRequest{Answers: in.exportAnswers(tb)}
	c.Assert(int64(proto.Size(h)) <= MaxHandOverBytes(s)-targetCountsBytes, qt.IsTrue, qt.Commentf("%d bytes", proto.Size(h)))
	c.Assert(len(h.GetAnswers()), qt.Equals, 100)
	whole := 0
	for n, a := range h.GetAnswers() { // newest first
		f := a.GetReply().GetFailure()
		switch {
		case f == nil:
			whole++
		case n%2 == 1:
			c.Assert(f.GetOutcome(), qt.Equals, pb.Outcome_OUTCOME_UNKNOWN)
		default:
			c.Assert(f.GetOutcome(), qt.Equals, pb.Outcome_OUTCOME_RAN)
		}
	}
	c.Assert(whole, qt.Equals, 5)
}
