package scheduler

import (
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"gooseberryreel/internal/pb"
)

// world simulates a site in virtual time: workers that keep tokens, leases and
// ends, a store that keeps what owners record, and a network that delays and
// loses. Tests drive one owner after the other with it.
type world struct {
	uses    map[string]*averageUse // of services, by run and worker
	rng     *rand.Rand
	now     time.Time
	workers []*simWorker
	pending []delivery
	core    *Core
	epoch   int64
	// recorded is the store: what the next owner restores.
	recorded map[string]*pb.StoredJob
	subs     []*pb.Submission
	cancels  []string
	config   *Config
	// committing is the batch on its way to the store.
	committing *Batch
	commitAt   time.Time
	faults     simFaults
	off        faults // mechanisms of the core that are switched off
	violations []string
	trace      []string
	running    map[string]map[string]AttemptID // by task, then by worker
	doneNoted  map[string]bool                 // tasks with an end done that a worker has forgotten
	behave     func(run AttemptID) simTask
	starts     int
	old        []*oldOwner
}

// oldOwner is an owner that has been replaced and still sends what it had.
type oldOwner struct{ orders []Command }

type simFaults struct {
	loseAnswer, late, drop float64
}

type simTask struct {
	work  time.Duration
	fail  bool
	lasts bool
	tail  int64
}

type delivery struct {
	at  time.Time
	run func()
}

type simWorker struct {
	w        *world
	id       string
	born     int64
	since    time.Time
	token    int64
	lease    time.Time
	slow     float64 // rate of its clock
	capacity Resources
	active   map[AttemptID]*simRun
	highest  map[string]int
	ended    []EndedAttempt
	next     int64
	cut      bool // the owner can't reach it
	hold     *heldHold
	listed   bool
	rack     string
}

type heldHold struct {
	order Command
	until time.Time
	reply func(HoldReply)
}

type simRun struct {
	run   AttemptID
	begun time.Time
	does  simTask
	pace  int
	done  time.Duration
	stuck bool
}

const simStep = 10 * time.Millisecond

func newWorld(seed uint64, workers int) *world {
	w := &world{
		rng: rand.New(rand.NewPCG(seed, 7)), now: time.UnixMilli(1_700_000_000_000), recorded: make(map[string]*pb.StoredJob),
		running: make(map[string]map[string]AttemptID), doneNoted: make(map[string]bool),
		behave: func(AttemptID) simTask { return simTask{work: 400 * time.Millisecond} },
		config: &Config{Version: 1, Queues: []Queue{{Name: "q", Pool: "s", MaxAttempts: 3, Stretch: 2, Allowance: time.Second}}},
	}
	for n := range workers {
		sw := &simWorker{w: w, id: fmt.Sprintf("w%d", n), slow: 1 - 0.02*w.rng.Float64(), capacity: Resources{8000, 16000, 0}, listed: true, rack: fmt.Sprintf("r%d", n/2)}
		sw.restart()
		w.workers = append(w.workers, sw)
	}
	w.takeOver()
	return w
}

// restart begins a new life of a worker.
func (sw *simWorker) restart() {
	sw.w.log("%s restarts", sw.id)
	for _, r := range sw.active {
		sw.w.stopped(r.run, sw.id)
	}
	sw.born, sw.since, sw.token = sw.born+1+sw.w.now.UnixMilli(), sw.w.now, 0
	sw.active, sw.highest, sw.ended, sw.next = make(map[AttemptID]*simRun), make(map[string]int), nil, 0
	if h := sw.hold; h != nil {
		core := sw.w.core
		sw.w.after(simStep, func() {
			if core == sw.w.core {
				core.CommandDone(CommandResult{Command: h.order, Err: fmt.Errorf("connection reset")}, sw.w.now)
			}
		})
	}
	sw.hold, sw.lease = nil, sw.w.now
}

func (sw *simWorker) clock() time.Duration {
	return time.Duration(float64(sw.w.now.Sub(sw.since)) * sw.slow).Truncate(time.Millisecond)
}

func (sw *simWorker) extend(lease time.Duration) {
	left := min(lease-sw.clock(), 6*time.Second)
	until := sw.w.now.Add(time.Duration(float64(left) / sw.slow))
	if until.After(sw.lease) {
		sw.lease = until
	}
}

