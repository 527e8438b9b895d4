package interference

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a model that takes memory for each pair of all images that were ever
// used, until the process exceeds that of its machine.
func TestImagesAreBounded(t *testing.T) {
	c := qt.New(t)
	m := NewLatencyModel()
	load := NewLoadEstimate()
	last := Filler(-1)
	for n := range 5000 {
		service, filler := m.ServiceIndex(fmt.Sprint("s", n%200)), m.FillerIndex(fmt.Sprint("f", n))
		m.Observe(service, &load, []Share{{filler, 0.2}}, 0.9)
		last = filler
	}
	c.Check(len(m.filters), qt.Equals, MaxServices)
	for _, filter := range m.filters {
		c.Check(len(filter.mean), qt.Equals, MaxFillers)
		c.Check(len(filter.cov), qt.Equals, MaxFillers)
	}
	c.Check(m.FillerIndex("another"), qt.Equals, last, qt.Commentf("images beyond the limit share an index"))
	c.Check(m.FillerIndex("f3"), qt.Equals, Filler(3), qt.Commentf("the others keep theirs"))

	m.Forget(func(Service) bool { return true }, func(f Filler) bool { return f == 3 })
	c.Check(m.FillerIndex("f3"), qt.Equals, Filler(3))
	free := m.FillerIndex("new")
	c.Check(free != last && free != 3, qt.IsTrue)
	c.Check(m.Weight(0, free), qt.Equals, initialWeight)
	for _, filter := range m.filters {
		c.Check(filter.cov[free][3], qt.Equals, 0.0)
	}
	next := NewLatencyModel()
	next.Restore(m.Snapshot())
	c.Check(next.Weight(next.ServiceIndex("s3"), next.FillerIndex("f3")), qt.Equals, m.Weight(m.ServiceIndex("s3"), 3))
}
