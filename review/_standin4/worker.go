package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"time"

	"gooseberryreel/internal/loopback"
)

// Bounds of the deployment, as the site files set them.
const (
	holdMax       = 6 * time.Second
	gangWait      = 3 * time.Second
	maxListedEnds = 500
	lastingStart  = 300 * time.Millisecond
	finish        = 14 * time.Second
)

// fault is what happens to one command to a worker.
type fault int

const (
	faultNone       fault = iota
	faultLoseAnswer       // carried out, not answered
	faultLate             // not answered, carried out later
	faultDrop             // neither
	faultSlowAnswer       // carried out, answered later
)

// run is an attempt that a worker runs.
type run struct {
	task     taskName
	number   int
	began    time.Time
	worked   time.Duration // at full speed
	advanced time.Time
	percent  int
	saved    string
	fails    bool
	length   time.Duration
	stopping time.Time // zero unless it is being stopped
	present  bool      // member of a complete gang
}

type end struct {
	number int64
	task   string
	run    int
	how    string
	saved  string
}

// worker is one life of a machine that runs tasks.
type worker struct {
	p        *platform
	id       string
	zone     string
	rack     string
	kind     string
	pool     string
	capacity resources
	guards   bool
	start    time.Time
	born     int64
	listener net.Listener
	address  string
	server   *http.Server

	// Guarded by p.mu.
	dead     bool
	draining bool
	drainAt  time.Time // when the store had accepted the report
	token    int64
	leaseEnd time.Duration
	active   map[string]*run
	highest  map[string]int
	ends     []end
	lastEnd  int64
	seq      int64
	choose   func(path string, c command) (fault, time.Duration)
	silent   bool // receives and answers nothing
}

type command struct {
	Task         string
	RunId        int
	Spec         string
	DeadlineMs   int64
	FencingToken int64
	Checkpoint   string
	Ticket       string
	AckCursor    int64
	WaitMs       int64
	Percent      int
}

func (p *platform) startWorker(id, zone, rack, kind string, capacity resources, guards bool, address string) *worker {
	w := &worker{
		p: p, id: id, zone: zone, rack: rack, kind: kind, pool: p.poolOf(id), capacity: capacity, guards: guards, start: time.Now(), born: time.Now().UnixMilli(),
		active: make(map[string]*run), highest: make(map[string]int),
	}
	var err error
	if address == "" {
		w.listener, err = loopback.Listen()
	} else {
		w.listener, err = net.Listen("tcp", address)
	}
	if err != nil {
		fatal("listen: %v", err)
	}
	w.address = w.listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(http.StatusOK) })
	mux.HandleFunc("POST /", w.serve)
	w.server = &http.Server{Handler: mux}
	go func() { _ = w.server.Serve(w.listener) }()
	p.mu.Lock()
	p.workers = append(p.workers, w)
	p.mu.Unlock()
	p.logf("worker %s up zone %s rack %s kind %s pool %s at %s", id, zone, rack, kind, w.pool, w.address)
	w.register()
	go w.heartbeat()
	return w
}

func (w *worker) heartbeat() {
	for {
		time.Sleep(1500 * time.Millisecond)
		w.p.mu.Lock()
		dead, silent := w.dead, w.silent
		w.p.mu.Unlock()
		if dead {
			return
		}
		if !silent {
			w.register()
		}
	}
}

func (w *worker) register() {
	w.p.mu.Lock()
	w.seq++
	state := "ready"
	if w.draining {
		state = "draining"
	}
	entry := map[string]any{
		"Service": w.pool, "Address": w.address, "Zone": w.zone, "Version": "v1", "Slots": 8, "State": state, "ColdLeftMs": 0,
		"Capacity": map[string]int64{"Cpu": w.capacity.cpu, "MemMb": w.capacity.mem, "Gpu": w.capacity.gpu}, "Labels": []string{w.kind, w.rack},
		"ClockMs": w.clock().Milliseconds(), "Seq": w.seq, "born": w.born,
	}
	w.p.mu.Unlock()
	if err := w.p.store.PutJSON("keyed.servers", w.id, entry); err != nil {
		fatal("register: %v", err)
	}
	w.p.mu.Lock()
	defer w.p.mu.Unlock()
	if state == "draining" && w.drainAt.IsZero() {
		w.drainAt = time.Now()
	}
}

// crash ends a worker with all that it runs.
func (w *worker) crash() {
	w.p.mu.Lock()
	w.dead = true
	for _, r := range w.active {
		w.p.lost(w, r)
	}
	w.active = map[string]*run{}
	w.p.mu.Unlock()
	_ = w.server.Close()
	w.p.logf("worker %s crashed", w.id)
}