// takeOver replaces the owner by a new one that knows what is recorded.
func (w *world) takeOver() {
	if w.core != nil {
		out := w.core.TakeOutput()
		w.old = append(w.old, &oldOwner{orders: out.Commands})
	}
	w.epoch++
	w.log("takeover, epoch %d", w.epoch)
	w.committing = nil
	w.core = New(Options{Epoch: w.epoch, Lease: 6 * time.Second, HarmLimit: 4 * time.Second, Retention: time.Hour}, w.now)
	w.core.faults = w.off
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
	return WorkerEntry{ID: sw.id, Pool: "s", Address: sw.id, Zone: "z", Rack: sw.rack, Labels: []string{"a", sw.rack}, Capacity: sw.capacity, Incarnation: sw.born}
}

func (w *world) submit(sub *pb.Submission) {
	if sub.Queue == "" {
		sub.Queue, sub.Service, sub.MaxAttempts, sub.Stretch, sub.TargetMs = "q", "s", 3, 2, 1000
	}
	w.subs = append(w.subs, sub)
	w.core.Submit(sub, w.now)
}

func (w *world) cancel(id string) {
	w.cancels = append(w.cancels, id)
	w.core.Cancel(id, w.now)
}

// run lets time pass.
func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.step()
	}
}

func (w *world) step() {
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

// commit records batches with some delay.
func (w *world) commit() {
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

func (w *world) after(d time.Duration, f func()) {
	w.pending = append(w.pending, delivery{w.now.Add(d), f})
}

// send carries an order to its worker, with faults.
func (w *world) send(core *Core, o Command) {
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
	if target == nil || target.cut {
		lost()
		return
	}
	x := w.rng.Float64()
	switch {
	case x < w.faults.drop:
		lost()
	case x < w.faults.drop+w.faults.late:
		lost()
		born := target.born // an order that has arrived ends with its worker
		w.after(time.Duration(2000+w.rng.IntN(10_000))*time.Millisecond, func() {
			if target.born == born {
				target.take(o, func(CommandResult) {})
			}
		})
	case x < w.faults.drop+w.faults.late+w.faults.loseAnswer:
		lost()
		w.after(simStep, func() { target.take(o, func(CommandResult) {}) })
	default:
		w.after(simStep, func() {
			if target.cut {
				lost()
				return
			}
			target.take(o, answer)
		})
	}
}

// log collects what happens, for the failure of a test.
func (w *world) log(format string, args ...any) {
	w.trace = append(w.trace, fmt.Sprintf("%v: ", w.now.Sub(time.UnixMilli(1_700_000_000_000)))+fmt.Sprintf(format, args...))
}

func (w *world) violate(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf("%v: ", w.now.Sub(time.UnixMilli(1_700_000_000_000)))+fmt.Sprintf(format, args...))
}

// began checks the promises about a start.
func (w *world) began(run AttemptID, sw *simWorker) {
	w.starts++
	name := run.TaskName()
	w.log("%s begins on %s, token %d", run, sw.id, sw.token)
	if len(w.running[name]) > 0 {
		w.violate("%s begins on %s while it runs on %v", run, sw.id, w.running[name])
	}
	if w.doneNoted[name] {
		w.violate("%s begins on %s after its end was taken note of", run, sw.id)
	}
	if w.running[name] == nil {
		w.running[name] = make(map[string]AttemptID)
	}
	w.running[name][sw.id] = run
	used := Resources{}
	for _, r := range sw.active {
		for _, sub := range w.subs {
			if sub.GetId() == r.run.Job {
				s := sub.GetSteps()[r.run.Step]
				if !s.GetFiller() {
					used.CPUMilli += s.GetCpuMilli()
				}
				used.MemoryMiB += s.GetMemoryMib()
			}
		}
	}
	if !used.FitsIn(sw.capacity) {
		w.violate("%s brings %s to %v", run, sw.id, used)
	}
}

func (w *world) stopped(run AttemptID, worker string) { delete(w.running[run.TaskName()], worker) }

func (w *world) states() map[string]pb.PublicState {
	out := make(map[string]pb.PublicState)
	for _, sub := range w.subs {
		out[sub.GetId()] = w.core.State(sub.GetId())
	}
	return out
}
