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

var epoch0 = time.Unix(1_000_000, 0)

func testOptions(id ID, partitions int) Options {
	return Options{
		Self: id, PeerAddress: id.Name, Partitions: partitions, Lease: testLease,
		HeartbeatInterval: time.Second, UnlistedGrace: 60 * time.Second, RefusedProvesGone: true,
	}
}

// process is one process of an instance in the simulation.
type process struct {
	id     ID
	core   *Core
	alive  bool
	paused int
	noLog  int
	read   int
	// view is the state that the goroutines serving requests see. It stays in
	// force while the process is paused.
	view []Partition
}

// flight is an append on its way to the log, which it reaches at the tick at.
type flight struct {
	at     int
	sender *process
	rec    *pb.StreamRecord
}

// world simulates processes that share one log, with random faults from a seed. Time
// is counted in ticks.
type world struct {
	rand       *rand.Rand
	partitions int
	off        switches
	t          int
	log        []*pb.StreamRecord
	flights    []flight
	outage     int
	cut        map[[2]string]bool
	running    []*process
	all        map[ID]*process
	names      int
	violations int
	owned      int
}

func newWorld(seed int64, partitions int, off switches) *world {
	w := &world{
		rand: rand.New(rand.NewSource(seed)), partitions: partitions, off: off,
		cut: make(map[[2]string]bool), all: make(map[ID]*process),
	}
	for range 3 {
		w.start("")
	}
	return w
}

func (w *world) now() time.Time { return epoch0.Add(time.Duration(w.t) * tick) }

// start runs a new process under a name, or under a new name if it is empty.
func (w *world) start(name string) *process {
	if name == "" {
		w.names++
		name = fmt.Sprintf("n%d", w.names)
	}
	p := &process{id: ID{Name: name, Incarnation: uint64(w.t + 1)}, alive: true}
	p.core = New(testOptions(p.id, w.partitions))
	p.core.off = w.off
	w.running = append(w.running, p)
	w.all[p.id] = p
	return p
}

// pair returns the key of the link between two instances.
func pair(a, b *process) [2]string {
	if a.id.Name > b.id.Name {
		a, b = b, a
	}
	return [2]string{a.id.Name, b.id.Name}
}

func (w *world) linked(a, b *process) bool { return !w.cut[pair(a, b)] }

func (w *world) canLog(p *process) bool { return w.t >= w.outage && w.t >= p.noLog }

func (w *world) crash(p *process) {
	p.alive = false
	for i, q := range w.running {
		if q == p {
			w.running = append(w.running[:i:i], w.running[i+1:]...)
			return
		}
	}
}

func (w *world) between(low, high int) int { return low + w.rand.Intn(high-low+1) }

func (w *world) faults() {
	r := w.rand
	pick := func() *process { return w.running[r.Intn(len(w.running))] }
	switch x := r.Float64(); {
	case x < .004:
		w.outage = w.t + w.between(10, 600)
	case x < .010:
		pick().noLog = w.t + w.between(10, 400)
	case x < .016:
		pick().paused = w.t + w.between(5, 200)
	case x < .020:
		victim := pick()
		w.crash(victim)
		name := ""
		if r.Float64() < .25 {
			name = victim.id.Name
		}
		w.start(name)
	case x < .026:
		a, b := pick(), pick()
		if a != b {
			w.cut[pair(a, b)] = true
		}
	case x < .040:
		for a := range w.running {
			for b := range a {
				if r.Intn(3) == 0 {
					delete(w.cut, pair(w.running[a], w.running[b]))
				}
			}
		}
	}
}

// readLog applies the new records of the log, sometimes only the first of them.
func (w *world) readLog(p *process) {
	upTo := len(w.log)
	if w.rand.Float64() > .8 {
		upTo = w.between(p.read, len(w.log))
	}
	for ; p.read < upTo; p.read++ {
		p.core.ApplyRecord(w.now(), int64(p.read), w.log[p.read])
	}
	p.core.UpdateReadPosition(w.now(), int64(p.read), int64(upTo))
}

// send appends the records that are due. Some appends are lost and some are late.
func (w *world) send(p *process) {
	for _, rec := range p.core.Tick(w.now()) {
		if !w.canLog(p) || w.rand.Float64() < .1 {
			continue
		}
		delay := w.between(0, 2)
		if w.rand.Float64() < .05 {
			delay = w.between(3, 40)
		}
		w.flights = append(w.flights, flight{at: w.t + delay, sender: p, rec: rec})
	}
}

// land adds the appends that have arrived to the log. Some confirmations are lost.
func (w *world) land() {
	kept := w.flights[:0]
	for _, f := range w.flights {
		if f.at > w.t {
			kept = append(kept, f)
			continue
		}
		if w.t < w.outage {
			continue
		}
		w.log = append(w.log, f.rec)
		if f.sender.alive && w.rand.Float64() < .8 {
			f.sender.core.ConfirmAppend(f.rec.GetId())
		}
	}
	w.flights = kept
}

// at returns the running process with a name, and so with its address, nil for none.
func (w *world) at(name string) *process {
	for _, p := range w.running {
		if p.id.Name == name {
			return p
		}
	}
	return nil
}

