package daemon

import (
	"slices"
	"sync"
	"time"

	"gooseberryreel/internal/scheduler"
	"gooseberryreel/internal/store"
	"gooseberryreel/platform"
)

// operatorRequests is the set of evacuations that the operator has requested, as far
// as this instance has read it. It is safe for concurrent use. All instances keep it,
// so that a new owner knows the evacuations before its first start.
type operatorRequests struct {
	mu      sync.Mutex
	domains map[string]bool // failure domains to evacuate
	readAt  time.Time       // all changes up to this time are in domains
}

func newOperatorRequests() *operatorRequests {
	return &operatorRequests{domains: make(map[string]bool)}
}

// apply applies a record of the operator's topic. It reports whether the set has
// changed.
func (r *operatorRequests) apply(rec store.Record) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := len(r.domains)
	r.applyLocked(rec)
	return len(r.domains) != before
}

// reset replaces the set by the evacuations among the newest records of all keys.
func (r *operatorRequests) reset(records []store.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.domains)
	for _, rec := range records {
		r.applyLocked(rec)
	}
}

// applyLocked is apply for a caller that holds mu.
func (r *operatorRequests) applyLocked(rec store.Record) {
	domain, ok := platform.DecodeEvacuation(rec.Key)
	switch {
	case !ok:
	case len(rec.Value) > 0:
		r.domains[domain] = true
	default:
		delete(r.domains, domain)
	}
}

// snapshot returns the set in a fixed order and the time up to which it is complete.
func (r *operatorRequests) snapshot() ([]string, time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	domains := make([]string, 0, len(r.domains))
	for d := range r.domains {
		domains = append(domains, d)
	}
	slices.Sort(domains)
	return domains, r.readAt
}

func (r *operatorRequests) read(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at.After(r.readAt) {
		r.readAt = at
	}
}

// passRequests passes the configuration and the operator's requests to the core of a
// term that has not begun to run. It is called once changes reach the term, so that
// none falls between.
func (i *Instance) passRequests(o *ownerTerm) {
	now := time.Now()
	o.core.SetConfig(i.config.Load())
	domains, readAt := i.requests.snapshot()
	o.core.SetEvacuations(domains, now)
	o.core.RequestsRead(readAt, now)
}

// postEvacuations passes the set of evacuations to the current term, if there is one.
func (i *Instance) postEvacuations() {
	if o := i.currentTerm(); o != nil {
		domains, _ := i.requests.snapshot()
		o.post(workConfig, func(core *scheduler.Core, now time.Time) { core.SetEvacuations(domains, now) })
	}
}

// requestsRead records that all requests up to a time have been applied.
func (i *Instance) requestsRead(at time.Time) {
	i.requests.read(at)
	if o := i.currentTerm(); o != nil {
		o.post(workConfig, func(core *scheduler.Core, now time.Time) { core.RequestsRead(at, now) })
	}
}
