package daemon

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"gooseberryreel/internal/scheduler"
)

// workKind is a kind of work of the owner's loop.
type workKind int

const (
	workResults   workKind = iota // results of commands and of advice requests
	workCommitted                 // confirmations of batches
	workIntake                    // new jobs and cancellations
	workEntries                   // entries of workers
	workConfig                    // configuration and the operator's requests
	workQueries                   // requests of callers and of other instances
	workBacklog                   // estimates of the waits of new jobs
	workTick                      // holds that are due, leases, checks of attempts
	workPass                      // placement passes
	workRecords                   // batches to be stored
	workLog                       // the log
	workOutput                    // commands to workers
	workKinds
)

// String returns the name used in logs and metrics.
func (k workKind) String() string {
	return [...]string{"results", "committed", "intake", "entries", "config", "queries", "backlog", "tick", "pass", "records", "log", "output"}[k]
}

// event is an input of the core.
type event struct {
	kind     workKind
	queuedAt time.Time
	apply    func(*scheduler.Core, time.Time)
}

// loopSummaryInterval is the time between two summaries of the loop in the log.
const loopSummaryInterval = time.Second

// waitBuckets are in seconds, from an idle loop to one that is late by a caller's
// deadline.
var waitBuckets = []float64{.001, .0025, .005, .01, .025, .05, .1, .25, .5, 1, 2.5}

const (
	// lateWait is the wait of an event from which the loop counts as late, and lateTime
	// how long it then does.
	lateWait = 50 * time.Millisecond
	lateTime = 500 * time.Millisecond
	// passRest is how long the loop does other work after a placement pass, in multiples
	// of the duration of the pass, and maxPassRest the limit of that.
	passRest    = 2
	maxPassRest = 100 * time.Millisecond
)

// loopMetrics are the metrics of the owner's loop.
type loopMetrics struct {
	work      *prometheus.CounterVec
	wait      prometheus.Histogram
	oldest    prometheus.Gauge
	passes    *prometheus.CounterVec
	busyShare prometheus.Gauge
	late      prometheus.Counter
	waits     *prometheus.GaugeVec
	idle      prometheus.Gauge
}

func newLoopMetrics(r prometheus.Registerer) *loopMetrics {
	m := &loopMetrics{
		work: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "owner_loop_seconds_total", Help: "Time that the owner's loop spent by kind of work.",
		}, []string{"work"}),
		wait: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "owner_event_wait_seconds", Help: "Time that events waited for the owner's loop.", Buckets: waitBuckets,
		}),
		oldest: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "owner_event_wait_max_seconds", Help: "Longest time that an event waited for the owner's loop in the newest second.",
		}),
		busyShare: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "owner_loop_busy_ratio", Help: "Part of the newest second that the owner's loop was at work.",
		}),
		late: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "owner_late_seconds_total", Help: "Time for which the owner's loop counted as late, so that best-effort work waited longer and routine decisions were not logged.",
		}),
		passes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "owner_passes_total", Help: "Placement passes, and what they visited, by kind.",
		}, []string{"count"}),
		waits: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "owner_longest_wait_seconds", Help: "For how long the task that waits longest has been ready to start, by class of work.",
		}, []string{"class"}),
		idle: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "owner_longest_idle_seconds", Help: "For how long the job of fillers that waits longest has had nothing running although a task could start.",
		}),
	}
	r.MustRegister(m.work, m.wait, m.oldest, m.passes, m.busyShare, m.late, m.waits, m.idle)
	return m
}

// loopLoad measures the work of one term's loop. Only the loop uses it.
type loopLoad struct {
	metrics *loopMetrics
	mark    time.Time // end of the work measured last
	spent   [workKinds]time.Duration
	events  int
	longest time.Duration // wait of an event
	since   time.Time     // of the summary in progress
	// lateUntil is until when the loop counts as late, and lateFor for how long it did
	// since the summary before. notLogged counts the entries that were not logged.
	lateUntil  time.Time
	lateFor    time.Duration
	notLogged  int
	nextPassAt time.Time
	counts     scheduler.PassCounts
}

