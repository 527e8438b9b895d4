package ownership

import (
	"fmt"
	"math/rand"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"gooseberryreel/internal/pb"
)

const (
	tick      = 100 * time.Millisecond
	testLease = 3 * time.Second
)

var startTime = time.Unix(1_000_000, 0)

func testOptions(id ID, partitions int) Options {
	return Options{
		Self: id, PeerAddress: id.Name, Partitions: partitions, Lease: testLease,
		HeartbeatInterval: time.Second, UnlistedGrace: 60 * time.Second, RefusedProvesGone: true,
	}
}

// process is one process of an instance in the simulation.
type process struct {
	id             ID
	core           *Core
	alive          bool
	pausedUntil    int
	logCutOffUntil int
	readPosition   int
	// view is the state that the goroutines serving requests see. It stays in
	// force while the process is paused.
	view []Partition
}

// inFlightAppend is an append in flight to the log, which it reaches at the tick
// arrivesAt.
type inFlightAppend struct {
	arrivesAt int
	sender    *process
	rec       *pb.StreamRecord
}

// simulation runs processes that share one log, with random faults from a seed.
// Time is counted in ticks.
type simulation struct {
	rand       *rand.Rand
	partitions int
	disabled   disabledRules
	// t is the current tick.
	t            int
	log          []*pb.StreamRecord
	inFlight     []inFlightAppend
	logDownUntil int
	cutOffPairs  map[[2]string]bool
	running      []*process
	// all holds every process that was ever started.
	all       map[ID]*process
	nameCount int
	// violations and owned count, over ticks and partitions, where more than one
	// process and where at least one process had permission.
	violations int
	owned      int
}

func newSimulation(seed int64, partitions int, disabled disabledRules) *simulation {
	sim := &simulation{
		rand: rand.New(rand.NewSource(seed)), partitions: partitions, disabled: disabled,
		cutOffPairs: make(map[[2]string]bool), all: make(map[ID]*process),
	}
	for range 3 {
		sim.start("")
	}
	return sim
}

func (sim *simulation) now() time.Time { return startTime.Add(time.Duration(sim.t) * tick) }

// start runs a new process under a name, or under a new name if it is empty.
func (sim *simulation) start(name string) *process {
	if name == "" {
		sim.nameCount++
		name = fmt.Sprintf("n%d", sim.nameCount)
	}
	p := &process{id: ID{Name: name, Incarnation: uint64(sim.t + 1)}, alive: true}
	p.core = New(testOptions(p.id, sim.partitions))
	p.core.disabled = sim.disabled
	sim.running = append(sim.running, p)
	sim.all[p.id] = p
	return p
}

// pairKey returns the key of a pair of instances in cutOffPairs.
func pairKey(a, b *process) [2]string {
	if a.id.Name > b.id.Name {
		a, b = b, a
	}
	return [2]string{a.id.Name, b.id.Name}
}

func (sim *simulation) connected(a, b *process) bool { return !sim.cutOffPairs[pairKey(a, b)] }

func (sim *simulation) canReachLog(p *process) bool {
	return sim.t >= sim.logDownUntil && sim.t >= p.logCutOffUntil
}

func (sim *simulation) crash(p *process) {
	p.alive = false
	for i, q := range sim.running {
		if q == p {
			sim.running = append(sim.running[:i:i], sim.running[i+1:]...)
			return
		}
	}
}

func (sim *simulation) randBetween(low, high int) int { return low + sim.rand.Intn(high-low+1) }

func (sim *simulation) injectFaults() {
	r := sim.rand
	pick := func() *process { return sim.running[r.Intn(len(sim.running))] }
	switch x := r.Float64(); {
	case x < .004:
		sim.logDownUntil = sim.t + sim.randBetween(10, 600)
	case x < .010:
		pick().logCutOffUntil = sim.t + sim.randBetween(10, 400)
	case x < .016:
		pick().pausedUntil = sim.t + sim.randBetween(5, 200)
	case x < .020:
		victim := pick()
		sim.crash(victim)
		name := ""
		if r.Float64() < .25 {
			name = victim.id.Name
		}
		sim.start(name)
	case x < .026:
		a, b := pick(), pick()
		if a != b {
			sim.cutOffPairs[pairKey(a, b)] = true
		}
	case x < .040:
		for a := range sim.running {
			for b := range a {
				if r.Intn(3) == 0 {
					delete(sim.cutOffPairs, pairKey(sim.running[a], sim.running[b]))
				}
			}
		}
	}
}

