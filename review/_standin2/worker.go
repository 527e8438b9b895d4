package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"sync"
	"time"
)

// Bounds of a small deployment, as the site file of pickbook-wa has them.
const (
	holdMax       = 6000 * time.Millisecond
	stopTime      = 100 * time.Millisecond // StopMs is 900
	heartbeat     = 1500 * time.Millisecond
	maxListedEnds = 500
)

// taskRun is one start of a task, as the runner sees it.
type taskRun struct {
	worker  string
	task    string
	run     int
	started time.Time
	ended   time.Time // zero while it runs
	how     string
	noted   bool // AckCursor has reached its end, and the lease did not lapse between
	lapsed  bool // the lease lapsed after its end and before AckCursor reached it
	number  int64
	stops   bool
	length  time.Duration // zero: it lasts
	fails   bool
}

// runLog is what all runners of a case have run.
type runLog struct {
	mu   sync.Mutex
	runs []*taskRun
}

// runner is one life of a runner. It follows "Running tasks" of the protocol page.
type runner struct {
	id, zone, rack string
	kind           string // the first label
	cpu, memory    int64
	log            *runLog
	length         func(task string, run int) (time.Duration, bool)
	server         *http.Server
	address        string
	born           time.Time

	mu       sync.Mutex
	token    int64
	leaseEnd time.Duration
	active   map[string]*taskRun
	highest  map[string]int
	ends     []*taskRun
	lastEnd  int64
	signal   chan struct{}
	closed   bool
	seq      int
}

func newRunner(id, zone, rack string, cpu, memory int64, log *runLog, length func(string, int) (time.Duration, bool)) (*runner, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &runner{
		id: id, zone: zone, rack: rack, kind: "a", cpu: cpu, memory: memory, log: log, length: length, address: listener.Addr().String(), born: time.Now(),
		active: make(map[string]*taskRun), highest: make(map[string]int), signal: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", w.handle(w.start))
	mux.HandleFunc("POST /run-stop", w.handle(w.stop))
	mux.HandleFunc("POST /hold", w.hold)
	mux.HandleFunc("POST /pace", w.handle(func(order) (int, string) { return http.StatusOK, "" }))
	w.server = &http.Server{Handler: mux}
	go func() { _ = w.server.Serve(listener) }()
	go func() {
		for ; ; time.Sleep(5 * time.Millisecond) {
			w.mu.Lock()
			if w.closed {
				w.mu.Unlock()
				return
			}
			w.advance()
			w.mu.Unlock()
		}
	}()
	return w, nil
}

// close ends this life: everything that runs there ends, and its ends are gone.
func (w *runner) close() {
	_ = w.server.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	w.log.mu.Lock()
	defer w.log.mu.Unlock()
	for _, r := range w.active {
		r.ended, r.how = time.Now(), "crashed"
	}
	clear(w.active)
}

func (w *runner) clock() time.Duration { return time.Since(w.born) }

// setKind sets the kind of the runner, which its next entry shows.
func (w *runner) setKind(kind string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.kind = kind
}

// entry is what the runner writes about itself.
func (w *runner) entry(address string) map[string]any {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seq++
	return map[string]any{
		"Service": "pickbook", "Address": address, "Zone": w.zone, "Version": "v1", "Slots": 8, "State": "ready", "ColdLeftMs": 0, "Seq": w.seq,
		"Capacity": map[string]int64{"Cpu": w.cpu, "MemMb": w.memory, "Gpu": 0}, "Labels": []string{w.kind, w.rack}, "born": w.born.UnixMilli(),
	}
}

// order is the union of the bodies of all calls.
type order struct {
	Task         string
	RunId        int
	Spec         string
	DeadlineMs   int64
	FencingToken int64
	AckCursor    int64
	WaitMs       int64
}

// accept decodes a call and checks whom it is meant for and its token. The caller holds mu.
func (w *runner) accept(rw http.ResponseWriter, r *http.Request) (o order, ok bool) {
	if id := r.Header.Get("X-Gooseberryreel-Target-Instance"); id != "" && id != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return o, false
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.answer(rw, http.StatusBadRequest, "")
		return o, false
	}
	if o.FencingToken < w.token {
		w.answer(rw, http.StatusConflict, "fence")
		return o, false
	}
	w.token = o.FencingToken
	return o, true
}

func (w *runner) answer(rw http.ResponseWriter, status int, reason string) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	body := map[string]any{"ClockMs": w.clock().Milliseconds(), "born": w.born.UnixMilli()}
	if reason != "" {
		body["Reason"] = reason
	}
	_ = json.NewEncoder(rw).Encode(body)
}

