package dispatch

import (
	"sync"
	"sync/atomic"
	"time"

	"gooseberryreel/internal/control"
	"gooseberryreel/internal/limits"
	"gooseberryreel/internal/pb"
	"gooseberryreel/internal/remote"
	"gooseberryreel/internal/requestid"
	"gooseberryreel/internal/router"
)

// leavingExclusion is how long a target that reported that it is leaving gets no
// work while the platform's list still shows it as live. The list may lag for a
// long time; a target that stays gets work again afterwards.
const leavingExclusion = 60 * time.Second

// unavailableExclusion is how long a target gets no work after a 503 that does not
// close the connection: the target may be leaving, or just be full.
const unavailableExclusion = 3 * time.Second

// routes is the routing table built from one view. The request path reads it
// without a lock.
type routes struct {
	view     *control.View
	tables   []*table // by request partition
	services map[string]*serviceRoutes
	// domains holds, by domain, the members of other domains that are not leaving.
	domains map[string][]*peerState
}

// serviceRoutes holds the routes of one service.
type serviceRoutes struct {
	declared *pb.Service
	state    *serviceState
	// owned are the targets of the service that this instance owns.
	owned []*target
	// peers are the instances of this domain that own other targets of the service.
	peers []*peerState
	// otherDomains are the members of other domains that are not leaving.
	otherDomains []*peerState
}

// serviceState is the state of a service that is kept from view to view.
type serviceState struct {
	name    string
	budget  *limits.RetryBudget
	stats   router.Stats // time that requests hold a slot, over all targets
	waiting atomic.Int32 // length of the queue
	mu      sync.Mutex   // guards queue
	queue   *limits.Queue
}

// peerState is the state that this instance keeps of another one.
type peerState struct {
	name        string
	address     string
	stats       router.Stats
	outstanding atomic.Int64
	// fullUntil is the time, in nanoseconds since 1970, until which the peer is
	// not tried for a free slot, since it recently had none.
	fullUntil atomic.Int64
}

// target is a target that this instance owns or owned.
type target struct {
	name          string
	address       string
	partition     int
	client        remote.Target
	slots         *limits.Slots
	stats         router.Stats
	latencyDigest latencyRecord
	// leavingUntil is the end of the target's exclusion, in nanoseconds since 1970.
	leavingUntil atomic.Int64

	// Guarded by Dispatcher.buildMu.
	instance remote.Instance
	epoch    int64
}

// leaving reports whether the target is excluded from new work.
func (t *target) leaving(now time.Time) bool { return now.UnixNano() < t.leavingUntil.Load() }

// buildState is the state from which routes are built. It is kept from view to
// view and, except for exported, guarded by Dispatcher.buildMu.
type buildState struct {
	targets  map[string]*target
	services map[string]*serviceState
	peers    map[string]*peerState // by address
	tables   []*table
	epochs   []epochs
	// exported holds, by partition, the epoch whose state was exported, plus one,
	// or zero. No work starts under that epoch. The slice is copied when it grows.
	exported atomic.Pointer[[]atomic.Int64]
}

// epochs holds the last two epochs that views showed for a partition, -1 for none.
type epochs struct {
	current  int64
	previous int64
	clean    bool // the previous owner released the partition, or there was none
	// handOver is the newest hand-over of the partition.
	handOver *pb.HandOverRequest
	// handOverAt is when this instance received it.
	handOverAt time.Time
}

// isComplete reports whether a hand-over accounts for all requests that earlier owners
// may have in flight. That holds if it comes from the owner just before the
// current one, or if the owners before the current one released the partition.
func (e *epochs) isComplete(h *pb.HandOverRequest) bool {
	return h.GetEpoch() == e.previous || (e.clean && h.GetEpoch() < e.current)
}

func newBuildState() buildState {
	return buildState{
		targets:  make(map[string]*target),
		services: make(map[string]*serviceState),
		peers:    make(map[string]*peerState),
	}
}

// isExported reports whether the state of a partition was exported under an epoch.
func (s *buildState) isExported(partition int, epoch int64) bool {
	list := s.exported.Load()
	return list != nil && partition < len(*list) && (*list)[partition].Load() == epoch+1
}

