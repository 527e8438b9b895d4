package daemon

import (
	"fmt"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"gooseberryreel/internal/emulator"
	"gooseberryreel/internal/store"
)

// Guards against callers that are turned away, or held to their deadlines, while
// a part of the store's partitions is down.
func TestPartOfTheStoreIsDown(t *testing.T) {
	for name, fault := range map[string]emulator.Fault{"refuses": emulator.FaultUnavailable, "silent": emulator.FaultNoResponse} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, 2, 3, quick)
			s.submit(s.instances[0], 100, 1)
			s.waitState(s.instances[0], 100, "completed")
			for _, i := range s.instances {
				i.endpoint.InjectPartitions(func(topic string, part int) emulator.Fault {
					if topic == "keyed."+intakeTopic && part%3 == 0 {
						return fault
					}
					return emulator.FaultNone
				})
				i.endpoint.CloseConnections()
			}
			for n := range 12 {
				status, out := s.call(s.instances[n%2], http.MethodPost, path(n+1), job(2))
				qt.Assert(t, status, qt.Equals, http.StatusOK, qt.Commentf("job %d: %v", n+1, out))
			}
			for n := range 12 {
				s.waitState(s.instances[n%2], n+1, "completed")
				s.checkOnce(n+1, 2)
			}
		})
	}
}

// Guards against records of one job that no look-up finds: all its records and
// both homes follow from its id alone.
func TestIntakeHomes(t *testing.T) {
	c := qt.New(t)
	used := make(map[int]int)
	for n := range 1000 {
		homes := intakeHomes(fmt.Sprintf("%016x", n), 16)
		c.Assert(homes, qt.HasLen, 2)
		c.Assert(homes[0].Number, qt.Not(qt.Equals), homes[1].Number)
		c.Assert(homes, qt.DeepEquals, intakeHomes(fmt.Sprintf("%016x", n), 16))
		used[homes[0].Number]++
	}
	c.Assert(used, qt.HasLen, 16)
	c.Assert(intakeHomes("x", 1), qt.DeepEquals, []store.Partition{{Topic: intakeTopic}})
}
