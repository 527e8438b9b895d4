package scheduler

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"time"

	"gooseberryreel/internal/pb"
)

// simulation is a deployment in virtual time: workers that keep tokens, leases and ended
// attempts, a store that keeps what owners record, and a network that delays and
// loses commands and replies. Tests run a succession of owners in it.
type simulation struct {
	utilizations map[string]*movingAverage // of services, by attempt and worker
	rng          *rand.Rand
	now          time.Time
	workers      []*simWorker
	pending      []delivery
	core         *Core
	epoch        int64
	// recorded is the content of the store, which the next owner restores.
	recorded map[string]*JobRecord
	subs     []*pb.Submission
	cancels  []string
	config   *Config
	// committing is the batch whose append to the store is in flight.
	committing     *Batch
	commitAt       time.Time
	commitDelay    time.Duration // beyond one step
	entriesDown    bool          // changes of workers' entries don't reach the owner
	evacuations    simEvacuations
	remoteFactor   float64 // see slowdown, zero if all places are alike
	faults         networkFaults
	disabled       disabledRules // mechanisms of the core that are disabled
	violations     []string
	trace          []string
	runningOn      map[string]map[string]AttemptID // attempts by task, then by worker
	discardedDone  map[string]bool                 // completed tasks whose end a worker has discarded
	taskFor        func(attemptID AttemptID) simTask
	starts         int
	replacedOwners []*replacedOwner
	byAddress      map[string]*simWorker
	// expiring are the entries of crashed workers that have come back under another
	// id, until the store removes them.
	expiring []expiringEntry
	crashes  int
	// crashesUnder counts the crashes of workers under each task that causes them.
	crashesUnder map[string]int
	// onStart and onEnd, if not nil, are called for each start and each end at a
	// worker.
	onStart func(AttemptID, *simWorker)
	onEnd   func(id AttemptID, worker string, reason EndReason)
	// loseReplyOf, if not nil, selects commands whose reply is lost.
	loseReplyOf func(Command) bool
	// onNoted is called when a worker discards an end that counts: its lease has not
	// expired since. at is when the attempt ended.
	onNoted func(id AttemptID, reason EndReason, at time.Time)
	// unchecked leaves out the checks of each start and the trace.
	unchecked bool
	// blockTasks, if not zero, is the number of tasks in a block. A takeover then stores
	// only a part of the batch that is being committed.
	blockTasks int
	// leaseBounds are those in the record of the present owner. earlierOwners are those that
	// may have granted leases, and confirmAfter is when an owner learns that they have
	// stopped, zero if it doesn't.
	leaseBounds   map[string]time.Duration
	earlierOwners []EarlierOwner
	confirmAfter  time.Duration
	ownerless     bool // no owner acts
	// grantAge is how old the permission by which the owner acts becomes, zero if it counts
	// leases from when it grants them. permittedAt is the time of the newest permission.
	grantAge    time.Duration
	permittedAt time.Time
	// retention is how long the state of a finished job is kept. While intakeDown is set,
	// the intake does not confirm the deletion of expired jobs.
	retention  time.Duration
	intakeDown bool
	expired    []string
	// faultOf, if not nil, replaces the random faults.
	faultOf func(Command) simFault
	// refuse, if not nil, returns why a worker refuses a command.
	refuse func(Command) Refusal
	// advise, if not nil, replaces the answer of the advice service, nil for none.
	advise   func(AdviceResult) *AdviceResult
	coreTime time.Duration // processor time of the core
}

// replacedOwner is an earlier owner with commands that it has not sent yet.
type replacedOwner struct{ commands []Command }

// networkFaults are the probabilities with which a command loses its reply, arrives
// late, or is dropped.
type networkFaults struct {
	loseReply, late, drop float64
}

// simFault is the fault of one command.
type simFault int

const (
	noFault simFault = iota
	dropCommand
	loseReply
	delayCommand // carried out up to 6 s later, without an answer
)

// simTask is how a task behaves on a worker.
type simTask struct {
	work        time.Duration
	fail        bool
	longRunning bool
	latencyMS   int64
	crashAfter  time.Duration // crashes its worker after this time if it is not zero
}