// currentRoutes returns the routes of the newest view, or nil before the first.
func (d *Dispatcher) currentRoutes() *routes {
	view := d.opts.Views()
	if view == nil || view.RequestPartitions() < 1 {
		return nil
	}
	if rt := d.routes.Load(); rt != nil && rt.view == view {
		return rt
	}
	return d.buildRoutes()
}

func (d *Dispatcher) buildRoutes() *routes {
	d.buildMu.Lock()
	defer d.buildMu.Unlock()
	view := d.opts.Views() // may be newer than the caller's by now
	if rt := d.routes.Load(); rt != nil && rt.view == view {
		return rt
	}
	d.growPartitions(view.RequestPartitions())
	d.updateEpochs(view)
	rt := &routes{
		view:     view,
		tables:   d.state.tables,
		services: make(map[string]*serviceRoutes),
		domains:  d.routeDomains(view),
	}
	if view.Config != nil {
		d.routeServices(rt)
	}
	d.dropTargets(view)
	d.routes.Store(rt)
	return rt
}

// growPartitions adds the state of partitions up to n.
func (d *Dispatcher) growPartitions(n int) {
	if len(d.state.tables) >= n {
		return
	}
	limits := tableLimits{
		maxCount: int64(d.opts.Settings.GetMaxStoredAnswers()),
		maxBytes: d.opts.Settings.GetMaxStoredBytes(),
		maxAge:   d.limits.retention + d.limits.skew,
	}
	tables := append([]*table(nil), d.state.tables...)
	exported := make([]atomic.Int64, n)
	for len(tables) < n {
		tables = append(tables, newTable(limits, &d.stored))
		d.state.epochs = append(d.state.epochs, epochs{current: -1, previous: -1})
	}
	if old := d.state.exported.Load(); old != nil {
		for i := range *old {
			exported[i].Store((*old)[i].Load())
		}
	}
	d.state.tables = tables
	d.state.exported.Store(&exported)
}

// updateEpochs records the epochs of a view.
func (d *Dispatcher) updateEpochs(view *control.View) {
	for i := range view.RequestPartitions() {
		e := &d.state.epochs[i]
		p := &view.Partitions[i]
		if p.Epoch == e.current || p.Epoch < 0 {
			continue
		}
		e.previous, e.current, e.clean = e.current, p.Epoch, p.Clean
	}
}

// routeDomains returns the members of other domains that are not leaving.
func (d *Dispatcher) routeDomains(view *control.View) map[string][]*peerState {
	domains := make(map[string][]*peerState)
	for _, m := range view.Members {
		if m.Domain != view.Domain && !m.Leaving {
			domains[m.Domain] = append(domains[m.Domain], d.peerOf(m.Name, m.PeerAddress))
		}
	}
	return domains
}

// peerOf returns the state of a peer, which is new if another instance used the
// address before. The caller must hold buildMu.
func (d *Dispatcher) peerOf(name, address string) *peerState {
	p, ok := d.state.peers[address]
	if !ok || p.name != name {
		p = &peerState{name: name, address: address}
		d.state.peers[address] = p
	}
	return p
}

// routeServices fills in the routes of the declared services.
func (d *Dispatcher) routeServices(rt *routes) {
	var otherDomains []*peerState
	for _, m := range rt.view.Members {
		if m.Domain != rt.view.Domain && !m.Leaving {
			otherDomains = append(otherDomains, d.peerOf(m.Name, m.PeerAddress))
		}
	}
	for name, declared := range rt.view.Config.Services {
		rt.services[name] = &serviceRoutes{declared: declared, state: d.serviceOf(name), otherDomains: otherDomains}
	}
	leaving := make(map[string]bool)
	for _, m := range rt.view.Members {
		leaving[m.Name] = m.Leaving
	}
	for _, inst := range rt.view.Targets {
		sr := rt.services[inst.Service]
		if sr == nil || (inst.State == remote.StateLeaving && !d.disabled.leaving) {
			continue
		}
		partition := requestid.Partition(inst.Name, rt.view.RequestPartitions())
		p := &rt.view.Partitions[partition]
		switch {
		case p.Own:
			sr.owned = append(sr.owned, d.targetOf(inst, partition, p))
		case p.Owner != "" && p.OwnerAddress != "" && !leaving[p.Owner]:
			sr.addPeer(d.peerOf(p.Owner, p.OwnerAddress))
		}
	}
}

