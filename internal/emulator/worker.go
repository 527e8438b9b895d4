package emulator

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/url"
	"slices"
	"sync"
	"time"
)

// Behaviour says what a task does when it is started.
type Behaviour struct {
	RunTime time.Duration
	// Fail makes the task end as failed.
	Fail bool
	// LongRunning makes it run until it is stopped, with the latency Tail.
	LongRunning   bool
	TailLatencyMS int
}

// CommandFault says what happens to an order.
type CommandFault int

// Faults of orders.
const (
	CommandOK CommandFault = iota
	// CommandLoseResponse carries the order out and breaks the connection.
	CommandLoseResponse
	// CommandDelayed breaks the connection and carries the order out later.
	CommandDelayed
	// CommandDropped breaks the connection.
	CommandDropped
)

// TaskStart is a start that a worker has begun.
type TaskStart struct {
	Task       string
	Attempt    int
	Worker     string
	Token      int64
	Checkpoint string
	At         time.Time
}

// Cluster collects what all workers see, for the checks of tests.
type Cluster struct {
	// BehaviourOf returns the behaviour of a task.
	BehaviourOf func(task string, run int) Behaviour

	mu        sync.Mutex
	starts    []TaskStart
	running   map[string]map[string]bool // runs by task
	done      map[string]int
	unnoted   map[string]int // ends as done that were lost with their worker
	violation []string
}

// NewCluster returns a site whose tasks behave as work says.
func NewCluster(work func(task string, run int) Behaviour) *Cluster {
	return &Cluster{BehaviourOf: work, running: make(map[string]map[string]bool), done: make(map[string]int), unnoted: make(map[string]int)}
}

// Starts returns all starts so far.
func (s *Cluster) Starts() []TaskStart {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.starts)
}

// Completions returns how often a task has ended as done.
func (s *Cluster) Completions(task string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.done[task]
}

// Violations returns the promises that were broken.
func (s *Cluster) Violations() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.violation)
}

func (s *Cluster) begun(st TaskStart) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.starts = append(s.starts, st)
	if len(s.running[st.Task]) > 0 {
		s.violation = append(s.violation, fmt.Sprintf("%s run %d begins on %s while it runs elsewhere", st.Task, st.Attempt, st.Worker))
	}
	if s.done[st.Task] > s.unnoted[st.Task] {
		s.violation = append(s.violation, fmt.Sprintf("%s run %d begins on %s after it was done", st.Task, st.Attempt, st.Worker))
	}
	if s.running[st.Task] == nil {
		s.running[st.Task] = make(map[string]bool)
	}
	s.running[st.Task][st.Worker] = true
}

func (s *Cluster) ended(task, worker string, done bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.running[task], worker)
	if done {
		s.done[task]++
	}
}

// uncertain takes note of an end that nobody had acknowledged when its worker was
// gone. An owner may know it or not, so the task may run again.
func (s *Cluster) uncertain(task string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unnoted[task]++
}

// Worker is one emulated worker. It runs what it is told to, within its lease.
type Worker struct {
	ID      string
	site    *Cluster
	server  *httptest.Server
	started time.Time
	born    int64

	mu       sync.Mutex
	token    int64
	deadline time.Duration // of the lease, on its own clock
	active   map[string]*running
	highest  map[string]int // run stopped or ended, by task
	ended    []end
	next     int64
	news     chan struct{}
	fault    func(path string) CommandFault
	closed   chan struct{}
}

type running struct {
	task  string
	run   int
	begun time.Time
	does  Behaviour
	pace  int
}

type end struct {
	number int64
	task   string
	run    int
	how    string
}

// maxLease is the longest lease that a worker grants.
const maxLease = 6 * time.Second

