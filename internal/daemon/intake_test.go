package daemon

import (
	"fmt"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"gooseberryreel/internal/emulator"
	"gooseberryreel/internal/store"
)

// Guards against requests that fail, or wait until their deadlines, while some of
// the store's partitions are down.
func TestPartOfTheStoreIsDown(t *testing.T) {
	for name, fault := range map[string]emulator.Fault{"refuses": emulator.FaultUnavailable, "silent": emulator.FaultNoResponse} {
		t.Run(name, func(t *testing.T) {
			s := newDeployment(t, 2, 3, shortTask)
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
				s.checkRanOnce(n+1, 2)
			}
		})
	}
}

// Guards against records of a job that are not found: both partitions that may
// contain its records must depend on its id alone.
func TestJobPartitions(t *testing.T) {
	c := qt.New(t)
	used := make(map[int]int)
	for n := range 1000 {
		partitions := jobPartitions(fmt.Sprintf("%016x", n), 16)
		c.Assert(partitions, qt.HasLen, 2)
		c.Assert(partitions[0].Number, qt.Not(qt.Equals), partitions[1].Number)
		c.Assert(partitions, qt.DeepEquals, jobPartitions(fmt.Sprintf("%016x", n), 16))
		used[partitions[0].Number]++
	}
	c.Assert(used, qt.HasLen, 16)
	c.Assert(jobPartitions("x", 1), qt.DeepEquals, []store.Partition{{Topic: intakeTopic}})
}
