package daemon

import (
	"fmt"
	"io"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
)

// Guards against an instance that starts after the configuration became unreadable
// and refuses all callers until the next version, although the owner has the valid
// one.
func TestStartWithUnreadableConfiguration(t *testing.T) {
	s := newDeployment(t, 1, 2, shortTask)
	s.submit(s.instances[0], 1, 1)
	s.store.Put("keyed.op", "config", []byte("{"))
	s.store.TrimTopic("keyed.op")
	late := s.start("inst-late")
	s.submit(late, 2, 2)
	s.waitState(late, 2, "completed")
	s.checkRanOnce(2, 2)
}

// Guards against callers that are served by a configuration that is older than the one in
// force, or cut short, because its record was read late, twice or in part.
func TestOlderConfigurationIsIgnored(t *testing.T) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	i := &Instance{log: logrus.NewEntry(logger), metrics: newMetrics(prometheus.NewRegistry(), nil)}
	record := func(version int) []byte {
		return fmt.Appendf(nil, `{"Version":%d,"Routes":[{"Name":"r%d","Host":"h","PathPrefix":"/"}]}`, version, version)
	}
	whole := record(8)
	for _, value := range [][]byte{record(7), record(3), record(7), whole[:len(whole)-1], whole[:len(whole)/2], nil} {
		i.applyConfig(value)
		qt.Check(t, i.Config().Version, qt.Equals, int64(7))
		qt.Check(t, i.Config().Queues[0].Name, qt.Equals, "r7")
	}
}