func (w *runner) handle(f func(order) (int, string)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		w.mu.Lock()
		defer w.mu.Unlock()
		if o, ok := w.accept(rw, r); ok {
			w.advance()
			status, reason := f(o)
			w.answer(rw, status, reason)
		}
	}
}

func (w *runner) extend(deadlineMs int64) {
	w.leaseEnd = max(w.leaseEnd, min(time.Duration(deadlineMs)*time.Millisecond, w.clock()+holdMax))
}

func (w *runner) start(o order) (int, string) {
	key := fmt.Sprintf("%s#%d", o.Task, o.RunId)
	switch {
	case w.active[key] != nil:
		return http.StatusOK, ""
	case time.Duration(o.DeadlineMs)*time.Millisecond < w.clock():
		return http.StatusConflict, "late"
	case o.RunId <= w.highest[o.Task]:
		w.extend(o.DeadlineMs)
		return http.StatusConflict, "old"
	}
	w.extend(o.DeadlineMs)
	length, fails := w.length(o.Task, o.RunId)
	run := &taskRun{worker: w.id, task: o.Task, run: o.RunId, started: time.Now(), length: length, fails: fails}
	w.active[key] = run
	w.log.mu.Lock()
	w.log.runs = append(w.log.runs, run)
	w.log.mu.Unlock()
	return http.StatusOK, ""
}

func (w *runner) stop(o order) (int, string) {
	key := fmt.Sprintf("%s#%d", o.Task, o.RunId)
	w.highest[o.Task] = max(w.highest[o.Task], o.RunId)
	if run := w.active[key]; run != nil && !run.stops {
		run.stops = true
		time.AfterFunc(stopTime, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.active[key] == run {
				w.end(key, run, "stopped")
			}
		})
	}
	return http.StatusOK, ""
}

// advance ends the runs that are done, and all of them once the lease is over. The caller
// holds mu.
func (w *runner) advance() {
	if w.closed {
		return
	}
	lapsed := len(w.active) > 0 && w.clock() > w.leaseEnd
	if w.clock() > w.leaseEnd {
		for _, e := range w.ends {
			e.lapsed = true
		}
	}
	for key, run := range w.active {
		switch {
		case lapsed:
			w.end(key, run, "lapsed")
		case run.length > 0 && time.Since(run.started) >= run.length && run.fails:
			w.end(key, run, "failed")
		case run.length > 0 && time.Since(run.started) >= run.length:
			w.end(key, run, "done")
		}
	}
}

func (w *runner) end(key string, run *taskRun, how string) {
	delete(w.active, key)
	w.lastEnd++
	w.log.mu.Lock()
	run.ended, run.how, run.number = time.Now(), how, w.lastEnd
	w.log.mu.Unlock()
	w.ends = append(w.ends, run)
	w.highest[run.task] = max(w.highest[run.task], run.run)
	close(w.signal)
	w.signal = make(chan struct{})
}

func (w *runner) hold(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	o, ok := w.accept(rw, r)
	if !ok {
		return
	}
	w.advance()
	if o.DeadlineMs > 0 {
		w.extend(o.DeadlineMs)
	}
	w.log.mu.Lock()
	for len(w.ends) > 0 && w.ends[0].number <= o.AckCursor {
		w.ends[0].noted = !w.ends[0].lapsed
		w.ends = w.ends[1:]
	}
	w.log.mu.Unlock()
	timer := time.NewTimer(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond)
	defer timer.Stop()
	for waiting := o.WaitMs > 0; waiting && len(w.ends) == 0 && !w.closed; {
		signal := w.signal
		w.mu.Unlock()
		select {
		case <-signal:
		case <-timer.C:
			waiting = false
		case <-r.Context().Done():
			waiting = false
		}
		w.mu.Lock()
	}
	active, ended := [][]any{}, [][]any{}
	for _, run := range w.active {
		percent := 100
		if run.length > 0 {
			percent = min(int(time.Since(run.started)*100/run.length), 99)
		}
		active = append(active, []any{run.task, run.run, "", percent, 0})
	}
	sort.Slice(active, func(i, j int) bool { return active[i][0].(string) < active[j][0].(string) })
	for _, e := range w.ends[:min(len(w.ends), maxListedEnds)] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(map[string]any{"ClockMs": w.clock().Milliseconds(), "born": w.born.UnixMilli(), "Active": active, "Finished": ended})
}