// clock returns the worker's clock, which may be slow.
func (w *worker) clock() time.Duration {
	return time.Duration(float64(time.Since(w.start)) * (1 - w.p.clockSlow))
}

func (w *worker) serve(rw http.ResponseWriter, r *http.Request) {
	var c command
	if json.NewDecoder(r.Body).Decode(&c) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if id := r.Header.Get("X-Gooseberryreel-Target-Instance"); id != "" && id != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.p.mu.Lock()
	choose := w.choose
	w.p.mu.Unlock()
	what, delay := faultNone, time.Duration(0)
	if choose != nil {
		what, delay = choose(r.URL.Path, c)
	}
	switch what {
	case faultDrop:
		<-r.Context().Done()
		return
	case faultLoseAnswer:
		w.execute(r.Context(), r.URL.Path, c)
		<-r.Context().Done()
		return
	case faultLate:
		time.AfterFunc(delay, func() { w.execute(context.Background(), r.URL.Path, c) })
		<-r.Context().Done()
		return
	}
	status, body := w.execute(r.Context(), r.URL.Path, c)
	if what == faultSlowAnswer {
		time.Sleep(delay)
	}
	if status == 0 {
		panic(http.ErrAbortHandler)
	}
	rw.Header().Set("Content-Type", "application/json")
	rw.Header().Set("X-Gooseberryreel-Instance-Id", w.id)
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body)
}

func (w *worker) answer(extra map[string]any) map[string]any {
	body := map[string]any{"ClockMs": w.clock().Milliseconds(), "born": w.born}
	for k, v := range extra {
		body[k] = v
	}
	return body
}

// execute carries out a command. The status is 0 if the worker is gone.
func (w *worker) execute(ctx context.Context, path string, c command) (int, map[string]any) {
	p := w.p
	p.mu.Lock()
	defer p.mu.Unlock()
	if w.dead {
		return 0, nil
	}
	refuse := func(reason string) (int, map[string]any) {
		if path == "/run-start" {
			p.logf("start %s#%d refused by %s: %s", c.Task, c.RunId, w.id, reason)
		}
		return http.StatusConflict, w.answer(map[string]any{"Reason": reason})
	}
	if c.FencingToken < w.token {
		return refuse("fence")
	}
	w.token = c.FencingToken
	w.advance()
	switch path {
	case "/run-start":
		return w.executeStart(c, refuse)
	case "/run-stop":
		w.highest[c.Task] = max(w.highest[c.Task], c.RunId)
		if r := w.active[key(c.Task, c.RunId)]; r != nil && r.stopping.IsZero() {
			r.stopping = time.Now()
			p.logf("stop %s#%d on %s", c.Task, c.RunId, w.id)
		}
		return http.StatusOK, w.answer(nil)
	case "/pace":
		if r := w.active[key(c.Task, c.RunId)]; r != nil {
			r.percent = c.Percent
		}
		return http.StatusOK, w.answer(nil)
	case "/hold":
		if c.DeadlineMs > 0 {
			w.extend(c.DeadlineMs)
		}
		kept := w.ends[:0]
		for _, e := range w.ends {
			if e.number > c.AckCursor {
				kept = append(kept, e)
			} else {
				p.noted(w, e)
			}
		}
		w.ends = kept
		until := time.Now().Add(time.Duration(c.WaitMs) * time.Millisecond)
		for len(w.ends) == 0 && time.Now().Before(until) && ctx.Err() == nil && !w.dead {
			p.mu.Unlock()
			time.Sleep(5 * time.Millisecond)
			p.mu.Lock()
			w.advance()
		}
		if w.dead {
			return 0, nil
		}
		return http.StatusOK, w.answer(w.lists())
	}
	return http.StatusNotFound, w.answer(nil)
}

func (w *worker) extend(deadlineMs int64) {
	w.leaseEnd = max(w.leaseEnd, min(time.Duration(deadlineMs)*time.Millisecond, w.clock()+holdMax))
}

