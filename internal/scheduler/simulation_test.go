package scheduler

import (
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

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
	recorded map[string]*pb.StoredJob
	subs     []*pb.Submission
	cancels  []string
	config   *Config
	// committing is the batch whose append to the store is in flight.
	committing     *Batch
	commitAt       time.Time
	faults         networkFaults
	disabled       disabledRules // mechanisms of the core that are disabled
	violations     []string
	trace          []string
	runningOn      map[string]map[string]AttemptID // attempts by task, then by worker
	discardedDone  map[string]bool                 // completed tasks whose end a worker has discarded
	taskFor        func(attemptID AttemptID) simTask
	starts         int
	replacedOwners []*replacedOwner
}

// replacedOwner is an earlier owner with commands that it has not sent yet.
type replacedOwner struct{ commands []Command }

// networkFaults are the probabilities with which a command loses its reply, arrives
// late, or is dropped.
type networkFaults struct {
	loseReply, late, drop float64
}

// simTask is how a task behaves on a worker.
type simTask struct {
	work        time.Duration
	fail        bool
	longRunning bool
	latencyMS   int64
}

type delivery struct {
	at  time.Time
	run func()
}

type simWorker struct {
	sim           *simulation
	id            string
	incarnation   int64
	startedAt     time.Time
	token         int64
	lease         time.Time
	clockRate     float64 // speed of its clock, 1 if exact
	capacity      Resources
	active        map[AttemptID]*simAttempt
	newestAttempt map[string]int
	ended         []EndedAttempt
	next          int64
	unreachable   bool // commands don't reach it
	pendingHold   *openHold
	listed        bool
	rack          string
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
	w := &simulation{
		rng: rand.New(rand.NewPCG(seed, 7)), now: time.UnixMilli(1_700_000_000_000), recorded: make(map[string]*pb.StoredJob),
		runningOn: make(map[string]map[string]AttemptID), discardedDone: make(map[string]bool),
		taskFor: func(AttemptID) simTask { return simTask{work: 400 * time.Millisecond} },
		config:  &Config{Version: 1, Queues: []Queue{{Name: "q", Pool: "s", MaxAttempts: 3, Stretch: 2, Allowance: time.Second}}},
	}
	for n := range workers {
		sw := &simWorker{sim: w, id: fmt.Sprintf("w%d", n), clockRate: 1 - 0.02*w.rng.Float64(), capacity: Resources{8000, 16000, 0}, listed: true, rack: fmt.Sprintf("r%d", n/2)}
		sw.restart()
		w.workers = append(w.workers, sw)
	}
	w.takeOver()
	return w
}

// restart restarts a worker: its attempts, ends and token are lost.
func (sw *simWorker) restart() {
	sw.sim.log("%s restarts", sw.id)
	for _, r := range sw.active {
		sw.sim.attemptEnded(r.attemptID, sw.id)
	}
	sw.incarnation, sw.startedAt, sw.token = sw.incarnation+1+sw.sim.now.UnixMilli(), sw.sim.now, 0
	sw.active, sw.newestAttempt, sw.ended, sw.next = make(map[AttemptID]*simAttempt), make(map[string]int), nil, 0
	if h := sw.pendingHold; h != nil {
		core := sw.sim.core
		sw.sim.after(simStep, func() {
			if core == sw.sim.core {
				core.CommandDone(CommandResult{Command: h.command, Err: fmt.Errorf("connection reset")}, sw.sim.now)
			}
		})
	}
	sw.pendingHold, sw.lease = nil, sw.sim.now
}

func (sw *simWorker) clock() time.Duration {
	return time.Duration(float64(sw.sim.now.Sub(sw.startedAt)) * sw.clockRate).Truncate(time.Millisecond)
}

func (sw *simWorker) extend(lease time.Duration) {
	left := min(lease-sw.clock(), 6*time.Second)
	until := sw.sim.now.Add(time.Duration(float64(left) / sw.clockRate))
	if until.After(sw.lease) {
		sw.lease = until
	}
}

// takeOver replaces the owner by a new one that restores what is recorded.
func (w *simulation) takeOver() {
	if w.core != nil {
		out := w.core.TakeOutput()
		w.replacedOwners = append(w.replacedOwners, &replacedOwner{commands: out.Commands})
	}
	w.epoch++
	w.log("takeover, epoch %d", w.epoch)
	w.committing = nil
	w.core = New(Options{Epoch: w.epoch, Lease: 6 * time.Second, HarmLimit: 4 * time.Second, Retention: time.Hour}, w.now)
	w.core.disabled = w.disabled
	w.core.SetConfig(w.config)
	for _, sub := range w.subs {
		w.core.Restore(sub, w.recorded[sub.GetId()], w.now)
	}
	for _, id := range w.cancels {
		w.core.Cancel(id, w.now)
	}
	for _, sw := range w.workers {
		if sw.listed {
			w.core.SetWorker(sw.entry(), w.now)
		}
	}
	w.core.Start(w.now)
}

func (sw *simWorker) entry() WorkerEntry {
	return WorkerEntry{ID: sw.id, Pool: "s", Address: sw.id, Zone: "z", Rack: sw.rack, Labels: []string{"a", sw.rack}, Capacity: sw.capacity, Incarnation: sw.incarnation}
}

