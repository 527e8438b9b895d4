package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// seeds run each time the tests run. They are the seeds that have found a defect,
// each with a line on its cause.
var seeds = []uint64{
	// The emulator counted the end of a task that was lost with its worker as
	// received by the scheduler, and later (101, 110, 113) as never received.
	1, 101,
	// The emulator let a crashed worker complete a second task that crashes it, and
	// executed delayed commands on a worker that had been closed.
	3, 7000,
}

// Guards against violations of the system's guarantees, as callers and workers see
// them, under overlapping faults.
func TestSoakSeeds(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "gooseberry-scheduler")
	out, err := exec.Command("go", "build", "-o", binary, "gooseberryreel/cmd/gooseberry-scheduler").CombinedOutput()
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", out))
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			o := Options{Seed: seed, Duration: 15 * time.Second, Instances: 4, Workers: 6, Callers: 5, Binary: binary, Dir: t.TempDir()}
			r, err := Run(o)
			qt.Assert(t, err, qt.IsNil)
			t.Logf("%+v", r)
			qt.Check(t, r.Findings, qt.HasLen, 0)
			qt.Check(t, r.Accepted > 20, qt.IsTrue, qt.Commentf("%d jobs accepted", r.Accepted))
			if t.Failed() {
				for n := range o.Instances {
					log, err := os.ReadFile(filepath.Join(o.Dir, fmt.Sprintf("inst-%d.log", n)))
					t.Logf("inst-%d (%v):\n%s", n, err, log)
				}
			}
		})
	}
}
