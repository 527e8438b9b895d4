package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"gooseberryreel/internal/loopback"
)

// taskID is the name of a task, ID.K.STEP.INDEX.
type taskID struct {
	job                string
	round, step, index int
}

func (t taskID) String() string { return fmt.Sprintf("%s.%d.%d.%d", t.job, t.round, t.step, t.index) }

func parseTask(name string) (t taskID, err error) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return t, fmt.Errorf("task %q", name)
	}
	t.job = parts[0]
	for i, field := range [...]*int{&t.round, &t.step, &t.index} {
		if *field, err = strconv.Atoi(parts[i+1]); err != nil {
			return t, err
		}
	}
	return t, nil
}

// behaviour is what a run does once it works.
type behaviour struct {
	work time.Duration // at full speed, until the run ends; 0 for no end
	how  string        // end after work, done if empty
	// tail returns what a serving run reports as its tail, in milliseconds; nil for none.
	tail func(r *runner) int
}

// start is a start of a run.
type start struct {
	task   taskID
	run    int
	runner string
	at     time.Time
}

// taskRuns is what has become of the runs of a task.
type taskRuns struct {
	active  map[string]time.Time // start by runner
	lastEnd time.Time
	lastHow string
	ended   []string
	wasDone bool // a run has ended done
}

// gang is one run of a gang.
type gang struct {
	present map[int]*runner
	works   time.Time // zero while members are missing
	over    bool
}

// active is an active run on a runner.
type active struct {
	task        taskID
	run         int
	began       time.Time
	spec        phase
	does        behaviour
	gang        *gang
	stopping    time.Time // zero unless a stop was ordered
	percent     int       // pace
	worked      time.Duration
	lastTick    time.Time
	saved       string
	saves, base int64
}

// ended is an end that is not taken note of yet.
type ended struct {
	number int64
	task   taskID
	run    int
	how    string
	saved  string
}

// runner is one runner. Its fields are guarded by site.mu.
type runner struct {
	s             *site
	id, address   string
	service, zone string
	kind, rack    string
	cpu, mem      int
	state         string
	born          int64
	clockStart    time.Time
	token         int64
	leaseEnd      time.Duration
	active        map[string]*active
	finished      []ended
	lastEnd       int64
	highest       map[string]int
	server        *http.Server
	up            bool
	seq           int
	stopped       chan struct{}
}

// addRunner adds a runner of a service and starts it.
func (s *site) addRunner(service, kind, rack string, cpu, mem int) (*runner, error) {
	l, err := loopback.Listen()
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	n := len(s.runners)
	r := &runner{
		s: s, id: fmt.Sprintf("runner-%02d", n), address: l.Addr().String(), service: service, zone: fmt.Sprintf("zone-%d", n%3),
		kind: kind, rack: rack, cpu: cpu, mem: mem, state: "ready", stopped: make(chan struct{}),
	}
	s.runners = append(s.runners, r)
	r.begin(l)
	go r.loop()
	return r, nil
}

// begin starts a life of the runner. The caller holds site.mu.
func (r *runner) begin(l net.Listener) {
	r.born, r.clockStart, r.token, r.leaseEnd, r.lastEnd = time.Now().UnixMilli(), time.Now(), 0, 0, 0
	r.active, r.finished, r.highest = make(map[string]*active), nil, make(map[string]int)
	r.up = true
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", r.start)
	mux.HandleFunc("POST /run-stop", r.stop)
	mux.HandleFunc("POST /hold", r.hold)
	mux.HandleFunc("POST /pace", r.pace)
	r.server = &http.Server{Handler: mux}
	server := r.server
	go func() { _ = server.Serve(l) }()
	r.checkIn()
	r.s.rec.add("runner: %s is up, kind %s, service %s, born %d", r.id, r.kind, r.service, r.born)
}

