package emulator

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/url"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"gooseberryreel/internal/loopback"
)

// CommandFault selects how a command to a worker fails.
type CommandFault int

// Faults of commands.
const (
	CommandOK CommandFault = iota
	// CommandLoseResponse executes the command but sends no response.
	CommandLoseResponse
	// CommandDelayed closes the connection at once and executes the command later.
	CommandDelayed
	// CommandDropped closes the connection without executing the command.
	CommandDropped
)

// TaskStart is the start of an attempt on a worker.
type TaskStart struct {
	Task       string
	Attempt    int
	Worker     string
	Token      int64
	Checkpoint string
	At         time.Time
	CPUMilli   int64
	Ended      time.Time // zero while it runs
}

// Cluster is the state that all workers share. It records the starts and ends of
// tasks and checks that no two attempts of a task run at the same time and that no
// task runs again after it was done.
type Cluster struct {
	// BehaviourOf returns the behaviour of an attempt of a task.
	BehaviourOf func(task string, attempt int) Behaviour

	mu          sync.Mutex
	starts      []TaskStart
	running     map[string]map[string]bool // workers that run an attempt, by task
	done        map[string]int
	unackedDone map[string]int // ends as done that were lost with their worker, by task
	violations  []string
	crashes     crashCounts
}

// NewCluster returns a cluster with the given BehaviourOf function.
func NewCluster(behaviourOf func(task string, attempt int) Behaviour) *Cluster {
	return &Cluster{BehaviourOf: behaviourOf, running: make(map[string]map[string]bool), done: make(map[string]int), unackedDone: make(map[string]int), crashes: newCrashCounts()}
}

// Starts returns all starts so far, in order.
func (c *Cluster) Starts() []TaskStart {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.starts)
}

// Completions returns how many attempts of a task have ended as done.
func (c *Cluster) Completions(task string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.done[task]
}

// Violations returns a message for each start that violated a guarantee of the
// scheduler.
func (c *Cluster) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.violations)
}

func (c *Cluster) started(st TaskStart) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.starts = append(c.starts, st)
	c.checkCrashes(st)
	if len(c.running[st.Task]) > 0 {
		c.violations = append(c.violations, fmt.Sprintf("%s attempt %d started on %s while another attempt was running", st.Task, st.Attempt, st.Worker))
	}
	if c.done[st.Task] > c.unackedDone[st.Task] {
		c.violations = append(c.violations, fmt.Sprintf("%s attempt %d started on %s after the task was done", st.Task, st.Attempt, st.Worker))
	}
	if c.running[st.Task] == nil {
		c.running[st.Task] = make(map[string]bool)
	}
	c.running[st.Task][st.Worker] = true
}

func (c *Cluster) ended(task string, attempt int, worker string, done bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for n := len(c.starts) - 1; n >= 0; n-- {
		if s := &c.starts[n]; s.Task == task && s.Attempt == attempt && s.Worker == worker {
			s.Ended = time.Now()
			break
		}
	}
	delete(c.running[task], worker)
	if done {
		c.done[task]++
	}
}

// recordUnackedDone records an end as done that no owner had acknowledged when its
// worker was closed. The owner may have missed it, so the task may run again.
func (c *Cluster) recordUnackedDone(task string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unackedDone[task]++
}

// Worker is an emulated worker. It executes commands and runs tasks within its
// lease.
type Worker struct {
	ID          string
	cluster     *Cluster
	server      *httptest.Server
	clockStart  time.Time // zero of the worker's clock
	incarnation int64

	mu           sync.Mutex
	token        int64         // highest fencing token seen
	leaseEnd     time.Duration // on the worker's clock
	active       map[string]*activeAttempt
	highestEnded map[string]int // highest attempt number that was stopped or has ended, by task
	ended        []end
	lastEnd      int64                          // number of the last end
	endSignal    chan struct{}                  // closed when an attempt ends
	fault        func(path string) CommandFault // nil for no faults
	closed       chan struct{}
	capacity     capacity
	onCrash      func()
	coldUntil    time.Time // see SetCold
	dead         bool      // closed or crashed by a task; it executes nothing more
	repeater     atomic.Pointer[loopback.Repeater]
}

type activeAttempt struct {
	task      string
	attempt   int
	started   time.Time
	behaviour Behaviour
	throttle  int
}

// end is an ended attempt that no owner has acknowledged yet.
type end struct {
	number  int64
	task    string
	attempt int
	outcome string
}

// maxLease is the longest lease that a worker grants. Later deadlines are capped.
const maxLease = 6 * time.Second

