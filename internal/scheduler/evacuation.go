package scheduler

import (
	"maps"
	"slices"
	"time"

	"gooseberryreel/internal/evacuation"
)

// evacuationMargin covers the rounding of leases and the 2 % by which the clock of a
// worker may be slow.
const evacuationMargin = 100 * time.Millisecond

// startLease returns the lease of a start. Where failure domains are evacuated it is
// at most half of the bound, so that a start that was sent before the request was
// known, and is delayed, can't take effect after the bound.
func (o Options) startLease() time.Duration {
	if o.EvacuationBound == 0 {
		return startLease
	}
	return min(startLease, o.EvacuationBound/2)
}

// maxRequestAge is the age of the newest read of the operator's requests from which no
// task is started: an evacuation may have been requested since.
func (o Options) maxRequestAge() time.Duration {
	return o.EvacuationBound - o.startLease() - evacuationMargin
}

// operatorRequests is what the operator has requested, as far as the core knows.
type operatorRequests struct {
	evacuations    map[string]*domainEvacuation  // by failure domain
	refills        map[string]*evacuation.Refill // of the failure domains that return
	requestsReadAt time.Time                     // see RequestsRead
	requestsStale  bool                          // as logged
	coldChanged    bool                          // a worker has come back cold
	refillsBind    bool                          // some other domain is in use
}

func newOperatorRequests() operatorRequests {
	return operatorRequests{evacuations: make(map[string]*domainEvacuation), refills: make(map[string]*evacuation.Refill)}
}

// domainEvacuation is the state of a failure domain that is evacuated.
type domainEvacuation struct {
	since     time.Time      // when the request was read
	announced bool           // was logged
	found     bool           // has or had workers
	empty     bool           // as logged
	withheld  int64          // starts
	counted   map[*step]bool // steps that noteWithheld has seen
}

// EvacuationStatus describes the evacuation of a failure domain.
type EvacuationStatus struct {
	Domain   string
	Since    time.Time // when this owner learned of the request
	Workers  int
	Attempts int   // that may still run there
	Withheld int64 // starts that were withheld there
}

// Evacuations returns the state of all evacuations, in the order of the domains.
func (c *Core) Evacuations() []EvacuationStatus {
	list := make([]EvacuationStatus, 0, len(c.evacuations))
	for _, d := range slices.Sorted(maps.Keys(c.evacuations)) {
		e := c.evacuations[d]
		s := EvacuationStatus{Domain: d, Since: e.since, Withheld: e.withheld}
		s.Workers, s.Attempts = c.countDomain(d)
		list = append(list, s)
	}
	return list
}

// SetEvacuations replaces the set of failure domains that the operator has asked to
// evacuate. No task is started on their workers; what runs there continues.
func (c *Core) SetEvacuations(domains []string, now time.Time) {
	for _, d := range domains {
		if c.evacuations[d] == nil {
			c.evacuations[d] = &domainEvacuation{since: now, counted: make(map[*step]bool)}
			delete(c.refills, d)
			c.planDue = true
		}
	}
	for _, d := range slices.Sorted(maps.Keys(c.evacuations)) {
		if slices.Contains(domains, d) {
			continue
		}
		e := c.evacuations[d]
		delete(c.evacuations, d)
		c.refills[d] = evacuation.NewRefill(now)
		_, attempts := c.countDomain(d)
		c.addLogEntry("evacuation taken back", "", "domain", d, "after_ms", now.Sub(e.since).Milliseconds(), "attempts", attempts, "withheld", e.withheld)
		c.planDue = true
	}
}

// updateDomains logs the progress of the evacuations and advances the refills.
func (c *Core) updateDomains(now time.Time) {
	for _, d := range slices.Sorted(maps.Keys(c.evacuations)) {
		c.evacuations[d].update(c, d, now)
	}
	c.advanceRefills(now)
}

// update logs the request once the workers are known, and when the last attempt in the
// domain has ended. A domain without workers was never emptied: its name may be wrong.
func (e *domainEvacuation) update(c *Core, domain string, now time.Time) {
	if c.entriesReadAt.IsZero() {
		return // a new owner does not know yet which workers are in the domain
	}
	workers, attempts := c.countDomain(domain)
	if !e.announced {
		e.announced = true
		c.addLogEntry("evacuation requested", "", "domain", domain, "workers", workers, "attempts", attempts)
	}
	e.found = e.found || workers > 0
	empty := e.found && attempts == 0
	if empty && !e.empty {
		c.addLogEntry("domain empty", "", "domain", domain, "after_ms", now.Sub(e.since).Milliseconds(), "workers", workers, "withheld", e.withheld)
	}
	e.empty = empty
}

// countWithheld counts a placed attempt that is not started if its worker's failure
// domain is evacuated.
func (c *Core) countWithheld(w *worker) {
	if e := c.evacuations[w.entry.Zone]; e != nil {
		e.withheld++
	}
}

// noteWithheld counts the tasks of a step that wait after its first pass although they
// would fit on a worker of an evacuated domain.
func (p *pass) noteWithheld(s *step) {
	if len(p.core.evacuations) == 0 || s.waiting == 0 {
		return
	}
	q := p.core.queue(s.round.job)
	if q == nil {
		return
	}
	request := s.size
	if s.filler() {
		request.CPUMilli = 0
	}
	for d, e := range p.core.evacuations {
		if e.counted[s] {
			continue
		}
		e.counted[s] = true
		if slices.ContainsFunc(p.core.workerList, func(w *worker) bool {
			return w.entry.Zone == d && w.entry.Pool == q.Pool && w.usable(p.now) && request.FitsIn(w.free())
		}) {
			e.withheld += int64(s.waiting)
		}
	}
}

// countDomain returns the number of workers in a failure domain and of attempts there.
func (c *Core) countDomain(domain string) (workers, attempts int) {
	for _, w := range c.workerList {
		if w.entry.Zone == domain {
			workers++
			attempts += len(w.attempts)
		}
	}
	return workers, attempts
}

// evacuated reports whether no task may be started on a worker because its failure
// domain is evacuated.
func (c *Core) evacuated(w *worker) bool {
	_, found := c.evacuations[w.entry.Zone]
	return found && !c.disabled.ignoreEvacuations
}

// RequestsRead records that all of the operator's requests up to the time at have been
// passed to SetEvacuations.
func (c *Core) RequestsRead(at, now time.Time) {
	if at.After(c.requestsReadAt) {
		c.requestsReadAt = at
	}
	if c.requestsStale && c.requestsCurrent(now) {
		c.requestsStale, c.planDue = false, true
		c.addLogEntry("operator requests current", "")
	}
}

// requestsCurrent reports whether the operator's requests were read recently. It is
// true if the deployment has no evacuations.
func (c *Core) requestsCurrent(now time.Time) bool {
	return c.opts.EvacuationBound == 0 || now.Sub(c.requestsReadAt) < c.opts.maxRequestAge() || c.disabled.ignoreEvacuations
}

// checkRequests logs when the operator's requests become stale. It reports whether
// they are current.
func (c *Core) checkRequests(now time.Time) bool {
	current := c.requestsCurrent(now)
	if !current && !c.requestsStale {
		c.requestsStale = true
		c.addLogEntry("operator requests stale", "", "age_ms", now.Sub(c.requestsReadAt).Milliseconds())
	}
	return current
}