func (w *simulation) submit(sub *pb.Submission) {
	if sub.Queue == "" {
		sub.Queue, sub.Service, sub.MaxAttempts, sub.Stretch, sub.TargetMs = "q", "s", 3, 2, 1000
	}
	w.subs = append(w.subs, sub)
	w.core.Submit(sub, w.now)
}

func (w *simulation) cancel(id string) {
	w.cancels = append(w.cancels, id)
	w.core.Cancel(id, w.now)
}

// run advances the simulation by a duration.
func (w *simulation) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.step()
	}
}

func (w *simulation) step() {
	w.now = w.now.Add(simStep)
	due := w.pending
	w.pending = nil
	for _, d := range due {
		if d.at.After(w.now) {
			w.pending = append(w.pending, d)
			continue
		}
		d.run()
	}
	for _, sw := range w.workers {
		sw.advance()
	}
	core := w.core
	core.Tick(w.now)
	w.commit()
	out := core.TakeOutput()
	for _, n := range out.LogEntries {
		w.log("%s %v", n.Event, n.Fields)
	}
	for _, o := range out.Commands {
		w.send(core, o)
	}
}

// commit records batches with a delay of one step.
func (w *simulation) commit() {
	if w.committing != nil && !w.now.Before(w.commitAt) {
		b := w.committing
		w.committing = nil
		for _, j := range b.Jobs {
			w.recorded[j.GetId()] = proto.CloneOf(j)
		}
		w.core.Committed(b, w.now)
	}
	if w.committing == nil {
		if b := w.core.TakeBatch(w.now); !b.Empty() {
			w.committing, w.commitAt = b, w.now.Add(simStep)
		}
	}
}

func (w *simulation) after(d time.Duration, f func()) {
	w.pending = append(w.pending, delivery{w.now.Add(d), f})
}

// send delivers a command to its worker, subject to faults.
func (w *simulation) send(core *Core, o Command) {
	var target *simWorker
	for _, sw := range w.workers {
		if sw.id == o.Worker {
			target = sw
		}
	}
	answer := func(r CommandResult) {
		w.after(simStep, func() {
			if core == w.core {
				core.CommandDone(r, w.now)
			}
		})
	}
	lost := func() {
		w.after(700*time.Millisecond+o.Wait, func() {
			if core == w.core {
				core.CommandDone(CommandResult{Command: o, Err: fmt.Errorf("no answer")}, w.now)
			}
		})
	}
	if target == nil || target.unreachable {
		lost()
		return
	}
	x := w.rng.Float64()
	switch {
	case x < w.faults.drop:
		lost()
	case x < w.faults.drop+w.faults.late:
		lost()
		incarnation := target.incarnation // a restart also loses commands that have arrived
		w.after(time.Duration(2000+w.rng.IntN(10_000))*time.Millisecond, func() {
			if target.incarnation == incarnation {
				target.execute(o, func(CommandResult) {})
			}
		})
	case x < w.faults.drop+w.faults.late+w.faults.loseReply:
		lost()
		w.after(simStep, func() { target.execute(o, func(CommandResult) {}) })
	default:
		w.after(simStep, func() {
			if target.unreachable {
				lost()
				return
			}
			target.execute(o, answer)
		})
	}
}

// log adds a line to the trace, which is printed if the test fails.
func (w *simulation) log(format string, args ...any) {
	w.trace = append(w.trace, fmt.Sprintf("%v: ", w.now.Sub(time.UnixMilli(1_700_000_000_000)))+fmt.Sprintf(format, args...))
}

func (w *simulation) violate(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf("%v: ", w.now.Sub(time.UnixMilli(1_700_000_000_000)))+fmt.Sprintf(format, args...))
}

// checkStart checks that a start violates no invariant: the task runs nowhere else,
// no worker has discarded its completion, and the worker has the capacity for it.
func (w *simulation) checkStart(attemptID AttemptID, sw *simWorker) {
	w.starts++
	name := attemptID.TaskName()
	w.log("%s starts on %s, token %d", attemptID, sw.id, sw.token)
	if len(w.runningOn[name]) > 0 {
		w.violate("%s starts on %s while it runs on %v", attemptID, sw.id, w.runningOn[name])
	}
	if w.discardedDone[name] {
		w.violate("%s starts on %s after a worker had discarded its completion", attemptID, sw.id)
	}
	if w.runningOn[name] == nil {
		w.runningOn[name] = make(map[string]AttemptID)
	}
	w.runningOn[name][sw.id] = attemptID
	used := Resources{}
	for _, r := range sw.active {
		for _, sub := range w.subs {
			if sub.GetId() == r.attemptID.Job {
				s := sub.GetSteps()[r.attemptID.Step]
				if !s.GetFiller() {
					used.CPUMilli += s.GetCpuMilli()
				}
				used.MemoryMiB += s.GetMemoryMib()
			}
		}
	}
	if !used.FitsIn(sw.capacity) {
		w.violate("%s raises the resources in use on %s to %v", attemptID, sw.id, used)
	}
}

func (w *simulation) attemptEnded(attemptID AttemptID, worker string) {
	delete(w.runningOn[attemptID.TaskName()], worker)
}

func (w *simulation) states() map[string]pb.PublicState {
	out := make(map[string]pb.PublicState)
	for _, sub := range w.subs {
		out[sub.GetId()] = w.core.State(sub.GetId())
	}
	return out
}
