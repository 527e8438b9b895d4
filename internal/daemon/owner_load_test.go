package daemon

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"

	"gooseberryreel/internal/scheduler"
)

// Guards against an owner that is late without a metric that says with what.
func TestLoopLoadNamesTheWork(t *testing.T) {
	m := newLoopMetrics(prometheus.NewRegistry())
	l := newLoopLoad(m, scheduler.PassCounts{Costed: 5})
	logger, hook := test.NewNullLogger()
	log := logrus.NewEntry(logger)
	l.waited(70 * time.Millisecond)
	l.waited(20 * time.Millisecond)
	l.spent[workPass], l.spent[workLog] = 300*time.Millisecond, 500*time.Microsecond
	l.summarize(log, scheduler.PassCounts{})
	qt.Check(t, hook.LastEntry(), qt.IsNil, qt.Commentf("the second is not over"))

	l.mark = l.since.Add(loopSummaryInterval)
	l.summarize(log, scheduler.PassCounts{Passes: 10, Costed: 1005})
	fields := hook.LastEntry().Data
	qt.Check(t, fields["longest_wait_ms"], qt.Equals, int64(70))
	qt.Check(t, fields["pass_ms"], qt.Equals, int64(300))
	qt.Check(t, fields["log_ms"], qt.IsNil, qt.Commentf("below a millisecond"))
	qt.Check(t, fields["costed"], qt.Equals, int64(1000))
	qt.Check(t, testutil.ToFloat64(m.work.WithLabelValues("pass")), qt.Equals, 0.3)
	qt.Check(t, testutil.ToFloat64(m.oldest), qt.Equals, 0.07)
	qt.Check(t, testutil.ToFloat64(m.passes.WithLabelValues("costed")), qt.Equals, 1000.0)

	// The next summary starts from zero.
	l.mark = l.since.Add(loopSummaryInterval)
	l.summarize(log, scheduler.PassCounts{Passes: 10, Costed: 1005})
	qt.Check(t, hook.LastEntry().Data["longest_wait_ms"], qt.Equals, int64(0))
	qt.Check(t, hook.LastEntry().Data["pass_ms"], qt.IsNil)
}