// NewWorker starts a worker.
func NewWorker(id string, cluster *Cluster) *Worker {
	w := &Worker{
		ID: id, cluster: cluster, clockStart: time.Now(), incarnation: time.Now().UnixMilli(), active: make(map[string]*activeAttempt),
		highestEnded: make(map[string]int), endSignal: make(chan struct{}), closed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", w.start)
	mux.HandleFunc("POST /run-stop", w.stop)
	mux.HandleFunc("POST /hold", w.hold)
	mux.HandleFunc("POST /pace", w.throttle)
	w.server = startServer(w.inject(mux), w.drawRepetition)
	go w.advancePeriodically()
	return w
}

// advancePeriodically calls advance until the worker is closed, so that attempts
// end also while the worker gets no commands.
func (w *Worker) advancePeriodically() {
	ticker := time.NewTicker(2 * pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-w.closed:
			return
		case <-ticker.C:
			w.mu.Lock()
			w.advance()
			w.mu.Unlock()
		}
	}
}

// Close shuts the worker down with all its attempts.
func (w *Worker) Close() {
	close(w.closed)
	w.server.CloseClientConnections()
	w.server.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dead = true
	for _, attempt := range w.active {
		w.cluster.ended(attempt.task, attempt.attempt, w.ID, false)
	}
	clear(w.active)
	for _, e := range w.ended {
		if e.outcome == "done" {
			w.cluster.recordUnackedDone(e.task)
		}
	}
}

// Address returns the host and port of the worker.
func (w *Worker) Address() string {
	u, err := url.Parse(w.server.URL)
	if err != nil {
		return w.server.URL // the server made the URL itself
	}
	return u.Host
}

// StoreRecord returns the record that announces the worker in the store.
func (w *Worker) StoreRecord(service, zone, rack string, cpu, memory int64, state string) map[string]any {
	return map[string]any{
		"Service": service, "Address": w.Address(), "Zone": zone, "Version": "v1", "Slots": 8, "State": state, "ColdLeftMs": w.coldLeft().Milliseconds(),
		"Capacity": map[string]int64{"Cpu": cpu, "MemMb": memory, "Gpu": 0}, "Labels": []string{"a", rack},
		"ClockMs": w.clock().Milliseconds(), "Seq": 1, "born": w.incarnation,
	}
}

// Inject sets the function that chooses the fault of each command by its path; nil
// clears it.
func (w *Worker) Inject(fault func(path string) CommandFault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fault = fault
}

// clock returns the time on the worker's clock, which starts with the worker.
func (w *Worker) clock() time.Duration { return time.Since(w.clockStart) }

// command is the union of the bodies of all commands.
type command struct {
	Task         string
	RunId        int
	Spec         string
	DeadlineMs   int64
	FencingToken int64
	Checkpoint   string
	AckCursor    int64
	WaitMs       int64
	Percent      int
}

// decodeCommand decodes a command and checks its fencing token. It returns false if
// it has already responded with an error. The caller holds the lock.
func (w *Worker) decodeCommand(rw http.ResponseWriter, r *http.Request) (command, bool) {
	var cmd command
	if json.NewDecoder(r.Body).Decode(&cmd) != nil {
		w.refuse(rw, http.StatusBadRequest, "")
		return cmd, false
	}
	if w.dead {
		w.refuse(rw, http.StatusServiceUnavailable, "")
		return cmd, false
	}
	if cmd.FencingToken < w.token {
		w.refuse(rw, http.StatusConflict, "fence")
		return cmd, false
	}
	w.token = cmd.FencingToken
	w.cluster.observeToken(w.token)
	w.advance()
	return cmd, true
}

func (w *Worker) refuse(rw http.ResponseWriter, status int, reason string) {
	writeJSON(rw, status, map[string]any{"ClockMs": w.clock().Milliseconds(), "Reason": reason})
}

// extendLease extends the lease to a deadline on the worker's clock, but by no more
// than maxLease from now.
func (w *Worker) extendLease(deadlineMs int64) {
	d := min(time.Duration(deadlineMs)*time.Millisecond, w.clock()+maxLease)
	w.leaseEnd = max(w.leaseEnd, d)
}

// advance ends the attempts that are finished, and all attempts if the lease has
// expired. The caller holds the lock.
func (w *Worker) advance() {
	if w.dead {
		return
	}
	now := w.clock()
	for key, attempt := range w.active {
		leaseExpired := w.clockStart.Add(w.leaseEnd).Before(time.Now())
		switch {
		case leaseExpired:
			w.end(key, attempt, "lapsed")
		case !attempt.behaviour.LongRunning && attempt.throttle > 0 && now-attempt.started.Sub(w.clockStart) >= attempt.behaviour.RunTime:
			outcome := "done"
			if attempt.behaviour.Fail {
				outcome = "failed"
			}
			w.end(key, attempt, outcome)
		}
	}
}

// end moves an attempt from active to ended. The caller holds the lock.
func (w *Worker) end(key string, a *activeAttempt, outcome string) {
	delete(w.active, key)
	w.lastEnd++
	w.ended = append(w.ended, end{w.lastEnd, a.task, a.attempt, outcome})
	w.highestEnded[a.task] = max(w.highestEnded[a.task], a.attempt)
	w.cluster.ended(a.task, a.attempt, w.ID, outcome == "done")
	close(w.endSignal)
	w.endSignal = make(chan struct{})
}