type delivery struct {
	at  time.Time
	run func()
}

type simWorker struct {
	sim           *simulation
	id            string
	address       string
	downUntil     time.Time // after a crash
	lives         int       // crashes after which it came back under another id
	incarnation   int64
	startedAt     time.Time
	token         int64
	lease         time.Time
	clockRate     float64 // speed of its clock, 1 if exact
	capacity      Resources
	larger        []pastCapacity // before recent reductions
	entryDelay    time.Duration  // between its return from a crash and its entry
	active        map[AttemptID]*simAttempt
	newestAttempt map[string]int
	endedAt       map[int64]time.Time // by number of the end
	expiredAt     time.Time           // when the lease was last found expired
	ended         []EndedAttempt
	next          int64
	unreachable   bool // commands don't reach it
	resets        bool // connections to it are reset
	pendingHold   *openHold
	listed        bool
	rack          string
	domain        string
	slowdown      float64   // factor by which its tasks take longer, zero for none
	coldUntil     time.Time // as its entry says
	slow          float64   // factor by which it is slow, zero if it is not; half of the tasks fail there
}

type openHold struct {
	command Command
	until   time.Time
	reply   func(HoldReply)
}

type simAttempt struct {
	attemptID AttemptID
	startedAt time.Time
	task      simTask
	speed     int
	worked    time.Duration
	stuck     bool
}

const simStep = 10 * time.Millisecond

func newSimulation(seed uint64, workers int) *simulation {
	sim := &simulation{
		rng: rand.New(rand.NewPCG(seed, 7)), now: time.UnixMilli(1_700_000_000_000), recorded: make(map[string]*JobRecord),
		byAddress: make(map[string]*simWorker), runningOn: make(map[string]map[string]AttemptID), discardedDone: make(map[string]bool), crashesUnder: make(map[string]int),
		taskFor:   func(AttemptID) simTask { return simTask{work: 400 * time.Millisecond} },
		retention: time.Hour,
		config:    &Config{Version: 1, Queues: []Queue{{Name: "q", Pool: "s", MaxAttempts: 3, Stretch: 2, Allowance: time.Second}}},
	}
	for n := range workers {
		sw := &simWorker{sim: sim, id: fmt.Sprintf("w%d", n), address: fmt.Sprintf("w%d", n), clockRate: 1 - 0.02*sim.rng.Float64(), capacity: Resources{8000, 16000, 0}, listed: true, rack: fmt.Sprintf("r%d", n/2), domain: "z"}
		sw.restart()
		sim.workers, sim.byAddress[sw.address] = append(sim.workers, sw), sw
	}
	sim.takeOver()
	return sim
}

// takeOver replaces the owner by a new one that restores what is recorded.
func (sim *simulation) takeOver() {
	if sim.core != nil {
		out := sim.core.TakeOutput()
		sim.replacedOwners = append(sim.replacedOwners, &replacedOwner{commands: out.Commands})
		sim.earlierOwners = append(sim.earlierOwners, EarlierOwner{StoppedAt: sim.now, Left: sim.leaseBounds})
		sim.leaseBounds = nil
	}
	sim.epoch++
	sim.log("takeover, epoch %d", sim.epoch)
	sim.storePart()
	sim.committing, sim.expired = nil, nil
	sim.core = New(Options{Epoch: sim.epoch, Lease: 6 * time.Second, HarmLimit: 4 * time.Second, Retention: sim.retention, EvacuationBound: sim.evacuations.bound, RemoteFactor: sim.remoteFactor}, sim.now)
	sim.core.disabled = sim.disabled
	sim.core.blockTasks = cmp.Or(sim.blockTasks, sim.core.blockTasks)
	sim.core.SetConfig(sim.config)
	sim.passEvacuations()
	sim.restoreJobs()
	for _, id := range sim.cancels {
		sim.core.Cancel(id, sim.now)
	}
	for _, sw := range sim.workers {
		if sw.listed && !sim.now.Before(sw.downUntil) {
			sim.core.SetWorker(sw.entry(), sim.now)
		}
	}
	for _, e := range sim.expiring {
		sim.core.SetWorker(e.entry, sim.now)
	}
	sim.core.EntriesRead(sim.now, sim.now)
	sim.core.RestoreLeaseBounds(sim.earlierOwners)
	sim.core.Start(sim.now)
	sim.confirmNoEarlierOwner()
}

