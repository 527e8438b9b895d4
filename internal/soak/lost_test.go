package soak

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"gooseberryreel/internal/emulator"
)

// Guards against a check that misses a long-running task that is not started again, or
// that reports one which had no calm time or no room to run in.
func TestLateRestartsAreFound(t *testing.T) {
	at := func(s float64) time.Time {
		return time.Unix(1_700_000_000, 0).Add(time.Duration(s * float64(time.Second)))
	}
	run := func(from, to float64) emulator.TaskStart {
		return emulator.TaskStart{Task: "j", Attempt: 1, Worker: "w", CPUMilli: 500, At: at(from), Ended: at(to)}
	}
	other := func(from, to float64) emulator.TaskStart {
		return emulator.TaskStart{Task: "other", CPUMilli: 4000, At: at(from), Ended: at(to)}
	}
	fault := func(from, to float64) disturbance { return disturbance{at(from), at(to)} }
	for _, test := range []struct {
		name     string
		findings int
		until    float64
		starts   []emulator.TaskStart
		faults   []disturbance
	}{
		{"runs on", 0, 60, []emulator.TaskStart{run(-59, 60)}, nil},
		{"in time", 0, 60, []emulator.TaskStart{run(-59, 0), run(8.9, 60)}, []disturbance{fault(0, 0)}},
		{"late", 1, 60, []emulator.TaskStart{run(-59, 0), run(9.1, 60)}, []disturbance{fault(0, 0)}},
		{"late twice", 2, 60, []emulator.TaskStart{run(-59, 0), run(9.1, 20), run(30, 60)}, []disturbance{fault(0, 0)}},
		{"never again", 1, 60, []emulator.TaskStart{run(-59, 0)}, []disturbance{fault(0, 0)}},
		{"never", 1, 60, nil, nil},
		{"cancelled before", 0, 8.9, []emulator.TaskStart{run(-59, 0)}, nil},
		{"in time after a second loss", 0, 60, []emulator.TaskStart{run(-59, 0), run(9.9, 60)}, []disturbance{fault(0, 0), fault(2.9, 3)}},
		{"late after a second loss", 1, 60, []emulator.TaskStart{run(-59, 0), run(10.1, 60)}, []disturbance{fault(0, 0), fault(2.9, 3)}},
		{"in time after a fault near the bound", 0, 60, []emulator.TaskStart{run(-59, 0), run(15.9, 60)}, []disturbance{fault(8.9, 9)}},
		{"late after a fault near the bound", 1, 60, []emulator.TaskStart{run(-59, 0), run(16.1, 60)}, []disturbance{fault(8.9, 9)}},
		{"fault in force", 0, 60, []emulator.TaskStart{run(-59, 0), run(30, 60)}, []disturbance{fault(0, 25)}},
		{"fault without an end", 0, 60, []emulator.TaskStart{run(-59, 0)}, []disturbance{{from: at(0)}}},
		{"no room", 0, 60, []emulator.TaskStart{other(-59, 60), run(-59, 0)}, nil},
		{"no room in between", 0, 60, []emulator.TaskStart{other(-59, 8), run(-59, 0), other(14.9, 60)}, nil},
		{"room again", 1, 60, []emulator.TaskStart{other(-59, 8), run(-59, 0), other(15.1, 60)}, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			tasks := []longTask{{"j", at(-60), at(test.until)}}
			findings, _ := history{began: at(-60), tasks: tasks, starts: test.starts, disturbances: test.faults, mayUse: 3000}.lost()
			qt.Assert(t, findings, qt.HasLen, test.findings, qt.Commentf("%q", findings))
		})
	}
}