// crash ends the life of the runner: everything on it ends, and its channels are reset.
func (r *runner) crash() {
	r.s.mu.Lock()
	defer r.s.mu.Unlock()
	r.s.rec.add("runner: %s crashes with %d runs", r.id, len(r.active))
	r.up = false
	for _, key := range keys(r.active) {
		if a := r.active[key]; a != nil {
			delete(r.active, key)
			r.note(a, "crashed")
			r.breakGang(a, "broken")
		}
	}
	_ = r.server.Close()
}

// restart begins another life under the same id and address.
func (r *runner) restart(kind string) error {
	var l net.Listener
	var err error
	for range 50 {
		if l, err = net.Listen("tcp", r.address); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	r.s.mu.Lock()
	defer r.s.mu.Unlock()
	r.kind = kind
	r.begin(l)
	return nil
}

func (r *runner) close() {
	r.s.mu.Lock()
	defer r.s.mu.Unlock()
	close(r.stopped)
	r.up = false
	_ = r.server.Close()
}

// loop lets time pass on the runner, and checks it in.
func (r *runner) loop() {
	next := time.Now().Add(heartbeat)
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-r.stopped:
			return
		case now := <-ticker.C:
			r.s.mu.Lock()
			if r.up {
				r.advance()
				if now.After(next) {
					next = now.Add(heartbeat)
					r.checkIn()
				}
			}
			r.s.mu.Unlock()
		}
	}
}

// checkIn writes the entry of the runner. The caller holds site.mu.
func (r *runner) checkIn() {
	r.seq++
	_ = r.s.store.PutJSON("keyed.servers", r.id, r.entry()) // a map of plain values
}

// entry returns the entry of the runner. The caller holds site.mu.
func (r *runner) entry() map[string]any {
	return map[string]any{
		"Service": r.service, "Address": r.address, "Zone": r.zone, "Version": "v1", "Slots": 8, "State": r.state, "ColdLeftMs": 0,
		"Capacity": map[string]any{"Cpu": r.cpu, "MemMb": r.mem, "Gpu": 0}, "Labels": []string{r.kind, r.rack}, "Seq": r.seq, "born": r.born,
	}
}

func (r *runner) clock() time.Duration { return time.Since(r.clockStart) }

// works reports whether a run is at work, and since when.
func (a *active) works() (time.Time, bool) {
	if a.gang != nil {
		return a.gang.works, !a.gang.works.IsZero()
	}
	return a.began, true
}

// progress returns the percent of a run.
func (a *active) progress() int {
	since, works := a.works()
	switch {
	case !works:
		return 0
	case a.spec.LongRunning:
		return min(int(time.Since(since)*100/lastingStartup), 100)
	case a.does.work > 0:
		return min(int(a.worked*100/a.does.work), 99)
	default:
		return 0
	}
}

// advance ends the runs that are over. The caller holds site.mu.
func (r *runner) advance() {
	now := time.Now()
	lapsed := r.clock() > r.leaseEnd
	for _, key := range keys(r.active) {
		a := r.active[key]
		if a == nil {
			continue // ended with another member of its gang
		}
		_, works := a.works()
		if works {
			a.worked += now.Sub(a.lastTick) * time.Duration(a.percent) / 100
			if a.spec.Checkpointing {
				if n := int64(a.worked / checkpointTime); n > a.saves {
					a.saves = n
					a.saved = fmt.Sprintf("%04x%s", n+a.base, a.task.job[8:])
				}
			}
		}
		a.lastTick = now
		switch {
		case lapsed:
			r.end(key, "lapsed")
		case !a.stopping.IsZero() && now.Sub(a.stopping) >= stopTime:
			r.end(key, "stopped")
		case !works && now.Sub(a.began) >= gangTime:
			r.end(key, "alone")
		case works && a.does.work > 0 && a.worked >= a.does.work:
			how := a.does.how
			if how == "" {
				how = "done"
			}
			r.end(key, how)
		}
	}
}

func keys(m map[string]*active) []string {
	list := make([]string, 0, len(m))
	for key := range m {
		list = append(list, key)
	}
	slices.Sort(list)
	return list
}

