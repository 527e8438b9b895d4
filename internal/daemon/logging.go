package daemon

import (
	stdlog "log"
	"time"

	"github.com/sirupsen/logrus"

	"gooseberryreel/internal/errs"
	"gooseberryreel/internal/scheduler"
)

// logCall logs the outcome and duration of a caller's request and records them in
// the metrics.
func (i *Instance) logCall(kind, requestID, subject string, start time.Time, err error, fields logrus.Fields) {
	took := time.Since(start)
	outcome := "ok"
	if err != nil {
		outcome = errs.OutcomeName(errs.From(kind, "", err).Outcome)
	}
	i.metrics.calls.WithLabelValues(kind, outcome).Observe(took.Seconds())
	entry := i.log.WithFields(fields).WithFields(logrus.Fields{
		"event": kind, "request": requestID, "subject": subject, "outcome": outcome, "took_ms": took.Milliseconds(),
	})
	if err != nil {
		entry.WithError(err).Warn("call")
		return
	}
	entry.Info("call")
}

// routineDecisions are the events of the core about single attempts and about speeds. They
// are not logged while the owner is late, only counted.
var routineDecisions = map[string]bool{
	"step placed": true, "attempt ended": true, "filler slowed": true, "worker slow": true, "worker speed normal": true,
	"copy started": true, "original won": true, "copy won": true, "copy or original ended": true,
}

// logDecision logs a log entry of the core, whose fields are alternating names and
// values.
func (i *Instance) logDecision(entry scheduler.LogEntry) {
	fields := logrus.Fields{"event": entry.Event}
	if entry.RequestID != "" {
		fields["request"] = entry.RequestID
	}
	for k := 0; k+1 < len(entry.Fields); k += 2 {
		if name, ok := entry.Fields[k].(string); ok {
			fields[name] = entry.Fields[k+1]
		}
	}
	i.log.WithFields(fields).Info("decision")
}

// debugLogger returns a logger for net/http. It logs at debug level, since the
// messages concern single connections.
func debugLogger(log *logrus.Entry) *stdlog.Logger {
	return stdlog.New(log.WriterLevel(logrus.DebugLevel), "", 0)
}