// readLog applies the new records of the log, sometimes only the first of them.
func (sim *simulation) readLog(p *process) {
	upTo := len(sim.log)
	if sim.rand.Float64() > .8 {
		upTo = sim.randBetween(p.readPosition, len(sim.log))
	}
	for ; p.readPosition < upTo; p.readPosition++ {
		p.core.ApplyRecord(sim.now(), int64(p.readPosition), sim.log[p.readPosition])
	}
	p.core.UpdateReadPosition(sim.now(), int64(p.readPosition), int64(upTo))
}

// appendDue appends the records that are due. Some appends are lost and some are
// late.
func (sim *simulation) appendDue(p *process) {
	for _, rec := range p.core.Tick(sim.now()) {
		if !sim.canReachLog(p) || sim.rand.Float64() < .1 {
			continue
		}
		delay := sim.randBetween(0, 2)
		if sim.rand.Float64() < .05 {
			delay = sim.randBetween(3, 40)
		}
		sim.inFlight = append(sim.inFlight, inFlightAppend{arrivesAt: sim.t + delay, sender: p, rec: rec})
	}
}

// deliverAppends adds the appends that have arrived to the log. Some
// confirmations are lost.
func (sim *simulation) deliverAppends() {
	kept := sim.inFlight[:0]
	for _, f := range sim.inFlight {
		if f.arrivesAt > sim.t {
			kept = append(kept, f)
			continue
		}
		if sim.t < sim.logDownUntil {
			continue
		}
		sim.log = append(sim.log, f.rec)
		if f.sender.alive && sim.rand.Float64() < .8 {
			f.sender.core.ConfirmAppend(f.rec.GetId())
		}
	}
	sim.inFlight = kept
}

// runningProcess returns the running process with a name, and so with its
// address, nil for none.
func (sim *simulation) runningProcess(name string) *process {
	for _, p := range sim.running {
		if p.id.Name == name {
			return p
		}
	}
	return nil
}

// queryPeers queries the peers of a process, with pairs of instances that are cut
// off from each other, lost replies and replies to queries that were sent earlier.
func (sim *simulation) queryPeers(p *process) {
	owned := p.core.Owned()
	for _, peer := range p.core.Peers() {
		queried, q := sim.all[peer.ID], sim.runningProcess(peer.ID.Name)
		if !sim.connected(p, queried) || sim.rand.Float64() < .1 {
			continue
		}
		if q == nil {
			if sim.rand.Float64() < .5 {
				p.core.ApplyRefusedConnection(peer.ID)
			}
			continue
		}
		if q.pausedUntil > sim.t {
			continue
		}
		queriedAt := sim.now().Add(-time.Duration(sim.randBetween(0, 3)) * tick)
		p.core.ApplyPromises(peer.ID, q.id, queriedAt, owned, q.core.GrantPromises(sim.now(), owned))
	}
}

// updateListing passes the names of the running instances to a process.
func (sim *simulation) updateListing(p *process) {
	names := make(map[string]bool)
	for _, q := range sim.running {
		names[q.id.Name] = true
	}
	p.core.ApplyListing(sim.now(), names)
}

// releaseSome releases partitions, to a new member or, at random, as in a
// planned leave.
func (sim *simulation) releaseSome(p *process) {
	if number, _, ok := p.core.NextRebalance(sim.now()); ok && p.core.SuspendPartition(number, sim.now()) {
		p.core.ReleasePartition(number, p.core.Epoch(number))
	}
	if sim.rand.Float64() < .002 {
		number := sim.rand.Intn(sim.partitions)
		if p.core.SuspendPartition(number, sim.now()) {
			p.core.ReleasePartition(number, p.core.Epoch(number))
		}
	}
}