func (sr *serviceRoutes) addPeer(p *peerState) {
	for _, known := range sr.peers {
		if known == p {
			return
		}
	}
	sr.peers = append(sr.peers, p)
}

func (d *Dispatcher) serviceOf(name string) *serviceState {
	s, ok := d.state.services[name]
	if !ok {
		s = &serviceState{name: name, budget: limits.NewRetryBudget(int(d.opts.Settings.GetRetryBudgetPercent())), queue: limits.NewQueue()}
		d.state.services[name] = s
	}
	return s
}

// targetOf returns the state of an owned target. After a takeover from an owner
// that did not release the partition, the slots count as in use until the requests
// that this owner may have sent have ended.
func (d *Dispatcher) targetOf(inst remote.Instance, partition int, p *control.Partition) *target {
	t, ok := d.state.targets[inst.Name]
	if !ok || t.instance.Address != inst.Address {
		t = d.newTarget(inst, partition, t)
		d.state.targets[inst.Name] = t
	}
	t.instance = inst
	t.slots.SetLimits(d.slotLimits(inst))
	if t.epoch == p.Epoch {
		return t
	}
	t.epoch = p.Epoch
	d.reserveAfterTakeover(t, p)
	return t
}

// newTarget returns the state of a new target, or of one whose address changed.
// In the latter case it keeps the slots of the earlier state, since requests may
// still be in flight there.
func (d *Dispatcher) newTarget(inst remote.Instance, partition int, earlier *target) *target {
	t := &target{name: inst.Name, address: inst.Address, partition: partition, client: d.opts.NewTarget(inst), epoch: -1}
	d.restoreLeaving(t, inst)
	if earlier != nil {
		earlier.client.Close()
		t.slots, t.epoch = earlier.slots, earlier.epoch
	} else {
		t.slots = limits.NewSlots(d.slotLimits(inst))
	}
	return t
}

func (d *Dispatcher) slotLimits(inst remote.Instance) (slots, connections int) {
	if d.disabled.slots {
		return 1 << 30, 1 << 30
	}
	return inst.Slots, inst.Connections
}

// reserveAfterTakeover reserves the slots that the previous owner of a target may
// still use: those that it handed over, or else all until its last request must
// have ended.
func (d *Dispatcher) reserveAfterTakeover(t *target, p *control.Partition) {
	e := &d.state.epochs[t.partition]
	if e.handOver != nil && e.isComplete(e.handOver) {
		t.reserveHandedOver(e.handOver, e.handOverAt)
		return
	}
	if !p.Clean && !d.disabled.reserve {
		t.slots.ReserveAll(p.EffectiveAt.Add(d.limits.maxTimeout))
	}
}

// reserveHandedOver reserves slots for the requests that the previous owner had in
// flight when it handed over.
func (t *target) reserveHandedOver(h *pb.HandOverRequest, at time.Time) {
	for _, count := range h.GetTargets() {
		if count.GetTarget() == t.name {
			t.slots.Reserve(int(count.GetInFlight()), at.Add(time.Duration(count.GetRemainingMs())*time.Millisecond))
			return
		}
	}
	t.slots.Reserve(0, at)
}

// dropTargets closes and removes targets that are no longer listed and have no
// request in flight.
func (d *Dispatcher) dropTargets(view *control.View) {
	listed := make(map[string]bool, len(view.Targets))
	for _, inst := range view.Targets {
		listed[inst.Name] = true
	}
	now := time.Now()
	for name, t := range d.state.targets {
		if !listed[name] && t.slots.Outstanding(now) == 0 {
			t.client.Close()
			delete(d.state.targets, name)
		}
	}
}
