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
	binary := buildScheduler(t)
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			playSeed(t, Options{Seed: seed, Binary: binary})
		})
	}
}

// Guards against a response to an earlier call that is taken for that to a later one:
// accepted jobs that are not stored, and tasks that run in two places.
func TestSoakWithRepeatedResponses(t *testing.T) {
	binary := buildScheduler(t)
	playSeed(t, Options{Seed: 20001, Binary: binary, Only: repeatKinds})
}

// Guards against long-running tasks that run again too late, or in two places, when their
// workers and then the owner are lost.
func TestSoakWithLostWorkersAndOwners(t *testing.T) {
	binary := buildScheduler(t)
	r := playSeed(t, Options{Seed: 30054, Binary: binary, LongLived: 6, Only: lossKinds, Print: t.Logf})
	qt.Check(t, r.Restarts > 0, qt.IsTrue)
}

func buildScheduler(t *testing.T) string {
	binary := filepath.Join(t.TempDir(), "gooseberry-scheduler")
	out, err := exec.Command("go", "build", "-o", binary, "gooseberryreel/cmd/gooseberry-scheduler").CombinedOutput()
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", out))
	return binary
}

// playSeed requires a run without findings.
func playSeed(t *testing.T, o Options) Result {
	o.Duration, o.Instances, o.Workers, o.Callers, o.Dir = 15*time.Second, 4, 6, 5, t.TempDir()
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
	return r
}