func newLoopLoad(m *loopMetrics, counts scheduler.PassCounts) *loopLoad {
	now := time.Now()
	return &loopLoad{metrics: m, mark: now, since: now, counts: counts}
}

// begin starts to measure after the loop was idle.
func (l *loopLoad) begin() { l.mark = time.Now() }

// done counts the time since the work measured last as work of a kind.
func (l *loopLoad) done(kind workKind) {
	now := time.Now()
	l.spent[kind] += now.Sub(l.mark)
	l.mark = now
}

// waited counts an event that waited for the loop.
func (l *loopLoad) waited(d time.Duration, now time.Time) {
	if d > lateWait {
		until := now.Add(lateTime)
		from := l.lateUntil
		if from.Before(now) {
			from = now
		}
		l.lateFor += until.Sub(from)
		l.lateUntil = until
	}
	l.events++
	l.longest = max(l.longest, d)
	l.metrics.wait.Observe(d.Seconds())
}

// late reports whether events have waited for long recently.
func (l *loopLoad) late(now time.Time) bool { return now.Before(l.lateUntil) }

// passDone counts a placement pass that began at a time. It leaves the loop to other work
// for longer than the pass took, whatever the size of the site.
func (l *loopLoad) passDone(began time.Time) {
	l.done(workPass)
	l.nextPassAt = l.mark.Add(min(passRest*l.mark.Sub(began), maxPassRest))
}

// exportWaits exports the longest waits of ready tasks, and the longest time for which a job
// of fillers had nothing running.
func (l *loopLoad) exportWaits(waits [scheduler.WorkClasses]time.Duration, idle time.Duration) {
	l.metrics.idle.Set(idle.Seconds())
	for class, d := range waits {
		l.metrics.waits.WithLabelValues(scheduler.WorkClass(class).String()).Set(d.Seconds())
	}
}

// summarize exports the work since the previous summary, and logs it, once a second. It
// reports whether it did.
func (l *loopLoad) summarize(log *logrus.Entry, counts scheduler.PassCounts) bool {
	elapsed := l.mark.Sub(l.since)
	if elapsed < loopSummaryInterval {
		return false
	}
	fields := logrus.Fields{"event": "owner load", "for_ms": elapsed.Milliseconds(), "events": l.events, "longest_wait_ms": l.longest.Milliseconds()}
	busy := time.Duration(0)
	for kind, d := range l.spent {
		busy += d
		l.metrics.work.WithLabelValues(workKind(kind).String()).Add(d.Seconds())
		if d >= time.Millisecond {
			fields[workKind(kind).String()+"_ms"] = d.Milliseconds()
		}
	}
	fields["busy_ms"] = busy.Milliseconds()
	if l.lateFor > 0 {
		fields["late_ms"], fields["not_logged"] = l.lateFor.Milliseconds(), l.notLogged
		l.metrics.late.Add(l.lateFor.Seconds())
	}
	l.metrics.oldest.Set(l.longest.Seconds())
	l.metrics.busyShare.Set(busy.Seconds() / elapsed.Seconds())
	delta := counts.Sub(l.counts)
	for name, n := range map[string]int64{"passes": delta.Passes, "steps": delta.Steps, "scans": delta.Scans, "looks": delta.Looks, "costed": delta.Costed, "updated": delta.Updated, "placed": delta.Placed, "no_room": delta.NoRoom, "searches": delta.Searches} {
		l.metrics.passes.WithLabelValues(name).Add(float64(n))
		fields[name] = n
	}
	log.WithFields(fields).Info("decision")
	l.since, l.counts, l.events, l.longest, l.spent = l.mark, counts, 0, 0, [workKinds]time.Duration{}
	l.lateFor, l.notLogged = 0, 0
	return true
}