// note notes the end of a run for the checks. The caller holds site.mu.
func (r *runner) note(a *active, how string) {
	t := r.s.runs[a.task.String()]
	delete(t.active, r.id)
	t.lastEnd, t.lastHow = time.Now(), how
	t.ended = append(t.ended, how)
	t.wasDone = t.wasDone || how == "done"
	r.s.rec.add("runner: %s run %d of %s ended %s after %d ms", r.id, a.run, a.task, how, time.Since(a.began).Milliseconds())
}

// end ends a run, and with it the others of its gang. The caller holds site.mu.
func (r *runner) end(key, how string) {
	a := r.active[key]
	delete(r.active, key)
	r.lastEnd++
	r.finished = append(r.finished, ended{r.lastEnd, a.task, a.run, how, a.saved})
	r.highest[a.task.String()] = max(r.highest[a.task.String()], a.run)
	r.note(a, how)
	if how == "done" {
		r.breakGang(a, "done")
	} else if how != "alone" {
		r.breakGang(a, "broken")
	}
}

// breakGang ends the other members of a run's gang. The caller holds site.mu.
func (r *runner) breakGang(a *active, others string) {
	if a.gang == nil || a.gang.over {
		return
	}
	a.gang.over = true
	for index, other := range a.gang.present {
		if index == a.task.index || !other.up {
			continue
		}
		t := a.task
		t.index = index
		if k := runKey(t.String(), a.run); other.active[k] != nil {
			other.end(k, others)
		}
	}
}

func runKey(task string, run int) string { return fmt.Sprintf("%s#%d", task, run) }

// order is the union of the bodies of all orders.
type order struct {
	Task, Spec, Checkpoint string
	RunId                  int
	DeadlineMs, AckCursor  int64
	FencingToken, WaitMs   int64
	Percent                int
}

// decode reads an order, and answers it if it is for another runner or has an old
// generation number. The caller holds site.mu.
func (r *runner) decode(w http.ResponseWriter, req *http.Request) (o order, ok bool) {
	if id := req.Header.Get("X-Gooseberryreel-Target-Instance"); id != "" && id != r.id {
		r.answer(w, http.StatusMisdirectedRequest, "")
		return o, false
	}
	if json.NewDecoder(req.Body).Decode(&o) != nil {
		r.answer(w, http.StatusBadRequest, "")
		return o, false
	}
	if o.FencingToken < r.token {
		r.answer(w, http.StatusConflict, "fence")
		return o, false
	}
	r.token = o.FencingToken
	r.advance()
	return o, true
}

func (r *runner) answer(w http.ResponseWriter, status int, reason string) {
	body := map[string]any{"ClockMs": r.clock().Milliseconds()}
	if reason != "" {
		body["Reason"] = reason
	}
	writeJSON(w, status, body)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the caller may have gone
}

func (r *runner) extend(deadlineMs int64) {
	r.leaseEnd = max(r.leaseEnd, min(time.Duration(deadlineMs)*time.Millisecond, r.clock()+holdMax))
}

func (r *runner) start(w http.ResponseWriter, req *http.Request) {
	s := r.s
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := r.decode(w, req)
	if !ok {
		return
	}
	key := runKey(o.Task, o.RunId)
	t, err := parseTask(o.Task)
	switch {
	case err != nil:
		r.answer(w, http.StatusBadRequest, "")
		return
	case r.active[key] != nil:
	case o.DeadlineMs < r.clock().Milliseconds():
		s.rec.add("runner: %s refuses run %d of %s: late", r.id, o.RunId, o.Task)
		r.answer(w, http.StatusConflict, "late")
		return
	case o.RunId <= r.highest[o.Task]:
		r.extend(o.DeadlineMs)
		r.answer(w, http.StatusConflict, "old")
		return
	default:
		r.extend(o.DeadlineMs)
		r.begun(t, o)
	}
	r.answer(w, http.StatusOK, "")
}