func (sim *simulation) step(p *process) {
	if sim.canReachLog(p) && sim.rand.Float64() < .7 {
		sim.readLog(p)
	}
	if sim.t%7 == 0 {
		sim.queryPeers(p)
	}
	if sim.t%20 == 0 {
		sim.updateListing(p)
	}
	sim.releaseSome(p)
	sim.appendDue(p)
	p.view = p.view[:0]
	for i := range sim.partitions {
		p.view = append(p.view, p.core.Partition(i, sim.now()))
	}
}

// check counts the partitions for which more than one process has permission at
// this tick, and those for which at least one has.
func (sim *simulation) check() {
	for i := range sim.partitions {
		acting := 0
		for _, p := range sim.running {
			if len(p.view) > 0 && p.view[i].MayAct(sim.now()) {
				acting++
			}
		}
		if acting > 1 {
			sim.violations++
		}
		if acting > 0 {
			sim.owned++
		}
	}
}

func (sim *simulation) run(ticks int) {
	for end := sim.t + ticks; sim.t < end; sim.t++ {
		sim.injectFaults()
		sim.deliverAppends()
		sim.rand.Shuffle(len(sim.running), func(i, j int) { sim.running[i], sim.running[j] = sim.running[j], sim.running[i] })
		for _, p := range sim.running {
			if p.pausedUntil <= sim.t {
				sim.step(p)
			}
		}
		sim.check()
	}
}

// runSchedules returns the number of schedules in which two processes had
// permission for a partition at once, and the share of time in which one had. If
// maxBad is above zero, it stops after that many bad schedules.
func runSchedules(schedules, ticks, partitions int, disabled disabledRules, maxBad int64) (bad int64, owned float64) {
	var violating, ownedTicks atomic.Int64
	var group sync.WaitGroup
	seeds := make(chan int64)
	for range min(6, runtime.GOMAXPROCS(0)) {
		group.Add(1)
		go func() {
			defer group.Done()
			for seed := range seeds {
				sim := newSimulation(seed, partitions, disabled)
				sim.run(ticks)
				if sim.violations > 0 {
					violating.Add(1)
				}
				ownedTicks.Add(int64(sim.owned))
			}
		}()
	}
	for seed := range int64(schedules) {
		if maxBad > 0 && violating.Load() >= maxBad {
			break
		}
		seeds <- seed + 1
	}
	close(seeds)
	group.Wait()
	return violating.Load(), float64(ownedTicks.Load()) / float64(schedules*ticks*partitions)
}

// Guards against two instances with permission for a partition at once, with one
// partition and with several, under random log outages, network
// partitions, pauses, crashes, late reads and lost append confirmations.
func TestSchedulesNeverHaveTwoOwners(t *testing.T) {
	for _, partitions := range []int{1, 4} {
		t.Run(fmt.Sprint(partitions), func(t *testing.T) {
			c := qt.New(t)
			bad, owned := runSchedules(4000/partitions, 2000, partitions, disabledRules{}, 0)
			t.Logf("partitions=%d owned=%.3f", partitions, owned)
			c.Assert(bad, qt.Equals, int64(0))
			c.Assert(owned > 0.2, qt.IsTrue, qt.Commentf("owned=%.3f", owned))
		})
	}
}

// Guards against rules that the random schedules don't exercise: with a rule
// disabled, a schedule must show two owners.
func TestSchedulesFindMissingRules(t *testing.T) {
	for name, disabled := range map[string]disabledRules{
		"known rule off":         {knownCheck: true},
		"earlier owners off":     {earlierOwnerCheck: true},
		"delay and promises off": {claimDelay: true, promiseCheck: true},
	} {
		t.Run(name, func(t *testing.T) {
			bad, _ := runSchedules(1500, 2000, 1, disabled, 1)
			qt.Assert(t, bad > 0, qt.IsTrue)
		})
	}
}