// NewWorker starts a worker.
func NewWorker(id string, site *Cluster) *Worker {
	w := &Worker{
		ID: id, site: site, started: time.Now(), born: time.Now().UnixMilli(), active: make(map[string]*running),
		highest: make(map[string]int), news: make(chan struct{}), closed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", w.start)
	mux.HandleFunc("POST /run-stop", w.stop)
	mux.HandleFunc("POST /hold", w.hold)
	mux.HandleFunc("POST /pace", w.pace)
	w.server = httptest.NewServer(w.inject(mux))
	go w.advanceAlone()
	return w
}

// advanceAlone ends what is finished or has lost its lease, also while nobody
// calls the worker.
func (w *Worker) advanceAlone() {
	ticker := time.NewTicker(2 * pollStep)
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

// Close ends the worker and all that runs there.
func (w *Worker) Close() {
	close(w.closed)
	w.server.CloseClientConnections()
	w.server.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.active {
		w.site.ended(r.task, w.ID, false)
	}
	clear(w.active)
	for _, e := range w.ended {
		if e.how == "done" {
			w.site.uncertain(e.task)
		}
	}
}

// Address returns the host and port.
func (w *Worker) Address() string {
	u, err := url.Parse(w.server.URL)
	if err != nil {
		return w.server.URL // the server made the URL itself
	}
	return u.Host
}

// StoreRecord returns the worker's entry in the store.
func (w *Worker) StoreRecord(service, zone, rack string, cpu, memory int64, state string) map[string]any {
	return map[string]any{
		"Service": service, "Address": w.Address(), "Zone": zone, "Version": "v1", "Slots": 8, "State": state, "ColdLeftMs": 0,
		"Capacity": map[string]int64{"Cpu": cpu, "MemMb": memory, "Gpu": 0}, "Labels": []string{"a", rack},
		"ClockMs": w.clock().Milliseconds(), "Seq": 1, "born": w.born,
	}
}

// Inject sets the fault of each order by its path.
func (w *Worker) Inject(fault func(path string) CommandFault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fault = fault
}

func (w *Worker) clock() time.Duration { return time.Since(w.started) }

func (w *Worker) inject(next http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if id := r.Header.Get("X-Gooseberryreel-Target-Instance"); id != "" && id != w.ID {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		w.mu.Lock()
		choose := w.fault
		w.mu.Unlock()
		fault := CommandOK
		if choose != nil {
			fault = choose(r.URL.Path)
		}
		switch fault {
		case CommandOK:
			next.ServeHTTP(rw, r)
		case CommandLoseResponse:
			next.ServeHTTP(httptest.NewRecorder(), r)
			hangUp(rw)
		case CommandDelayed:
			var body json.RawMessage
			_ = json.NewDecoder(r.Body).Decode(&body) // a cut body is an order that never arrived
			late := r.Clone(r.Context())
			time.AfterFunc(lateBy, func() {
				late.Body = http.NoBody
				if len(body) > 0 {
					late.Body = readCloser{&sliceReader{body}}
				}
				next.ServeHTTP(httptest.NewRecorder(), late)
			})
			hangUp(rw)
		case CommandDropped:
			hangUp(rw)
		}
	})
}

type readCloser struct{ *sliceReader }

func (readCloser) Close() error { return nil }

type order struct {
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

// take decodes an order and checks its token. The caller holds the lock.
func (w *Worker) take(rw http.ResponseWriter, r *http.Request) (order, bool) {
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.refuse(rw, http.StatusBadRequest, "")
		return o, false
	}
	if o.FencingToken < w.token {
		w.refuse(rw, http.StatusConflict, "fence")
		return o, false
	}
	w.token = o.FencingToken
	w.advance()
	return o, true
}

func (w *Worker) refuse(rw http.ResponseWriter, status int, reason string) {
	reply(rw, status, map[string]any{"ClockMs": w.clock().Milliseconds(), "Reason": reason})
}

func (w *Worker) extend(deadlineMs int64) {
	d := min(time.Duration(deadlineMs)*time.Millisecond, w.clock()+maxLease)
	w.deadline = max(w.deadline, d)
}

// advance ends what is finished or has lost its lease. The caller holds the
// lock.
func (w *Worker) advance() {
	now := w.clock()
	for key, r := range w.active {
		finished := w.started.Add(w.deadline).Before(time.Now())
		switch {
		case finished:
			w.end(key, r, "lapsed")
		case !r.does.LongRunning && r.pace > 0 && now-r.begun.Sub(w.started) >= r.does.RunTime:
			how := "done"
			if r.does.Fail {
				how = "failed"
			}
			w.end(key, r, how)
		}
	}
}

func (w *Worker) end(key string, r *running, how string) {
	delete(w.active, key)
	w.next++
	w.ended = append(w.ended, end{w.next, r.task, r.run, how})
	w.highest[r.task] = max(w.highest[r.task], r.run)
	w.site.ended(r.task, w.ID, how == "done")
	close(w.news)
	w.news = make(chan struct{})
}

func (w *Worker) start(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	o, ok := w.take(rw, r)
	if !ok {
		return
	}
	key := fmt.Sprintf("%s#%d", o.Task, o.RunId)
	switch {
	case w.active[key] != nil:
	case time.Duration(o.DeadlineMs)*time.Millisecond < w.clock():
		w.refuse(rw, http.StatusConflict, "late")
		return
	case o.RunId <= w.highest[o.Task]:
		w.extend(o.DeadlineMs)
		w.refuse(rw, http.StatusConflict, "old")
		return
	default:
		w.extend(o.DeadlineMs)
		w.active[key] = &running{task: o.Task, run: o.RunId, begun: time.Now(), does: w.site.BehaviourOf(o.Task, o.RunId), pace: 100}
		w.site.begun(TaskStart{o.Task, o.RunId, w.ID, o.FencingToken, o.Checkpoint, time.Now()})
	}
	reply(rw, http.StatusOK, map[string]any{"ClockMs": w.clock().Milliseconds()})
}

func (w *Worker) stop(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	o, ok := w.take(rw, r)
	if !ok {
		return
	}
	w.highest[o.Task] = max(w.highest[o.Task], o.RunId)
	key := fmt.Sprintf("%s#%d", o.Task, o.RunId)
	if run := w.active[key]; run != nil {
		w.end(key, run, "stopped")
	}
	reply(rw, http.StatusOK, map[string]any{"ClockMs": w.clock().Milliseconds()})
}

func (w *Worker) pace(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	o, ok := w.take(rw, r)
	if !ok {
		return
	}
	if run := w.active[fmt.Sprintf("%s#%d", o.Task, o.RunId)]; run != nil {
		run.pace = o.Percent
	}
	reply(rw, http.StatusOK, map[string]any{"ClockMs": w.clock().Milliseconds()})
}

// pollStep is how often a waiting hold looks for ends.
const pollStep = 5 * time.Millisecond

func (w *Worker) hold(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	o, ok := w.take(rw, r)
	if !ok {
		return
	}
	if o.DeadlineMs > 0 {
		w.extend(o.DeadlineMs)
	}
	w.ended = slices.DeleteFunc(w.ended, func(e end) bool { return e.number <= o.AckCursor })
	limit := time.Now().Add(time.Duration(o.WaitMs) * time.Millisecond)
	for len(w.ended) == 0 && time.Now().Before(limit) && r.Context().Err() == nil {
		w.mu.Unlock()
		time.Sleep(pollStep)
		w.mu.Lock()
		w.advance()
	}
	active, ended := [][]any{}, [][]any{}
	for _, run := range w.active {
		active = append(active, w.row(run))
	}
	for _, e := range w.ended {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	reply(rw, http.StatusOK, map[string]any{"ClockMs": w.clock().Milliseconds(), "born": w.born, "Active": active, "Finished": ended})
}

func (w *Worker) row(r *running) []any {
	percent := 100
	if !r.does.LongRunning && r.does.RunTime > 0 {
		percent = min(int(time.Since(r.begun)*100/r.does.RunTime), 99)
	}
	return []any{r.task, r.run, "", percent, r.does.TailLatencyMS}
}