func (w *Worker) start(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	cmd, ok := w.decodeCommand(rw, r)
	if !ok {
		return
	}
	key := fmt.Sprintf("%s#%d", cmd.Task, cmd.RunId)
	switch {
	case w.active[key] != nil:
	case time.Duration(cmd.DeadlineMs)*time.Millisecond < w.clock():
		w.refuse(rw, http.StatusConflict, "late")
		return
	case cmd.RunId <= w.highestEnded[cmd.Task]:
		w.extendLease(cmd.DeadlineMs)
		w.refuse(rw, http.StatusConflict, "old")
		return
	default:
		w.extendLease(cmd.DeadlineMs)
		w.active[key] = &activeAttempt{task: cmd.Task, attempt: cmd.RunId, started: time.Now(), behaviour: w.slowed(w.cluster.BehaviourOf(cmd.Task, cmd.RunId)), throttle: 100}
		w.cluster.started(TaskStart{cmd.Task, cmd.RunId, w.ID, cmd.FencingToken, cmd.Checkpoint, time.Now(), w.active[key].behaviour.CPUMilli, time.Time{}})
		if r.Context().Value(delayedKey{}) == nil {
			w.checkCapacity(key)
		}
		w.scheduleCrash(key)
	}
	writeJSON(rw, http.StatusOK, map[string]any{"ClockMs": w.clock().Milliseconds()})
}

func (w *Worker) stop(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	cmd, ok := w.decodeCommand(rw, r)
	if !ok {
		return
	}
	w.highestEnded[cmd.Task] = max(w.highestEnded[cmd.Task], cmd.RunId)
	key := fmt.Sprintf("%s#%d", cmd.Task, cmd.RunId)
	if attempt := w.active[key]; attempt != nil {
		w.end(key, attempt, "stopped")
	}
	writeJSON(rw, http.StatusOK, map[string]any{"ClockMs": w.clock().Milliseconds()})
}

func (w *Worker) throttle(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	cmd, ok := w.decodeCommand(rw, r)
	if !ok {
		return
	}
	if attempt := w.active[fmt.Sprintf("%s#%d", cmd.Task, cmd.RunId)]; attempt != nil {
		attempt.throttle = cmd.Percent
	}
	writeJSON(rw, http.StatusOK, map[string]any{"ClockMs": w.clock().Milliseconds()})
}

// ActiveAttempts returns the number of attempts that run on the worker.
func (w *Worker) ActiveAttempts() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.active)
}

// pollInterval is how often a waiting hold command checks for ended attempts.
const pollInterval = 5 * time.Millisecond

// hold extends the lease, drops acknowledged ends and waits until there are
// unacknowledged ends. It responds with the running and the ended attempts.
func (w *Worker) hold(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	cmd, ok := w.decodeCommand(rw, r)
	if !ok {
		return
	}
	if cmd.DeadlineMs > 0 {
		w.extendLease(cmd.DeadlineMs)
	}
	w.ended = slices.DeleteFunc(w.ended, func(e end) bool { return e.number <= cmd.AckCursor })
	deadline := time.Now().Add(time.Duration(cmd.WaitMs) * time.Millisecond)
	for len(w.ended) == 0 && time.Now().Before(deadline) && r.Context().Err() == nil {
		w.mu.Unlock()
		time.Sleep(pollInterval)
		w.mu.Lock()
		w.advance()
	}
	if w.dead {
		closeWithoutResponse(rw)
		return
	}
	active, ended := w.lists()
	writeJSON(rw, http.StatusOK, map[string]any{"ClockMs": w.clock().Milliseconds(), "born": w.incarnation, "Active": active, "Finished": ended})
}

// maxListedEnds is the number of ends that the response to hold lists at most. The others
// follow once these are acknowledged.
const maxListedEnds = 500

// lists returns the active and the ended attempts as they are listed in the response
// to hold. The caller holds the lock.
func (w *Worker) lists() (active, ended [][]any) {
	active, ended = [][]any{}, [][]any{}
	for _, attempt := range w.active {
		active = append(active, w.row(attempt))
	}
	for _, e := range w.ended[:min(len(w.ended), maxListedEnds)] {
		ended = append(ended, []any{e.number, e.task, e.attempt, e.outcome, ""})
	}
	return active, ended
}

// row returns an active attempt as it is listed in the response to hold.
func (w *Worker) row(a *activeAttempt) []any {
	percent := 100
	if !a.behaviour.LongRunning && a.behaviour.RunTime > 0 {
		percent = min(int(time.Since(a.started)*100/a.behaviour.RunTime), 99)
	}
	return []any{a.task, a.attempt, "", percent, a.behaviour.TailLatencyMS}
}
