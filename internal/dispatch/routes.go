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

// leavingHold is how long a target that said it is leaving gets no work while
// the platform's list still shows it as live. The list may lag for long; a
// target that stays gets work again.
const leavingHold = 60 * time.Second

// unavailableHold is how long a target gets no work after a 503 that does not
// close the connection: it may be leaving, or only be full.
const unavailableHold = 3 * time.Second

// routes is what the request path needs of one view, prepared for reading
// without a lock.
type routes struct {
	view     *control.View
	tables   []*table // by request partition
	services map[string]*serviceRoutes
	// domains holds the callable members of other domains.
	domains map[string][]*peerState
}

// serviceRoutes is what a view says of one service.
type serviceRoutes struct {
	declared *pb.Service
	state    *service
	own      []*target
	// peers own targets of the service in this domain.
	peers []*peerState
	// abroad are the members of other domains.
	abroad []*peerState
}

// service is the state of a service that outlasts views.
type service struct {
	name    string
	budget  *limits.RetryBudget
	stats   router.Stats // time that requests hold a slot, over all targets
	waiting atomic.Int32
	mu      sync.Mutex
	queue   *limits.Queue
}

// peerState is what this instance knows of another one.
type peerState struct {
	name        string
	address     string
	stats       router.Stats
	outstanding atomic.Int64
	// fullUntil is the time in nanoseconds since 1970 until which the peer is
	// not asked for a free slot, since it just had none.
	fullUntil atomic.Int64
}

// target is a target that this instance owns or owned.
type target struct {
	name      string
	address   string
	partition int
	client    remote.Target
	slots     *limits.Slots
	stats     router.Stats
	digest    latencyRecord
	// leavingUntil is in nanoseconds since 1970.
	leavingUntil atomic.Int64

	// Guarded by Dispatcher.buildMu.
	instance remote.Instance
	epoch    int64
}

func (t *target) leaving(now time.Time) bool { return now.UnixNano() < t.leavingUntil.Load() }

// buildState is the state that outlasts views.
type buildState struct {
	targets  map[string]*target
	services map[string]*service
	peers    map[string]*peerState // by address
	tables   []*table
	epochs   []epochs
	// exported holds, by partition, the epoch whose state was handed over, plus
	// one; no work starts under it.
	exported atomic.Pointer[[]atomic.Int64]
}

// epochs are the last two epochs that views showed for a partition.
type epochs struct {
	current  int64
	previous int64
	clean    bool // the current owner took over a released partition
	// handed is the newest hand-over of the partition.
	handed *pb.HandOverRequest
	// handedAt is when it was received.
	handedAt time.Time
}

// replaces reports whether a hand-over states all that an earlier owner may have
// in flight: it is of the owner just before the current one, or all owners
// before released the partition.
func (e *epochs) replaces(h *pb.HandOverRequest) bool {
	return h.GetEpoch() == e.previous || (e.clean && h.GetEpoch() < e.current)
}

func newBuildState() buildState {
	return buildState{
		targets:  make(map[string]*target),
		services: make(map[string]*service),
		peers:    make(map[string]*peerState),
	}
}

func (s *buildState) exportedEpoch(partition int, epoch int64) bool {
	list := s.exported.Load()
	return list != nil && partition < len(*list) && (*list)[partition].Load() == epoch+1
}

// currentRoutes returns the routes of the newest view, nil before the first.
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
	d.followEpochs(view)
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

func (d *Dispatcher) growPartitions(n int) {
	if len(d.state.tables) >= n {
		return
	}
	limits := tableLimits{
		maxCount: int64(d.opts.Settings.GetMaxStoredAnswers()),
		maxBytes: d.opts.Settings.GetMaxStoredBytes(),
		keep:     d.limits.retention + d.limits.skew,
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

func (d *Dispatcher) followEpochs(view *control.View) {
	for i := range view.RequestPartitions() {
		e := &d.state.epochs[i]
		p := &view.Partitions[i]
		if p.Epoch == e.current || p.Epoch < 0 {
			continue
		}
		e.previous, e.current, e.clean = e.current, p.Epoch, p.Clean
	}
}

func (d *Dispatcher) routeDomains(view *control.View) map[string][]*peerState {
	domains := make(map[string][]*peerState)
	for _, m := range view.Members {
		if m.Domain != view.Domain && !m.Leaving {
			domains[m.Domain] = append(domains[m.Domain], d.peerOf(m.Name, m.PeerAddress))
		}
	}
	return domains
}

func (d *Dispatcher) peerOf(name, address string) *peerState {
	p, ok := d.state.peers[address]
	if !ok || p.name != name {
		p = &peerState{name: name, address: address}
		d.state.peers[address] = p
	}
	return p
}

func (d *Dispatcher) routeServices(rt *routes) {
	var abroad []*peerState
	for _, m := range rt.view.Members {
		if m.Domain != rt.view.Domain && !m.Leaving {
			abroad = append(abroad, d.peerOf(m.Name, m.PeerAddress))
		}
	}
	for name, declared := range rt.view.Config.Services {
		rt.services[name] = &serviceRoutes{declared: declared, state: d.serviceOf(name), abroad: abroad}
	}
	leaving := make(map[string]bool)
	for _, m := range rt.view.Members {
		leaving[m.Name] = m.Leaving
	}
	for _, inst := range rt.view.Targets {
		sr := rt.services[inst.Service]
		if sr == nil || (inst.State == remote.StateLeaving && !d.off.leaving) {
			continue
		}
		partition := requestid.Partition(inst.Name, rt.view.RequestPartitions())
		p := &rt.view.Partitions[partition]
		switch {
		case p.Own:
			sr.own = append(sr.own, d.targetOf(inst, partition, p))
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

func (d *Dispatcher) serviceOf(name string) *service {
	s, ok := d.state.services[name]
	if !ok {
		s = &service{name: name, budget: limits.NewRetryBudget(int(d.opts.Settings.GetRetryBudgetPercent())), queue: limits.NewQueue()}
		d.state.services[name] = s
	}
	return s
}

// targetOf returns the state of an owned target. After a takeover that was not
// clean its slots count as taken until the requests that the previous owner may
// have sent have ended.
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

// newTarget keeps the slots of an earlier target of the same name, since its
// requests may still be in flight there.
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
	if d.off.slots {
		return 1 << 30, 1 << 30
	}
	return inst.Slots, inst.Connections
}

func (d *Dispatcher) reserveAfterTakeover(t *target, p *control.Partition) {
	e := &d.state.epochs[t.partition]
	if e.handed != nil && e.replaces(e.handed) {
		t.reserveHanded(e.handed, e.handedAt)
		return
	}
	if !p.Clean && !d.off.reserve {
		t.slots.ReserveAll(p.EffectiveAt.Add(d.limits.maxTimeout))
	}
}

// reserveHanded counts the requests that the previous owner had in flight.
func (t *target) reserveHanded(h *pb.HandOverRequest, at time.Time) {
	for _, count := range h.GetTargets() {
		if count.GetTarget() == t.name {
			t.slots.Reserve(int(count.GetInFlight()), at.Add(time.Duration(count.GetRemainingMs())*time.Millisecond))
			return
		}
	}
	t.slots.Reserve(0, at)
}

// dropTargets closes the clients of targets that are not listed any more and
// have nothing in flight.
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