func (w *worker) executeStart(c command, refuse func(string) (int, map[string]any)) (int, map[string]any) {
	p := w.p
	if w.active[key(c.Task, c.RunId)] != nil {
		return http.StatusOK, w.answer(nil)
	}
	if time.Duration(c.DeadlineMs)*time.Millisecond < w.clock() {
		return refuse("late")
	}
	if c.RunId <= w.highest[c.Task] {
		w.extend(c.DeadlineMs)
		return refuse("old")
	}
	name, ok := parseTask(c.Task)
	j := p.jobs[name.job]
	if !ok || j == nil || name.step >= len(j.steps) || name.index >= j.steps[name.step].Count {
		p.violation("UNASKED", "%s started on %s was never submitted", c.Task, w.id)
		return http.StatusBadRequest, w.answer(nil)
	}
	if j.advice && !p.ticketValid(name, w, c.Ticket) {
		return refuse("ticket")
	}
	s := j.steps[name.step]
	used := w.used()
	if w.guards && !used.add(s.size()).fitsIn(w.capacity) {
		w.extend(c.DeadlineMs)
		return refuse("room")
	}
	w.extend(c.DeadlineMs)
	r := &run{task: name, number: c.RunId, began: time.Now(), advanced: time.Now(), percent: 100, saved: c.Checkpoint}
	r.length, r.fails = j.behaviour(name, c.RunId)
	w.active[key(c.Task, c.RunId)] = r
	p.started(w, r, c, j, s)
	return http.StatusOK, w.answer(nil)
}

func (w *worker) used() resources {
	var sum resources
	for _, r := range w.active {
		s := w.p.jobs[r.task.job].steps[r.task.step]
		size := s.size()
		if s.Fills {
			size.cpu = 0
		}
		sum = sum.add(size)
	}
	return sum
}

func (w *worker) lists() map[string]any {
	active, ended := [][]any{}, [][]any{}
	keys := make([]string, 0, len(w.active))
	for k := range w.active {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	for _, k := range keys {
		r := w.active[k]
		s := w.p.jobs[r.task.job].steps[r.task.step]
		percent, measured := 100, int64(1)
		if s.LongRunning {
			if r.worked < lastingStart {
				percent = 0
			}
		} else {
			percent = int(min(r.worked*100/max(r.length, 1), 99))
			measured = s.Cpu
		}
		active = append(active, []any{r.task.String(), r.number, r.saved, percent, measured})
	}
	for _, e := range w.ends[:min(len(w.ends), maxListedEnds)] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, e.saved})
	}
	return map[string]any{"Active": active, "Finished": ended}
}

// advance ends the runs that are over. The caller holds p.mu.
func (w *worker) advance() {
	if w.dead {
		return
	}
	now := time.Now()
	if w.clock() > w.leaseEnd && len(w.ends) > 0 {
		for _, d := range w.p.ends {
			if d.worker == w {
				d.lapsed = true
			}
		}
	}
	keys := make([]string, 0, len(w.active))
	for k := range w.active {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	for _, k := range keys {
		r := w.active[k]
		if r == nil {
			continue
		}
		s := w.p.jobs[r.task.job].steps[r.task.step]
		step := now.Sub(r.advanced)
		r.advanced = now
		if !s.Gang || r.present {
			r.worked += step * time.Duration(r.percent) / 100
		}
		if s.Checkpointing && r.worked > 0 {
			r.saved = checkpointOf(r)
		}
		switch {
		case w.clock() > w.leaseEnd:
			w.end(r, "lapsed")
		case !r.stopping.IsZero() && now.Sub(r.stopping) >= w.p.stopTime:
			w.end(r, "stopped")
		case s.Gang && !r.present:
			if w.p.gangPresent(r, s.Count) {
				w.p.gangBegins(r)
			} else if now.Sub(r.began) > gangWait {
				w.end(r, "alone")
			}
		case !s.LongRunning && r.worked >= r.length:
			how := "done"
			if r.fails {
				how = "failed"
			}
			if s.Gang && how == "done" {
				w.p.gangDone(r)
				break
			}
			w.end(r, how)
		case s.LongRunning && r.length > 0 && r.worked >= r.length:
			w.end(r, "failed")
		}
	}
}

// end ends a run. The caller holds p.mu.
func (w *worker) end(r *run, how string) {
	k := key(r.task.String(), r.number)
	if w.active[k] != r {
		return
	}
	delete(w.active, k)
	w.lastEnd++
	e := end{w.lastEnd, r.task.String(), r.number, how, r.saved}
	w.ends = append(w.ends, e)
	w.highest[e.task] = max(w.highest[e.task], r.number)
	w.p.ended(w, r, how)
}

func key(task string, number int) string { return fmt.Sprintf("%s#%d", task, number) }

func checkpointOf(r *run) string { return fmt.Sprintf("%08x", r.worked.Milliseconds()) }