// begun begins a run. The caller holds site.mu.
func (r *runner) begun(t taskID, o order) {
	s, now := r.s, time.Now()
	a := &active{task: t, run: o.RunId, began: now, lastTick: now, percent: 100, saved: o.Checkpoint}
	if len(o.Checkpoint) > 4 {
		_, _ = fmt.Sscanf(o.Checkpoint[:4], "%04x", &a.base)
	}
	if j := s.jobs[t.job]; j != nil && t.step < len(j.body.Phases) {
		a.spec = j.body.Phases[t.step]
	}
	if s.behaviour != nil {
		a.does = s.behaviour(t, o.RunId)
	}
	if a.spec.Gang {
		name := fmt.Sprintf("%s.%d.%d#%d", t.job, t.round, t.step, o.RunId)
		if s.gangs[name] == nil {
			s.gangs[name] = &gang{present: make(map[int]*runner)}
		}
		a.gang = s.gangs[name]
		a.gang.present[t.index] = r
		if len(a.gang.present) == a.spec.Count && !a.gang.over {
			a.gang.works = now
		}
	}
	r.active[runKey(o.Task, o.RunId)] = a
	if s.runs[o.Task] == nil {
		s.runs[o.Task] = &taskRuns{active: make(map[string]time.Time)}
	}
	s.runs[o.Task].active[r.id] = now
	st := start{t, o.RunId, r.id, now}
	s.starts = append(s.starts, st)
	s.rec.add("runner: %s (kind %s) starts run %d of %s", r.id, r.kind, o.RunId, o.Task)
	if s.onStart != nil {
		s.onStart(st, r, a, o)
	}
}

func (r *runner) stop(w http.ResponseWriter, req *http.Request) {
	r.s.mu.Lock()
	defer r.s.mu.Unlock()
	o, ok := r.decode(w, req)
	if !ok {
		return
	}
	r.highest[o.Task] = max(r.highest[o.Task], o.RunId)
	if a := r.active[runKey(o.Task, o.RunId)]; a != nil && a.stopping.IsZero() {
		a.stopping = time.Now()
		r.s.rec.add("runner: %s is told to stop run %d of %s at %d percent", r.id, o.RunId, o.Task, a.progress())
	}
	r.answer(w, http.StatusOK, "")
}

func (r *runner) pace(w http.ResponseWriter, req *http.Request) {
	r.s.mu.Lock()
	defer r.s.mu.Unlock()
	o, ok := r.decode(w, req)
	if !ok {
		return
	}
	if a := r.active[runKey(o.Task, o.RunId)]; a != nil {
		a.percent = o.Percent
		r.s.rec.add("runner: %s paces run %d of %s at %d percent", r.id, o.RunId, o.Task, o.Percent)
	}
	r.answer(w, http.StatusOK, "")
}

func (r *runner) hold(w http.ResponseWriter, req *http.Request) {
	s := r.s
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := r.decode(w, req)
	if !ok {
		return
	}
	born := r.born
	if o.DeadlineMs > 0 {
		r.extend(o.DeadlineMs)
	}
	r.finished = slices.DeleteFunc(r.finished, func(e ended) bool { return e.number <= o.AckCursor })
	for end := time.Now().Add(time.Duration(o.WaitMs) * time.Millisecond); len(r.finished) == 0 && time.Now().Before(end) && req.Context().Err() == nil && r.up && r.born == born; {
		s.mu.Unlock()
		time.Sleep(3 * time.Millisecond)
		s.mu.Lock()
	}
	if !r.up || r.born != born {
		panic(http.ErrAbortHandler) // resets the channel: the life that read the order is over
	}
	rows, ends := [][]any{}, [][]any{}
	for _, key := range keys(r.active) {
		a := r.active[key]
		figure := a.spec.Cpu
		if a.does.tail != nil {
			figure = a.does.tail(r)
		}
		rows = append(rows, []any{a.task.String(), a.run, a.saved, a.progress(), figure})
	}
	for _, e := range r.finished[:min(len(r.finished), 500)] {
		ends = append(ends, []any{e.number, e.task.String(), e.run, e.how, e.saved})
	}
	writeJSON(w, http.StatusOK, map[string]any{"ClockMs": r.clock().Milliseconds(), "born": r.born, "Active": rows, "Finished": ends})
}
