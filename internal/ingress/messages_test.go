package ingress

import (
	"encoding/binary"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against messages of peers whose memory is not charged, or that are charged as one
// although each of them is small.
func TestMessageSizes(t *testing.T) {
	frame := func(last byte, length int) []byte {
		head := binary.AppendUvarint([]byte{last, 1, 0x80, 1}, uint64(length))
		return append(head, make([]byte, length)...)
	}
	var stream []byte
	for _, part := range [][]byte{frame(1, 300), frame(1, 0), frame(0, 70_000), frame(0, 0), frame(1, 5_000), frame(1, 20)} {
		stream = append(stream, part...)
	}
	for _, step := range []int{1, 3, 4096, len(stream)} {
		var m messageSizes
		ended := 0
		for rest := stream; len(rest) > 0; {
			n := min(step, len(rest))
			if m.scan(rest[:n]) {
				ended++
			}
			rest = rest[n:]
		}
		qt.Check(t, m.largest, qt.Equals, int64(75_000))
		qt.Check(t, m.message, qt.Equals, int64(0))
		if step == 1 {
			qt.Check(t, ended, qt.Equals, 4)
		}
	}
	budget := NewBudget(1<<20, nil)
	m := &messageMemory{account: account{budget: budget, stop: func() {}}}
	qt.Check(t, m.arrived(frame(0, 100_000)), qt.IsNil)
	qt.Check(t, budget.Used(), qt.Equals, int64(messageFactor*(100_000-freeBytes)))
	qt.Check(t, m.arrived(frame(0, 900_000)), qt.ErrorIs, ErrExhausted)
	m.account.release()
	qt.Check(t, budget.Used(), qt.Equals, int64(0))
}
