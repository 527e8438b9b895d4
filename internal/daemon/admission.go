package daemon

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"gooseberryreel/internal/admission"
	"gooseberryreel/internal/errs"
	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/scheduler"
)

const (
	// backlogInterval is how often the owner publishes the backlogs while there are
	// any.
	backlogInterval = 500 * time.Millisecond
	// refusalCheckTimeout limits the query whether a job that is to be refused is
	// stored already. The job is accepted if there is no answer.
	refusalCheckTimeout = 400 * time.Millisecond
	// refusalLogInterval is the shortest time between two log lines of refusals.
	refusalLogInterval = 100 * time.Millisecond
)

// admissionControl refuses submissions that can't be completed in time, by the
// estimates that the owner publishes.
type admissionControl struct {
	instance *Instance
	refusals *prometheus.CounterVec
	stored   prometheus.Counter
	wait     *prometheus.GaugeVec

	mu         sync.Mutex
	controller *admission.Controller
	loggedAt   time.Time
	notLogged  int // refusals since the newest log line
}

func newAdmissionControl(i *Instance) *admissionControl {
	a := &admissionControl{
		instance: i, controller: admission.NewController(),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "admission_refusals_total", Help: "Submissions refused because of load by queue and reason.",
		}, []string{"queue", "reason"}),
		stored: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "admission_stored_before_total", Help: "Submissions that were to be refused but may be stored already, so that they were accepted.",
		}),
		wait: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "admission_wait_seconds", Help: "Expected wait of a new job by queue and kind of task, as published by the owner while there is a backlog.",
		}, []string{"queue", "tasks"}),
	}
	i.registry.MustRegister(a.refusals, a.stored, a.wait)
	return a
}

// admissionTime returns the time for the ages of estimates. It also counts while the
// machine is suspended.
func admissionTime() time.Time { return time.Unix(0, int64(bootTime())) }

// receive takes over a report that the owner has published.
func (a *admissionControl) receive(r *pb.BacklogReport, age time.Duration) {
	list := make([]admission.Estimate, 0, len(r.GetQueues()))
	for _, q := range r.GetQueues() {
		list = append(list, admission.Estimate{
			Queue: q.GetQueue(), Fillers: q.GetFillers(), AboveShare: q.GetAboveShare(),
			Wait: time.Duration(q.GetWaitMs()) * time.Millisecond, Optimistic: time.Duration(q.GetOptimisticMs()) * time.Millisecond,
		})
	}
	a.setEstimates(list, admissionTime().Add(-age))
}

func (a *admissionControl) setEstimates(list []admission.Estimate, computedAt time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.controller.SetEstimates(list, computedAt)
	a.wait.Reset()
	for _, e := range list {
		tasks := "other"
		if e.Fillers {
			tasks = "fillers"
		}
		a.wait.WithLabelValues(e.Queue, tasks).Set(e.Wait.Seconds())
	}
}

// check returns an error if a submission is refused. Otherwise the submission may be
// stored from now on, and the caller reports the end with ended.
func (a *admissionControl) check(ctx context.Context, s *pb.Submission, start time.Time) error {
	d := a.decide(s)
	if d.Reason == admission.NotRefused {
		return nil
	}
	if !a.certainlyUnknown(ctx, s) || !a.confirm(s.GetId()) {
		a.stored.Inc()
		a.begin(s.GetId())
		return nil
	}
	a.refusals.WithLabelValues(s.GetQueue(), string(d.Reason)).Inc()
	err := errs.New("admission", "", "the backlog of queue %s is too long: a new job would wait for about %d ms, at least %d ms, and can afford %d ms",
		s.GetQueue(), d.Estimate.Wait.Milliseconds(), d.Estimate.Optimistic.Milliseconds(), d.Limit.Milliseconds()).WithRetry().WithStatus(http.StatusTooManyRequests)
	err.RetryAfter = d.RetryAfter
	a.instance.metrics.calls.WithLabelValues("submission", errs.OutcomeName(err.Outcome)).Observe(time.Since(start).Seconds())
	a.logRefusal(s, d)
	return err
}

// decide returns the decision about a submission. If it is not refused, the submission
// may be stored from now on.
func (a *admissionControl) decide(s *pb.Submission) admission.Decision {
	a.mu.Lock()
	defer a.mu.Unlock()
	d := a.controller.Decide(admissionJob(s), admissionTime())
	if d.Reason == admission.NotRefused {
		a.controller.Begin(s.GetId())
	}
	return d
}