// ask queries the peers of a process, with cut links, lost replies and replies to
// queries that were sent earlier.
func (w *world) ask(p *process) {
	owned := p.core.Owned()
	for _, peer := range p.core.Peers() {
		dead, q := w.all[peer.ID], w.at(peer.ID.Name)
		if !w.linked(p, dead) || w.rand.Float64() < .1 {
			continue
		}
		if q == nil {
			if w.rand.Float64() < .5 {
				p.core.ApplyRefusedConnection(peer.ID)
			}
			continue
		}
		if q.paused > w.t {
			continue
		}
		askedAt := w.now().Add(-time.Duration(w.between(0, 3)) * tick)
		p.core.ApplyPromises(peer.ID, q.id, askedAt, owned, q.core.GrantPromises(w.now(), owned))
	}
}

// list passes the names of the running instances to a process.
func (w *world) list(p *process) {
	names := make(map[string]bool)
	for _, q := range w.running {
		names[q.id.Name] = true
	}
	p.core.ApplyListing(w.now(), names)
}

// handOver releases partitions, to a new member or, at random, as in a planned leave.
func (w *world) handOver(p *process) {
	if number, _, ok := p.core.NextRebalance(w.now()); ok && p.core.SuspendPartition(number, w.now()) {
		p.core.ReleasePartition(number, p.core.Epoch(number))
	}
	if w.rand.Float64() < .002 {
		number := w.rand.Intn(w.partitions)
		if p.core.SuspendPartition(number, w.now()) {
			p.core.ReleasePartition(number, p.core.Epoch(number))
		}
	}
}

func (w *world) step(p *process) {
	if w.canLog(p) && w.rand.Float64() < .7 {
		w.readLog(p)
	}
	if w.t%7 == 0 {
		w.ask(p)
	}
	if w.t%20 == 0 {
		w.list(p)
	}
	w.handOver(p)
	w.send(p)
	p.view = p.view[:0]
	for i := range w.partitions {
		p.view = append(p.view, p.core.Partition(i, w.now()))
	}
}

// check counts the partitions for which more than one process has permission at this
// tick, and those for which at least one has.
func (w *world) check() {
	for i := range w.partitions {
		acting := 0
		for _, p := range w.running {
			if len(p.view) > 0 && p.view[i].MayAct(w.now()) {
				acting++
			}
		}
		if acting > 1 {
			w.violations++
		}
		if acting > 0 {
			w.owned++
		}
	}
}

func (w *world) run(ticks int) {
	for end := w.t + ticks; w.t < end; w.t++ {
		w.faults()
		w.land()
		w.rand.Shuffle(len(w.running), func(i, j int) { w.running[i], w.running[j] = w.running[j], w.running[i] })
		for _, p := range w.running {
			if p.paused <= w.t {
				w.step(p)
			}
		}
		w.check()
	}
}

// runSchedules returns the number of schedules in which two processes had permission
// for a partition at once, and the share of time in which one had. If enough is
// above zero, it stops after that many bad schedules.
func runSchedules(schedules, ticks, partitions int, off switches, enough int64) (bad int64, owned float64) {
	var violating, ownedTicks atomic.Int64
	var group sync.WaitGroup
	seeds := make(chan int64)
	for range min(6, runtime.GOMAXPROCS(0)) {
		group.Add(1)
		go func() {
			defer group.Done()
			for seed := range seeds {
				w := newWorld(seed, partitions, off)
				w.run(ticks)
				if w.violations > 0 {
					violating.Add(1)
				}
				ownedTicks.Add(int64(w.owned))
			}
		}()
	}
	for seed := range int64(schedules) {
		if enough > 0 && violating.Load() >= enough {
			break
		}
		seeds <- seed + 1
	}
	close(seeds)
	group.Wait()
	return violating.Load(), float64(ownedTicks.Load()) / float64(schedules*ticks*partitions)
}

// Guards against two instances with permission for a partition at once, with one
// partition and with several, under random log outages, cut links, pauses, crashes,
// late reads and lost append confirmations.
func TestSchedulesNeverHaveTwoOwners(t *testing.T) {
	for _, partitions := range []int{1, 4} {
		t.Run(fmt.Sprint(partitions), func(t *testing.T) {
			c := qt.New(t)
			bad, owned := runSchedules(4000/partitions, 2000, partitions, switches{}, 0)
			t.Logf("partitions=%d owned=%.3f", partitions, owned)
			c.Assert(bad, qt.Equals, int64(0))
			c.Assert(owned > 0.2, qt.IsTrue, qt.Commentf("owned=%.3f", owned))
		})
	}
}

// Guards against rules that the random schedules don't exercise: with a rule
// disabled, a schedule must show two owners.
func TestSchedulesFindMissingRules(t *testing.T) {
	for name, off := range map[string]switches{
		"known rule off":         {noKnown: true},
		"earlier owners off":     {noEarlier: true},
		"delay and promises off": {noDelay: true, noPromise: true},
	} {
		t.Run(name, func(t *testing.T) {
			bad, _ := runSchedules(1500, 2000, 1, off, 1)
			qt.Assert(t, bad > 0, qt.IsTrue)
		})
	}
}