func (sw *simWorker) entry() WorkerEntry {
	return WorkerEntry{ColdFor: max(sw.coldUntil.Sub(sw.sim.now), 0), ID: sw.id, Pool: "s", Address: sw.address, Zone: sw.domain, Rack: sw.rack, Labels: []string{"a", sw.rack}, Capacity: sw.capacity, Incarnation: sw.incarnation}
}

func (sim *simulation) submit(sub *pb.Submission) {
	if sub.Queue == "" {
		sub.Queue, sub.Service, sub.MaxAttempts, sub.Stretch, sub.TargetMs = "q", "s", 3, 2, 1000
	}
	sub.ReceivedMs = sim.now.UnixMilli()
	sim.subs = append(sim.subs, sub)
	sim.core.Submit(sub, sim.now)
}

func (sim *simulation) cancel(id string) {
	sim.cancels = append(sim.cancels, id)
	sim.core.Cancel(id, sim.now)
}

// run advances the simulation by a duration.
func (sim *simulation) run(d time.Duration) {
	for end := sim.now.Add(d); sim.now.Before(end); {
		sim.step()
	}
}

func (sim *simulation) step() {
	sim.now = sim.now.Add(simStep)
	due := sim.pending
	sim.pending = nil
	for _, d := range due {
		if d.at.After(sim.now) {
			sim.pending = append(sim.pending, d)
			continue
		}
		d.run()
	}
	for _, sw := range sim.workers {
		sw.advance()
	}
	sim.expireEntries()
	if sim.ownerless {
		return
	}
	if !sim.entriesDown {
		sim.core.EntriesRead(sim.now, sim.now)
	}
	sim.passEvacuations()
	core := sim.core
	sim.renewPermission()
	sim.measure(func() { core.Tick(sim.now) })
	sim.commit()
	if !sim.unchecked && sim.now.UnixMilli()%100 == 0 {
		for _, text := range core.inconsistencies() {
			sim.violate("%s", text)
		}
	}
	out := core.TakeOutput()
	for _, n := range out.LogEntries {
		sim.log("%s %v", n.Event, n.Fields)
	}
	sim.answerAdvice(out.AdviceRequests)
	sim.expired = append(sim.expired, out.Expired...)
	sim.deleteExpired()
	for _, o := range out.Commands {
		sim.send(core, o)
	}
}

// measure adds the time of f to coreTime.
func (sim *simulation) measure(f func()) {
	start := time.Now()
	f()
	sim.coreTime += time.Since(start)
}

func (sim *simulation) after(d time.Duration, f func()) {
	sim.pending = append(sim.pending, delivery{sim.now.Add(d), f})
}

// send delivers a command to its worker, subject to faults.
func (sim *simulation) send(core *Core, o Command) {
	target := sim.byAddress[o.Address]
	answer := func(r CommandResult) {
		sim.after(simStep, func() {
			if core == sim.core {
				sim.measure(func() { core.CommandDone(r, sim.now) })
			}
		})
	}
	lost := func() {
		sim.after(700*time.Millisecond+o.Wait, func() {
			if core == sim.core {
				core.CommandDone(CommandResult{Command: o, Err: fmt.Errorf("no answer")}, sim.now)
			}
		})
	}
	if target == nil || target.unreachable {
		lost()
		return
	}
	if target.resets {
		answer(CommandResult{Command: o, Err: fmt.Errorf("connection reset")})
		return
	}
	if sim.now.Before(target.downUntil) {
		answer(CommandResult{Command: o, Err: fmt.Errorf("connection refused"), NotSent: true})
		return
	}
	x, fault := sim.rng.Float64(), noFault
	if sim.faultOf != nil {
		x, fault = 1, sim.faultOf(o)
	}
	switch {
	case fault == dropCommand:
		lost()
	case fault == loseReply:
		lost()
		sim.after(simStep, func() { target.execute(o, func(CommandResult) {}) })
	case fault == delayCommand:
		lost()
		sim.executeLate(target, o, time.Duration(sim.rng.IntN(6000))*time.Millisecond)
	case x < sim.faults.drop:
		lost()
	case x < sim.faults.drop+sim.faults.late:
		lost()
		sim.executeLate(target, o, time.Duration(2000+sim.rng.IntN(10_000))*time.Millisecond)
	case x < sim.faults.drop+sim.faults.late+sim.faults.loseReply || sim.loseReplyOf != nil && sim.loseReplyOf(o):
		lost()
		sim.after(simStep, func() { target.execute(o, func(CommandResult) {}) })
	default:
		sim.after(simStep, func() {
			if target.unreachable {
				lost()
				return
			}
			target.execute(o, answer)
		})
	}
}

