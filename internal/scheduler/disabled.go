package scheduler

import "gooseberryreel/internal/locality"

// disabledRules disables single mechanisms, so that tests can show which failure
// each of them prevents.
type disabledRules struct {
	expireSilent         bool // attempts on a silent worker count as lost at once
	startUnrecorded      bool // starts are sent before they are recorded
	trustUnanswered      bool // a start without an answer counts as never carried out
	waitForAnswers       bool // an attempt whose start and stops have no answer may start at any time
	trustCutLists        bool // concludes from lists that lack ends
	trustLists           bool // an attempt without an answer that is not listed can't start any more
	discardUnrecorded    bool // workers discard ends before they are recorded
	keepCursor           bool // a restarted worker is sent the cursor from before its restart
	skipEvacuation       bool // tasks stay on a draining worker
	ignoreInterference   bool // fillers are placed by utilization alone and never throttled
	earliestDueFirst     bool // steps are ordered by due time and uncorrected estimates alone
	starveLongRunning    bool // long-running tasks wait behind short ones without a limit
	promoteNewEarly      bool // long-running tasks that never ran go ahead of short ones as early as others
	noHeadroom           bool // new long-running tasks leave nothing free for urgent short ones
	ignoreCrashes        bool // crashes of workers are no evidence against their tasks
	forgetWaits          bool // the waits of tasks begin anew with each owner
	forgetCrashes        bool // a new owner does not restore the evidence
	noTrials             bool // suspect tasks are started beside others
	ignoreEvacuations    bool // tasks are started in evacuated failure domains
	ignoreSpeeds         bool // slow and cold workers are treated like others
	refillAtOnce         bool // a failure domain that returns is filled at once
	blameAll             bool // each attempt counts as the only young one
	clearOverruns        bool // one measurement at or below the target ends an overrun
	countFromMeasurement bool // an overrun begins with its first measurement
	ignoreMargins        bool // fillers with and without slack are placed alike
	ignoreOverdue        bool // fillers are evicted only upon a measurement
	refillAfterEviction  bool // fillers start right after others were evicted for a service
	trustSpeeds          bool // throttle commands without an answer are not repeated
	relieveTightest      bool // only the service with the least slack is relieved
	quarantineAll        bool // all workers of a pool may be quarantined at once
	noBacklog            bool // no backlog is reported, so that no job is refused
	ignoreRacks          bool // a task never waits for room near its data or its gang
	ignoreHotRacks       bool // tasks without data on a rack use its room like any other
	learnRemote          bool // durations away from the data are learned as they are
	noGangHolds          bool // no room is held for a gang
	// nearWait, if not nil, replaces the decision to wait for room near the data.
	nearWait        func(locality.Question) locality.Answer
	ignoreCost      bool // urgent steps are ordered by standing and due time alone
	rankAll         bool // each pass ranks all workers for each waiting step
	noLeaseBounds   bool // the leases of silent workers are not recorded
	renewBounded    bool // bounded leases are renewed
	leasesFromNow   bool // leases are counted from when they are granted
	dropLeaseBounds bool // the bounds of earlier owners are not recorded again
	noCopies        bool // stragglers of speculative steps get no copies
	discardEarly    bool // a worker discards the end of a task whose copy may still start
	// knownSpeed, if not nil, replaces the learned speed of workers for copies.
	knownSpeed func(*worker) float64
}