func (a *admissionControl) begin(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.controller.Begin(id)
}

// confirm records a refusal. It returns false if another attempt to store the job has
// begun since the decision.
func (a *admissionControl) confirm(id string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.controller.Refuse(id)
}

// certainlyUnknown reports whether the owner has answered that the intake does not
// contain a job. Another instance may have stored a job that its caller submits again
// here.
func (a *admissionControl) certainlyUnknown(ctx context.Context, s *pb.Submission) bool {
	ctx, cancel := context.WithTimeout(ctx, refusalCheckTimeout)
	defer cancel()
	state, err := a.instance.jobState(ctx, s.GetRequestId(), s.GetId())
	return err == nil && state == pb.PublicState_PUBLIC_STATE_UNKNOWN
}

// ended records the end of an attempt to store a submission.
func (a *admissionControl) ended(id string, err error) {
	if err == nil || errs.From("intake", "", err).Outcome != pb.Outcome_OUTCOME_NOT_RUN {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.controller.NotStored(id)
}

// logRefusal logs a refusal, unless the log line before is too recent.
func (a *admissionControl) logRefusal(s *pb.Submission, d admission.Decision) {
	a.mu.Lock()
	now, skipped := time.Now(), a.notLogged
	if now.Sub(a.loggedAt) < refusalLogInterval {
		a.notLogged++
		a.mu.Unlock()
		return
	}
	a.loggedAt, a.notLogged = now, 0
	a.mu.Unlock()
	a.instance.log.WithFields(logrus.Fields{
		"event": "submission refused", "request": s.GetRequestId(), "subject": s.GetId(), "queue": s.GetQueue(), "why": string(d.Reason),
		"wait_ms": d.Estimate.Wait.Milliseconds(), "least_wait_ms": d.Estimate.Optimistic.Milliseconds(), "limit_ms": d.Limit.Milliseconds(),
		"age_ms": d.Age.Milliseconds(), "retry_after_ms": d.RetryAfter.Milliseconds(), "not_logged": skipped,
	}).Warn("call")
}

// admissionJob returns what decides about a submission.
func admissionJob(s *pb.Submission) admission.Job {
	j := admission.Job{
		ID: s.GetId(), Queue: s.GetQueue(), Domain: s.GetSourceDomain(), Stretch: s.GetStretch(), Allowance: time.Duration(s.GetTargetMs()) * time.Millisecond,
		Exempt: s.GetTimes() > 0 || s.GetNeedsTicket(),
	}
	until := make([]time.Duration, len(s.GetSteps())) // critical path up to the end of each step
	for n, step := range s.GetSteps() {
		for _, earlier := range step.GetAfter() {
			until[n] = max(until[n], until[earlier])
		}
		until[n] += time.Duration(step.GetEstimateMs()) * time.Millisecond
		j.CriticalPath = max(j.CriticalPath, until[n])
		j.Exempt = j.Exempt || step.GetLasting() || step.GetRequiredLabel() != ""
		// The wait of the first step decides.
		j.Fillers = j.Fillers || n == 0 && step.GetFiller()
	}
	return j
}

// publishBacklogs publishes estimates of the waits of new jobs until the term ends:
// while there are any, and once when there are none any more.
func (o *ownerTerm) publishBacklogs() {
	estimator := admission.NewEstimator()
	published := false
	for sleep(o.ctx, backlogInterval); o.ctx.Err() == nil; sleep(o.ctx, backlogInterval) {
		var backlogs []scheduler.QueueBacklog
		var at time.Time
		var computedAt time.Time
		if o.postAndWait(o.ctx, workBacklog, func(c *scheduler.Core) {
			at, computedAt = time.Now(), admissionTime()
			backlogs = c.Backlog(at)
		}) != nil {
			return
		}
		list := estimator.Observe(backlogs, at)
		if len(list) == 0 && !published {
			continue
		}
		published = len(list) > 0
		o.instance.admission.setEstimates(list, computedAt)
		o.router.PublishBacklog(encodeEstimates(list), at)
	}
}

func encodeEstimates(list []admission.Estimate) []*pb.QueueBacklog {
	queues := make([]*pb.QueueBacklog, 0, len(list))
	for _, e := range list {
		queues = append(queues, &pb.QueueBacklog{
			Queue: e.Queue, Fillers: e.Fillers, WaitMs: e.Wait.Milliseconds(), OptimisticMs: e.Optimistic.Milliseconds(), AboveShare: e.AboveShare,
		})
	}
	return queues
}
