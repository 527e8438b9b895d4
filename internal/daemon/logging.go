package daemon

import (
	stdlog "log"
	"time"

	"github.com/sirupsen/logrus"

	"gooseberryreel/internal/errs"
	"gooseberryreel/internal/scheduler"
)

// decided logs the outcome of a call of a caller.
func (i *Instance) decided(kind, requestID, subject string, begun time.Time, err error, fields logrus.Fields) {
	took := time.Since(begun)
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

// note logs a decision of the core.
func (i *Instance) note(n scheduler.LogEntry) {
	fields := logrus.Fields{"event": n.Event}
	if n.RequestID != "" {
		fields["request"] = n.RequestID
	}
	for k := 0; k+1 < len(n.Fields); k += 2 {
		if name, ok := n.Fields[k].(string); ok {
			fields[name] = n.Fields[k+1]
		}
	}
	i.log.WithFields(fields).Info("decision")
}

// quietLog passes the messages of net/http on, which concern single
// connections.
func quietLog(log *logrus.Entry) *stdlog.Logger {
	return stdlog.New(log.WriterLevel(logrus.DebugLevel), "", 0)
}
