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
	start := l.since
	l.waited(20*time.Millisecond, start)
	qt.Check(t, l.late(start), qt.IsFalse)
	l.waited(70*time.Millisecond, start)
	qt.Check(t, l.late(start), qt.IsTrue)
	l.waited(60*time.Millisecond, start.Add(lateTime/2))
	qt.Check(t, l.late(start.Add(lateTime)), qt.IsTrue)
	qt.Check(t, l.late(start.Add(2*lateTime)), qt.IsFalse)
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
	qt.Check(t, fields["late_ms"], qt.Equals, (lateTime * 3 / 2).Milliseconds())
	qt.Check(t, testutil.ToFloat64(m.work.WithLabelValues("pass")), qt.Equals, 0.3)
	qt.Check(t, testutil.ToFloat64(m.oldest), qt.Equals, 0.07)
	qt.Check(t, testutil.ToFloat64(m.passes.WithLabelValues("costed")), qt.Equals, 1000.0)

	// The next summary starts from zero.
	l.mark = l.since.Add(loopSummaryInterval)
	l.summarize(log, scheduler.PassCounts{Passes: 10, Costed: 1005})
	qt.Check(t, hook.LastEntry().Data["longest_wait_ms"], qt.Equals, int64(0))
	qt.Check(t, hook.LastEntry().Data["pass_ms"], qt.IsNil)
}

// Guards against placement passes that take most of the loop's time on a site of any size.
func TestPassesLeaveTimeForOtherWork(t *testing.T) {
	l := newLoopLoad(newLoopMetrics(prometheus.NewRegistry()), scheduler.PassCounts{})
	for _, took := range []time.Duration{time.Millisecond, 20 * time.Millisecond, time.Second} {
		began := time.Now().Add(-took)
		l.passDone(began)
		rest := l.nextPassAt.Sub(l.mark)
		qt.Check(t, rest >= min(2*took, maxPassRest) && rest <= maxPassRest, qt.IsTrue, qt.Commentf("%v after a pass of %v", rest, took))
	}
}