// log adds a line to the trace, which is printed if the test fails.
func (sim *simulation) log(format string, args ...any) {
	if sim.unchecked {
		return
	}
	sim.trace = append(sim.trace, fmt.Sprintf("%v: ", sim.now.Sub(time.UnixMilli(1_700_000_000_000)))+fmt.Sprintf(format, args...))
}

func (sim *simulation) violate(format string, args ...any) {
	sim.violations = append(sim.violations, fmt.Sprintf("%v: ", sim.now.Sub(time.UnixMilli(1_700_000_000_000)))+fmt.Sprintf(format, args...))
}

// checkStart checks that a start violates no invariant: the task runs nowhere else,
// no worker has discarded its completion, and the worker has the capacity for it.
func (sim *simulation) checkStart(attemptID AttemptID, sw *simWorker) {
	sim.starts++
	name := attemptID.TaskName()
	sim.log("%s starts on %s, token %d, lease %v", attemptID, sw.id, sw.token, sw.lease.Sub(time.UnixMilli(1_700_000_000_000)))
	if others := len(sim.runningOn[name]); others > 1 || others == 1 && (!sim.speculative(attemptID) || sim.runningOn[name][sw.id] != AttemptID{}) {
		sim.violate("%s starts on %s while it runs on %v", attemptID, sw.id, sim.runningOn[name])
	}
	if sim.discardedDone[name] {
		sim.violate("%s starts on %s after a worker had discarded its completion", attemptID, sw.id)
	}
	if sim.runningOn[name] == nil {
		sim.runningOn[name] = make(map[string]AttemptID)
	}
	sim.runningOn[name][sw.id] = attemptID
	if sim.unchecked {
		return
	}
	if sim.onStart != nil {
		sim.onStart(attemptID, sw)
	}
	used := Resources{}
	for _, r := range sw.active {
		for _, sub := range sim.subs {
			if sub.GetId() == r.attemptID.Job {
				s := sub.GetSteps()[r.attemptID.Step]
				if !s.GetFiller() {
					used.CPUMilli += s.GetCpuMilli()
				}
				used.MemoryMiB += s.GetMemoryMib()
			}
		}
	}
	if !sw.admitted(used) {
		sim.violate("%s raises the resources in use on %s to %v", attemptID, sw.id, used)
	}
}

// speculative reports whether two attempts at a task may run at the same time, on
// different workers.
func (sim *simulation) speculative(id AttemptID) bool {
	for _, sub := range sim.subs {
		if sub.GetId() == id.Job {
			return sub.GetSteps()[id.Step].GetSpeculative()
		}
	}
	return false
}

func (sim *simulation) attemptEnded(attemptID AttemptID, worker string, reason EndReason) {
	if sim.onEnd != nil {
		sim.onEnd(attemptID, worker, reason)
	}
	delete(sim.runningOn[attemptID.TaskName()], worker)
}

func (sim *simulation) states() map[string]pb.PublicState {
	out := make(map[string]pb.PublicState)
	for _, sub := range sim.subs {
		out[sub.GetId()] = sim.core.State(sub.GetId())
	}
	return out
}
